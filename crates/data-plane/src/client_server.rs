//! The state that all client connections share: the serving stage, limits, and counts of connections and requests.

use crate::data_plane::DataPlane;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::watch;

/// The stages in which a data node serves clients, in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd)]
pub enum ServingStage {
    /// Connections are accepted and kept open.
    Serving,
    /// Connections are accepted; each closes after its next response.
    Draining,
    /// No connection is accepted and no further request is read; requests in flight are answered.
    Closed,
}

/// The server for clients' connections.
pub struct ClientServer {
    /// The state that all requests share.
    pub data_plane: Rc<DataPlane>,
    /// The current stage, which the shutdown advances.
    pub stage: watch::Receiver<ServingStage>,
    /// Unreserved memory for large bodies, in bytes.
    pub body_memory: Rc<Cell<usize>>,
    /// Maximum number of open client connections.
    pub max_connections: usize,
    /// Number of open client connections.
    pub open_connections: Cell<usize>,
    /// Number of requests that are not answered yet.
    pub requests_in_flight: Cell<usize>,
}

impl ClientServer {
    /// Creates a server without open connections.
    pub fn new(
        data_plane: Rc<DataPlane>,
        stage: watch::Receiver<ServingStage>,
        body_memory: Rc<Cell<usize>>,
        max_connections: usize,
    ) -> ClientServer {
        let (open_connections, requests_in_flight) = (Cell::new(0), Cell::new(0));
        ClientServer { data_plane, stage, body_memory, max_connections, open_connections, requests_in_flight }
    }
}

/// Increments a gauge until it is dropped.
pub struct CountGuard<'a>(&'a Cell<usize>);

impl CountGuard<'_> {
    /// Increments `gauge`.
    pub fn new(gauge: &Cell<usize>) -> CountGuard<'_> {
        gauge.set(gauge.get() + 1);
        CountGuard(gauge)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
