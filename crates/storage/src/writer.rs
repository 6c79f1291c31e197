//! The handle of the storage and the thread that writes.

use crate::disk::Disk;
use crate::file_system::FileSystem;
use crate::store::{MIN_CHECKPOINT_BYTES, Store};
use crate::{DurableState, StateChange, StorageError};
use error_stack::{Report, ResultExt};
use std::path::Path;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

/// Changes that can wait for the disk. When the queue is full the disk hangs: the change is rejected, and the voter does
/// not send what depends on it.
pub(crate) const QUEUE_CAPACITY: usize = 256;

/// How long the writer waits before it retries a write that the disk refused.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

struct WriteRequest {
    change: StateChange,
    on_durable: Box<dyn FnOnce() + Send>,
}

/// The handle of an open data folder. Writes are done by a thread of their own, which ends when all handles are dropped.
#[derive(Clone)]
pub struct Storage {
    requests: SyncSender<WriteRequest>,
}

impl Storage {
    /// Opens the data folder, creates it where it is missing, and returns the state found there. That state is durable.
    ///
    /// # Errors
    /// [`StorageError::Disk`] where the folder cannot be used at present, also where another process uses it; otherwise the
    /// report names the file. The folder's contents are unaltered after an error about them.
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

    /// Persists a change. `on_durable` is called from the writing thread once the change is synced, in the order of the
    /// calls. Returns false, and drops the change, where 256 changes are waiting already.
    pub fn enqueue(&self, change: StateChange, on_durable: impl FnOnce() + Send + 'static) -> bool {
        self.requests.try_send(WriteRequest { change, on_durable: Box::new(on_durable) }).is_ok()
    }
}

/// Serves requests until all handles are dropped. Requests that are waiting are written as one entry, with one sync.
fn write_requests<D: Disk>(mut store: Store<D>, queue: &Receiver<WriteRequest>, retry_interval: Duration) {
    while let Ok(first) = queue.recv() {
        let batch: Vec<WriteRequest> =
            std::iter::once(first).chain(queue.try_iter().take(QUEUE_CAPACITY)).collect();
        let change = merged_change(&batch);
        if !change.is_empty() {
            store.persist(change, retry_interval);
        }
        batch.into_iter().for_each(|request| (request.on_durable)());
        // After the callbacks: only later requests wait for a checkpoint.
        store.checkpoint_if_due();
    }
}

fn merged_change(batch: &[WriteRequest]) -> StateChange {
    let mut merged = StateChange::default();
    for request in batch {
        merged.merge(request.change.clone());
    }
    merged
}
