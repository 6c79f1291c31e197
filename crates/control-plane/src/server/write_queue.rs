//! Queue between the core and the disk: writes in flight, and the backlog for which the disk's own queue had no room.
//!
//! Invariants: a change that the disk did not accept is merged into the next write, so that no message is sent before the state
//! it depends on is durable. No change is lost: the backlog keeps the latest value for each register, each role and the voter
//! set, which is all that the disk keeps.

use archlink_messages::{Message, NodeId};
use archlink_storage::{StateChange, Storage};
use tokio::sync::mpsc;

/// Maximum number of writes that are passed to the disk and not yet reported durable. It exceeds the capacity of the disk's own
/// queue, so it is reached only if this thread does not get to process the reports.
const MAX_WRITES_IN_FLIGHT: usize = 1024;

/// Messages to this node itself or to peers that may be sent once a write is durable.
pub type BlockedMessages = Vec<(NodeId, Message)>;

/// Makes state changes durable.
pub trait StateWriter {
    /// Enqueues a change. `on_durable` is called once the change is synced, in the order of the calls. False if the queue is
    /// full.
    fn enqueue(&self, change: StateChange, on_durable: Box<dyn FnOnce() + Send>) -> bool;
}

impl StateWriter for Storage {
    fn enqueue(&self, change: StateChange, on_durable: Box<dyn FnOnce() + Send>) -> bool {
        Storage::enqueue(self, change, on_durable)
    }
}

/// Passes writes to the disk in order, and keeps a backlog while the disk's queue is full.
pub struct WriteQueue {
    storage: Option<Box<dyn StateWriter>>,
    durable: mpsc::UnboundedSender<BlockedMessages>,
    in_flight: usize,
    /// Changes that the core regards as written but the disk has not accepted yet: at most one acceptor for each register, one
    /// grant for each role and one voter set.
    backlog: Option<StateChange>,
}

impl WriteQueue {
    /// Creates an empty queue. Blocked messages are sent on `durable` once their write is durable, or at once without
    /// `storage`.
    pub fn new(
        storage: Option<Box<dyn StateWriter>>,
        durable: mpsc::UnboundedSender<BlockedMessages>,
    ) -> WriteQueue {
        WriteQueue { storage, durable, in_flight: 0, backlog: None }
    }

    /// Passes a change and the backlog to the disk. If the disk does not accept them, they become the backlog and the blocked
    /// messages are dropped, because their receivers retry.
    pub fn write(&mut self, change: StateChange, blocked: BlockedMessages) {
        let Some(storage) = &self.storage else {
            self.durable.send(blocked).ok();
            return;
        };
        let had_backlog = self.backlog.is_some();
        let change = match self.backlog.take() {
            Some(mut backlog) => {
                backlog.merge(change);
                backlog
            }
            None => change,
        };
        let durable = self.durable.clone();
        let on_durable = Box::new(move || durable.send(blocked).unwrap_or_default());
        if self.in_flight < MAX_WRITES_IN_FLIGHT && storage.enqueue(change.clone(), on_durable) {
            self.in_flight += 1;
            return;
        }
        self.backlog = Some(change);
        if !had_backlog {
            log::warn!("write queue full; blocked messages dropped");
        }
    }

    /// Passes the backlog to the disk again without a new change.
    pub fn retry(&mut self) {
        if self.backlog.is_some() {
            self.write(StateChange::default(), BlockedMessages::new());
        }
    }

    /// Counts a write that the disk has reported as durable.
    pub fn on_durable(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}
