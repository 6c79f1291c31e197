//! What a request at work knows of its client: whether it is still there, and since when it is not. Shared by the
//! connection, which notices, and by everything that works for the request. Does no I/O.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
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

    /// Time since its departure was noticed; none while it is there.
    pub fn gone_for(&self) -> Option<Duration> {
        self.0.departed_at.get().map(|at| at.elapsed())
    }
}
