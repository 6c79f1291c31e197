//! What all connections of clients share: the serving stage, the bounds, and the counts of what is open.

use crate::data_plane::DataPlane;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::watch;

/// The stages of a data node's life towards its clients, in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd)]
pub enum ServingStage {
    /// Connections are accepted and kept.
    Serving,
    /// Connections are accepted; each closes with its next response.
    Draining,
    /// No connection is accepted, no request is read; those in flight are answered.
    Closed,
}

/// The clients' side of a data node.
pub struct ClientServer {
    /// The state that all requests share.
    pub data_plane: Rc<DataPlane>,
    /// The stage, as the shutdown sets it.
    pub stage: watch::Receiver<ServingStage>,
    /// Bytes left for large bodies.
    pub body_memory: Rc<Cell<usize>>,
    /// The largest number of open connections.
    pub max_connections: usize,
    /// Open connections of clients.
    pub open_connections: Cell<usize>,
    /// Requests that are not answered yet.
    pub requests_in_flight: Cell<usize>,
}

impl ClientServer {
    /// Nothing open, nothing in flight.
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

/// Counts one in a gauge for as long as it lives.
pub struct CountGuard<'a>(&'a Cell<usize>);

impl CountGuard<'_> {
    /// Counts one more in `gauge`.
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
