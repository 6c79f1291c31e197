//! An order of all data nodes for each subject, which every node computes without communication (rendezvous hashing: D.
//! G. Thaler and C. V. Ravishankar, "Using name-based mappings to increase hit rates", 1998). The remainder of a
//! division goes to the nodes at the front; each subject has a different order, so that no node is always last.
//! Invariant: the order depends only on the subject and the set of nodes.

use crate::NodeId;

/// Offset basis and prime of 64-bit FNV-1a.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The rank of a node in the order of a subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeRank {
    /// The number of nodes before this one.
    pub rank: usize,
    /// The number of nodes in the order; 0 while the nodes are unknown or this node is not one of them.
    pub nodes: usize,
}

impl NodeRank {
    /// Returns the rank of `node` for `subject` among `all_nodes`, the possibly active ones. A node that is not among
    /// them gets no portion.
    pub fn of(node: NodeId, subject: &str, all_nodes: &[NodeId]) -> NodeRank {
        let subject_hash = fnv_1a(subject.as_bytes());
        let weight = |node: NodeId| (split_mix_64(subject_hash ^ u64::from(node)), node);
        let own_weight = weight(node);
        let is_member = all_nodes.contains(&node);
        let rank = all_nodes.iter().filter(|&&node| weight(node) < own_weight).count();
        NodeRank { rank, nodes: if is_member { all_nodes.len() } else { 0 } }
    }

    /// Returns this node's portion of `total` units. Invariant: the portions of all nodes of one set add up to `total`.
    pub fn portion(&self, total: usize) -> usize {
        match self.nodes {
            0 => 0,
            nodes => total / nodes + usize::from(self.rank < total % nodes),
        }
    }
}

fn fnv_1a(bytes: &[u8]) -> u64 {
    bytes.iter().fold(FNV_OFFSET_BASIS, |hash, &byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}

/// One step of SplitMix64 (G. L. Steele, D. Lea, C. H. Flood, 2014), which maps neighbouring inputs to unrelated
/// outputs.
fn split_mix_64(input: u64) -> u64 {
    let mixed = input.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
