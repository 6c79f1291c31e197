//! Request deadlines: the least of the client's `Time-Remaining`, the route's timeout and a fixed maximum.

use archlink_http::codec::HeaderValue;
use archlink_runtime::Clock;
use tokio::time::Instant;

/// Maximum time limit of a request in seconds; also the client's timeout if the request has no `Time-Remaining`.
const MAX_TIMEOUT: f64 = 60.0;

/// Seconds that the client waits, from its `Time-Remaining` header in milliseconds; `None` if the header is malformed.
pub fn client_timeout(header: &HeaderValue) -> Option<f64> {
    match header {
        HeaderValue::Absent => Some(MAX_TIMEOUT),
        HeaderValue::Ambiguous => None,
        HeaderValue::Once(text) => {
            let millis = text.parse::<f64>().ok()?;
            (millis.is_finite() && millis >= 0.0).then_some(millis / 1e3)
        }
    }
}

/// The time by which a request has to be answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Deadline {
    /// Seconds from the start of the request to the deadline.
    pub time_limit: f64,
    /// Seconds on the process clock.
    at: f64,
}

impl Deadline {
    /// The deadline of a request that started at `started` (seconds on the process clock).
    pub fn new(started: f64, client_timeout: f64, route_timeout: f64) -> Deadline {
        let time_limit = client_timeout.min(route_timeout).min(MAX_TIMEOUT);
        Deadline { time_limit, at: started + time_limit }
    }

    /// Seconds from `now` to the deadline; negative once it has passed.
    pub fn remaining(self, now: f64) -> f64 {
        self.at - now
    }

    /// The deadline as an instant of the runtime.
    pub fn instant(self, clock: &Clock) -> Instant {
        clock.instant_at(self.at)
    }
}

/// The `Time-Remaining` sent to a host: the milliseconds until `deadline`, but at least 1.
pub fn remaining_millis(deadline: Instant) -> u128 {
    (deadline - Instant::now()).as_millis().max(1)
}
