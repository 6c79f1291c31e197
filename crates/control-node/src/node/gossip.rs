//! What a control gateway tells others of itself and of what it holds: heartbeats, and the pieces that somebody lacks by a
//! vector of versions. Must never give out as standing what was chosen under an earlier founding.

use super::ControlNodeState;
use crate::event_log::Event;
use archlink_consensus::Effect;
use archlink_messages::{Heartbeat, Message, NodeId, Register, StateUpdate, VersionVector};

impl ControlNodeState {
    pub fn peer_hello(&self) -> Message {
        Message::PeerHello {
            control_node: self.event_log.registry.own.clone(),
            voter_set: self.voter_set.clone(),
        }
    }

    pub fn versions(&self, now: f64) -> VersionVector {
        let stamp = |register| self.current_value(register).map_or(0, |held| held.ordering_key());
        VersionVector {
            configuration: stamp(Register::Configuration),
            evacuations: stamp(Register::Evacuations),
            hosts: (self.event_log.host_list.term, self.event_log.host_list.version),
            control_nodes: self.event_log.registry.control_node_fingerprint(now),
            data_nodes: if self.knows_data_nodes(now) {
                self.event_log.registry.data_node_fingerprint()
            } else {
                0
            },
            sessions: self.event_log.registry.session_versions(now),
        }
    }

    /// A sign of life; `serial` is the hail that it answers.
    pub fn heartbeat(&self, now: f64, serial: u64) -> Message {
        Message::Heartbeat(Heartbeat {
            serial,
            cluster_clock: self.cluster_clock(now),
            confirmed_age: self.confirmed().map(|at| now - at),
            versions: self.versions(now),
            leases: self.leases.holders(now),
            voter_set: self.voter_set.clone(),
            recovered: self.acceptor.is_recovered(),
            suspected: self.membership.suspected(now),
        })
    }

    /// What somebody with that vector lacks of what is held here.
    pub fn updates_for(&self, now: f64, theirs: &VersionVector, sessions: bool) -> Vec<StateUpdate> {
        let mut pieces = Vec::new();
        for (register, stamp) in
            [(Register::Configuration, theirs.configuration), (Register::Evacuations, theirs.evacuations)]
        {
            pieces.extend(
                self.current_value(register)
                    .filter(|h| h.ordering_key() > stamp)
                    .map(|h| StateUpdate::Chosen(register, h.clone())),
            );
        }
        if (self.event_log.host_list.term, self.event_log.host_list.version) > theirs.hosts {
            pieces.push(StateUpdate::HostList(self.event_log.host_list.clone()));
        }
        if self.event_log.registry.control_node_fingerprint(now) != theirs.control_nodes {
            pieces.push(StateUpdate::ControlNodes(self.event_log.registry.advertised_control_nodes(now)));
        }
        // Data gateways hear who else there is, control gateways of sessions.
        if !sessions
            && self.knows_data_nodes(now)
            && self.event_log.registry.data_node_fingerprint() != theirs.data_nodes
        {
            pieces.push(StateUpdate::DataNodes(self.event_log.registry.possibly_active()));
        }
        let own = self.event_log.registry.sessions();
        if sessions && !theirs.sessions.contains(&(own.source, own.incarnation, own.version)) {
            pieces.push(StateUpdate::Sessions(own));
        }
        if sessions {
            pieces.extend(self.event_log.registry.relayed(now, &theirs.sessions).map(StateUpdate::Sessions));
        }
        pieces
    }

    /// Does that vector, of `from`, name anything that is not held here?
    pub(super) fn is_behind(&self, now: f64, from: NodeId, theirs: &VersionVector) -> bool {
        let mine = self.versions(now);
        let theirs_own = theirs.sessions.iter().find(|(node, _, _)| *node == from);
        theirs.configuration > mine.configuration
            || theirs.evacuations > mine.evacuations
            || theirs.hosts > mine.hosts
            || theirs.control_nodes != mine.control_nodes
            || theirs_own.is_some_and(|own| !mine.sessions.contains(own))
            || self.event_log.registry.is_behind(now, &theirs.sessions)
    }

    pub fn apply_updates(&mut self, now: f64, pieces: Vec<StateUpdate>) -> Vec<Effect> {
        let mut effects = Vec::new();
        for piece in pieces {
            match piece {
                StateUpdate::Chosen(register, held) => effects.extend(self.proposer.learn(register, &held)),
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
                // For data gateways alone.
                StateUpdate::ConfigurationPatch { .. }
                | StateUpdate::HostListPatch { .. }
                | StateUpdate::DataNodes(_) => {}
            }
        }
        effects
    }

    pub(super) fn peers(&self) -> impl Iterator<Item = NodeId> {
        self.event_log.registry.control_nodes().into_iter().map(|k| k.node).filter(|&node| node != self.id)
    }

    /// Signs of life to all other control gateways at once, as something is new here.
    pub fn broadcast_heartbeat(&mut self, now: f64) -> Vec<Effect> {
        self.last_heartbeat_at = now;
        let beat = self.heartbeat(now, 0);
        self.peers().map(|node| Effect::Send(node, beat.clone())).collect()
    }
}
