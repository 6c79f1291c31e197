//! The simulated network: control nodes with their disks and links, advanced in small steps of simulated
//! time. All random numbers come from one seed.

use crate::disk::Disk;
use archlink_consensus::proposer::Change;
use archlink_consensus::{Effect, Outcome};
use archlink_control_node::node::{ControlNodeState, InitialState};
use archlink_messages::{ConsensusMessage, ControlNode, Message, NodeId, Register, VoterSet};
use std::collections::{BTreeMap, BTreeSet};

/// A `CatchUp` in seconds that is longer than any test, so that no lost voter is replaced.
const CATCH_UP: f64 = 1000.0;

struct InFlight {
    arrives_at: f64,
    from: NodeId,
    to: NodeId,
    message: Message,
}

pub struct SimulatedNetwork {
    /// Simulated time in seconds.
    pub now: f64,
    /// Length of one step of time, in seconds.
    pub step_seconds: f64,
    pub rng: oorandom::Rand64,
    /// The running nodes.
    pub nodes: BTreeMap<NodeId, ControlNodeState>,
    disks: BTreeMap<NodeId, Disk>,
    pub frozen_until: BTreeMap<NodeId, f64>,
    /// One-way links that lose all messages.
    pub partitioned: BTreeSet<(NodeId, NodeId)>,
    /// One-way links that lose accept requests and nothing else.
    pub accepts_lost: BTreeSet<(NodeId, NodeId)>,
    in_flight: Vec<InFlight>,
    /// The minimum latency of a message in seconds; the maximum is twice that.
    min_latency: f64,
    /// The fraction of messages that are lost.
    pub loss_rate: f64,
    /// The fraction of messages that arrive a second time, up to 4 s later.
    pub duplicate_rate: f64,
    /// Duration of a disk's sync in seconds.
    pub sync_seconds: f64,
    /// Whether every disk is always in a sync, on behalf of other writers.
    pub disks_always_sync: bool,
    /// Time, token and outcome of each resolved proposal.
    pub resolved: Vec<(f64, u64, Outcome)>,
    /// The number of quorum read requests sent between nodes.
    pub read_requests: usize,
    /// Bytes of quorum read requests and replies between nodes, including their length prefixes.
    pub read_bytes: usize,
    /// The time at which each node last sent an accept request.
    pub last_accept_request: BTreeMap<NodeId, f64>,
    initial_voters: Vec<NodeId>,
    node_count: NodeId,
}

impl SimulatedNetwork {
    /// Starts the nodes `1..=node_count`, of which the first `voters` are voters.
    pub fn new(seed: u64, voters: NodeId, node_count: NodeId) -> SimulatedNetwork {
        let mut network = SimulatedNetwork {
            now: 10.0,
            step_seconds: 0.002,
            rng: oorandom::Rand64::new(u128::from(seed)),
            nodes: BTreeMap::new(),
            disks: BTreeMap::new(),
            frozen_until: BTreeMap::new(),
            partitioned: BTreeSet::new(),
            accepts_lost: BTreeSet::new(),
            in_flight: Vec::new(),
            min_latency: 0.006,
            loss_rate: 0.0,
            duplicate_rate: 0.0,
            sync_seconds: 0.001,
            disks_always_sync: false,
            resolved: Vec::new(),
            read_requests: 0,
            read_bytes: 0,
            last_accept_request: BTreeMap::new(),
            initial_voters: (1..=voters).collect(),
            node_count,
        };
        (1..=node_count).for_each(|node| network.start(node));
        network
    }

    /// Starts a node from its disk and connects it to all others.
    pub fn start(&mut self, node: NodeId) {
        let disk = self.disks.entry(node).or_default();
        if !disk.voter_set.is_known() {
            disk.voter_set = VoterSet::initial(&self.initial_voters);
        }
        let initial = InitialState {
            identity: control_node(node),
            required_voters: self.initial_voters.len(),
            catch_up: CATCH_UP,
            acceptors: Some(disk.registers.clone()),
            voter_set: disk.voter_set.clone(),
            grants: disk.grants.values().copied().collect(),
            seed: self.rng.rand_u64(),
        };
        self.nodes.insert(node, ControlNodeState::new(self.now, initial));
        for peer in self.peers_of(node) {
            for (from, to) in [(node, peer), (peer, node)] {
                if let Some(sender) = self.nodes.get(&from) {
                    let hello = sender.peer_hello();
                    self.send(from, to, hello);
                }
            }
        }
    }

    fn peers_of(&self, node: NodeId) -> impl Iterator<Item = NodeId> + use<> {
        (1..=self.node_count).filter(move |peer| *peer != node)
    }

    /// Kills a node; everything that is not durable is lost.
    pub fn kill(&mut self, node: NodeId) {
        self.nodes.remove(&node);
        self.frozen_until.remove(&node);
        if let Some(disk) = self.disks.get_mut(&node) {
            disk.power_fail();
        }
    }

    /// Partitions a node from all others, or heals the partition, separately for each direction.
    pub fn partition(&mut self, node: NodeId, outgoing: bool, incoming: bool) {
        for peer in self.peers_of(node) {
            for (link, lost) in [((node, peer), outgoing), ((peer, node), incoming)] {
                if lost {
                    self.partitioned.insert(link);
                } else {
                    self.partitioned.remove(&link);
                }
            }
        }
    }

    fn send(&mut self, from: NodeId, to: NodeId, message: Message) {
        if let Message::Consensus(_, ConsensusMessage::Accept(..)) = message {
            self.last_accept_request.insert(from, self.now);
            if self.accepts_lost.contains(&(from, to)) {
                return;
            }
        }
        if from == to {
            return self.deliver_at(self.now, from, to, message);
        }
        self.count_read_message(&message);
        if self.rng.rand_float() >= self.loss_rate && !self.partitioned.contains(&(from, to)) {
            let latency = self.min_latency * (1.0 + self.rng.rand_float());
            if self.rng.rand_float() < self.duplicate_rate {
                let duplicate_at = self.now + latency + 4.0 * self.rng.rand_float();
                self.deliver_at(duplicate_at, from, to, message.clone());
            }
            self.deliver_at(self.now + latency, from, to, message);
        }
    }

    fn deliver_at(&mut self, arrives_at: f64, from: NodeId, to: NodeId, message: Message) {
        self.in_flight.push(InFlight { arrives_at, from, to, message });
    }

    fn count_read_message(&mut self, message: &Message) {
        const LENGTH_PREFIX: usize = 4;
        let Message::Consensus(_, consensus_message) = message else { return };
        let is_request = matches!(consensus_message, ConsensusMessage::ReadRequest(_));
        if is_request || matches!(consensus_message, ConsensusMessage::ReadReply(..)) {
            self.read_requests += usize::from(is_request);
            self.read_bytes += postcard::to_stdvec(message).unwrap().len() + LENGTH_PREFIX;
        }
    }

    /// Calls a node, if it is running, and performs the effects.
    pub fn step(&mut self, node: NodeId, call: impl FnOnce(&mut ControlNodeState, f64) -> Vec<Effect>) {
        let now = self.now;
        let Some(control_node) = self.nodes.get_mut(&node) else { return };
        let mut effects = call(control_node, now);
        // A learned value is announced at once, as the control plane does.
        if effects.iter().any(|effect| matches!(effect, Effect::Learned(_))) {
            effects.extend(control_node.broadcast_heartbeat(now));
        }
        for effect in effects {
            match effect {
                Effect::Send(to, message) => self.send(node, to, message),
                Effect::Store(record, messages) => {
                    self.disks.entry(node).or_default().queue(record, messages);
                }
                Effect::Learned(_) => {}
                Effect::ProposalResolved(token, outcome) => self.resolved.push((now, token, outcome)),
            }
        }
    }

    fn advance_disk(&mut self, node: NodeId) {
        let sync = self.sync_seconds * (0.8 + 0.4 * self.rng.rand_float());
        let Some(disk) = self.disks.get_mut(&node) else { return };
        for (to, message) in disk.advance(self.now, sync, self.disks_always_sync) {
            self.send(node, to, message);
        }
    }

    /// Returns whether the node is running and not frozen.
    pub fn is_responsive(&self, node: NodeId) -> bool {
        self.nodes.contains_key(&node) && self.frozen_until.get(&node).is_none_or(|until| *until <= self.now)
    }

    /// Advances time by one step: messages arrive, disks sync, nodes tick.
    pub fn advance(&mut self) {
        self.now += self.step_seconds;
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|in_flight| in_flight.arrives_at <= now);
        self.in_flight = rest;
        for InFlight { from, to, message, .. } in due {
            match self.frozen_until.get(&to) {
                Some(&until) if until > now => self.deliver_at(until, from, to, message),
                _ => self.step(to, |control_node, now| control_node.step(now, from, message)),
            }
        }
        for node in 1..=self.node_count {
            if self.is_responsive(node) {
                self.advance_disk(node);
                self.step(node, |control_node, now| control_node.tick(now));
            }
        }
    }

    pub fn run(&mut self, seconds: f64) {
        let end = self.now + seconds;
        while self.now < end {
            self.advance();
        }
    }

    /// Proposes a configuration whose text and digest follow from `content`.
    pub fn propose_configuration(&mut self, node: NodeId, token: u64, version: u64, content: u8) {
        let text = format!("text {content}").into();
        let change = Change::Configuration { version, digest: [content; 16], text };
        self.step(node, |control_node, now| control_node.propose(now, change, token));
    }

    /// Proposes the start (`on`) or the end of an evacuation of zone `z`.
    pub fn propose_evacuation(&mut self, node: NodeId, token: u64, on: bool) {
        let change = Change::Evacuation { zone: "z".into(), on };
        self.step(node, |control_node, now| control_node.propose(now, change, token));
    }

    /// Runs until a proposal is resolved and returns its outcome. Panics after a second.
    pub fn wait_for(&mut self, token: u64) -> Outcome {
        let deadline = self.now + 1.0;
        while self.outcome(token).is_none() {
            assert!(self.now < deadline, "proposal {token} does not resolve");
            self.advance();
        }
        self.outcome(token).unwrap()
    }

    /// Returns the outcome of a proposal, if it is resolved.
    pub fn outcome(&self, token: u64) -> Option<Outcome> {
        self.resolved.iter().find(|(_, resolved, _)| *resolved == token).map(|(_, _, outcome)| *outcome)
    }

    /// Returns the seconds since the start of the quorum read that last confirmed a node's value of a
    /// register; infinity if there was none.
    pub fn confirmed_age(&self, node: NodeId, register: Register) -> f64 {
        self.nodes[&node]
            .proposer
            .confirmed(register)
            .map_or(f64::INFINITY, |confirmed_at| self.now - confirmed_at)
    }

    /// Returns the revision of a node's committed value of a register, 0 if it knows none.
    pub fn revision(&self, node: NodeId, register: Register) -> u64 {
        self.nodes[&node].proposer.committed(register).map_or(0, |value| value.revision)
    }
}

fn control_node(node: NodeId) -> ControlNode {
    let address = std::net::SocketAddrV4::new(node.into(), 80);
    ControlNode { node, zone: format!("z{node}"), region: "r".into(), operator_address: address }
}
