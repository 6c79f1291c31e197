//! The bytes of data folders of versions without numbers and heads: a snapshot and log entries in postcard alone. They are
//! read once, at the first start of this version.
//!
//! Invariant: these types keep the layout of then, whatever becomes of the present ones.

use crate::StorageError;
use archlink_messages::{LeaseGrant, NodeId, ProposalNumber, Register, SingletonRole, VoterSet};
use bytes::Bytes;
use error_stack::{Report, ResultExt};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// An accepted value, without recent versions.
#[derive(Serialize, Deserialize)]
pub struct AcceptedValue {
    /// The proposal under which it was accepted.
    pub proposal: ProposalNumber,
    /// The revision.
    pub revision: u64,
    /// The content.
    pub value: Bytes,
}

/// The state of one acceptor.
#[derive(Serialize, Deserialize)]
pub struct AcceptorState {
    /// The highest proposal that was promised.
    pub promised: ProposalNumber,
    /// The value accepted last.
    pub accepted: Option<AcceptedValue>,
}

/// The snapshot.
#[derive(Default, Serialize, Deserialize)]
pub struct DurableState {
    /// The voters.
    pub voters: Vec<NodeId>,
    /// The acceptor state of each register.
    pub acceptors: BTreeMap<Register, AcceptorState>,
    /// The latest grant of each role.
    pub grants: BTreeMap<SingletonRole, LeaseGrant>,
}

/// A log entry.
#[derive(Default, Serialize, Deserialize)]
pub struct StateChange {
    /// The voters, if they were set.
    pub voters: Option<Vec<NodeId>>,
    /// The acceptor states that changed.
    pub acceptors: Vec<(Register, AcceptorState)>,
    /// The new grants.
    pub grants: Vec<LeaseGrant>,
}

/// Decodes a snapshot.
pub fn decode_snapshot(bytes: &[u8]) -> Result<crate::DurableState, Report<StorageError>> {
    postcard::from_bytes::<DurableState>(bytes).map(Into::into).change_context(StorageError::Damaged)
}

/// Decodes a log entry.
pub fn decode_entry(bytes: &[u8]) -> Result<crate::StateChange, Report<StorageError>> {
    postcard::from_bytes::<StateChange>(bytes).map(Into::into).change_context(StorageError::Damaged)
}

impl From<DurableState> for crate::DurableState {
    fn from(legacy: DurableState) -> Self {
        crate::DurableState {
            voter_set: voter_set(&legacy.voters).unwrap_or_default(),
            acceptors: legacy.acceptors.into_iter().filter_map(acceptor).collect(),
            grants: legacy.grants,
        }
    }
}

impl From<StateChange> for crate::StateChange {
    fn from(legacy: StateChange) -> Self {
        crate::StateChange {
            voter_set: legacy.voters.and_then(|voters| voter_set(&voters)),
            acceptors: legacy.acceptors.into_iter().filter_map(acceptor).collect(),
            grants: legacy.grants,
        }
    }
}

/// The voters were agreed on once, by the seed nodes, and never changed: they are the voter set of the first epoch.
fn voter_set(voters: &[NodeId]) -> Option<VoterSet> {
    Some(VoterSet::initial(voters)).filter(|voter_set| !voter_set.voters.is_empty())
}

/// In the place of the present register of voter sets was a vote on the first set, which is of no use any more.
fn acceptor(
    (register, legacy): (Register, AcceptorState),
) -> Option<(Register, archlink_messages::AcceptorState)> {
    let acceptor = archlink_messages::AcceptorState {
        promised: legacy.promised,
        accepted: legacy.accepted.map(accepted_value),
    };
    (register != Register::VoterSet).then_some((register, acceptor))
}

fn accepted_value(legacy: AcceptedValue) -> archlink_messages::AcceptedValue {
    archlink_messages::AcceptedValue {
        proposal: legacy.proposal,
        revision: legacy.revision,
        value: legacy.value,
        recent_versions: Vec::new(),
    }
}
