//! An established session: heartbeats and their answers, update requests, and whether to leave the control node.

use super::SessionAction;
use super::candidates::{Candidate, Distance};
use super::end_reason::EndReason;
use crate::fleet_view::{Event, FleetView, ViewChange};
use archlink_messages::{Heartbeat, Message, StateUpdate};
use std::collections::HashMap;

// All times and durations are in seconds.

/// Interval between two heartbeats.
const HEARTBEAT_INTERVAL: f64 = 0.4;
/// The session ends if no answer came for this long, which covers three heartbeats.
const ANSWER_TIMEOUT: f64 = 1.3;
/// A control node without quorum contact for this long is partitioned; another one may not be. Slow disks at a majority
/// of the voters delay the quorum's answers by less.
const QUORUM_TIMEOUT: f64 = 2.5;
/// The least remaining lifetime of the confirmation when a control node without quorum contact is left: the next
/// control node may be unreachable, or also partitioned and not answering.
const MIN_REMAINING_CONFIRMATION: f64 = 1.8;
/// An update request that was not answered within this time is sent again.
const UPDATE_REQUEST_TIMEOUT: f64 = 1.0;
/// Delay between a configuration and the request for the next one. Parsing a large configuration takes processor time
/// from requests on a small machine, and of several configurations in quick succession only the last one matters.
const CONFIGURATION_INTERVAL: f64 = 0.4;
/// How long a session with a farther control node lasts before a nearer one is tried again.
const NEARER_NODE_INTERVAL: f64 = 10.0;

/// The session with one control node while the connection is open. Times are seconds on the monotonic clock.
pub struct EstablishedSession {
    /// The control node.
    pub peer: Candidate,
    established_at: f64,
    last_answer_at: f64,
    /// The time of the control node's last known quorum contact.
    last_quorum_at: f64,
    /// The time of the update request in flight; negative infinity if there is none.
    update_requested_at: f64,
    /// The earliest time of the next update request.
    next_request_at: f64,
    /// The times at which the heartbeats without an answer were sent, by serial.
    unanswered: HashMap<u64, f64>,
    /// The time at which the next heartbeat is due.
    pub next_heartbeat_at: f64,
}

impl EstablishedSession {
    /// Creates a session whose first heartbeat is due now.
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

    /// Records that a heartbeat with this serial was sent.
    pub fn heartbeat_sent(&mut self, now: f64, serial: u64) {
        self.unanswered.insert(serial, now);
        self.next_heartbeat_at = now + HEARTBEAT_INTERVAL;
    }

    /// Handles a heartbeat of the control node, and requests updates if versions are missing.
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
        let changes = view.apply(now, Event::Heartbeat { heartbeat, requested_at });
        if is_behind && self.may_request_updates(now) {
            self.update_requested_at = now;
            let request = Message::UpdateRequest(view.versions().clone());
            return (vec![SessionAction::Send(request)], changes);
        }
        (Vec::new(), changes)
    }

    /// Returns whether updates may be requested now: no request is in flight, since on a slow link a second one would
    /// have the updates sent twice, and the delay after the last configuration has passed.
    fn may_request_updates(&self, now: f64) -> bool {
        now > self.update_requested_at + UPDATE_REQUEST_TIMEOUT && now >= self.next_request_at
    }

    /// Handles the updates that were requested.
    pub fn receive_updates(
        &mut self,
        now: f64,
        updates: Vec<StateUpdate>,
        view: &mut FleetView,
    ) -> Vec<ViewChange> {
        self.update_requested_at = f64::NEG_INFINITY;
        // The versions that the control node confirms may be present here only now: ask for a confirmation of them.
        self.next_heartbeat_at = now;
        let changes: Vec<ViewChange> =
            updates.into_iter().flat_map(|update| view.apply(now, Event::Update(update))).collect();
        if changes.iter().any(|change| matches!(change, ViewChange::Configuration(_))) {
            self.next_request_at = now + CONFIGURATION_INTERVAL;
        }
        changes
    }

    /// Returns the failure because of which the session has to end, if there is one.
    pub fn failure(&self, now: f64, confirmation_lifetime: f64) -> Option<EndReason> {
        let quorum_timeout =
            QUORUM_TIMEOUT.min(confirmation_lifetime - MIN_REMAINING_CONFIRMATION).max(HEARTBEAT_INTERVAL);
        if now > self.last_answer_at + ANSWER_TIMEOUT {
            Some(EndReason::AnswerTimeout)
        } else if now > self.last_quorum_at + quorum_timeout {
            Some(EndReason::NoQuorum)
        } else {
            None
        }
    }

    /// Returns whether to leave for a control node at the distance `nearest`.
    pub fn should_leave_for(&self, now: f64, nearest: Option<Distance>) -> bool {
        let is_nearer = nearest.is_some_and(|nearest| nearest < self.peer.distance);
        let is_due = now > self.established_at + NEARER_NODE_INTERVAL;
        is_nearer && (is_due || self.peer.distance == Distance::Unknown)
    }
}
