//! What a data gateway knows, folded from a journal of what it heard: the configuration in force and how long it is vouched
//! for, the hosts, the control gateways, the other data gateways, who holds which duty, and the fleet's clock. Owns the
//! vector of versions by which it pulls what it lacks. Must never go back to an older version, nor vouch for a
//! configuration that it does not hold, nor begin by one that no majority vouched for within the lease.

use archlink_config::Chart;
use archlink_messages::{
    Beat, Duty, Hosts, Keeper, Node, Piece, Post, Register, Vector, evacuated, nodes_stamp, pack,
};
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;

/// Events kept, for operators to look at.
const MOST: usize = 64;

/// Control gateways kept in mind to be called.
const MOST_NAMED: usize = 64;

/// What happened.
#[derive(Debug)]
pub enum Event {
    /// A control gateway's sign of life; `asked` is when the hail was sent that it answers.
    Heard { beat: Beat, asked: Option<f64> },
    /// Something that was lacking here.
    Told(Piece),
}

/// What an event changed.
#[derive(Clone, Debug)]
pub enum Turn {
    Chart(Rc<Chart>),
    Evacuated(BTreeSet<String>),
    Hosts(Hosts),
    /// Who else carries traffic.
    Pilots,
    Keepers,
    /// Who holds a duty.
    Posts,
    /// Whether keys may be served.
    Vouched,
    /// What was told can't be used; the text says why.
    Unusable(String),
}

impl Turn {
    /// One line for people.
    pub fn line(&self) -> String {
        match self {
            Turn::Chart(chart) => format!("configuration {:08x} is in force", chart.version),
            Turn::Evacuated(zones) => format!("evacuated zones: {zones:?}"),
            Turn::Hosts(hosts) => {
                format!("list {}.{}: {} hosts", hosts.term, hosts.version, hosts.lines.len())
            }
            Turn::Pilots => "other data gateways".to_string(),
            Turn::Keepers => "other control gateways".to_string(),
            Turn::Posts => "a duty moved".to_string(),
            Turn::Vouched => "vouched for, or no more".to_string(),
            Turn::Unusable(why) => why.clone(),
        }
    }
}

/// `lease` is for how long a majority's word that a configuration is the newest holds, in seconds.
pub struct Views {
    lease: f64,
    events: VecDeque<(f64, String)>,
    chart: Option<Rc<Chart>>,
    /// Has a majority vouched, within the lease, for a configuration that was held here? Before that none is in force: it
    /// may have been replaced long ago, and the evacuated zones may be others.
    begun: bool,
    /// Its text, and the bytes of the list of hosts, on which the next ones come as patches.
    text: Vec<u8>,
    list: Vec<u8>,
    vouched: f64,
    vector: Vector,
    posts: Vec<Post>,
    keepers: Vec<Keeper>,
    /// All control gateways that were ever named here, the last ones last.
    named: Vec<Node>,
    pilots: Vec<Node>,
    /// The fleet's clock is the own steady one and this.
    ahead: f64,
}

impl Views {
    pub fn new(lease: f64) -> Views {
        Views {
            lease,
            events: VecDeque::new(),
            chart: None,
            begun: false,
            text: Vec::new(),
            list: Vec::new(),
            vouched: f64::NEG_INFINITY,
            vector: Vector::default(),
            posts: Vec::new(),
            keepers: Vec::new(),
            named: Vec::new(),
            pilots: Vec::new(),
            ahead: 0.0,
        }
    }

    /// Appends what happened and folds it; gives back what it changed.
    pub fn append(&mut self, now: f64, event: Event) -> Vec<Turn> {
        let turns = match event {
            Event::Heard { beat, asked } => self.heard(now, &beat, asked),
            Event::Told(piece) => self.told(now, piece).into_iter().collect(),
        };
        for turn in &turns {
            if self.events.len() >= MOST {
                self.events.pop_front();
            }
            self.events.push_back((now, turn.line()));
        }
        turns
    }

    /// The last events that changed something, oldest first.
    pub fn recent(&self) -> impl Iterator<Item = &(f64, String)> {
        self.events.iter()
    }

    /// The configuration in force.
    pub fn chart(&self) -> Option<Rc<Chart>> {
        self.chart.clone().filter(|_| self.begun)
    }

    /// For how long a majority's word holds.
    pub fn lease(&self) -> f64 {
        self.lease
    }

    /// May keys be served by the configuration that is held?
    pub fn vouched(&self, now: f64) -> bool {
        now < self.vouched
    }

    pub fn vector(&self) -> &Vector {
        &self.vector
    }

    pub fn posts(&self) -> &[Post] {
        &self.posts
    }

    pub fn keepers(&self) -> &[Keeper] {
        &self.keepers
    }

    /// Control gateways that were named once and may be there still: the list of one that only started, or is cut off,
    /// lacks them.
    pub fn named(&self) -> &[Node] {
        &self.named
    }

    /// All data gateways that may be at work, this one among them, in the order of their numbers; empty is not known yet.
    pub fn pilots(&self) -> &[Node] {
        &self.pilots
    }

    /// Who holds the counts, and in which term.
    pub fn counter(&self) -> Option<(Node, u64)> {
        self.posts.iter().find(|post| post.duty == Duty::Tally).map(|post| (post.holder, post.term))
    }

    pub fn clock(&self, now: f64) -> f64 {
        now + self.ahead
    }

    /// The fleet's clock never goes back.
    pub fn heard_clock(&mut self, now: f64, clock: f64) {
        if clock.is_finite() {
            self.ahead = self.ahead.max(clock - now);
        }
    }

    /// How far the fleet's clock is ahead of the own one.
    pub fn ahead(&self) -> f64 {
        self.ahead
    }

    /// Does that vector name anything that is lacking here?
    pub fn lacks(&self, theirs: &Vector) -> bool {
        let mine = &self.vector;
        theirs.chart > mine.chart
            || theirs.evacuations > mine.evacuations
            || theirs.hosts > mine.hosts
            || theirs.keepers != mine.keepers
            || (theirs.pilots != mine.pilots && theirs.pilots != 0)
    }

    fn heard(&mut self, now: f64, beat: &Beat, asked: Option<f64>) -> Vec<Turn> {
        self.heard_clock(now, beat.clock);
        let mut turns = Vec::new();
        for post in &beat.posts {
            match self.posts.iter_mut().find(|known| known.duty == post.duty) {
                Some(known) if known.term >= post.term => continue,
                Some(known) => *known = *post,
                None => self.posts.push(*post),
            }
            turns.push(Turn::Posts);
        }
        // It vouches only for what is held here: what is newer has to be pulled first.
        let (theirs, mine) = (&beat.vector, &self.vector);
        let held = theirs.chart == mine.chart && theirs.evacuations <= mine.evacuations;
        let confirmed = beat.confirmed.filter(|_| held);
        if let (Some(asked), Some(age)) = (asked, confirmed) {
            let before = self.vouched(now);
            self.vouched = self.vouched.max(asked - age.max(0.0) + self.lease);
            turns.extend((before != self.vouched(now)).then_some(Turn::Vouched));
        }
        if !self.begun {
            turns.extend(self.chart_turn(now));
        }
        turns
    }

    /// The configuration that is held, if it is in force, or comes to be by what was vouched for.
    fn chart_turn(&mut self, now: f64) -> Option<Turn> {
        let chart = self.chart.clone()?;
        self.begun |= self.vouched(now);
        self.begun.then_some(Turn::Chart(chart))
    }

    fn told(&mut self, now: f64, piece: Piece) -> Option<Turn> {
        match piece {
            Piece::Chart { stamp, base, packed } if stamp > self.vector.chart => {
                self.unpack(now, stamp, base, &packed)
            }
            Piece::Chosen(Register::Evacuations, held) if held.order() > self.vector.evacuations => {
                self.vector.evacuations = held.order();
                Some(Turn::Evacuated(evacuated(&held.value)))
            }
            Piece::Hosts(hosts) if hosts.stamp() > self.vector.hosts => {
                (self.list, self.vector.hosts) = (hosts.to_bytes(), hosts.stamp());
                Some(Turn::Hosts(hosts))
            }
            // A patch on another list than the one held was made for what was held before: asked for again.
            Piece::HostsPatch { stamp, base, packed }
                if stamp > self.vector.hosts && base == self.vector.hosts =>
            {
                self.patch_hosts(stamp, &packed)
            }
            Piece::Keepers(keepers) => {
                self.vector.keepers = nodes_stamp(keepers.iter().map(|k| k.node));
                self.named.retain(|node| keepers.iter().all(|k| k.node != *node));
                self.named.extend(keepers.iter().map(|k| k.node));
                self.named.drain(..self.named.len().saturating_sub(MOST_NAMED));
                self.keepers = keepers;
                Some(Turn::Keepers)
            }
            Piece::Pilots(pilots) => {
                self.vector.pilots = nodes_stamp(pilots.iter().copied());
                self.pilots = pilots;
                Some(Turn::Pilots)
            }
            _ => None,
        }
    }

    fn patch_hosts(&mut self, stamp: (u64, u64), packed: &[u8]) -> Option<Turn> {
        let read = pack::unpack(packed, &self.list).and_then(|list| Ok((Hosts::from_bytes(&list)?, list)));
        match read {
            Ok((hosts, list)) if hosts.stamp() == stamp => {
                (self.list, self.vector.hosts) = (list, stamp);
                Some(Turn::Hosts(hosts))
            }
            // Asked for as a whole: nothing is held.
            _ => {
                self.vector.hosts = (0, 0);
                Some(Turn::Unusable(
                    "a change of the list of hosts can't be read; the whole is asked for".into(),
                ))
            }
        }
    }

    fn unpack(&mut self, now: f64, stamp: u64, base: u64, packed: &[u8]) -> Option<Turn> {
        if base != 0 && base != self.vector.chart {
            // Made for what was held when it was asked for: the next beat has it asked for again.
            return None;
        }
        let text = match pack::unpack(packed, if base == 0 { b"" } else { &self.text }) {
            Ok(text) => text,
            Err(e) => return Some(Turn::Unusable(format!("a configuration can't be unpacked: {e}"))),
        };
        match Chart::read(&text) {
            Ok(chart) => {
                (self.text, self.vector.chart, self.chart) = (text, stamp, Some(Rc::new(chart)));
                self.chart_turn(now)
            }
            Err(e) => Some(Turn::Unusable(format!("a configuration that was chosen can't be read: {e}"))),
        }
    }
}
