//! The storage handle and the writer thread.

use crate::disk::Disk;
use crate::file_system::FileSystem;
use crate::store::{MIN_CHECKPOINT_BYTES, Store};
use crate::{DurableState, StateChange, StorageError};
use error_stack::{Report, ResultExt};
use std::path::Path;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

/// Number of changes that can wait to be written. A full queue means that the disk hangs: further changes are rejected,
/// and the voter does not send the messages that depend on them.
pub(crate) const QUEUE_CAPACITY: usize = 256;

/// How long the writer waits before it retries a failed write.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// A change in the queue, and the callback for when it is durable.
struct WriteRequest {
    change: StateChange,
    on_durable: Box<dyn FnOnce() + Send>,
}

/// A handle to an open data folder. A dedicated thread performs the writes; it ends when all handles are dropped.
#[derive(Clone)]
pub struct Storage {
    requests: SyncSender<WriteRequest>,
}

impl Storage {
    /// Opens the data folder, creating it if it is missing, and returns the state found there. That state is durable.
    ///
    /// # Errors
    /// [`StorageError::Disk`] if the folder cannot currently be accessed, for example because another process has locked it.
    /// The other errors concern the contents, which are left unaltered; the report names the file or folder.
    pub fn open(folder: &Path) -> Result<(Storage, DurableState), Report<StorageError>> {
        Storage::open_on(FileSystem::default(), folder, RETRY_INTERVAL)
    }

    pub(crate) fn open_on(
        disk: impl Disk<Log: Send> + Send + 'static,
        folder: &Path,
        retry_interval: Duration,
    ) -> Result<(Storage, DurableState), Report<StorageError>> {
        let store = Store::open(disk, folder, MIN_CHECKPOINT_BYTES)?;
        let state = store.state().clone();
        let (requests, queue) = sync_channel(QUEUE_CAPACITY);
        thread::Builder::new()
            .name("storage".into())
            .spawn(move || write_requests(store, &queue, retry_interval))
            .change_context(StorageError::Disk)?;
        Ok((Storage { requests }, state))
    }

    /// Enqueues a change to be persisted. The writer thread calls `on_durable` once the change is synced, in the order
    /// in which changes were enqueued. Returns false and drops the change if 256 changes are already waiting.
    pub fn enqueue(&self, change: StateChange, on_durable: impl FnOnce() + Send + 'static) -> bool {
        self.requests.try_send(WriteRequest { change, on_durable: Box::new(on_durable) }).is_ok()
    }
}

/// Performs write requests until all handles are dropped. Requests that are waiting are written together, as one log
/// entry with one sync.
fn write_requests<D: Disk>(mut store: Store<D>, queue: &Receiver<WriteRequest>, retry_interval: Duration) {
    while let Ok(first) = queue.recv() {
        let batch: Vec<WriteRequest> =
            std::iter::once(first).chain(queue.try_iter().take(QUEUE_CAPACITY)).collect();
        let change = merged_change(&batch);
        if !change.is_empty() {
            store.persist(change, retry_interval);
        }
        batch.into_iter().for_each(|request| (request.on_durable)());
        // After the callbacks, so that only later requests wait for a checkpoint.
        store.checkpoint_if_due();
    }
}

/// Merges the changes of a batch in order.
fn merged_change(batch: &[WriteRequest]) -> StateChange {
    let mut merged = StateChange::default();
    for request in batch {
        merged.merge(request.change.clone());
    }
    merged
}
