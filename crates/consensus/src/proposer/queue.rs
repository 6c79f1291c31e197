//! Pending proposals: at most one proposal is in progress on each register, and the others wait for their
//! turn.

use super::{ActiveProposal, Change, ProposalPhase, Proposer};
use crate::{Effect, Outcome};
use archlink_messages::{ProposalNumber, Register};
use std::collections::VecDeque;

/// Seconds until a caller's proposal ends as unknown; callers try another node after a second without a
/// reply.
pub const PROPOSAL_TIMEOUT: f64 = 0.9;
/// The same for the node's own proposals, for which no caller waits. Shorter than the silence of an acceptor
/// that lost its disk (`acceptor::state_transfer::LOST_DISK_SILENCE`), even by clocks whose rates differ.
const INTERNAL_PROPOSAL_TIMEOUT: f64 = 1.9;
/// The largest number of pending proposals on one register. A further one ends as unknown at once.
const MAX_PENDING: usize = 64;

/// A proposal that has not been started.
#[derive(Clone, Debug)]
pub(super) struct PendingProposal {
    /// The change that is proposed.
    pub change: Change,
    /// The token under which the outcome is reported; `None` if nobody waits for it.
    pub token: Option<u64>,
    /// When it ends as unknown, in seconds of the local monotonic clock.
    pub deadline: f64,
    /// Whether the node itself proposed it, so that no caller waits.
    pub internal: bool,
}

impl Proposer {
    /// Proposes `change`. The proposal ends with [`Effect::ProposalResolved`] for this `token`, at the latest
    /// by the first [`Proposer::tick`] after [`PROPOSAL_TIMEOUT`] seconds.
    pub fn propose(&mut self, now: f64, change: Change, token: u64) -> Vec<Effect> {
        let deadline = now + PROPOSAL_TIMEOUT;
        self.enqueue(now, PendingProposal { change, token: Some(token), deadline, internal: false })
    }

    /// Proposes a change of the node itself. It has more time than a caller's, and goes before all pending
    /// ones, since a change of the voter set has to complete whatever the load. Its caller has at most one
    /// such proposal in progress on each register.
    pub fn propose_internal(&mut self, now: f64, change: Change, token: u64) -> Vec<Effect> {
        let register = change.register();
        let deadline = now + INTERNAL_PROPOSAL_TIMEOUT;
        let proposal = PendingProposal { change, token: Some(token), deadline, internal: true };
        self.pending.entry(register).or_default().push_front(proposal);
        self.start_next(now, register)
    }

    /// Withdraws the proposal of a caller that is gone. A proposal that no voter was asked to accept is
    /// dropped; any other is not retried, so that it can't undo what comes after it.
    pub fn withdraw(&mut self, token: u64) {
        for pending in self.pending.values_mut() {
            pending.retain(|proposal| proposal.token != Some(token));
        }
        self.active.retain(|_, active| {
            let is_withdrawn = active.proposal.token == Some(token);
            active.withdrawn |= is_withdrawn;
            !is_withdrawn || matches!(active.phase, ProposalPhase::Accepting { .. })
        });
    }

    /// Appends a proposal to the pending ones; ends it as unknown if there are [`MAX_PENDING`] already.
    pub(super) fn enqueue(&mut self, now: f64, proposal: PendingProposal) -> Vec<Effect> {
        let register = proposal.change.register();
        let pending = self.pending.entry(register).or_default();
        if pending.len() >= MAX_PENDING {
            return resolved(proposal.token, Outcome::Unknown);
        }
        pending.push_back(proposal);
        self.start_next(now, register)
    }

    /// Starts the next pending proposal that is not past its deadline, if none is in progress on the
    /// register.
    pub(super) fn start_next(&mut self, now: f64, register: Register) -> Vec<Effect> {
        if self.active.contains_key(&register) || !self.voter_set.is_known() {
            return Vec::new();
        }
        let mut effects = Vec::new();
        while let Some(proposal) = self.pending.get_mut(&register).and_then(VecDeque::pop_front) {
            if now > proposal.deadline {
                effects.extend(resolved(proposal.token, Outcome::Unknown));
                continue;
            }
            let active = ActiveProposal {
                proposal,
                number: ProposalNumber::default(),
                phase_started: now,
                phase: ProposalPhase::BackingOff { until: now },
                rejections: 0,
                withdrawn: false,
            };
            self.active.insert(register, active);
            effects.extend(self.prepare(now, register));
            break;
        }
        effects
    }

    /// Ends the proposal in progress and starts the next one.
    pub(super) fn resolve(&mut self, now: f64, register: Register, outcome: Outcome) -> Vec<Effect> {
        let Some(active) = self.active.remove(&register) else { return Vec::new() };
        let mut effects = resolved(active.proposal.token, outcome);
        effects.extend(self.start_next(now, register));
        effects
    }
}

fn resolved(token: Option<u64>, outcome: Outcome) -> Vec<Effect> {
    token.map(|token| Effect::ProposalResolved(token, outcome)).into_iter().collect()
}
