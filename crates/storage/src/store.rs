//! The order of writes in the data folder: a write-ahead log with snapshots. Every change has a sequence number; a snapshot
//! covers all changes up to its own sequence number, and the log has the changes after it.
//!
//! Invariants:
//!
//! - A change is applied to the state in memory only once it is durable. After startup the state in memory is never
//!   replaced by what is on disk.
//! - After a failed append it is unknown whether the entry is in the log. The log is not used again, and the change is
//!   written in a snapshot under the same sequence number, so recovery finds the same change in either place.
//! - A snapshot is synced before it is renamed, and its folder is synced before the first entry of the new log is
//!   written. Older logs are removed after that. Entries in any of their files that survive a power loss are not above
//!   the snapshot's sequence number.

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

/// The minimum log length above which the log is replaced by a snapshot. It holds some thousand promises and is small on any
/// disk.
pub const MIN_CHECKPOINT_BYTES: usize = 192 * 1024;

/// A log also has to exceed this many times the snapshot's length before it is replaced. With large values, checkpoints then
/// add a quarter to the bytes written instead of doubling them.
const MIN_LOG_TO_SNAPSHOT_RATIO: usize = 4;

/// An open data folder and the state in it.
pub struct Store<D: Disk> {
    disk: D,
    folder: PathBuf,
    state: DurableState,
    /// The sequence number of the last change in `state`.
    sequence_number: u64,
    /// The log in use. Without one, the next change is written in a snapshot.
    log: Option<D::Log>,
    /// The number of the log that the next checkpoint creates. The log in use has the number before it.
    next_log_number: u64,
    /// Bytes of entries in the log.
    log_bytes: usize,
    /// The log is replaced by a snapshot when `log_bytes` exceeds this.
    checkpoint_threshold_bytes: usize,
    /// The minimum of `checkpoint_threshold_bytes` after a checkpoint.
    min_checkpoint_bytes: usize,
}

impl<D: Disk> Store<D> {
    /// Locks and reads the folder, and makes the state that was read durable: by a checkpoint, or, if the checkpoint
    /// fails, by syncing the files that were read.
    ///
    /// # Errors
    /// If the folder cannot be locked, read or synced, or its contents are invalid as in [`recover`]. The contents are
    /// unaltered after an error of [`recover`].
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
            sequence_number: recovered.sequence_number,
            log: None,
            next_log_number: recovered.next_log_number,
            log_bytes: 0,
            checkpoint_threshold_bytes: 0,
            min_checkpoint_bytes,
        };
        if let Err(error) = store.checkpoint(store.sequence_number, &store.state.clone()) {
            let folder = folder.display();
            log::warn!(folder:%; "checkpoint at startup failed: {error}; using the existing files");
            // On a full disk, a sync may still succeed.
            let synced = recovered.source_paths.iter().try_for_each(|path| store.disk.sync(path));
            synced.change_context(StorageError::Disk)?;
        }
        Ok(store)
    }

    /// The current state. All of it is durable.
    pub fn state(&self) -> &DurableState {
        &self.state
    }

    /// Makes a change durable and applies it to the state. Blocks while writes fail, with a retry every `retry_interval`.
    pub fn persist(&mut self, change: StateChange, retry_interval: Duration) {
        let record = ChangeRecord::new(&self.state, change);
        let sequence_number = self.sequence_number + 1;
        let mut next_state = self.state.clone();
        record.clone().apply_to(&mut next_state);
        if let Err(error) = self.append(sequence_number, &record) {
            self.log_write_failure(sequence_number, &error);
            // The log must not be used after a failed append; a checkpoint replaces it.
            while let Err(error) = self.checkpoint(sequence_number, &next_state) {
                self.log_write_failure(sequence_number, &error);
                std::thread::sleep(retry_interval);
            }
        }
        (self.sequence_number, self.state) = (sequence_number, next_state);
    }

    /// Replaces the log by a snapshot if the log is long enough. If that fails, the log stays in use.
    pub fn checkpoint_if_due(&mut self) {
        if self.log_bytes > self.checkpoint_threshold_bytes
            && let Err(error) = self.checkpoint(self.sequence_number, &self.state.clone())
        {
            let folder = self.folder.display();
            log::warn!(folder:%, number = self.sequence_number, log_bytes = self.log_bytes; "checkpoint failed: {error}");
            self.checkpoint_threshold_bytes = self.log_bytes + self.min_checkpoint_bytes;
        }
    }

    fn log_write_failure(&self, sequence_number: u64, error: &io::Error) {
        let folder = self.folder.display();
        log::warn!(folder:%, number = sequence_number; "write failed: {error}");
    }

    fn append(&mut self, sequence_number: u64, record: &ChangeRecord) -> io::Result<()> {
        let log = self.log.as_mut().ok_or(WriteError::NoLog)?;
        let bytes = format::encode_entry(sequence_number, record).map_err(WriteError::Encode)?;
        log.append(&bytes)?;
        self.log_bytes += bytes.len();
        Ok(())
    }

    /// Writes a snapshot and starts a new log. After an error, either the old snapshot and log are unaltered, or the
    /// new snapshot is in place but may not be durable.
    fn checkpoint(&mut self, sequence_number: u64, state: &DurableState) -> io::Result<()> {
        let snapshot = format::encode_snapshot(sequence_number, state).map_err(WriteError::Encode)?;
        match self.replace_snapshot(&snapshot) {
            Ok(log) => {
                self.log = log;
                self.next_log_number += 1;
                self.log_bytes = 0;
                self.checkpoint_threshold_bytes =
                    self.min_checkpoint_bytes.max(MIN_LOG_TO_SNAPSHOT_RATIO * snapshot.len());
                self.remove_old_logs();
                Ok(())
            }
            Err(error) => {
                self.remove_unfinished_checkpoint();
                Err(error)
            }
        }
    }

    /// Writes the snapshot under a temporary name, syncs it, renames it and syncs the folder, so that at any time
    /// either the old or the new snapshot is there, complete. The sync of the folder also makes the new log's directory
    /// entry durable. Returns `None` if the log cannot be created.
    fn replace_snapshot(&self, snapshot: &[u8]) -> io::Result<Option<D::Log>> {
        let temporary = self.folder.join(TEMPORARY_SNAPSHOT);
        let log_folder = self.folder.join(log_name(self.next_log_number));
        self.disk.write(&temporary, snapshot)?;
        self.disk.sync(&temporary)?;
        // A log of an earlier attempt may be left over; nothing in it was reported as durable.
        self.disk.remove(&log_folder)?;
        let log = self.disk.create_log(&log_folder).inspect_err(|error| {
            let log_folder = log_folder.display();
            log::warn!(log_folder:%; "log cannot be created: {error}");
        });
        self.disk.rename(&temporary, &self.folder.join(SNAPSHOT))?;
        self.disk.sync(&self.folder)?;
        Ok(log.ok())
    }

    /// Removes the files of a failed checkpoint, to free the space on a full disk.
    fn remove_unfinished_checkpoint(&self) {
        for name in [log_name(self.next_log_number), TEMPORARY_SNAPSHOT.to_string()] {
            self.disk.remove(&self.folder.join(name)).ok();
        }
    }

    /// Removes the logs that the snapshot covers. If one cannot be removed, the next checkpoint tries again.
    fn remove_old_logs(&self) {
        for name in self.disk.list(&self.folder).unwrap_or_default() {
            let is_old_log = log_number(&name).is_some_and(|number| number + 1 != self.next_log_number);
            if name == LEGACY_LOG || is_old_log {
                self.disk.remove(&self.folder.join(name)).ok();
            }
        }
    }
}
