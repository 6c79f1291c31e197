//! Who is there: the data gateways in session with this control gateway, what the other control gateways tell of theirs,
//! and the control gateways themselves. A data gateway is a member while its session stands. Must never drop what may
//! still be acting alone: a lost member is counted for a while longer.

use crate::journal::Event;
use archlink_messages::{Keeper, Node, Pilot, Sessions};
use std::collections::BTreeMap;

/// A session without a sign of life for so long has ended: several are due in that time.
const SESSION: f64 = 1.6;
/// What a control gateway told stands for so long without a sign of life of it: its data gateways have others by then.
const SOURCE: f64 = 3.0;
/// A lost data gateway may go on alone, on its share, for longer than its keys' lease lasts.
const COUNTED: f64 = 30.0;
/// Those of a control gateway that fell silent itself are likely cut off with it: counted from so long after it was heard.
const CUT: f64 = 60.0;
/// Who did not hear a majority of the voters was cut off; so long after that it has heard of all sessions again: beats and
/// what they have pulled came several times by then. Whoever is in contact is heard by a majority, and so by one of those.
const CAUGHT_UP: f64 = 1.5;
/// A control gateway is named to others for so long after its last word, or after it was first heard of; then it is likely gone
/// for good, and whoever was told would call it in vain.
const NAMED: f64 = 30.0;
/// It is called for so much longer, in case it was only cut off; after that its address is forgotten.
const FORGOTTEN: f64 = 600.0;
/// Most data and control gateways that are kept in mind; further ones are turned away.
const MOST_PILOTS: usize = 2048;
const MOST_KEEPERS: usize = 64;

pub struct Roster {
    pub keeper: Keeper,
    boot: u64,
    version: u64,
    mine: BTreeMap<Node, (Pilot, f64)>,
    others: BTreeMap<Node, (Sessions, f64)>,
    keepers: BTreeMap<Node, Keeper>,
    /// When each of them was first heard of.
    met: BTreeMap<Node, f64>,
    counted: BTreeMap<Node, f64>,
    /// When each other control gateway last gave a sign of life; as many as there are keepers.
    heard: BTreeMap<Node, f64>,
    /// When a majority of the voters was last not heard.
    alone: f64,
}

impl Roster {
    /// `boot` tells this life of the gateway from earlier ones: later ones are greater as far as that can be had.
    pub fn new(keeper: Keeper, boot: u64) -> Roster {
        let keepers = BTreeMap::from([(keeper.node, keeper.clone())]);
        let (mine, others, counted) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        let (met, heard, alone) = (BTreeMap::new(), BTreeMap::new(), f64::NEG_INFINITY);
        Roster { keeper, boot, version: 1, mine, others, keepers, met, counted, heard, alone }
    }

    /// What follows from an event; true where it brought something new.
    pub(crate) fn fold(&mut self, now: f64, event: &Event) -> bool {
        match event {
            Event::Met(keeper) => self.meet(now, keeper),
            Event::Hailed(pilot) => self.hail(now, pilot),
            Event::Lost(node) => self.lost(*node),
            Event::Told(sessions) => self.told(now, sessions),
            Event::Heard(node, hears) => {
                self.alive(now, *node);
                hears.iter().for_each(|source| self.still_there(now, *source));
                false
            }
            Event::Passed { contact } => self.pass(now, *contact),
            Event::Listed(_) => false,
        }
    }

    /// A sign of life of a data gateway; true where something is new about it.
    fn hail(&mut self, now: f64, pilot: &Pilot) -> bool {
        if self.mine.len() >= MOST_PILOTS && !self.mine.contains_key(&pilot.node) {
            return false;
        }
        self.counted.insert(pilot.node, now);
        let before = self.mine.insert(pilot.node, (pilot.clone(), now));
        let news = before.is_none_or(|(known, _)| known != *pilot);
        self.version += u64::from(news);
        news
    }

    /// The connection of its session ended.
    fn lost(&mut self, node: Node) -> bool {
        let stood = self.mine.remove(&node).is_some();
        self.version += u64::from(stood);
        stood
    }

    /// Forgets whose time is over; true where a session ended.
    fn pass(&mut self, now: f64, contact: bool) -> bool {
        let count = self.mine.len();
        self.mine.retain(|_, (_, at)| now < *at + SESSION);
        // Cut off itself it can't tell who is gone: too few would make shares too large once the cut is over.
        if !contact {
            self.alone = now;
            self.counted.values_mut().for_each(|at| *at = now);
        }
        let silent = self.others.values().filter(|(_, at)| now >= at + SOURCE && now < at + CUT);
        for pilot in silent.flat_map(|(sessions, _)| &sessions.pilots) {
            self.counted.insert(pilot.node, now);
        }
        self.counted.retain(|_, at| now < *at + COUNTED);
        self.forget(now);
        let fewer = self.mine.len() < count;
        self.version += u64::from(fewer);
        fewer
    }

    pub fn sessions(&self) -> Sessions {
        let pilots = self.mine.values().map(|(pilot, _)| pilot.clone()).collect();
        Sessions { source: self.keeper.node, boot: self.boot, version: self.version, pilots }
    }

    /// What another control gateway tells of its sessions, itself or through one that hears it.
    fn told(&mut self, now: f64, sessions: &Sessions) -> bool {
        for pilot in &sessions.pilots {
            self.counted.insert(pilot.node, now);
        }
        if self.keepers.contains_key(&sessions.source) && sessions.source != self.keeper.node {
            let at = self.heard.get(&sessions.source).copied().unwrap_or(f64::NEG_INFINITY);
            let before = self.others.insert(sessions.source, (sessions.clone(), at));
            return before.is_none_or(|(known, _)| known != *sessions);
        }
        false
    }

    /// A sign of life of another control gateway.
    fn alive(&mut self, now: f64, source: Node) {
        if self.keepers.contains_key(&source) {
            self.heard.insert(source, now);
        }
        if let Some((_, at)) = self.others.get_mut(&source) {
            *at = now;
        }
        self.still_there(now, source);
    }

    /// Another control gateway lives, as it or one that hears it says: so may the data gateways that it told of.
    fn still_there(&mut self, now: f64, source: Node) {
        for pilot in self.others.get(&source).iter().flat_map(|(sessions, _)| &sessions.pilots) {
            self.counted.insert(pilot.node, now);
        }
    }

    /// For each source that is heard here, this gateway among them: the life and version held.
    pub fn vector(&self, now: f64) -> Vec<(Node, u64, u64)> {
        let live = self.others.iter().filter(|(_, (_, at))| now < at + SOURCE);
        let others = live.map(|(node, (s, _))| (*node, s.boot, s.version));
        [(self.keeper.node, self.boot, self.version)].into_iter().chain(others).collect()
    }

    /// Did it, or this gateway itself, give a sign of life lately?
    pub fn hears(&self, now: f64, node: Node) -> bool {
        node == self.keeper.node || self.heard.get(&node).is_some_and(|at| now < at + SOURCE)
    }

    /// Is there, in that vector, a source that is not heard here and of which something else is held?
    pub fn lacks(&self, now: f64, theirs: &[(Node, u64, u64)]) -> bool {
        let held = |node| self.others.get(node).map(|(s, _)| (s.boot, s.version));
        theirs
            .iter()
            .any(|(node, boot, version)| !self.hears(now, *node) && held(node) != Some((*boot, *version)))
    }

    /// What sources that are heard here told, and that vector does not name.
    pub fn relayed(&self, now: f64, theirs: &[(Node, u64, u64)]) -> impl Iterator<Item = Sessions> {
        let named = |node: &Node| theirs.iter().any(|(theirs, _, _)| theirs == node);
        let live = self.others.iter().filter(move |(node, (_, at))| now < at + SOURCE && !named(node));
        live.map(|(_, (sessions, _))| sessions.clone())
    }

    /// Are all sessions told of here, as far as that hangs on the other control gateways that are known?
    pub fn caught_up(&self, now: f64) -> bool {
        now > self.alone + CAUGHT_UP
    }

    /// Data gateways that may be at work, the members and those lost lately, in the order of their numbers.
    pub fn counted(&self) -> Vec<Node> {
        self.counted.keys().copied().collect()
    }

    /// Changes with the set of data gateways that may be at work.
    pub fn counted_stamp(&self) -> u64 {
        archlink_messages::nodes_stamp(self.counted.keys().copied())
    }

    /// All data gateways with a standing session anywhere; of two words about one, the own comes first.
    pub fn pilots(&self, now: f64) -> Vec<Pilot> {
        let live = self.others.values().filter(|(_, at)| now < at + SOURCE);
        let mut all: BTreeMap<Node, &Pilot> =
            live.flat_map(|(s, _)| &s.pilots).map(|p| (p.node, p)).collect();
        all.extend(self.mine.values().map(|(pilot, _)| (pilot.node, pilot)));
        all.into_values().cloned().collect()
    }

    /// Seconds since the last word of a control gateway, or since it was first heard of where there was none.
    fn silent(&self, now: f64, node: Node) -> f64 {
        if node == self.keeper.node {
            return 0.0;
        }
        let of = |times: &BTreeMap<Node, f64>| times.get(&node).copied().unwrap_or(f64::NEG_INFINITY);
        now - of(&self.heard).max(of(&self.met))
    }

    /// Forgets control gateways that are gone for good.
    fn forget(&mut self, now: f64) {
        let gone: Vec<Node> =
            self.keepers.keys().copied().filter(|&node| self.silent(now, node) > FORGOTTEN).collect();
        for node in gone {
            self.keepers.remove(&node);
            self.met.remove(&node);
            self.heard.remove(&node);
            self.others.remove(&node);
        }
    }

    fn meet(&mut self, now: f64, keeper: &Keeper) -> bool {
        let known = self.keepers.get(&keeper.node) == Some(keeper);
        if known || (self.keepers.len() >= MOST_KEEPERS && !self.keepers.contains_key(&keeper.node)) {
            return false;
        }
        self.keepers.insert(keeper.node, keeper.clone());
        self.met.entry(keeper.node).or_insert(now);
        true
    }

    /// All control gateways that are known.
    pub fn keepers(&self) -> Vec<Keeper> {
        self.keepers.values().cloned().collect()
    }

    /// Those that others are told of: heard of lately.
    pub fn named_keepers(&self, now: f64) -> Vec<Keeper> {
        let lately = |keeper: &&Keeper| self.silent(now, keeper.node) < NAMED;
        self.keepers.values().filter(lately).cloned().collect()
    }

    /// Changes with the set of control gateways that others are told of.
    pub fn keepers_stamp(&self, now: f64) -> u64 {
        let named: Vec<Node> = self.named_keepers(now).into_iter().map(|keeper| keeper.node).collect();
        archlink_messages::nodes_stamp(named.into_iter())
    }

    /// Where a client in that zone should go, nearest first: its zone's data gateways, and its region's where the zone has
    /// fewer than two to choose from, and all where the region has none. Of more than `most` a part drawn by `turn`.
    pub fn resolve(&self, now: f64, zone: &str, region: &str, most: usize, turn: usize) -> Vec<Pilot> {
        const CHOICE: usize = 2;
        let ready: Vec<Pilot> = self.pilots(now).into_iter().filter(|p| p.ready).collect();
        let near: Vec<Pilot> = ready.iter().filter(|p| p.zone == zone).cloned().collect();
        let around: Vec<Pilot> = ready.iter().filter(|p| p.region == region).cloned().collect();
        let mut chosen = match (near.len(), around.len()) {
            (CHOICE.., _) => near,
            (_, 1..) => around,
            _ => ready,
        };
        let start = turn % chosen.len().max(1);
        chosen.rotate_left(start);
        chosen.truncate(most);
        chosen
    }
}
