//! Messages and values of the consensus protocol: single-decree Paxos per register, with a new proposal for each next
//! value (L. Lamport, "Paxos Made Simple", 2001, section 2). `docs/control.md`, sections 2 to 4, has the rules and
//! their reasons.

use crate::{LeaseGrant, NodeId, generation};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// The number of one proposal for a register (in Lamport's paper: proposal number, or ballot). Totally ordered by its
/// fields, in the order of declaration. Invariant: no two proposals have the same number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProposalNumber {
    /// Grows with each attempt; its upper bits are the generation of the voter set.
    pub round: u64,
    /// The proposer.
    pub node: NodeId,
    /// Random. Distinguishes proposals of a node that lost its disk and may therefore use a round twice.
    pub nonce: u32,
}

/// A value that the control plane agrees on and persists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Register {
    /// The configuration as the operator sent it, compressed without a base.
    Configuration,
    /// The evacuated zones.
    Evacuations,
    /// The [`VoterSet`](crate::VoterSet) that decides on all registers, this one included.
    VoterSet,
}

/// All registers: each is agreed on separately, and a quorum read covers all of them.
pub const REGISTERS: [Register; 3] = [Register::Configuration, Register::Evacuations, Register::VoterSet];

/// A configuration version that was acknowledged to an operator, with the digest of its text. A repeated request with
/// the same text is acknowledged again; one with another text is rejected (`docs/control.md`, section 2).
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
    /// Grows with each change of the content within a generation.
    pub revision: u64,
    /// The content, in the encoding of its register.
    pub value: Bytes,
    /// Configuration only: the most recent versions, oldest first; the last one is in force.
    pub recent_versions: Vec<VersionDigest>,
}

impl AcceptedValue {
    /// Returns the generation of the voter set in which the value was accepted. An operator who forces a new generation
    /// skips all rounds of the earlier ones.
    pub fn generation(&self) -> u64 {
        generation::of_round(self.proposal.round)
    }

    /// Returns a key that orders the contents of a register from each chosen value to the next, also across a forced
    /// new generation, in which the revision may go back. Version vectors and state updates carry this key in place of
    /// the revision.
    pub fn ordering_key(&self) -> u64 {
        generation::first_round(self.generation()) | self.revision
    }
}

/// Everything that an acceptor persists for one register.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptorState {
    /// The highest promised proposal: no lower one is accepted any more.
    pub promised: ProposalNumber,
    /// The last accepted value, if any.
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
    /// Phase 2b: the value of this proposal has been accepted and persisted.
    Accepted(Register, ProposalNumber),
    /// Quorum read: asks for the proposals whose values the acceptor has persisted. The number identifies the request.
    ReadRequest(u64),
    /// The reply to the [`ReadRequest`](Self::ReadRequest) of this number.
    ReadReply(u64, Vec<(Register, ProposalNumber)>),
    /// Asks for the accepted value of a register.
    FetchValue(Register),
    /// The reply to [`FetchValue`](Self::FetchValue).
    FetchedValue(Register, AcceptedValue),
    /// Asks for the acceptor states of other voters: sent by a voter that lost its disk, or a node that joins the voter
    /// set. The number identifies the request.
    StateTransferRequest(u64),
    /// The reply to the [`StateTransferRequest`](Self::StateTransferRequest) of this number: acceptor states and grants.
    StateTransferReply(u64, Vec<(Register, AcceptorState)>, Vec<LeaseGrant>),
    /// Asks for a lease in a new term. The number identifies the request.
    LeaseRequest(LeaseGrant, u64),
    /// The lease holder asks to extend its lease. The number identifies the request.
    LeaseRenewal(LeaseGrant, u64),
    /// Sent by a voter to itself only: the grant is persisted.
    GrantPersisted(LeaseGrant),
    /// The lease is granted, in reply to the request or renewal of this number.
    LeaseGranted(LeaseGrant, u64),
    /// The lease is denied; carries the grant that is in force.
    LeaseDenied(LeaseGrant),
    /// The lease holder gives up its lease in favour of the named successor; 0 names none and gives back a term that
    /// was not won.
    LeaseReleased(LeaseGrant, NodeId),
}
