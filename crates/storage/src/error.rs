//! Errors of the storage.

use std::{fmt, io};

/// Why a data folder could not be opened. The report around it names the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StorageError {
    /// The folder cannot be created, locked, read or written at present. A retry may succeed.
    Disk,
    /// The folder contains something else, or it is damaged.
    Damaged,
    /// A later version of this program wrote the folder.
    UnsupportedVersion,
}

impl fmt::Display for StorageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StorageError::Disk => "the data folder can't be used",
            StorageError::Damaged => "the data folder holds something damaged",
            StorageError::UnsupportedVersion => "the data folder is a later version's",
        })
    }
}

impl std::error::Error for StorageError {}

/// Why a write failed for a reason other than the file system's. Appears inside an [`io::Error`].
#[derive(Debug)]
pub(crate) enum WriteError {
    /// There is no log to append to: the last checkpoint could not create one.
    NoLog,
    /// The snapshot or entry could not be serialized.
    Encode(postcard::Error),
    /// `okaywal` could not roll back a partial entry.
    NotRolledBack,
}

impl fmt::Display for WriteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WriteError::NoLog => f.write_str("no log could be created"),
            WriteError::Encode(error) => write!(f, "the state cannot be encoded: {error}"),
            WriteError::NotRolledBack => f.write_str("a partial entry could not be rolled back"),
        }
    }
}

impl std::error::Error for WriteError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            WriteError::Encode(error) => Some(error),
            WriteError::NoLog | WriteError::NotRolledBack => None,
        }
    }
}

impl From<WriteError> for io::Error {
    fn from(error: WriteError) -> io::Error {
        io::Error::other(error)
    }
}
