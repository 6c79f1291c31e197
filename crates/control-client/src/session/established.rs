//! An established session: heartbeats and their answers, requests for updates, and whether the control node has to be left.

use super::SessionAction;
use super::candidates::{Candidate, Distance};
use super::end_reason::EndReason;
use crate::fleet_view::{Event, FleetView, ViewChange};
use archlink_messages::{Heartbeat, Message, StateUpdate};
use std::collections::HashMap;

// All times and durations are in seconds.

/// Between two heartbeats.
const HEARTBEAT_INTERVAL: f64 = 0.4;
/// Without an answer for so long, three heartbeats, the control node is left.
const ANSWER_TIMEOUT: f64 = 1.3;
/// A control node without a quorum for so long is partitioned itself: another may not be. Slow disks at a majority delay
/// the quorum's answers by less.
const QUORUM_TIMEOUT: f64 = 2.5;
/// Least lease that is left when a control node without a quorum is given up: the next one may be unreachable, or
/// partitioned too and not answering.
const MIN_REMAINING_LEASE: f64 = 1.8;
/// Until a request for updates that was not answered is sent again.
const UPDATE_REQUEST_TIMEOUT: f64 = 1.0;
/// Between a configuration and the request for the next one. Parsing a large one takes a small machine's time from its
/// requests, and of several in quick succession only the last one matters.
const CONFIGURATION_INTERVAL: f64 = 0.4;
/// How long a session with a farther control node lasts before a nearer one is tried again.
const NEARER_NODE_INTERVAL: f64 = 10.0;

/// The session with one control node, from when the connection is open. Times are seconds on the monotonic clock.
pub struct EstablishedSession {
    /// The control node.
    pub peer: Candidate,
    established_at: f64,
    last_answer_at: f64,
    /// When a quorum last answered the control node.
    last_quorum_at: f64,
    /// When updates were requested that have not arrived yet.
    update_requested_at: f64,
    /// No updates are requested before.
    next_request_at: f64,
    /// Heartbeats that are not answered yet: serial and time sent.
    unanswered: HashMap<u64, f64>,
    /// When the next heartbeat is due.
    pub next_heartbeat_at: f64,
}

impl EstablishedSession {
    /// A session whose first heartbeat is due now.
    pub fn new(now: f64, peer: Candidate) -> EstablishedSession {
        EstablishedSession {
            peer,
            established_at: now,
            last_answer_at: now,
            last_quorum_at: now,
            update_requested_at: f64::NEG_INFINITY,
            next_request_at: f64::NEG_INFINITY,
            unanswered: HashMap::new(),
            next_heartbeat_at: now,
        }
    }

    /// Takes note of a heartbeat that was sent with this serial.
    pub fn heartbeat_sent(&mut self, now: f64, serial: u64) {
        self.unanswered.insert(serial, now);
        self.next_heartbeat_at = now + HEARTBEAT_INTERVAL;
    }

    /// Takes up a heartbeat of the control node, and requests what is missing.
    pub fn receive_heartbeat(
        &mut self,
        now: f64,
        heartbeat: Heartbeat,
        view: &mut FleetView,
    ) -> (Vec<SessionAction>, Vec<ViewChange>) {
        let requested_at = self.unanswered.remove(&heartbeat.serial);
        if requested_at.is_some() {
            self.last_answer_at = now;
            self.unanswered.retain(|serial, _| *serial > heartbeat.serial);
        }
        let quorum_at = heartbeat.confirmed_age.map_or(f64::NEG_INFINITY, |age| now - age.max(0.0));
        self.last_quorum_at = self.last_quorum_at.max(quorum_at);
        let is_behind = view.is_behind(&heartbeat.versions);
        let changes = view.append(now, Event::Heartbeat { heartbeat, requested_at });
        if is_behind && self.may_request_updates(now) {
            self.update_requested_at = now;
            let request = Message::UpdateRequest(view.versions().clone());
            return (vec![SessionAction::Send(request)], changes);
        }
        (Vec::new(), changes)
    }

    /// Whether no request is on its way; on a slow link a second one would have the answer sent twice.
    fn may_request_updates(&self, now: f64) -> bool {
        now > self.update_requested_at + UPDATE_REQUEST_TIMEOUT && now >= self.next_request_at
    }

    /// Takes up the updates that were requested.
    pub fn receive_updates(
        &mut self,
        now: f64,
        updates: Vec<StateUpdate>,
        view: &mut FleetView,
    ) -> Vec<ViewChange> {
        self.update_requested_at = f64::NEG_INFINITY;
        // What the control node confirms may be present here only now.
        self.next_heartbeat_at = now;
        let changes: Vec<ViewChange> =
            updates.into_iter().flat_map(|update| view.append(now, Event::Update(update))).collect();
        if changes.iter().any(|change| matches!(change, ViewChange::Configuration(_))) {
            self.next_request_at = now + CONFIGURATION_INTERVAL;
        }
        changes
    }

    /// Why the control node has to be left, if it has to.
    pub fn failure(&self, now: f64, lease: f64) -> Option<EndReason> {
        let quorum_timeout = QUORUM_TIMEOUT.min(lease - MIN_REMAINING_LEASE).max(HEARTBEAT_INTERVAL);
        if now > self.last_answer_at + ANSWER_TIMEOUT {
            Some(EndReason::AnswerTimeout)
        } else if now > self.last_quorum_at + quorum_timeout {
            Some(EndReason::NoQuorum)
        } else {
            None
        }
    }

    /// Whether to leave for a control node at the distance `nearest`.
    pub fn yields_to(&self, now: f64, nearest: Option<Distance>) -> bool {
        let is_nearer = nearest.is_some_and(|nearest| nearest < self.peer.distance);
        let is_due = now > self.established_at + NEARER_NODE_INTERVAL;
        is_nearer && (is_due || self.peer.distance == Distance::Unknown)
    }
}
