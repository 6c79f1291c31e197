//! Which voter set is wanted: as many voters as are needed to tolerate the losses that are to be tolerated,
//! none of them failed, from as many zones as possible.
//!
//! Invariant: no set is asked for of which a majority can't be reached.

use super::Membership;
use crate::failure_detector::MAX_PEERS;
use archlink_messages::{ControlNode, NodeId};
use std::collections::BTreeSet;

/// Seconds for which a node that failed to take all registers is the last choice.
const FAILED_JOIN_MEMORY: f64 = 30.0;

fn zone(control_nodes: &[ControlNode], node: NodeId) -> Option<&str> {
    control_nodes
        .iter()
        .find(|control_node| control_node.node == node)
        .map(|control_node| control_node.zone.as_str())
}

fn zone_count(control_nodes: &[ControlNode], nodes: &[NodeId]) -> usize {
    nodes.iter().map(|&node| zone(control_nodes, node)).collect::<BTreeSet<_>>().len()
}

/// `voters` and as many of `candidates` as make `size` in all, each from a zone with the fewest; the first
/// candidate where zones make no difference.
fn fill(voters: &[NodeId], candidates: &[NodeId], control_nodes: &[ControlNode], size: usize) -> Vec<NodeId> {
    let mut filled = voters.to_vec();
    while filled.len() < size {
        let in_same_zone = |node: NodeId| {
            let node_zone = zone(control_nodes, node);
            filled.iter().filter(|&&voter| zone(control_nodes, voter) == node_zone).count()
        };
        let free = candidates.iter().copied().filter(|node| !filled.contains(node));
        let Some(next) = free.min_by_key(|&node| in_same_zone(node)) else { break };
        filled.push(next);
    }
    filled.sort_unstable();
    filled
}

impl Membership {
    /// Is there a majority of both sets, all of it recovered but for the joining nodes?
    pub(super) fn can_change(&self, now: f64, next: &[NodeId]) -> bool {
        let joint = self.voter_set.enter_joint(next.to_vec());
        let is_joining =
            |node| !self.voter_set.voters.contains(&node) && self.failure_detector.is_reachable(now, node);
        joint.has_quorum(|node| is_joining(node) || self.failure_detector.is_healthy(now, node))
    }

    /// The voters and more of `spares`, where more losses can be tolerated then: an odd number of voters.
    pub(super) fn grown(&self, spares: &[NodeId], control_nodes: &[ControlNode]) -> Option<Vec<NodeId>> {
        let voters = &self.voter_set.voters;
        let available = self.target_size.min(voters.len() + spares.len());
        let odd = available - usize::from(available.is_multiple_of(2));
        (odd > voters.len()).then(|| fill(voters, spares, control_nodes, odd))
    }

    /// The voters that should be, where those are others than now and can be had; `failed` are voters to be
    /// replaced.
    pub(super) fn plan(
        &self,
        now: f64,
        failed: &[NodeId],
        control_nodes: &[ControlNode],
    ) -> Option<Vec<NodeId>> {
        if !self.named.nodes.is_empty() {
            return self.with_named(now, control_nodes);
        }
        let spares = self.preferred_spares(now);
        let voters = &self.voter_set.voters;
        let next = if failed.is_empty() {
            self.grown(&spares, control_nodes).or_else(|| self.spread(now, &spares, control_nodes))?
        } else {
            self.without_failed(failed, &spares, control_nodes)
        };
        // It will be known soon whether a voter that was not heard from lately has failed: one change is
        // better than two.
        let all_decided =
            voters.iter().all(|node| failed.contains(node) || self.failure_detector.is_reachable(now, *node));
        (all_decided && next != *voters && self.can_change(now, &next)).then_some(next)
    }

    /// Spare nodes, those that failed to join lately at the end.
    fn preferred_spares(&self, now: f64) -> Vec<NodeId> {
        let mut spares = self.failure_detector.spare_nodes(now, &self.voter_set);
        spares
            .sort_by_key(|node| self.failed_joins.get(node).is_some_and(|at| now < at + FAILED_JOIN_MEMORY));
        spares
    }

    /// Spares in place of failed voters. A failed voter that no spare can replace stays: a smaller set
    /// tolerates no more.
    fn without_failed(
        &self,
        failed: &[NodeId],
        spares: &[NodeId],
        control_nodes: &[ControlNode],
    ) -> Vec<NodeId> {
        let voters = &self.voter_set.voters;
        let remaining: Vec<NodeId> = voters.iter().copied().filter(|node| !failed.contains(node)).collect();
        let replaced = fill(&remaining, spares, control_nodes, voters.len());
        fill(&replaced, failed, control_nodes, voters.len())
    }

    /// All voters, and the nodes that an operator named and that are reachable.
    fn with_named(&self, now: f64, control_nodes: &[ControlNode]) -> Option<Vec<NodeId>> {
        let voters = &self.voter_set.voters;
        let named = &self.named.nodes;
        let reachable: Vec<NodeId> =
            named.iter().copied().filter(|&node| self.failure_detector.is_reachable(now, node)).collect();
        let is_ready = reachable.len() == named.len() || self.named.wait_is_over(now);
        let next = fill(voters, &reachable, control_nodes, voters.len() + reachable.len());
        (is_ready && next.len() > voters.len() && self.can_change(now, &next)).then_some(next)
    }

    /// One voter of a zone with several gives way to a stable spare of a zone with none, so that the loss of
    /// a zone costs fewer voters.
    fn spread(&self, now: f64, spares: &[NodeId], control_nodes: &[ControlNode]) -> Option<Vec<NodeId>> {
        let voters = &self.voter_set.voters;
        let stable: Vec<NodeId> =
            spares.iter().copied().filter(|&node| self.failure_detector.is_stable(now, node)).collect();
        let swapped = voters.iter().rev().map(|old| {
            let remaining: Vec<NodeId> = voters.iter().copied().filter(|node| node != old).collect();
            fill(&remaining, &stable, control_nodes, voters.len())
        });
        let is_better = |next: &Vec<NodeId>| {
            next.len() == voters.len() && zone_count(control_nodes, next) > zone_count(control_nodes, voters)
        };
        swapped.into_iter().find(is_better)
    }

    /// Forgets failed joins that no longer matter, and the first of more than can be of use.
    pub(super) fn expire_failed_joins(&mut self, now: f64) {
        self.failed_joins.retain(|_, at| now < *at + FAILED_JOIN_MEMORY);
        while self.failed_joins.len() > MAX_PEERS {
            self.failed_joins.pop_first();
        }
    }
}
