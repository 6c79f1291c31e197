//! The wanted voter set: enough voters to tolerate the required number of losses, none of them failed, from
//! as many zones as possible.
//!
//! Invariant: no set is proposed of which a majority can't be reached.

use super::Membership;
use crate::failure_detector::MAX_PEERS;
use archlink_messages::{ControlNode, NodeId};
use std::collections::BTreeSet;

/// Seconds for which a node that failed to accept all registers is the last choice.
const FAILED_JOIN_MEMORY: f64 = 30.0;

fn zone_of(control_nodes: &[ControlNode], node: NodeId) -> Option<&str> {
    control_nodes
        .iter()
        .find(|control_node| control_node.node == node)
        .map(|control_node| control_node.zone.as_str())
}

fn zone_count(control_nodes: &[ControlNode], nodes: &[NodeId]) -> usize {
    nodes.iter().map(|&node| zone_of(control_nodes, node)).collect::<BTreeSet<_>>().len()
}

/// Adds `candidates` to `voters` until there are `size` in all, each from a zone with the fewest voters.
/// Among equal zones the earlier candidate is taken.
fn fill_by_zone(
    voters: &[NodeId],
    candidates: &[NodeId],
    control_nodes: &[ControlNode],
    size: usize,
) -> Vec<NodeId> {
    let mut filled = voters.to_vec();
    while filled.len() < size {
        let in_same_zone = |node: NodeId| {
            let node_zone = zone_of(control_nodes, node);
            filled.iter().filter(|&&voter| zone_of(control_nodes, voter) == node_zone).count()
        };
        let free = candidates.iter().copied().filter(|node| !filled.contains(node));
        let Some(next) = free.min_by_key(|&node| in_same_zone(node)) else { break };
        filled.push(next);
    }
    filled.sort_unstable();
    filled
}

impl Membership {
    /// Returns whether a majority of both sets is available, all of it recovered except for the joining
    /// nodes.
    pub(super) fn can_change(&self, now: f64, next: &[NodeId]) -> bool {
        let joint = self.voter_set.enter_joint(next.to_vec());
        let is_joining =
            |node| !self.voter_set.voters.contains(&node) && self.failure_detector.is_reachable(now, node);
        joint.has_quorum(|node| is_joining(node) || self.failure_detector.is_healthy(now, node))
    }

    /// Returns the voters with some of `spares` added, if that tolerates more losses: an odd number of
    /// voters.
    pub(super) fn enlarged(&self, spares: &[NodeId], control_nodes: &[ControlNode]) -> Option<Vec<NodeId>> {
        let voters = &self.voter_set.voters;
        let available = self.target_size.min(voters.len() + spares.len());
        let odd = available - usize::from(available.is_multiple_of(2));
        (odd > voters.len()).then(|| fill_by_zone(voters, spares, control_nodes, odd))
    }

    /// Returns the wanted voters, if they differ from the current ones and are available; `failed` are voters
    /// to be replaced.
    pub(super) fn plan(
        &self,
        now: f64,
        failed: &[NodeId],
        control_nodes: &[ControlNode],
    ) -> Option<Vec<NodeId>> {
        if !self.named_nodes.nodes.is_empty() {
            return self.with_named(now, control_nodes);
        }
        let spares = self.preferred_spares(now);
        let voters = &self.voter_set.voters;
        let next = if failed.is_empty() {
            self.enlarged(&spares, control_nodes)
                .or_else(|| self.spread_over_zones(now, &spares, control_nodes))?
        } else {
            self.without_failed(failed, &spares, control_nodes)
        };
        // Whether a voter that was not heard from lately has failed will be known soon: one change is better
        // than two.
        let all_decided =
            voters.iter().all(|node| failed.contains(node) || self.failure_detector.is_reachable(now, *node));
        (all_decided && next != *voters && self.can_change(now, &next)).then_some(next)
    }

    /// Returns the spare nodes, those that failed to join lately at the end.
    fn preferred_spares(&self, now: f64) -> Vec<NodeId> {
        let mut spares = self.failure_detector.spare_nodes(now, &self.voter_set);
        spares
            .sort_by_key(|node| self.failed_joins.get(node).is_some_and(|at| now < at + FAILED_JOIN_MEMORY));
        spares
    }

    /// Replaces failed voters by spares. A failed voter that no spare can replace stays, since a smaller set
    /// tolerates no more losses.
    fn without_failed(
        &self,
        failed: &[NodeId],
        spares: &[NodeId],
        control_nodes: &[ControlNode],
    ) -> Vec<NodeId> {
        let voters = &self.voter_set.voters;
        let remaining: Vec<NodeId> = voters.iter().copied().filter(|node| !failed.contains(node)).collect();
        let replaced = fill_by_zone(&remaining, spares, control_nodes, voters.len());
        fill_by_zone(&replaced, failed, control_nodes, voters.len())
    }

    /// Returns all voters and the reachable nodes among those that an operator named, once all of these are
    /// reachable or the wait for them is over.
    fn with_named(&self, now: f64, control_nodes: &[ControlNode]) -> Option<Vec<NodeId>> {
        let voters = &self.voter_set.voters;
        let named = &self.named_nodes.nodes;
        let reachable: Vec<NodeId> =
            named.iter().copied().filter(|&node| self.failure_detector.is_reachable(now, node)).collect();
        let is_ready = reachable.len() == named.len() || self.named_nodes.wait_is_over(now);
        let next = fill_by_zone(voters, &reachable, control_nodes, voters.len() + reachable.len());
        (is_ready && next.len() > voters.len() && self.can_change(now, &next)).then_some(next)
    }

    /// Replaces one voter of a zone with several by a stable spare of a zone with none, so that the loss of a
    /// zone costs fewer voters.
    fn spread_over_zones(
        &self,
        now: f64,
        spares: &[NodeId],
        control_nodes: &[ControlNode],
    ) -> Option<Vec<NodeId>> {
        let voters = &self.voter_set.voters;
        let stable: Vec<NodeId> =
            spares.iter().copied().filter(|&node| self.failure_detector.is_stable(now, node)).collect();
        let swapped = voters.iter().rev().map(|old| {
            let remaining: Vec<NodeId> = voters.iter().copied().filter(|node| node != old).collect();
            fill_by_zone(&remaining, &stable, control_nodes, voters.len())
        });
        let is_better = |next: &Vec<NodeId>| {
            next.len() == voters.len() && zone_count(control_nodes, next) > zone_count(control_nodes, voters)
        };
        swapped.into_iter().find(is_better)
    }

    /// Forgets failed joins that no longer matter, and the first ones beyond [`MAX_PEERS`].
    pub(super) fn expire_failed_joins(&mut self, now: f64) {
        self.failed_joins.retain(|_, at| now < *at + FAILED_JOIN_MEMORY);
        while self.failed_joins.len() > MAX_PEERS {
            self.failed_joins.pop_first();
        }
    }
}
