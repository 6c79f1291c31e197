//! Probes of hosts that get no requests because of their service time as it was last measured.
//!
//! A host whose service time leaves no chance of a response in time is passed over, also while it is idle. Nothing would
//! ever correct that estimate, though the host may have been slow for a moment only. So such a host is sent a request from
//! time to time, one at a time, and the result replaces the estimate. Hosts that are too slow because of their load need no
//! probe: estimates of the load fade by themselves.

/// Seconds without a request after which a host is probed while no other host is available for the request.
const INTERVAL_WITHOUT_ALTERNATIVE: f64 = 0.5;
/// Seconds without a request after which a host is probed while other hosts are available.
const INTERVAL_WITH_ALTERNATIVE: f64 = 10.0;
/// Seconds between two probes of one pool, which bounds the requests that are answered late while all hosts are slow.
const POOL_INTERVAL: f64 = 0.1;
/// Least part of its latency target that a request has left to be used as a probe: with less, no host would be in time.
const MIN_REMAINING_FRACTION: f64 = 0.5;

/// Whether a request with this latency target and remaining time may be a probe.
pub fn is_suitable(latency_target: f64, remaining: f64) -> bool {
    remaining >= MIN_REMAINING_FRACTION * latency_target
}

/// The probes of one pool.
#[derive(Debug)]
pub struct PoolProbes {
    last_at: f64,
}

impl Default for PoolProbes {
    fn default() -> PoolProbes {
        PoolProbes { last_at: f64::NEG_INFINITY }
    }
}

impl PoolProbes {
    /// Whether another host of the pool may be probed.
    pub fn is_due(&self, now: f64) -> bool {
        now >= self.last_at + POOL_INTERVAL
    }

    /// Records that a host is probed.
    pub fn probed(&mut self, now: f64) {
        self.last_at = now;
    }
}

/// The probes of one host. Times are seconds on the monotonic clock.
#[derive(Debug)]
pub struct HostProbes {
    /// When a request was last sent, or the host was first listed.
    last_sent_at: f64,
    /// Whether the host was selected for a probe that has not been sent.
    is_selected: bool,
    /// Whether the request in flight is a probe.
    is_in_flight: bool,
}

impl HostProbes {
    /// Creates the state of a host that is first listed now.
    pub fn new(now: f64) -> HostProbes {
        HostProbes { last_sent_at: now, is_selected: false, is_in_flight: false }
    }

    /// Whether a host without requests in flight may be probed.
    pub fn is_due(&self, now: f64, has_alternative: bool) -> bool {
        let interval = if has_alternative { INTERVAL_WITH_ALTERNATIVE } else { INTERVAL_WITHOUT_ALTERNATIVE };
        now >= self.last_sent_at + interval
    }

    /// Records that the host was selected for a probe.
    pub fn selected(&mut self) {
        self.is_selected = true;
    }

    /// Records that a request is sent: the probe, if the host was selected for one.
    pub fn request_sent(&mut self, now: f64) {
        self.last_sent_at = now;
        self.is_in_flight |= std::mem::take(&mut self.is_selected);
    }

    /// Records the end of a request; returns whether it was the probe.
    pub fn request_ended(&mut self) -> bool {
        std::mem::take(&mut self.is_in_flight)
    }
}
