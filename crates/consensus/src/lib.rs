//! The cores of the control plane: registers, duties, roster. Each is handed time, messages and disk results and gives
//! back what to send, write and tell; none does I/O or reads a clock, so that any number of them can be played against
//! each other. `control.rs` shows the whole life of one control gateway.
#![forbid(unsafe_code)]

pub mod acceptor;
pub mod failure_detector;
pub mod leases;
pub mod membership;
pub mod proposer;
pub mod repair_timing;

use archlink_messages::{AcceptorState, LeaseGrant, Message, NodeId, Register, VersionDigest, VoterSet};

/// What a core wants done.
#[derive(Clone, Debug)]
pub enum Effect {
    Send(NodeId, Message),
    /// Bring this to disk, synced, in the order of the acts; only then send the words.
    Store(DurableRecord, Vec<(NodeId, Message)>),
    /// A register's chosen value is newer than before.
    Learned(Register),
    /// What became of the operator's order with this token.
    ProposalResolved(u64, Outcome),
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It holds: a majority of disks has it, or what makes it alter nothing.
    Chosen,
    /// It may or may not come to be: the same order sent again tells.
    Unknown,
    /// Another text stands under its number, and this is the one; nothing was altered.
    VersionConflict(VersionDigest),
    /// It was not begun, and never will be.
    Rejected(MembershipError),
}

/// Why an order about who votes is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipError {
    /// Who votes isn't known here yet.
    Unknown,
    /// Another change is under way.
    ChangeInProgress,
    /// The one that is to go has no seat.
    NotAVoter,
    /// The one that is to come has a seat already.
    AlreadyAVoter,
    /// The one that is to come isn't heard of.
    Unreachable,
    /// Too many voters are not there, or not whole.
    NotRecovered,
    /// The epoch that the order names is not the one that stands.
    WrongEpoch,
}

/// An operator's order about who votes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// `new` takes the seat of `old`, by agreement.
    Replace { old: NodeId, new: NodeId },
    /// This gateway founds anew with those seats, as a majority of the set of `epoch` is gone for good.
    ForceNewGeneration { epoch: u64, voters: Vec<NodeId> },
}

/// What a voter has changed of what it keeps.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DurableRecord {
    pub acceptors: Vec<(Register, AcceptorState)>,
    /// Duties granted in a new term.
    pub grants: Vec<LeaseGrant>,
    /// Who votes, where that changed.
    pub voter_set: Option<VoterSet>,
}
