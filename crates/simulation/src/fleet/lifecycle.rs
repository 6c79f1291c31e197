//! Starts, crashes, pauses and replacements of machines.

use super::Fleet;
use super::disk::Kept;
use super::event_queue::Event;
use archlink_consensus::Outcome;
use archlink_control_node::node::{ControlNodeState, InitialState};
use archlink_messages::{ControlNode, NodeId, VoterSet};

/// Seconds between two ticks, as in the program.
pub(super) const TICK_INTERVAL: f64 = 0.05;
/// Port of the operators' interface that simulated nodes announce; nothing listens there.
const OPERATOR_PORT: u16 = 80;
/// Part of the crashes in which the write under way is found complete on the disk afterwards.
const WRITE_SURVIVES_CRASH: f64 = 0.5;

fn control_node(node: NodeId) -> ControlNode {
    let operator_address = std::net::SocketAddrV4::new(node.into(), OPERATOR_PORT);
    ControlNode { node, zone: format!("z{node}"), region: "r".into(), operator_address }
}

impl Fleet {
    /// Starts a node on what its disk has. `first` marks the very first start, at which an empty disk gets the seeds as its
    /// voter set. A node that is up or decommissioned is left as it is.
    pub fn start(&mut self, node: NodeId, first: bool) {
        let unavailable = self.live.contains_key(&node) || self.decommissioned.contains(&node);
        let Some(disk) = self.disks.get_mut(&node).filter(|_| !unavailable) else { return };
        if disk.hangs_until > self.now {
            return self.events.push(disk.hangs_until, Event::Start { node, first_start: first });
        }
        // As in the program, the seeds are durable before anything else is done.
        if first && !disk.kept.voter_set.is_known() {
            disk.kept.voter_set = VoterSet::initial(&self.seeds);
        }
        let durable = disk.kept.clone();
        let control = self.recover(node, durable);
        self.trace(|_| {
            let recovered = control.acceptor.is_recovered();
            format!("{node} starts in epoch {}, recovered {recovered}", control.voter_set().epoch)
        });
        self.live.insert(node, control);
        self.paused_until.remove(&node);
        let incarnation = self.next_incarnation(node);
        let at = self.now + TICK_INTERVAL * self.rng.rand_float();
        self.events.push(at, Event::Tick { node, incarnation });
        self.connect_to_peers(node);
    }

    fn recover(&mut self, node: NodeId, durable: Kept) -> ControlNodeState {
        let initial = InitialState {
            identity: control_node(node),
            required_voters: self.required_voters,
            catch_up: self.catch_up,
            acceptors: durable.voter_set.is_known().then_some(durable.slots),
            voter_set: durable.voter_set,
            grants: durable.grants.into_values().collect(),
            seed: self.rng.rand_u64(),
        };
        ControlNodeState::new(self.clock(node), initial)
    }

    fn next_incarnation(&mut self, node: NodeId) -> u64 {
        let incarnation = self.incarnations.entry(node).or_default();
        *incarnation += 1;
        *incarnation
    }

    /// Links come up anew, and each end introduces itself.
    fn connect_to_peers(&mut self, node: NodeId) {
        for other in self.nodes() {
            for (from, to) in [(node, other), (other, node)] {
                if from != to && self.live.contains_key(&from) && self.live.contains_key(&to) {
                    self.connect(from, to);
                }
            }
        }
    }

    /// Starts a machine that was not there before, with an empty disk and an address of its own.
    pub fn join(&mut self, node: NodeId) {
        self.max_node = self.max_node.max(node);
        self.disks.entry(node).or_default();
        self.start(node, false);
    }

    /// Ends a machine for good, and its disk with it.
    pub fn decommission(&mut self, node: NodeId) {
        self.kill(node, true);
        self.disks.remove(&node);
        self.decommissioned.insert(node);
    }

    /// Crashes a node. The write under way is durable as a whole or not at all; queued writes are lost; with `wipe` the disk
    /// is lost too. The outcome of its open operations is unknown.
    pub fn kill(&mut self, node: NodeId, wipe: bool) {
        let was_live = self.live.remove(&node).is_some();
        let Some(disk) = self.disks.get_mut(&node) else { return };
        let writing = std::mem::take(&mut disk.writing);
        disk.queued.clear();
        if was_live && self.rng.rand_float() < WRITE_SURVIVES_CRASH {
            writing.into_iter().for_each(|write| disk.apply(write.record));
        }
        if wipe {
            disk.kept = Kept::default();
        }
        self.trace(|_| format!("{node} crashes{}", if wipe { " and loses its disk" } else { "" }));
        for token in self.checks.open_operations(node) {
            self.resolve(node, token, Outcome::Unknown);
        }
    }

    /// Crashes a node and powers its machine off as well: the monotonic clock begins anew.
    pub fn power_off(&mut self, node: NodeId, wipe: bool) {
        self.kill(node, wipe);
        let rate = self.machine_clock(node).rate;
        let reading = 1.0 + self.rng.rand_float();
        self.set_clock(node, rate, reading);
    }

    /// Pauses a node for so many seconds; what is sent to it waits.
    pub fn freeze(&mut self, node: NodeId, seconds: f64) {
        self.trace(|_| format!("{node} is paused for {seconds:.3}"));
        let until = self.now + seconds;
        self.resume_times.push(until);
        let paused_until = self.paused_until.entry(node).or_insert(until);
        *paused_until = paused_until.max(until);
    }
}
