//! The proposal in progress on a register: its two phases ("Paxos Made Simple", section 2.2), retries and
//! back-off.

use super::{PendingProposal, Proposer};
use crate::{Effect, Outcome};
use archlink_messages::{AcceptedValue, ConsensusMessage, NodeId, ProposalNumber, Register};
use std::collections::{BTreeMap, BTreeSet};

/// Seconds after which voters that have not replied are sent the request again, under the same number: the
/// message may be lost; and where only the disk is slow, the reply to the first request counts.
const RESEND_INTERVAL: f64 = 0.35;
/// The shortest back-off after a rejection, in seconds: about one message delay within a region.
const MIN_BACKOFF: f64 = 0.01;
/// What is added to it at most, in seconds, by the first rejection of a caller's proposal.
const BACKOFF_JITTER: f64 = 0.12;
/// The same of the node's own proposals, whatever the number of rejections: callers' proposals without a
/// pause would otherwise hold up a change of the voter set.
const INTERNAL_BACKOFF_JITTER: f64 = 0.03;
/// The jitter doubles with each rejection, for the sake of slow disks; so many times at most.
const MAX_BACKOFF_DOUBLINGS: u32 = 2;

/// How far an attempt has come.
#[derive(Clone, Debug)]
pub(super) enum ProposalPhase {
    /// A competing proposal came first: the next attempt begins at `until`.
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
    /// What is proposed, for whom, and until when.
    pub proposal: PendingProposal,
    /// The number of this attempt; the default while backing off, which no reply has.
    pub number: ProposalNumber,
    /// When the phase began, or its request was last sent.
    pub phase_started: f64,
    /// How far this attempt has come.
    pub phase: ProposalPhase,
    /// Attempts that a competing proposal has cost.
    pub rejections: u32,
    /// The caller is gone: the value sent out may be chosen, but nothing is retried.
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

    /// Sends the request of the phase in progress again, to those that have not replied. A withdrawn proposal
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

    /// Phase 2a, once a majority has promised: applies the change to the newest value that any of them has
    /// accepted.
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
        // A process that was suspended may be here long after the deadline, when a promise may be forgotten
        // with its disk.
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

    /// The value is chosen once a majority has accepted it.
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
        // After the deadline an accepted value may be forgotten as well.
        if !voter_set.has_quorum(|node| accepted_by.contains(&node)) || is_expired {
            return Vec::new();
        }
        let (value, outcome) = (value.clone(), *outcome);
        let mut effects = self.learn(register, &value);
        effects.extend(self.resolve(now, register, outcome));
        effects
    }

    /// A competing proposal has a higher number: backs off for a random time, so that one of the two gets
    /// through.
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

    /// Ends, retries or starts what is due on one register.
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
