//! Data gateways and six control gateways on a made-up network, in made-up time: the very cores of both planes, words
//! counted as they would be framed.
#![allow(dead_code)]

use archlink_consensus::proposer::Change;
use archlink_consensus::{DurableRecord, Effect, Outcome};
use archlink_control_client::fleet_view::{FleetView, ViewChange};
use archlink_control_client::session::{LocalNode, Session, SessionAction as SessionAct};
use archlink_control_node::event_log::Event;
use archlink_control_node::node::{ControlNodeState, InitialState};
use archlink_control_node::update_delivery::UpdateDelivery;
use archlink_messages::{
    AcceptorState, ControlNode, DataNode, HostInstance, HostList, Message, NodeId, Register, VoterSet, patch,
};
use bytes::Bytes;
use std::collections::{BTreeMap, BTreeSet};

pub const ZONES: usize = 6;
pub const LEASE: f64 = 4.3;
const STEP: f64 = 0.01;

pub fn zone(n: usize) -> (String, String) {
    (format!("z{n}"), format!("r{}", n / 3))
}

pub struct Core {
    pub control: ControlNodeState,
    pub news: UpdateDelivery,
    pub sessions: BTreeMap<NodeId, f64>,
}

pub struct Ship {
    pub session: Session,
    pub views: FleetView,
    pub zone: usize,
    /// The control gateway that its connection leads to.
    pub line: Option<NodeId>,
    /// Configurations that it read.
    pub configurations: usize,
    pub hosts: HostList,
}

/// Bytes as framed: the length before each word.
fn weight(word: &Message) -> usize {
    postcard::to_stdvec(word).unwrap().len() + 4
}

pub struct Sea {
    pub now: f64,
    pub chance: oorandom::Rand64,
    pub cores: BTreeMap<NodeId, Core>,
    pub ships: BTreeMap<NodeId, Ship>,
    pub way: BTreeMap<(u64, u64), (NodeId, NodeId, Message)>,
    pub serial: u64,
    /// Bytes to and from each gateway.
    pub bytes: BTreeMap<NodeId, usize>,
    pub done: Vec<Outcome>,
    /// Ways that are cut, each by itself: words are lost, and calls that would take them fail.
    pub cut: BTreeSet<(NodeId, NodeId)>,
    /// When each version was first acknowledged.
    pub acked: BTreeMap<u64, f64>,
    disks: BTreeMap<NodeId, BTreeMap<Register, AcceptorState>>,
}

impl Sea {
    pub fn new(ships: usize) -> Sea {
        let mut sea = Sea {
            now: 10.0,
            chance: oorandom::Rand64::new(5),
            cores: BTreeMap::new(),
            ships: BTreeMap::new(),
            way: BTreeMap::new(),
            serial: 0,
            bytes: BTreeMap::new(),
            done: Vec::new(),
            cut: BTreeSet::new(),
            acked: BTreeMap::new(),
            disks: BTreeMap::new(),
        };
        (1..=6).for_each(|node| sea.start_core(node));
        for n in 0..ships {
            sea.start_ship(100 + n as NodeId);
        }
        sea
    }

    pub fn start_core(&mut self, node: NodeId) {
        let (zone, region) = zone(node as usize - 1);
        let control_node = ControlNode {
            node,
            zone,
            region,
            operator_address: std::net::SocketAddrV4::new(node.into(), 80),
        };
        let start = InitialState {
            identity: control_node,
            voter_set: VoterSet::initial(&[1, 2, 3]),
            required_voters: 5,
            catch_up: 1000.0,
            acceptors: Some(self.disks.get(&node).cloned().unwrap_or_default()),
            grants: Vec::new(),
            seed: self.chance.rand_u64(),
        };
        let control = ControlNodeState::new(self.now, start);
        self.cores.insert(node, Core { control, news: UpdateDelivery::default(), sessions: BTreeMap::new() });
        for other in 1..=6 {
            for (from, to) in [(node, other), (other, node)] {
                if let Some(core) = self.cores.get(&from).filter(|_| from != to) {
                    let greeting = core.control.peer_hello();
                    self.send(from, to, greeting);
                }
            }
        }
    }

    pub fn start_ship(&mut self, node: NodeId) {
        let at = node as usize % ZONES;
        let (zone, region) = zone(at);
        let session = Session::new(LocalNode { node, zone, region, seeds: vec![1, 2, 3] });
        self.ships.insert(
            node,
            Ship {
                session,
                views: FleetView::new(LEASE),
                zone: at,
                line: None,
                configurations: 0,
                hosts: HostList::default(),
            },
        );
    }

    fn send(&mut self, from: NodeId, to: NodeId, word: Message) {
        if from == to {
            self.serial += 1;
            self.way.insert(((self.now * 1e6) as u64, self.serial), (from, to, word));
            return;
        }
        if self.cut.contains(&(from, to)) {
            return;
        }
        let weight = weight(&word);
        *self.bytes.entry(from).or_default() += weight;
        *self.bytes.entry(to).or_default() += weight;
        let way = 0.001 + 0.012 * self.chance.rand_float();
        self.serial += 1;
        self.way.insert((((self.now + way) * 1e6) as u64, self.serial), (from, to, word));
    }

    pub fn core(&mut self, node: NodeId, step: impl FnOnce(&mut ControlNodeState, f64) -> Vec<Effect>) {
        let now = self.now;
        let Some(core) = self.cores.get_mut(&node) else { return };
        for action in step(&mut core.control, now) {
            match action {
                Effect::Send(to, word) => self.send(node, to, word),
                Effect::Store(DurableRecord { acceptors: slots, .. }, then) => {
                    self.disks.entry(node).or_default().extend(slots);
                    then.into_iter().for_each(|(to, word)| self.send(node, to, word));
                }
                Effect::Learned(Register::Configuration) => {
                    let core = self.cores.get_mut(&node).unwrap();
                    let held = core.control.proposer.chosen(Register::Configuration).unwrap();
                    core.news.configuration_learned(
                        held.ordering_key(),
                        patch::decompress(&held.value, b"").unwrap(),
                    );
                    self.tell(node);
                }
                Effect::Learned(_) => self.tell(node),
                Effect::ProposalResolved(version, outcome) => {
                    self.done.push(outcome);
                    if outcome == Outcome::Chosen {
                        self.acked.entry(version).or_insert(now);
                    }
                }
            }
        }
    }

    /// A sign of life to all sessions, as something is new.
    fn tell(&mut self, node: NodeId) {
        let core = &self.cores[&node];
        let (beat, to) =
            (core.control.heartbeat(self.now, 0), core.sessions.keys().copied().collect::<Vec<_>>());
        to.into_iter().for_each(|ship| self.send(node, ship, beat.clone()));
    }

    fn at_core(&mut self, node: NodeId, from: NodeId, word: Message) {
        match word {
            Message::SessionHeartbeat { serial, data_node, clock, .. } => {
                let now = self.now;
                let Some(core) = self.cores.get_mut(&node) else { return };
                core.sessions.insert(from, now);
                core.control.observe_clock(now, clock);
                self.core(node, |control, now| control.record_event(now, Event::SessionRenewed(data_node)));
                let beat = self.cores[&node].control.heartbeat(now, serial);
                self.send(node, from, beat);
            }
            Message::UpdateRequest(theirs) if from >= 100 => {
                let now = self.now;
                let Some(core) = self.cores.get_mut(&node) else { return };
                let pieces = core.news.updates_for(now, &core.control, &theirs);
                self.send(node, from, Message::StateUpdates(pieces));
            }
            word => self.core(node, |control, now| control.step(now, from, word)),
        }
    }

    fn perform(&mut self, node: NodeId, actions: Vec<SessionAct>) {
        for action in actions {
            match action {
                SessionAct::Connect(to) => {
                    let cut = self.cut.contains(&(node, to)) || self.cut.contains(&(to, node));
                    let there = self.cores.contains_key(&to) && !cut;
                    let ship = self.ships.get_mut(&node).unwrap();
                    ship.line = there.then_some(to);
                    let called = if there { Ok(()) } else { Err("refused".to_string()) };
                    let more = ship.session.connected(self.now, called);
                    self.perform(node, more);
                }
                SessionAct::Disconnect => {
                    let line = self.ships.get_mut(&node).unwrap().line.take();
                    if let Some(core) = line.and_then(|to| self.cores.get_mut(&to)) {
                        core.sessions.remove(&node);
                    }
                    if let Some(to) = line {
                        self.core(to, |control, now| control.record_event(now, Event::SessionClosed(node)));
                    }
                }
                SessionAct::Send(word) => {
                    if let Some(to) = self.ships[&node].line {
                        self.send(node, to, word);
                    }
                }
                SessionAct::Warn(_) => {}
            }
        }
    }

    fn at_ship(&mut self, node: NodeId, from: NodeId, word: Message) {
        let now = self.now;
        let Some(ship) = self.ships.get_mut(&node).filter(|ship| ship.line == Some(from)) else { return };
        let (actions, turns) = ship.session.step(now, word, &mut ship.views);
        assert!(!turns.iter().any(|turn| matches!(turn, ViewChange::InvalidUpdate(_))), "{turns:?}");
        ship.configurations +=
            turns.iter().filter(|turn| matches!(turn, ViewChange::Configuration(_))).count();
        let list = turns
            .iter()
            .rev()
            .find_map(|turn| if let ViewChange::HostList(hosts) = turn { Some(hosts) } else { None });
        if let Some(hosts) = list {
            ship.hosts = hosts.clone();
        }
        if !turns.is_empty() {
            ship.session.heartbeat_soon(now);
        }
        self.perform(node, actions);
    }

    pub fn run(&mut self, seconds: f64) {
        let until = self.now + seconds;
        while self.now < until {
            self.now += STEP;
            let due = self.way.split_off(&((self.now * 1e6) as u64, u64::MAX));
            let due = std::mem::replace(&mut self.way, due);
            for (from, to, word) in due.into_values() {
                if to >= 100 { self.at_ship(to, from, word) } else { self.at_core(to, from, word) }
            }
            for node in 1..=6 {
                self.core(node, |control, now| control.tick(now));
            }
            let nodes: Vec<NodeId> = self.ships.keys().copied().collect();
            for node in nodes {
                let now = self.now;
                let ship = self.ships.get_mut(&node).unwrap();
                let (zone, region) = zone(ship.zone);
                let front = std::net::SocketAddrV4::new(node.into(), 80);
                let ready = ship.views.is_confirmed(now);
                let actions = ship.session.tick(now, &ship.views, || DataNode {
                    node,
                    zone,
                    region,
                    client_address: front,
                    ready,
                });
                self.perform(node, actions);
            }
        }
    }

    pub fn replace(&mut self, node: NodeId, version: u64, routes: usize) -> usize {
        let text = configuration(version, routes);
        let packed = Bytes::from(patch::compress(text.as_bytes(), b"").unwrap());
        let length = packed.len();
        self.core(node, |control, now| {
            let digest = u128::from(version).to_be_bytes();
            control.propose(now, Change::Configuration { version, digest, text: packed }, version)
        });
        length
    }

    /// Cuts, or joins again, a machine from others, each way by itself.
    pub fn cut_off(&mut self, node: NodeId, from: impl Iterator<Item = NodeId>, out: bool, into: bool) {
        for other in from.filter(|other| *other != node) {
            for (pair, cut) in [((node, other), out), ((other, node), into)] {
                if cut {
                    self.cut.insert(pair)
                } else {
                    self.cut.remove(&pair)
                };
            }
        }
    }

    pub fn evacuate(&mut self, node: NodeId, zone: &str) {
        let change = Change::Evacuation { zone: zone.to_string(), on: true };
        self.core(node, |control, now| control.propose(now, change, 1000));
    }

    pub fn with_version(&self, version: u64) -> usize {
        let holds = |ship: &&Ship| {
            ship.views.configuration().is_some_and(|configuration| configuration.version == version)
        };
        self.ships.values().filter(holds).count()
    }

    pub fn vouched(&self) -> usize {
        self.ships.values().filter(|ship| ship.views.is_confirmed(self.now)).count()
    }

    /// Sessions at each control gateway.
    pub fn spread(&self) -> BTreeMap<NodeId, usize> {
        let mut spread = BTreeMap::new();
        self.ships
            .values()
            .filter_map(|s| s.session.peer())
            .for_each(|to| *spread.entry(to).or_default() += 1);
        spread
    }
}

/// A configuration with so many routes, in which names look as little alike as the operators'.
pub fn configuration(version: u64, routes: usize) -> String {
    let word = |n: usize| format!("{:06x}", (n as u64 + 7).wrapping_mul(0x9e37_79b9) & 0xff_ffff);
    let rows: Vec<String> = (0..routes)
        .map(|n| {
            format!(r#"["r-{0}","h.example","/{0}/","idempotent","2000ms","500ms",2,2,false,"s"]"#, word(n))
        })
        .collect();
    format!(
        r#"{{"ConfigVersion":"{version:08x}","RouteTable":{{"ColumnNames":["Designation","Origin","PathPrefix","Category",
        "Timeout","Target","Precedence","MaxAttempts","Public","Service"],"Records":[{}]}},"ServiceTable":{{"ColumnNames":
        ["Designation"],"Records":[["s"]]}}}}"#,
        rows.join(",")
    )
}

pub fn hosts(version: u64, count: usize) -> HostList {
    let line = |n: usize| HostInstance {
        id: format!("i-{:010x}", n * 7919),
        service: "sexa21a".into(),
        address: "10.4.64.75:8580".parse().unwrap(),
        zone: zone(n % ZONES).0,
        capacity: 2,
        draining: false,
        warm_up_seconds: 0.0,
    };
    HostList { term: 1, version, instances: (0..count).map(line).collect() }
}
