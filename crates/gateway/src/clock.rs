//! The clock that decisions are made by.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Furthest time ahead that is converted, in seconds. Times come from outside and must stay ones that can be added.
const MAX_AHEAD: f64 = 86_400.0;

/// A monotonic clock, set to Unix time once, so that all gateways number quota windows alike. Times are in seconds.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix_start: f64,
}

impl Clock {
    /// Reads the system's time, for the only time.
    pub fn start() -> Clock {
        let unix_start = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64());
        Clock { start: Instant::now(), unix_start }
    }

    /// The time now.
    pub fn now(&self) -> f64 {
        self.unix_start + self.start.elapsed().as_secs_f64()
    }

    /// A time given as Unix time, which is this clock's. 0 means "long ago" and stays 0.
    pub fn at_unix(&self, time: f64) -> f64 {
        if time.is_finite() { time.max(0.0) } else { 0.0 }
    }

    /// The runtime's instant of a time.
    pub fn instant(&self, time: f64) -> tokio::time::Instant {
        let ahead = (time - self.unix_start).clamp(0.0, self.start.elapsed().as_secs_f64() + MAX_AHEAD);
        (self.start + Duration::from_secs_f64(ahead)).into()
    }
}
