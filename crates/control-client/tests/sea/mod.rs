//! Data gateways and six control gateways on a made-up network, in made-up time: the very cores of both planes, words
//! counted as they would be framed.
#![allow(dead_code)]

use archlink_consensus::control::{Control, Start};
use archlink_consensus::helm::Change;
use archlink_consensus::journal::Event;
use archlink_consensus::news::News;
use archlink_consensus::{Act, Outcome, Record};
use archlink_control_client::session::{Act as SessionAct, Place, Session};
use archlink_control_client::views::{Turn, Views};
use archlink_messages::{HostLine, Hosts, Keeper, Muster, Node, Pilot, Register, Slot, Word, pack};
use bytes::Bytes;
use std::collections::{BTreeMap, BTreeSet};

pub const ZONES: usize = 6;
pub const LEASE: f64 = 4.3;
const STEP: f64 = 0.01;

pub fn zone(n: usize) -> (String, String) {
    (format!("z{n}"), format!("r{}", n / 3))
}

pub struct Core {
    pub control: Control,
    pub news: News,
    pub sessions: BTreeMap<Node, f64>,
}

pub struct Ship {
    pub session: Session,
    pub views: Views,
    pub zone: usize,
    /// The control gateway that its connection leads to.
    pub line: Option<Node>,
    /// Configurations that it read.
    pub charts: usize,
    pub hosts: Hosts,
}

/// Bytes as framed: the length before each word.
fn weight(word: &Word) -> usize {
    postcard::to_stdvec(word).unwrap().len() + 4
}

pub struct Sea {
    pub now: f64,
    pub chance: oorandom::Rand64,
    pub cores: BTreeMap<Node, Core>,
    pub ships: BTreeMap<Node, Ship>,
    pub way: BTreeMap<(u64, u64), (Node, Node, Word)>,
    pub serial: u64,
    /// Bytes to and from each gateway.
    pub bytes: BTreeMap<Node, usize>,
    pub done: Vec<Outcome>,
    /// Ways that are cut, each by itself: words are lost, and calls that would take them fail.
    pub cut: BTreeSet<(Node, Node)>,
    /// When each version was first acknowledged.
    pub acked: BTreeMap<u64, f64>,
    disks: BTreeMap<Node, BTreeMap<Register, Slot>>,
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
            sea.start_ship(100 + n as Node);
        }
        sea
    }

    pub fn start_core(&mut self, node: Node) {
        let (zone, region) = zone(node as usize - 1);
        let keeper = Keeper { node, zone, region, control: std::net::SocketAddrV4::new(node.into(), 80) };
        let start = Start {
            keeper,
            muster: Muster::first(&[1, 2, 3]),
            needed: 5,
            catch_up: 1000.0,
            slots: Some(self.disks.get(&node).cloned().unwrap_or_default()),
            posts: Vec::new(),
            seed: self.chance.rand_u64(),
        };
        let control = Control::new(self.now, start);
        self.cores.insert(node, Core { control, news: News::default(), sessions: BTreeMap::new() });
        for other in 1..=6 {
            for (from, to) in [(node, other), (other, node)] {
                if let Some(core) = self.cores.get(&from).filter(|_| from != to) {
                    let greeting = core.control.greeting();
                    self.send(from, to, greeting);
                }
            }
        }
    }

    pub fn start_ship(&mut self, node: Node) {
        let at = node as usize % ZONES;
        let (zone, region) = zone(at);
        let session = Session::new(Place { node, zone, region, seeds: vec![1, 2, 3] });
        self.ships.insert(
            node,
            Ship {
                session,
                views: Views::new(LEASE),
                zone: at,
                line: None,
                charts: 0,
                hosts: Hosts::default(),
            },
        );
    }

    fn send(&mut self, from: Node, to: Node, word: Word) {
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

    pub fn core(&mut self, node: Node, step: impl FnOnce(&mut Control, f64) -> Vec<Act>) {
        let now = self.now;
        let Some(core) = self.cores.get_mut(&node) else { return };
        for act in step(&mut core.control, now) {
            match act {
                Act::Send(to, word) => self.send(node, to, word),
                Act::Store(Record { slots, .. }, then) => {
                    self.disks.entry(node).or_default().extend(slots);
                    then.into_iter().for_each(|(to, word)| self.send(node, to, word));
                }
                Act::Learned(Register::Chart) => {
                    let core = self.cores.get_mut(&node).unwrap();
                    let held = core.control.helm.chosen(Register::Chart).unwrap();
                    core.news.learned_chart(held.order(), pack::unpack(&held.value, b"").unwrap());
                    self.tell(node);
                }
                Act::Learned(_) => self.tell(node),
                Act::Done(version, outcome) => {
                    self.done.push(outcome);
                    if outcome == Outcome::Chosen {
                        self.acked.entry(version).or_insert(now);
                    }
                }
            }
        }
    }

    /// A sign of life to all sessions, as something is new.
    fn tell(&mut self, node: Node) {
        let core = &self.cores[&node];
        let (beat, to) = (core.control.beat(self.now, 0), core.sessions.keys().copied().collect::<Vec<_>>());
        to.into_iter().for_each(|ship| self.send(node, ship, beat.clone()));
    }

    fn at_core(&mut self, node: Node, from: Node, word: Word) {
        match word {
            Word::Hail { serial, pilot, clock, .. } => {
                let now = self.now;
                let Some(core) = self.cores.get_mut(&node) else { return };
                core.sessions.insert(from, now);
                core.control.heard_clock(now, clock);
                self.core(node, |control, now| control.happened(now, Event::Hailed(pilot)));
                let beat = self.cores[&node].control.beat(now, serial);
                self.send(node, from, beat);
            }
            Word::Pull(theirs) if from >= 100 => {
                let now = self.now;
                let Some(core) = self.cores.get_mut(&node) else { return };
                let pieces = core.news.lacking(now, &core.control, &theirs);
                self.send(node, from, Word::News(pieces));
            }
            word => self.core(node, |control, now| control.hear(now, from, word)),
        }
    }

    fn perform(&mut self, node: Node, acts: Vec<SessionAct>) {
        for act in acts {
            match act {
                SessionAct::Call(to) => {
                    let cut = self.cut.contains(&(node, to)) || self.cut.contains(&(to, node));
                    let there = self.cores.contains_key(&to) && !cut;
                    let ship = self.ships.get_mut(&node).unwrap();
                    ship.line = there.then_some(to);
                    let called = if there { Ok(()) } else { Err("refused".to_string()) };
                    let more = ship.session.called(self.now, called);
                    self.perform(node, more);
                }
                SessionAct::HangUp => {
                    let line = self.ships.get_mut(&node).unwrap().line.take();
                    if let Some(core) = line.and_then(|to| self.cores.get_mut(&to)) {
                        core.sessions.remove(&node);
                    }
                    if let Some(to) = line {
                        self.core(to, |control, now| control.happened(now, Event::Lost(node)));
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

    fn at_ship(&mut self, node: Node, from: Node, word: Word) {
        let now = self.now;
        let Some(ship) = self.ships.get_mut(&node).filter(|ship| ship.line == Some(from)) else { return };
        let (acts, turns) = ship.session.hear(now, word, &mut ship.views);
        assert!(!turns.iter().any(|turn| matches!(turn, Turn::Unusable(_))), "{turns:?}");
        ship.charts += turns.iter().filter(|turn| matches!(turn, Turn::Chart(_))).count();
        let list = turns
            .iter()
            .rev()
            .find_map(|turn| if let Turn::Hosts(hosts) = turn { Some(hosts) } else { None });
        if let Some(hosts) = list {
            ship.hosts = hosts.clone();
        }
        if !turns.is_empty() {
            ship.session.hurry(now);
        }
        self.perform(node, acts);
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
            let nodes: Vec<Node> = self.ships.keys().copied().collect();
            for node in nodes {
                let now = self.now;
                let ship = self.ships.get_mut(&node).unwrap();
                let (zone, region) = zone(ship.zone);
                let front = std::net::SocketAddrV4::new(node.into(), 80);
                let ready = ship.views.vouched(now);
                let acts = ship.session.tick(now, &ship.views, || Pilot { node, zone, region, front, ready });
                self.perform(node, acts);
            }
        }
    }

    pub fn replace(&mut self, node: Node, version: u64, routes: usize) -> usize {
        let text = configuration(version, routes);
        let packed = Bytes::from(pack::pack(text.as_bytes(), b"").unwrap());
        let length = packed.len();
        self.core(node, |control, now| {
            let digest = u128::from(version).to_be_bytes();
            control.propose(now, Change::Chart { version, digest, text: packed }, version)
        });
        length
    }

    /// Cuts, or joins again, a machine from others, each way by itself.
    pub fn cut_off(&mut self, node: Node, from: impl Iterator<Item = Node>, out: bool, into: bool) {
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

    pub fn evacuate(&mut self, node: Node, zone: &str) {
        let change = Change::Evacuate { zone: zone.to_string(), on: true };
        self.core(node, |control, now| control.propose(now, change, 1000));
    }

    pub fn with_version(&self, version: u64) -> usize {
        let holds = |ship: &&Ship| ship.views.chart().is_some_and(|chart| chart.version == version);
        self.ships.values().filter(holds).count()
    }

    pub fn vouched(&self) -> usize {
        self.ships.values().filter(|ship| ship.views.vouched(self.now)).count()
    }

    /// Sessions at each control gateway.
    pub fn spread(&self) -> BTreeMap<Node, usize> {
        let mut spread = BTreeMap::new();
        self.ships
            .values()
            .filter_map(|s| s.session.with())
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

pub fn hosts(version: u64, count: usize) -> Hosts {
    let line = |n: usize| HostLine {
        id: format!("i-{:010x}", n * 7919),
        service: "sexa21a".into(),
        address: "10.4.64.75:8580".parse().unwrap(),
        zone: zone(n % ZONES).0,
        capacity: 2,
        draining: false,
        cold_for: 0.0,
    };
    Hosts { term: 1, version, lines: (0..count).map(line).collect() }
}
