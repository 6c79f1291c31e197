//! How long a request has: by its client's `Time-Remaining`, its route's timeout, and a bound of our own.

use archlink_http::codec::HeaderValue;
use archlink_runtime::Clock;
use tokio::time::Instant;

/// Seconds that a request has at most, and where neither its client nor its route says how long.
const MAX_TIME: f64 = 60.0;

/// Seconds that the client waits, by its `Time-Remaining` header in milliseconds; `None` where that is malformed.
pub fn client_time(header: &HeaderValue) -> Option<f64> {
    match header {
        HeaderValue::Absent => Some(MAX_TIME),
        HeaderValue::Ambiguous => None,
        HeaderValue::Once(text) => {
            let millis = text.parse::<f64>().ok()?;
            (millis.is_finite() && millis >= 0.0).then_some(millis / 1e3)
        }
    }
}

/// The point in time at which a request ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Deadline {
    /// Seconds from the request's start to its end.
    pub time_limit: f64,
    /// Seconds of the process clock.
    at: f64,
}

impl Deadline {
    /// The deadline of a request that started at `started`, in seconds of the process clock.
    pub fn new(started: f64, client_time: f64, route_timeout: f64) -> Deadline {
        let time_limit = client_time.min(route_timeout).min(MAX_TIME);
        Deadline { time_limit, at: started + time_limit }
    }

    /// Seconds left at `now`; negative once it has passed.
    pub fn remaining(self, now: f64) -> f64 {
        self.at - now
    }

    /// The deadline as the runtime's instant.
    pub fn instant(self, clock: &Clock) -> Instant {
        clock.instant_at(self.at)
    }
}

/// The `Time-Remaining` that a host is given, in milliseconds: what is left until `deadline`, 1 at least.
pub fn remaining_millis(deadline: Instant) -> u128 {
    (deadline - Instant::now()).as_millis().max(1)
}
