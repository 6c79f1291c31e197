//! The end of a joint epoch: when it may end, with which voter set, and which node proposes that.

use super::{InternalProposal, Membership, MembershipContext, Outcome};
use crate::leases::LEASE_DURATION;
use crate::proposer::Change;
use archlink_messages::{NodeId, ProposalNumber, REGISTERS, Register, VoterSet};
use std::collections::BTreeMap;

/// Seconds from the first convergence of a register in a joint epoch until no lease granted before it is
/// valid. From then on a majority of the voters that granted leases is in the joint epoch and grants none in
/// the old one; the clocks' rates may differ by a quarter until the last such lease has expired.
const OLD_LEASE_EXPIRY: f64 = 1.25 * LEASE_DURATION;
/// Seconds after which the change is rolled back if a joining node has not accepted all registers, even if no
/// other node could be tried. A large configuration over a narrow link onto a slow disk takes half of it.
const JOINING_TIMEOUT_WITHOUT_SPARES: f64 = 10.0;
/// The same at the first start, when there is nothing to transfer and every node waits.
const INITIAL_JOINING_TIMEOUT: f64 = 3.0;
/// Seconds between two rounds of convergence for a joining node that can accept the registers now and missed
/// the previous round.
const CONVERGENCE_RETRY_INTERVAL: f64 = 0.3;

/// Observations from the current epoch. Invariant: none of them is carried over into another epoch.
pub(super) struct JointProgress {
    /// The number under which this node first saw each register converge in this epoch.
    converged: BTreeMap<Register, ProposalNumber>,
    first_converged_at: f64,
    next_convergence_at: f64,
    /// The proposal numbers that joining nodes have reported to be on their disks.
    accepted: BTreeMap<(NodeId, Register), ProposalNumber>,
}

impl JointProgress {
    /// Creates the progress of an epoch that begins now, without observations.
    pub fn new(now: f64) -> JointProgress {
        JointProgress {
            converged: BTreeMap::new(),
            first_converged_at: now,
            next_convergence_at: now,
            accepted: BTreeMap::new(),
        }
    }

    fn record_convergence(&mut self, now: f64, register: Register, number: ProposalNumber) {
        // The first convergence already shows that a majority of the old set grants no lease in the old epoch
        // any more.
        if self.converged.is_empty() {
            self.first_converged_at = now;
        }
        self.converged.insert(register, number);
        self.next_convergence_at = now + CONVERGENCE_RETRY_INTERVAL;
    }

    /// Returns whether `node` has reported that its disk has every register as it converged.
    fn has_accepted_all(&self, node: NodeId) -> bool {
        let accepted = |register| self.accepted.get(&(node, register)).copied().unwrap_or_default();
        self.converged.iter().all(|(register, number)| accepted(*register) >= *number)
    }

    fn unconverged(&self) -> Vec<Register> {
        REGISTERS.into_iter().filter(|register| !self.converged.contains_key(register)).collect()
    }

    fn was_empty(&self, register: Register) -> bool {
        self.converged.get(&register) == Some(&ProposalNumber::default())
    }
}

impl Membership {
    /// Records that a voter has reported, in this epoch, that its disk has a register's value under this
    /// number.
    pub fn record_accepted(&mut self, from: NodeId, register: Register, proposal: ProposalNumber) {
        if self.voter_set.incoming.contains(&from) {
            let accepted = self.joint.accepted.entry((from, register)).or_default();
            *accepted = proposal.max(*accepted);
        }
    }

    /// Handles the end of one of the membership's own proposals. `committed_number` returns the proposal
    /// number of a register's committed value.
    pub fn proposal_resolved(
        &mut self,
        now: f64,
        token: u64,
        outcome: Outcome,
        committed_number: impl Fn(Register) -> Option<ProposalNumber>,
    ) {
        let Some(InternalProposal::Converge(register)) = self.proposals.remove(&token) else { return };
        if outcome == Outcome::Chosen && !self.joint.converged.contains_key(&register) {
            self.joint.record_convergence(now, register, committed_number(register).unwrap_or_default());
        }
    }

    /// Returns the incoming voters that were not voters before.
    fn joining(&self) -> impl Iterator<Item = NodeId> {
        self.voter_set.incoming.iter().copied().filter(|node| !self.voter_set.voters.contains(node))
    }

    /// Returns whether to stop waiting for joining nodes that have not accepted all registers.
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

    /// Returns the seconds for which this node leaves the end of a change to others: the first active voter
    /// ends it, whichever node began it. `None` if this node takes no part.
    fn finish_delay(&self, now: f64) -> Option<f64> {
        let can_finish = |node: &NodeId| {
            self.failure_detector.is_active(now, *node) && !self.failure_detector.is_leaving(*node)
        };
        let candidates: Vec<NodeId> = self.voter_set.all_voters().into_iter().filter(can_finish).collect();
        let position = candidates.iter().position(|&node| node == self.id)?;
        Some(self.timing.finish_stagger * position as f64)
    }

    /// Returns the next step towards the end of the joint epoch.
    pub(super) fn finish_change(&mut self, now: f64, context: &MembershipContext) -> Vec<(u64, Change)> {
        if self.finish_delay(now).is_none_or(|delay| now < self.epoch_started + delay) {
            return Vec::new();
        }
        let unconverged = self.joint.unconverged();
        if !unconverged.is_empty() {
            return unconverged
                .into_iter()
                .filter_map(|register| self.propose_convergence(register))
                .collect();
        }
        let incomplete_nodes: Vec<NodeId> =
            self.joining().filter(|node| !self.joint.has_accepted_all(*node)).collect();
        let rolls_back = !incomplete_nodes.is_empty() && self.joining_timed_out(now);
        if !incomplete_nodes.is_empty() && !rolls_back {
            return self.retry_convergence(now, &incomplete_nodes);
        }
        if now < self.joint.first_converged_at + self.old_lease_duration(context) {
            return Vec::new();
        }
        let VoterSet { voters, incoming, .. } = &self.voter_set;
        let next = self.voter_set.leave_joint(if rolls_back { voters } else { incoming });
        self.propose_voter_set(next)
    }

    /// Proposes convergence of all registers again, if one of the joining nodes that lack some can accept
    /// them now.
    fn retry_convergence(&mut self, now: f64, incomplete_nodes: &[NodeId]) -> Vec<(u64, Change)> {
        let is_ready =
            incomplete_nodes.iter().any(|node| self.failure_detector.is_recovered(*node) == Some(true));
        if !is_ready || now < self.joint.next_convergence_at {
            return Vec::new();
        }
        self.joint.next_convergence_at = now + CONVERGENCE_RETRY_INTERVAL;
        REGISTERS.into_iter().filter_map(|register| self.propose_convergence(register)).collect()
    }

    /// Returns the seconds for which a lease of the previous epoch may be valid after the first convergence.
    /// Before the first change there is no such lease if nothing was ever chosen, as a majority of the old
    /// set reports.
    fn old_lease_duration(&self, context: &MembershipContext) -> f64 {
        let nothing_chosen = !context.leases_known
            && self.joint.was_empty(Register::Configuration)
            && self.joint.was_empty(Register::Evacuations);
        let is_initial = self.voter_set.epoch == 2 && !self.is_established();
        if is_initial && nothing_chosen { 0.0 } else { OLD_LEASE_EXPIRY }
    }
}
