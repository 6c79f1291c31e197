//! One voter's side of the registers: what it has promised and accepted, always as it stands on its disk before anybody
//! hears of it. A voter whose disk is gone has forgotten its promises: it is silent until it has read what a majority of
//! the set holds beside itself; one that is to get a seat, until it has read what a majority of those before it hold. A gateway
//! without a seat whose disk was emptied reads as well, so that it can take a seat at once, after a kill of all too. Must never
//! answer from what is not on disk.

use crate::{DurableRecord, Effect};
use archlink_messages::{
    AcceptedValue, AcceptorState, ConsensusMessage, NodeId, ProposalNumber, REGISTERS, Register, VoterSet,
};
use std::collections::{BTreeMap, BTreeSet};

/// Longer than any attempt to write lives (`helm::OWN_LIFE`), by clocks that run apart by a quarter, held-up answers of its first half included: a voter that
/// forgot a promise is back only when the attempt that it was made to is over, so that it can't be counted twice.
const LOST_DISK_SILENCE: f64 = 2.5;
/// Who has not told by then is asked again, and then only after twice as long each time: two ways and two slow syncs fit in,
/// and a large configuration on a narrow link is not sent again while it is still coming.
const TRANSFER_RETRY: f64 = 0.75;
/// The longest such wait: so much of a time without links is lost after it, where they don't come up anew.
const TRANSFER_RETRY_MAX: f64 = 4.0;

/// What a voter without a memory has done to get it back. An answer counts whenever it comes: it was given after `FORGET`, when
/// all attempts that counted a word from before the loss were over, so that whoever told has since then only promised and
/// accepted more, in majorities without this voter. Such a majority and the next one with it meet elsewhere.
#[derive(Clone, Debug, Default)]
struct StateTransfer {
    since: f64,
    /// When each was asked last, and how long to wait before it is asked again.
    asked: BTreeMap<NodeId, (f64, f64)>,
    received: BTreeMap<NodeId, Vec<(Register, AcceptorState)>>,
}

#[derive(Clone, Debug)]
enum RecoveryState {
    Recovered,
    /// Of one that is to get a seat: all that it promised is there, but not what the seats before it hold.
    Joining(StateTransfer),
    LostDisk(StateTransfer),
}

impl RecoveryState {
    fn recall(&mut self) -> Option<&mut StateTransfer> {
        match self {
            RecoveryState::Recovered => None,
            RecoveryState::Joining(recall) | RecoveryState::LostDisk(recall) => Some(recall),
        }
    }
}

#[derive(Clone, Debug)]
pub struct Acceptor {
    id: NodeId,
    voter_set: VoterSet,
    registers: BTreeMap<Register, AcceptorState>,
    recovery: RecoveryState,
    serial: u64,
    /// Registers whose value this voter may only have read from others, after it had promised a later ballot: it hands on what it
    /// read, but does not count among those that accepted it.
    transferred: BTreeSet<Register>,
}

impl Acceptor {
    /// `slots` is what the disk gave back; none where there should have been something and is not.
    pub fn new(now: f64, me: NodeId, slots: Option<BTreeMap<Register, AcceptorState>>) -> Acceptor {
        let forgotten = RecoveryState::LostDisk(StateTransfer { since: now, ..StateTransfer::default() });
        let memory = if slots.is_some() { RecoveryState::Recovered } else { forgotten };
        let (voter_set, slots) = (VoterSet::default(), slots.unwrap_or_default());
        let mut voter = Acceptor {
            id: me,
            voter_set,
            registers: slots,
            recovery: memory,
            serial: 0,
            transferred: BTreeSet::new(),
        };
        voter.mark_transferred();
        voter
    }

    /// Another epoch: what was told in the one before counts for nothing, and is asked for anew at once.
    pub fn set_voter_set(&mut self, voter_set: &VoterSet) {
        self.voter_set = voter_set.clone();
        let comes = voter_set.incoming.contains(&self.id) && !voter_set.voters.contains(&self.id);
        self.recovery = match &self.recovery {
            RecoveryState::LostDisk(StateTransfer { since, .. }) => {
                RecoveryState::LostDisk(StateTransfer { since: *since, ..StateTransfer::default() })
            }
            // It promised nothing yet that counts in this epoch: no attempt has to be waited for.
            _ if comes => {
                RecoveryState::Joining(StateTransfer { since: f64::NEG_INFINITY, ..StateTransfer::default() })
            }
            _ => RecoveryState::Recovered,
        };
    }

    /// The number of this life's questions, by chance: answers to an earlier life's may come late, and tell of what was held
    /// before that life promised more.
    pub fn set_request_serial(&mut self, number: u64) {
        self.serial = number;
    }

    /// A link to that one came up anew: what was asked or told on the one before may be lost.
    pub fn link_reset(&mut self, from: NodeId) {
        if let Some((at, _)) = self.recovery.recall().and_then(|recall| recall.asked.get_mut(&from)) {
            *at = f64::NEG_INFINITY;
        }
    }

    /// A value below what is promised may have been read, or accepted before the promise: the disk doesn't tell, and the first is
    /// taken to be so. What stands under the very ballot that was promised may be counted either way.
    fn mark_transferred(&mut self) {
        let below =
            |slot: &AcceptorState| slot.accepted.as_ref().is_some_and(|held| held.proposal < slot.promised);
        self.transferred =
            self.registers.iter().filter(|(_, slot)| below(slot)).map(|(register, _)| *register).collect();
    }

    /// Registers on which this voter does not count until it accepts again.
    pub fn transferred(&self) -> Vec<Register> {
        self.transferred.iter().copied().collect()
    }

    /// Whose slots it has to read: those of a majority of the seats. While the set changes also where it is one that comes:
    /// whatever is chosen then, a majority of the seats promised and accepted too.
    fn transfer_sources(&self) -> VoterSet {
        VoterSet { incoming: Vec::new(), ..self.voter_set.clone() }
    }

    /// May it be counted in a majority?
    pub fn is_recovered(&self) -> bool {
        matches!(self.recovery, RecoveryState::Recovered)
    }

    fn may_vote(&self) -> bool {
        self.is_recovered() && self.voter_set.contains(self.id)
    }

    /// Asks those that have not told yet for what was forgotten; called now and then.
    pub fn tick(&mut self, now: f64) -> Vec<Effect> {
        let (tellers, word) = (
            self.transfer_sources(),
            self.voter_set.message(ConsensusMessage::StateTransferRequest(self.serial)),
        );
        let Some(recall) = self.recovery.recall().filter(|recall| now >= recall.since + LOST_DISK_SILENCE)
        else {
            return Vec::new();
        };
        let mut effects = Vec::new();
        for node in tellers.all_voters() {
            let (at, wait) = recall.asked.get(&node).copied().unwrap_or((f64::NEG_INFINITY, TRANSFER_RETRY));
            if node != self.id && !recall.received.contains_key(&node) && now >= at + wait {
                let next = if at.is_finite() { (2.0 * wait).min(TRANSFER_RETRY_MAX) } else { wait };
                recall.asked.insert(node, (now, next));
                effects.push(Effect::Send(node, word.clone()));
            }
        }
        effects
    }

    fn persist_then_reply(&self, register: Register, to: NodeId, poll: ConsensusMessage) -> Vec<Effect> {
        let slots = vec![(register, self.registers[&register].clone())];
        vec![Effect::Store(
            DurableRecord { acceptors: slots, ..DurableRecord::default() },
            vec![(to, self.voter_set.message(poll))],
        )]
    }

    /// What it holds, said only after all that was written before is on disk.
    fn reply_after_disk(&self, to: NodeId, poll: ConsensusMessage) -> Vec<Effect> {
        vec![Effect::Store(DurableRecord::default(), vec![(to, self.voter_set.message(poll))])]
    }

    pub fn step(&mut self, from: NodeId, poll: &ConsensusMessage) -> Vec<Effect> {
        match poll {
            ConsensusMessage::StateTransferReply(serial, slots, _) => {
                self.receive_state(from, *serial, slots)
            }
            _ if !self.may_vote() => Vec::new(),
            ConsensusMessage::Prepare(register, proposal) => {
                let slot = self.registers.entry(*register).or_default();
                if *proposal == slot.promised {
                    // Asked again: what it promised stands.
                    let promise = ConsensusMessage::Promise(*register, *proposal, slot.accepted.clone());
                    return self.reply_after_disk(from, promise);
                }
                if *proposal < slot.promised {
                    let refusal = ConsensusMessage::Reject(*register, *proposal, slot.promised);
                    return self.reply_after_disk(from, refusal);
                }
                slot.promised = *proposal;
                let promise = ConsensusMessage::Promise(*register, *proposal, slot.accepted.clone());
                self.persist_then_reply(*register, from, promise)
            }
            ConsensusMessage::Accept(register, held) => {
                let slot = self.registers.entry(*register).or_default();
                if held.proposal < slot.promised {
                    let refusal = ConsensusMessage::Reject(*register, held.proposal, slot.promised);
                    return self.reply_after_disk(from, refusal);
                }
                if slot.accepted.as_ref() == Some(held) && !self.transferred.contains(register) {
                    // Asked again: it is on its disk, or on its way there before this word.
                    return self.reply_after_disk(from, ConsensusMessage::Accepted(*register, held.proposal));
                }
                slot.promised = held.proposal;
                slot.accepted = Some(held.clone());
                self.transferred.remove(register);
                self.persist_then_reply(*register, from, ConsensusMessage::Accepted(*register, held.proposal))
            }
            ConsensusMessage::ReadRequest(serial) => {
                let proposal = |r: &Register| {
                    self.registers
                        .get(r)
                        .and_then(|s| s.accepted.as_ref())
                        .map_or(ProposalNumber::default(), |h| h.proposal)
                };
                let accepted = REGISTERS.iter().filter(|r| !self.transferred.contains(r));
                let proposals = accepted.map(|r| (*r, proposal(r))).collect();
                self.reply_after_disk(from, ConsensusMessage::ReadReply(*serial, proposals))
            }
            ConsensusMessage::FetchValue(register) => {
                match self.registers.get(register).and_then(|s| s.accepted.clone()) {
                    Some(held) => {
                        self.reply_after_disk(from, ConsensusMessage::FetchedValue(*register, held))
                    }
                    None => Vec::new(),
                }
            }
            _ => Vec::new(),
        }
    }

    /// A majority of the seats beside itself has told: whatever it had promised or accepted that counts, one of these has; and
    /// none of them votes in an earlier epoch any more.
    fn receive_state(
        &mut self,
        from: NodeId,
        answer: u64,
        slots: &[(Register, AcceptorState)],
    ) -> Vec<Effect> {
        let (tellers, serial) = (self.transfer_sources(), self.serial);
        let Some(recall) = self.recovery.recall() else { return Vec::new() };
        if answer != serial || from == self.id || !recall.asked.contains_key(&from) {
            return Vec::new();
        }
        recall.received.insert(from, slots.to_vec());
        if !tellers.has_quorum(|node| recall.received.contains_key(&node)) {
            return Vec::new();
        }
        for (register, other) in std::mem::take(&mut recall.received).into_values().flatten() {
            let slot = self.registers.entry(register).or_default();
            slot.promised = slot.promised.max(other.promised);
            if other.accepted.as_ref().map(|h| h.proposal) > slot.accepted.as_ref().map(|h| h.proposal) {
                slot.accepted = other.accepted;
            }
        }
        self.recovery = RecoveryState::Recovered;
        self.mark_transferred();
        vec![Effect::Store(
            DurableRecord { acceptors: self.registers(), ..DurableRecord::default() },
            Vec::new(),
        )]
    }

    /// Founds anew: who votes, as the value under the first ballot of the new founding, which outranks all of the old ones.
    /// What else is held stays as it is, to be settled under the new founding.
    pub fn force_new_generation(&mut self, held: AcceptedValue) {
        let slot = AcceptorState { promised: held.proposal, accepted: Some(held) };
        self.registers.insert(Register::VoterSet, slot);
    }

    /// All that it has promised and accepted.
    pub fn registers(&self) -> Vec<(Register, AcceptorState)> {
        self.registers.iter().map(|(register, slot)| (*register, slot.clone())).collect()
    }
}
