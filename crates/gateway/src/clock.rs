//! The clock whose time the admission module decides by.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Furthest time in the future that is converted to an instant, in seconds. Times come from clients, and adding a
/// larger one to an instant could overflow.
const MAX_SECONDS_AHEAD: f64 = 86_400.0;

/// A monotonic clock, set to Unix time once at the start so that all gateways number quota windows alike. Times are in
/// seconds.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix_start: f64,
}

impl Clock {
    /// Starts the clock at the system's time, which is not read again.
    pub fn start() -> Clock {
        let unix_start = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64());
        Clock { start: Instant::now(), unix_start }
    }

    /// Returns the current time.
    pub fn now(&self) -> f64 {
        self.unix_start + self.start.elapsed().as_secs_f64()
    }

    /// Returns a Unix time as a time on this clock. Negative and non-finite times become 0, which means "long ago".
    pub fn clamp_unix_time(&self, time: f64) -> f64 {
        if time.is_finite() { time.max(0.0) } else { 0.0 }
    }

    /// Returns the runtime's instant of a time, limited to [`MAX_SECONDS_AHEAD`] from now.
    pub fn instant(&self, time: f64) -> tokio::time::Instant {
        let ahead =
            (time - self.unix_start).clamp(0.0, self.start.elapsed().as_secs_f64() + MAX_SECONDS_AHEAD);
        (self.start + Duration::from_secs_f64(ahead)).into()
    }
}
