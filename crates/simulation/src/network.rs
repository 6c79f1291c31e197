//! The made-up world: words take a while, get lost, come late or twice; links are cut one way; gateways freeze, die and
//! start anew; clocks run apart; disks are slow, hang, and lose with a crash what was not synced. Owns made-up time and
//! what is on its way. Must never do for a gateway what its program (`harbourmaster::port`) does not do.

use crate::checks::Checks;
use crate::disk::{Disk, Kept};
use archlink_consensus::{Effect, Outcome};
use archlink_control_node::node::{ControlNodeState, InitialState};
use archlink_messages::{ControlNode, Message, NodeId, Register, VoterSet};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

/// Between two ticks, as in the program.
const TICK: f64 = 0.05;
/// What a link that is held up keeps; later words are lost.
const HELD_UP: usize = 256;
/// A `CatchUp` within which no test's seat is given away: 300 s of silence would be.
pub(crate) const NEVER: f64 = 1000.0;
/// Between two tries to bring a link up, as in the program.
const GREET: f64 = 0.25;

/// How words travel.
#[derive(Clone, Copy, Debug)]
pub struct Net {
    /// Seconds that each word takes at least, and by chance longer.
    pub least: f64,
    pub spread: f64,
    /// Parts of words that are lost, come twice, or come late by up to `late_by` seconds.
    pub lossy: f64,
    pub doubled: f64,
    pub late: f64,
    pub late_by: f64,
}

impl Default for Net {
    fn default() -> Net {
        Net { least: 0.002, spread: 0.02, lossy: 0.0, doubled: 0.0, late: 0.0, late_by: 0.0 }
    }
}

/// A machine's steady clock: `ahead + rate * now`.
#[derive(Clone, Copy, Debug)]
struct Pace {
    rate: f64,
    ahead: f64,
}

pub(crate) enum Event {
    Word(NodeId, NodeId, Message),
    Tick(NodeId, u64),
    Written(NodeId, u64),
    Start(NodeId, bool),
    /// A link comes up, between two lives.
    Greet(NodeId, NodeId, (u64, u64)),
}

struct Due {
    at: f64,
    serial: u64,
    event: Event,
}

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    /// The earliest is the greatest.
    fn cmp(&self, other: &Due) -> Ordering {
        other.at.total_cmp(&self.at).then(other.serial.cmp(&self.serial))
    }
}

/// All control gateways, numbered from 1, and what is between them.
pub struct Fleet {
    /// Made-up time; each gateway reads it through `clock`.
    pub now: f64,
    pub live: BTreeMap<NodeId, ControlNodeState>,
    pub disks: BTreeMap<NodeId, Disk>,
    /// The epoch that each gateway was last told to go by.
    epochs: BTreeMap<NodeId, u64>,
    /// Machines that never come back.
    gone: BTreeSet<NodeId>,
    pub net: Net,
    /// What became of orders, by token; those of a gateway that died are unclear.
    pub done: BTreeMap<u64, Outcome>,
    pub checks: Checks,
    /// What first went against a check. While `strict` is set, `run` panics with it.
    pub fault: Option<String>,
    pub strict: bool,
    /// What happened, line by line, where it is asked for.
    pub story: Option<Vec<String>>,
    /// Steps of cores so far.
    pub steps: u64,
    size: NodeId,
    needed: usize,
    /// `CatchUp`, in seconds; far longer than any test where it is not set, so that no seat changes by itself.
    pub catch_up: f64,
    seeds: Vec<NodeId>,
    chance: oorandom::Rand64,
    pub(crate) lives: BTreeMap<NodeId, u64>,
    paces: BTreeMap<NodeId, Pace>,
    frozen: BTreeMap<NodeId, f64>,
    cuts: BTreeMap<(NodeId, NodeId), f64>,
    stalls: BTreeMap<(NodeId, NodeId), (f64, usize)>,
    /// When freezes and stalls end.
    ends: Vec<f64>,
    queue: BinaryHeap<Due>,
    serial: u64,
}

fn control_node(node: NodeId) -> ControlNode {
    let control = std::net::SocketAddrV4::new(node.into(), 80);
    ControlNode { node, zone: format!("z{node}"), region: "r".into(), operator_address: control }
}

impl Fleet {
    /// Four gateways, the first three of which are the seeds; one disk may be lost at a time.
    pub fn new(seed: u64) -> Fleet {
        Fleet::of(seed, 3, 4)
    }

    /// `size` gateways of which `needed` are to vote, at their very first start; the seeds are 1, 2 and 3.
    pub fn of(seed: u64, needed: usize, size: NodeId) -> Fleet {
        let mut fleet = Fleet::empty(seed, needed, size);
        (1..=size).for_each(|node| fleet.start(node, true));
        fleet
    }

    /// The same before anything is started.
    pub fn empty(seed: u64, needed: usize, size: NodeId) -> Fleet {
        Fleet {
            now: 10.0,
            live: BTreeMap::new(),
            disks: (1..=size).map(|node| (node, Disk::default())).collect(),
            epochs: BTreeMap::new(),
            gone: BTreeSet::new(),
            net: Net::default(),
            done: BTreeMap::new(),
            checks: Checks::default(),
            fault: None,
            strict: true,
            story: None,
            steps: 0,
            size,
            needed,
            catch_up: NEVER,
            seeds: vec![1, 2, 3],
            chance: oorandom::Rand64::new(u128::from(seed)),
            lives: BTreeMap::new(),
            paces: BTreeMap::new(),
            frozen: BTreeMap::new(),
            cuts: BTreeMap::new(),
            stalls: BTreeMap::new(),
            ends: Vec::new(),
            queue: BinaryHeap::new(),
            serial: 0,
        }
    }

    pub fn nodes(&self) -> std::ops::RangeInclusive<NodeId> {
        1..=self.size
    }

    /// What the clock of that gateway's machine shows.
    pub fn clock(&self, node: NodeId) -> f64 {
        self.clock_at(node, self.now)
    }

    fn clock_at(&self, node: NodeId, at: f64) -> f64 {
        self.paces.get(&node).map_or(at, |pace| pace.ahead + pace.rate * at)
    }

    /// The clock of a machine that is not up goes at that rate from here on, and shows something of its own.
    pub fn set_clock(&mut self, node: NodeId, rate: f64, shows: f64) {
        self.paces.insert(node, Pace { rate, ahead: shows - rate * self.now });
    }

    pub(crate) fn tell(&mut self, line: impl FnOnce(&Fleet) -> String) {
        if self.story.is_some() {
            let line = format!("{:9.3} {}", self.now, line(self));
            self.story.iter_mut().for_each(|story| story.push(line.clone()));
        }
    }

    pub(crate) fn hold(&mut self, checked: Result<(), String>) {
        if let Err(fault) = checked {
            self.tell(|_| format!("FAULT {fault}"));
            self.fault.get_or_insert(format!("at {:.3}: {fault}", self.now));
        }
    }

    pub(crate) fn push(&mut self, at: f64, event: Event) {
        self.serial += 1;
        self.queue.push(Due { at, serial: self.serial, event });
    }

    /// Starts a gateway on what its disk has; `first` at the very first start, when an empty disk stands for the seeds.
    pub fn start(&mut self, node: NodeId, first: bool) {
        let up = self.live.contains_key(&node) || self.gone.contains(&node);
        let Some(disk) = self.disks.get_mut(&node).filter(|_| !up) else { return };
        if disk.hangs_until > self.now {
            let until = disk.hangs_until;
            return self.push(until, Event::Start(node, first));
        }
        // The seeds are on the disk before anything else is done.
        if first && !disk.kept.voter_set.is_known() {
            disk.kept.voter_set = VoterSet::initial(&self.seeds);
        }
        let kept = disk.kept.clone();
        let start = InitialState {
            identity: control_node(node),
            required_voters: self.needed,
            catch_up: self.catch_up,
            acceptors: kept.voter_set.is_known().then_some(kept.slots),
            voter_set: kept.voter_set,
            grants: kept.grants.into_values().collect(),
            seed: self.chance.rand_u64(),
        };
        let control = ControlNodeState::new(self.clock(node), start);
        self.tell(|_| {
            format!(
                "{node} starts in epoch {}, whole {}",
                control.voter_set().epoch,
                control.acceptor.is_recovered()
            )
        });
        self.live.insert(node, control);
        self.frozen.remove(&node);
        let life = self.lives.entry(node).or_default();
        *life += 1;
        let life = *life;
        let at = self.now + TICK * self.chance.rand_float();
        self.push(at, Event::Tick(node, life));
        // Links come up anew, and each end says who it is.
        for other in self.nodes() {
            for (from, to) in [(node, other), (other, node)] {
                if from != to && self.live.contains_key(&from) && self.live.contains_key(&to) {
                    self.greet(from, to);
                }
            }
        }
    }

    /// A machine with an empty disk that was not there before, at an address of its own.
    pub fn join(&mut self, node: NodeId) {
        self.size = self.size.max(node);
        self.disks.entry(node).or_default();
        self.start(node, false);
    }

    /// That machine is gone for good, its disk with it.
    pub fn remove(&mut self, node: NodeId) {
        self.kill(node, true);
        self.disks.remove(&node);
        self.gone.insert(node);
    }

    /// First on each link; one that is cut is tried again.
    fn greet(&mut self, from: NodeId, to: NodeId) {
        if self.cuts.get(&(from, to)).is_some_and(|until| self.now < *until) {
            let lives = (self.lives[&from], self.lives[&to]);
            let at = self.now + GREET;
            return self.push(at, Event::Greet(from, to, lives));
        }
        if let Some(greeting) = self.live.get(&from).map(ControlNodeState::peer_hello) {
            self.grant(from, to, greeting);
        }
    }

    /// Ends a gateway at once. What its disk was writing is there whole or not at all; what waited is gone, and with `wipe`
    /// all is. Its open orders are unclear.
    pub fn kill(&mut self, node: NodeId, wipe: bool) {
        let stood = self.live.remove(&node).is_some();
        let Some(disk) = self.disks.get_mut(&node) else { return };
        let writing = std::mem::take(&mut disk.writing);
        disk.waiting.clear();
        if stood && self.chance.rand_float() < 0.5 {
            writing.into_iter().for_each(|(record, _)| disk.keep(record));
        }
        if wipe {
            disk.kept = Kept::default();
        }
        self.tell(|_| format!("{node} is killed{}", if wipe { " and its disk emptied" } else { "" }));
        for token in self.checks.open(node) {
            self.ended(node, token, Outcome::Unknown);
        }
    }

    /// The machine goes off as well: its clock begins anew.
    pub fn power_off(&mut self, node: NodeId, wipe: bool) {
        self.kill(node, wipe);
        let rate = self.paces.get(&node).map_or(1.0, |pace| pace.rate);
        let shows = 1.0 + self.chance.rand_float();
        self.set_clock(node, rate, shows);
    }

    /// A gateway stands still for so long; what is sent to it waits.
    pub fn freeze(&mut self, node: NodeId, seconds: f64) {
        self.tell(|_| format!("{node} stands still for {seconds:.3}"));
        let until = self.now + seconds;
        self.ends.push(until);
        let frozen = self.frozen.entry(node).or_insert(until);
        *frozen = frozen.max(until);
    }

    /// No word goes that way until `heal`.
    pub fn cut(&mut self, from: NodeId, to: NodeId) {
        self.cut_for(from, to, f64::INFINITY);
    }

    pub fn cut_for(&mut self, from: NodeId, to: NodeId, seconds: f64) {
        self.tell(|_| format!("cut {from} -> {to} for {seconds:.3}"));
        let until = self.now + seconds;
        self.cuts.entry((from, to)).and_modify(|cut| *cut = cut.max(until)).or_insert(until);
    }

    /// Words that way wait so long and then come all together, as from a connection that was held up.
    pub fn stall(&mut self, from: NodeId, to: NodeId, seconds: f64) {
        self.tell(|_| format!("held up {from} -> {to} for {seconds:.3}"));
        let until = self.now + seconds;
        self.ends.push(until);
        self.stalls.insert((from, to), (until, 0));
    }

    /// Ends all cuts, freezes and hanging disks, and all that is wrong with words.
    pub fn heal(&mut self) {
        self.tell(|_| "all healed".into());
        let (now, ends) = (self.now, std::mem::take(&mut self.ends));
        self.frozen.clear();
        self.stalls.clear();
        self.cuts.clear();
        // What only waited for the end of these comes now.
        let mut queue = std::mem::take(&mut self.queue).into_vec();
        for due in &mut queue {
            let waits = match &due.event {
                Event::Word(..) | Event::Tick(..) | Event::Greet(..) => ends.contains(&due.at),
                Event::Written(..) | Event::Start(..) => true,
            };
            due.at = if waits { now.min(due.at) } else { due.at };
        }
        self.queue = queue.into();
        self.disks.values_mut().for_each(|disk| disk.hangs_until = 0.0);
        self.net = Net { lossy: 0.0, doubled: 0.0, late: 0.0, ..self.net };
    }

    /// A sync on that disk takes so long from here on.
    pub fn set_sync(&mut self, node: NodeId, seconds: f64) {
        self.disks.entry(node).or_default().sync = seconds;
    }

    /// Nothing written on that disk ends within so many seconds.
    pub fn hang(&mut self, node: NodeId, seconds: f64) {
        self.tell(|_| format!("disk of {node} hangs for {seconds:.3}"));
        let until = self.now + seconds;
        self.disks.entry(node).or_default().hangs_until = until;
    }

    pub(crate) fn send(&mut self, from: NodeId, to: NodeId, word: Message) {
        if self.cuts.get(&(from, to)).is_some_and(|until| self.now < *until) {
            return;
        }
        let net = self.net;
        if net.lossy > 0.0 && self.chance.rand_float() < net.lossy {
            return;
        }
        let twice = net.doubled > 0.0 && self.chance.rand_float() < net.doubled;
        if twice {
            self.grant(from, to, word.clone());
        }
        self.grant(from, to, word);
    }

    fn grant(&mut self, from: NodeId, to: NodeId, word: Message) {
        let net = self.net;
        let mut at = self.now + net.least + net.spread * self.chance.rand_float();
        if net.late > 0.0 && self.chance.rand_float() < net.late {
            at += net.late_by * self.chance.rand_float();
        }
        if let Some((until, held)) = self.stalls.get_mut(&(from, to)).filter(|(until, _)| *until > self.now) {
            *held += 1;
            if *held > HELD_UP {
                return;
            }
            at = at.max(*until);
        }
        self.push(at, Event::Word(from, to, word));
    }

    /// One step of a gateway, and all that follows from it as in the program.
    pub fn step(&mut self, node: NodeId, step: impl FnOnce(&mut ControlNodeState, f64) -> Vec<Effect>) {
        let now = self.clock(node);
        let Some(control) = self.live.get_mut(&node) else { return };
        self.steps += 1;
        let mut effects = VecDeque::from(step(control, now));
        while let Some(effect) = effects.pop_front() {
            match effect {
                Effect::Send(to, word) if to == node => {
                    effects.extend(
                        self.live.get_mut(&node).map(|c| c.step(now, node, word)).unwrap_or_default(),
                    );
                }
                Effect::Send(to, word) => self.send(node, to, word),
                Effect::Store(record, then) => self.store(node, record, then),
                Effect::Learned(register) => {
                    self.tell(|fleet| fleet.learned_line(node, register));
                    effects.extend(
                        self.live.get_mut(&node).map(|c| c.broadcast_heartbeat(now)).unwrap_or_default(),
                    );
                }
                Effect::ProposalResolved(token, outcome) => {
                    self.look(node);
                    self.ended(node, token, outcome);
                }
            }
        }
        self.look(node);
    }

    fn learned_line(&self, node: NodeId, register: Register) -> String {
        let held = self.live[&node].proposer.chosen(register);
        format!("{node} learns {register:?} {held:?}")
    }

    pub(crate) fn ended(&mut self, node: NodeId, token: u64, outcome: Outcome) {
        self.tell(|_| format!("order {token} at {node}: {outcome:?}"));
        self.done.insert(token, outcome);
        let chosen = self.live.get(&node).map(|control| &control.proposer);
        let checked = self.checks.ended(self.now, token, outcome, chosen);
        self.hold(checked);
    }

    /// Tells of each set that a gateway begins to go by.
    fn tell_epoch(&mut self, node: NodeId) {
        let Some(voter_set) = self.live.get(&node).map(|control| control.voter_set().clone()) else { return };
        if self.story.is_some() && self.epochs.insert(node, voter_set.epoch) != Some(voter_set.epoch) {
            self.tell(|_| format!("{node} goes by {voter_set:?}"));
        }
    }

    /// What must hold, after a step of that gateway.
    fn look(&mut self, node: NodeId) {
        self.tell_epoch(node);
        let Some(control) = self.live.get(&node) else { return };
        let pace = self.paces.get(&node).copied().unwrap_or(Pace { rate: 1.0, ahead: 0.0 });
        let of_clock = |at: f64| (at - pace.ahead) / pace.rate;
        let mut checked = self.checks.looked(self.now, node, self.lives[&node], control, of_clock);
        for role in archlink_messages::SINGLETON_ROLES {
            if checked.is_ok() && control.leases.held_lease(self.clock(node), role).is_some() {
                let holds = |(n, c): &(&NodeId, &ControlNodeState)| {
                    c.leases.held_lease(self.clock(**n), role).is_some()
                };
                let holders: Vec<NodeId> = self.live.iter().filter(holds).map(|(n, _)| *n).collect();
                if holders.len() > 1 {
                    checked = Err(format!("{role:?} is held by {holders:?}"));
                }
            }
        }
        if checked.is_err() {
            self.hold(checked);
        }
    }

    /// Lets so much made-up time go by.
    pub fn run(&mut self, seconds: f64) {
        let until = self.now + seconds;
        while self.fault.is_none() && self.queue.peek().is_some_and(|due| due.at <= until) {
            let Some(Due { at, event, .. }) = self.queue.pop() else { break };
            self.now = self.now.max(at);
            self.happen(event);
        }
        if let Some(fault) = self.fault.as_ref().filter(|_| self.strict) {
            panic!("{fault}");
        }
        self.now = until;
    }

    fn happen(&mut self, event: Event) {
        let whose = match &event {
            Event::Word(_, to, _) => *to,
            Event::Tick(node, _) | Event::Written(node, _) | Event::Start(node, _) => *node,
            Event::Greet(from, _, _) => *from,
        };
        if let Some(&until) = self.frozen.get(&whose).filter(|until| **until > self.now) {
            return self.push(until, event);
        }
        let lives = |life: u64| self.live.contains_key(&whose) && self.lives.get(&whose) == Some(&life);
        match event {
            Event::Word(from, to, word) => self.step(to, |control, now| control.step(now, from, word)),
            Event::Tick(node, life) if lives(life) => {
                let rate = self.paces.get(&node).map_or(1.0, |pace| pace.rate);
                self.push(self.now + TICK / rate, event);
                self.step(node, |control, now| control.tick(now));
            }
            Event::Written(node, life) if lives(life) => match self.disks[&node].hangs_until {
                until if until > self.now => self.push(until, event),
                _ => self.written(node),
            },
            Event::Start(node, first) => self.start(node, first),
            Event::Greet(from, to, (one, other))
                if lives(one) && self.live.contains_key(&to) && self.lives[&to] == other =>
            {
                self.greet(from, to);
            }
            Event::Tick(..) | Event::Written(..) | Event::Greet(..) => {}
        }
    }
}
