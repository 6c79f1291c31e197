//! Between the core and the disk: writes under way, and what the disk's queue had no room for.
//!
//! Invariants: a change that was not accepted goes with the next one, so no message leaves ahead of what is on disk; no
//! change is dropped: of each register, each role and the voter set the newest is kept, which is all that the disk keeps.

use archlink_messages::{Message, NodeId};
use archlink_storage::{StateChange, Storage};
use tokio::sync::mpsc;

/// Writes given to the disk and not yet reported durable. More than the disk's own queue holds means that this thread does
/// not get to process the reports.
const MAX_WRITES_IN_FLIGHT: usize = 1024;

/// Messages to this node itself or to peers that may leave once a write is durable.
pub type BlockedMessages = Vec<(NodeId, Message)>;

/// Where state changes are made durable.
pub trait StateWriter {
    /// Enqueues a change; `on_durable` is called once it is synced, in the order of the calls. False where the queue is full.
    fn enqueue(&self, change: StateChange, on_durable: Box<dyn FnOnce() + Send>) -> bool;
}

impl StateWriter for Storage {
    fn enqueue(&self, change: StateChange, on_durable: Box<dyn FnOnce() + Send>) -> bool {
        Storage::enqueue(self, change, on_durable)
    }
}

/// Writes in their order, and the change that waits for room.
pub struct WriteQueue {
    storage: Option<Box<dyn StateWriter>>,
    durable: mpsc::UnboundedSender<BlockedMessages>,
    in_flight: usize,
    /// What the core takes for written and no disk has: at most one acceptor a register, one grant a role and one voter set.
    backlog: Option<StateChange>,
}

impl WriteQueue {
    /// An empty queue to `storage`; messages come back on `durable`, at once where there is no storage.
    pub fn new(
        storage: Option<Box<dyn StateWriter>>,
        durable: mpsc::UnboundedSender<BlockedMessages>,
    ) -> WriteQueue {
        WriteQueue { storage, durable, in_flight: 0, backlog: None }
    }

    /// Gives a change to the disk, with all that waits from before. Where it has to wait itself the messages that depend on
    /// it are dropped: whoever asked retries.
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
            log::warn!("write queue full; messages held back");
        }
    }

    /// Gives the backlog to the disk again, also where nothing new is to be written.
    pub fn retry(&mut self) {
        if self.backlog.is_some() {
            self.write(StateChange::default(), BlockedMessages::new());
        }
    }

    /// The disk has reported one write as durable.
    pub fn on_durable(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}
