//! Dissemination of a control node's state: heartbeats that carry its version vector, and state updates for a
//! node whose version vector shows that it lacks them.
//!
//! Invariant: a value chosen in an earlier generation is never given out as current.

use super::ControlNodeState;
use crate::event_log::Event;
use archlink_consensus::Effect;
use archlink_messages::{Heartbeat, Message, NodeId, Register, StateUpdate, VersionVector};

impl ControlNodeState {
    /// Returns the first message on a new connection to another control node.
    pub fn peer_hello(&self) -> Message {
        Message::PeerHello {
            control_node: self.event_log.registry.own.clone(),
            voter_set: self.voter_set.clone(),
        }
    }

    /// Returns the versions of all state that this node has and may give out.
    pub fn versions(&self, now: f64) -> VersionVector {
        let registry = &self.event_log.registry;
        let ordering_key = |register| self.current_value(register).map_or(0, |value| value.ordering_key());
        VersionVector {
            configuration: ordering_key(Register::Configuration),
            evacuations: ordering_key(Register::Evacuations),
            hosts: self.event_log.host_list.revision(),
            control_nodes: registry.control_node_fingerprint(now),
            data_nodes: if self.knows_data_nodes(now) { registry.data_node_fingerprint() } else { 0 },
            sessions: registry.session_versions(now),
        }
    }

    /// Returns a heartbeat. `serial` is the serial of the session heartbeat that it answers, 0 if it answers
    /// none.
    pub fn heartbeat(&self, now: f64, serial: u64) -> Message {
        Message::Heartbeat(Heartbeat {
            serial,
            cluster_clock: self.cluster_clock(now),
            confirmed_age: self.confirmed().map(|confirmed_at| now - confirmed_at),
            versions: self.versions(now),
            leases: self.leases.holders(now),
            voter_set: self.voter_set.clone(),
            recovered: self.acceptor.is_recovered(),
            suspected: self.membership.suspected(now),
        })
    }

    /// Returns the updates that a node with this version vector lacks. Control nodes receive session tables
    /// (`with_sessions`); data nodes receive the ids of the data nodes instead.
    pub fn updates_for(&self, now: f64, versions: &VersionVector, with_sessions: bool) -> Vec<StateUpdate> {
        let registry = &self.event_log.registry;
        let mut updates = Vec::new();
        updates.extend(self.value_newer_than(Register::Configuration, versions.configuration));
        updates.extend(self.value_newer_than(Register::Evacuations, versions.evacuations));
        if self.event_log.host_list.revision() > versions.hosts {
            updates.push(StateUpdate::HostList(self.event_log.host_list.clone()));
        }
        if registry.control_node_fingerprint(now) != versions.control_nodes {
            updates.push(StateUpdate::ControlNodes(registry.advertised_control_nodes(now)));
        }
        if with_sessions {
            updates.extend(self.session_updates(now, versions));
        } else if self.knows_data_nodes(now) && registry.data_node_fingerprint() != versions.data_nodes {
            updates.push(StateUpdate::DataNodes(registry.possibly_active()));
        }
        updates
    }

    /// Returns the committed value of a register if it is newer than the one with this ordering key.
    fn value_newer_than(&self, register: Register, ordering_key: u64) -> Option<StateUpdate> {
        let value = self.current_value(register).filter(|value| value.ordering_key() > ordering_key)?;
        Some(StateUpdate::Chosen(register, value.clone()))
    }

    /// Returns this node's own sessions if the receiver has another version of them, and the sessions of
    /// control nodes that the receiver has no live session table of.
    fn session_updates(&self, now: f64, versions: &VersionVector) -> Vec<StateUpdate> {
        let registry = &self.event_log.registry;
        let own = registry.sessions();
        let mut updates = Vec::new();
        if !versions.sessions.contains(&(own.source, own.incarnation, own.version)) {
            updates.push(StateUpdate::Sessions(own));
        }
        updates.extend(registry.tables_to_relay(now, &versions.sessions).map(StateUpdate::Sessions));
        updates
    }

    /// Returns whether the version vector of the peer `from` shows state that this node lacks.
    pub(super) fn is_behind(&self, now: f64, from: NodeId, peer_versions: &VersionVector) -> bool {
        let own_versions = self.versions(now);
        let peer_sessions = peer_versions.sessions.iter().find(|(source, _, _)| *source == from);
        peer_versions.configuration > own_versions.configuration
            || peer_versions.evacuations > own_versions.evacuations
            || peer_versions.hosts > own_versions.hosts
            || peer_versions.control_nodes != own_versions.control_nodes
            || peer_sessions.is_some_and(|version| !own_versions.sessions.contains(version))
            || self.event_log.registry.is_behind(now, &peer_versions.sessions)
    }

    /// Applies the state updates that a peer sent.
    pub fn apply_updates(&mut self, now: f64, updates: Vec<StateUpdate>) -> Vec<Effect> {
        let mut effects = Vec::new();
        for update in updates {
            match update {
                StateUpdate::Chosen(register, value) => {
                    effects.extend(self.proposer.learn(register, &value));
                }
                StateUpdate::HostList(hosts) => {
                    self.event_log.append(now, Event::HostListChanged(hosts));
                }
                StateUpdate::ControlNodes(control_nodes) => {
                    for control_node in control_nodes {
                        self.event_log.append(now, Event::ControlNodeDiscovered(control_node));
                    }
                }
                StateUpdate::Sessions(sessions) => {
                    self.event_log.append(now, Event::PeerSessions(sessions));
                }
                // For data nodes only.
                StateUpdate::ConfigurationPatch { .. }
                | StateUpdate::HostListPatch { .. }
                | StateUpdate::DataNodes(_) => {}
            }
        }
        effects
    }

    /// Returns the other known control nodes.
    fn peers(&self) -> impl Iterator<Item = NodeId> {
        let control_nodes = self.event_log.registry.control_nodes().into_iter();
        control_nodes.map(|control_node| control_node.node).filter(|&node| node != self.id)
    }

    /// Sends a heartbeat to all other control nodes now: one is due, or state has changed here.
    pub fn broadcast_heartbeat(&mut self, now: f64) -> Vec<Effect> {
        self.last_heartbeat_at = now;
        let heartbeat = self.heartbeat(now, 0);
        self.peers().map(|node| Effect::Send(node, heartbeat.clone())).collect()
    }
}
