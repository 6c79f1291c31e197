//! The failure detector of the voter set: which control gateways are there, since when, and which voters are lost, as this
//! gateway hears it. Must never take its own silence for another's: who stood still or was cut off has missed the others,
//! not they it.

use crate::repair_timing::{HEARTBEAT, RepairTiming};
use archlink_messages::{NodeId, VoterSet};
use std::collections::BTreeMap;

/// A majority that was confirmed so long ago, in seconds, still counts as contact: slow disks answer in less.
const CONTACT: f64 = 3.0;
/// A gateway of which the last word is older is not heard at the moment.
const HEARD: f64 = 3.0 * HEARTBEAT;
/// Several ticks are due in that time, in seconds: without one this process stood still.
const STOOD_STILL: f64 = 0.5;
/// Gateways whose presence is kept in mind; the roster knows no more either.
pub const MAX_PEERS: usize = 64;

/// What is known of another control gateway's presence.
#[derive(Clone, Debug)]
struct PeerState {
    /// Since when it is there without a gap.
    since: f64,
    last: f64,
    /// When it last answered as a voter: such a word comes after its disk.
    answered: f64,
    whole: bool,
    epoch: u64,
    missing: Vec<NodeId>,
}

pub struct FailureDetector {
    id: NodeId,
    timing: RepairTiming,
    began: f64,
    /// When a majority of the voters was last not heard here, or this process stood still.
    isolated_until: f64,
    /// The same of a majority's answers as voters.
    quorum_silent_until: f64,
    checked_at: f64,
    /// Is this gateway's own voter whole?
    whole: bool,
    /// This gateway is told to end.
    leaving: bool,
    peers: BTreeMap<NodeId, PeerState>,
}

impl FailureDetector {
    pub fn new(now: f64, id: NodeId, timing: RepairTiming) -> FailureDetector {
        let (isolated_until, quorum_silent_until, checked_at) = (now, now, now);
        let peers = BTreeMap::new();
        FailureDetector {
            id,
            timing,
            began: now,
            isolated_until,
            quorum_silent_until,
            checked_at,
            whole: false,
            leaving: false,
            peers,
        }
    }

    /// A word came from that gateway.
    pub fn message_received(&mut self, now: f64, from: NodeId) {
        if from == self.id || (self.peers.len() >= MAX_PEERS && !self.make_room(now, from)) {
            return;
        }
        let fresh =
            PeerState { since: now, last: now, answered: now, whole: false, epoch: 0, missing: Vec::new() };
        let heard = self.peers.entry(from).or_insert(fresh);
        if now > heard.last + self.timing.silence_timeout {
            heard.since = now;
        }
        heard.last = now;
    }

    /// Is there room for that gateway? The one not heard of for longest gives way, if it is silent.
    fn make_room(&mut self, now: f64, from: NodeId) -> bool {
        if self.peers.contains_key(&from) {
            return true;
        }
        let oldest = self.peers.iter().min_by(|a, b| a.1.last.total_cmp(&b.1.last));
        let Some(node) =
            oldest.filter(|(_, h)| now > h.last + self.timing.silence_timeout).map(|(node, _)| *node)
        else {
            return false;
        };
        self.peers.remove(&node);
        true
    }

    /// It answered as a voter, with what is on its disk.
    pub fn acceptor_replied(&mut self, now: f64, from: NodeId) {
        if let Some(heard) = self.peers.get_mut(&from) {
            heard.answered = now;
        }
    }

    /// What a heartbeat says about its sender: does its disk hold all, which epoch does it go by, whom does it miss?
    pub fn heartbeat_received(&mut self, from: NodeId, whole: bool, epoch: u64, missing: &[NodeId]) {
        if let Some(heard) = self.peers.get_mut(&from) {
            heard.whole = whole;
            heard.epoch = epoch;
            heard.missing = missing.iter().take(MAX_PEERS).copied().collect();
        }
    }

    /// Called now and then, with who votes and whether this gateway's voter is whole.
    pub fn check(&mut self, now: f64, voter_set: &VoterSet, whole: bool) {
        let stood_still = now > self.checked_at + STOOD_STILL;
        self.checked_at = now;
        self.whole = whole;
        let hears = |node: NodeId| node == self.id || self.silence(now, node).is_some_and(|ago| ago < HEARD);
        if stood_still || !voter_set.has_quorum(hears) {
            self.isolated_until = now;
        }
        let answers = |node: NodeId| {
            node == self.id
                || self
                    .peers
                    .get(&node)
                    .is_some_and(|heard| now < heard.answered + self.timing.silence_timeout)
        };
        if stood_still || !voter_set.has_quorum(answers) {
            self.quorum_silent_until = now;
        }
    }

    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Seconds since a word of it came; none where none ever did.
    pub fn silence(&self, now: f64, node: NodeId) -> Option<f64> {
        if node == self.id { Some(0.0) } else { self.peers.get(&node).map(|heard| now - heard.last) }
    }

    /// Does its disk hold all that it ever promised? None where it didn't say.
    pub fn is_recovered(&self, node: NodeId) -> Option<bool> {
        if node == self.id { Some(self.whole) } else { self.peers.get(&node).map(|heard| heard.whole) }
    }

    pub fn is_reachable(&self, now: f64, node: NodeId) -> bool {
        self.silence(now, node).is_some_and(|ago| ago < self.timing.reachable_window)
    }

    /// Does it say that it ends?
    pub fn is_leaving(&self, node: NodeId) -> bool {
        if node == self.id {
            self.leaving
        } else {
            self.peers.get(&node).is_some_and(|h| h.missing.contains(&node))
        }
    }

    /// There, and with all that its disk ever promised.
    pub fn is_healthy(&self, now: f64, node: NodeId) -> bool {
        self.is_reachable(now, node) && self.is_recovered(node) == Some(true)
    }

    /// Heard of just now, and whole.
    pub fn is_active(&self, now: f64, node: NodeId) -> bool {
        self.is_recovered(node) == Some(true) && self.silence(now, node).is_some_and(|ago| ago < HEARD)
    }

    /// Is it known to go by that epoch or a later one?
    pub fn has_reached_epoch(&self, node: NodeId, epoch: u64) -> bool {
        node == self.id || self.peers.get(&node).is_some_and(|heard| heard.epoch >= epoch)
    }

    /// Gateways without a vote that could take a seat now, those that have been there for longest first.
    pub fn spare_nodes(&self, now: f64, voter_set: &VoterSet) -> Vec<NodeId> {
        let fits = |(node, _): &(&NodeId, &PeerState)| {
            !voter_set.contains(**node) && self.is_reachable(now, **node) && !self.is_leaving(**node)
        };
        let mut spares: Vec<(&NodeId, &PeerState)> = self.peers.iter().filter(fits).collect();
        spares.sort_by(|a, b| a.1.since.total_cmp(&b.1.since));
        spares.into_iter().map(|(node, _)| *node).collect()
    }

    /// Has it been there for long?
    pub fn is_stable(&self, now: f64, node: NodeId) -> bool {
        self.peers.get(&node).is_some_and(|heard| now > heard.since + self.timing.stable_after)
    }

    /// Voters that are to be replaced as far as this gateway can tell: not heard of, or not answering, for too long while a
    /// majority was; and itself, where it is told to end.
    pub fn suspected(&self, now: f64, voter_set: &VoterSet) -> Vec<NodeId> {
        if now > self.checked_at + STOOD_STILL {
            return Vec::new();
        }
        let last = |node: &NodeId| self.peers.get(node).map_or(self.began, |heard| heard.last);
        let answered = |node: &NodeId| self.peers.get(node).map_or(self.began, |heard| heard.answered);
        let lost = |node: &NodeId| match *node == self.id {
            true => self.leaving,
            false => {
                now > last(node).max(self.isolated_until) + self.timing.silence_timeout
                    || now > answered(node).max(self.quorum_silent_until) + self.timing.unresponsive_timeout
            }
        };
        let mut missing: Vec<NodeId> = voter_set.all_voters().into_iter().filter(lost).collect();
        // One without a seat says so as well: it is not to get one.
        if self.leaving && !missing.contains(&self.id) {
            missing.push(self.id);
        }
        missing
    }

    /// Does `node`, which is heard, say so of `old`? This gateway is asked by `missing`.
    fn says_missing(&self, now: f64, node: NodeId, old: NodeId) -> bool {
        self.peers.get(&node).is_some_and(|heard| heard.missing.contains(&old))
            && self.is_reachable(now, node)
    }

    /// Seats that enough of the others miss, or whose gateways say themselves that they end.
    pub fn failed_voters(&self, now: f64, voter_set: &VoterSet) -> Vec<NodeId> {
        let mine = self.suspected(now, voter_set);
        let misses = |node: NodeId, old: NodeId| {
            if node == self.id { mine.contains(&old) } else { self.says_missing(now, node, old) }
        };
        let lost = |old: &NodeId| {
            misses(*old, *old) || voter_set.has_quorum(|node| node != *old && misses(node, *old))
        };
        voter_set.voters.iter().copied().filter(lost).collect()
    }

    /// A majority that is confirmed lately, and in this epoch, which began then.
    pub fn has_quorum_contact(now: f64, confirmed: Option<f64>, stood: f64) -> bool {
        confirmed.is_some_and(|at| at > stood.max(now - CONTACT))
    }
}
