//! The proposal in progress on a register: its two phases ("Paxos Made Simple", section 2.2), retries and
//! back-off.

use super::{PendingProposal, Proposer};
use crate::{Effect, Outcome};
use archlink_messages::{AcceptedValue, ConsensusMessage, NodeId, ProposalNumber, Register};
use std::collections::{BTreeMap, BTreeSet};

/// Seconds after which the request is sent again, under the same number, to voters that have not replied. The
/// message may be lost; if only the disk is slow, the reply to the first request counts.
const RESEND_INTERVAL: f64 = 0.35;
/// The shortest back-off after a rejection, in seconds: about one message delay within a region.
const MIN_BACKOFF: f64 = 0.01;
/// The largest random addition to [`MIN_BACKOFF`], in seconds, after the first rejection of a caller's
/// proposal.
const BACKOFF_JITTER: f64 = 0.12;
/// The same for the node's own proposals, whatever the number of rejections: a steady stream of callers'
/// proposals would otherwise delay a change of the voter set.
const INTERNAL_BACKOFF_JITTER: f64 = 0.03;
/// The jitter doubles with each rejection, to allow for slow disks, but at most this many times.
const MAX_BACKOFF_DOUBLINGS: u32 = 2;

/// The phase of an attempt.
#[derive(Clone, Debug)]
pub(super) enum ProposalPhase {
    /// A competing proposal came first; the next attempt begins at `until`.
    BackingOff { until: f64 },
    /// Phase 1: the promises received, each with the value that its voter has accepted.
    Preparing { promises: BTreeMap<NodeId, Option<AcceptedValue>> },
    /// Phase 2: the value proposed, the outcome reported once it is chosen, and the voters that have accepted
    /// it.
    Accepting { value: AcceptedValue, outcome: Outcome, accepted_by: BTreeSet<NodeId> },
}

/// The proposal in progress on a register.
#[derive(Clone, Debug)]
pub(super) struct ActiveProposal {
    /// The change, its token and its deadline.
    pub proposal: PendingProposal,
    /// The number of this attempt; while backing off the default number, which no reply carries.
    pub number: ProposalNumber,
    /// When the phase began, or its request was last sent.
    pub phase_started: f64,
    /// The phase of this attempt.
    pub phase: ProposalPhase,
    /// The number of attempts that were lost to a competing proposal.
    pub rejections: u32,
    /// Whether the caller is gone: a value that was sent out may still be chosen, but nothing is retried.
    pub withdrawn: bool,
}

impl ActiveProposal {
    fn is_expired(&self, now: f64) -> bool {
        now > self.proposal.deadline
    }
}

impl Proposer {
    /// Phase 1a: starts an attempt under a new number.
    pub(super) fn prepare(&mut self, now: f64, register: Register) -> Vec<Effect> {
        let Some(active) = self.active.get_mut(&register) else { return Vec::new() };
        if active.withdrawn || active.is_expired(now) {
            return self.resolve(now, register, Outcome::Unknown);
        }
        self.round += 1;
        let nonce = self.rng.rand_u64() as u32;
        active.number = ProposalNumber { round: self.round, node: self.id, nonce };
        active.phase_started = now;
        active.phase = ProposalPhase::Preparing { promises: BTreeMap::new() };
        let prepare = ConsensusMessage::Prepare(register, active.number);
        self.broadcast(prepare)
    }

    /// Sends the request of the current phase again to the voters that have not replied. A withdrawn proposal
    /// ends instead.
    fn resend(&mut self, now: f64, register: Register) -> Vec<Effect> {
        let Some(active) = self.active.get_mut(&register) else { return Vec::new() };
        if active.withdrawn {
            return self.resolve(now, register, Outcome::Unknown);
        }
        active.phase_started = now;
        let (request, replied): (ConsensusMessage, Vec<NodeId>) = match &active.phase {
            ProposalPhase::BackingOff { .. } => return Vec::new(),
            ProposalPhase::Preparing { promises } => {
                (ConsensusMessage::Prepare(register, active.number), promises.keys().copied().collect())
            }
            ProposalPhase::Accepting { value, accepted_by, .. } => {
                let accept = ConsensusMessage::Accept(register, value.clone());
                (accept, accepted_by.iter().copied().collect())
            }
        };
        let request = self.voter_set.message(request);
        let missing = self.voter_set.all_voters().into_iter().filter(|node| !replied.contains(node));
        missing.map(|node| Effect::Send(node, request.clone())).collect()
    }

    /// Counts a promise. Once a majority has promised, phase 2a begins: the change is applied to the newest
    /// value that any of them has accepted.
    pub(super) fn receive_promise(
        &mut self,
        now: f64,
        from: NodeId,
        register: Register,
        number: ProposalNumber,
        accepted: &Option<AcceptedValue>,
    ) -> Vec<Effect> {
        let voter_set = &self.voter_set;
        let Some(active) = self.active.get_mut(&register).filter(|active| active.number == number) else {
            return Vec::new();
        };
        let is_expired = active.is_expired(now);
        let ProposalPhase::Preparing { promises } = &mut active.phase else { return Vec::new() };
        promises.insert(from, accepted.clone());
        // A suspended process may get here long after the deadline, when an acceptor may have lost its
        // promise with its disk.
        if !voter_set.has_quorum(|node| promises.contains_key(&node)) || is_expired {
            return Vec::new();
        }
        let newest = promises.values().flatten().max_by_key(|accepted| accepted.proposal);
        let Some((value, outcome)) = active.proposal.change.apply(newest, number) else {
            return self.resolve(now, register, Outcome::Chosen);
        };
        active.phase =
            ProposalPhase::Accepting { value: value.clone(), outcome, accepted_by: BTreeSet::new() };
        active.phase_started = now;
        self.broadcast(ConsensusMessage::Accept(register, value))
    }

    /// Counts an acceptance. The value is chosen once a majority has accepted it.
    pub(super) fn receive_accepted(
        &mut self,
        now: f64,
        from: NodeId,
        register: Register,
        number: ProposalNumber,
    ) -> Vec<Effect> {
        let voter_set = &self.voter_set;
        let Some(active) = self.active.get_mut(&register).filter(|active| active.number == number) else {
            return Vec::new();
        };
        let is_expired = active.is_expired(now);
        let ProposalPhase::Accepting { value, outcome, accepted_by } = &mut active.phase else {
            return Vec::new();
        };
        accepted_by.insert(from);
        // After the deadline an acceptor may have lost the accepted value as well.
        if !voter_set.has_quorum(|node| accepted_by.contains(&node)) || is_expired {
            return Vec::new();
        }
        let (value, outcome) = (value.clone(), *outcome);
        let mut effects = self.learn(register, &value);
        effects.extend(self.resolve(now, register, outcome));
        effects
    }

    /// Backs off for a random time after the rejection by a competing proposal with a higher number, so that
    /// one of the two gets through.
    pub(super) fn receive_reject(
        &mut self,
        now: f64,
        register: Register,
        number: ProposalNumber,
        promised: ProposalNumber,
    ) {
        self.round = self.round.max(promised.round);
        let Some(active) = self.active.get_mut(&register).filter(|active| active.number == number) else {
            return;
        };
        let doublings = active.rejections.min(MAX_BACKOFF_DOUBLINGS);
        let jitter = if active.proposal.internal {
            INTERNAL_BACKOFF_JITTER
        } else {
            BACKOFF_JITTER * f64::from(1_u32 << doublings)
        };
        active.rejections += 1;
        active.phase =
            ProposalPhase::BackingOff { until: now + MIN_BACKOFF + jitter * self.rng.rand_float() };
        active.number = ProposalNumber::default();
    }

    /// Ends, retries or starts the proposal that is due on one register.
    pub(super) fn tick_register(&mut self, now: f64, register: Register) -> Vec<Effect> {
        let Some(active) = self.active.get(&register) else { return self.start_next(now, register) };
        if active.is_expired(now) {
            return self.resolve(now, register, Outcome::Unknown);
        }
        match active.phase {
            ProposalPhase::BackingOff { until } if now >= until => self.prepare(now, register),
            ProposalPhase::BackingOff { .. } => Vec::new(),
            _ if now > active.phase_started + RESEND_INTERVAL => self.resend(now, register),
            _ => Vec::new(),
        }
    }
}
