//! Restarts tasks that panic, so that the gateway keeps running.

#[cfg(test)]
mod tests;

use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Pause before a restart, so that a task that panics immediately does not cause a busy loop.
const RESTART_PAUSE: Duration = Duration::from_millis(10);

/// Runs a task until it returns and restarts it when it panics. A panic loses the task's work in progress, not the
/// gateway.
pub async fn restart_on_panic<F: Future<Output = ()> + 'static>(
    name: &'static str,
    start_task: impl Fn() -> F,
) {
    while spawn_local(start_task()).await.is_err() {
        log::error!("{name} panicked; restarting");
        sleep(RESTART_PAUSE).await;
    }
}
