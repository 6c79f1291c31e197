//! Access to files as the storage needs it. [`FileSystem`](crate::file_system::FileSystem) implements it; the crash tests put
//! a simulated disk in its place.

use std::io;
use std::path::Path;

/// A disk. Invariant: only what [`sync`](Disk::sync) or [`Log::append`] reported as done survives a power loss for certain.
pub trait Disk {
    /// The write-ahead log.
    type Log: Log;

    /// Locks the folder, and creates it where it is missing. Fails where another process, or another handle of this one,
    /// has locked it.
    fn lock(&mut self, folder: &Path) -> io::Result<()>;

    /// The names in a folder; none where the folder is missing.
    fn list(&self, folder: &Path) -> io::Result<Vec<String>>;

    /// The contents of a file; `None` where it is missing.
    fn read(&self, file: &Path) -> io::Result<Option<Vec<u8>>>;

    /// Replaces the contents of a file, which is created where it is missing. Not atomic.
    fn write(&self, file: &Path, bytes: &[u8]) -> io::Result<()>;

    /// Syncs the contents of a file, or the names in a folder.
    fn sync(&self, path: &Path) -> io::Result<()>;

    /// Renames a file; replaces the target atomically.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Removes a file, or a folder with its contents; nothing where it is missing.
    fn remove(&self, path: &Path) -> io::Result<()>;

    /// Creates a folder with an empty log.
    fn create_log(&self, folder: &Path) -> io::Result<Self::Log>;
}

/// A write-ahead log.
pub trait Log {
    /// Appends an entry and syncs it, together with the name of its file in the log's folder. After an error it is unknown
    /// whether the entry is in the log, and the log may not be used again.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
}
