//! Queries of the registry: sessions for peers, nodes for data nodes and clients. None of them changes it.

use super::{ADVERTISED_WINDOW, CATCH_UP_AFTER_ISOLATION, PEER_TIMEOUT, Registry};
use archlink_messages::{ControlNode, DataNode, NodeId, SessionTable, node_set_fingerprint};
use std::collections::BTreeMap;

/// Clients are kept within their zone if it has at least this many ready data nodes.
const MIN_CHOICES: usize = 2;

impl Registry {
    /// Returns this control node's own sessions.
    pub fn sessions(&self) -> SessionTable {
        let sessions = self.own_sessions.values();
        SessionTable {
            source: self.own.node,
            incarnation: self.incarnation,
            version: self.version,
            data_nodes: sessions.map(|session| session.data_node.clone()).collect(),
        }
    }

    /// Returns source, incarnation and version of each session table that is live here, this node's own
    /// first.
    pub fn session_versions(&self, now: f64) -> Vec<(NodeId, u64, u64)> {
        let own = (self.own.node, self.incarnation, self.version);
        let live = self.peer_sessions.iter().filter(|(_, sessions)| sessions.is_live(now));
        let peers = live.map(|(node, sessions)| (*node, sessions.table.incarnation, sessions.table.version));
        [own].into_iter().chain(peers).collect()
    }

    /// Returns whether the node is this one, or a control node whose heartbeats have not timed out.
    pub fn is_alive(&self, now: f64, node: NodeId) -> bool {
        node == self.own.node
            || self.last_heartbeats.get(&node).is_some_and(|heartbeat_at| now < heartbeat_at + PEER_TIMEOUT)
    }

    /// Returns whether the peer's session versions name a source that is not alive here, in another version
    /// than the one stored here.
    pub fn is_behind(&self, now: f64, peer_versions: &[(NodeId, u64, u64)]) -> bool {
        let stored = |node| {
            let sessions = self.peer_sessions.get(node)?;
            Some((sessions.table.incarnation, sessions.table.version))
        };
        peer_versions.iter().any(|(node, incarnation, version)| {
            !self.is_alive(now, *node) && stored(node) != Some((*incarnation, *version))
        })
    }

    /// Returns the session tables that are live here and whose source the peer's versions don't name.
    pub fn tables_to_relay(
        &self,
        now: f64,
        peer_versions: &[(NodeId, u64, u64)],
    ) -> impl Iterator<Item = SessionTable> {
        let named = |node: &NodeId| peer_versions.iter().any(|(source, _, _)| source == node);
        let live =
            self.peer_sessions.iter().filter(move |(node, sessions)| sessions.is_live(now) && !named(node));
        live.map(|(_, sessions)| sessions.table.clone())
    }

    /// Returns whether quorum contact has lasted long enough for this node to have received all sessions.
    pub fn caught_up(&self, now: f64) -> bool {
        now > self.isolated_at + CATCH_UP_AFTER_ISOLATION
    }

    /// Returns the data nodes that may be serving, including recently lost ones, in ascending order.
    pub fn possibly_active(&self) -> Vec<NodeId> {
        self.possibly_active.keys().copied().collect()
    }

    /// Returns the fingerprint of [`Registry::possibly_active`].
    pub fn data_node_fingerprint(&self) -> u64 {
        node_set_fingerprint(self.possibly_active.keys().copied())
    }

    /// Returns all data nodes with a live session at any control node, in ascending order. If several control
    /// nodes report the same data node, this node's own session takes precedence.
    pub fn data_nodes(&self, now: f64) -> Vec<DataNode> {
        let live = self.peer_sessions.values().filter(|sessions| sessions.is_live(now));
        let reported = live.flat_map(|sessions| &sessions.table.data_nodes);
        let mut all: BTreeMap<NodeId, &DataNode> =
            reported.map(|data_node| (data_node.node, data_node)).collect();
        let own = self.own_sessions.values();
        all.extend(own.map(|session| (session.data_node.node, &session.data_node)));
        all.into_values().cloned().collect()
    }

    /// Returns all known control nodes, including this one, in ascending order.
    pub fn control_nodes(&self) -> Vec<ControlNode> {
        self.control_nodes.values().cloned().collect()
    }

    /// Returns the control nodes that are reported to other nodes: those with a recent heartbeat.
    pub fn advertised_control_nodes(&self, now: f64) -> Vec<ControlNode> {
        let recent = |control_node: &&ControlNode| {
            self.seconds_since_heartbeat(now, control_node.node) < ADVERTISED_WINDOW
        };
        self.control_nodes.values().filter(recent).cloned().collect()
    }

    /// Returns the fingerprint of [`Registry::advertised_control_nodes`].
    pub fn control_node_fingerprint(&self, now: f64) -> u64 {
        let advertised = self.advertised_control_nodes(now);
        node_set_fingerprint(advertised.into_iter().map(|control_node| control_node.node))
    }

    /// Returns up to `max` ready data nodes for a client in this zone and region: those of the zone if there
    /// are at least two, else those of the region if there are any, else all. The result is rotated by
    /// `turn`, so that successive calls spread clients over the data nodes.
    pub fn resolve(&self, now: f64, zone: &str, region: &str, max: usize, turn: usize) -> Vec<DataNode> {
        let mut ready = self.data_nodes(now);
        ready.retain(|data_node| data_node.ready);
        let in_zone: Vec<DataNode> = ready.iter().filter(|node| node.zone == zone).cloned().collect();
        let in_region: Vec<DataNode> = ready.iter().filter(|node| node.region == region).cloned().collect();
        let mut selected = match (in_zone.len(), in_region.len()) {
            (MIN_CHOICES.., _) => in_zone,
            (_, 1..) => in_region,
            _ => ready,
        };
        let start = turn % selected.len().max(1);
        selected.rotate_left(start);
        selected.truncate(max);
        selected
    }
}
