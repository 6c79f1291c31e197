//! The one timer of the admission module.

use rustix::time::{
    Itimerspec, TimerfdClockId, TimerfdFlags, TimerfdTimerFlags, Timespec, timerfd_create, timerfd_settime,
};
use std::io;
use std::os::fd::OwnedFd;
use std::time::Duration;
use tokio::io::Interest;
use tokio::io::unix::AsyncFd;

/// Shortest time that is set, in seconds: 0 would disarm the timer.
const MIN_AFTER: f64 = 1e-6;
/// Longest time that is set, in seconds.
const MAX_AFTER: f64 = 3600.0;

/// A timer on a descriptor of its own. It is set several times a request, which the runtime's timers would pay for
/// with wake-ups of the thread, and it is exact to less than the millisecond in which these count.
pub struct Timer(AsyncFd<OwnedFd>);

impl Timer {
    /// Creates the timer, disarmed.
    // The newer constructor wants an unsafe promise that the descriptor stays the same; an owned one does.
    #[expect(deprecated)]
    pub fn new() -> io::Result<Timer> {
        let flags = TimerfdFlags::NONBLOCK | TimerfdFlags::CLOEXEC;
        let timer = timerfd_create(TimerfdClockId::Monotonic, flags)?;
        Ok(Timer(AsyncFd::with_interest(timer, Interest::READABLE)?))
    }

    /// Fires once after so many seconds; replaces the time set before.
    pub fn set(&self, after: f64) {
        let after = Duration::from_secs_f64(after.clamp(MIN_AFTER, MAX_AFTER));
        let it_value = Timespec { tv_sec: after.as_secs() as i64, tv_nsec: i64::from(after.subsec_nanos()) };
        let it_interval = Timespec { tv_sec: 0, tv_nsec: 0 };
        let once = Itimerspec { it_interval, it_value };
        if let Err(e) = timerfd_settime(&self.0, TimerfdTimerFlags::empty(), &once) {
            log::error!("timer: {e}");
        }
    }

    /// Waits until the timer fires.
    pub async fn fired(&self) -> io::Result<()> {
        loop {
            let mut ready = self.0.readable().await?;
            let read = ready.try_io(|fd| Ok(rustix::io::read(fd, &mut [0; 8])?));
            // Read or not, it is not readable until it fires again.
            ready.clear_ready();
            if let Ok(read) = read {
                return read.map(drop);
            }
        }
    }
}
