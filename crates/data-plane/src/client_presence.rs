//! Tracks whether the client of a request is still connected, and when it disconnected.
//!
//! Shared by the client's connection, which detects the disconnect, and by everything that works on the request. This
//! module does no I/O.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

struct State {
    disconnect: CancellationToken,
    disconnected_at: Cell<Option<Instant>>,
}

/// Whether the client of one request is connected. Clones refer to the same client.
#[derive(Clone)]
pub struct ClientPresence(Rc<State>);

impl ClientPresence {
    /// Creates the presence of a connected client.
    pub fn new() -> ClientPresence {
        let (disconnect, disconnected_at) = (CancellationToken::new(), Cell::new(None));
        ClientPresence(Rc::new(State { disconnect, disconnected_at }))
    }

    /// Records that the client has disconnected, and wakes all tasks that wait for [`ClientPresence::disconnected`].
    pub fn set_disconnected(&self) {
        self.0.disconnected_at.set(Some(Instant::now()));
        self.0.disconnect.cancel();
    }

    /// Whether the client is known to have disconnected.
    pub fn is_disconnected(&self) -> bool {
        self.0.disconnect.is_cancelled()
    }

    /// Resolves once the client is known to have disconnected.
    pub async fn disconnected(&self) {
        self.0.disconnect.cancelled().await;
    }

    /// Returns the output of `work`, or drops `work` and returns `None` if the client disconnects first. If both are ready
    /// at the same time, the output is returned.
    pub async fn unless_disconnected<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            output = work => Some(output),
            _ = self.disconnected() => None,
        }
    }

    /// Lets the client's connection detect a disconnect that the operating system already knows of. To be awaited after
    /// each wait, before anything is done for the client: if the process was suspended, another event may have woken the
    /// request before the disconnect was detected.
    pub async fn refresh(&self) {
        // The runtime polls its sockets before it resumes a task that yielded.
        yield_now().await;
    }

    /// Time since the disconnect was detected; `None` while the client is connected.
    pub fn disconnected_for(&self) -> Option<Duration> {
        self.0.disconnected_at.get().map(|at| at.elapsed())
    }
}
