//! Plays a plan to its end: the steps at their time, what ends a step later, then a quiet time in which everything must come
//! right. Owns what a fleet is asked to bear: no more disks lost at once than it is for. Must never ask for more.

use crate::checks::Order;
use crate::network::{Fleet, Net};
use crate::scenario::{Loss, Plan, Size, Step};
use archlink_consensus::{MembershipChange, Outcome};
use archlink_control_node::node::ControlNodeState;
use archlink_messages::{NodeId, Register, SINGLETON_ROLES, decode_evacuated_zones};
use std::collections::BTreeMap;

/// A lost disk counts until the gateway was back, and nothing else was wrong, for so long.
const CATCH_UP: f64 = 8.0;
/// After the last trouble, until everything has to be right; and what a change of the voters that is under way by then may
/// take beyond it.
const QUIET: f64 = 10.0;
const CHANGE: f64 = 20.0;
/// An order in quiet times is acknowledged within this.
const ORDER: f64 = 2.0;
/// A process that is told to leave goes on for so long at least, and while its seat is handed over at most for so long in all,
/// as in the program.
const LEAVES: f64 = 0.5;
const MOST_LEAVES: f64 = 5.1;
/// Between two looks whether a leaving process may end.
const LOOK: f64 = 0.05;
/// Just after the moment from which on a loss is allowed.
const JUST_AFTER: f64 = 1e-3;

/// What is still to come of earlier steps.
#[derive(Clone, Debug)]
enum Later {
    Start(NodeId),
    Leave(NodeId, Left),
    /// A process that was told to leave ends once it may, and by then at the latest.
    End(NodeId, Left, f64),
    Join(NodeId),
    Kill(NodeId, f64),
    Cut(NodeId, NodeId, f64),
    Sync(NodeId, f64),
    Net(Net),
    Read(NodeId, f64, f64),
    Withdraw(NodeId, u64),
    Race(NodeId, u64),
}

/// What becomes of a machine whose process has left in order.
#[derive(Clone, Copy, Debug)]
enum Left {
    /// It starts again after so long.
    Again(f64),
    ForGood,
}

/// How a plan ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Played {
    pub fault: Option<String>,
    /// Made-up seconds, and steps of cores.
    pub seconds: f64,
    pub steps: u64,
    pub story: Vec<String>,
}

struct Play {
    fleet: Fleet,
    later: Vec<(f64, Later)>,
    size: Size,
    tokens: u64,
    version: u64,
    /// Gateways whose disk was lost, and since when nothing was wrong.
    lost: BTreeMap<NodeId, f64>,
    trouble_until: f64,
    /// The machine at each place, and since when it has its disk.
    places: Vec<NodeId>,
    disks_since: BTreeMap<NodeId, f64>,
    /// Until when each machine counts as lost, as the operators count.
    counted: BTreeMap<NodeId, f64>,
    machines: NodeId,
    catch_up: f64,
}

/// Plays a plan; with `story` every step is told.
pub fn play(plan: &Plan, story: bool) -> Played {
    let size = plan.size;
    let mut fleet = Fleet::empty(plan.seed, size.needed(), size.gateways());
    fleet.strict = false;
    fleet.catch_up = plan.catch_up;
    fleet.story = story.then(Vec::new);
    for node in fleet.nodes() {
        let n = node as usize - 1;
        let shows = 5.0 + 1000.0 * f64::from(node);
        fleet.set_clock(node, plan.rates.get(n).copied().unwrap_or(1.0), shows);
        fleet.set_sync(node, plan.syncs.get(n).copied().unwrap_or(0.0));
    }
    for node in fleet.nodes() {
        fleet.start(node, true);
    }
    let mut play = Play {
        fleet,
        later: Vec::new(),
        size,
        tokens: 0,
        version: 0,
        lost: BTreeMap::new(),
        trouble_until: 0.0,
        places: (1..=size.gateways()).collect(),
        disks_since: BTreeMap::new(),
        counted: BTreeMap::new(),
        machines: size.gateways(),
        catch_up: size.catch_up(),
    };
    play.run(1.0);
    for (wait, step) in &plan.steps {
        play.run(*wait);
        if play.fleet.fault.is_some() {
            break;
        }
        let places = play.places.clone();
        play.step(&step.at(|place| places[place as usize - 1]));
    }
    if play.fleet.fault.is_none() {
        play.quiet(plan);
    }
    let fault = play.fleet.fault.take();
    let story = play.fleet.story.take().unwrap_or_default();
    Played { fault, seconds: play.fleet.now, steps: play.fleet.steps, story }
}

impl Play {
    /// Lets time go by, and does what comes due.
    fn run(&mut self, seconds: f64) {
        let until = self.fleet.now + seconds;
        loop {
            let due = self.later.iter().enumerate().min_by(|a, b| a.1.0.total_cmp(&b.1.0));
            let Some(n) = due.filter(|(_, (at, _))| *at <= until).map(|(n, _)| n) else { break };
            let (at, later) = self.later.remove(n);
            self.fleet.run((at - self.fleet.now).max(0.0));
            self.come(later);
            if self.fleet.fault.is_some() {
                return;
            }
        }
        self.fleet.run((until - self.fleet.now).max(0.0));
    }

    fn later(&mut self, after: f64, later: Later) {
        self.later.push((self.fleet.now + after, later));
    }

    fn come(&mut self, later: Later) {
        match later {
            Later::Start(node) => self.fleet.start(node, false),
            Later::Join(node) => self.fleet.join(node),
            Later::Leave(node, left) => {
                self.fleet.step(node, |control, now| control.leave(now));
                let until = self.fleet.now + MOST_LEAVES;
                self.later(LEAVES, Later::End(node, left, until));
            }
            Later::End(node, left, until) => self.end(node, left, until),
            Later::Kill(node, down) => {
                self.fleet.kill(node, false);
                self.later(down, Later::Start(node));
            }
            Later::Cut(from, to, seconds) => self.fleet.cut_for(from, to, seconds),
            Later::Sync(node, sync) => self.fleet.set_sync(node, sync),
            Later::Net(net) => self.fleet.net = net,
            Later::Read(node, every, until) => {
                self.fleet.read(node);
                if self.fleet.now + every < until {
                    self.later(every, Later::Read(node, every, until));
                }
            }
            Later::Withdraw(node, token) => self.fleet.withdraw(node, token),
            Later::Race(node, version) => drop(self.chart(node, version, 2.0)),
        }
    }

    fn end(&mut self, node: NodeId, left: Left, until: f64) {
        let may = |control: &ControlNodeState| control.may_shut_down(self.fleet.clock(node));
        if self.fleet.now < until && self.fleet.live.get(&node).is_some_and(|control| !may(control)) {
            return self.later(LOOK, Later::End(node, left, until));
        }
        match left {
            Left::Again(gap) => self.come(Later::Kill(node, gap)),
            Left::ForGood => self.fleet.remove(node),
        }
    }

    /// That machine counts as lost for so long, and for `CatchUp` after it.
    fn count(&mut self, node: NodeId, seconds: f64) {
        let until = self.fleet.now + seconds + self.catch_up;
        let counted = self.counted.entry(node).or_insert(until);
        *counted = counted.max(until);
    }

    /// Waits until one more machine may be lost, this one, and no longer.
    fn wait_for_turn(&mut self, node: NodeId) {
        loop {
            let now = self.fleet.now;
            let others = self.counted.iter().filter(|(lost, until)| **lost != node && **until >= now);
            let mut ends: Vec<f64> = others.map(|(_, until)| *until).collect();
            if ends.len() < self.size.losses() || self.fleet.fault.is_some() {
                return;
            }
            ends.sort_by(f64::total_cmp);
            let end = ends[ends.len() - self.size.losses()];
            self.run(end - now + JUST_AFTER);
        }
    }

    /// Waits until no machine counts as lost: a roll takes down one after the other.
    fn wait_for_all(&mut self) {
        let until = self.counted.values().copied().fold(self.fleet.now, f64::max);
        if self.fleet.catch_up < crate::network::NEVER {
            self.run(until - self.fleet.now);
        }
    }

    /// While one machine hands its seat over and another one is lost, no third thing befalls all: two of three seats would be gone
    /// within a moment.
    fn wait_for_leavers(&mut self) {
        let leaves = |(_, later): &(f64, Later)| {
            matches!(later, Later::Leave(_, Left::ForGood) | Later::End(_, Left::ForGood, _))
        };
        let lost = |play: &Play| play.counted.values().any(|until| *until > play.fleet.now);
        while self.fleet.fault.is_none() && self.later.iter().any(leaves) && lost(self) {
            self.run(LOOK);
        }
    }

    /// A machine that was not there before takes the place of another one.
    fn newcomer(&mut self, old: NodeId) -> NodeId {
        self.machines += 1;
        let new = self.machines;
        self.places.iter_mut().filter(|place| **place == old).for_each(|place| *place = new);
        self.disks_since.insert(new, self.fleet.now);
        new
    }

    fn replaced(&mut self, old: NodeId, gap: f64, planned: bool) {
        if planned {
            let new = self.newcomer(old);
            self.wait_for_turn(new);
            self.fleet.join(new);
            self.count(new, 0.0);
            self.run(gap);
            // The newcomer has had its time: the one that goes counts no more.
            self.wait_for_turn(old);
            self.counted.remove(&old);
            return self.come(Later::Leave(old, Left::ForGood));
        }
        self.wait_for_turn(old);
        self.fleet.remove(old);
        self.counted.remove(&old);
        let new = self.newcomer(old);
        self.later(gap, Later::Join(new));
        self.count(new, gap);
    }

    fn lose(&mut self, node: NodeId, loss: Loss, seconds: f64) {
        self.wait_for_turn(node);
        self.count(node, seconds);
        match loss {
            Loss::Wipe => {
                self.fleet.power_off(node, true);
                self.disks_since.insert(node, self.fleet.now);
                self.later(seconds, Later::Start(node));
            }
            Loss::Power => self.step(&Step::Power { node, down: seconds }),
            Loss::Kill => self.step(&Step::Kill { node, down: seconds }),
            Loss::Freeze => self.step(&Step::Freeze { node, seconds }),
            Loss::Isolate => self.step(&Step::Isolate { node, seconds }),
            Loss::Hang => self.step(&Step::Hang { node, seconds }),
        }
    }

    /// The machine whose disk has lasted longest; of several the first voter.
    fn oldest(&self) -> NodeId {
        let votes =
            |node: &NodeId| self.fleet.live.values().any(|control| control.voter_set().contains(*node));
        let since = |node: &NodeId| self.disks_since.get(node).copied().unwrap_or(f64::NEG_INFINITY);
        let older = |a: &&NodeId, b: &&NodeId| since(a).total_cmp(&since(b)).then(votes(b).cmp(&votes(a)));
        *self.places.iter().min_by(older).expect("a place")
    }

    /// Something is wrong for so long.
    fn trouble(&mut self, seconds: f64) {
        self.trouble_until = self.trouble_until.max(self.fleet.now + seconds);
        // Who is not back for good yet has the whole time before it.
        let until = self.trouble_until;
        self.lost.values_mut().for_each(|since| *since = since.max(until));
    }

    fn token(&mut self) -> u64 {
        self.tokens += 1;
        self.tokens
    }

    fn chart(&mut self, node: NodeId, version: u64, patience: f64) -> u64 {
        let token = self.token();
        self.fleet.replace(node, token, version);
        self.later(patience, Later::Withdraw(node, token));
        token
    }

    /// Is there room for one more lost disk?
    fn may_lose(&mut self, node: NodeId) -> bool {
        let now = self.fleet.now;
        self.lost.retain(|_, since| now < *since + CATCH_UP);
        // Before the first change, or after one that was taken back, there are fewer seats than are needed.
        let seats = self
            .fleet
            .live
            .values()
            .map(|control| control.voter_set().voters.len())
            .filter(|&seats| seats > 0);
        let borne = (seats.min().unwrap_or(0).max(1) - 1) / 2;
        self.lost.contains_key(&node) || self.lost.len() < self.size.losses().min(borne)
    }

    fn step(&mut self, step: &Step) {
        let fleet = &mut self.fleet;
        match *step {
            Step::Chart { node, above, patience } => {
                let version = self.version.saturating_add_signed(above.into()).max(1);
                self.version = self.version.max(version);
                self.chart(node, version, patience);
            }
            Step::Race { nodes: (one, other), gap } => {
                self.version += 1;
                let version = self.version;
                self.chart(one, version, 2.0);
                self.later(gap, Later::Race(other, version));
            }
            Step::Zone { node, zone, on, patience } => {
                let token = self.token();
                self.fleet.evacuate(node, token, &format!("zone{zone}"), on);
                self.later(patience, Later::Withdraw(node, token));
            }
            Step::Reseat { node, old, new } => {
                let token = self.token();
                self.fleet.reseat(node, token, MembershipChange::Replace { old, new });
            }
            Step::Reads { node, every, seconds } => {
                let until = fleet.now + seconds;
                self.come(Later::Read(node, every, until));
            }
            Step::Cut { from, to, seconds } => {
                fleet.cut_for(from, to, seconds);
                self.trouble(seconds);
            }
            Step::Isolate { node, seconds } => {
                for other in fleet.nodes() {
                    fleet.cut_for(node, other, seconds);
                    fleet.cut_for(other, node, seconds);
                }
                self.trouble(seconds);
            }
            Step::Split { bits, seconds } => {
                let places = self.places.clone();
                let side = |place: usize| bits >> place & 1;
                for (n, &from) in places.iter().enumerate() {
                    for (_, &to) in places.iter().enumerate().filter(|(m, _)| side(n) != side(*m)) {
                        fleet.cut_for(from, to, seconds);
                    }
                }
                self.trouble(seconds);
            }
            Step::Flap { from, to, period, times } => {
                for n in 0..times {
                    self.later(2.0 * period * f64::from(n), Later::Cut(from, to, period));
                }
                self.trouble(2.0 * period * f64::from(times));
            }
            Step::Stall { from, to, seconds } => {
                fleet.stall(from, to, seconds);
                self.trouble(seconds);
            }
            Step::Hold { node, seconds } => {
                for other in fleet.nodes().filter(|&other| other != node) {
                    fleet.stall(node, other, seconds);
                }
                self.trouble(seconds);
            }
            Step::Noise { lossy, doubled, late, late_by, seconds } => {
                fleet.net = Net { lossy, doubled, late, late_by, ..fleet.net };
                self.later(seconds, Later::Net(Net::default()));
                self.trouble(seconds);
            }
            Step::Freeze { node, seconds } => {
                fleet.freeze(node, seconds);
                self.trouble(seconds);
            }
            Step::Kill { node, down } => {
                fleet.kill(node, false);
                self.later(down, Later::Start(node));
                self.trouble(down);
            }
            Step::Power { node, down } => {
                fleet.power_off(node, false);
                self.later(down, Later::Start(node));
                self.trouble(down);
            }
            Step::Wipe { node, down } => {
                if self.may_lose(node) {
                    self.fleet.power_off(node, true);
                    self.later(down, Later::Start(node));
                    self.trouble(down);
                    self.lost.insert(node, self.trouble_until);
                }
            }
            Step::KillAll { down } => self.all(down, Fleet::kill),
            Step::PowerAll { down } => self.all(down, Fleet::power_off),
            Step::Roll { gap } => {
                self.wait_for_all();
                for (n, node) in self.places.clone().into_iter().enumerate() {
                    let at = n as f64 * (gap + LEAVES);
                    self.later(at, Later::Leave(node, Left::Again(gap)));
                    self.count(node, at + MOST_LEAVES + gap);
                }
                self.trouble(self.places.len() as f64 * (gap + LEAVES) + MOST_LEAVES);
            }
            Step::Slow { node, sync, seconds } => {
                let before = fleet.disks.get(&node).map_or(0.0, |disk| disk.sync);
                fleet.set_sync(node, sync);
                self.later(seconds, Later::Sync(node, before));
                self.trouble(seconds);
            }
            Step::Hang { node, seconds } => {
                fleet.hang(node, seconds);
                self.trouble(seconds);
            }
            Step::Replace { node, gap, planned } => self.replaced(node, gap, planned),
            Step::Lose { node, loss, seconds } => self.lose(node, loss, seconds),
            Step::LoseOldest { loss, seconds } => {
                let oldest = self.oldest();
                self.lose(oldest, loss, seconds);
            }
        }
    }

    fn all(&mut self, down: f64, end: impl Fn(&mut Fleet, NodeId, bool)) {
        self.wait_for_leavers();
        for node in self.places.clone() {
            end(&mut self.fleet, node, false);
            self.later(down, Later::Start(node));
            self.count(node, down);
        }
        self.trouble(down);
    }

    /// Everything is well again from here on, and must come right.
    fn quiet(&mut self, plan: &Plan) {
        // Who leaves for good does so in order, and its successor comes; of the others, what is on its way out goes, and all that
        // is not there comes back.
        let comes_or_goes = |later: &Later| {
            matches!(later, Later::Join(_) | Later::Leave(_, Left::ForGood) | Later::End(_, Left::ForGood, _))
        };
        while self.fleet.fault.is_none() && self.later.iter().any(|(_, later)| comes_or_goes(later)) {
            self.run(LOOK);
        }
        let later = std::mem::take(&mut self.later);
        for (_, later) in &later {
            match *later {
                Later::Kill(node, _) | Later::Leave(node, _) | Later::End(node, _, _) => {
                    self.fleet.kill(node, false)
                }
                _ => {}
            }
        }
        self.later = later.into_iter().filter(|(_, later)| matches!(later, Later::Withdraw(..))).collect();
        self.fleet.heal();
        for node in self.places.clone() {
            self.fleet.set_sync(node, plan.syncs.get(node as usize - 1).copied().unwrap_or(0.0));
            self.fleet.start(node, false);
        }
        self.run(QUIET);
        self.settled();
        // Each gateway takes an order, one after the other.
        for node in self.places.clone() {
            self.version += 1;
            let token = self.chart(node, self.version, ORDER);
            self.run(ORDER);
            let outcome = self.fleet.done.get(&token).copied();
            if outcome != Some(Outcome::Chosen) {
                let nothing = format!("order {token} at {node} in quiet times: {outcome:?}");
                self.fleet.hold(Err(nothing));
            }
        }
        self.settled();
    }

    /// Everything must be right, or be so once a change that is under way has ended.
    fn settled(&mut self) {
        const LAST_WORD: f64 = 1.0;
        let until = self.fleet.now + CHANGE;
        let mut still = self.fleet.now + LAST_WORD;
        while self.fleet.fault.is_none() {
            let right = self.right();
            let changing = |control: &ControlNodeState| control.voter_set().is_joint();
            let now = self.fleet.now;
            still = if self.fleet.live.values().any(changing) { now + LAST_WORD } else { still };
            match right {
                Ok(()) => return,
                Err(fault) if now >= until || now >= still => self.fleet.hold(Err(fault)),
                Err(_) => self.run(0.5),
            }
        }
    }

    /// Is everything as it has to be in quiet times?
    fn right(&self) -> Result<(), String> {
        let fleet = &self.fleet;
        let newest = fleet.checks.acknowledged();
        let known = fleet.live.values().next().map(|control| control.voter_set().clone()).unwrap_or_default();
        for (node, control) in &fleet.live {
            let stamp = control.proposer.chosen(Register::Configuration).map_or(0, |held| held.revision);
            if stamp < newest {
                return Err(format!("{node} holds {stamp}, {newest} was acknowledged"));
            }
            for register in archlink_messages::REGISTERS {
                let value = control.proposer.chosen(register).map(|held| &held.value);
                let last = fleet.checks.lines.get(&register).and_then(|line| line.last());
                if value != last.map(|seen| &seen.value) {
                    return Err(format!("{node} has {register:?} {value:?}, {last:?} is the last"));
                }
                let lately =
                    control.proposer.confirmed(register).is_some_and(|at| at > fleet.clock(*node) - 1.5);
                if !lately {
                    return Err(format!("{node} has {register:?} not confirmed lately"));
                }
            }
            let voter_set = control.voter_set();
            if *voter_set != known || voter_set.is_joint() {
                return Err(format!("{node} goes by {voter_set:?}, another by {known:?}"));
            }
            if voter_set.contains(*node) && !control.acceptor.is_recovered() {
                return Err(format!("{node} votes and is not whole"));
            }
        }
        for role in SINGLETON_ROLES {
            let agreed = fleet.agreed(role);
            if agreed.is_none() || agreed != fleet.holder(role) {
                return Err(format!("{role:?} is held by {:?}, {agreed:?} is known", fleet.holder(role)));
            }
        }
        self.zones()
    }

    /// An acknowledged order on a zone, after the end of which none was open, is what stands.
    fn zones(&self) -> Result<(), String> {
        let line = self.fleet.checks.lines.get(&Register::Evacuations);
        let stands = line
            .and_then(|line| line.last())
            .map(|seen| decode_evacuated_zones(&seen.value))
            .unwrap_or_default();
        let mut last: BTreeMap<&str, (f64, f64, bool)> = BTreeMap::new();
        for given in self.fleet.checks.orders.values() {
            let (Order::Zone { zone, on }, Some((end, outcome))) = (&given.order, given.ended) else {
                continue;
            };
            let (begin, alone) = (given.at, outcome == Outcome::Chosen);
            let before = last.get(zone.as_str()).copied();
            // Of orders that overlap, or whose end is not known, either may be last.
            let sure = alone && before.is_none_or(|(ended, _, _)| ended < begin);
            let until = end.max(before.map_or(end, |(ended, _, _)| ended));
            let settled = if sure { begin } else { f64::INFINITY };
            last.insert(zone, (until, settled, *on));
        }
        for (zone, (_, settled, on)) in last {
            if settled.is_finite() && stands.contains(zone) != on {
                return Err(format!("{zone} was last ordered {on} and acknowledged, it is {stands:?}"));
            }
        }
        Ok(())
    }
}
