//! The end of a joint epoch: when it may end, with which set, and which node proposes that.

use super::{InternalProposal, Membership, MembershipContext, Outcome};
use crate::leases::LEASE_DURATION;
use crate::proposer::Change;
use archlink_messages::{NodeId, ProposalNumber, REGISTERS, Register, VoterSet};
use std::collections::BTreeMap;

/// Seconds from the first commit in a joint epoch until no lease granted before it is valid. At that commit a
/// majority of the voters that granted leases is in the joint epoch and grants none in the old one; the
/// clocks' rates may differ by a quarter until the last such lease has expired.
const OLD_LEASES_EXPIRED: f64 = 1.25 * LEASE_DURATION;
/// Seconds after which a joining node that has not taken all registers is left out and the change rolled
/// back, also where no other node could be tried. A large configuration over a narrow link onto a slow disk
/// takes half of it.
const JOINING_TIMEOUT_WITHOUT_SPARES: f64 = 10.0;
/// The same at the first start, where there is nothing to take and everybody waits.
const INITIAL_JOINING_TIMEOUT: f64 = 3.0;
/// Seconds between two commits of the registers for a joining node that can accept them now and missed the
/// one before.
const RECOMMIT_INTERVAL: f64 = 0.3;

/// What was seen in the current epoch. Invariant: nothing of it is carried into another epoch.
pub(super) struct JointProgress {
    /// The number under which each register was first committed in this epoch by this node.
    committed: BTreeMap<Register, ProposalNumber>,
    first_commit_at: f64,
    recommit_at: f64,
    /// What joining nodes have reported to be on their disks.
    accepted: BTreeMap<(NodeId, Register), ProposalNumber>,
}

impl JointProgress {
    /// Nothing was seen yet in the epoch that begins now.
    pub fn new(now: f64) -> JointProgress {
        JointProgress {
            committed: BTreeMap::new(),
            first_commit_at: now,
            recommit_at: now,
            accepted: BTreeMap::new(),
        }
    }

    fn record_commit(&mut self, now: f64, register: Register, number: ProposalNumber) {
        // The first commit shows already that a majority of the old set grants no lease in the old epoch any
        // more.
        if self.committed.is_empty() {
            self.first_commit_at = now;
        }
        self.committed.insert(register, number);
        self.recommit_at = now + RECOMMIT_INTERVAL;
    }

    /// Has that node reported that its disk has all that was committed?
    fn has_accepted_all(&self, node: NodeId) -> bool {
        let accepted = |register| self.accepted.get(&(node, register)).copied().unwrap_or_default();
        self.committed.iter().all(|(register, number)| accepted(*register) >= *number)
    }

    fn uncommitted(&self) -> Vec<Register> {
        REGISTERS.into_iter().filter(|register| !self.committed.contains_key(register)).collect()
    }

    fn was_empty(&self, register: Register) -> bool {
        self.committed.get(&register) == Some(&ProposalNumber::default())
    }
}

impl Membership {
    /// A voter has reported in this epoch that its disk has a register's value under that number.
    pub fn record_accepted(&mut self, from: NodeId, register: Register, proposal: ProposalNumber) {
        if self.voter_set.incoming.contains(&from) {
            let accepted = self.joint.accepted.entry((from, register)).or_default();
            *accepted = proposal.max(*accepted);
        }
    }

    /// A proposal of the membership has ended; `chosen` gives the number under which a register is known to
    /// be chosen now.
    pub fn proposal_resolved(
        &mut self,
        now: f64,
        token: u64,
        outcome: Outcome,
        chosen: impl Fn(Register) -> Option<ProposalNumber>,
    ) {
        let Some(InternalProposal::Commit(register)) = self.proposals.remove(&token) else { return };
        if outcome == Outcome::Chosen && !self.joint.committed.contains_key(&register) {
            self.joint.record_commit(now, register, chosen(register).unwrap_or_default());
        }
    }

    /// Incoming voters that were none before.
    fn joining(&self) -> impl Iterator<Item = NodeId> {
        self.voter_set.incoming.iter().copied().filter(|node| !self.voter_set.voters.contains(node))
    }

    /// Are joining nodes that have not taken all registers waited for no longer?
    fn joining_timed_out(&self, now: f64) -> bool {
        if self.voter_set.epoch == 2 && !self.is_established() {
            return now >= self.epoch_started + INITIAL_JOINING_TIMEOUT;
        }
        let detector = &self.failure_detector;
        let is_gone = |node: NodeId| !detector.is_reachable(now, node) || detector.is_leaving(node);
        let has_spares = !detector.spare_nodes(now, &self.voter_set).is_empty();
        let timeout = if has_spares { self.timing.joining_timeout } else { JOINING_TIMEOUT_WITHOUT_SPARES };
        let is_lost = now >= self.epoch_started + self.timing.silence_timeout && self.joining().any(is_gone);
        is_lost || now >= self.epoch_started + timeout
    }

    /// Seconds for which this node leaves the end of a change to others: the first active voter ends it,
    /// whoever began it. `None` where this node takes no part.
    fn finish_delay(&self, now: f64) -> Option<f64> {
        let is_able = |node: &NodeId| {
            self.failure_detector.is_active(now, *node) && !self.failure_detector.is_leaving(*node)
        };
        let able: Vec<NodeId> = self.voter_set.all_voters().into_iter().filter(is_able).collect();
        let position = able.iter().position(|&node| node == self.id)?;
        Some(self.timing.finish_stagger * position as f64)
    }

    /// The next step towards the end of the joint epoch.
    pub(super) fn finish_change(&mut self, now: f64, context: &MembershipContext) -> Vec<(u64, Change)> {
        if self.finish_delay(now).is_none_or(|delay| now < self.epoch_started + delay) {
            return Vec::new();
        }
        let uncommitted = self.joint.uncommitted();
        if !uncommitted.is_empty() {
            return uncommitted.into_iter().filter_map(|register| self.propose_commit(register)).collect();
        }
        let lacking: Vec<NodeId> =
            self.joining().filter(|node| !self.joint.has_accepted_all(*node)).collect();
        let rolls_back = !lacking.is_empty() && self.joining_timed_out(now);
        if !lacking.is_empty() && !rolls_back {
            return self.recommit(now, &lacking);
        }
        if now < self.joint.first_commit_at + self.old_lease_duration(context) {
            return Vec::new();
        }
        let VoterSet { voters, incoming, .. } = &self.voter_set;
        let next = self.voter_set.leave_joint(if rolls_back { voters } else { incoming });
        self.propose_voter_set(next)
    }

    /// Commits all registers again, if one of the joining nodes that lack some can accept them now.
    fn recommit(&mut self, now: f64, lacking: &[NodeId]) -> Vec<(u64, Change)> {
        let is_ready = lacking.iter().any(|node| self.failure_detector.is_recovered(*node) == Some(true));
        if !is_ready || now < self.joint.recommit_at {
            return Vec::new();
        }
        self.joint.recommit_at = now + RECOMMIT_INTERVAL;
        REGISTERS.into_iter().filter_map(|register| self.propose_commit(register)).collect()
    }

    /// Seconds for which a lease of the epoch before may be valid after the first commit. Before the first
    /// change there is none if nothing was ever chosen, as a majority of the old set says.
    fn old_lease_duration(&self, context: &MembershipContext) -> f64 {
        let nothing_chosen = !context.leases_known
            && self.joint.was_empty(Register::Configuration)
            && self.joint.was_empty(Register::Evacuations);
        let is_initial = self.voter_set.epoch == 2 && !self.is_established();
        if is_initial && nothing_chosen { 0.0 } else { OLD_LEASES_EXPIRED }
    }
}
