//! Handling of signals: SIGTERM ends the process, and SIGHUP makes it reload its settings.

use std::io;
use tokio::signal::unix::{SignalKind, signal};

/// Returns a future that resolves on SIGTERM and calls `reload` on each SIGHUP until then.
///
/// Both signal handlers are installed by this call, before the future is first polled.
///
/// # Errors
///
/// If a signal handler cannot be installed.
pub fn until_terminated(reload: impl Fn()) -> io::Result<impl Future<Output = ()>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    Ok(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => return,
                _ = hangup.recv() => reload(),
            }
        }
    })
}
