//! The file operations that the storage needs. [`FileSystem`](crate::file_system::FileSystem) implements them on the
//! operating system's file system; the crash tests substitute a simulated disk.

use std::io;
use std::path::Path;

/// A disk with one data folder.
///
/// Invariant: only data for which [`sync`](Disk::sync) or [`Log::append`] returned success is guaranteed to survive a
/// power loss.
pub trait Disk {
    /// The type of write-ahead log on this disk.
    type Log: Log;

    /// Locks the folder, creating it if it is missing. Fails if another process, or another handle in this process,
    /// holds the lock.
    fn lock(&mut self, folder: &Path) -> io::Result<()>;

    /// Lists the names in a folder. A missing folder has none.
    fn list(&self, folder: &Path) -> io::Result<Vec<String>>;

    /// Reads a file. Returns `None` if it is missing.
    fn read(&self, file: &Path) -> io::Result<Option<Vec<u8>>>;

    /// Replaces the contents of a file, creating it if it is missing. The replacement is not atomic.
    fn write(&self, file: &Path, bytes: &[u8]) -> io::Result<()>;

    /// Syncs the contents of a file or the directory entries of a folder.
    fn sync(&self, path: &Path) -> io::Result<()>;

    /// Renames a file, atomically replacing the target if it exists.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Removes a file, or a folder with its contents. A missing path is not an error.
    fn remove(&self, path: &Path) -> io::Result<()>;

    /// Creates a folder with an empty log.
    fn create_log(&self, folder: &Path) -> io::Result<Self::Log>;
}

/// A write-ahead log.
pub trait Log {
    /// Appends an entry and syncs it, including the directory entry of its file. After an error it is unknown whether the
    /// entry is in the log, and the log must not be used again.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
}
