//! The failure detector of the voter set: which control gateways are there, since when, and which voters are lost, as this
//! gateway hears it. Must never take its own silence for another's: who stood still or was cut off has missed the others,
//! not they it.

use crate::pace::{HEARTBEAT, Pace};
use archlink_messages::{Muster, Node};
use std::collections::BTreeMap;

/// A majority that was confirmed so long ago, in seconds, still counts as contact: slow disks answer in less.
const CONTACT: f64 = 3.0;
/// A gateway of which the last word is older is not heard at the moment.
const HEARD: f64 = 3.0 * HEARTBEAT;
/// Several ticks are due in that time, in seconds: without one this process stood still.
const STOOD_STILL: f64 = 0.5;
/// Gateways whose presence is kept in mind; the roster knows no more either.
pub const MOST_HEARD: usize = 64;

/// What is known of another control gateway's presence.
#[derive(Clone, Debug)]
struct Heard {
    /// Since when it is there without a gap.
    since: f64,
    last: f64,
    /// When it last answered as a voter: such a word comes after its disk.
    answered: f64,
    whole: bool,
    epoch: u64,
    missing: Vec<Node>,
}

pub struct Presence {
    me: Node,
    pace: Pace,
    began: f64,
    /// When a majority of the voters was last not heard here, or this process stood still.
    apart: f64,
    /// The same of a majority's answers as voters.
    unanswered: f64,
    looked: f64,
    /// Is this gateway's own voter whole?
    whole: bool,
    /// This gateway is told to end.
    leaving: bool,
    heard: BTreeMap<Node, Heard>,
}

impl Presence {
    pub fn new(now: f64, me: Node, pace: Pace) -> Presence {
        let (apart, unanswered, looked) = (now, now, now);
        let heard = BTreeMap::new();
        Presence { me, pace, began: now, apart, unanswered, looked, whole: false, leaving: false, heard }
    }

    /// A word came from that gateway.
    pub fn heard(&mut self, now: f64, from: Node) {
        if from == self.me || (self.heard.len() >= MOST_HEARD && !self.make_room(now, from)) {
            return;
        }
        let fresh =
            Heard { since: now, last: now, answered: now, whole: false, epoch: 0, missing: Vec::new() };
        let heard = self.heard.entry(from).or_insert(fresh);
        if now > heard.last + self.pace.silent {
            heard.since = now;
        }
        heard.last = now;
    }

    /// Is there room for that gateway? The one not heard of for longest gives way, if it is silent.
    fn make_room(&mut self, now: f64, from: Node) -> bool {
        if self.heard.contains_key(&from) {
            return true;
        }
        let oldest = self.heard.iter().min_by(|a, b| a.1.last.total_cmp(&b.1.last));
        let Some(node) = oldest.filter(|(_, h)| now > h.last + self.pace.silent).map(|(node, _)| *node)
        else {
            return false;
        };
        self.heard.remove(&node);
        true
    }

    /// It answered as a voter, with what is on its disk.
    pub fn answered(&mut self, now: f64, from: Node) {
        if let Some(heard) = self.heard.get_mut(&from) {
            heard.answered = now;
        }
    }

    /// What a heartbeat says about its sender: does its disk hold all, which epoch does it go by, whom does it miss?
    pub fn told(&mut self, from: Node, whole: bool, epoch: u64, missing: &[Node]) {
        if let Some(heard) = self.heard.get_mut(&from) {
            heard.whole = whole;
            heard.epoch = epoch;
            heard.missing = missing.iter().take(MOST_HEARD).copied().collect();
        }
    }

    /// Called now and then, with who votes and whether this gateway's voter is whole.
    pub fn look(&mut self, now: f64, muster: &Muster, whole: bool) {
        let stood_still = now > self.looked + STOOD_STILL;
        self.looked = now;
        self.whole = whole;
        let hears = |node: Node| node == self.me || self.silent(now, node).is_some_and(|ago| ago < HEARD);
        if stood_still || !muster.enough(hears) {
            self.apart = now;
        }
        let answers = |node: Node| {
            node == self.me
                || self.heard.get(&node).is_some_and(|heard| now < heard.answered + self.pace.silent)
        };
        if stood_still || !muster.enough(answers) {
            self.unanswered = now;
        }
    }

    pub fn leave(&mut self) {
        self.leaving = true;
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
        self.silent(now, node).is_some_and(|ago| ago < self.pace.here)
    }

    /// Does it say that it ends?
    pub fn ends(&self, node: Node) -> bool {
        if node == self.me {
            self.leaving
        } else {
            self.heard.get(&node).is_some_and(|h| h.missing.contains(&node))
        }
    }

    /// There, and with all that its disk ever promised.
    pub fn sound(&self, now: f64, node: Node) -> bool {
        self.here(now, node) && self.whole(node) == Some(true)
    }

    /// Heard of just now, and whole.
    pub fn able(&self, now: f64, node: Node) -> bool {
        self.whole(node) == Some(true) && self.silent(now, node).is_some_and(|ago| ago < HEARD)
    }

    /// Is it known to go by that epoch or a later one?
    pub fn stands(&self, node: Node, epoch: u64) -> bool {
        node == self.me || self.heard.get(&node).is_some_and(|heard| heard.epoch >= epoch)
    }

    /// Gateways without a vote that could take a seat now, those that have been there for longest first.
    pub fn spares(&self, now: f64, muster: &Muster) -> Vec<Node> {
        let fits = |(node, _): &(&Node, &Heard)| {
            !muster.votes(**node) && self.here(now, **node) && !self.ends(**node)
        };
        let mut spares: Vec<(&Node, &Heard)> = self.heard.iter().filter(fits).collect();
        spares.sort_by(|a, b| a.1.since.total_cmp(&b.1.since));
        spares.into_iter().map(|(node, _)| *node).collect()
    }

    /// Has it been there for long?
    pub fn steady(&self, now: f64, node: Node) -> bool {
        self.heard.get(&node).is_some_and(|heard| now > heard.since + self.pace.steady)
    }

    /// Voters that are to be replaced as far as this gateway can tell: not heard of, or not answering, for too long while a
    /// majority was; and itself, where it is told to end.
    pub fn missing(&self, now: f64, muster: &Muster) -> Vec<Node> {
        if now > self.looked + STOOD_STILL {
            return Vec::new();
        }
        let last = |node: &Node| self.heard.get(node).map_or(self.began, |heard| heard.last);
        let answered = |node: &Node| self.heard.get(node).map_or(self.began, |heard| heard.answered);
        let lost = |node: &Node| match *node == self.me {
            true => self.leaving,
            false => {
                now > last(node).max(self.apart) + self.pace.silent
                    || now > answered(node).max(self.unanswered) + self.pace.mute
            }
        };
        let mut missing: Vec<Node> = muster.voters().into_iter().filter(lost).collect();
        // One without a seat says so as well: it is not to get one.
        if self.leaving && !missing.contains(&self.me) {
            missing.push(self.me);
        }
        missing
    }

    /// Does `node`, which is heard, say so of `old`? This gateway is asked by `missing`.
    fn says_missing(&self, now: f64, node: Node, old: Node) -> bool {
        self.heard.get(&node).is_some_and(|heard| heard.missing.contains(&old)) && self.here(now, node)
    }

    /// Seats that enough of the others miss, or whose gateways say themselves that they end.
    pub fn lost(&self, now: f64, muster: &Muster) -> Vec<Node> {
        let mine = self.missing(now, muster);
        let misses = |node: Node, old: Node| {
            if node == self.me { mine.contains(&old) } else { self.says_missing(now, node, old) }
        };
        let lost =
            |old: &Node| misses(*old, *old) || muster.enough(|node| node != *old && misses(node, *old));
        muster.seats.iter().copied().filter(lost).collect()
    }

    /// A majority that is confirmed lately, and in this epoch, which began then.
    pub fn in_touch(now: f64, confirmed: Option<f64>, stood: f64) -> bool {
        confirmed.is_some_and(|at| at > stood.max(now - CONTACT))
    }
}
