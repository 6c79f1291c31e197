//! Supervision of tasks that run for the lifetime of a process: a task that panics is started again, because others wait for
//! what it does.

#[cfg(test)]
mod tests;

use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Pause before a restart, so that a task that panics at once does not take the processor from the others.
const RESTART_PAUSE: Duration = Duration::from_millis(50);

/// Runs a task until it returns, and starts it again whenever it panics. `on_panic` is called before each restart.
///
/// `start_task` has to bring the state that the task shares with others into order: a panic may have left it half changed.
/// This function has to be called within a `LocalSet` or a local runtime.
pub async fn restart_on_panic<F: Future<Output = ()> + 'static>(
    name: &'static str,
    on_panic: impl Fn(&'static str),
    start_task: impl Fn() -> F,
) {
    while spawn_local(start_task()).await.is_err() {
        log::error!(task = name; "task panicked; restarting");
        on_panic(name);
        sleep(RESTART_PAUSE).await;
    }
}
