//! State delivery: what a node already has ([`VersionVector`]) and what it lacks ([`StateUpdate`]).

use crate::{AcceptedValue, ControlNode, HostList, NodeId, Register, SessionTable};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// The version of each part of the state that a node has.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionVector {
    /// [`AcceptedValue::ordering_key`] of the configuration; 0 for none.
    pub configuration: u64,
    /// [`AcceptedValue::ordering_key`] of the evacuations; 0 for none.
    pub evacuations: u64,
    /// [`HostList::revision`]; (0, 0) for none.
    pub hosts: (u64, u64),
    /// [`node_set_fingerprint`](crate::node_set_fingerprint) of the control nodes.
    pub control_nodes: u64,
    /// Fingerprint of the data nodes that are possibly active, including recently lost ones; 0 while they are unknown.
    pub data_nodes: u64,
    /// Source, incarnation and version of each [`SessionTable`].
    pub sessions: Vec<(NodeId, u64, u64)>,
}

/// One part of the state that the receiver lacks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum StateUpdate {
    /// The committed value of a register: the newest chosen value that the sender knows.
    Chosen(Register, AcceptedValue),
    /// The configuration as a [`patch`](crate::patch).
    ConfigurationPatch {
        /// [`AcceptedValue::ordering_key`] of the configuration.
        ordering_key: u64,
        /// Ordering key of the configuration that it is compressed against, which the receiver has; 0 for none.
        base: u64,
        /// The patch.
        patch: Bytes,
    },
    /// The list of hosts.
    HostList(HostList),
    /// The encoded list of hosts as a [`patch`](crate::patch).
    HostListPatch {
        /// Revision of the list.
        revision: (u64, u64),
        /// Revision of the list that it is compressed against, which the receiver has.
        base: (u64, u64),
        /// The patch.
        patch: Bytes,
    },
    /// The control nodes.
    ControlNodes(Vec<ControlNode>),
    /// The data nodes that are possibly active, including recently lost ones, in ascending order.
    DataNodes(Vec<NodeId>),
    /// The sessions of one control node.
    Sessions(SessionTable),
}
