//! Operators' requests to replace a voter and to force a new generation of the voter set.

use super::{Membership, MembershipContext};
use crate::failure_detector::MAX_PEERS;
use crate::{Effect, MembershipError, Outcome};
use archlink_messages::{NodeId, VoterSet};

/// Seconds after which a request ends as unknown; its caller hardly waits longer. The change goes on.
const REQUEST_TIMEOUT: f64 = 2.5;
/// Seconds to wait for the nodes named in a forced new generation; after that, those that are reachable
/// become voters.
const NAMED_NODES_WAIT: f64 = 5.0;

/// A request in progress to replace a voter.
#[derive(Clone, Debug)]
pub(super) struct ReplaceRequest {
    token: u64,
    deadline: f64,
    /// The wanted voters, in ascending order.
    pub voters: Vec<NodeId>,
}

impl ReplaceRequest {
    /// Returns how the request has ended, given the current epoch; `None` while its change is in progress.
    fn outcome(&self, voter_set: &VoterSet) -> Option<Outcome> {
        if self.voters == voter_set.voters && !voter_set.is_joint() {
            Some(Outcome::Chosen)
        } else if self.voters == voter_set.incoming {
            None
        } else if voter_set.is_joint() {
            // Another change came first.
            Some(Outcome::Rejected(MembershipError::ChangeInProgress))
        } else {
            // The change was rolled back.
            Some(Outcome::Unknown)
        }
    }
}

/// A request to force a new generation, which ends once all registers have converged in it.
#[derive(Clone, Copy, Debug)]
pub(super) struct GenerationRequest {
    token: u64,
    deadline: f64,
}

/// Nodes that an operator named as voters of a new generation and that are not voters yet.
pub(super) struct NamedNodes {
    /// At most [`MAX_PEERS`].
    pub nodes: Vec<NodeId>,
    since: f64,
}

impl NamedNodes {
    /// Creates an empty list.
    pub fn none(now: f64) -> NamedNodes {
        NamedNodes { nodes: Vec::new(), since: now }
    }

    /// Removes the nodes that are voters now.
    pub fn remove_voters(&mut self, voter_set: &VoterSet) {
        self.nodes.retain(|node| !voter_set.contains(*node));
    }

    /// Returns whether to stop waiting for nodes that can't be reached.
    pub fn wait_is_over(&self, now: f64) -> bool {
        now > self.since + NAMED_NODES_WAIT
    }
}

impl Membership {
    /// Handles an operator's request for `new` to be a voter in place of `old`. Returns the outcome if the
    /// request ends at once; otherwise it ends with [`Effect::ProposalResolved`] for this `token`.
    pub fn replace(&mut self, now: f64, token: u64, old: NodeId, new: NodeId) -> Option<Outcome> {
        let mut next: Vec<NodeId> =
            self.voter_set.voters.iter().filter(|node| **node != old).copied().collect();
        next.push(new);
        next.sort_unstable();
        match self.check_replace(now, old, new, &next) {
            Err(error) => Some(Outcome::Rejected(error)),
            Ok(ReplaceCheck::AlreadyDone) => Some(Outcome::Chosen),
            Ok(ReplaceCheck::Start) => {
                let deadline = now + REQUEST_TIMEOUT;
                self.replace_request = Some(ReplaceRequest { token, deadline, voters: next });
                None
            }
        }
    }

    fn check_replace(
        &self,
        now: f64,
        old: NodeId,
        new: NodeId,
        next: &[NodeId],
    ) -> Result<ReplaceCheck, MembershipError> {
        let is_joint = self.voter_set.is_joint();
        if !self.voter_set.is_known() {
            return Err(MembershipError::Unknown);
        }
        let is_other_change = is_joint && self.voter_set.incoming != next;
        if self.replace_request.is_some() || is_other_change || !self.is_established() {
            return Err(MembershipError::ChangeInProgress);
        }
        let voters = &self.voter_set.voters;
        match (voters.contains(&old), voters.contains(&new)) {
            // A repeated request.
            (false, true) if !is_joint => return Ok(ReplaceCheck::AlreadyDone),
            (_, true) => return Err(MembershipError::AlreadyAVoter),
            (false, _) => return Err(MembershipError::NotAVoter),
            _ => {}
        }
        if !self.failure_detector.is_reachable(now, new) {
            return Err(MembershipError::Unreachable);
        }
        if !self.can_change(now, next) {
            return Err(MembershipError::NotRecovered);
        }
        Ok(ReplaceCheck::Start)
    }

    /// Records that this node has started a new generation with itself as the only voter; `named` are the
    /// voters that an operator wants in it. The request ends once all registers have converged in the new
    /// generation, which is after this node's disk has it.
    pub fn generation_forced(&mut self, now: f64, token: u64, named: Vec<NodeId>) {
        self.generation_request = Some(GenerationRequest { token, deadline: now + REQUEST_TIMEOUT });
        self.named_nodes = NamedNodes { nodes: named, since: now };
        self.named_nodes.remove_voters(&self.voter_set);
        self.named_nodes.nodes.truncate(MAX_PEERS);
    }

    /// Ends the replace request if the current epoch decides it.
    pub(super) fn resolve_replace_request(&mut self) -> Vec<Effect> {
        let Some(request) = &self.replace_request else { return Vec::new() };
        let Some(outcome) = request.outcome(&self.voter_set) else { return Vec::new() };
        let effect = Effect::ProposalResolved(request.token, outcome);
        self.replace_request = None;
        vec![effect]
    }

    /// Ends requests that are past their deadlines, and the one for a new generation once it is complete.
    pub(super) fn end_requests(&mut self, now: f64, context: &MembershipContext) -> Vec<Effect> {
        let mut effects = Vec::new();
        if let Some(request) = self.replace_request.take_if(|request| now > request.deadline) {
            effects.push(Effect::ProposalResolved(request.token, Outcome::Unknown));
        }
        if let Some(request) = self.generation_request {
            let is_complete =
                context.all_confirmed.is_some_and(|at| at > self.epoch_started) && context.stale.is_empty();
            if is_complete || now > request.deadline {
                self.generation_request = None;
                let outcome = if is_complete { Outcome::Chosen } else { Outcome::Unknown };
                effects.push(Effect::ProposalResolved(request.token, outcome));
            }
        }
        effects
    }
}

/// The next step for a replace request that is not rejected.
enum ReplaceCheck {
    Start,
    AlreadyDone,
}
