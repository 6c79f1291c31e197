//! Which set of voters should stand: as many seats as the losses to be borne need, none of them lost, from as many zones as
//! can be. Must never ask for a set in which a majority is not there.

use super::{MAX_PEERS, Membership, NAMED_WAIT};
use archlink_messages::{ControlNode, NodeId};
use std::collections::BTreeSet;

/// A newcomer that failed to take all registers is the last choice for so long, in seconds.
const FAILED_LATELY: f64 = 30.0;

fn zone(control_nodes: &[ControlNode], node: NodeId) -> Option<&str> {
    control_nodes
        .iter()
        .find(|control_node| control_node.node == node)
        .map(|control_node| control_node.zone.as_str())
}

fn zones(control_nodes: &[ControlNode], set: &[NodeId]) -> usize {
    set.iter().map(|&node| zone(control_nodes, node)).collect::<BTreeSet<_>>().len()
}

/// `set` and others, the first of them where zones don't tell, from as many zones as can be, up to `most`.
fn filled(set: &[NodeId], others: &[NodeId], control_nodes: &[ControlNode], most: usize) -> Vec<NodeId> {
    let mut set = set.to_vec();
    while set.len() < most {
        let crowd = |node: NodeId| {
            set.iter().filter(|&&seat| zone(control_nodes, seat) == zone(control_nodes, node)).count()
        };
        let free = others.iter().copied().filter(|node| !set.contains(node));
        let Some(next) = free.min_by_key(|&node| crowd(node)) else { break };
        set.push(next);
    }
    set.sort_unstable();
    set
}

impl Membership {
    /// Is there a majority of both sets, whole but for those that come?
    pub(super) fn can_change(&self, now: f64, next: &[NodeId]) -> bool {
        let joint = self.voter_set.enter_joint(next.to_vec());
        let comes =
            |node| !self.voter_set.voters.contains(&node) && self.failure_detector.is_reachable(now, node);
        joint.has_quorum(|node| comes(node) || self.failure_detector.is_healthy(now, node))
    }

    /// The seats and more of `others`, where more losses can be borne then.
    pub(super) fn grown(&self, others: &[NodeId], control_nodes: &[ControlNode]) -> Option<Vec<NodeId>> {
        let seats = &self.voter_set.voters;
        let most = self.needed.min(seats.len() + others.len());
        let odd = most - usize::from(most.is_multiple_of(2));
        (odd > seats.len()).then(|| filled(seats, others, control_nodes, odd))
    }

    /// The set that should be, where that is another one than stands and can be had; `lost` are seats to be given to others.
    pub(super) fn plan(
        &self,
        now: f64,
        lost: &[NodeId],
        control_nodes: &[ControlNode],
    ) -> Option<Vec<NodeId>> {
        if !self.named.is_empty() {
            return self.with_named(now, control_nodes);
        }
        let mut spares = self.failure_detector.spare_nodes(now, &self.voter_set);
        spares.sort_by_key(|node| self.failed.get(node).is_some_and(|at| now < at + FAILED_LATELY));
        let seats = &self.voter_set.voters;
        let set = if lost.is_empty() {
            self.grown(&spares, control_nodes).or_else(|| self.spread(now, &spares, control_nodes))
        } else {
            // A seat that nobody takes stays: fewer would bear no more.
            let left: Vec<NodeId> = seats.iter().copied().filter(|node| !lost.contains(node)).collect();
            Some(filled(
                &filled(&left, &spares, control_nodes, seats.len()),
                lost,
                control_nodes,
                seats.len(),
            ))
        };
        // Whether a seat that was not heard of lately is lost will be known soon: one change is better than two.
        let known =
            seats.iter().all(|node| lost.contains(node) || self.failure_detector.is_reachable(now, *node));
        set.filter(|set| known && set != seats && self.can_change(now, set))
    }

    /// All seats, and those that a person named and that are there.
    fn with_named(&self, now: f64, control_nodes: &[ControlNode]) -> Option<Vec<NodeId>> {
        let seats = &self.voter_set.voters;
        let there: Vec<NodeId> = self
            .named
            .iter()
            .copied()
            .filter(|&node| self.failure_detector.is_reachable(now, node))
            .collect();
        let waited = there.len() == self.named.len() || now > self.named_at + NAMED_WAIT;
        let all = filled(seats, &there, control_nodes, seats.len() + there.len());
        Some(all).filter(|all| waited && all.len() > seats.len() && self.can_change(now, all))
    }

    /// One seat of a zone with several goes to a steady spare of a zone with none: the loss of a zone costs fewer seats.
    fn spread(&self, now: f64, spares: &[NodeId], control_nodes: &[ControlNode]) -> Option<Vec<NodeId>> {
        let seats = &self.voter_set.voters;
        let steady: Vec<NodeId> =
            spares.iter().copied().filter(|&node| self.failure_detector.is_stable(now, node)).collect();
        let swapped = seats.iter().rev().map(|old| {
            let left: Vec<NodeId> = seats.iter().copied().filter(|node| node != old).collect();
            filled(&left, &steady, control_nodes, seats.len())
        });
        let better = |set: &Vec<NodeId>| {
            set.len() == seats.len() && zones(control_nodes, set) > zones(control_nodes, seats)
        };
        swapped.into_iter().find(better)
    }

    /// What `failed` needs not keep.
    pub(super) fn forget_failures(&mut self, now: f64) {
        self.failed.retain(|_, at| now < *at + FAILED_LATELY);
        while self.failed.len() > MAX_PEERS {
            self.failed.pop_first();
        }
    }
}
