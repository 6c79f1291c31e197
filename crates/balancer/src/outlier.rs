//! Outlier ejection of one host, by what its connections show. No health checks are sent: their answers may be wrong either
//! way, and each costs the host a slot (`docs/system.md`, "Unhealthy hosts").
//!
//! A host that is not reached is ejected, for twice as long each time in a row; afterwards one request at a time finds out
//! whether it answers. One that is reached and fails costs more the more it fails, and one that has answered nothing for
//! long is suspected; both still get the requests for which no better host is left.

/// Seconds of the first ejection of a host that is not reached; each further one in a row lasts twice as long.
const BASE_EJECTION_TIME: f64 = 0.3;
/// Limit of the doublings, which makes 4.8 s: a host that is back is found within seconds.
const MAX_EJECTION_DOUBLINGS: u32 = 4;
/// Weight of one result in the failure rate: four failures in a row bring it to 0.7.
const RESULT_WEIGHT: f64 = 0.25;
/// Seconds in which the failure rate falls by the factor e without any result, so that a trickle of requests finds out
/// whether the host has recovered.
const FAILURE_RATE_DECAY: f64 = 4.0;
/// A host is suspected after no answer for this many times its usual work,
const SUSPECT_AFTER_WORK: f64 = 5.0;
/// and for this many seconds at least.
const SUSPECT_AFTER_MIN: f64 = 0.4;

/// What is known of one host's health.
#[derive(Debug)]
pub(crate) struct OutlierState {
    /// Mean of recent results, 1 for a failure, at `updated_at`.
    failure_rate: f64,
    updated_at: f64,
    /// Ejections since the last answer.
    ejections: u32,
    ejected_until: f64,
    /// The first request since the last answer.
    unanswered_since: Option<f64>,
}

impl OutlierState {
    pub(crate) fn new(now: f64) -> OutlierState {
        OutlierState {
            failure_rate: 0.0,
            updated_at: now,
            ejections: 0,
            ejected_until: 0.0,
            unanswered_since: None,
        }
    }

    /// The part of recent requests that failed, from 0 to 1.
    pub(crate) fn failure_rate(&self, now: f64) -> f64 {
        self.failure_rate * (-(now - self.updated_at) / FAILURE_RATE_DECAY).exp()
    }

    /// Whether no request may be sent: during an ejection, and after it while the one request that tries the host is out.
    pub(crate) fn is_ejected(&self, now: f64, pending: f64) -> bool {
        now < self.ejected_until || (self.ejections > 0 && pending > 0.0)
    }

    /// Whether the host, whose requests usually take `work` seconds, has answered nothing for too long.
    pub(crate) fn is_suspected(&self, now: f64, work: f64) -> bool {
        let limit = (work * SUSPECT_AFTER_WORK).max(SUSPECT_AFTER_MIN);
        self.unanswered_since.is_some_and(|since| now - since > limit)
    }

    pub(crate) fn request_sent(&mut self, now: f64) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Any answer came, which ends a row of ejections; `pending` requests are still out.
    pub(crate) fn answer_received(&mut self, now: f64, pending: f64) {
        self.unanswered_since = if pending > 0.0 { Some(now) } else { None };
        self.ejections = 0;
    }

    /// A request ended without showing whether the host would have answered.
    pub(crate) fn request_withdrawn(&mut self, pending: f64) {
        if pending <= 0.0 {
            self.unanswered_since = None;
        }
    }

    pub(crate) fn record_success(&mut self, now: f64) {
        self.record(now, 0.0);
    }

    pub(crate) fn record_failure(&mut self, now: f64) {
        self.record(now, 1.0);
    }

    /// A connection was reset or carried something malformed.
    pub(crate) fn connection_broken(&mut self, now: f64) {
        self.unanswered_since = None;
        self.record_failure(now);
    }

    /// The host was not reached or did not answer in time: it is ejected.
    pub(crate) fn unreachable(&mut self, now: f64) {
        self.ejections += 1;
        let doublings = (self.ejections - 1).min(MAX_EJECTION_DOUBLINGS);
        let ejection_time = BASE_EJECTION_TIME * f64::from(1 << doublings);
        self.ejected_until = self.ejected_until.max(now + ejection_time);
        self.record_failure(now);
        self.unanswered_since = None;
    }

    fn record(&mut self, now: f64, result: f64) {
        let before = self.failure_rate(now);
        self.failure_rate = before + RESULT_WEIGHT * (result - before);
        self.updated_at = now;
    }
}
