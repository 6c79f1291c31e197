//! The file system as [`Disk`], with `okaywal` as the writer of logs.

use crate::disk::{Disk, Log};
use crate::error::WriteError;
use okaywal::{Configuration, LogVoid, WriteAheadLog};
use std::fs::{self, File, TryLockError};
use std::io::{self, ErrorKind};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;

/// Bytes that a log's file is preallocated with, so that the sync of an entry does not have to write a new file length.
/// Above the length at which small states are checkpointed (192 KiB).
const SEGMENT_BYTES: u32 = 256 * 1024;

/// The file system. Keeps the lock of the data folder as long as it exists.
#[derive(Debug, Default)]
pub struct FileSystem {
    lock: Option<File>,
}

fn none_if_missing<T>(result: io::Result<T>) -> io::Result<Option<T>> {
    match result {
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
        other => other.map(Some),
    }
}

impl Disk for FileSystem {
    type Log = WriteAheadLog;

    fn lock(&mut self, folder: &Path) -> io::Result<()> {
        let is_new = !folder.exists();
        fs::create_dir_all(folder)?;
        if is_new && let Some(parent) = folder.parent().filter(|parent| !parent.as_os_str().is_empty()) {
            self.sync(parent)?;
        }
        let file = File::open(folder)?;
        match file.try_lock() {
            // Some file systems do not support locks.
            Err(TryLockError::Error(error)) if error.kind() == ErrorKind::Unsupported => {}
            result => result?,
        }
        self.lock = Some(file);
        Ok(())
    }

    fn list(&self, folder: &Path) -> io::Result<Vec<String>> {
        let Some(entries) = none_if_missing(fs::read_dir(folder))? else { return Ok(Vec::new()) };
        entries.map(|entry| Ok(entry?.file_name().to_string_lossy().into_owned())).collect()
    }

    fn read(&self, file: &Path) -> io::Result<Option<Vec<u8>>> {
        none_if_missing(fs::read(file))
    }

    fn write(&self, file: &Path, bytes: &[u8]) -> io::Result<()> {
        fs::write(file, bytes)
    }

    fn sync(&self, path: &Path) -> io::Result<()> {
        File::open(path)?.sync_all()
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        match none_if_missing(fs::symlink_metadata(path))? {
            Some(metadata) if metadata.is_dir() => fs::remove_dir_all(path),
            Some(_) => fs::remove_file(path),
            None => Ok(()),
        }
    }

    fn create_log(&self, folder: &Path) -> io::Result<WriteAheadLog> {
        open_log(folder, SEGMENT_BYTES)
    }
}

/// Opens a log that `okaywal` never checkpoints by itself. Its own checkpoint renames files without syncing their folder:
/// after a power loss, entries that it reported as synced would be under a name that is gone.
pub fn open_log(folder: &Path, segment_bytes: u32) -> io::Result<WriteAheadLog> {
    Configuration::default_for(folder)
        .preallocate_bytes(segment_bytes)
        .checkpoint_after_bytes(u64::MAX)
        .open(LogVoid)
}

impl Log for WriteAheadLog {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        // The library panics where it cannot roll back a partial entry.
        catch_unwind(AssertUnwindSafe(|| {
            let mut entry = self.begin_entry()?;
            entry.write_chunk(bytes)?;
            entry.commit().map(drop)
        }))
        .unwrap_or_else(|_| Err(WriteError::NotRolledBack.into()))
    }
}
