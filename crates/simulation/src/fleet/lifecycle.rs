//! Starts, crashes, pauses, joins and decommissions machines.

use super::Fleet;
use super::disk::DurableState;
use super::event_queue::Event;
use archlink_consensus::Outcome;
use archlink_control_node::node::{ControlNodeState, InitialState};
use archlink_messages::{ControlNode, NodeId, VoterSet};

/// Seconds between two ticks, as in the deployed program.
pub(super) const TICK_INTERVAL: f64 = 0.05;
/// Port of the operator interface that simulated nodes announce; nothing listens there.
const OPERATOR_PORT: u16 = 80;
/// Probability that the write in progress during a crash is complete on the disk afterwards.
const WRITE_SURVIVAL_PROBABILITY: f64 = 0.5;

fn control_node(node: NodeId) -> ControlNode {
    let operator_address = std::net::SocketAddrV4::new(node.into(), OPERATOR_PORT);
    ControlNode { node, zone: format!("z{node}"), region: "r".into(), operator_address }
}

impl Fleet {
    /// Starts a node from its durable state. On the first start, an empty disk gets the seeds as its voter set. Does nothing if
    /// the node is up or decommissioned.
    pub fn start(&mut self, node: NodeId, first_start: bool) {
        let unavailable = self.live.contains_key(&node) || self.decommissioned.contains(&node);
        let Some(disk) = self.disks.get_mut(&node).filter(|_| !unavailable) else { return };
        if disk.hangs_until > self.now {
            return self.events.push(disk.hangs_until, Event::Start { node, first_start });
        }
        // As in the deployed program, the seeds become durable before anything else happens.
        if first_start && !disk.durable.voter_set.is_known() {
            disk.durable.voter_set = VoterSet::initial(&self.seeds);
        }
        let durable = disk.durable.clone();
        let control = self.recover(node, durable);
        self.trace(|_| {
            let recovered = control.acceptor.is_recovered();
            format!("node {node} starts in epoch {}, recovered {recovered}", control.voter_set().epoch)
        });
        self.live.insert(node, control);
        self.paused_until.remove(&node);
        let incarnation = self.next_incarnation(node);
        let at = self.now + TICK_INTERVAL * self.rng.rand_float();
        self.events.push(at, Event::Tick { node, incarnation });
        self.connect_to_peers(node);
    }

    fn recover(&mut self, node: NodeId, durable: DurableState) -> ControlNodeState {
        let initial = InitialState {
            identity: control_node(node),
            required_voters: self.required_voters,
            catch_up: self.catch_up,
            acceptors: durable.voter_set.is_known().then_some(durable.acceptors),
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

    /// Opens the links to all peers that are up, in both directions; each end sends its hello.
    fn connect_to_peers(&mut self, node: NodeId) {
        for other in self.nodes() {
            for (from, to) in [(node, other), (other, node)] {
                if from != to && self.live.contains_key(&from) && self.live.contains_key(&to) {
                    self.connect(from, to);
                }
            }
        }
    }

    /// Starts a new machine with an empty disk and its own address.
    pub fn join(&mut self, node: NodeId) {
        self.max_node = self.max_node.max(node);
        self.disks.entry(node).or_default();
        self.start(node, false);
    }

    /// Removes a machine permanently, together with its disk.
    pub fn decommission(&mut self, node: NodeId) {
        self.kill(node, true);
        self.disks.remove(&node);
        self.decommissioned.insert(node);
    }

    /// Crashes a node. The write in progress becomes durable as a whole or not at all, queued writes are lost, and with `wipe`
    /// so is the disk's content. The outcome of the node's open operations is unknown.
    pub fn kill(&mut self, node: NodeId, wipe: bool) {
        let was_live = self.live.remove(&node).is_some();
        let Some(disk) = self.disks.get_mut(&node) else { return };
        let writing = std::mem::take(&mut disk.writing);
        disk.queued.clear();
        if was_live && self.rng.rand_float() < WRITE_SURVIVAL_PROBABILITY {
            writing.into_iter().for_each(|write| disk.apply(write.record));
        }
        if wipe {
            disk.durable = DurableState::default();
        }
        self.trace(|_| format!("node {node} crashes{}", if wipe { " and loses its disk" } else { "" }));
        for token in self.checks.open_operations(node) {
            self.resolve(node, token, Outcome::Unknown);
        }
    }

    /// Crashes a node and powers off its machine, which resets the monotonic clock.
    pub fn power_off(&mut self, node: NodeId, wipe: bool) {
        self.kill(node, wipe);
        let rate = self.machine_clock(node).rate;
        let reading = 1.0 + self.rng.rand_float();
        self.set_clock(node, rate, reading);
    }

    /// Pauses a node for `seconds`; messages to it wait.
    pub fn freeze(&mut self, node: NodeId, seconds: f64) {
        self.trace(|_| format!("node {node} is paused for {seconds:.3} s"));
        let until = self.now + seconds;
        self.resume_times.push(until);
        let paused_until = self.paused_until.entry(node).or_insert(until);
        *paused_until = paused_until.max(until);
    }
}
