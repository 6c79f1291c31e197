//! Effects: the steps that the state machines ask their driver to perform, and their order.

use crate::Outcome;
use archlink_messages::{AcceptorState, LeaseGrant, Message, NodeId, Register, VoterSet};

/// One step for the driver. Its role is that of `Ready` in raft-rs.
///
/// The order of effects:
///
/// 1. Records of [`Effect::Store`] reach the disk in the order in which the effects were returned.
/// 2. The messages of a `Store` are sent only after its record, and every record before it, is synced to
///    disk. An empty record has no bytes of its own: its messages wait for the records before it.
/// 3. [`Effect::Send`] does not wait for the disk.
///
/// Invariant: an acceptor's reply is never sent before the state that it reports is durable ("Paxos Made
/// Simple", section 2.5: an acceptor records its response in stable storage before sending it).
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send the message to that node at once.
    Send(NodeId, Message),
    /// Append the record, sync it to disk, then send the messages.
    Store(DurableRecord, Vec<(NodeId, Message)>),
    /// A newer value of this register is known to be chosen.
    Learned(Register),
    /// The proposal or membership change with this token has ended.
    ProposalResolved(u64, Outcome),
}

/// The part of a node's durable state that changed. Whatever it doesn't name stays as it is on disk. It is never
/// serialized itself: the driver converts it to `archlink_storage::StateChange`, which is what is written to
/// disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DurableRecord {
    /// Registers whose promise or accepted value changed, with their state after the change.
    pub acceptors: Vec<(Register, AcceptorState)>,
    /// Leases granted in a new term. Renewals are not recorded.
    pub grants: Vec<LeaseGrant>,
    /// The voter set, if it changed.
    pub voter_set: Option<VoterSet>,
}
