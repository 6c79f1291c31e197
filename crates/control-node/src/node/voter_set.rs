//! Adoption of new voter sets, and the steps of membership changes.
//!
//! Invariants: epochs only grow, and a new epoch is stored before any message of it is sent. A disk that has
//! a voter set also has the acceptor states; so no voter set is stored while a state transfer is pending.

use super::ControlNodeState;
use archlink_consensus::membership::{FIRST_INTERNAL_TOKEN, MembershipContext};
use archlink_consensus::{DurableRecord, Effect, MembershipChange, Outcome};
use archlink_messages::{AcceptedValue, ControlNode, NodeId, REGISTERS, Register, VoterSet};

impl ControlNodeState {
    /// Enters the epoch of a voter set, unless this node is already in it or in a later one.
    pub(super) fn adopt_voter_set(&mut self, now: f64, voter_set: &VoterSet) -> Vec<Effect> {
        if voter_set.epoch <= self.voter_set.epoch || voter_set.voters.is_empty() {
            return Vec::new();
        }
        self.voter_set = voter_set.clone();
        self.acceptor.set_voter_set(voter_set);
        self.leases.set_voter_set(voter_set);
        let mut effects = self.persist_voter_set();
        effects.extend(self.proposer.set_voter_set(now, voter_set));
        effects.extend(self.membership.epoch_adopted(now, voter_set));
        effects
    }

    /// Stores the voter set, unless the acceptor states are not on the disk yet.
    fn persist_voter_set(&self) -> Vec<Effect> {
        if !self.voter_set.is_known() || !self.acceptor.is_recovered() {
            return Vec::new();
        }
        let record = DurableRecord { voter_set: Some(self.voter_set.clone()), ..DurableRecord::default() };
        vec![Effect::Store(record, Vec::new())]
    }

    /// Handles the proposer's effects that concern this node alone: the outcomes of the membership's own
    /// proposals, and a newly committed voter set, which is adopted. Returns the effects for the caller.
    pub(super) fn apply_effects(&mut self, now: f64, effects: Vec<Effect>) -> Vec<Effect> {
        let mut remaining = Vec::new();
        for effect in effects {
            match effect {
                Effect::ProposalResolved(token, outcome) if token >= FIRST_INTERNAL_TOKEN => {
                    self.resolve_internal_proposal(now, token, outcome);
                }
                other => remaining.push(other),
            }
        }
        if let Some(voter_set) = self.newer_committed_voter_set() {
            remaining.extend(self.adopt_voter_set(now, &voter_set));
            remaining.extend(self.broadcast_heartbeat(now));
        }
        remaining
    }

    fn resolve_internal_proposal(&mut self, now: f64, token: u64, outcome: Outcome) {
        let proposer = &self.proposer;
        // Only the number of the proposal's own register is read. The highest number of all registers would
        // do as well.
        self.membership.proposal_resolved(now, token, outcome, |register| {
            proposer.committed(register).map(|value| value.proposal)
        });
    }

    /// Returns the committed voter set if its epoch is later than the current one.
    fn newer_committed_voter_set(&self) -> Option<VoterSet> {
        let value = self.proposer.committed(Register::VoterSet)?;
        if value.revision <= self.voter_set.epoch {
            return None;
        }
        VoterSet::from_bytes(&value.value)
    }

    /// Advances the membership change in progress, and makes the proposals that it needs.
    pub(super) fn tick_membership(&mut self, now: f64) -> Vec<Effect> {
        let control_nodes = self.event_log.registry.control_nodes();
        let context = self.membership_context(now, &control_nodes);
        let (mut effects, changes) = self.membership.tick(now, &context);
        for (token, change) in changes {
            let proposed = self.proposer.propose_internal(now, change, token);
            effects.extend(self.apply_effects(now, proposed));
        }
        effects
    }

    fn membership_context<'a>(&self, now: f64, control_nodes: &'a [ControlNode]) -> MembershipContext<'a> {
        let all_confirmed = REGISTERS.iter().try_fold(f64::INFINITY, |earliest, register| {
            Some(self.proposer.confirmed(*register)?.min(earliest))
        });
        let is_stale = |register: &Register| {
            self.proposer.committed(*register).is_some_and(|value| !self.is_current_generation(value))
        };
        MembershipContext {
            control_nodes,
            confirmed: self.proposer.confirmed(Register::VoterSet),
            all_confirmed,
            stale: REGISTERS.into_iter().filter(is_stale).collect(),
            recovered: self.acceptor.is_recovered(),
            leases_known: !self.leases.holders(now).is_empty() || !self.leases.grants().is_empty(),
        }
    }

    /// Returns whether a value was chosen in the current generation. A value of an earlier generation may be
    /// newer than what the survivor of a forced new generation had, and must not be given out.
    pub(super) fn is_current_generation(&self, value: &AcceptedValue) -> bool {
        value.proposal.round > self.voter_set.first_round()
    }

    /// Returns the committed value of a register, if it is of the current generation.
    pub(super) fn current_value(&self, register: Register) -> Option<&AcceptedValue> {
        self.proposer.committed(register).filter(|value| self.is_current_generation(value))
    }

    /// Begins a membership change. It ends with [`Effect::ProposalResolved`] and this `token`, which must be
    /// below [`FIRST_INTERNAL_TOKEN`]. A replacement whose outcome is [`Outcome::Unknown`] continues: a
    /// repeated request waits for the same change, or is resolved as chosen if that has completed.
    pub fn change_membership(&mut self, now: f64, change: MembershipChange, token: u64) -> Vec<Effect> {
        match change {
            MembershipChange::Replace { old, new } => self.replace_voter(now, token, old, new),
            MembershipChange::ForceNewGeneration { epoch, voters } => {
                match self.force_new_generation(now, epoch, &voters) {
                    Ok(effects) => {
                        self.membership.generation_forced(now, token, voters);
                        effects
                    }
                    Err(error) => vec![Effect::ProposalResolved(token, Outcome::Rejected(error))],
                }
            }
        }
    }

    fn replace_voter(&mut self, now: f64, token: u64, old: NodeId, new: NodeId) -> Vec<Effect> {
        let resolved = self.membership.replace(now, token, old, new);
        let mut effects: Vec<Effect> =
            resolved.into_iter().map(|outcome| Effect::ProposalResolved(token, outcome)).collect();
        effects.extend(self.tick_membership(now));
        effects
    }
}
