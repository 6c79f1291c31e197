//! Messages and values of the consensus protocol: single-decree Paxos per register, with a new proposal for each next value
//! (L. Lamport, "Paxos Made Simple", 2001, section 2). `docs/control.md`, sections 2 to 4, has the rules and their reasons.

use crate::{LeaseGrant, NodeId, generation};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// The number of one proposal for a register (in Lamport's paper: proposal number, or ballot). Totally ordered by the fields
/// in their order. Invariant: no two proposals have the same number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProposalNumber {
    /// Grows with each attempt; its upper bits are the generation of the voter set.
    pub round: u64,
    /// The proposer.
    pub node: NodeId,
    /// Random. Distinguishes proposals of one node that lost its disk and therefore may use a round twice.
    pub nonce: u32,
}

/// A value that the control plane agrees on and persists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Register {
    /// The configuration as the operator sent it, compressed without a base.
    Configuration,
    /// The zones that are evacuated.
    Evacuations,
    /// The [`VoterSet`](crate::VoterSet) that decides on all registers, this one included.
    VoterSet,
}

/// All registers: each is agreed on separately, and a quorum read covers all of them.
pub const REGISTERS: [Register; 3] = [Register::Configuration, Register::Evacuations, Register::VoterSet];

/// A configuration version that was acknowledged to an operator, with the digest of its text: a repeated request with the
/// same text is acknowledged again, one with another text is rejected (`docs/control.md`, section 2).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionDigest {
    /// The operator's version number.
    pub version: u64,
    /// The first 16 bytes of the SHA-256 of the text as it was sent.
    pub digest: [u8; 16],
}

/// A value of a register with the proposal under which it was accepted. Invariant: two chosen values of one register and
/// one generation with the same revision have the same content.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedValue {
    /// The proposal under which it was accepted.
    pub proposal: ProposalNumber,
    /// Grows by each chosen value within a generation.
    pub revision: u64,
    /// The content, in the encoding of its register.
    pub value: Bytes,
    /// Configuration only: the most recent versions, oldest first; the last one is in force.
    pub recent_versions: Vec<VersionDigest>,
}

impl AcceptedValue {
    /// The generation of the voter set in which it was accepted. An operator who forces a new generation moves on beyond
    /// all rounds of the earlier ones.
    pub fn generation(&self) -> u64 {
        generation::of_round(self.proposal.round)
    }

    /// Grows from each chosen value to the next, also across a forced new generation, where the revision may go back.
    /// Version vectors and state updates carry this key in place of the revision.
    pub fn ordering_key(&self) -> u64 {
        generation::first_round(self.generation()) | self.revision
    }
}

/// All that an acceptor persists for one register.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptorState {
    /// The highest proposal that was promised: no lower one is accepted any more.
    pub promised: ProposalNumber,
    /// The value accepted last, if any.
    pub accepted: Option<AcceptedValue>,
}

/// Requests to the voters and their replies.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ConsensusMessage {
    /// Phase 1a: asks for a promise for this proposal.
    Prepare(Register, ProposalNumber),
    /// Phase 1b: the promise, with the value accepted so far.
    Promise(Register, ProposalNumber, Option<AcceptedValue>),
    /// The proposal (first number) is lower than the one promised (second number).
    Reject(Register, ProposalNumber, ProposalNumber),
    /// Phase 2a: asks to accept this value under its proposal.
    Accept(Register, AcceptedValue),
    /// Phase 2b: the value of this proposal is accepted and persisted.
    Accepted(Register, ProposalNumber),
    /// Quorum read: asks for the proposals whose values the acceptor has persisted. The number identifies the request.
    ReadRequest(u64),
    /// The reply to the [`ReadRequest`](Self::ReadRequest) of this number.
    ReadReply(u64, Vec<(Register, ProposalNumber)>),
    /// Asks for the accepted value of a register.
    FetchValue(Register),
    /// The reply to [`FetchValue`](Self::FetchValue).
    FetchedValue(Register, AcceptedValue),
    /// A voter that lost its disk asks for the acceptor states of the other voters. The number identifies the request.
    StateTransferRequest(u64),
    /// The reply to the [`StateTransferRequest`](Self::StateTransferRequest) of this number: acceptor states and grants.
    StateTransferReply(u64, Vec<(Register, AcceptorState)>, Vec<LeaseGrant>),
    /// Asks for a lease in a new term. The number distinguishes one request from the next.
    LeaseRequest(LeaseGrant, u64),
    /// The lease holder asks to extend its lease. The number is the incarnation in which the holder won the term.
    LeaseRenewal(LeaseGrant, u64),
    /// Sent by a voter to itself only: the grant is persisted.
    GrantPersisted(LeaseGrant),
    /// The lease is granted, in reply to the request or renewal of this number.
    LeaseGranted(LeaseGrant, u64),
    /// The lease is denied; carries the grant that is in force.
    LeaseDenied(LeaseGrant),
    /// The lease holder gives up its lease in favour of the named successor.
    LeaseReleased(LeaseGrant, NodeId),
}
