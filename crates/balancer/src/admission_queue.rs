//! Early rejection where hosts are full: what would be answered late is rejected at once, with the time to come back.
//!
//! For each service and region the admitted fraction of the requests moves so that answers take `HOST_TIME_SHARE` (0.9) of the
//! latency target (`docs/system.md`, "Admission queue"). It moves by time and not by answers, as a data node that admits few hears
//! few; it shrinks by a part of itself and grows by a part of all (additive increase, multiplicative decrease), so that data
//! nodes that hear much and little come to rest at the same fraction.

/// Part of the latency target to be spent at a host: a request admitted beyond that is answered late, and delays those
/// behind it.
const HOST_TIME_SHARE: f64 = 0.9;
/// Least time at a host that answers are compared to, in seconds: before any request was sent the target is 0.
const MIN_HOST_TIME: f64 = 1e-3;
/// Rate a second at which the admitted fraction shrinks when answers take twice the aim.
const DECREASE_RATE: f64 = 4.0;
/// Part of all requests by which it grows in a second when answers take no time at all.
const INCREASE_RATE: f64 = 1.2;
/// Limit of how far one answer may be above the aim, as a multiple of it: also that of a rejected request.
const MAX_DEVIATION: f64 = 1.5;
/// Seconds that one answer speaks for; after this long without one the fraction grows by itself.
const ANSWER_VALIDITY: f64 = 0.5;
/// Least admitted fraction: some requests have to find out when there is room again.
const MIN_ADMITTED: f64 = 0.02;
/// Weight of one request's latency target in their mean: some twenty requests.
const TARGET_WEIGHT: f64 = 0.06;
/// Power of the admitted fraction for each priority, the first goes first: 0 is admitted by its square root.
const EXPONENT_BY_PRIORITY: [f64; 3] = [0.5, 1.0, 1.5];

/// What decides whether a request is admitted where hosts are full.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueTicket {
    /// 0 goes first; 2 and above are alike.
    pub priority: u8,
    /// A number from 0 to 1, drawn once for the request.
    pub draw: f64,
}

impl QueueTicket {
    /// Whether it is admitted where the fraction `admitted` of all requests is.
    pub(crate) fn is_admitted(&self, admitted: f64) -> bool {
        let priority = usize::from(self.priority).min(EXPONENT_BY_PRIORITY.len() - 1);
        self.draw <= admitted.powf(EXPONENT_BY_PRIORITY[priority])
    }
}

/// The admitted fraction of one service's requests in one region.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    /// Mean latency target of the requests sent, in seconds.
    latency_target: f64,
    admitted: f64,
    updated_at: f64,
}

impl Default for AdmissionQueue {
    fn default() -> AdmissionQueue {
        AdmissionQueue { latency_target: 0.0, admitted: 1.0, updated_at: 0.0 }
    }
}

impl AdmissionQueue {
    /// A request with this latency target was sent.
    pub fn request_sent(&mut self, latency_target: f64) {
        self.latency_target = if self.latency_target > 0.0 {
            self.latency_target + TARGET_WEIGHT * (latency_target - self.latency_target)
        } else {
            latency_target
        };
    }

    /// The fraction of the requests that is admitted: below 1 where there are more than the hosts can answer in time.
    pub fn admitted_fraction(&self, now: f64) -> f64 {
        (self.admitted + INCREASE_RATE * (now - self.updated_at - ANSWER_VALIDITY).max(0.0)).min(1.0)
    }

    /// An answer took `elapsed` seconds; infinite for a rejection by a full host.
    pub fn observe_time(&mut self, now: f64, elapsed: f64) {
        let aim = HOST_TIME_SHARE * self.latency_target;
        let deviation = (elapsed / aim.max(MIN_HOST_TIME) - 1.0).clamp(-1.0, MAX_DEVIATION);
        let admitted = self.admitted_fraction(now);
        let since_update = (now - self.updated_at).clamp(0.0, ANSWER_VALIDITY);
        let moved = if deviation > 0.0 {
            admitted * (-DECREASE_RATE * deviation * since_update).exp()
        } else {
            admitted - INCREASE_RATE * deviation * since_update
        };
        self.admitted = moved.clamp(MIN_ADMITTED, 1.0);
        self.updated_at = now;
    }

    /// An answer that nobody waits for any more would have taken longer than `elapsed` seconds.
    pub fn observe_time_at_least(&mut self, now: f64, elapsed: f64) {
        if elapsed > HOST_TIME_SHARE * self.latency_target {
            self.observe_time(now, elapsed);
        }
    }
}
