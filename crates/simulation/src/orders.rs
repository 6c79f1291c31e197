//! Operators' orders through any gateway, and who holds which duty. Must never tell a gateway whose order it is.

use crate::checks::Order;
use crate::network::Fleet;
use archlink_consensus::proposer::Change;
use archlink_consensus::{MembershipChange, Outcome};
use archlink_control_node::node::ControlNodeState;
use archlink_messages::{LeaseGrant, NodeId, SingletonRole};
use bytes::Bytes;
use std::collections::BTreeSet;

/// The digest of the text that is ordered under that token.
pub fn digest(token: u64) -> [u8; 16] {
    u128::from(token).to_be_bytes()
}

impl Fleet {
    /// An order through a gateway, to end under `token` in `done`; unclear at once where the gateway is not up.
    pub fn order(&mut self, node: NodeId, token: u64, order: Order) {
        self.tell(|_| format!("order {token} at {node}: {order:?}"));
        self.checks.given(self.now, node, token, order.clone());
        if !self.live.contains_key(&node) {
            return self.ended(node, token, Outcome::Unknown);
        }
        self.step(node, |control, now| match order {
            Order::Chart { version, digest, text } => {
                control.propose(now, Change::Configuration { version, digest, text }, token)
            }
            Order::Zone { zone, on } => control.propose(now, Change::Evacuation { zone, on }, token),
            Order::Reseat(reseat) => control.change_membership(now, reseat, token),
        });
    }

    /// A configuration with a text that no other order has.
    pub fn replace(&mut self, node: NodeId, token: u64, version: u64) {
        let text = Bytes::from(format!("version {version} by {node} as {token}"));
        self.order(node, token, Order::Chart { version, digest: digest(token), text });
    }

    pub fn evacuate(&mut self, node: NodeId, token: u64, zone: &str, on: bool) {
        self.order(node, token, Order::Zone { zone: zone.into(), on });
    }

    pub fn reseat(&mut self, node: NodeId, token: u64, reseat: MembershipChange) {
        self.order(node, token, Order::Reseat(reseat));
    }

    /// A reader asks a gateway for what is confirmed from now on.
    pub fn read(&mut self, node: NodeId) {
        self.step(node, |control, now| control.proposer.request_confirmation(now));
    }

    /// The caller of an order is gone.
    pub fn withdraw(&mut self, node: NodeId, token: u64) {
        if let Some(control) = self.live.get_mut(&node).filter(|_| self.checks.is_open(token)) {
            control.proposer.withdraw(token);
            self.ended(node, token, Outcome::Unknown);
        }
    }

    /// Who holds a duty now.
    pub fn holder(&self, role: SingletonRole) -> Option<NodeId> {
        let holds =
            |(n, c): &(&NodeId, &ControlNodeState)| c.leases.held_lease(self.clock(**n), role).is_some();
        self.live.iter().find(holds).map(|(node, _)| *node)
    }

    /// A duty's holder as all know it alike.
    pub fn agreed(&self, role: SingletonRole) -> Option<NodeId> {
        let known = |(node, control): (&NodeId, &ControlNodeState)| {
            control.leases.holders(self.clock(*node)).into_iter().find(|grant| grant.role == role)
        };
        let mut grants: Vec<Option<LeaseGrant>> = self.live.iter().map(known).collect();
        grants.dedup();
        if grants.len() == 1 { grants[0].map(|grant| grant.holder) } else { None }
    }

    /// The sets of voters that gateways go by.
    pub fn sets(&self) -> BTreeSet<Vec<NodeId>> {
        self.live.values().map(|control| control.voter_set().all_voters()).collect()
    }
}
