//! Who is there: the data gateways in session with this control gateway, what the other control gateways tell of theirs,
//! and the control gateways themselves. A data gateway is a member while its session stands. Must never drop what may
//! still be acting alone: a lost member is counted for a while longer.

use crate::event_log::Event;
use archlink_messages::{ControlNode, DataNode, NodeId, SessionTable};
use std::collections::BTreeMap;

/// A session without a sign of life for so long has ended: several are due in that time.
const SESSION: f64 = 1.6;
/// What a control gateway told stands for so long without a sign of life of it: its data gateways have others by then.
const SOURCE: f64 = 3.0;
/// A lost data gateway may go on alone, on its share, for longer than its keys' lease lasts.
const COUNTED: f64 = 30.0;
/// Those of a control gateway that fell silent itself are likely cut off with it: counted from so long after it was heard.
const CUT: f64 = 60.0;
/// Who did not hear a majority of the voters was cut off; so long after that it has heard of all sessions again: beats and
/// what they have pulled came several times by then. Whoever is in contact is heard by a majority, and so by one of those.
const CAUGHT_UP: f64 = 1.5;
/// A control gateway is named to others for so long after its last word, or after it was first heard of; then it is likely gone
/// for good, and whoever was told would call it in vain.
const NAMED: f64 = 30.0;
/// It is called for so much longer, in case it was only cut off; after that its address is forgotten.
const FORGOTTEN: f64 = 600.0;
/// Most data and control gateways that are kept in mind; further ones are turned away.
const MAX_DATA_NODES: usize = 2048;
const MAX_CONTROL_NODES: usize = 64;

pub struct Registry {
    pub own: ControlNode,
    boot: u64,
    version: u64,
    own_sessions: BTreeMap<NodeId, (DataNode, f64)>,
    peer_sessions: BTreeMap<NodeId, (SessionTable, f64)>,
    control_nodes: BTreeMap<NodeId, ControlNode>,
    /// When each of them was first heard of.
    first_seen: BTreeMap<NodeId, f64>,
    possibly_active: BTreeMap<NodeId, f64>,
    /// When each other control gateway last gave a sign of life; as many as there are keepers.
    heard: BTreeMap<NodeId, f64>,
    /// When a majority of the voters was last not heard.
    isolated_at: f64,
}

impl Registry {
    /// `boot` tells this life of the gateway from earlier ones: later ones are greater as far as that can be had.
    pub fn new(own: ControlNode, boot: u64) -> Registry {
        let control_nodes = BTreeMap::from([(own.node, own.clone())]);
        let (own_sessions, peer_sessions, possibly_active) =
            (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        let (first_seen, heard, isolated_at) = (BTreeMap::new(), BTreeMap::new(), f64::NEG_INFINITY);
        Registry {
            own,
            boot,
            version: 1,
            own_sessions,
            peer_sessions,
            control_nodes,
            first_seen,
            possibly_active,
            heard,
            isolated_at,
        }
    }

    /// What follows from an event; true where it brought something new.
    pub(crate) fn fold(&mut self, now: f64, event: &Event) -> bool {
        match event {
            Event::ControlNodeDiscovered(control_node) => self.meet(now, control_node),
            Event::SessionRenewed(data_node) => self.hail(now, data_node),
            Event::SessionClosed(node) => self.lost(*node),
            Event::PeerSessions(sessions) => self.told(now, sessions),
            Event::PeerHeartbeat(node, hears) => {
                self.alive(now, *node);
                hears.iter().for_each(|source| self.still_there(now, *source));
                false
            }
            Event::TimePassed { contact } => self.pass(now, *contact),
            Event::HostListChanged(_) => false,
        }
    }

    /// A sign of life of a data gateway; true where something is new about it.
    fn hail(&mut self, now: f64, data_node: &DataNode) -> bool {
        if self.own_sessions.len() >= MAX_DATA_NODES && !self.own_sessions.contains_key(&data_node.node) {
            return false;
        }
        self.possibly_active.insert(data_node.node, now);
        let before = self.own_sessions.insert(data_node.node, (data_node.clone(), now));
        let news = before.is_none_or(|(known, _)| known != *data_node);
        self.version += u64::from(news);
        news
    }

    /// The connection of its session ended.
    fn lost(&mut self, node: NodeId) -> bool {
        let stood = self.own_sessions.remove(&node).is_some();
        self.version += u64::from(stood);
        stood
    }

    /// Forgets whose time is over; true where a session ended.
    fn pass(&mut self, now: f64, contact: bool) -> bool {
        let count = self.own_sessions.len();
        self.own_sessions.retain(|_, (_, at)| now < *at + SESSION);
        // Cut off itself it can't tell who is gone: too few would make shares too large once the cut is over.
        if !contact {
            self.isolated_at = now;
            self.possibly_active.values_mut().for_each(|at| *at = now);
        }
        let silent = self.peer_sessions.values().filter(|(_, at)| now >= at + SOURCE && now < at + CUT);
        for data_node in silent.flat_map(|(sessions, _)| &sessions.data_nodes) {
            self.possibly_active.insert(data_node.node, now);
        }
        self.possibly_active.retain(|_, at| now < *at + COUNTED);
        self.forget(now);
        let fewer = self.own_sessions.len() < count;
        self.version += u64::from(fewer);
        fewer
    }

    pub fn sessions(&self) -> SessionTable {
        let data_nodes = self.own_sessions.values().map(|(data_node, _)| data_node.clone()).collect();
        SessionTable { source: self.own.node, incarnation: self.boot, version: self.version, data_nodes }
    }

    /// What another control gateway tells of its sessions, itself or through one that hears it.
    fn told(&mut self, now: f64, sessions: &SessionTable) -> bool {
        for data_node in &sessions.data_nodes {
            self.possibly_active.insert(data_node.node, now);
        }
        if self.control_nodes.contains_key(&sessions.source) && sessions.source != self.own.node {
            let at = self.heard.get(&sessions.source).copied().unwrap_or(f64::NEG_INFINITY);
            let before = self.peer_sessions.insert(sessions.source, (sessions.clone(), at));
            return before.is_none_or(|(known, _)| known != *sessions);
        }
        false
    }

    /// A sign of life of another control gateway.
    fn alive(&mut self, now: f64, source: NodeId) {
        if self.control_nodes.contains_key(&source) {
            self.heard.insert(source, now);
        }
        if let Some((_, at)) = self.peer_sessions.get_mut(&source) {
            *at = now;
        }
        self.still_there(now, source);
    }

    /// Another control gateway lives, as it or one that hears it says: so may the data gateways that it told of.
    fn still_there(&mut self, now: f64, source: NodeId) {
        for data_node in self.peer_sessions.get(&source).iter().flat_map(|(sessions, _)| &sessions.data_nodes)
        {
            self.possibly_active.insert(data_node.node, now);
        }
    }

    /// For each source that is heard here, this gateway among them: the life and version held.
    pub fn session_versions(&self, now: f64) -> Vec<(NodeId, u64, u64)> {
        let live = self.peer_sessions.iter().filter(|(_, (_, at))| now < at + SOURCE);
        let others = live.map(|(node, (s, _))| (*node, s.incarnation, s.version));
        [(self.own.node, self.boot, self.version)].into_iter().chain(others).collect()
    }

    /// Did it, or this gateway itself, give a sign of life lately?
    pub fn is_alive(&self, now: f64, node: NodeId) -> bool {
        node == self.own.node || self.heard.get(&node).is_some_and(|at| now < at + SOURCE)
    }

    /// Is there, in that vector, a source that is not heard here and of which something else is held?
    pub fn is_behind(&self, now: f64, theirs: &[(NodeId, u64, u64)]) -> bool {
        let held = |node| self.peer_sessions.get(node).map(|(s, _)| (s.incarnation, s.version));
        theirs
            .iter()
            .any(|(node, boot, version)| !self.is_alive(now, *node) && held(node) != Some((*boot, *version)))
    }

    /// What sources that are heard here told, and that vector does not name.
    pub fn relayed(&self, now: f64, theirs: &[(NodeId, u64, u64)]) -> impl Iterator<Item = SessionTable> {
        let named = |node: &NodeId| theirs.iter().any(|(theirs, _, _)| theirs == node);
        let live = self.peer_sessions.iter().filter(move |(node, (_, at))| now < at + SOURCE && !named(node));
        live.map(|(_, (sessions, _))| sessions.clone())
    }

    /// Are all sessions told of here, as far as that hangs on the other control gateways that are known?
    pub fn caught_up(&self, now: f64) -> bool {
        now > self.isolated_at + CAUGHT_UP
    }

    /// Data gateways that may be at work, the members and those lost lately, in the order of their numbers.
    pub fn possibly_active(&self) -> Vec<NodeId> {
        self.possibly_active.keys().copied().collect()
    }

    /// Changes with the set of data gateways that may be at work.
    pub fn data_node_fingerprint(&self) -> u64 {
        archlink_messages::node_set_fingerprint(self.possibly_active.keys().copied())
    }

    /// All data gateways with a standing session anywhere; of two words about one, the own comes first.
    pub fn data_nodes(&self, now: f64) -> Vec<DataNode> {
        let live = self.peer_sessions.values().filter(|(_, at)| now < at + SOURCE);
        let mut all: BTreeMap<NodeId, &DataNode> =
            live.flat_map(|(s, _)| &s.data_nodes).map(|p| (p.node, p)).collect();
        all.extend(self.own_sessions.values().map(|(data_node, _)| (data_node.node, data_node)));
        all.into_values().cloned().collect()
    }

    /// Seconds since the last word of a control gateway, or since it was first heard of where there was none.
    fn silent(&self, now: f64, node: NodeId) -> f64 {
        if node == self.own.node {
            return 0.0;
        }
        let of = |times: &BTreeMap<NodeId, f64>| times.get(&node).copied().unwrap_or(f64::NEG_INFINITY);
        now - of(&self.heard).max(of(&self.first_seen))
    }

    /// Forgets control gateways that are gone for good.
    fn forget(&mut self, now: f64) {
        let gone: Vec<NodeId> =
            self.control_nodes.keys().copied().filter(|&node| self.silent(now, node) > FORGOTTEN).collect();
        for node in gone {
            self.control_nodes.remove(&node);
            self.first_seen.remove(&node);
            self.heard.remove(&node);
            self.peer_sessions.remove(&node);
        }
    }

    fn meet(&mut self, now: f64, control_node: &ControlNode) -> bool {
        let known = self.control_nodes.get(&control_node.node) == Some(control_node);
        if known
            || (self.control_nodes.len() >= MAX_CONTROL_NODES
                && !self.control_nodes.contains_key(&control_node.node))
        {
            return false;
        }
        self.control_nodes.insert(control_node.node, control_node.clone());
        self.first_seen.entry(control_node.node).or_insert(now);
        true
    }

    /// All control gateways that are known.
    pub fn control_nodes(&self) -> Vec<ControlNode> {
        self.control_nodes.values().cloned().collect()
    }

    /// Those that others are told of: heard of lately.
    pub fn advertised_control_nodes(&self, now: f64) -> Vec<ControlNode> {
        let lately = |control_node: &&ControlNode| self.silent(now, control_node.node) < NAMED;
        self.control_nodes.values().filter(lately).cloned().collect()
    }

    /// Changes with the set of control gateways that others are told of.
    pub fn control_node_fingerprint(&self, now: f64) -> u64 {
        let named: Vec<NodeId> =
            self.advertised_control_nodes(now).into_iter().map(|control_node| control_node.node).collect();
        archlink_messages::node_set_fingerprint(named.into_iter())
    }

    /// Where a client in that zone should go, nearest first: its zone's data gateways, and its region's where the zone has
    /// fewer than two to choose from, and all where the region has none. Of more than `most` a part drawn by `turn`.
    pub fn resolve(&self, now: f64, zone: &str, region: &str, most: usize, turn: usize) -> Vec<DataNode> {
        const CHOICE: usize = 2;
        let ready: Vec<DataNode> = self.data_nodes(now).into_iter().filter(|p| p.ready).collect();
        let near: Vec<DataNode> = ready.iter().filter(|p| p.zone == zone).cloned().collect();
        let around: Vec<DataNode> = ready.iter().filter(|p| p.region == region).cloned().collect();
        let mut chosen = match (near.len(), around.len()) {
            (CHOICE.., _) => near,
            (_, 1..) => around,
            _ => ready,
        };
        let start = turn % chosen.len().max(1);
        chosen.rotate_left(start);
        chosen.truncate(most);
        chosen
    }
}
