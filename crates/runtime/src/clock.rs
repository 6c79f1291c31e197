//! The monotonic clock of a process, in seconds, the unit in which the cores count time.

use std::time::Duration;
use tokio::time::Instant;

/// The latest time that [`Clock::instant_at`] converts to an instant, in seconds (11 days). A wake-up at infinity, meaning
/// never, needs an instant that can be represented; a caller that wakes up then checks again.
const MAX_SECONDS: f64 = 1e6;

/// A monotonic clock that counts seconds since it was started.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts a clock at 0.
    pub fn start() -> Clock {
        Clock { started: Instant::now() }
    }

    /// Returns the seconds since the clock was started. The value never decreases.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Returns the instant at which this clock reads `seconds`, clamped to between 0 and 11 days.
    pub fn instant_at(&self, seconds: f64) -> Instant {
        self.started + Duration::from_secs_f64(seconds.clamp(0.0, MAX_SECONDS))
    }
}
