//! Operations that operators submit through any node, and queries for lease holders and voters.

use super::Fleet;
use crate::invariants::Operation;
use archlink_consensus::proposer::Change;
use archlink_consensus::{MembershipChange, Outcome};
use archlink_control_node::node::ControlNodeState;
use archlink_messages::{LeaseGrant, NodeId, SingletonRole};
use bytes::Bytes;
use std::collections::BTreeSet;

/// The digest of the configuration submitted under `token`.
pub fn digest(token: u64) -> [u8; 16] {
    u128::from(token).to_be_bytes()
}

impl Fleet {
    /// Submits an operation through a node and records its outcome in `done` under `token`. If the node is down, the outcome is
    /// unknown at once.
    pub fn submit(&mut self, node: NodeId, token: u64, operation: Operation) {
        self.trace(|_| format!("operation {token} at node {node}: {operation:?}"));
        self.checks.record_submission(self.now, node, token, operation.clone());
        if !self.live.contains_key(&node) {
            return self.resolve(node, token, Outcome::Unknown);
        }
        self.step(node, |control, now| match operation {
            Operation::Configuration { version, digest, text } => {
                control.propose(now, Change::Configuration { version, digest, text }, token)
            }
            Operation::Evacuation { zone, evacuated } => {
                control.propose(now, Change::Evacuation { zone, on: evacuated }, token)
            }
            Operation::Membership(change) => control.change_membership(now, change, token),
        });
    }

    /// Submits a configuration whose text is unique to this operation.
    pub fn replace(&mut self, node: NodeId, token: u64, version: u64) {
        let text = Bytes::from(format!("version {version} by {node} as {token}"));
        self.submit(node, token, Operation::Configuration { version, digest: digest(token), text });
    }

    /// Begins or ends the evacuation of a zone.
    pub fn evacuate(&mut self, node: NodeId, token: u64, zone: &str, evacuated: bool) {
        self.submit(node, token, Operation::Evacuation { zone: zone.into(), evacuated });
    }

    /// Submits a membership change.
    pub fn change_membership(&mut self, node: NodeId, token: u64, change: MembershipChange) {
        self.submit(node, token, Operation::Membership(change));
    }

    /// Requests a node to have its state confirmed by a quorum from now on, as a reader does.
    pub fn request_confirmation(&mut self, node: NodeId) {
        self.step(node, |control, now| control.proposer.request_confirmation(now));
    }

    /// Withdraws an open operation, as its caller does on a timeout.
    pub fn withdraw(&mut self, node: NodeId, token: u64) {
        if let Some(control) = self.live.get_mut(&node).filter(|_| self.checks.is_open(token)) {
            control.proposer.withdraw(token);
            self.resolve(node, token, Outcome::Unknown);
        }
    }

    /// The node that currently holds a role's lease.
    pub fn holder(&self, role: SingletonRole) -> Option<NodeId> {
        self.live.keys().copied().find(|node| self.holds_lease(*node, role))
    }

    /// The lease holder of a role, if all nodes that are up know the same one.
    pub fn agreed(&self, role: SingletonRole) -> Option<NodeId> {
        let known = |(node, control): (&NodeId, &ControlNodeState)| {
            control.leases.holders(self.clock(*node)).into_iter().find(|grant| grant.role == role)
        };
        let mut grants: Vec<Option<LeaseGrant>> = self.live.iter().map(known).collect();
        grants.dedup();
        if grants.len() == 1 { grants[0].map(|grant| grant.holder) } else { None }
    }

    /// The distinct voter sets adopted by the nodes that are up.
    pub fn voter_sets(&self) -> BTreeSet<Vec<NodeId>> {
        self.live.values().map(|control| control.voter_set().all_voters()).collect()
    }
}
