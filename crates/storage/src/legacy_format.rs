//! The legacy format of data folders: a snapshot and log entries in plain postcard, without headers and sequence numbers. A
//! legacy folder is read once, by the first start of a version that writes the present format.
//!
//! Invariant: the layout of these types never changes, even when their counterparts in the present format do.

use crate::StorageError;
use archlink_messages::{LeaseGrant, NodeId, ProposalNumber, Register, SingletonRole, VoterSet};
use bytes::Bytes;
use error_stack::{Report, ResultExt};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// An accepted value; the legacy format has no recent versions.
#[derive(Serialize, Deserialize)]
pub struct AcceptedValue {
    /// The proposal under which the value was accepted.
    pub proposal: ProposalNumber,
    /// The revision of the value.
    pub revision: u64,
    /// The value itself.
    pub value: Bytes,
}

/// The state of one acceptor.
#[derive(Serialize, Deserialize)]
pub struct AcceptorState {
    /// The highest proposal promised.
    pub promised: ProposalNumber,
    /// The value accepted most recently.
    pub accepted: Option<AcceptedValue>,
}

/// The contents of a snapshot.
#[derive(Default, Serialize, Deserialize)]
pub struct DurableState {
    /// The voters of the cluster.
    pub voters: Vec<NodeId>,
    /// The acceptor state of each register.
    pub acceptors: BTreeMap<Register, AcceptorState>,
    /// The latest lease grant of each role.
    pub grants: BTreeMap<SingletonRole, LeaseGrant>,
}

/// The contents of a log entry.
#[derive(Default, Serialize, Deserialize)]
pub struct StateChange {
    /// The voters, if the change sets them.
    pub voters: Option<Vec<NodeId>>,
    /// The acceptor states after the change, of the registers that it changes.
    pub acceptors: Vec<(Register, AcceptorState)>,
    /// The leases granted.
    pub grants: Vec<LeaseGrant>,
}

/// Decodes a legacy snapshot and converts it to the present types.
pub fn decode_snapshot(bytes: &[u8]) -> Result<crate::DurableState, Report<StorageError>> {
    postcard::from_bytes::<DurableState>(bytes).map(Into::into).change_context(StorageError::Corrupted)
}

/// Decodes a legacy log entry and converts it to the present types.
pub fn decode_entry(bytes: &[u8]) -> Result<crate::StateChange, Report<StorageError>> {
    postcard::from_bytes::<StateChange>(bytes).map(Into::into).change_context(StorageError::Corrupted)
}

impl From<DurableState> for crate::DurableState {
    fn from(legacy: DurableState) -> Self {
        crate::DurableState {
            voter_set: initial_voter_set(&legacy.voters).unwrap_or_default(),
            acceptors: legacy.acceptors.into_iter().filter_map(acceptor_state).collect(),
            grants: legacy.grants,
        }
    }
}

impl From<StateChange> for crate::StateChange {
    fn from(legacy: StateChange) -> Self {
        crate::StateChange {
            voter_set: legacy.voters.and_then(|voters| initial_voter_set(&voters)),
            acceptors: legacy.acceptors.into_iter().filter_map(acceptor_state).collect(),
            grants: legacy.grants,
        }
    }
}

/// Converts the voters to a voter set of the first epoch: in the legacy format the seed nodes agreed on the voters once, and
/// they never changed.
fn initial_voter_set(voters: &[NodeId]) -> Option<VoterSet> {
    Some(VoterSet::initial(voters)).filter(|voter_set| !voter_set.voters.is_empty())
}

/// Converts an acceptor state. [`Register::VoterSet`] is left out: in the legacy format its position held the vote on
/// the first voter set, which is no longer needed.
fn acceptor_state(
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
