//! The acceptor of the registers: promises and accepted values ("Paxos Made Simple", section 2.2, phases 1b
//! and 2b).
//!
//! Invariants:
//!
//! - A reply is never sent before the state that it reports is on disk ([`Effect::Store`]).
//! - An acceptor that lost its disk has forgotten its promises and does not vote until `state_transfer` has
//!   recovered them from a majority of the other voters. The same holds for a node that joins the voter set.
//!   A node that is not a voter and lost its disk recovers too, so that it can become a voter at once, even
//!   after all nodes were killed.

mod state_transfer;

use crate::{DurableRecord, Effect};
use archlink_messages::{
    AcceptedValue, AcceptorState, ConsensusMessage, NodeId, ProposalNumber, REGISTERS, Register, VoterSet,
};
use state_transfer::{RecoveryState, StateTransfer};
use std::collections::{BTreeMap, BTreeSet};

/// The acceptor of one control node, for all registers.
#[derive(Clone, Debug)]
pub struct Acceptor {
    id: NodeId,
    voter_set: VoterSet,
    registers: BTreeMap<Register, AcceptorState>,
    recovery: RecoveryState,
    request_serial: u64,
    /// Registers whose value may have been copied from other acceptors after this one had promised a later
    /// proposal. Such a value is passed on, but this acceptor doesn't count among those that accepted it.
    transferred: BTreeSet<Register>,
}

impl Acceptor {
    /// Creates an acceptor from the state read from disk; `None` if the disk was lost.
    pub fn new(now: f64, id: NodeId, registers: Option<BTreeMap<Register, AcceptorState>>) -> Acceptor {
        let recovery = match registers {
            Some(_) => RecoveryState::Recovered,
            None => RecoveryState::LostDisk(StateTransfer::starting_at(now)),
        };
        let mut acceptor = Acceptor {
            id,
            voter_set: VoterSet::default(),
            registers: registers.unwrap_or_default(),
            recovery,
            request_serial: 0,
            transferred: BTreeSet::new(),
        };
        acceptor.mark_transferred();
        acceptor
    }

    /// Adopts the voter set of a new epoch. A state transfer in progress starts over, since replies from the
    /// previous epoch don't count.
    pub fn set_voter_set(&mut self, voter_set: &VoterSet) {
        self.voter_set = voter_set.clone();
        let is_joining = voter_set.incoming.contains(&self.id) && !voter_set.voters.contains(&self.id);
        self.recovery = match &self.recovery {
            RecoveryState::LostDisk(transfer) => RecoveryState::LostDisk(transfer.restarted()),
            // It has made no promise that counts in this epoch, so there is no proposal to wait for.
            _ if is_joining => RecoveryState::Joining(StateTransfer::starting_at(f64::NEG_INFINITY)),
            _ => RecoveryState::Recovered,
        };
    }

    /// Sets the serial number of this incarnation's state transfer requests, which must be drawn at random. A
    /// late reply to a request of an earlier incarnation may report state from before that incarnation
    /// promised more; its serial number doesn't match.
    pub fn set_request_serial(&mut self, serial: u64) {
        self.request_serial = serial;
    }

    /// Handles a reconnect of the link to `from`: a request or a reply on the previous connection may be
    /// lost.
    pub fn link_reset(&mut self, from: NodeId) {
        if let Some(transfer) = self.recovery.transfer_mut() {
            transfer.link_reset(from);
        }
    }

    /// Marks values below the promise as transferred. The disk doesn't tell whether such a value was copied
    /// or was accepted before the promise, so the former is assumed. A value under the promised number itself
    /// may be counted in either case.
    fn mark_transferred(&mut self) {
        let below_promise = |state: &AcceptorState| {
            state.accepted.as_ref().is_some_and(|accepted| accepted.proposal < state.promised)
        };
        self.transferred = self
            .registers
            .iter()
            .filter(|(_, state)| below_promise(state))
            .map(|(register, _)| *register)
            .collect();
    }

    /// Returns the registers for which this acceptor is not counted in a majority until it accepts a value
    /// again.
    pub fn transferred(&self) -> Vec<Register> {
        self.transferred.iter().copied().collect()
    }

    /// Returns whether this acceptor knows every promise that it made and every value that it accepted, so
    /// that it may be counted in a majority.
    pub fn is_recovered(&self) -> bool {
        matches!(self.recovery, RecoveryState::Recovered)
    }

    fn may_vote(&self) -> bool {
        self.is_recovered() && self.voter_set.contains(self.id)
    }

    /// Sends the state transfer requests that are due. Call it at short intervals.
    pub fn tick(&mut self, now: f64) -> Vec<Effect> {
        let request = self.voter_set.message(ConsensusMessage::StateTransferRequest(self.request_serial));
        let sources = state_transfer::sources(&self.voter_set);
        let Some(transfer) = self.recovery.transfer_mut() else { return Vec::new() };
        let due = transfer.due_requests(now, self.id, &sources);
        due.into_iter().map(|node| Effect::Send(node, request.clone())).collect()
    }

    /// Handles a message of the current epoch. Messages to proposers and about leases are ignored.
    pub fn step(&mut self, from: NodeId, message: &ConsensusMessage) -> Vec<Effect> {
        match message {
            ConsensusMessage::StateTransferReply(serial, registers, _) => {
                self.receive_state_transfer_reply(from, *serial, registers)
            }
            _ if !self.may_vote() => Vec::new(),
            ConsensusMessage::Prepare(register, proposal) => self.receive_prepare(from, *register, *proposal),
            ConsensusMessage::Accept(register, value) => self.receive_accept(from, *register, value),
            ConsensusMessage::ReadRequest(serial) => self.receive_read_request(from, *serial),
            ConsensusMessage::FetchValue(register) => self.receive_fetch_request(from, *register),
            _ => Vec::new(),
        }
    }

    /// Phase 1b: promises to accept nothing below `proposal`, unless a higher number was promised.
    fn receive_prepare(&mut self, from: NodeId, register: Register, proposal: ProposalNumber) -> Vec<Effect> {
        let state = self.registers.entry(register).or_default();
        if proposal < state.promised {
            let reject = ConsensusMessage::Reject(register, proposal, state.promised);
            return self.reply_after_sync(from, reject);
        }
        let promise = ConsensusMessage::Promise(register, proposal, state.accepted.clone());
        if proposal == state.promised {
            // A repeated request: the promise is recorded already.
            return self.reply_after_sync(from, promise);
        }
        state.promised = proposal;
        self.persist_then_reply(register, from, promise)
    }

    /// Phase 2b: accepts the value, unless a higher number was promised.
    fn receive_accept(&mut self, from: NodeId, register: Register, value: &AcceptedValue) -> Vec<Effect> {
        let state = self.registers.entry(register).or_default();
        if value.proposal < state.promised {
            let reject = ConsensusMessage::Reject(register, value.proposal, state.promised);
            return self.reply_after_sync(from, reject);
        }
        let reply = ConsensusMessage::Accepted(register, value.proposal);
        if state.accepted.as_ref() == Some(value) && !self.transferred.contains(&register) {
            // A repeated request: the value is on disk, or will be before this reply is sent.
            return self.reply_after_sync(from, reply);
        }
        state.promised = value.proposal;
        state.accepted = Some(value.clone());
        self.transferred.remove(&register);
        self.persist_then_reply(register, from, reply)
    }

    /// Replies with the accepted proposal number of each register, except for registers for which this
    /// acceptor doesn't count.
    fn receive_read_request(&self, from: NodeId, serial: u64) -> Vec<Effect> {
        let accepted_number = |register: &Register| {
            let accepted = self.registers.get(register).and_then(|state| state.accepted.as_ref());
            accepted.map_or(ProposalNumber::default(), |accepted| accepted.proposal)
        };
        let proposals = REGISTERS
            .iter()
            .filter(|register| !self.transferred.contains(register))
            .map(|register| (*register, accepted_number(register)))
            .collect();
        self.reply_after_sync(from, ConsensusMessage::ReadReply(serial, proposals))
    }

    fn receive_fetch_request(&self, from: NodeId, register: Register) -> Vec<Effect> {
        let Some(value) = self.registers.get(&register).and_then(|state| state.accepted.clone()) else {
            return Vec::new();
        };
        self.reply_after_sync(from, ConsensusMessage::FetchedValue(register, value))
    }

    /// Records a state transfer reply, and merges the transferred state once a majority has replied.
    fn receive_state_transfer_reply(
        &mut self,
        from: NodeId,
        serial: u64,
        registers: &[(Register, AcceptorState)],
    ) -> Vec<Effect> {
        let sources = state_transfer::sources(&self.voter_set);
        let Some(transfer) = self.recovery.transfer_mut() else { return Vec::new() };
        if serial != self.request_serial || from == self.id || !transfer.has_requested(from) {
            return Vec::new();
        }
        let Some(replies) = transfer.receive(from, registers, &sources) else { return Vec::new() };
        for (register, other) in replies {
            let state = self.registers.entry(register).or_default();
            state.promised = state.promised.max(other.promised);
            let accepted_number = |state: &AcceptorState| state.accepted.as_ref().map(|value| value.proposal);
            if accepted_number(&other) > accepted_number(state) {
                state.accepted = other.accepted;
            }
        }
        self.recovery = RecoveryState::Recovered;
        self.mark_transferred();
        let record = DurableRecord { acceptors: self.registers(), ..DurableRecord::default() };
        vec![Effect::Store(record, Vec::new())]
    }

    fn persist_then_reply(&self, register: Register, to: NodeId, reply: ConsensusMessage) -> Vec<Effect> {
        let acceptors = vec![(register, self.registers[&register].clone())];
        let record = DurableRecord { acceptors, ..DurableRecord::default() };
        vec![Effect::Store(record, vec![(to, self.voter_set.message(reply))])]
    }

    /// Sends a reply that changes no state, once all earlier records are on disk.
    fn reply_after_sync(&self, to: NodeId, reply: ConsensusMessage) -> Vec<Effect> {
        vec![Effect::Store(DurableRecord::default(), vec![(to, self.voter_set.message(reply))])]
    }

    /// Installs the voter set of a forced new generation under the first proposal number of that generation,
    /// which is higher than all earlier numbers. The other registers keep their state until they converge in
    /// the new generation.
    pub fn force_new_generation(&mut self, value: AcceptedValue) {
        let state = AcceptorState { promised: value.proposal, accepted: Some(value) };
        self.registers.insert(Register::VoterSet, state);
    }

    /// Returns all promises and accepted values.
    pub fn registers(&self) -> Vec<(Register, AcceptorState)> {
        self.registers.iter().map(|(register, state)| (*register, state.clone())).collect()
    }
}
