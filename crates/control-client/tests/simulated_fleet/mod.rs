//! Data nodes and six control nodes on a simulated network in simulated time. They run the state machines of both
//! programs; traffic is counted in bytes of framed messages.
#![allow(dead_code)]

use archlink_consensus::proposer::Change;
use archlink_consensus::{DurableRecord, Effect, Outcome};
use archlink_control_client::fleet_view::{FleetView, ViewChange};
use archlink_control_client::session::{LocalNode, Session, SessionAction};
use archlink_control_node::event_log::Event;
use archlink_control_node::node::{ControlNodeState, InitialState};
use archlink_control_node::update_delivery::UpdateDelivery;
use archlink_messages::{
    AcceptorState, ControlNode, DataNode, HostInstance, HostList, Message, NodeId, Register, VoterSet, patch,
};
use bytes::Bytes;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

/// The number of zones; each region has three.
pub const ZONES: usize = 6;
/// Seconds for which a quorum's confirmation is valid.
pub const CONFIRMATION_LIFETIME: f64 = 4.3;
/// The highest id of a control node; the lowest is 1.
pub const CONTROL_NODES: NodeId = 6;
/// The lowest id of a data node.
pub const FIRST_DATA_NODE: NodeId = 100;
/// Length of a step of the simulation, in seconds.
const STEP: f64 = 0.01;
/// Token of a proposal to evacuate a zone. A proposal of a configuration has its version as token.
const EVACUATION_TOKEN: u64 = 1000;
/// The minimum delay of a message in seconds.
const MIN_DELAY: f64 = 0.001;
/// The maximum random delay of a message in addition to the minimum, in seconds.
const RANDOM_DELAY: f64 = 0.012;
const MICROSECONDS_PER_SECOND: f64 = 1e6;
/// Bytes of the length prefix of a message.
const LENGTH_PREFIX: usize = 4;

/// Returns the names of a zone and its region.
pub fn zone(index: usize) -> (String, String) {
    (format!("z{index}"), format!("r{}", index / 3))
}

pub struct SimulatedControlNode {
    pub control: ControlNodeState,
    pub update_delivery: UpdateDelivery,
    /// The time at which each data node's session was last renewed.
    pub sessions: BTreeMap<NodeId, f64>,
}

pub struct SimulatedDataNode {
    pub session: Session,
    pub view: FleetView,
    pub zone: usize,
    /// The control nodes at the other ends of its connections.
    pub connected_to: BTreeSet<NodeId>,
    /// The number of configurations that it has parsed and put in force.
    pub configurations: usize,
    pub hosts: HostList,
}

/// A message in flight.
pub struct InFlight {
    pub from: NodeId,
    pub to: NodeId,
    pub message: Message,
}

pub struct SimulatedFleet {
    /// Simulated time, in seconds.
    pub now: f64,
    pub rng: oorandom::Rand64,
    pub control_nodes: BTreeMap<NodeId, SimulatedControlNode>,
    pub data_nodes: BTreeMap<NodeId, SimulatedDataNode>,
    /// Messages by time of arrival in microseconds, then in the order of sending.
    pub in_flight: BTreeMap<(u64, u64), InFlight>,
    pub messages_sent: u64,
    /// Bytes sent and received by each node.
    pub bytes: BTreeMap<NodeId, usize>,
    pub outcomes: Vec<Outcome>,
    /// One-way links that lose all messages; connections between their ends can't be opened.
    pub partitions: BTreeSet<(NodeId, NodeId)>,
    /// The time at which each version was first acknowledged.
    pub acknowledged_at: BTreeMap<u64, f64>,
    disks: BTreeMap<NodeId, BTreeMap<Register, AcceptorState>>,
}

fn framed_length(message: &Message) -> usize {
    postcard::to_stdvec(message).unwrap().len() + LENGTH_PREFIX
}

impl SimulatedFleet {
    /// Starts six control nodes, of which the first three are voters, and `data_nodes` data nodes.
    pub fn new(data_nodes: usize) -> SimulatedFleet {
        let mut fleet = SimulatedFleet {
            now: 10.0,
            rng: oorandom::Rand64::new(5),
            control_nodes: BTreeMap::new(),
            data_nodes: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            messages_sent: 0,
            bytes: BTreeMap::new(),
            outcomes: Vec::new(),
            partitions: BTreeSet::new(),
            acknowledged_at: BTreeMap::new(),
            disks: BTreeMap::new(),
        };
        (1..=CONTROL_NODES).for_each(|node| fleet.start_control_node(node));
        for index in 0..data_nodes {
            fleet.start_data_node(FIRST_DATA_NODE + index as NodeId);
        }
        fleet
    }

    /// Starts or restarts a control node with the state on its disk.
    pub fn start_control_node(&mut self, node: NodeId) {
        let (zone, region) = zone(node as usize - 1);
        let operator_address = SocketAddrV4::new(node.into(), 80);
        let initial_state = InitialState {
            identity: ControlNode { node, zone, region, operator_address },
            voter_set: VoterSet::initial(&[1, 2, 3]),
            required_voters: 5,
            catch_up: 1000.0,
            acceptors: Some(self.disks.get(&node).cloned().unwrap_or_default()),
            grants: Vec::new(),
            seed: self.rng.rand_u64(),
        };
        let control = ControlNodeState::new(self.now, initial_state);
        let (update_delivery, sessions) = (UpdateDelivery::default(), BTreeMap::new());
        self.control_nodes.insert(node, SimulatedControlNode { control, update_delivery, sessions });
        for other in 1..=CONTROL_NODES {
            for (from, to) in [(node, other), (other, node)] {
                if let Some(sender) = self.control_nodes.get(&from).filter(|_| from != to) {
                    let hello = sender.control.peer_hello();
                    self.send(from, to, hello);
                }
            }
        }
    }

    /// Starts or restarts a data node without any state.
    pub fn start_data_node(&mut self, node: NodeId) {
        let zone_index = node as usize % ZONES;
        let (zone, region) = zone(zone_index);
        let data_node = SimulatedDataNode {
            session: Session::new(
                LocalNode { node, zone, region, seeds: vec![1, 2, 3] },
                CONFIRMATION_LIFETIME,
            ),
            view: FleetView::new(CONFIRMATION_LIFETIME),
            zone: zone_index,
            connected_to: BTreeSet::new(),
            configurations: 0,
            hosts: HostList::default(),
        };
        self.data_nodes.insert(node, data_node);
    }

    fn send(&mut self, from: NodeId, to: NodeId, message: Message) {
        if from == to {
            self.queue(0.0, InFlight { from, to, message });
            return;
        }
        if self.partitions.contains(&(from, to)) {
            return;
        }
        let length = framed_length(&message);
        *self.bytes.entry(from).or_default() += length;
        *self.bytes.entry(to).or_default() += length;
        let delay = MIN_DELAY + RANDOM_DELAY * self.rng.rand_float();
        self.queue(delay, InFlight { from, to, message });
    }

    fn queue(&mut self, delay: f64, in_flight: InFlight) {
        self.messages_sent += 1;
        let arrival = ((self.now + delay) * MICROSECONDS_PER_SECOND) as u64;
        self.in_flight.insert((arrival, self.messages_sent), in_flight);
    }

    /// Runs a step of a control node and performs the effects.
    pub fn step_control_node(
        &mut self,
        node: NodeId,
        step: impl FnOnce(&mut ControlNodeState, f64) -> Vec<Effect>,
    ) {
        let now = self.now;
        let Some(control_node) = self.control_nodes.get_mut(&node) else { return };
        for effect in step(&mut control_node.control, now) {
            self.perform_effect(node, effect);
        }
    }

    fn perform_effect(&mut self, node: NodeId, effect: Effect) {
        match effect {
            Effect::Send(to, message) => self.send(node, to, message),
            Effect::Store(DurableRecord { acceptors, .. }, messages) => {
                self.disks.entry(node).or_default().extend(acceptors);
                messages.into_iter().for_each(|(to, message)| self.send(node, to, message));
            }
            Effect::Learned(Register::Configuration) => {
                let control_node = self.control_nodes.get_mut(&node).unwrap();
                let committed = control_node.control.proposer.committed(Register::Configuration).unwrap();
                let text = patch::decompress(&committed.value, b"").unwrap();
                control_node.update_delivery.configuration_learned(committed.ordering_key(), text);
                self.broadcast_heartbeat(node);
            }
            Effect::Learned(_) => self.broadcast_heartbeat(node),
            Effect::ProposalResolved(version, outcome) => {
                self.outcomes.push(outcome);
                if outcome == Outcome::Chosen {
                    self.acknowledged_at.entry(version).or_insert(self.now);
                }
            }
        }
    }

    /// Sends a heartbeat to all sessions, since state changed.
    fn broadcast_heartbeat(&mut self, node: NodeId) {
        let control_node = &self.control_nodes[&node];
        let heartbeat = control_node.control.heartbeat(self.now, 0);
        let sessions: Vec<NodeId> = control_node.sessions.keys().copied().collect();
        sessions.into_iter().for_each(|data_node| self.send(node, data_node, heartbeat.clone()));
    }

    fn deliver_to_control_node(&mut self, node: NodeId, from: NodeId, message: Message) {
        match message {
            Message::SessionHeartbeat { serial, data_node, cluster_clock: clock, .. } => {
                let now = self.now;
                let Some(control_node) = self.control_nodes.get_mut(&node) else { return };
                control_node.sessions.insert(from, now);
                control_node.control.observe_clock(now, clock);
                self.step_control_node(node, |control, now| {
                    control.record_event(now, Event::SessionRenewed(data_node))
                });
                let heartbeat = self.control_nodes[&node].control.heartbeat(now, serial);
                self.send(node, from, heartbeat);
            }
            Message::UpdateRequest(versions) if from >= FIRST_DATA_NODE => {
                let now = self.now;
                let Some(control_node) = self.control_nodes.get_mut(&node) else { return };
                let updates = control_node.update_delivery.updates_for(now, &control_node.control, &versions);
                self.send(node, from, Message::StateUpdates(updates));
            }
            message => self.step_control_node(node, |control, now| control.step(now, from, message)),
        }
    }

    fn perform(&mut self, node: NodeId, actions: Vec<SessionAction>) {
        for action in actions {
            match action {
                SessionAction::Connect(to) => self.connect(node, to),
                SessionAction::Disconnect(from) => self.disconnect(node, from),
                SessionAction::Send(to, message) => {
                    if self.data_nodes[&node].connected_to.contains(&to) {
                        self.send(node, to, message);
                    }
                }
                SessionAction::Warn(_) => {}
            }
        }
    }

    fn connect(&mut self, node: NodeId, to: NodeId) {
        let is_partitioned = self.partitions.contains(&(node, to)) || self.partitions.contains(&(to, node));
        let is_reachable = self.control_nodes.contains_key(&to) && !is_partitioned;
        let data_node = self.data_nodes.get_mut(&node).unwrap();
        let result = if is_reachable { Ok(()) } else { Err("refused".to_string()) };
        if is_reachable {
            data_node.connected_to.insert(to);
        }
        let actions = data_node.session.connected(self.now, to, result);
        self.perform(node, actions);
    }

    fn disconnect(&mut self, node: NodeId, to: NodeId) {
        if !self.data_nodes.get_mut(&node).unwrap().connected_to.remove(&to) {
            return;
        }
        if let Some(control_node) = self.control_nodes.get_mut(&to) {
            control_node.sessions.remove(&node);
        }
        self.step_control_node(to, |control, now| control.record_event(now, Event::SessionClosed(node)));
    }

    fn deliver_to_data_node(&mut self, node: NodeId, from: NodeId, message: Message) {
        let now = self.now;
        let connected = |data_node: &&mut SimulatedDataNode| data_node.connected_to.contains(&from);
        let Some(data_node) = self.data_nodes.get_mut(&node).filter(connected) else { return };
        let (actions, changes) = data_node.session.step(now, from, message, &mut data_node.view);
        for change in &changes {
            match change {
                ViewChange::InvalidUpdate(_) => panic!("{changes:?}"),
                ViewChange::Configuration(_) => data_node.configurations += 1,
                ViewChange::HostList(hosts) => data_node.hosts = hosts.clone(),
                _ => {}
            }
        }
        if !changes.is_empty() {
            data_node.session.heartbeat_soon(now);
        }
        self.perform(node, actions);
    }

    /// Runs the simulation.
    pub fn run(&mut self, seconds: f64) {
        let end = self.now + seconds;
        while self.now < end {
            self.now += STEP;
            self.deliver_messages();
            for node in 1..=CONTROL_NODES {
                self.step_control_node(node, |control, now| control.tick(now));
            }
            let data_nodes: Vec<NodeId> = self.data_nodes.keys().copied().collect();
            data_nodes.into_iter().for_each(|node| self.tick_data_node(node));
        }
    }

    /// Delivers the messages whose time of arrival has passed.
    fn deliver_messages(&mut self) {
        let now = (self.now * MICROSECONDS_PER_SECOND) as u64;
        let later = self.in_flight.split_off(&(now, u64::MAX));
        let arrived = std::mem::replace(&mut self.in_flight, later);
        for InFlight { from, to, message } in arrived.into_values() {
            if to >= FIRST_DATA_NODE {
                self.deliver_to_data_node(to, from, message);
            } else {
                self.deliver_to_control_node(to, from, message);
            }
        }
    }

    fn tick_data_node(&mut self, node: NodeId) {
        let now = self.now;
        let data_node = self.data_nodes.get_mut(&node).unwrap();
        let (zone, region) = zone(data_node.zone);
        let client_address = SocketAddrV4::new(node.into(), 80);
        let ready = data_node.view.is_confirmed(now);
        let description =
            || DataNode { node, zone: zone.clone(), region: region.clone(), client_address, ready };
        let actions = data_node.session.tick(now, &data_node.view, description);
        self.perform(node, actions);
    }

    /// Proposes a configuration at a control node. Returns the length of its compressed text in bytes.
    pub fn propose_configuration(&mut self, node: NodeId, version: u64, routes: usize) -> usize {
        let text = configuration(version, routes);
        let compressed = Bytes::from(patch::compress(text.as_bytes(), b"").unwrap());
        let length = compressed.len();
        self.step_control_node(node, |control, now| {
            let digest = u128::from(version).to_be_bytes();
            control.propose(now, Change::Configuration { version, digest, text: compressed }, version)
        });
        length
    }

    /// Partitions a node from others, or heals the partition, separately for each direction.
    pub fn set_partitioned(
        &mut self,
        node: NodeId,
        others: impl Iterator<Item = NodeId>,
        outbound: bool,
        inbound: bool,
    ) {
        for other in others.filter(|other| *other != node) {
            for (link, is_partitioned) in [((node, other), outbound), ((other, node), inbound)] {
                if is_partitioned {
                    self.partitions.insert(link);
                } else {
                    self.partitions.remove(&link);
                }
            }
        }
    }

    /// Proposes at a control node to evacuate a zone.
    pub fn propose_evacuation(&mut self, node: NodeId, zone: &str) {
        let change = Change::Evacuation { zone: zone.to_string(), on: true };
        self.step_control_node(node, |control, now| control.propose(now, change, EVACUATION_TOKEN));
    }

    /// Returns the number of data nodes that have this configuration version in force.
    pub fn count_with_version(&self, version: u64) -> usize {
        let has_version = |data_node: &&SimulatedDataNode| {
            data_node.view.configuration().is_some_and(|configuration| configuration.version == version)
        };
        self.data_nodes.values().filter(has_version).count()
    }

    /// Returns the number of data nodes with a confirmed configuration.
    pub fn count_confirmed(&self) -> usize {
        self.data_nodes.values().filter(|data_node| data_node.view.is_confirmed(self.now)).count()
    }

    /// Returns the number of sessions at each control node that has any.
    pub fn session_counts(&self) -> BTreeMap<NodeId, usize> {
        let mut counts = BTreeMap::new();
        for peer in self.data_nodes.values().filter_map(|data_node| data_node.session.peer()) {
            *counts.entry(peer).or_default() += 1;
        }
        counts
    }
}

/// Returns a configuration with `routes` routes. Their names are as dissimilar as real ones, since that determines how
/// well the text compresses.
pub fn configuration(version: u64, routes: usize) -> String {
    let name = |n: usize| format!("{:06x}", (n as u64 + 7).wrapping_mul(0x9e37_79b9) & 0xff_ffff);
    let rows: Vec<String> = (0..routes)
        .map(|n| {
            format!(r#"["r-{0}","h.example","/{0}/","idempotent","2000ms","500ms",2,2,false,"s"]"#, name(n))
        })
        .collect();
    format!(
        r#"{{"ConfigVersion":"{version:08x}","RouteTable":{{"ColumnNames":["Designation","Origin","PathPrefix","Category",
        "Timeout","Target","Precedence","MaxAttempts","Public","Service"],"Records":[{}]}},"ServiceTable":{{"ColumnNames":
        ["Designation"],"Records":[["s"]]}}}}"#,
        rows.join(",")
    )
}

/// Returns a list of `count` hosts.
pub fn host_list(version: u64, count: usize) -> HostList {
    let instance = |n: usize| HostInstance {
        id: format!("i-{:010x}", n * 7919),
        service: "sexa21a".into(),
        address: "10.4.64.75:8580".parse().unwrap(),
        zone: zone(n % ZONES).0,
        capacity: 2,
        draining: false,
        warm_up_seconds: 0.0,
    };
    HostList { term: 1, version, instances: (0..count).map(instance).collect() }
}
