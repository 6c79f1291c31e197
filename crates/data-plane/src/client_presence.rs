//! Whether the client of a request is still connected, and since when it is not.
//!
//! Shared by the client's connection, which notices a disconnect, and by all that works for the request. Without I/O.

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

/// The presence of one request's client. Clones are of the same client.
#[derive(Clone)]
pub struct ClientPresence(Rc<State>);

impl ClientPresence {
    /// A connected client.
    pub fn new() -> ClientPresence {
        let (disconnect, disconnected_at) = (CancellationToken::new(), Cell::new(None));
        ClientPresence(Rc::new(State { disconnect, disconnected_at }))
    }

    /// Its connection was found closed: wakes all that wait for [`ClientPresence::disconnected`].
    pub fn set_disconnected(&self) {
        self.0.disconnected_at.set(Some(Instant::now()));
        self.0.disconnect.cancel();
    }

    /// Whether its connection was found closed.
    pub fn is_disconnected(&self) -> bool {
        self.0.disconnect.is_cancelled()
    }

    /// Resolves once its connection is found closed.
    pub async fn disconnected(&self) {
        self.0.disconnect.cancelled().await;
    }

    /// The output of `work`; `None` where the client disconnects before it resolves, and `work` is dropped. Where both
    /// are ready at once, the output wins.
    pub async fn unless_disconnected<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            output = work => Some(output),
            _ = self.disconnected() => None,
        }
    }

    /// Takes in what the system knows by now of the client's connection. To be awaited after each wait, before anything
    /// is done for the client: after a freeze of the process another event may have woken the request first.
    pub async fn recheck(&self) {
        // The runtime polls its sockets before it resumes a task that yielded.
        yield_now().await;
    }

    /// Time since the disconnect was noticed; `None` while the client is connected.
    pub fn disconnected_for(&self) -> Option<Duration> {
        self.0.disconnected_at.get().map(|at| at.elapsed())
    }
}
