//! Recovery from lost disks: state transfer to an acceptor that lost its disk, and a forced new generation
//! where a quorum is gone for good (etcd: force new cluster).

use super::ControlNodeState;
use archlink_consensus::membership::FIRST_INTERNAL_TOKEN;
use archlink_consensus::proposer::Change;
use archlink_consensus::{DurableRecord, Effect, MembershipError};
use archlink_messages::{
    AcceptedValue, ConsensusMessage, LeaseGrant, NodeId, ProposalNumber, Register, VoterSet,
};

impl ControlNodeState {
    /// Replies with this acceptor's states and grants, once everything they contain is durable: the empty
    /// record takes its turn behind the writes that are pending. Only a recovered voter replies.
    pub(super) fn reply_to_state_transfer(&self, from: NodeId, serial: u64) -> Vec<Effect> {
        if !self.acceptor.is_recovered() || !self.voter_set.contains(self.id) {
            return Vec::new();
        }
        let (registers, grants) = (self.acceptor.registers(), self.leases.grants());
        let reply = ConsensusMessage::StateTransferReply(serial, registers, grants);
        vec![Effect::Store(DurableRecord::default(), vec![(from, self.voter_set.message(reply))])]
    }

    /// Takes a voter's reply to this node's state transfer request. A recovered node ignores it: it is late,
    /// and must not replace what was granted since.
    pub(super) fn receive_state_transfer(
        &mut self,
        now: f64,
        from: NodeId,
        grants: &[LeaseGrant],
        reply: &ConsensusMessage,
    ) -> Vec<Effect> {
        if self.acceptor.is_recovered() {
            return Vec::new();
        }
        grants.iter().for_each(|&grant| self.leases.restore_grant(now, grant));
        let mut effects = self.acceptor.step(from, reply);
        // The acceptor stores its states once the transfer is complete. Grants and voter set belong into the
        // same record: a disk that names a voter set has all of them.
        if let Some(Effect::Store(record, _)) = effects.first_mut() {
            record.grants = self.leases.grants();
            record.voter_set = Some(self.voter_set.clone());
            effects.extend(self.commit_transferred(now));
        }
        effects
    }

    /// Commits the registers that were transferred. During a membership change all registers are committed
    /// anyway.
    fn commit_transferred(&mut self, now: f64) -> Vec<Effect> {
        if !self.voter_set.contains(self.id) || self.voter_set.is_joint() {
            return Vec::new();
        }
        let mut effects = Vec::new();
        for register in self.acceptor.transferred() {
            let commit = Change::Converge(register);
            let proposed = self.proposer.propose_internal(now, commit, FIRST_INTERNAL_TOKEN);
            effects.extend(self.apply_effects(now, proposed));
        }
        effects
    }

    /// Begins a new generation with this node as its only voter, from what its own disk has; the other
    /// `voters` are added from there by regular membership changes. The new voter set and the proposal number
    /// under which it is accepted go to the disk in one record, before any message of them leaves.
    ///
    /// # Errors
    ///
    /// The voter set is unknown here, a state transfer is still due, `voters` lacks this node, or `epoch` is
    /// not the current one (the operator decided on an outdated status).
    pub(super) fn force_new_generation(
        &mut self,
        now: f64,
        epoch: u64,
        voters: &[NodeId],
    ) -> Result<Vec<Effect>, MembershipError> {
        self.check_new_generation(epoch, voters)?;
        let voter_set = self.voter_set.next_generation(vec![self.id], self.rng.rand_u64() as u16);
        let value = self.first_value_of(&voter_set);
        self.acceptor.force_new_generation(value.clone());
        let record = DurableRecord {
            acceptors: self.acceptor.registers(),
            voter_set: Some(voter_set.clone()),
            ..DurableRecord::default()
        };
        let mut effects = vec![Effect::Store(record, Vec::new())];
        effects.extend(self.proposer.learn(Register::VoterSet, &value));
        effects.extend(self.adopt_voter_set(now, &voter_set));
        Ok(effects)
    }

    fn check_new_generation(&self, epoch: u64, voters: &[NodeId]) -> Result<(), MembershipError> {
        if !self.voter_set.is_known() {
            return Err(MembershipError::Unknown);
        }
        if !self.acceptor.is_recovered() {
            return Err(MembershipError::NotRecovered);
        }
        if !voters.contains(&self.id) {
            return Err(MembershipError::NotAVoter);
        }
        if epoch != self.voter_set.epoch {
            return Err(MembershipError::WrongEpoch);
        }
        Ok(())
    }

    /// The voter set as accepted under the first proposal number of its generation.
    fn first_value_of(&mut self, voter_set: &VoterSet) -> AcceptedValue {
        let nonce = self.rng.rand_u64() as u32;
        AcceptedValue {
            proposal: ProposalNumber { round: voter_set.first_round() + 1, node: self.id, nonce },
            revision: voter_set.epoch,
            value: voter_set.to_bytes(),
            recent_versions: Vec::new(),
        }
    }
}
