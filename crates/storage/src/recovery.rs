//! Reads a data folder: the snapshot, and the changes after it from the logs. Nothing is written.
//!
//! - Entries up to the snapshot's sequence number are skipped, so a log that should have been removed does no harm.
//! - A gap in the sequence numbers after the snapshot's is an error.
//! - An incomplete entry at the end of a log was never reported as durable and is skipped. If complete entries follow it, it
//!   was once complete and durable, and was corrupted later: that is an error.

use crate::data_folder::{LEGACY_LOG, SNAPSHOT, log_name, log_number, segment_files};
use crate::disk::Disk;
use crate::format::{self, ChangeRecord, ENTRY_MAGIC};
use crate::wal_segment::{complete_chunks, read_segment};
use crate::{DurableState, StorageError, legacy_format};
use error_stack::{Report, ResultExt, bail, ensure};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// The id that `okaywal` assigns to the first entry of a log.
const FIRST_ENTRY_ID: u64 = 1;

/// The result of reading a data folder.
pub struct Recovered {
    /// The sequence number of the last change in `state`; 0 for an empty or legacy folder.
    pub sequence_number: u64,
    /// The recovered state.
    pub state: DurableState,
    /// The files and folders that the state was read from.
    pub source_paths: Vec<PathBuf>,
    /// One above the highest log number in the folder; 1 if there is no log.
    pub next_log_number: u64,
}

/// Recovers the state in a data folder.
///
/// # Errors
/// If a file cannot be read or decoded, or a change is missing. The report names the file or folder.
pub fn recover<D: Disk>(disk: &D, folder: &Path) -> Result<Recovered, Report<StorageError>> {
    let mut recovered = Recovered {
        sequence_number: 0,
        state: DurableState::default(),
        source_paths: vec![folder.to_path_buf()],
        next_log_number: 1,
    };
    recovered.load_snapshot(disk, folder.join(SNAPSHOT))?;
    let names = list(disk, folder)?;
    if recovered.sequence_number == 0 && names.iter().any(|name| name == LEGACY_LOG) {
        recovered.replay_legacy_log(disk, folder.join(LEGACY_LOG))?;
    }
    let mut records = BTreeMap::new();
    for number in names.iter().filter_map(|name| log_number(name)) {
        records.extend(recovered.read_log(disk, folder, number)?);
    }
    recovered.replay(folder, records)?;
    Ok(recovered)
}

impl Recovered {
    fn load_snapshot<D: Disk>(&mut self, disk: &D, path: PathBuf) -> Result<(), Report<StorageError>> {
        if let Some(bytes) = read(disk, &path)? {
            (self.sequence_number, self.state) =
                decode_snapshot(&bytes).attach_with(|| path.display().to_string())?;
            self.source_paths.push(path);
        }
        Ok(())
    }

    fn replay_legacy_log<D: Disk>(
        &mut self,
        disk: &D,
        log_folder: PathBuf,
    ) -> Result<(), Report<StorageError>> {
        let mut is_torn = false;
        for file in segment_files(list(disk, &log_folder)?) {
            let path = log_folder.join(file.name);
            let bytes = read(disk, &path)?.unwrap_or_default();
            let segment = read_segment(&bytes, file.first_entry_id);
            ensure!(
                !is_torn || segment.entries.is_empty(),
                Report::new(StorageError::Corrupted).attach(format!(
                    "{}: entries follow an unreadable entry in an earlier file",
                    path.display()
                ))
            );
            is_torn |= segment.is_torn;
            for entry in segment.entries {
                let change = legacy_format::decode_entry(entry).attach_with(|| path.display().to_string())?;
                self.state.apply(change);
            }
            self.source_paths.push(path);
        }
        self.source_paths.push(log_folder);
        Ok(())
    }

    /// Reads the changes after the snapshot from one log.
    fn read_log<D: Disk>(
        &mut self,
        disk: &D,
        folder: &Path,
        number: u64,
    ) -> Result<Vec<(u64, ChangeRecord)>, Report<StorageError>> {
        self.next_log_number = self.next_log_number.max(number + 1);
        let log_folder = folder.join(log_name(number));
        let mut records = Vec::new();
        for file in segment_files(list(disk, &log_folder)?) {
            let path = log_folder.join(file.name);
            records.extend(read_log_file(disk, &path, self.sequence_number)?);
            self.source_paths.push(path);
        }
        self.source_paths.push(log_folder);
        Ok(records)
    }

    fn replay(
        &mut self,
        folder: &Path,
        records: BTreeMap<u64, ChangeRecord>,
    ) -> Result<(), Report<StorageError>> {
        for (sequence_number, record) in records {
            let expected = self.sequence_number + 1;
            ensure!(
                sequence_number == expected,
                Report::new(StorageError::Corrupted).attach(format!(
                    "{}: found entry {sequence_number}, but entry {expected} is missing",
                    folder.display()
                ))
            );
            self.sequence_number = sequence_number;
            record.apply_to(&mut self.state);
        }
        Ok(())
    }
}

/// Decodes a snapshot of either format into the sequence number of its last change and the state. A legacy snapshot has the
/// sequence number 0.
pub fn decode_snapshot(bytes: &[u8]) -> Result<(u64, DurableState), Report<StorageError>> {
    if format::is_snapshot(bytes) {
        format::decode_snapshot(bytes)
    } else {
        Ok((0, legacy_format::decode_snapshot(bytes)?))
    }
}

fn read<D: Disk>(disk: &D, file: &Path) -> Result<Option<Vec<u8>>, Report<StorageError>> {
    disk.read(file).change_context(StorageError::Disk).attach_with(|| file.display().to_string())
}

fn list<D: Disk>(disk: &D, folder: &Path) -> Result<Vec<String>, Report<StorageError>> {
    disk.list(folder).change_context(StorageError::Disk).attach_with(|| folder.display().to_string())
}

/// Reads the changes with a sequence number above `snapshot_sequence_number` from a segment file.
fn read_log_file<D: Disk>(
    disk: &D,
    path: &Path,
    snapshot_sequence_number: u64,
) -> Result<Vec<(u64, ChangeRecord)>, Report<StorageError>> {
    let path_text = || path.display().to_string();
    let bytes = read(disk, path)?.unwrap_or_default();
    let segment = read_segment(&bytes, FIRST_ENTRY_ID);
    let mut records = Vec::new();
    for entry in &segment.entries {
        records.push(format::decode_entry(entry).attach_with(path_text)?);
    }
    let last = records.last().map_or(snapshot_sequence_number, |(sequence_number, _)| *sequence_number);
    let tail = unread_tail(&bytes, segment.end);
    if let Some(later) = later_entry(tail, last.max(snapshot_sequence_number) + 1) {
        bail!(Report::new(StorageError::Corrupted).attach(format!(
            "{}: the bytes after entry {last} cannot be read, but entry {later} follows",
            path_text()
        )));
    }
    records.retain(|(sequence_number, _)| *sequence_number > snapshot_sequence_number);
    Ok(records)
}

/// Returns the bytes from `end` on, without the trailing zeros that the file was preallocated with.
fn unread_tail(bytes: &[u8], end: usize) -> &[u8] {
    let used = bytes.iter().rposition(|&byte| byte != 0).map_or(0, |last| last + 1);
    &bytes[end.min(used)..used]
}

/// Returns the sequence number of a complete entry above `in_flight` in bytes that could not be read in order. The entry
/// `in_flight` itself may be among them: it was being written when the process ended.
fn later_entry(tail: &[u8], in_flight: u64) -> Option<u64> {
    complete_chunks(tail, ENTRY_MAGIC)
        .filter_map(|entry| format::decode_entry(entry).ok())
        .map(|(sequence_number, _)| sequence_number)
        .find(|sequence_number| *sequence_number > in_flight)
}
