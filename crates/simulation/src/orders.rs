//! Operators' orders through any gateway, and who holds which duty. Must never tell a gateway whose order it is.

use crate::checks::Order;
use crate::world::Fleet;
use archlink_consensus::control::Control;
use archlink_consensus::helm::Change;
use archlink_consensus::{Outcome, Reseat};
use archlink_messages::{Duty, Node, Post};
use bytes::Bytes;
use std::collections::BTreeSet;

/// The digest of the text that is ordered under that token.
pub fn digest(token: u64) -> [u8; 16] {
    u128::from(token).to_be_bytes()
}

impl Fleet {
    /// An order through a gateway, to end under `token` in `done`; unclear at once where the gateway is not up.
    pub fn order(&mut self, node: Node, token: u64, order: Order) {
        self.tell(|_| format!("order {token} at {node}: {order:?}"));
        self.checks.given(self.now, node, token, order.clone());
        if !self.live.contains_key(&node) {
            return self.ended(node, token, Outcome::Unclear);
        }
        self.step(node, |control, now| match order {
            Order::Chart { version, digest, text } => {
                control.propose(now, Change::Chart { version, digest, text }, token)
            }
            Order::Zone { zone, on } => control.propose(now, Change::Evacuate { zone, on }, token),
            Order::Reseat(reseat) => control.reseat(now, reseat, token),
        });
    }

    /// A configuration with a text that no other order has.
    pub fn replace(&mut self, node: Node, token: u64, version: u64) {
        let text = Bytes::from(format!("version {version} by {node} as {token}"));
        self.order(node, token, Order::Chart { version, digest: digest(token), text });
    }

    pub fn evacuate(&mut self, node: Node, token: u64, zone: &str, on: bool) {
        self.order(node, token, Order::Zone { zone: zone.into(), on });
    }

    pub fn reseat(&mut self, node: Node, token: u64, reseat: Reseat) {
        self.order(node, token, Order::Reseat(reseat));
    }

    /// A reader asks a gateway for what is confirmed from now on.
    pub fn read(&mut self, node: Node) {
        self.step(node, |control, now| control.helm.ask_now(now));
    }

    /// The caller of an order is gone.
    pub fn withdraw(&mut self, node: Node, token: u64) {
        if let Some(control) = self.live.get_mut(&node).filter(|_| self.checks.is_open(token)) {
            control.helm.withdraw(token);
            self.ended(node, token, Outcome::Unclear);
        }
    }

    /// Who holds a duty now.
    pub fn holder(&self, duty: Duty) -> Option<Node> {
        let holds = |(n, c): &(&Node, &Control)| c.duties.holds(self.clock(**n), duty).is_some();
        self.live.iter().find(holds).map(|(node, _)| *node)
    }

    /// A duty's holder as all know it alike.
    pub fn agreed(&self, duty: Duty) -> Option<Node> {
        let known = |(node, control): (&Node, &Control)| {
            control.duties.posts(self.clock(*node)).into_iter().find(|post| post.duty == duty)
        };
        let mut posts: Vec<Option<Post>> = self.live.iter().map(known).collect();
        posts.dedup();
        if posts.len() == 1 { posts[0].map(|post| post.holder) } else { None }
    }

    /// The sets of voters that gateways go by.
    pub fn sets(&self) -> BTreeSet<Vec<Node>> {
        self.live.values().map(|control| control.muster().voters()).collect()
    }
}
