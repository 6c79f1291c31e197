//! Reads: sends the requests that [`QuorumRead`](super::quorum_read::QuorumRead) plans, and acts on the
//! replies.

use super::queue::{PROPOSAL_TIMEOUT, PendingProposal};
use super::{Change, Proposer};
use crate::Effect;
use archlink_messages::{AcceptedValue, ConsensusMessage, NodeId, ProposalNumber, Register};

impl Proposer {
    /// Requests a confirmation, as of `now` or later, of what is known here. The voters are sent a read
    /// request at once, or as soon as a majority has replied to the previous one: any number of calls costs
    /// one request per round trip.
    pub fn request_confirmation(&mut self, now: f64) -> Vec<Effect> {
        self.quorum_read.request_confirmation(now);
        self.send_read_request(now)
    }

    /// Sends the read request that is due. Before that, registers on which the voters have stayed diverged
    /// are brought to one value.
    pub(super) fn send_read_request(&mut self, now: f64) -> Vec<Effect> {
        if !self.voter_set.is_known() || !self.quorum_read.is_request_due(now, &self.voter_set) {
            return Vec::new();
        }
        let mut effects = Vec::new();
        for register in self.quorum_read.diverged_registers(now, &self.voter_set) {
            if !self.active.contains_key(&register) {
                let change = Change::Converge(register);
                let deadline = now + PROPOSAL_TIMEOUT;
                let proposal = PendingProposal { change, token: None, deadline, internal: false };
                effects.extend(self.enqueue(now, proposal));
            }
        }
        let serial = self.quorum_read.next_request(now);
        effects.extend(self.broadcast(ConsensusMessage::ReadRequest(serial)));
        effects
    }

    /// Records what a reply confirms, and fetches a newer value that a majority has accepted.
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
        for &(register, reported_number) in proposals {
            let committed_number =
                self.committed.get(&register).map_or(ProposalNumber::default(), |value| value.proposal);
            if reported_number <= committed_number {
                self.quorum_read.confirm(&self.voter_set, register, committed_number);
            } else if self.quorum_read.quorum_accepted(now, &self.voter_set, register, reported_number)
                && self.quorum_read.try_begin_fetch(now, register, reported_number)
            {
                let fetch = self.voter_set.message(ConsensusMessage::FetchValue(register));
                effects.push(Effect::Send(from, fetch));
            }
        }
        // A reader that arrived meanwhile may be waiting for the next request.
        effects.extend(self.send_read_request(now));
        effects
    }

    /// Learns a fetched value if a majority has reported its number: a single voter doesn't prove that it is
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
