//! The admission module's only timer.

use rustix::time::{
    Itimerspec, TimerfdClockId, TimerfdFlags, TimerfdTimerFlags, Timespec, timerfd_create, timerfd_settime,
};
use std::io;
use std::os::fd::OwnedFd;
use std::time::Duration;
use tokio::io::Interest;
use tokio::io::unix::AsyncFd;

/// Shortest delay that is set, in seconds; 0 would disarm the timer.
const MIN_DELAY: f64 = 1e-6;
/// Longest delay that is set, in seconds.
const MAX_DELAY: f64 = 3600.0;

/// A timer on a timer descriptor (timerfd). It is set several times per request; the runtime's timers would wake the
/// thread for each of these, and their resolution is only a millisecond.
pub struct Timer(AsyncFd<OwnedFd>);

impl Timer {
    /// Creates the timer, disarmed.
    // The replacement of the deprecated constructor is unsafe: it requires that the descriptor stays the same. An owned
    // descriptor does.
    #[expect(deprecated)]
    pub fn new() -> io::Result<Timer> {
        let flags = TimerfdFlags::NONBLOCK | TimerfdFlags::CLOEXEC;
        let timer = timerfd_create(TimerfdClockId::Monotonic, flags)?;
        Ok(Timer(AsyncFd::with_interest(timer, Interest::READABLE)?))
    }

    /// Sets the timer to fire once after `after` seconds; replaces an earlier setting.
    pub fn set(&self, after: f64) {
        let after = Duration::from_secs_f64(after.clamp(MIN_DELAY, MAX_DELAY));
        let it_value = Timespec { tv_sec: after.as_secs() as i64, tv_nsec: i64::from(after.subsec_nanos()) };
        let it_interval = Timespec { tv_sec: 0, tv_nsec: 0 };
        let once = Itimerspec { it_interval, it_value };
        if let Err(error) = timerfd_settime(&self.0, TimerfdTimerFlags::empty(), &once) {
            log::error!("timer: cannot set: {error}");
        }
    }

    /// Waits until the timer fires.
    pub async fn fired(&self) -> io::Result<()> {
        loop {
            let mut ready = self.0.readable().await?;
            let read = ready.try_io(|fd| Ok(rustix::io::read(fd, &mut [0; 8])?));
            // Whether or not the read succeeded, the timer is not readable until it fires again.
            ready.clear_ready();
            if let Ok(read) = read {
                return read.map(drop);
            }
        }
    }
}
