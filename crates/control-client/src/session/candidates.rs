//! The control nodes that a data node may call, in the order in which it calls them.

use super::LocalNode;
use crate::fleet_view::FleetView;
use archlink_messages::{ControlNode, NodeId};
use std::cmp::Ordering;
use std::collections::HashMap;

/// How long a control node that failed is called after all others, in seconds.
const FAILURE_BACKOFF: f64 = 5.0;
/// Multiplier of a multiplicative hash (2^32 divided by the golden ratio).
const HASH_MULTIPLIER: u32 = 0x9e37_79b9;

/// How far a control node is, the nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    SameZone,
    SameRegion,
    OtherRegion,
    /// Only its address is known.
    Unknown,
}

impl Distance {
    fn between(local: &LocalNode, remote: &ControlNode) -> Distance {
        if remote.zone == local.zone {
            Distance::SameZone
        } else if remote.region == local.region {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        }
    }
}

/// A control node that may be called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    pub node: NodeId,
    pub distance: Distance,
}

/// All control nodes that are known, the one to call first at the front.
///
/// Those that failed lately come last, the one that failed longest ago first: otherwise the nearest would be called over
/// and over, and a partitioned control node lists no other, so that it is the nearest.
pub fn sorted_candidates(
    now: f64,
    local: &LocalNode,
    view: &FleetView,
    failed_at: &HashMap<NodeId, f64>,
) -> Vec<Candidate> {
    let mut candidates = known_candidates(local, view);
    // Among equals each data node has an order of its own, so that they don't all call the same one.
    let hash = |node: NodeId| (node ^ local.node).wrapping_mul(HASH_MULTIPLIER);
    candidates.sort_by_key(|candidate| (candidate.distance, hash(candidate.node)));
    let recent_failure = |candidate: &Candidate| {
        failed_at.get(&candidate.node).copied().filter(|at| now < *at + FAILURE_BACKOFF)
    };
    // The sort is stable: those without a recent failure stay in the order above.
    candidates.sort_by(|a, b| recent_failure(a).partial_cmp(&recent_failure(b)).unwrap_or(Ordering::Equal));
    candidates
}

/// The listed control nodes; then seeds and those listed earlier, of which only the address is known.
fn known_candidates(local: &LocalNode, view: &FleetView) -> Vec<Candidate> {
    let mut candidates: Vec<Candidate> = view
        .control_nodes()
        .iter()
        .map(|remote| Candidate { node: remote.node, distance: Distance::between(local, remote) })
        .collect();
    for &node in local.seeds.iter().chain(view.known_control_nodes()) {
        if !candidates.iter().any(|candidate| candidate.node == node) {
            candidates.push(Candidate { node, distance: Distance::Unknown });
        }
    }
    candidates
}
