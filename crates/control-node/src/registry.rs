//! The registry of nodes: data nodes in session with this control node, the sessions that other control nodes
//! report, and the control nodes themselves. `views` has what is read from it.
//!
//! A data node is a member while its session lives. Invariant: a data node that may still be serving on its
//! own local share is counted in `possibly_active` until that share has expired, since too small a count
//! makes every other share too large.

mod views;

use crate::event::Event;
use archlink_messages::{ControlNode, DataNode, NodeId, SessionTable};
use std::collections::BTreeMap;

/// A session without a heartbeat for this long (seconds) has timed out: several heartbeats are due in that
/// time.
const SESSION_TIMEOUT: f64 = 1.6;
/// Sessions reported by a control node without a heartbeat for this long (seconds) no longer count as live:
/// its data nodes have sessions elsewhere by then.
const PEER_TIMEOUT: f64 = 3.0;
/// A data node stays possibly active for this long (seconds) after it was last known alive: a lost one may go
/// on alone, on its local share, for longer than the lease of its keys lasts.
const POSSIBLY_ACTIVE_WINDOW: f64 = 30.0;
/// The data nodes of a control node that timed out are probably partitioned together with it: they are
/// renewed as possibly active until this long (seconds) after its last heartbeat.
const PARTITIONED_PEER_WINDOW: f64 = 60.0;
/// A node that reached no quorum of the voters was partitioned. This long (seconds) after that ended it has
/// received all sessions: several heartbeats, and the updates requested on them, have come by then. Any node
/// in quorum contact is heard by a quorum, and so by one of the voters that are heard here.
const CATCH_UP_AFTER_ISOLATION: f64 = 1.5;
/// A control node is advertised for this long (seconds) after its last heartbeat, or after it was first seen.
/// Later it is probably gone for good, and whoever learned of it would connect in vain.
const ADVERTISED_WINDOW: f64 = 30.0;
/// After this long without a heartbeat (seconds) the address of a control node is forgotten. Until then it is
/// still connected to, in case it was only partitioned.
const FORGOTTEN_AFTER: f64 = 600.0;
/// Sessions that this control node accepts; further data nodes are ignored.
const MAX_DATA_NODES: usize = 2048;
/// Control nodes that are registered; further ones are ignored.
const MAX_CONTROL_NODES: usize = 64;

/// A data node's session with this control node.
struct Session {
    data_node: DataNode,
    /// Local time of its last heartbeat, in seconds.
    renewed_at: f64,
}

/// What another control node reported of its sessions.
struct PeerSessions {
    table: SessionTable,
    /// Local time of that control node's last heartbeat, in seconds; negative infinity where there was none.
    last_heartbeat_at: f64,
}

impl PeerSessions {
    fn is_live(&self, now: f64) -> bool {
        now < self.last_heartbeat_at + PEER_TIMEOUT
    }

    /// Whether the peer timed out so recently that it and its data nodes may be partitioned from this node
    /// together.
    fn may_be_partitioned(&self, now: f64) -> bool {
        now >= self.last_heartbeat_at + PEER_TIMEOUT && now < self.last_heartbeat_at + PARTITIONED_PEER_WINDOW
    }
}

/// The control and data nodes that a control node knows.
pub struct Registry {
    /// This control node.
    pub own: ControlNode,
    incarnation: u64,
    /// Version of this node's own session table within its incarnation.
    version: u64,
    own_sessions: BTreeMap<NodeId, Session>,
    peer_sessions: BTreeMap<NodeId, PeerSessions>,
    control_nodes: BTreeMap<NodeId, ControlNode>,
    /// When each other control node was first seen.
    first_seen: BTreeMap<NodeId, f64>,
    /// When each data node was last known to be possibly active.
    possibly_active: BTreeMap<NodeId, f64>,
    /// When the last heartbeat of each other control node came; bounded by `control_nodes`.
    last_heartbeats: BTreeMap<NodeId, f64>,
    /// When this node last had no quorum contact.
    isolated_at: f64,
}

impl Registry {
    /// A registry that knows this control node alone. `incarnation` distinguishes this run of the node from
    /// earlier ones.
    pub fn new(own: ControlNode, incarnation: u64) -> Registry {
        Registry {
            control_nodes: BTreeMap::from([(own.node, own.clone())]),
            own,
            incarnation,
            version: 1,
            own_sessions: BTreeMap::new(),
            peer_sessions: BTreeMap::new(),
            first_seen: BTreeMap::new(),
            possibly_active: BTreeMap::new(),
            last_heartbeats: BTreeMap::new(),
            isolated_at: f64::NEG_INFINITY,
        }
    }

    /// Applies an event; returns whether it changed what operators or peers see.
    pub(crate) fn fold(&mut self, now: f64, event: &Event) -> bool {
        match event {
            Event::ControlNodeDiscovered(control_node) => self.add_control_node(now, control_node),
            Event::SessionRenewed(data_node) => self.renew_session(now, data_node),
            Event::SessionClosed(node) => self.close_session(*node),
            Event::PeerSessions(sessions) => self.store_peer_sessions(now, sessions),
            Event::PeerHeartbeat(node, session_sources) => {
                self.record_heartbeat(now, *node);
                session_sources.iter().for_each(|source| self.renew_possibly_active(now, *source));
                false
            }
            Event::TimePassed { contact } => self.expire(now, *contact),
            Event::HostListChanged(_) => false,
        }
    }

    fn add_control_node(&mut self, now: f64, control_node: &ControlNode) -> bool {
        let known = self.control_nodes.get(&control_node.node);
        let full = self.control_nodes.len() >= MAX_CONTROL_NODES && known.is_none();
        if known == Some(control_node) || full {
            return false;
        }
        self.control_nodes.insert(control_node.node, control_node.clone());
        self.first_seen.entry(control_node.node).or_insert(now);
        true
    }

    /// A heartbeat of a data node; returns whether the session or what is known of the node is new.
    fn renew_session(&mut self, now: f64, data_node: &DataNode) -> bool {
        if self.own_sessions.len() >= MAX_DATA_NODES && !self.own_sessions.contains_key(&data_node.node) {
            return false;
        }
        self.possibly_active.insert(data_node.node, now);
        let session = Session { data_node: data_node.clone(), renewed_at: now };
        let previous = self.own_sessions.insert(data_node.node, session);
        let changed = previous.is_none_or(|previous| previous.data_node != *data_node);
        self.version += u64::from(changed);
        changed
    }

    fn close_session(&mut self, node: NodeId) -> bool {
        let existed = self.own_sessions.remove(&node).is_some();
        self.version += u64::from(existed);
        existed
    }

    /// Stores the sessions of another control node, reported by itself or relayed.
    fn store_peer_sessions(&mut self, now: f64, table: &SessionTable) -> bool {
        for data_node in &table.data_nodes {
            self.possibly_active.insert(data_node.node, now);
        }
        if !self.control_nodes.contains_key(&table.source) || table.source == self.own.node {
            return false;
        }
        let last_heartbeat_at = self.last_heartbeats.get(&table.source).copied().unwrap_or(f64::NEG_INFINITY);
        let sessions = PeerSessions { table: table.clone(), last_heartbeat_at };
        let previous = self.peer_sessions.insert(table.source, sessions);
        previous.is_none_or(|previous| previous.table != *table)
    }

    /// A heartbeat that came from another control node directly.
    fn record_heartbeat(&mut self, now: f64, peer: NodeId) {
        if self.control_nodes.contains_key(&peer) {
            self.last_heartbeats.insert(peer, now);
        }
        if let Some(sessions) = self.peer_sessions.get_mut(&peer) {
            sessions.last_heartbeat_at = now;
        }
        self.renew_possibly_active(now, peer);
    }

    /// Another control node is alive, as it or a peer that hears it reports: so may the data nodes in its
    /// sessions be.
    fn renew_possibly_active(&mut self, now: f64, source: NodeId) {
        if let Some(sessions) = self.peer_sessions.get(&source) {
            let nodes = sessions.table.data_nodes.iter();
            self.possibly_active.extend(nodes.map(|data_node| (data_node.node, now)));
        }
    }

    /// Drops everything whose time is over; returns whether a session timed out.
    fn expire(&mut self, now: f64, quorum_contact: bool) -> bool {
        let sessions_before = self.own_sessions.len();
        self.own_sessions.retain(|_, session| now < session.renewed_at + SESSION_TIMEOUT);
        // A partitioned node can't tell who is gone: too small a count would make shares too large once the
        // partition ends.
        if !quorum_contact {
            self.isolated_at = now;
            self.possibly_active.values_mut().for_each(|at| *at = now);
        }
        let partitioned = self.peer_sessions.values().filter(|sessions| sessions.may_be_partitioned(now));
        for data_node in partitioned.flat_map(|sessions| &sessions.table.data_nodes) {
            self.possibly_active.insert(data_node.node, now);
        }
        self.possibly_active.retain(|_, at| now < *at + POSSIBLY_ACTIVE_WINDOW);
        self.forget_lost_control_nodes(now);
        let timed_out = self.own_sessions.len() < sessions_before;
        self.version += u64::from(timed_out);
        timed_out
    }

    /// Seconds since the last heartbeat of a control node, or since it was first seen where there was none.
    fn seconds_since_heartbeat(&self, now: f64, node: NodeId) -> f64 {
        if node == self.own.node {
            return 0.0;
        }
        let time = |times: &BTreeMap<NodeId, f64>| times.get(&node).copied().unwrap_or(f64::NEG_INFINITY);
        now - time(&self.last_heartbeats).max(time(&self.first_seen))
    }

    fn forget_lost_control_nodes(&mut self, now: f64) {
        let nodes = self.control_nodes.keys().copied();
        let lost: Vec<NodeId> =
            nodes.filter(|&node| self.seconds_since_heartbeat(now, node) > FORGOTTEN_AFTER).collect();
        for node in lost {
            self.control_nodes.remove(&node);
            self.first_seen.remove(&node);
            self.last_heartbeats.remove(&node);
            self.peer_sessions.remove(&node);
        }
    }
}
