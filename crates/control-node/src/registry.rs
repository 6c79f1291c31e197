//! The registry of nodes: data nodes in session with this control node, the sessions that other control nodes
//! report, and the control nodes themselves. `views` has the queries.
//!
//! A data node belongs to the cluster while its session is live. Invariant: a data node that may still be
//! serving on its local share is counted in `possibly_active` until that share has expired, since too small a
//! count makes every other share too large.

mod views;

use crate::event::Event;
use archlink_messages::{ControlNode, DataNode, NodeId, SessionTable};
use std::collections::BTreeMap;

/// A session without a heartbeat for this many seconds has timed out. Several heartbeats are due in that
/// time.
const SESSION_TIMEOUT: f64 = 1.6;
/// If no heartbeat came from a control node for this many seconds, the sessions that it reported no longer
/// count as live: its data nodes have sessions elsewhere by then.
const PEER_TIMEOUT: f64 = 3.0;
/// A data node is possibly active for this many seconds after it was last known alive: a data node without a
/// session may continue on its local share for longer than the lease of its keys lasts.
const POSSIBLY_ACTIVE_WINDOW: f64 = 30.0;
/// The data nodes of a control node that timed out are probably partitioned together with it. They are
/// renewed as possibly active until this many seconds after its last heartbeat.
const PARTITIONED_PEER_WINDOW: f64 = 60.0;
/// A node without quorum contact is partitioned. This many seconds after quorum contact is back, it has
/// received all sessions: several heartbeats, and the updates requested in response, have arrived by then.
/// Any node in quorum contact is heard by a quorum, and so by at least one of the voters that this node
/// hears.
const CATCH_UP_AFTER_ISOLATION: f64 = 1.5;
/// A control node is advertised for this many seconds after its last heartbeat, or after it was first seen.
/// After that it is probably gone for good, and connections to it would fail.
const ADVERTISED_WINDOW: f64 = 30.0;
/// After this many seconds without a heartbeat a control node is forgotten, with its address. Until then this
/// node keeps trying to connect to it, in case it is only partitioned.
const FORGOTTEN_AFTER: f64 = 600.0;
/// The maximum number of sessions with this control node; further data nodes are ignored.
const MAX_DATA_NODES: usize = 2048;
/// The maximum number of registered control nodes; further ones are ignored.
const MAX_CONTROL_NODES: usize = 64;

/// A data node's session with this control node.
struct Session {
    data_node: DataNode,
    /// Local time of its last heartbeat, in seconds.
    renewed_at: f64,
}

/// The sessions that another control node reported.
struct PeerSessions {
    table: SessionTable,
    /// Local time of that control node's last heartbeat, in seconds; negative infinity if there was none.
    last_heartbeat_at: f64,
}

impl PeerSessions {
    fn is_live(&self, now: f64) -> bool {
        now < self.last_heartbeat_at + PEER_TIMEOUT
    }

    /// Returns whether the peer timed out so recently that it may be partitioned from this node together with
    /// its data nodes.
    fn may_be_partitioned(&self, now: f64) -> bool {
        now >= self.last_heartbeat_at + PEER_TIMEOUT && now < self.last_heartbeat_at + PARTITIONED_PEER_WINDOW
    }
}

/// The control nodes and data nodes that a control node knows.
pub struct Registry {
    /// This control node.
    pub own: ControlNode,
    incarnation: u64,
    /// Version of this node's own session table within this incarnation.
    version: u64,
    own_sessions: BTreeMap<NodeId, Session>,
    peer_sessions: BTreeMap<NodeId, PeerSessions>,
    control_nodes: BTreeMap<NodeId, ControlNode>,
    /// The time at which each other control node was first seen.
    first_seen: BTreeMap<NodeId, f64>,
    /// The time at which each data node was last known to be possibly active.
    possibly_active: BTreeMap<NodeId, f64>,
    /// The time of the last heartbeat of each other control node. Has no other nodes than `control_nodes`.
    last_heartbeats: BTreeMap<NodeId, f64>,
    /// The last time at which this node had no quorum contact.
    isolated_at: f64,
}

impl Registry {
    /// Creates a registry that knows only this control node. `incarnation` distinguishes this run of the node
    /// from earlier ones.
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

    /// Folds an event into the registry. Returns whether it changed what operators or peers see.
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
            Event::TimePassed { quorum_contact } => self.expire(now, *quorum_contact),
            Event::HostListChanged(_) => false,
        }
    }

    /// Registers a control node. Returns whether it is new, or known with other properties.
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

    /// Handles a heartbeat of a data node. Returns whether the session is new or the node's properties
    /// changed.
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

    /// Ends a session with this node. Returns whether there was one.
    fn close_session(&mut self, node: NodeId) -> bool {
        let existed = self.own_sessions.remove(&node).is_some();
        self.version += u64::from(existed);
        existed
    }

    /// Stores the sessions of another control node, reported by itself or relayed. Returns whether they
    /// differ from what was stored.
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

    /// Records a heartbeat that came directly from another control node.
    fn record_heartbeat(&mut self, now: f64, peer: NodeId) {
        if self.control_nodes.contains_key(&peer) {
            self.last_heartbeats.insert(peer, now);
        }
        if let Some(sessions) = self.peer_sessions.get_mut(&peer) {
            sessions.last_heartbeat_at = now;
        }
        self.renew_possibly_active(now, peer);
    }

    /// Renews the data nodes in session with a control node as possibly active, since that control node, or a
    /// peer that hears it, reported that it is alive.
    fn renew_possibly_active(&mut self, now: f64, source: NodeId) {
        if let Some(sessions) = self.peer_sessions.get(&source) {
            let nodes = sessions.table.data_nodes.iter();
            self.possibly_active.extend(nodes.map(|data_node| (data_node.node, now)));
        }
    }

    /// Removes everything that has timed out. Returns whether a session was among it.
    fn expire(&mut self, now: f64, quorum_contact: bool) -> bool {
        let sessions_before = self.own_sessions.len();
        self.own_sessions.retain(|_, session| now < session.renewed_at + SESSION_TIMEOUT);
        // A partitioned node can't tell which data nodes are gone, so all stay possibly active: too small a
        // count would make the shares too large once the partition ends.
        if !quorum_contact {
            self.isolated_at = now;
            self.possibly_active.values_mut().for_each(|last_known_at| *last_known_at = now);
        }
        let partitioned = self.peer_sessions.values().filter(|sessions| sessions.may_be_partitioned(now));
        for data_node in partitioned.flat_map(|sessions| &sessions.table.data_nodes) {
            self.possibly_active.insert(data_node.node, now);
        }
        self.possibly_active.retain(|_, last_known_at| now < *last_known_at + POSSIBLY_ACTIVE_WINDOW);
        self.forget_lost_control_nodes(now);
        let timed_out = self.own_sessions.len() < sessions_before;
        self.version += u64::from(timed_out);
        timed_out
    }

    /// Returns the seconds since the last heartbeat of a control node, or since it was first seen if there
    /// was none.
    fn seconds_since_heartbeat(&self, now: f64, node: NodeId) -> f64 {
        if node == self.own.node {
            return 0.0;
        }
        let time_in = |times: &BTreeMap<NodeId, f64>| times.get(&node).copied().unwrap_or(f64::NEG_INFINITY);
        now - time_in(&self.last_heartbeats).max(time_in(&self.first_seen))
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
