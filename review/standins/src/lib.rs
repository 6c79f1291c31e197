//! Stand-ins that follow the operators' pages: clients, hosts, the platform and the operator, all on loopback addresses,
//! and a deployment that starts the project's programs as separate processes.

pub mod deployment;
pub mod host;
pub mod http;
pub mod platform;
pub mod record;

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Locks a mutex, also after a panic of another thread.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sleeps until the time at `seconds` after `start`.
pub fn sleep_until(start: Instant, seconds: f64) {
    let at = start + Duration::from_secs_f64(seconds);
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Whether the script is to cause the disruption (`TROUBLE` is not 0).
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
