//! The monotonic clock of a process, in seconds as the cores count time.

use std::time::Duration;
use tokio::time::Instant;

/// Latest time that [`Clock::instant_at`] turns into an instant, in seconds (11 days): a wake-up "never" (infinity) needs
/// an instant that can be represented, and the caller looks again then.
const MAX_TIME: f64 = 1e6;

/// Seconds since the process started, on the monotonic clock.
#[derive(Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// A clock that is at 0 now.
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    /// Seconds since the start; never goes back.
    pub fn now(&self) -> f64 {
        self.0.elapsed().as_secs_f64()
    }

    /// The instant at which this clock shows `seconds`, limited to 0 and 11 days.
    pub fn instant_at(&self, seconds: f64) -> Instant {
        self.0 + Duration::from_secs_f64(seconds.clamp(0.0, MAX_TIME))
    }
}
