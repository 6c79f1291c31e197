//! The state that is persisted, and changes of it.

use archlink_messages::{AcceptorState, LeaseGrant, Register, SingletonRole, VoterSet};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// All that is persisted. An unknown voter set means that nothing was ever persisted here. The order of the fields is the
/// format of the snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DurableState {
    /// The voter set. A disk that has one is complete: it also has all acceptor states of this node.
    pub voter_set: VoterSet,
    /// The acceptor state of each register.
    pub acceptors: BTreeMap<Register, AcceptorState>,
    /// The latest grant of each role.
    pub grants: BTreeMap<SingletonRole, LeaseGrant>,
}

/// New values for parts of the state; what is not named stays as it is. The order of the fields is the format of log entries.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct StateChange {
    /// The new voter set, if it changed.
    pub voter_set: Option<VoterSet>,
    /// The acceptor states that changed.
    pub acceptors: Vec<(Register, AcceptorState)>,
    /// The new grants.
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
    /// Whether the change names nothing.
    pub fn is_empty(&self) -> bool {
        self.voter_set.is_none() && self.acceptors.is_empty() && self.grants.is_empty()
    }

    /// Combines this change with a later one. The result has the effect of both in turn and names each part once.
    pub fn merge(&mut self, later: StateChange) {
        if later.voter_set.is_some() {
            self.voter_set = later.voter_set;
        }
        for (register, acceptor) in later.acceptors {
            self.acceptors.retain(|(known, _)| *known != register);
            self.acceptors.push((register, acceptor));
        }
        for grant in later.grants {
            self.grants.retain(|known| known.role != grant.role);
            self.grants.push(grant);
        }
    }
}
