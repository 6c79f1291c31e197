//! A data node's session with a control node: which one to connect to, when to send heartbeats, what to request, and
//! when to switch to another control node.
//!
//! Invariants:
//! - At most one update request is in flight; it counts as lost after 1 s.
//! - An established session is left for another control node only once that one has proven quorum contact on a trial
//!   connection beside it, or when the session itself has failed.
//! - If the control node doesn't answer or has no quorum contact, the session ends early enough for the next control node
//!   to renew the confirmation of the configuration before it expires.

mod candidates;
mod end_reason;
mod established;
pub mod timing;
mod trial;

pub use end_reason::{EndReason, SessionEnded};

use crate::fleet_view::{FleetView, ViewChange};
use archlink_messages::{DataNode, Heartbeat, Message, NodeId};
use candidates::{Candidate, recent_failure, sorted_candidates};
use established::EstablishedSession;
use std::collections::HashMap;
use timing::{COALESCING_DELAY, RECONNECT_DELAY, TRIAL_INTERVAL, TRIAL_RETRY_DELAY};
use trial::{Trial, Verdict};

// All times and durations are in seconds.

/// An action that the driver has to perform. There are at most two connections at a time, to different control nodes.
#[derive(Clone, Debug)]
pub enum SessionAction {
    /// Open a connection to this control node, and report the result to [`Session::connected`].
    Connect(NodeId),
    /// Close the connection to this control node, or give up the attempt to open it.
    Disconnect(NodeId),
    /// Send a message on the connection to this control node.
    Send(NodeId, Message),
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
    /// Another control node that is tried beside the established session.
    trial: Option<Trial>,
    /// The earliest time at which the next trial may start.
    next_trial_at: f64,
    /// When a session, trial or connection attempt last failed, for each control node.
    failed_at: HashMap<NodeId, f64>,
    last_serial: u64,
    /// Seconds for which a confirmation by a quorum is valid.
    confirmation_lifetime: f64,
}

impl Session {
    /// Creates a session without a connection; the first [`Session::tick`] connects to a control node. A quorum's
    /// confirmation of a configuration is valid for `confirmation_lifetime` seconds.
    pub fn new(local: LocalNode, confirmation_lifetime: f64) -> Session {
        Session {
            local,
            phase: Phase::Idle { reconnect_at: f64::NEG_INFINITY },
            trial: None,
            next_trial_at: f64::NEG_INFINITY,
            failed_at: HashMap::new(),
            last_serial: 0,
            confirmation_lifetime,
        }
    }

    /// Returns the time at which to call [`Session::tick`]; infinity while the driver is opening the only connection.
    pub fn wake_at(&self) -> f64 {
        match &self.phase {
            Phase::Idle { reconnect_at } => *reconnect_at,
            Phase::Connecting(_) => f64::INFINITY,
            Phase::Established(established) => {
                let trial_at = match &self.trial {
                    Some(trial) => trial.wake_at(),
                    None => self.trial_due_at(established),
                };
                established.wake_at(self.confirmation_lifetime).min(trial_at)
            }
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
    pub fn connected(&mut self, now: f64, node: NodeId, result: Result<(), String>) -> Vec<SessionAction> {
        if let Err(reason) = result {
            return self.connection_lost(now, node, &reason);
        }
        match &mut self.phase {
            Phase::Connecting(candidate) if candidate.node == node => {
                self.phase = Phase::Established(Box::new(EstablishedSession::new(now, *candidate)));
            }
            _ => {
                if let Some(trial) = self.trial.as_mut().filter(|trial| trial.candidate.node == node) {
                    trial.connected(now);
                }
            }
        }
        Vec::new()
    }

    /// Handles the loss of the connection to a control node; `reason` is logged.
    pub fn connection_lost(&mut self, now: f64, node: NodeId, reason: &str) -> Vec<SessionAction> {
        let reason = EndReason::Connection(reason.to_string());
        if self.is_on_trial(node) {
            return self.end_trial(now, reason);
        }
        match &self.phase {
            Phase::Connecting(candidate) if candidate.node == node => self.end(now, node, reason),
            Phase::Established(established) if established.peer.node == node => self.end(now, node, reason),
            _ => Vec::new(),
        }
    }

    /// Handles a message from the control node `from`. Returns the actions to perform and the changes to `view`.
    pub fn step(
        &mut self,
        now: f64,
        from: NodeId,
        message: Message,
        view: &mut FleetView,
    ) -> (Vec<SessionAction>, Vec<ViewChange>) {
        if self.is_on_trial(from) {
            return match message {
                Message::Heartbeat(heartbeat) => self.step_trial(now, heartbeat, view),
                _ => Default::default(),
            };
        }
        match &mut self.phase {
            Phase::Established(established) if established.peer.node == from => match message {
                Message::Heartbeat(heartbeat) => established.receive_heartbeat(now, heartbeat, view),
                Message::StateUpdates(updates) => {
                    (Vec::new(), established.receive_updates(now, updates, view))
                }
                _ => Default::default(),
            },
            _ => Default::default(),
        }
    }

    /// Performs what is due: a connection attempt, heartbeats, the start or end of a trial, or the end of the session.
    /// `data_node` returns the description of this node that a heartbeat carries.
    pub fn tick(
        &mut self,
        now: f64,
        view: &FleetView,
        data_node: impl Fn() -> DataNode,
    ) -> Vec<SessionAction> {
        if now < self.wake_at() {
            return Vec::new();
        }
        match self.phase {
            Phase::Idle { .. } => self.connect(now, view),
            Phase::Connecting(_) => Vec::new(),
            Phase::Established(_) => self.tick_established(now, view, data_node),
        }
    }

    /// Connects to the first candidate.
    fn connect(&mut self, now: f64, view: &FleetView) -> Vec<SessionAction> {
        let candidates = sorted_candidates(now, &self.local, view, &self.failed_at);
        let Some(&candidate) = candidates.first() else {
            self.phase = Phase::Idle { reconnect_at: now + RECONNECT_DELAY };
            return Vec::new();
        };
        self.phase = Phase::Connecting(candidate);
        vec![SessionAction::Connect(candidate.node)]
    }

    fn tick_established(
        &mut self,
        now: f64,
        view: &FleetView,
        data_node: impl Fn() -> DataNode,
    ) -> Vec<SessionAction> {
        let Phase::Established(established) = &self.phase else { return Vec::new() };
        if let Some(reason) = established.failure(now, self.confirmation_lifetime) {
            let peer = established.peer.node;
            return self.end(now, peer, reason);
        }
        let mut actions = self.send_heartbeats(now, view, data_node);
        if self.trial.as_ref().is_some_and(|trial| trial.has_timed_out(now)) {
            actions.extend(self.end_trial(now, EndReason::AnswerTimeout));
        }
        actions.extend(self.start_trial_if_due(now, view));
        actions
    }

    /// Sends the heartbeats that are due, in the session and on trial.
    fn send_heartbeats(
        &mut self,
        now: f64,
        view: &FleetView,
        data_node: impl Fn() -> DataNode,
    ) -> Vec<SessionAction> {
        let mut due = Vec::new();
        if let Phase::Established(established) = &mut self.phase
            && now >= established.next_heartbeat_at
        {
            due.push(&mut **established);
        }
        due.extend(self.trial.as_mut().and_then(Trial::without_heartbeat));
        let mut actions = Vec::new();
        for connection in due {
            self.last_serial += 1;
            connection.heartbeat_sent(now, self.last_serial);
            let heartbeat = Message::SessionHeartbeat {
                serial: self.last_serial,
                data_node: data_node(),
                cluster_clock: view.cluster_clock(now),
                leases: view.leases().to_vec(),
            };
            actions.push(SessionAction::Send(connection.peer.node, heartbeat));
        }
        actions
    }

    fn is_on_trial(&self, node: NodeId) -> bool {
        self.trial.as_ref().is_some_and(|trial| trial.candidate.node == node)
    }

    /// Returns the time at which the next trial is to be considered.
    fn trial_due_at(&self, established: &EstablishedSession) -> f64 {
        established.overdue_at().min(established.nearer_node_due_at()).max(self.next_trial_at)
    }

    /// Starts a trial of a nearer control node, or of any other one if the session's quorum contact is overdue.
    fn start_trial_if_due(&mut self, now: f64, view: &FleetView) -> Vec<SessionAction> {
        let Phase::Established(established) = &self.phase else { return Vec::new() };
        if self.trial.is_some() || now < self.trial_due_at(established) {
            return Vec::new();
        }
        match self.trial_candidate(now, view) {
            Some(candidate) => {
                self.trial = Some(Trial::new(now, candidate));
                vec![SessionAction::Connect(candidate.node)]
            }
            None => {
                self.next_trial_at = now + TRIAL_INTERVAL;
                Vec::new()
            }
        }
    }

    /// Returns the control node to try next, if there is one without a recent failure.
    fn trial_candidate(&mut self, now: f64, view: &FleetView) -> Option<Candidate> {
        let candidates = sorted_candidates(now, &self.local, view, &self.failed_at);
        let Phase::Established(established) = &mut self.phase else { return None };
        let is_overdue = now >= established.overdue_at();
        let peer = established.peer.node;
        // The distance may have been unknown when the session began.
        let listed = candidates.iter().find(|candidate| candidate.node == peer);
        established.peer = listed.copied().unwrap_or(established.peer);
        let distance = established.peer.distance;
        let mut eligible = candidates.into_iter().filter(|candidate| {
            candidate.node != peer && recent_failure(now, candidate.node, &self.failed_at).is_none()
        });
        eligible.next().filter(|candidate| is_overdue || candidate.distance < distance)
    }

    /// Handles a heartbeat of the control node on trial: changes to it, or ends the trial.
    fn step_trial(
        &mut self,
        now: f64,
        heartbeat: Heartbeat,
        view: &mut FleetView,
    ) -> (Vec<SessionAction>, Vec<ViewChange>) {
        let (Phase::Established(established), Some(trial)) = (&self.phase, &self.trial) else {
            return Default::default();
        };
        let (previous, next) = (established.peer.node, trial.candidate.node);
        let is_overdue = now >= established.overdue_at();
        let known_contact = is_overdue.then(|| established.quorum_contact_at());
        match trial.judge(now, &heartbeat, known_contact) {
            Verdict::NoAnswer => Default::default(),
            Verdict::Rejected => (self.end_trial(now, EndReason::NoQuorum), Vec::new()),
            Verdict::Accepted => {
                self.promote_trial();
                let (mut actions, changes) = self.step(now, next, Message::Heartbeat(heartbeat), view);
                actions.insert(0, SessionAction::Disconnect(previous));
                (actions, changes)
            }
        }
    }

    /// Ends the trial after a failure of its control node.
    fn end_trial(&mut self, now: f64, reason: EndReason) -> Vec<SessionAction> {
        let Some(trial) = self.trial.take() else { return Vec::new() };
        let peer = trial.candidate.node;
        self.failed_at.insert(peer, now);
        self.next_trial_at = now + TRIAL_RETRY_DELAY;
        vec![SessionAction::Disconnect(peer), SessionAction::Warn(SessionEnded { peer, reason })]
    }

    /// Makes the trial the session, whatever it has proven so far. Returns whether there was one.
    fn promote_trial(&mut self) -> bool {
        let Some(trial) = self.trial.take() else { return false };
        self.phase = match trial.connection {
            Some(connection) => Phase::Established(Box::new(connection)),
            None => Phase::Connecting(trial.candidate),
        };
        true
    }

    /// Ends the session or connection attempt after a failure of the control node. A control node on trial takes its
    /// place.
    fn end(&mut self, now: f64, peer: NodeId, reason: EndReason) -> Vec<SessionAction> {
        self.failed_at.insert(peer, now);
        if !self.promote_trial() {
            self.phase = Phase::Idle { reconnect_at: now + RECONNECT_DELAY };
        }
        vec![SessionAction::Disconnect(peer), SessionAction::Warn(SessionEnded { peer, reason })]
    }
}
