//! A data node's session with a control node: which one to connect to, when to send heartbeats, what to request, and
//! when to switch to another control node.
//!
//! Invariants:
//! - At most one update request is in flight; it counts as lost after 1 s.
//! - If the control node doesn't answer or has no quorum contact, the session ends early enough for the next control node
//!   to renew the confirmation of the configuration before it expires.

mod candidates;
mod end_reason;
mod established;

pub use end_reason::{EndReason, SessionEnded};

use crate::fleet_view::{FleetView, ViewChange};
use archlink_messages::{DataNode, Message, NodeId};
use candidates::{Candidate, sorted_candidates};
use established::EstablishedSession;
use std::collections::HashMap;

// All times and durations are in seconds.

/// Delay between the end of a session and the next connection attempt.
const RECONNECT_DELAY: f64 = 0.1;
/// Delay of a heartbeat that carries a change, so that simultaneous changes share one heartbeat.
const COALESCING_DELAY: f64 = 0.02;

/// An action that the driver has to perform.
#[derive(Clone, Debug)]
pub enum SessionAction {
    /// Open a connection to this control node, and report the result to [`Session::connected`].
    Connect(NodeId),
    /// Close the connection.
    Disconnect,
    /// Send a message on the connection.
    Send(Message),
    /// Log a warning.
    Warn(SessionEnded),
}

/// A data node's identity and location, and the control nodes in its settings.
#[derive(Clone, Debug)]
pub struct LocalNode {
    /// Id of this data node.
    pub node: NodeId,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Control nodes to connect to if no others are known.
    pub seeds: Vec<NodeId>,
}

enum Phase {
    /// There is no connection. The next attempt is due at `reconnect_at`.
    Idle {
        reconnect_at: f64,
    },
    /// The driver is opening a connection.
    Connecting(Candidate),
    Established(Box<EstablishedSession>),
}

/// A data node's session with a control node, or its attempts to establish one. Times are seconds on the monotonic
/// clock.
pub struct Session {
    local: LocalNode,
    phase: Phase,
    /// When a session or connection attempt last failed, for each control node.
    failed_at: HashMap<NodeId, f64>,
    last_serial: u64,
}

impl Session {
    /// Creates a session without a connection; the first [`Session::tick`] connects to a control node.
    pub fn new(local: LocalNode) -> Session {
        let phase = Phase::Idle { reconnect_at: f64::NEG_INFINITY };
        Session { local, phase, failed_at: HashMap::new(), last_serial: 0 }
    }

    /// Returns the time at which to call [`Session::tick`]; infinity while the driver is opening a connection.
    pub fn wake_at(&self) -> f64 {
        match &self.phase {
            Phase::Idle { reconnect_at } => *reconnect_at,
            Phase::Connecting(_) => f64::INFINITY,
            Phase::Established(established) => established.next_heartbeat_at,
        }
    }

    /// Returns the control node in session.
    pub fn peer(&self) -> Option<NodeId> {
        match &self.phase {
            Phase::Established(established) => Some(established.peer.node),
            _ => None,
        }
    }

    /// Replaces the seed nodes after the settings file was reloaded.
    pub fn set_seeds(&mut self, seeds: Vec<NodeId>) {
        self.local.seeds = seeds;
    }

    /// Schedules the next heartbeat within the coalescing delay, since its content has changed.
    pub fn heartbeat_soon(&mut self, now: f64) {
        if let Phase::Established(established) = &mut self.phase {
            established.next_heartbeat_at = established.next_heartbeat_at.min(now + COALESCING_DELAY);
        }
    }

    /// Handles the result of [`SessionAction::Connect`]; the error is the reason that is logged.
    pub fn connected(&mut self, now: f64, result: Result<(), String>) -> Vec<SessionAction> {
        let Phase::Connecting(candidate) = self.phase else { return Vec::new() };
        if let Err(reason) = result {
            return self.end(now, candidate.node, EndReason::Connection(reason));
        }
        self.phase = Phase::Established(Box::new(EstablishedSession::new(now, candidate)));
        Vec::new()
    }

    /// Handles the loss of the connection; `reason` is logged.
    pub fn connection_lost(&mut self, now: f64, reason: &str) -> Vec<SessionAction> {
        match self.peer() {
            Some(peer) => self.end(now, peer, EndReason::Connection(reason.to_string())),
            None => Vec::new(),
        }
    }

    /// Handles a message from the control node. Returns the actions to perform and the changes to `view`.
    pub fn step(
        &mut self,
        now: f64,
        message: Message,
        view: &mut FleetView,
    ) -> (Vec<SessionAction>, Vec<ViewChange>) {
        let Phase::Established(established) = &mut self.phase else { return Default::default() };
        match message {
            Message::Heartbeat(heartbeat) => established.receive_heartbeat(now, heartbeat, view),
            Message::StateUpdates(updates) => (Vec::new(), established.receive_updates(now, updates, view)),
            _ => Default::default(),
        }
    }

    /// Performs what is due: a connection attempt, a heartbeat, or the end of the session. `data_node` returns the
    /// description of this node that a heartbeat carries.
    pub fn tick(
        &mut self,
        now: f64,
        view: &FleetView,
        data_node: impl FnOnce() -> DataNode,
    ) -> Vec<SessionAction> {
        if now < self.wake_at() {
            return Vec::new();
        }
        match self.phase {
            Phase::Idle { .. } => self.connect(now, view),
            Phase::Connecting(_) => Vec::new(),
            Phase::Established(_) => self.send_heartbeat(now, view, data_node),
        }
    }

    /// Connects to the first candidate.
    fn connect(&mut self, now: f64, view: &FleetView) -> Vec<SessionAction> {
        let Some(candidate) = self.first_candidate(now, view) else {
            self.phase = Phase::Idle { reconnect_at: now + RECONNECT_DELAY };
            return Vec::new();
        };
        self.phase = Phase::Connecting(candidate);
        vec![SessionAction::Connect(candidate.node)]
    }

    /// Sends a heartbeat, unless the session has to end.
    fn send_heartbeat(
        &mut self,
        now: f64,
        view: &FleetView,
        data_node: impl FnOnce() -> DataNode,
    ) -> Vec<SessionAction> {
        let nearest = self.first_candidate(now, view).map(|candidate| candidate.distance);
        let Phase::Established(established) = &mut self.phase else { return Vec::new() };
        if let Some(reason) = established.failure(now, view.confirmation_lifetime()) {
            let peer = established.peer.node;
            return self.end(now, peer, reason);
        }
        if established.should_leave_for(now, nearest) {
            self.phase = Phase::Idle { reconnect_at: now };
            return vec![SessionAction::Disconnect];
        }
        self.last_serial += 1;
        established.heartbeat_sent(now, self.last_serial);
        vec![SessionAction::Send(Message::SessionHeartbeat {
            serial: self.last_serial,
            data_node: data_node(),
            cluster_clock: view.cluster_clock(now),
            leases: view.leases().to_vec(),
        })]
    }

    /// Returns the control node to connect to next.
    fn first_candidate(&self, now: f64, view: &FleetView) -> Option<Candidate> {
        sorted_candidates(now, &self.local, view, &self.failed_at).first().copied()
    }

    /// Ends the session or connection attempt after a failure of the control node.
    fn end(&mut self, now: f64, peer: NodeId, reason: EndReason) -> Vec<SessionAction> {
        self.failed_at.insert(peer, now);
        self.phase = Phase::Idle { reconnect_at: now + RECONNECT_DELAY };
        vec![SessionAction::Disconnect, SessionAction::Warn(SessionEnded { peer, reason })]
    }
}
