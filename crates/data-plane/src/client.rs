//! What a request at work knows of its client: whether it is still there, and since when it is not. Shared by the
//! connection, which notices, and by everything that works for the request. Does no I/O.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

struct State {
    departure: CancellationToken,
    departed_at: Cell<Option<Instant>>,
}

/// The client of one request. Clones are of the same client.
#[derive(Clone)]
pub struct Client(Rc<State>);

impl Client {
    /// A client that is there.
    pub fn new() -> Client {
        Client(Rc::new(State { departure: CancellationToken::new(), departed_at: Cell::new(None) }))
    }

    /// Its connection was found closed.
    pub fn depart(&self) {
        self.0.departed_at.set(Some(Instant::now()));
        self.0.departure.cancel();
    }

    /// Was its connection found closed?
    pub fn has_departed(&self) -> bool {
        self.0.departure.is_cancelled()
    }

    /// Ends once its connection is found closed.
    pub async fn departed(&self) {
        self.0.departure.cancelled().await;
    }

    /// What `work` comes to; none where the client leaves before, and `work` is dropped.
    pub async fn unless_departed<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            done = work => Some(done),
            _ = self.departed() => None,
        }
    }

    /// To be called after a wait, before anything is done for the client: what the system knows of its connection by now is
    /// taken in first, also where this process stood still and woke by something else.
    pub async fn look_again(&self) {
        // The runtime asks its sockets for news before it goes on with a task that yielded.
        yield_now().await;
    }

    /// Time since its departure was noticed; none while it is there.
    pub fn gone_for(&self) -> Option<Duration> {
        self.0.departed_at.get().map(|at| at.elapsed())
    }
}
