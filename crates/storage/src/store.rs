//! The order of writes in the data folder, as in any write-ahead log with snapshots. Every change has a number; a snapshot
//! covers all changes up to its own number, and the log has those that follow.
//!
//! Invariants:
//!
//! - A change is in memory only once it is durable. Nothing on disk is ever read back over the state in memory.
//! - A change that the log refused may be in it or not. The log is not used again, and the change goes to disk in a snapshot
//!   under the same number: whichever of the two is found, it is the same change.
//! - A snapshot is synced before it is renamed, and its folder before the first entry of the new log. Older logs are removed
//!   after that; whichever of their files survive a power loss, their entries are not above the snapshot's number.

use crate::data_folder::{LEGACY_LOG, SNAPSHOT, TEMPORARY_SNAPSHOT, log_name, log_number};
use crate::disk::{Disk, Log};
use crate::error::WriteError;
use crate::format::{self, ChangeRecord};
use crate::recovery::recover;
use crate::{DurableState, StateChange, StorageError};
use error_stack::{Report, ResultExt};
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The least bytes in a log at which it is replaced by a snapshot: some thousand promises, and little on any disk.
pub const MIN_CHECKPOINT_BYTES: usize = 192 * 1024;

/// A log also has to reach this many times the snapshot's length, so that checkpoints add a quarter to what large values
/// write and do not double it.
const CHECKPOINT_SNAPSHOT_LENGTHS: usize = 4;

/// An open data folder.
pub struct Store<D: Disk> {
    disk: D,
    folder: PathBuf,
    state: DurableState,
    /// The number of the last change in `state`.
    number: u64,
    /// None: the next change goes to disk in a snapshot.
    log: Option<D::Log>,
    /// The number of the log that the next checkpoint creates; the log in use has the one below.
    next_log: u64,
    /// Bytes in the log.
    log_bytes: usize,
    /// Bytes in the log above which it is replaced by a snapshot.
    checkpoint_bytes: usize,
    /// The least `checkpoint_bytes`.
    min_checkpoint_bytes: usize,
}

impl<D: Disk> Store<D> {
    /// Locks and reads the folder, and makes what was read durable, by a checkpoint or, on a full disk, by syncing it.
    ///
    /// # Errors
    /// As [`recover`]; the contents of the folder are unaltered then.
    pub fn open(
        mut disk: D,
        folder: &Path,
        min_checkpoint_bytes: usize,
    ) -> Result<Store<D>, Report<StorageError>> {
        disk.lock(folder).change_context(StorageError::Disk)?;
        let recovered = recover(&disk, folder)?;
        let mut store = Store {
            disk,
            folder: folder.to_path_buf(),
            state: recovered.state,
            number: recovered.number,
            log: None,
            next_log: recovered.next_log,
            log_bytes: 0,
            checkpoint_bytes: 0,
            min_checkpoint_bytes,
        };
        if let Err(error) = store.checkpoint(store.number, &store.state.clone()) {
            let folder = folder.display();
            log::warn!(folder:%; "disk refused: {error}; goes on from what is there");
            // A full disk may still sync.
            let synced = recovered.sources.iter().try_for_each(|path| store.disk.sync(path));
            synced.change_context(StorageError::Disk)?;
        }
        Ok(store)
    }

    /// The state; all of it is durable.
    pub fn state(&self) -> &DurableState {
        &self.state
    }

    /// Makes a change durable, however long the disk refuses; retries after `retry_interval`.
    pub fn persist(&mut self, change: StateChange, retry_interval: Duration) {
        let record = ChangeRecord::new(&self.state, change);
        let number = self.number + 1;
        let mut state = self.state.clone();
        record.clone().apply_to(&mut state);
        if let Err(error) = self.append(number, &record) {
            self.log_refusal(number, &error);
            // Nothing is appended to this log any more.
            while let Err(error) = self.checkpoint(number, &state) {
                self.log_refusal(number, &error);
                std::thread::sleep(retry_interval);
            }
        }
        (self.number, self.state) = (number, state);
    }

    /// Replaces a log that has grown long by a snapshot. Where the disk refuses, the log stays in use.
    pub fn checkpoint_if_due(&mut self) {
        if self.log_bytes > self.checkpoint_bytes
            && let Err(error) = self.checkpoint(self.number, &self.state.clone())
        {
            let folder = self.folder.display();
            log::warn!(folder:%, number = self.number, log_bytes = self.log_bytes; "disk refused a snapshot: {error}");
            self.checkpoint_bytes = self.log_bytes + self.min_checkpoint_bytes;
        }
    }

    fn log_refusal(&self, number: u64, error: &io::Error) {
        let folder = self.folder.display();
        log::warn!(folder:%, number; "disk refused: {error}");
    }

    fn append(&mut self, number: u64, record: &ChangeRecord) -> io::Result<()> {
        let log = self.log.as_mut().ok_or(WriteError::NoLog)?;
        let bytes = format::encode_entry(number, record).map_err(WriteError::Encode)?;
        log.append(&bytes)?;
        self.log_bytes += bytes.len();
        Ok(())
    }

    /// Writes a snapshot and begins a new log. After an error the old snapshot and log are as they were, or the new snapshot
    /// is in place without being known to be durable.
    fn checkpoint(&mut self, number: u64, state: &DurableState) -> io::Result<()> {
        let snapshot = format::encode_snapshot(number, state).map_err(WriteError::Encode)?;
        match self.replace_snapshot(&snapshot) {
            Ok(log) => {
                self.log = log;
                self.next_log += 1;
                self.log_bytes = 0;
                self.checkpoint_bytes =
                    self.min_checkpoint_bytes.max(CHECKPOINT_SNAPSHOT_LENGTHS * snapshot.len());
                self.remove_old_logs();
                Ok(())
            }
            Err(error) => {
                self.remove_unfinished();
                Err(error)
            }
        }
    }

    /// Written under a temporary name, synced, renamed, and the folder synced: either the old snapshot or the new one is
    /// there, complete. The sync of the folder also makes the new log's name durable. A log that cannot be created is no
    /// error.
    fn replace_snapshot(&self, snapshot: &[u8]) -> io::Result<Option<D::Log>> {
        let temporary = self.folder.join(TEMPORARY_SNAPSHOT);
        let log_folder = self.folder.join(log_name(self.next_log));
        self.disk.write(&temporary, snapshot)?;
        self.disk.sync(&temporary)?;
        // Of an earlier attempt; nothing in it was ever reported as durable.
        self.disk.remove(&log_folder)?;
        let log = self.disk.create_log(&log_folder).inspect_err(|error| {
            let log_folder = log_folder.display();
            log::warn!(log_folder:%; "disk refused a log: {error}");
        });
        self.disk.rename(&temporary, &self.folder.join(SNAPSHOT))?;
        self.disk.sync(&self.folder)?;
        Ok(log.ok())
    }

    /// Removes what a failed checkpoint left: a full disk needs the space.
    fn remove_unfinished(&self) {
        for name in [log_name(self.next_log), TEMPORARY_SNAPSHOT.to_string()] {
            self.disk.remove(&self.folder.join(name)).ok();
        }
    }

    /// Removes the logs that the snapshot covers. One that cannot be removed is retried after the next checkpoint.
    fn remove_old_logs(&self) {
        for name in self.disk.list(&self.folder).unwrap_or_default() {
            let is_old_log = log_number(&name).is_some_and(|number| number + 1 != self.next_log);
            if name == LEGACY_LOG || is_old_log {
                self.disk.remove(&self.folder.join(name)).ok();
            }
        }
    }
}
