//! Reads a data folder: the snapshot, and the changes after it from the logs. Nothing is written.
//!
//! - Entries up to the snapshot's number are skipped, so that a log which should have been removed does no harm.
//! - A gap in the numbers above the snapshot's is damage.
//! - An incomplete entry at the end of a log was never reported as durable and is skipped. With complete entries after it, it
//!   was, and has been damaged since.

use crate::data_folder::{LEGACY_LOG, SNAPSHOT, log_name, log_number, segment_files};
use crate::disk::Disk;
use crate::format::{self, ChangeRecord, ENTRY_MAGIC};
use crate::wal_segment::{complete_chunks, read_segment};
use crate::{DurableState, StorageError, legacy_format};
use error_stack::{Report, ResultExt, bail, ensure};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// The id that `okaywal` gives to the first entry of a log.
const FIRST_ENTRY_ID: u64 = 1;

/// What a data folder contains.
pub struct Recovered {
    /// The number of the last change in `state`; 0 for an empty or a legacy folder.
    pub number: u64,
    /// The state.
    pub state: DurableState,
    /// The files and folders that it was read from.
    pub sources: Vec<PathBuf>,
    /// A number above those of all logs in the folder.
    pub next_log: u64,
}

/// Reads the folder.
///
/// # Errors
/// The report names the file.
pub fn recover<D: Disk>(disk: &D, folder: &Path) -> Result<Recovered, Report<StorageError>> {
    let mut recovered = Recovered {
        number: 0,
        state: DurableState::default(),
        sources: vec![folder.to_path_buf()],
        next_log: 1,
    };
    recovered.load_snapshot(disk, folder.join(SNAPSHOT))?;
    let names = list(disk, folder)?;
    if recovered.number == 0 && names.iter().any(|name| name == LEGACY_LOG) {
        recovered.replay_legacy_log(disk, folder.join(LEGACY_LOG))?;
    }
    let mut records = BTreeMap::new();
    for log in names.iter().filter_map(|name| log_number(name)) {
        records.extend(recovered.read_log(disk, folder, log)?);
    }
    recovered.replay(folder, records)?;
    Ok(recovered)
}

impl Recovered {
    fn load_snapshot<D: Disk>(&mut self, disk: &D, path: PathBuf) -> Result<(), Report<StorageError>> {
        if let Some(bytes) = read(disk, &path)? {
            (self.number, self.state) = decode_snapshot(&bytes).attach_with(|| path.display().to_string())?;
            self.sources.push(path);
        }
        Ok(())
    }

    fn replay_legacy_log<D: Disk>(&mut self, disk: &D, log: PathBuf) -> Result<(), Report<StorageError>> {
        let mut is_torn = false;
        for file in segment_files(list(disk, &log)?) {
            let path = log.join(file.name);
            let bytes = read(disk, &path)?.unwrap_or_default();
            let segment = read_segment(&bytes, file.first_entry_id);
            ensure!(
                !is_torn || segment.entries.is_empty(),
                Report::new(StorageError::Damaged)
                    .attach(format!("{}: an entry before it can't be read", path.display()))
            );
            is_torn |= segment.is_torn;
            for entry in segment.entries {
                let change = legacy_format::decode_entry(entry).attach_with(|| path.display().to_string())?;
                self.state.apply(change);
            }
            self.sources.push(path);
        }
        self.sources.push(log);
        Ok(())
    }

    /// The changes above the snapshot's number in one log.
    fn read_log<D: Disk>(
        &mut self,
        disk: &D,
        folder: &Path,
        log: u64,
    ) -> Result<Vec<(u64, ChangeRecord)>, Report<StorageError>> {
        self.next_log = self.next_log.max(log + 1);
        let log_folder = folder.join(log_name(log));
        let mut records = Vec::new();
        for file in segment_files(list(disk, &log_folder)?) {
            let path = log_folder.join(file.name);
            records.extend(read_log_file(disk, &path, self.number)?);
            self.sources.push(path);
        }
        self.sources.push(log_folder);
        Ok(records)
    }

    fn replay(
        &mut self,
        folder: &Path,
        records: BTreeMap<u64, ChangeRecord>,
    ) -> Result<(), Report<StorageError>> {
        for (number, record) in records {
            let expected = self.number + 1;
            ensure!(
                number == expected,
                Report::new(StorageError::Damaged).attach(format!(
                    "{}: entry {number} is there, but nothing of {expected}",
                    folder.display()
                ))
            );
            self.number = number;
            record.apply_to(&mut self.state);
        }
        Ok(())
    }
}

/// The number of the last change in a snapshot, and its state; a legacy snapshot has the number 0.
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

/// The changes in a file whose number is above `snapshot_number`.
fn read_log_file<D: Disk>(
    disk: &D,
    path: &Path,
    snapshot_number: u64,
) -> Result<Vec<(u64, ChangeRecord)>, Report<StorageError>> {
    let path_text = || path.display().to_string();
    let bytes = read(disk, path)?.unwrap_or_default();
    let segment = read_segment(&bytes, FIRST_ENTRY_ID);
    let mut records = Vec::new();
    for entry in &segment.entries {
        records.push(format::decode_entry(entry).attach_with(path_text)?);
    }
    let last = records.last().map_or(snapshot_number, |(number, _)| *number);
    let tail = unread_tail(&bytes, segment.end);
    if let Some(later) = later_entry(tail, last.max(snapshot_number) + 1) {
        bail!(Report::new(StorageError::Damaged).attach(format!(
            "{}: what comes after entry {last} can't be read, but {later} is there",
            path_text()
        )));
    }
    records.retain(|(number, _)| *number > snapshot_number);
    Ok(records)
}

/// The bytes after `end`, without the zeros that the file was preallocated with.
fn unread_tail(bytes: &[u8], end: usize) -> &[u8] {
    let used = bytes.iter().rposition(|&byte| byte != 0).map_or(0, |last| last + 1);
    &bytes[end.min(used)..used]
}

/// The number of a complete entry above `in_flight` in the bytes that could not be read in order. The entry of the number
/// `in_flight` itself may be there: it was being written when the process ended.
fn later_entry(tail: &[u8], in_flight: u64) -> Option<u64> {
    complete_chunks(tail, ENTRY_MAGIC)
        .filter_map(|entry| format::decode_entry(entry).ok())
        .map(|(number, _)| number)
        .find(|number| *number > in_flight)
}
