//! All that is done to files, behind a trait: the crash tests put a made-up disk under it. Owns the way to the file system;
//! must never say that something is synced before it is.

use okaywal::{Configuration, LogVoid, WriteAheadLog};
use std::fs::{self, File, TryLockError};
use std::io::{self, ErrorKind};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;

/// A log's file is made this long at once, so that a sync of an entry has no length to write.
const SEGMENT: u32 = 256 * 1024;

/// Nothing but `sync` and `append` promises that anything outlasts a loss of power.
pub trait Disk {
    type Log: Log;
    /// Refused where another process, or another logbook of this one, has the folder.
    fn hold(&mut self, folder: &Path) -> io::Result<()>;
    /// Names in a folder; none where it is missing.
    fn list(&self, folder: &Path) -> io::Result<Vec<String>>;
    fn read(&self, file: &Path) -> io::Result<Option<Vec<u8>>>;
    fn write(&self, file: &Path, bytes: &[u8]) -> io::Result<()>;
    /// Of a file its bytes, of a folder its names.
    fn sync(&self, path: &Path) -> io::Result<()>;
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;
    /// A file, or a folder with all in it.
    fn remove(&self, path: &Path) -> io::Result<()>;
    /// Makes the folder and an empty log in it.
    fn begin_log(&self, folder: &Path) -> io::Result<Self::Log>;
}

pub trait Log {
    /// One entry, synced together with its file's name in the log's folder. After an error it is not known whether the entry
    /// is there, and the log is not to be used again.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
}

/// The file system.
#[derive(Debug, Default)]
pub struct Files {
    held: Option<File>,
}

fn unless_missing<T>(result: io::Result<T>) -> io::Result<Option<T>> {
    match result {
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
        other => other.map(Some),
    }
}

impl Disk for Files {
    type Log = WriteAheadLog;

    fn hold(&mut self, folder: &Path) -> io::Result<()> {
        let made = !folder.exists();
        fs::create_dir_all(folder)?;
        if made && let Some(above) = folder.parent().filter(|above| !above.as_os_str().is_empty()) {
            self.sync(above)?;
        }
        let file = File::open(folder)?;
        match file.try_lock() {
            // Some file systems know no locks.
            Err(TryLockError::Error(e)) if e.kind() == ErrorKind::Unsupported => {}
            held => held?,
        }
        self.held = Some(file);
        Ok(())
    }

    fn list(&self, folder: &Path) -> io::Result<Vec<String>> {
        let Some(names) = unless_missing(fs::read_dir(folder))? else { return Ok(Vec::new()) };
        names.map(|name| Ok(name?.file_name().to_string_lossy().into_owned())).collect()
    }

    fn read(&self, file: &Path) -> io::Result<Option<Vec<u8>>> {
        unless_missing(fs::read(file))
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
        match unless_missing(fs::symlink_metadata(path))? {
            Some(what) if what.is_dir() => fs::remove_dir_all(path),
            Some(_) => fs::remove_file(path),
            None => Ok(()),
        }
    }

    fn begin_log(&self, folder: &Path) -> io::Result<WriteAheadLog> {
        log_in(folder, SEGMENT)
    }
}

/// A log that okaywal never checkpoints by itself: it would give its files new names without syncing their folder, so that
/// entries which it called synced are under a name that a loss of power takes back.
pub fn log_in(folder: &Path, segment: u32) -> io::Result<WriteAheadLog> {
    Configuration::default_for(folder)
        .preallocate_bytes(segment)
        .checkpoint_after_bytes(u64::MAX)
        .open(LogVoid)
}

impl Log for WriteAheadLog {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        // The library panics where it can't take back half an entry.
        catch_unwind(AssertUnwindSafe(|| {
            let mut entry = self.begin_entry()?;
            entry.write_chunk(bytes)?;
            entry.commit().map(drop)
        }))
        .unwrap_or_else(|_| Err(io::Error::other("an entry could not be taken back")))
    }
}
