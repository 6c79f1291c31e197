//! Outlier detection for one host, by the results of its requests (passive health checking). No active health checks
//! are sent: their results may be wrong either way, and each takes one of the host's slots (`docs/system.md`,
//! "Unhealthy hosts").
//!
//! A host that cannot be reached is ejected, for twice as long each consecutive time; afterwards it is probed by one
//! request at a time. A host that fails requests costs more the more it fails, and a host that has not responded for
//! long is suspected; both still get the requests for which no better host is left.

/// Seconds of the first ejection of an unreachable host; each consecutive one lasts twice as long.
const BASE_EJECTION_TIME: f64 = 0.3;
/// Upper bound of the doublings, which limits ejections to 4.8 s so that a recovered host is detected within seconds.
const MAX_EJECTION_DOUBLINGS: u32 = 4;
/// Weight of one result in the failure rate: four consecutive failures raise it to 0.7.
const RESULT_WEIGHT: f64 = 0.25;
/// Time constant in seconds by which the failure rate decays without results, so that a few requests get through and
/// detect whether the host has recovered.
const FAILURE_RATE_DECAY_TIME: f64 = 4.0;
/// Multiple of its usual service time after which a host without a response is suspected.
const SUSPECT_AFTER_SERVICE_TIMES: f64 = 5.0;
/// Lower bound of that time in seconds.
const MIN_SUSPECT_TIME: f64 = 0.4;

/// The health of one host.
#[derive(Debug)]
pub(crate) struct OutlierState {
    /// Moving average of results, 1 for a failure, at `updated_at`.
    failure_rate: f64,
    updated_at: f64,
    /// Consecutive ejections since the last response.
    ejections: u32,
    ejected_until: f64,
    /// When the first request since the last response was sent.
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

    /// The fraction of recent requests that failed, from 0 to 1.
    pub(crate) fn failure_rate(&self, now: f64) -> f64 {
        self.failure_rate * (-(now - self.updated_at) / FAILURE_RATE_DECAY_TIME).exp()
    }

    /// Whether no request may be sent: during an ejection, and after it while the probe request is in flight.
    pub(crate) fn is_ejected(&self, now: f64, in_flight: f64) -> bool {
        now < self.ejected_until || (self.ejections > 0 && in_flight > 0.0)
    }

    /// Whether the host, whose requests usually take `service_time` seconds, has not responded for too long.
    pub(crate) fn is_suspected(&self, now: f64, service_time: f64) -> bool {
        let limit = (service_time * SUSPECT_AFTER_SERVICE_TIMES).max(MIN_SUSPECT_TIME);
        self.unanswered_since.is_some_and(|since| now - since > limit)
    }

    pub(crate) fn request_sent(&mut self, now: f64) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Records a response of any kind, which resets the consecutive ejections; `in_flight` requests are still
    /// unanswered.
    pub(crate) fn response_received(&mut self, now: f64, in_flight: f64) {
        self.unanswered_since = if in_flight > 0.0 { Some(now) } else { None };
        self.ejections = 0;
    }

    /// Records a request that was cancelled, which does not show whether the host would have responded.
    pub(crate) fn request_cancelled(&mut self, in_flight: f64) {
        if in_flight <= 0.0 {
            self.unanswered_since = None;
        }
    }

    pub(crate) fn record_success(&mut self, now: f64) {
        self.record_result(now, 0.0);
    }

    pub(crate) fn record_failure(&mut self, now: f64) {
        self.record_result(now, 1.0);
    }

    /// Records that a connection was reset or carried a malformed response.
    pub(crate) fn record_broken_connection(&mut self, now: f64) {
        self.unanswered_since = None;
        self.record_failure(now);
    }

    /// Ejects the host, which was not reached or did not respond in time.
    pub(crate) fn eject(&mut self, now: f64) {
        self.ejections += 1;
        let doublings = (self.ejections - 1).min(MAX_EJECTION_DOUBLINGS);
        let ejection_time = BASE_EJECTION_TIME * f64::from(1 << doublings);
        self.ejected_until = self.ejected_until.max(now + ejection_time);
        self.record_failure(now);
        self.unanswered_since = None;
    }

    fn record_result(&mut self, now: f64, result: f64) {
        let before = self.failure_rate(now);
        self.failure_rate = before + RESULT_WEIGHT * (result - before);
        self.updated_at = now;
    }
}
