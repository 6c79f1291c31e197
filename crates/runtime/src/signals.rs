//! Signals of the operating system: SIGTERM ends the process, SIGHUP has it read its settings again.

use std::io;
use tokio::signal::unix::{SignalKind, signal};

/// A future that resolves at SIGTERM; each SIGHUP until then calls `reload`.
///
/// Both signals are caught from the call on, before the future is first polled.
///
/// # Errors
///
/// Where a handler can't be installed.
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
