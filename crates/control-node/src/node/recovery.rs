//! Recovery from lost disks: state transfer to an acceptor that lost its disk, and a forced new generation
//! after a quorum is lost for good (etcd: `--force-new-cluster`).

use super::ControlNodeState;
use archlink_consensus::membership::FIRST_INTERNAL_TOKEN;
use archlink_consensus::proposer::Change;
use archlink_consensus::{DurableRecord, Effect, MembershipError};
use archlink_messages::{
    AcceptedValue, ConsensusMessage, LeaseGrant, NodeId, ProposalNumber, Register, VoterSet,
};

impl ControlNodeState {
    /// Replies with this acceptor's states and grants, once everything in them is durable: the reply waits
    /// for an empty record, which is queued behind the pending writes. Only a recovered voter replies.
    pub(super) fn reply_to_state_transfer(&self, from: NodeId, serial: u64) -> Vec<Effect> {
        if !self.acceptor.is_recovered() || !self.voter_set.contains(self.id) {
            return Vec::new();
        }
        let (registers, grants) = (self.acceptor.registers(), self.leases.grants());
        let reply = ConsensusMessage::StateTransferReply(serial, registers, grants);
        vec![Effect::Store(DurableRecord::default(), vec![(from, self.voter_set.message(reply))])]
    }

    /// Handles a voter's reply to this node's state transfer request. A recovered node ignores it: the reply
    /// is late, and must not replace leases granted since.
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
        // The acceptor stores its states once the transfer is complete. Grants and voter set are added to the
        // same record: a disk that has a voter set has all three.
        if let Some(Effect::Store(record, _)) = effects.first_mut() {
            record.grants = self.leases.grants();
            record.voter_set = Some(self.voter_set.clone());
            effects.extend(self.converge_transferred(now));
        }
        effects
    }

    /// Proposes convergence of the transferred registers. In a joint epoch all registers converge anyway.
    fn converge_transferred(&mut self, now: f64) -> Vec<Effect> {
        if !self.voter_set.contains(self.id) || self.voter_set.is_joint() {
            return Vec::new();
        }
        let mut effects = Vec::new();
        for register in self.acceptor.transferred() {
            let converge = Change::Converge(register);
            let proposed = self.proposer.propose_internal(now, converge, FIRST_INTERNAL_TOKEN);
            effects.extend(self.apply_effects(now, proposed));
        }
        effects
    }

    /// Begins a new generation with this node as its only voter, from the state on its own disk. The other
    /// `voters` are added afterwards by regular membership changes. The new voter set and the proposal number
    /// under which it is accepted are stored in one record, before any message of the new epoch is sent.
    ///
    /// # Errors
    ///
    /// Fails if the voter set is unknown here, a state transfer is pending, `voters` lacks this node, or
    /// `epoch` is not the current one (the operator decided on an outdated status).
    pub(super) fn force_new_generation(
        &mut self,
        now: f64,
        epoch: u64,
        voters: &[NodeId],
    ) -> Result<Vec<Effect>, MembershipError> {
        self.check_new_generation(epoch, voters)?;
        let voter_set = self.voter_set.next_generation(vec![self.id], self.rng.rand_u64() as u16);
        let value = self.first_accepted_value(&voter_set);
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

    /// Returns the value of the voter set register under the first proposal number of the generation.
    fn first_accepted_value(&mut self, voter_set: &VoterSet) -> AcceptedValue {
        let nonce = self.rng.rand_u64() as u32;
        AcceptedValue {
            proposal: ProposalNumber { round: voter_set.first_round() + 1, node: self.id, nonce },
            revision: voter_set.epoch,
            value: voter_set.to_bytes(),
            recent_versions: Vec::new(),
        }
    }
}
