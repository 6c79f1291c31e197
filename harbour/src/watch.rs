//! Which control gateways are there, and since when, as this one hears it: what a change of the set of voters may rest on. Must
//! never take its own silence for another's: who stood still or was cut off has missed the others, not they it.

use signal::{Muster, Node};
use std::collections::BTreeMap;

/// Heard of lately: several beats are due in that time.
const LATELY: f64 = 2.0;
/// A longer silence ends a steady presence.
const GAP: f64 = 5.0;
/// A gateway is taken in unasked only after so long a steady presence: it is no process that starts again and again.
const STEADY: f64 = 30.0;
/// A voter that was not heard of for so long is replaced unasked: rolls, reboots, wiped disks (4 to 6 s to come back) and cuts of
/// links are over by then, and every one of them is borne meanwhile. Being wrong costs one change back, no data.
const ABSENT: f64 = 300.0;
/// Gateways whose presence is kept in mind; the roster knows no more either.
pub const MOST_HEARD: usize = 64;

/// What is known of another control gateway's presence.
#[derive(Clone, Debug)]
struct Heard {
    since: f64,
    last: f64,
    whole: bool,
    missing: Vec<Node>,
}

pub struct Watch {
    me: Node,
    began: f64,
    /// Since when enough have confirmed who votes, without a gap; and when this was looked at last.
    touch: f64,
    looked: f64,
    /// Is this gateway's own voter whole?
    whole: bool,
    heard: BTreeMap<Node, Heard>,
}

impl Watch {
    pub fn new(now: f64, me: Node) -> Watch {
        Watch { me, began: now, touch: now, looked: now, whole: false, heard: BTreeMap::new() }
    }

    /// A word came from that gateway.
    pub fn heard(&mut self, now: f64, from: Node) {
        if from == self.me || (self.heard.len() >= MOST_HEARD && !self.heard.contains_key(&from)) {
            return;
        }
        let fresh = Heard { since: now, last: now, whole: false, missing: Vec::new() };
        let heard = self.heard.entry(from).or_insert(fresh);
        if now > heard.last + GAP {
            heard.since = now;
        }
        heard.last = now;
    }

    /// What a beat says about its sender.
    pub fn told(&mut self, from: Node, whole: bool, missing: &[Node]) {
        if let Some(heard) = self.heard.get_mut(&from) {
            heard.whole = whole;
            heard.missing = missing.iter().take(MOST_HEARD).copied().collect();
        }
    }

    /// Called now and then: when enough confirmed who votes, and whether this gateway's voter is whole.
    pub fn look(&mut self, now: f64, confirmed: Option<f64>, whole: bool) {
        if confirmed.is_none_or(|at| at <= now - GAP) || now > self.looked + GAP {
            self.touch = now;
        }
        self.looked = now;
        self.whole = whole;
    }

    /// Seconds since a word of it came; none where none ever did.
    pub fn silent(&self, now: f64, node: Node) -> Option<f64> {
        if node == self.me { Some(0.0) } else { self.heard.get(&node).map(|heard| now - heard.last) }
    }

    /// Does its disk hold all that it ever promised? None where it didn't say.
    pub fn whole(&self, node: Node) -> Option<bool> {
        if node == self.me { Some(self.whole) } else { self.heard.get(&node).map(|heard| heard.whole) }
    }

    pub fn here(&self, now: f64, node: Node) -> bool {
        self.silent(now, node).is_some_and(|ago| ago < LATELY)
    }

    /// There, and with all that its disk ever promised.
    pub fn sound(&self, now: f64, node: Node) -> bool {
        self.here(now, node) && self.whole(node) == Some(true)
    }

    /// Gateways without a vote that are there, and that have been for long where that is asked for.
    pub fn others(&self, now: f64, muster: &Muster, steady: bool) -> Vec<Node> {
        let fits = |(node, heard): &(&Node, &Heard)| {
            !muster.votes(**node) && self.here(now, **node) && (!steady || now > heard.since + STEADY)
        };
        self.heard.iter().filter(fits).map(|(node, _)| *node).collect()
    }

    /// Voters that were not heard of for very long, while a majority was.
    pub fn missing(&self, now: f64, muster: &Muster) -> Vec<Node> {
        let last = |node: &Node| self.heard.get(node).map_or(self.began, |heard| heard.last);
        let absent = |node: &Node| *node != self.me && now > last(node).max(self.touch) + ABSENT;
        muster.voters().into_iter().filter(absent).collect()
    }

    /// Does `node` say so of `old`, this gateway taken for granted?
    pub fn says_missing(&self, node: Node, old: Node) -> bool {
        node == self.me || self.heard.get(&node).is_some_and(|heard| heard.missing.contains(&old))
    }

    /// A majority that is confirmed lately, and in this epoch, which began then.
    pub fn in_touch(now: f64, confirmed: Option<f64>, stood: f64) -> bool {
        confirmed.is_some_and(|at| at > stood.max(now - LATELY))
    }
}
