//! The control nodes that a data node may connect to, in order of preference.

use super::LocalNode;
use crate::fleet_view::FleetView;
use archlink_messages::{ControlNode, NodeId};
use std::cmp::Ordering;
use std::collections::HashMap;

/// Seconds after a failure during which a control node is tried after all others.
const FAILURE_BACKOFF: f64 = 5.0;
/// Multiplier of Fibonacci hashing: 2^32 divided by the golden ratio.
const HASH_MULTIPLIER: u32 = 0x9e37_79b9;

/// The distance to a control node, the nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    SameZone,
    SameRegion,
    OtherRegion,
    /// Only the address is known.
    Unknown,
}

impl Distance {
    /// Returns the distance from a data node to a control node.
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

/// A control node that a data node may connect to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    pub node: NodeId,
    pub distance: Distance,
}

/// Returns all known control nodes in the order in which to try them.
///
/// Those with a recent failure come last, the one that failed longest ago first. Otherwise the nearest one would be
/// tried over and over; a partitioned control node lists only itself, so it is the nearest one.
pub fn sorted_candidates(
    now: f64,
    local: &LocalNode,
    view: &FleetView,
    failed_at: &HashMap<NodeId, f64>,
) -> Vec<Candidate> {
    let mut candidates = known_candidates(local, view);
    // Each data node has its own order among equally distant ones, so that not all connect to the same one.
    let hash = |node: NodeId| (node ^ local.node).wrapping_mul(HASH_MULTIPLIER);
    candidates.sort_by_key(|candidate| (candidate.distance, hash(candidate.node)));
    let recent_failure = |candidate: &Candidate| recent_failure(now, candidate.node, failed_at);
    // The sort is stable: candidates without a recent failure keep the order above.
    candidates.sort_by(|a, b| recent_failure(a).partial_cmp(&recent_failure(b)).unwrap_or(Ordering::Equal));
    candidates
}

/// Returns when the control node failed, if that was recently.
pub fn recent_failure(now: f64, node: NodeId, failed_at: &HashMap<NodeId, f64>) -> Option<f64> {
    failed_at.get(&node).copied().filter(|failed_at| now < *failed_at + FAILURE_BACKOFF)
}

/// Returns the listed control nodes, then the seeds and those listed earlier, of which only the address is known.
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
