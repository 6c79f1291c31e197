//! Load shedding: while hosts are full, requests that would be answered late are rejected at once, and their clients
//! are told when to retry.
//!
//! For each service and region the admitted fraction of the requests is adjusted until responses take `HOST_TIME_SHARE`
//! (0.9) of the latency target (`docs/system.md`, "Load shedding"). The adjustment is proportional to time and not to
//! the number of responses, because a data node that admits few requests gets few responses. Additive increase and
//! multiplicative decrease make data nodes with much and with little traffic converge to the same fraction.

/// Fraction of the latency target that may be spent at a host: a request admitted beyond that is answered late, and
/// delays those behind it.
const HOST_TIME_SHARE: f64 = 0.9;
/// Lower bound in seconds of the target time at a host: the mean latency target is 0 until the first request is sent.
const MIN_HOST_TIME: f64 = 1e-3;
/// Rate per second at which the admitted fraction decays while responses take twice the target time.
const DECREASE_RATE: f64 = 4.0;
/// Increase of the admitted fraction per second while responses take no time at all.
const INCREASE_RATE: f64 = 1.2;
/// Upper bound of the relative deviation of one response time above the target time. A rejection by a full host counts
/// as this deviation.
const MAX_DEVIATION: f64 = 1.5;
/// Seconds of adjustment that one response accounts for at most. After this long without a response the admitted
/// fraction increases by itself.
const RESPONSE_VALIDITY: f64 = 0.5;
/// Lower bound of the admitted fraction: some requests have to get through to detect that hosts have room again.
const MIN_ADMITTED_FRACTION: f64 = 0.02;
/// Weight of one request's latency target in the moving average, which spans about twenty requests.
const LATENCY_TARGET_WEIGHT: f64 = 0.06;
/// Exponent of the admitted fraction by priority, highest priority first: priority 0 is admitted by the fraction's
/// square root.
const EXPONENT_BY_PRIORITY: [f64; 3] = [0.5, 1.0, 1.5];

/// The properties of a request that decide whether it is shed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShedCandidate {
    /// 0 is the highest priority; all values from 2 on are the lowest.
    pub priority: u8,
    /// A random number from 0 to 1, drawn once per request.
    pub draw: f64,
}

impl ShedCandidate {
    /// Whether the request is among the `admitted_fraction` of requests that are admitted.
    pub(crate) fn is_admitted(&self, admitted_fraction: f64) -> bool {
        let priority = usize::from(self.priority).min(EXPONENT_BY_PRIORITY.len() - 1);
        self.draw <= admitted_fraction.powf(EXPONENT_BY_PRIORITY[priority])
    }
}

/// Controls the admitted fraction of one service's requests in one region.
#[derive(Clone, Debug)]
pub struct LoadShedder {
    /// Moving average of the latency targets of sent requests, in seconds.
    latency_target: f64,
    admitted_fraction: f64,
    updated_at: f64,
}

impl Default for LoadShedder {
    fn default() -> LoadShedder {
        LoadShedder { latency_target: 0.0, admitted_fraction: 1.0, updated_at: 0.0 }
    }
}

impl LoadShedder {
    /// Records that a request with this latency target was sent.
    pub fn request_sent(&mut self, latency_target: f64) {
        self.latency_target = if self.latency_target > 0.0 {
            self.latency_target + LATENCY_TARGET_WEIGHT * (latency_target - self.latency_target)
        } else {
            latency_target
        };
    }

    /// The fraction of requests to admit: below 1 while there are more than the hosts can answer in time.
    pub fn admitted_fraction(&self, now: f64) -> f64 {
        (self.admitted_fraction + INCREASE_RATE * (now - self.updated_at - RESPONSE_VALIDITY).max(0.0))
            .min(1.0)
    }

    /// Records a response that took `elapsed` seconds; infinite for a rejection by a full host.
    pub fn observe_response_time(&mut self, now: f64, elapsed: f64) {
        let target_time = HOST_TIME_SHARE * self.latency_target;
        let deviation = (elapsed / target_time.max(MIN_HOST_TIME) - 1.0).clamp(-1.0, MAX_DEVIATION);
        let before = self.admitted_fraction(now);
        let since_update = (now - self.updated_at).clamp(0.0, RESPONSE_VALIDITY);
        let adjusted = if deviation > 0.0 {
            before * (-DECREASE_RATE * deviation * since_update).exp()
        } else {
            before - INCREASE_RATE * deviation * since_update
        };
        self.admitted_fraction = adjusted.clamp(MIN_ADMITTED_FRACTION, 1.0);
        self.updated_at = now;
    }

    /// Records a request that was cancelled after `elapsed` seconds: its response would have taken longer.
    pub fn observe_min_response_time(&mut self, now: f64, elapsed: f64) {
        if elapsed > HOST_TIME_SHARE * self.latency_target {
            self.observe_response_time(now, elapsed);
        }
    }
}
