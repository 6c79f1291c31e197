//! Operations that operators submit through any node, and who holds which lease.

use super::Fleet;
use crate::invariants::Operation;
use archlink_consensus::proposer::Change;
use archlink_consensus::{MembershipChange, Outcome};
use archlink_control_node::node::ControlNodeState;
use archlink_messages::{LeaseGrant, NodeId, SingletonRole};
use bytes::Bytes;
use std::collections::BTreeSet;

/// The digest of the configuration that is submitted under that token.
pub fn digest(token: u64) -> [u8; 16] {
    u128::from(token).to_be_bytes()
}

impl Fleet {
    /// Submits an operation through a node; its outcome is entered in `done` under `token`, at once as unknown where the node
    /// is not up.
    pub fn submit(&mut self, node: NodeId, token: u64, operation: Operation) {
        self.trace(|_| format!("operation {token} at {node}: {operation:?}"));
        self.checks.submitted(self.now, node, token, operation.clone());
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

    /// Submits a configuration with a text that no other operation has.
    pub fn replace(&mut self, node: NodeId, token: u64, version: u64) {
        let text = Bytes::from(format!("version {version} by {node} as {token}"));
        self.submit(node, token, Operation::Configuration { version, digest: digest(token), text });
    }

    /// Begins the evacuation of a zone, or ends it.
    pub fn evacuate(&mut self, node: NodeId, token: u64, zone: &str, on: bool) {
        self.submit(node, token, Operation::Evacuation { zone: zone.into(), evacuated: on });
    }

    /// Submits a change of the voter set.
    pub fn reseat(&mut self, node: NodeId, token: u64, change: MembershipChange) {
        self.submit(node, token, Operation::Membership(change));
    }

    /// A reader asks a node for state that a quorum confirms from now on.
    pub fn request_confirmation(&mut self, node: NodeId) {
        self.step(node, |control, now| control.proposer.request_confirmation(now));
    }

    /// The caller of an operation gives up.
    pub fn withdraw(&mut self, node: NodeId, token: u64) {
        if let Some(control) = self.live.get_mut(&node).filter(|_| self.checks.is_open(token)) {
            control.proposer.withdraw(token);
            self.resolve(node, token, Outcome::Unknown);
        }
    }

    /// The node that holds a role's lease now.
    pub fn holder(&self, role: SingletonRole) -> Option<NodeId> {
        self.live.keys().copied().find(|node| self.holds_lease(*node, role))
    }

    /// A role's holder where all nodes that are up know the same one.
    pub fn agreed(&self, role: SingletonRole) -> Option<NodeId> {
        let known = |(node, control): (&NodeId, &ControlNodeState)| {
            control.leases.holders(self.clock(*node)).into_iter().find(|grant| grant.role == role)
        };
        let mut grants: Vec<Option<LeaseGrant>> = self.live.iter().map(known).collect();
        grants.dedup();
        if grants.len() == 1 { grants[0].map(|grant| grant.holder) } else { None }
    }

    /// The distinct voter sets that nodes have adopted.
    pub fn sets(&self) -> BTreeSet<Vec<NodeId>> {
        self.live.values().map(|control| control.voter_set().all_voters()).collect()
    }
}
