//! Reads: sending the requests that [`QuorumRead`](super::quorum_read::QuorumRead) plans, and acting on the
//! replies.

use super::queue::{PROPOSAL_TIMEOUT, PendingProposal};
use super::{Change, Proposer};
use crate::Effect;
use archlink_messages::{AcceptedValue, ConsensusMessage, NodeId, ProposalNumber, Register};

impl Proposer {
    /// Asks for a confirmation at `now` or later of what is known here. The voters are sent a read request at
    /// once, or as soon as a majority has replied to the one before: any number of calls costs one request a
    /// round trip.
    pub fn request_confirmation(&mut self, now: f64) -> Vec<Effect> {
        self.quorum_read.request_confirmation(now);
        self.send_read_request(now)
    }

    /// Sends the read request that is due. Registers on which the voters have stayed diverged are committed
    /// first.
    pub(super) fn send_read_request(&mut self, now: f64) -> Vec<Effect> {
        if !self.voter_set.is_known() || !self.quorum_read.due(now, &self.voter_set) {
            return Vec::new();
        }
        let mut effects = Vec::new();
        for register in self.quorum_read.diverged_registers(now, &self.voter_set) {
            if !self.active.contains_key(&register) {
                let change = Change::Commit(register);
                let deadline = now + PROPOSAL_TIMEOUT;
                let proposal = PendingProposal { change, token: None, deadline, internal: false };
                effects.extend(self.enqueue(now, proposal));
            }
        }
        let serial = self.quorum_read.next_request(now);
        effects.extend(self.broadcast(ConsensusMessage::ReadRequest(serial)));
        effects
    }

    /// Confirms what a reply confirms, and fetches a newer value that a majority has accepted.
    pub(super) fn receive_read_reply(
        &mut self,
        now: f64,
        from: NodeId,
        serial: u64,
        proposals: &[(Register, ProposalNumber)],
    ) -> Vec<Effect> {
        if !self.quorum_read.receive_reply(from, serial, proposals) {
            return Vec::new();
        }
        let mut effects = Vec::new();
        for &(register, theirs) in proposals {
            let ours = self.chosen.get(&register).map_or(ProposalNumber::default(), |value| value.proposal);
            if theirs <= ours {
                self.quorum_read.confirm(&self.voter_set, register, ours);
            } else if self.quorum_read.quorum_accepted(now, &self.voter_set, register, theirs)
                && self.quorum_read.may_fetch(now, register, theirs)
            {
                let fetch = self.voter_set.message(ConsensusMessage::FetchValue(register));
                effects.push(Effect::Send(from, fetch));
            }
        }
        // A reader that came meanwhile may be waiting for the next request.
        effects.extend(self.send_read_request(now));
        effects
    }

    /// Learns a fetched value if a majority has reported its number: one voter alone doesn't prove that it is
    /// chosen.
    pub(super) fn receive_fetched_value(
        &mut self,
        now: f64,
        register: Register,
        value: &AcceptedValue,
    ) -> Vec<Effect> {
        if !self.quorum_read.quorum_accepted(now, &self.voter_set, register, value.proposal) {
            return Vec::new();
        }
        self.learn(register, value)
    }
}
