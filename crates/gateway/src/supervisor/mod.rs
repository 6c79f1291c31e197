//! Keeps the gateway running when one of its tasks panics.

#[cfg(test)]
mod tests;

use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Wait before a restart, so that a task that panics at once does not spin.
const RESTART_PAUSE: Duration = Duration::from_millis(10);

/// Runs a task and starts it again where it panics: a panic costs what the task had in hand, and not the gateway.
pub async fn restart_on_panic<F: Future<Output = ()> + 'static>(name: &'static str, start: impl Fn() -> F) {
    while spawn_local(start()).await.is_err() {
        log::error!("{name} panicked; restarting");
        sleep(RESTART_PAUSE).await;
    }
}
