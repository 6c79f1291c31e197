//! The proposer of the registers, and the chosen values that this node has learned.
//!
//! A change is proposed in a sequence of attempts, each under a proposal number of its own ("Paxos Made
//! Simple", section 2.2): a majority promises and reports what it has accepted; the change is applied to the
//! newest reported value; a majority accepts the result. Any control node may propose, and each change starts
//! from the value that was chosen last.
//!
//! Submodules: `queue` (proposals that wait for their turn), `attempt` (the two phases), `reads` and
//! `quorum_read` (confirmation by a majority of what is known here), `change` (how a change alters a value).
//!
//! Invariant: a value is learned as chosen only when a majority has it on disk under one proposal number.

mod attempt;
mod change;
mod queue;
mod quorum_read;
mod reads;

pub use change::{Change, MAX_RECENT_VERSIONS};
pub use queue::PROPOSAL_TIMEOUT;

use crate::Effect;
use archlink_messages::{AcceptedValue, ConsensusMessage, NodeId, Register, VoterSet};
use attempt::{ActiveProposal, ProposalPhase};
use queue::PendingProposal;
use quorum_read::QuorumRead;
use std::collections::{BTreeMap, VecDeque};

/// The proposer and learner of one control node, for all registers.
#[derive(Clone, Debug)]
pub struct Proposer {
    id: NodeId,
    voter_set: VoterSet,
    rng: oorandom::Rand64,
    /// The highest round seen in any proposal number; the next own round is above it.
    round: u64,
    /// At most one proposal in progress for each register.
    active: BTreeMap<Register, ActiveProposal>,
    pending: BTreeMap<Register, VecDeque<PendingProposal>>,
    /// The newest value of each register that is known to be chosen.
    committed: BTreeMap<Register, AcceptedValue>,
    quorum_read: QuorumRead,
}

impl Proposer {
    /// Creates a proposer that knows no voter set yet. `seed` must differ between incarnations of a node.
    pub fn new(id: NodeId, seed: u64) -> Proposer {
        let mut rng = oorandom::Rand64::new(u128::from(seed));
        Proposer {
            id,
            voter_set: VoterSet::default(),
            quorum_read: QuorumRead::new(rng.rand_u64()),
            rng,
            round: 0,
            active: BTreeMap::new(),
            pending: BTreeMap::new(),
            committed: BTreeMap::new(),
        }
    }

    /// Adopts the voter set of a new epoch. Replies from the previous epoch don't count, and proposals in
    /// progress start over.
    pub fn set_voter_set(&mut self, now: f64, voter_set: &VoterSet) -> Vec<Effect> {
        self.voter_set = voter_set.clone();
        self.round = self.round.max(voter_set.first_round());
        self.quorum_read.reset_epoch();
        let in_progress: Vec<Register> = self.active.keys().copied().collect();
        in_progress.into_iter().flat_map(|register| self.prepare(now, register)).collect()
    }

    /// Returns the committed value of a register: the newest one that is known here to be chosen.
    pub fn committed(&self, register: Register) -> Option<&AcceptedValue> {
        self.committed.get(&register)
    }

    /// Returns the time as of which [`Proposer::committed`] is confirmed to be the newest value. This is the
    /// time at which the read request that a majority replied to was sent.
    pub fn confirmed(&self, register: Register) -> Option<f64> {
        self.quorum_read.confirmed(register)
    }

    /// Learns a value that is known to be chosen, by this node or from another one.
    pub fn learn(&mut self, register: Register, value: &AcceptedValue) -> Vec<Effect> {
        self.round = self.round.max(value.proposal.round);
        let known = self.committed.get(&register);
        if known.is_some_and(|known| known.proposal >= value.proposal) {
            return Vec::new();
        }
        // In a forced new generation the revision may go back, and the same revision may recur with other
        // content.
        let is_newer = known
            .is_none_or(|known| known.ordering_key() != value.ordering_key() || known.value != value.value);
        if known.is_some_and(|known| known.generation() != value.generation()) {
            self.quorum_read.invalidate(register);
        }
        self.committed.insert(register, value.clone());
        self.quorum_read.confirm(&self.voter_set, register, value.proposal);
        if is_newer { vec![Effect::Learned(register)] } else { Vec::new() }
    }

    /// Handles a voter's reply in the current epoch. Other messages are ignored.
    pub fn step(&mut self, now: f64, from: NodeId, message: &ConsensusMessage) -> Vec<Effect> {
        if !self.voter_set.contains(from) {
            return Vec::new();
        }
        self.quorum_read.expire_replies(now);
        match message {
            ConsensusMessage::Promise(register, proposal, accepted) => {
                self.receive_promise(now, from, *register, *proposal, accepted)
            }
            ConsensusMessage::Accepted(register, proposal) => {
                self.receive_accepted(now, from, *register, *proposal)
            }
            ConsensusMessage::Reject(register, proposal, promised) => {
                self.receive_reject(now, *register, *proposal, *promised);
                Vec::new()
            }
            ConsensusMessage::ReadReply(serial, proposals) => {
                self.receive_read_reply(now, from, *serial, proposals)
            }
            ConsensusMessage::FetchedValue(register, value) => {
                self.receive_fetched_value(now, *register, value)
            }
            _ => Vec::new(),
        }
    }

    /// Retries, ends and starts the proposals that are due, and sends the read request that is due. Call it
    /// at short intervals.
    pub fn tick(&mut self, now: f64) -> Vec<Effect> {
        let mut effects = Vec::new();
        // A register with both a proposal in progress and pending ones is listed twice.
        let registers: Vec<Register> = self.active.keys().chain(self.pending.keys()).copied().collect();
        for register in registers {
            effects.extend(self.tick_register(now, register));
        }
        effects.extend(self.send_read_request(now));
        effects
    }

    fn broadcast(&self, message: ConsensusMessage) -> Vec<Effect> {
        let message = self.voter_set.message(message);
        self.voter_set.all_voters().into_iter().map(|node| Effect::Send(node, message.clone())).collect()
    }
}
