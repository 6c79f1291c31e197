//! The begin of a change: when a change is due, and which node proposes it.

use super::{Membership, MembershipContext};
use crate::failure_detector::FailureDetector;
use crate::proposer::Change;
use archlink_messages::{NodeId, VoterSet};

/// Seconds between the seed nodes' turns to begin the first change. Two at once would reject each other's
/// proposals.
const INITIAL_STAGGER: f64 = 0.3;
/// Seconds for which the seed nodes wait for other nodes at the first start: a process is up within a second,
/// its links within another.
const INITIAL_WAIT: f64 = 2.5;

impl Membership {
    /// Begins the first change: from the seed nodes to the desired number of voters, or to the seed nodes
    /// alone if no others appear.
    pub(super) fn begin_initial_change(
        &mut self,
        now: f64,
        context: &MembershipContext,
    ) -> Vec<(u64, Change)> {
        let spares = self.failure_detector.spare_nodes(now, &self.voter_set);
        let enlarged = self.enlarged(&spares, context.control_nodes);
        let next = enlarged.unwrap_or(self.voter_set.voters.clone());
        if next.len() < self.target_size && now < self.started_at + INITIAL_WAIT {
            return Vec::new();
        }
        let proposers = self.voter_set.voters.clone();
        self.begin_in_turn(now, INITIAL_STAGGER, &proposers, next)
    }

    /// Begins a change to the voters `next` once it is this node's turn among `proposers`, whose turns are
    /// `stagger` seconds apart.
    fn begin_in_turn(
        &mut self,
        now: f64,
        stagger: f64,
        proposers: &[NodeId],
        next: Vec<NodeId>,
    ) -> Vec<(u64, Change)> {
        let Some(position) = proposers.iter().position(|&node| node == self.id) else { return Vec::new() };
        let due_since = *self.due_since.get_or_insert(now);
        if now < due_since + stagger * position as f64 {
            return Vec::new();
        }
        self.propose_voter_set(self.voter_set.enter_joint(next))
    }

    /// Begins the change that an operator requested or that `plan` finds necessary. Registers from an earlier
    /// generation converge first.
    pub(super) fn maintain(&mut self, now: f64, context: &MembershipContext) -> Vec<(u64, Change)> {
        if let Some(next) = self.requested_voter_set() {
            return self.propose_voter_set(next);
        }
        let in_contact = FailureDetector::has_quorum_contact(now, context.confirmed, self.epoch_started);
        if !in_contact || !self.voter_set.voters.contains(&self.id) {
            self.due_since = None;
            return Vec::new();
        }
        if !context.stale.is_empty() {
            return context.stale.iter().filter_map(|&register| self.propose_convergence(register)).collect();
        }
        let failed = self.failure_detector.failed_voters(now, &self.voter_set);
        let Some(next) = self.plan(now, &failed, context.control_nodes) else {
            self.due_since = None;
            return Vec::new();
        };
        let can_propose =
            |node: &NodeId| !failed.contains(node) && self.failure_detector.is_healthy(now, *node);
        let proposers: Vec<NodeId> = self.voter_set.voters.iter().copied().filter(can_propose).collect();
        self.begin_in_turn(now, self.timing.begin_stagger, &proposers, next)
    }

    fn requested_voter_set(&self) -> Option<VoterSet> {
        let request = self.replace_request.as_ref()?;
        Some(self.voter_set.enter_joint(request.voters.clone()))
    }
}
