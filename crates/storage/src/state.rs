//! The durable state of a control node, and changes to it.

use archlink_messages::{AcceptorState, LeaseGrant, Register, SingletonRole, VoterSet};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The durable state of a control node. If the voter set is unknown, nothing was ever persisted on this disk.
///
/// The order of the fields is part of the snapshot format.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DurableState {
    /// The voter set. A disk that has one also has every acceptor state of this node.
    pub voter_set: VoterSet,
    /// The acceptor state of each register that has one.
    pub acceptors: BTreeMap<Register, AcceptorState>,
    /// The latest lease grant of each role.
    pub grants: BTreeMap<SingletonRole, LeaseGrant>,
}

/// A change to a [`DurableState`]: the new values of the parts that change. The other parts stay as they are.
///
/// `archlink_consensus::DurableRecord` has the same parts, but is a request: the consensus core, which does no I/O,
/// returns it to ask its driver for a write, and it is never serialized. A `StateChange` is what the driver gives to the
/// storage. It can be merged with later changes and is serialized in log entries, so the order of its fields is part of
/// their format.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct StateChange {
    /// The new voter set, if it changed.
    pub voter_set: Option<VoterSet>,
    /// The acceptor states after the change, of the registers that it changes.
    pub acceptors: Vec<(Register, AcceptorState)>,
    /// The leases granted.
    pub grants: Vec<LeaseGrant>,
}

impl DurableState {
    pub(crate) fn apply(&mut self, change: StateChange) {
        if let Some(voter_set) = change.voter_set {
            self.voter_set = voter_set;
        }
        self.acceptors.extend(change.acceptors);
        self.grants.extend(change.grants.into_iter().map(|grant| (grant.role, grant)));
    }
}

impl StateChange {
    /// Whether the change leaves every part of the state as it is.
    pub fn is_empty(&self) -> bool {
        self.voter_set.is_none() && self.acceptors.is_empty() && self.grants.is_empty()
    }

    /// Merges a later change into this one. The result has the effect of both in order and contains each part at most once.
    pub fn merge(&mut self, later: StateChange) {
        if later.voter_set.is_some() {
            self.voter_set = later.voter_set;
        }
        for (register, acceptor) in later.acceptors {
            self.acceptors.retain(|(earlier, _)| *earlier != register);
            self.acceptors.push((register, acceptor));
        }
        for grant in later.grants {
            self.grants.retain(|earlier| earlier.role != grant.role);
            self.grants.push(grant);
        }
    }
}
