//! An established session: heartbeats and their answers, update requests, and when the control node is to be left.

use super::SessionAction;
use super::candidates::{Candidate, Distance};
use super::end_reason::EndReason;
use super::timing::{
    ANSWER_TIMEOUT, CONFIGURATION_INTERVAL, FIRST_ANSWER_TIMEOUT, HEARTBEAT_INTERVAL, MAX_QUORUM_AGE,
    MIN_REMAINING_CONFIRMATION, NEARER_NODE_INTERVAL, QUORUM_TIMEOUT, UPDATE_REQUEST_TIMEOUT,
};
use crate::fleet_view::{Event, FleetView, ViewChange};
use archlink_messages::{Heartbeat, Message, StateUpdate};
use std::collections::HashMap;

/// The session with one control node while the connection is open. Times are seconds on the monotonic clock.
pub struct EstablishedSession {
    /// The control node.
    pub peer: Candidate,
    established_at: f64,
    last_answer_at: f64,
    /// The time of the control node's last known quorum contact; negative infinity until it has proven any.
    quorum_contact_at: f64,
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
            quorum_contact_at: f64::NEG_INFINITY,
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

    /// Whether a heartbeat was sent that has no answer yet.
    pub fn awaits_answer(&self) -> bool {
        !self.unanswered.is_empty()
    }

    /// Whether this heartbeat answers one of this session.
    pub fn is_answer(&self, heartbeat: &Heartbeat) -> bool {
        self.unanswered.contains_key(&heartbeat.serial)
    }

    /// The time of the quorum contact that a heartbeat shows; negative infinity if it shows none.
    pub fn quorum_contact(now: f64, heartbeat: &Heartbeat) -> f64 {
        heartbeat.confirmed_age.map_or(f64::NEG_INFINITY, |age| now - age.max(0.0))
    }

    /// The time of the control node's last known quorum contact; negative infinity until it has proven any.
    pub fn quorum_contact_at(&self) -> f64 {
        self.quorum_contact_at
    }

    /// Whether quorum contact at `contact_at` is recent enough to rely on the control node.
    pub fn is_recent_contact(&self, now: f64, contact_at: f64) -> bool {
        now <= contact_at + MAX_QUORUM_AGE
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
        let contact_at = EstablishedSession::quorum_contact(now, &heartbeat);
        self.quorum_contact_at = self.quorum_contact_at.max(contact_at);
        let is_behind = view.is_behind(&heartbeat.versions);
        let changes = view.apply(now, Event::Heartbeat { heartbeat, requested_at });
        if is_behind && self.may_request_updates(now) {
            self.update_requested_at = now;
            let request = Message::UpdateRequest(view.versions().clone());
            return (vec![SessionAction::Send(self.peer.node, request)], changes);
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
        if now >= self.answer_deadline() {
            Some(EndReason::AnswerTimeout)
        } else if now >= self.quorum_deadline(confirmation_lifetime) {
            Some(EndReason::NoQuorum)
        } else {
            None
        }
    }

    /// Returns the time at which the session fails or its next heartbeat is due, whichever is earlier.
    pub fn wake_at(&self, confirmation_lifetime: f64) -> f64 {
        let fails_at = self.answer_deadline().min(self.quorum_deadline(confirmation_lifetime));
        self.next_heartbeat_at.min(fails_at)
    }

    fn answer_deadline(&self) -> f64 {
        self.last_answer_at + ANSWER_TIMEOUT
    }

    fn quorum_deadline(&self, confirmation_lifetime: f64) -> f64 {
        let timeout = (confirmation_lifetime - MIN_REMAINING_CONFIRMATION).max(HEARTBEAT_INTERVAL);
        self.quorum_contact_at.max(self.established_at) + QUORUM_TIMEOUT.min(timeout)
    }

    /// Returns the time from which on the control node's quorum contact, or its first answer, is overdue.
    pub fn overdue_at(&self) -> f64 {
        (self.quorum_contact_at + MAX_QUORUM_AGE).max(self.established_at + FIRST_ANSWER_TIMEOUT)
    }

    /// Returns the time from which on a nearer control node may be tried.
    pub fn nearer_node_due_at(&self) -> f64 {
        match self.peer.distance {
            Distance::SameZone => f64::INFINITY,
            Distance::SameRegion | Distance::OtherRegion => self.established_at + NEARER_NODE_INTERVAL,
            Distance::Unknown => self.established_at,
        }
    }
}
