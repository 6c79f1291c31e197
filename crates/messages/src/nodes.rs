//! Nodes of the control plane and the data plane, and their sessions.

use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// A node's id: its IPv4 address as a number. It stays the same for the life of the machine, also after its disk is
/// replaced.
pub type NodeId = u32;

/// A control node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlNode {
    /// Its id.
    pub node: NodeId,
    /// The zone in which it runs.
    pub zone: String,
    /// The region of that zone.
    pub region: String,
    /// The address at which it serves the operators' API.
    pub operator_address: SocketAddrV4,
}

/// A data node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataNode {
    /// Its id.
    pub node: NodeId,
    /// The zone in which it runs.
    pub zone: String,
    /// The region of that zone.
    pub region: String,
    /// The address at which it serves clients.
    pub client_address: SocketAddrV4,
    /// Whether clients may be sent to it.
    pub ready: bool,
}

/// The data nodes that have a session with one control node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionTable {
    /// The control node.
    pub source: NodeId,
    /// The incarnation of that control node; a later one is greater.
    pub incarnation: u64,
    /// Grows with each change of the table within the incarnation.
    pub version: u64,
    /// The data nodes in session.
    pub data_nodes: Vec<DataNode>,
}

/// Returns a fingerprint of a set of nodes, to compare sets without sending them. `nodes` must be in ascending order,
/// since the fingerprint depends on the order. Uses the FNV-1 multiplier (G. Fowler, L. C. Noll, K.-P. Vo), seeded with
/// the number of nodes.
pub fn node_set_fingerprint(nodes: impl ExactSizeIterator<Item = NodeId>) -> u64 {
    const FNV_PRIME: u64 = 0x0100_0000_01b3;
    let count = nodes.len() as u64;
    nodes.fold(count, |hash, node| hash.wrapping_mul(FNV_PRIME).wrapping_add(u64::from(node)))
}
