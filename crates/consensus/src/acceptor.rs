//! One voter's side of the registers: promises and accepted values ("Paxos Made Simple", section 2.2, phases
//! 1b and 2b).
//!
//! Invariants:
//!
//! - No reply reports state that is not on disk yet ([`Effect::Store`]).
//! - An acceptor that lost its disk has forgotten its promises, and takes no part until `state_transfer` has
//!   recovered them from a majority of the others. The same is true of a node that joins the voter set. A
//!   node that is no voter and lost its disk recovers too, so that it can become one at once, also after all
//!   nodes were killed.

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
    serial: u64,
    /// Registers whose value this acceptor may only have copied from others, after it had promised a later
    /// proposal. It passes the value on, but doesn't count among those that accepted it.
    transferred: BTreeSet<Register>,
}

impl Acceptor {
    /// `registers` is the state read from disk; `None` where the disk was lost.
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
            serial: 0,
            transferred: BTreeSet::new(),
        };
        acceptor.mark_transferred();
        acceptor
    }

    /// A new epoch has begun: a state transfer starts over, as replies of the epoch before don't count.
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

    /// Sets the serial number of this incarnation's state transfer requests, drawn at random. A late reply to
    /// a request of an earlier incarnation may report state from before that incarnation promised more; its
    /// serial doesn't match.
    pub fn set_request_serial(&mut self, serial: u64) {
        self.serial = serial;
    }

    /// The link to that node was set up anew: a request or a reply on the link before may be lost.
    pub fn link_reset(&mut self, from: NodeId) {
        if let Some(transfer) = self.recovery.transfer_mut() {
            transfer.link_reset(from);
        }
    }

    /// Marks values below the promise as transferred. The value may have been copied, or accepted before the
    /// promise: the disk doesn't tell, so the first is assumed. A value under the very number that was
    /// promised may be counted either way.
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

    /// Registers for which this acceptor doesn't count until it accepts a value again.
    pub fn transferred(&self) -> Vec<Register> {
        self.transferred.iter().copied().collect()
    }

    /// Does it have all that it ever promised and accepted, so that it may be counted in a majority?
    pub fn is_recovered(&self) -> bool {
        matches!(self.recovery, RecoveryState::Recovered)
    }

    fn may_vote(&self) -> bool {
        self.is_recovered() && self.voter_set.contains(self.id)
    }

    /// Sends the state transfer requests that are due. To be called at short intervals.
    pub fn tick(&mut self, now: f64) -> Vec<Effect> {
        let request = self.voter_set.message(ConsensusMessage::StateTransferRequest(self.serial));
        let sources = state_transfer::sources(&self.voter_set);
        let Some(transfer) = self.recovery.transfer_mut() else { return Vec::new() };
        let due = transfer.due_requests(now, self.id, &sources);
        due.into_iter().map(|node| Effect::Send(node, request.clone())).collect()
    }

    /// Handles a message of the current epoch. Messages to proposers and about leases have no effect.
    pub fn step(&mut self, from: NodeId, message: &ConsensusMessage) -> Vec<Effect> {
        match message {
            ConsensusMessage::StateTransferReply(serial, registers, _) => {
                self.receive_state(from, *serial, registers)
            }
            _ if !self.may_vote() => Vec::new(),
            ConsensusMessage::Prepare(register, proposal) => self.receive_prepare(from, *register, *proposal),
            ConsensusMessage::Accept(register, value) => self.receive_accept(from, *register, value),
            ConsensusMessage::ReadRequest(serial) => self.receive_read(from, *serial),
            ConsensusMessage::FetchValue(register) => self.receive_fetch(from, *register),
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

    /// Replies with the proposal number accepted for each register, leaving out those for which it doesn't
    /// count.
    fn receive_read(&self, from: NodeId, serial: u64) -> Vec<Effect> {
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

    fn receive_fetch(&self, from: NodeId, register: Register) -> Vec<Effect> {
        let Some(value) = self.registers.get(&register).and_then(|state| state.accepted.clone()) else {
            return Vec::new();
        };
        self.reply_after_sync(from, ConsensusMessage::FetchedValue(register, value))
    }

    /// Merges the state of a majority, once that many have replied.
    fn receive_state(
        &mut self,
        from: NodeId,
        serial: u64,
        registers: &[(Register, AcceptorState)],
    ) -> Vec<Effect> {
        let sources = state_transfer::sources(&self.voter_set);
        let Some(transfer) = self.recovery.transfer_mut() else { return Vec::new() };
        if serial != self.serial || from == self.id || !transfer.has_requested(from) {
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

    /// A reply that changes nothing, sent once all records before it are on disk.
    fn reply_after_sync(&self, to: NodeId, reply: ConsensusMessage) -> Vec<Effect> {
        vec![Effect::Store(DurableRecord::default(), vec![(to, self.voter_set.message(reply))])]
    }

    /// Takes the voter set of a forced new generation, as the value under the first proposal number of that
    /// generation, which is higher than all numbers before. The other registers stay as they are, to be
    /// committed in the new generation.
    pub fn force_new_generation(&mut self, value: AcceptedValue) {
        let state = AcceptorState { promised: value.proposal, accepted: Some(value) };
        self.registers.insert(Register::VoterSet, state);
    }

    /// All that it has promised and accepted.
    pub fn registers(&self) -> Vec<(Register, AcceptorState)> {
        self.registers.iter().map(|(register, state)| (*register, state.clone())).collect()
    }
}
