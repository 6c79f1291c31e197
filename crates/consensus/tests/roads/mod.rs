//! Control gateways on a made-up network with made-up disks, in made-up time: what the tests of contact and of numbers
//! play on. A disk takes what waits together, with one sync for all, and says so only then.
#![allow(dead_code)]

use archlink_consensus::control::{Control, Start};
use archlink_consensus::helm::Change;
use archlink_consensus::{Act, Outcome, Record};
use archlink_messages::{Duty, Keeper, Muster, Node, Poll, Post, Register, Slot, Word};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Default)]
pub struct Disk {
    slots: BTreeMap<Register, Slot>,
    posts: BTreeMap<Duty, Post>,
    muster: Muster,
    queue: Vec<(Record, Vec<(Node, Word)>)>,
    writing: Vec<(Record, Vec<(Node, Word)>)>,
    until: f64,
}

pub struct Roads {
    pub now: f64,
    /// One step of time.
    pub fine: f64,
    pub chance: oorandom::Rand64,
    pub live: BTreeMap<Node, Control>,
    disks: BTreeMap<Node, Disk>,
    pub frozen: BTreeMap<Node, f64>,
    pub cut: BTreeSet<(Node, Node)>,
    /// Ways on which words that ask to accept are lost, and no others.
    pub unheard: BTreeSet<(Node, Node)>,
    way: Vec<(f64, Node, Node, Word)>,
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
    pub accepts: BTreeMap<Node, f64>,
    seats: Vec<Node>,
    size: Node,
}

impl Roads {
    pub fn new(seed: u64, seats: Node, size: Node) -> Roads {
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

    pub fn start(&mut self, node: Node) {
        let disk = self.disks.entry(node).or_default();
        if !disk.muster.known() {
            disk.muster = Muster::first(&self.seats);
        }
        let start = Start {
            keeper: keeper(node),
            needed: self.seats.len(),
            // No seat is given away within these tests.
            catch_up: 1000.0,
            slots: Some(disk.slots.clone()),
            muster: disk.muster.clone(),
            posts: disk.posts.values().copied().collect(),
            seed: self.chance.rand_u64(),
        };
        self.live.insert(node, Control::new(self.now, start));
        for other in (1..=self.size).filter(|other| *other != node) {
            for (from, to) in [(node, other), (other, node)] {
                if let Some(control) = self.live.get(&from) {
                    let greeting = control.greeting();
                    self.send(from, to, greeting);
                }
            }
        }
    }

    /// What was not on its disk is lost.
    pub fn kill(&mut self, node: Node) {
        self.live.remove(&node);
        self.frozen.remove(&node);
        if let Some(disk) = self.disks.get_mut(&node) {
            (disk.queue, disk.writing) = (Vec::new(), Vec::new());
        }
    }

    /// Cuts, or joins again, a gateway from all others, each way by itself.
    pub fn cut_off(&mut self, node: Node, out: bool, into: bool) {
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

    fn send(&mut self, from: Node, to: Node, word: Word) {
        if let Word::Poll(_, Poll::Accept(..)) = word {
            self.accepts.insert(from, self.now);
            if self.unheard.contains(&(from, to)) {
                return;
            }
        }
        if from == to {
            return self.way.push((self.now, from, to, word));
        }
        if let Word::Poll(_, Poll::Ask(_) | Poll::Answer(..)) = word {
            self.asks += usize::from(matches!(word, Word::Poll(_, Poll::Ask(_))));
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

    pub fn step(&mut self, node: Node, step: impl FnOnce(&mut Control, f64) -> Vec<Act>) {
        let now = self.now;
        let Some(control) = self.live.get_mut(&node) else { return };
        let mut acts = step(control, now);
        // What is learned is told at once, as the program does.
        if acts.iter().any(|act| matches!(act, Act::Learned(_))) {
            acts.extend(control.beat_all(now));
        }
        for act in acts {
            match act {
                Act::Send(to, word) => self.send(node, to, word),
                Act::Store(record, then) => {
                    self.disks.entry(node).or_default().queue.push((record, then));
                }
                Act::Learned(_) => {}
                Act::Done(token, outcome) => self.done.push((now, token, outcome)),
            }
        }
    }

    fn turn_disk(&mut self, node: Node) {
        let (now, sync) = (self.now, self.sync * (0.8 + 0.4 * self.chance.rand_float()));
        let Some(disk) = self.disks.get_mut(&node) else { return };
        if now < disk.until {
            return;
        }
        let mut kept = std::mem::take(&mut disk.writing);
        disk.writing = std::mem::take(&mut disk.queue);
        let writes = disk.writing.iter().any(|(record, _)| *record != Record::default());
        if self.grind || writes {
            disk.until = now + sync;
        } else {
            kept.append(&mut disk.writing);
        }
        for (record, then) in kept {
            let disk = self.disks.entry(node).or_default();
            disk.muster = record.muster.unwrap_or(std::mem::take(&mut disk.muster));
            disk.slots.extend(record.slots);
            disk.posts.extend(record.posts.into_iter().map(|post| (post.duty, post)));
            then.into_iter().for_each(|(to, word)| self.send(node, to, word));
        }
    }

    pub fn awake(&self, node: Node) -> bool {
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
                _ => self.step(to, |control, now| control.hear(now, from, word)),
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

    pub fn replace(&mut self, node: Node, token: u64, version: u64, text: u8) {
        let change = Change::Chart { version, digest: [text; 16], text: format!("text {text}").into() };
        self.step(node, |control, now| control.propose(now, change, token));
    }

    pub fn evacuate(&mut self, node: Node, token: u64, on: bool) {
        let change = Change::Evacuate { zone: "z".into(), on };
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
    pub fn age(&self, node: Node, register: Register) -> f64 {
        self.live[&node].helm.confirmed(register).map_or(f64::INFINITY, |at| self.now - at)
    }

    pub fn stamp(&self, node: Node, register: Register) -> u64 {
        self.live[&node].helm.chosen(register).map_or(0, |held| held.stamp)
    }
}

pub fn keeper(node: Node) -> Keeper {
    let address = std::net::SocketAddrV4::new(node.into(), 80);
    Keeper { node, zone: format!("z{node}"), region: "r".into(), control: address }
}
