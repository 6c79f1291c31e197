//! Failure detector: which control nodes are reachable, since when, and which voters have failed, as seen
//! from this node. Each node reports the voters that it suspects in its heartbeats; a voter has failed once a
//! majority suspects it.
//!
//! Invariant: silence counts against another node only while this one was running and in contact with a
//! majority. A process that was suspended or partitioned has missed the messages of the others; they have not
//! failed.

use crate::repair_timing::{HEARTBEAT, RepairTiming};
use archlink_messages::{NodeId, VoterSet};
use std::collections::BTreeMap;

/// Seconds for which a confirmation by a majority counts as contact with it; slow disks answer within this
/// time.
const CONTACT_WINDOW: f64 = 3.0;
/// Seconds without a message after which a node is not active: three heartbeats.
const ACTIVE_WINDOW: f64 = 3.0 * HEARTBEAT;
/// Seconds without a check after which this process counts as having been suspended; several ticks are due in
/// that time.
const SUSPENSION_THRESHOLD: f64 = 0.5;
/// The largest number of control nodes that are tracked; the registry has the same limit. A further node
/// takes the place of one that has timed out, or is not tracked.
pub const MAX_PEERS: usize = 64;

/// The state of another control node as seen from this one. Times are in seconds.
#[derive(Clone, Debug)]
struct PeerState {
    /// Since when it has been reachable without interruption.
    reachable_since: f64,
    last_message: f64,
    /// When it last replied as an acceptor, which it does after a sync of its disk.
    last_reply: f64,
    /// This and the following fields are from its last heartbeat.
    recovered: bool,
    epoch: u64,
    suspects: Vec<NodeId>,
}

impl PeerState {
    fn new(now: f64) -> PeerState {
        PeerState {
            reachable_since: now,
            last_message: now,
            last_reply: now,
            recovered: false,
            epoch: 0,
            suspects: Vec::new(),
        }
    }
}

/// The failure detector of one control node.
pub struct FailureDetector {
    id: NodeId,
    timing: RepairTiming,
    started_at: f64,
    /// The last time at which this process had been suspended, or was not receiving messages from a majority
    /// of the voters.
    isolated_until: f64,
    /// The same for acceptor replies from a majority.
    quorum_unresponsive_until: f64,
    checked_at: f64,
    /// Whether this node's own acceptor has recovered.
    recovered: bool,
    /// Whether this node is shutting down.
    leaving: bool,
    peers: BTreeMap<NodeId, PeerState>,
}

impl FailureDetector {
    /// Creates a detector that has received nothing yet.
    pub fn new(now: f64, id: NodeId, timing: RepairTiming) -> FailureDetector {
        FailureDetector {
            id,
            timing,
            started_at: now,
            isolated_until: now,
            quorum_unresponsive_until: now,
            checked_at: now,
            recovered: false,
            leaving: false,
            peers: BTreeMap::new(),
        }
    }

    /// Records a message from a node.
    pub fn message_received(&mut self, now: f64, from: NodeId) {
        if from == self.id || (self.peers.len() >= MAX_PEERS && !self.make_room(now, from)) {
            return;
        }
        let peer = self.peers.entry(from).or_insert(PeerState::new(now));
        if now > peer.last_message + self.timing.silence_timeout {
            peer.reachable_since = now;
        }
        peer.last_message = now;
    }

    /// Returns whether `from` can be tracked. If there is no room, evicts the node that has been silent for
    /// longest, provided that it has timed out.
    fn make_room(&mut self, now: f64, from: NodeId) -> bool {
        if self.peers.contains_key(&from) {
            return true;
        }
        let longest_silent = self
            .peers
            .iter()
            .min_by(|(_, left), (_, right)| left.last_message.total_cmp(&right.last_message));
        let timed_out =
            longest_silent.filter(|(_, peer)| now > peer.last_message + self.timing.silence_timeout);
        let Some(node) = timed_out.map(|(node, _)| *node) else { return false };
        self.peers.remove(&node);
        true
    }

    /// Records that a node replied as an acceptor, after a sync of its disk.
    pub fn acceptor_replied(&mut self, now: f64, from: NodeId) {
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.last_reply = now;
        }
    }

    /// Records what a heartbeat reports of its sender: whether its acceptor has recovered, its epoch, and the
    /// voters that it suspects. A node that suspects itself is shutting down.
    pub fn heartbeat_received(&mut self, from: NodeId, recovered: bool, epoch: u64, suspects: &[NodeId]) {
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.recovered = recovered;
            peer.epoch = epoch;
            peer.suspects = suspects.iter().take(MAX_PEERS).copied().collect();
        }
    }

    /// Records whether this node is in contact with a majority of `voter_set`, and whether its acceptor has
    /// `recovered`. Call it at short intervals.
    pub fn check(&mut self, now: f64, voter_set: &VoterSet, recovered: bool) {
        let was_suspended = now > self.checked_at + SUSPENSION_THRESHOLD;
        self.checked_at = now;
        self.recovered = recovered;
        let is_in_contact = |node: NodeId| {
            node == self.id || self.silence(now, node).is_some_and(|silence| silence < ACTIVE_WINDOW)
        };
        if was_suspended || !voter_set.has_quorum(is_in_contact) {
            self.isolated_until = now;
        }
        let is_responsive = |peer: &PeerState| now < peer.last_reply + self.timing.silence_timeout;
        let has_replied_lately =
            |node: NodeId| node == self.id || self.peers.get(&node).is_some_and(is_responsive);
        if was_suspended || !voter_set.has_quorum(has_replied_lately) {
            self.quorum_unresponsive_until = now;
        }
    }

    /// Records that this node is shutting down.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Returns the seconds since the last message from `node`; `None` if it never sent one.
    pub fn silence(&self, now: f64, node: NodeId) -> Option<f64> {
        if node == self.id { Some(0.0) } else { self.peers.get(&node).map(|peer| now - peer.last_message) }
    }

    /// Returns whether the disk of `node` has everything that it ever promised; `None` if the node is not
    /// known.
    pub fn is_recovered(&self, node: NodeId) -> Option<bool> {
        if node == self.id { Some(self.recovered) } else { self.peers.get(&node).map(|peer| peer.recovered) }
    }

    /// Returns whether a message from `node` arrived within the reachable window.
    pub fn is_reachable(&self, now: f64, node: NodeId) -> bool {
        self.silence(now, node).is_some_and(|silence| silence < self.timing.reachable_window)
    }

    /// Returns whether `node` reports that it is shutting down.
    pub fn is_leaving(&self, node: NodeId) -> bool {
        if node == self.id {
            self.leaving
        } else {
            self.peers.get(&node).is_some_and(|peer| peer.suspects.contains(&node))
        }
    }

    /// Returns whether `node` is reachable and has recovered.
    pub fn is_healthy(&self, now: f64, node: NodeId) -> bool {
        self.is_reachable(now, node) && self.is_recovered(node) == Some(true)
    }

    /// Returns whether `node` has recovered and sent a message within the last three heartbeats.
    pub fn is_active(&self, now: f64, node: NodeId) -> bool {
        self.is_recovered(node) == Some(true)
            && self.silence(now, node).is_some_and(|silence| silence < ACTIVE_WINDOW)
    }

    /// Returns whether `node` is known to have adopted `epoch` or a later one.
    pub fn has_reached_epoch(&self, node: NodeId, epoch: u64) -> bool {
        node == self.id || self.peers.get(&node).is_some_and(|peer| peer.epoch >= epoch)
    }

    /// Returns the control nodes that are not voters and could become voters now, ordered by how long they
    /// have been reachable, longest first.
    pub fn spare_nodes(&self, now: f64, voter_set: &VoterSet) -> Vec<NodeId> {
        let is_spare = |(node, _): &(&NodeId, &PeerState)| {
            !voter_set.contains(**node) && self.is_reachable(now, **node) && !self.is_leaving(**node)
        };
        let mut spares: Vec<(&NodeId, &PeerState)> = self.peers.iter().filter(is_spare).collect();
        spares.sort_by(|(_, left), (_, right)| left.reachable_since.total_cmp(&right.reachable_since));
        spares.into_iter().map(|(node, _)| *node).collect()
    }

    /// Returns whether `node` has been reachable for long enough to become a voter for the sake of zones
    /// alone.
    pub fn is_stable(&self, now: f64, node: NodeId) -> bool {
        self.peers.get(&node).is_some_and(|peer| now > peer.reachable_since + self.timing.stable_after)
    }

    /// Returns the voters that this node suspects to have failed. Includes this node while it is shutting
    /// down, even if it is not a voter: the report keeps it from becoming one.
    pub fn suspected(&self, now: f64, voter_set: &VoterSet) -> Vec<NodeId> {
        if now > self.checked_at + SUSPENSION_THRESHOLD {
            return Vec::new();
        }
        let is_suspected = |node: &NodeId| match *node == self.id {
            true => self.leaving,
            false => self.has_timed_out(now, *node),
        };
        let mut suspected: Vec<NodeId> = voter_set.all_voters().into_iter().filter(is_suspected).collect();
        if self.leaving && !suspected.contains(&self.id) {
            suspected.push(self.id);
        }
        suspected
    }

    /// Returns whether messages, or replies as an acceptor, from `node` have been missing for too long while
    /// a majority's arrived.
    fn has_timed_out(&self, now: f64, node: NodeId) -> bool {
        let peer = self.peers.get(&node);
        let last_message = peer.map_or(self.started_at, |peer| peer.last_message);
        let last_reply = peer.map_or(self.started_at, |peer| peer.last_reply);
        now > last_message.max(self.isolated_until) + self.timing.silence_timeout
            || now > last_reply.max(self.quorum_unresponsive_until) + self.timing.unresponsive_timeout
    }

    /// Returns whether `peer` is reachable and reports that it suspects `voter`.
    fn peer_suspects(&self, now: f64, peer: NodeId, voter: NodeId) -> bool {
        self.peers.get(&peer).is_some_and(|state| state.suspects.contains(&voter))
            && self.is_reachable(now, peer)
    }

    /// Returns the voters that a majority suspects, not counting themselves, and those that are shutting
    /// down.
    pub fn failed_voters(&self, now: f64, voter_set: &VoterSet) -> Vec<NodeId> {
        let own_suspects = self.suspected(now, voter_set);
        let suspects = |node: NodeId, voter: NodeId| {
            if node == self.id { own_suspects.contains(&voter) } else { self.peer_suspects(now, node, voter) }
        };
        let has_failed = |voter: &NodeId| {
            suspects(*voter, *voter) || voter_set.has_quorum(|node| node != *voter && suspects(node, *voter))
        };
        voter_set.voters.iter().copied().filter(has_failed).collect()
    }

    /// Returns whether a majority has confirmed something lately, and within the current epoch, which began
    /// at `epoch_started`.
    pub fn has_quorum_contact(now: f64, confirmed: Option<f64>, epoch_started: f64) -> bool {
        confirmed.is_some_and(|at| at > epoch_started.max(now - CONTACT_WINDOW))
    }
}
