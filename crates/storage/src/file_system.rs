//! Implements [`Disk`] on the operating system's file system, with logs written by `okaywal`.

use crate::disk::{Disk, Log};
use crate::error::WriteError;
use okaywal::{Configuration, LogVoid, WriteAheadLog};
use std::fs::{self, File, TryLockError};
use std::io::{self, ErrorKind};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;

/// Preallocated length of a segment file, so that syncing an entry does not also have to write a new file length. It exceeds
/// the log length at which small states are checkpointed (192 KiB).
const SEGMENT_BYTES: u32 = 256 * 1024;

/// The operating system's file system. Holds the lock on the data folder until it is dropped.
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

/// Opens a log with `okaywal`'s own checkpoints disabled. They rename segment files without syncing the folder, so a power
/// loss could leave entries that were reported as synced under a name that no longer exists.
pub fn open_log(folder: &Path, segment_bytes: u32) -> io::Result<WriteAheadLog> {
    Configuration::default_for(folder)
        .preallocate_bytes(segment_bytes)
        .checkpoint_after_bytes(u64::MAX)
        .open(LogVoid)
}

impl Log for WriteAheadLog {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        // `okaywal` panics if it cannot roll back a partially written entry.
        catch_unwind(AssertUnwindSafe(|| {
            let mut entry = self.begin_entry()?;
            entry.write_chunk(bytes)?;
            entry.commit().map(drop)
        }))
        .unwrap_or_else(|_| Err(WriteError::RollbackFailed.into()))
    }
}
