//! Control gateways on a made-up network with made-up disks, in made-up time: what the tests of contact and of numbers
//! play on. A disk takes what waits together, with one sync for all, and says so only then.
#![allow(dead_code)]

use archlink_consensus::proposer::Change;
use archlink_consensus::{DurableRecord, Effect, Outcome};
use archlink_control_node::node::{ControlNodeState, InitialState};
use archlink_messages::{
    AcceptorState, ConsensusMessage, ControlNode, LeaseGrant, Message, NodeId, Register, SingletonRole,
    VoterSet,
};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Default)]
pub struct Disk {
    slots: BTreeMap<Register, AcceptorState>,
    grants: BTreeMap<SingletonRole, LeaseGrant>,
    voter_set: VoterSet,
    queue: Vec<(DurableRecord, Vec<(NodeId, Message)>)>,
    writing: Vec<(DurableRecord, Vec<(NodeId, Message)>)>,
    until: f64,
}

pub struct Roads {
    pub now: f64,
    /// One step of time.
    pub fine: f64,
    pub chance: oorandom::Rand64,
    pub live: BTreeMap<NodeId, ControlNodeState>,
    disks: BTreeMap<NodeId, Disk>,
    pub frozen: BTreeMap<NodeId, f64>,
    pub cut: BTreeSet<(NodeId, NodeId)>,
    /// Ways on which words that ask to accept are lost, and no others.
    pub unheard: BTreeSet<(NodeId, NodeId)>,
    way: Vec<(f64, NodeId, NodeId, Message)>,
    /// Each way takes from this to twice as long.
    pub far: f64,
    pub lossy: f64,
    /// The part of words that come again, seconds later.
    pub twice: f64,
    /// How long a sync takes; with `grind` there is always one under way, for something else.
    pub sync: f64,
    pub grind: bool,
    pub done: Vec<(f64, u64, Outcome)>,
    /// Words that left each gateway for another, and their bytes.
    pub asks: usize,
    pub bytes: usize,
    /// When each gateway last asked for anything to be accepted.
    pub accepts: BTreeMap<NodeId, f64>,
    seats: Vec<NodeId>,
    size: NodeId,
}

impl Roads {
    pub fn new(seed: u64, seats: NodeId, size: NodeId) -> Roads {
        let mut roads = Roads {
            now: 10.0,
            fine: 0.002,
            chance: oorandom::Rand64::new(u128::from(seed)),
            live: BTreeMap::new(),
            disks: BTreeMap::new(),
            frozen: BTreeMap::new(),
            cut: BTreeSet::new(),
            unheard: BTreeSet::new(),
            way: Vec::new(),
            far: 0.006,
            lossy: 0.0,
            twice: 0.0,
            sync: 0.001,
            grind: false,
            done: Vec::new(),
            asks: 0,
            bytes: 0,
            accepts: BTreeMap::new(),
            seats: (1..=seats).collect(),
            size,
        };
        (1..=size).for_each(|node| roads.start(node));
        roads
    }

    pub fn start(&mut self, node: NodeId) {
        let disk = self.disks.entry(node).or_default();
        if !disk.voter_set.is_known() {
            disk.voter_set = VoterSet::initial(&self.seats);
        }
        let start = InitialState {
            identity: control_node(node),
            required_voters: self.seats.len(),
            // No seat is given away within these tests.
            catch_up: 1000.0,
            acceptors: Some(disk.slots.clone()),
            voter_set: disk.voter_set.clone(),
            grants: disk.grants.values().copied().collect(),
            seed: self.chance.rand_u64(),
        };
        self.live.insert(node, ControlNodeState::new(self.now, start));
        for other in (1..=self.size).filter(|other| *other != node) {
            for (from, to) in [(node, other), (other, node)] {
                if let Some(control) = self.live.get(&from) {
                    let greeting = control.peer_hello();
                    self.send(from, to, greeting);
                }
            }
        }
    }

    /// What was not on its disk is lost.
    pub fn kill(&mut self, node: NodeId) {
        self.live.remove(&node);
        self.frozen.remove(&node);
        if let Some(disk) = self.disks.get_mut(&node) {
            (disk.queue, disk.writing) = (Vec::new(), Vec::new());
        }
    }

    /// Cuts, or joins again, a gateway from all others, each way by itself.
    pub fn cut_off(&mut self, node: NodeId, out: bool, into: bool) {
        for other in (1..=self.size).filter(|other| *other != node) {
            for (pair, cut) in [((node, other), out), ((other, node), into)] {
                if cut {
                    self.cut.insert(pair)
                } else {
                    self.cut.remove(&pair)
                };
            }
        }
    }

    fn send(&mut self, from: NodeId, to: NodeId, word: Message) {
        if let Message::Consensus(_, ConsensusMessage::Accept(..)) = word {
            self.accepts.insert(from, self.now);
            if self.unheard.contains(&(from, to)) {
                return;
            }
        }
        if from == to {
            return self.way.push((self.now, from, to, word));
        }
        if let Message::Consensus(_, ConsensusMessage::ReadRequest(_) | ConsensusMessage::ReadReply(..)) =
            word
        {
            self.asks += usize::from(matches!(word, Message::Consensus(_, ConsensusMessage::ReadRequest(_))));
            self.bytes += postcard::to_stdvec(&word).unwrap().len() + 4;
        }
        if self.chance.rand_float() >= self.lossy && !self.cut.contains(&(from, to)) {
            let way = self.far * (1.0 + self.chance.rand_float());
            if self.chance.rand_float() < self.twice {
                let again = self.now + way + 4.0 * self.chance.rand_float();
                self.way.push((again, from, to, word.clone()));
            }
            self.way.push((self.now + way, from, to, word));
        }
    }

    pub fn step(&mut self, node: NodeId, step: impl FnOnce(&mut ControlNodeState, f64) -> Vec<Effect>) {
        let now = self.now;
        let Some(control) = self.live.get_mut(&node) else { return };
        let mut effects = step(control, now);
        // What is learned is told at once, as the program does.
        if effects.iter().any(|effect| matches!(effect, Effect::Learned(_))) {
            effects.extend(control.broadcast_heartbeat(now));
        }
        for effect in effects {
            match effect {
                Effect::Send(to, word) => self.send(node, to, word),
                Effect::Store(record, then) => {
                    self.disks.entry(node).or_default().queue.push((record, then));
                }
                Effect::Learned(_) => {}
                Effect::ProposalResolved(token, outcome) => self.done.push((now, token, outcome)),
            }
        }
    }

    fn turn_disk(&mut self, node: NodeId) {
        let (now, sync) = (self.now, self.sync * (0.8 + 0.4 * self.chance.rand_float()));
        let Some(disk) = self.disks.get_mut(&node) else { return };
        if now < disk.until {
            return;
        }
        let mut kept = std::mem::take(&mut disk.writing);
        disk.writing = std::mem::take(&mut disk.queue);
        let writes = disk.writing.iter().any(|(record, _)| *record != DurableRecord::default());
        if self.grind || writes {
            disk.until = now + sync;
        } else {
            kept.append(&mut disk.writing);
        }
        for (record, then) in kept {
            let disk = self.disks.entry(node).or_default();
            disk.voter_set = record.voter_set.unwrap_or(std::mem::take(&mut disk.voter_set));
            disk.slots.extend(record.acceptors);
            disk.grants.extend(record.grants.into_iter().map(|grant| (grant.role, grant)));
            then.into_iter().for_each(|(to, word)| self.send(node, to, word));
        }
    }

    pub fn awake(&self, node: NodeId) -> bool {
        self.live.contains_key(&node) && self.frozen.get(&node).is_none_or(|until| *until <= self.now)
    }

    /// One step of time: words arrive, disks take what waits, gateways look at their clocks.
    pub fn turn(&mut self) {
        self.now += self.fine;
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.way).into_iter().partition(|w| w.0 <= now);
        self.way = rest;
        for (_, from, to, word) in due {
            match self.frozen.get(&to) {
                Some(&until) if until > now => self.way.push((until, from, to, word)),
                _ => self.step(to, |control, now| control.step(now, from, word)),
            }
        }
        for node in 1..=self.size {
            if self.awake(node) {
                self.turn_disk(node);
                self.step(node, |control, now| control.tick(now));
            }
        }
    }

    pub fn run(&mut self, seconds: f64) {
        let until = self.now + seconds;
        while self.now < until {
            self.turn();
        }
    }

    pub fn replace(&mut self, node: NodeId, token: u64, version: u64, text: u8) {
        let change =
            Change::Configuration { version, digest: [text; 16], text: format!("text {text}").into() };
        self.step(node, |control, now| control.propose(now, change, token));
    }

    pub fn evacuate(&mut self, node: NodeId, token: u64, on: bool) {
        let change = Change::Evacuation { zone: "z".into(), on };
        self.step(node, |control, now| control.propose(now, change, token));
    }

    /// Until an order has ended; what became of it.
    pub fn until(&mut self, token: u64) -> Outcome {
        let until = self.now + 1.0;
        while self.outcome(token).is_none() {
            assert!(self.now < until, "no end of order {token}");
            self.turn();
        }
        self.outcome(token).unwrap()
    }

    /// What became of an order, if it has ended.
    pub fn outcome(&self, token: u64) -> Option<Outcome> {
        self.done.iter().find(|(_, t, _)| *t == token).map(|(_, _, outcome)| *outcome)
    }

    /// Seconds since a majority was asked that confirmed what a gateway holds.
    pub fn age(&self, node: NodeId, register: Register) -> f64 {
        self.live[&node].proposer.confirmed(register).map_or(f64::INFINITY, |at| self.now - at)
    }

    pub fn stamp(&self, node: NodeId, register: Register) -> u64 {
        self.live[&node].proposer.chosen(register).map_or(0, |held| held.revision)
    }
}

pub fn control_node(node: NodeId) -> ControlNode {
    let address = std::net::SocketAddrV4::new(node.into(), 80);
    ControlNode { node, zone: format!("z{node}"), region: "r".into(), operator_address: address }
}
