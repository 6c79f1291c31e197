//! Errors of opening and writing a data folder.

use std::{fmt, io};

/// Why a data folder could not be opened. The enclosing report names the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StorageError {
    /// The folder cannot currently be created, locked, read or written. A retry may succeed.
    Disk,
    /// The contents are corrupted, or are not those of a data folder.
    Corrupted,
    /// The folder was written by a later version of this program, in a format that this version does not know.
    UnsupportedVersion,
}

impl fmt::Display for StorageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StorageError::Disk => "the data folder cannot be accessed",
            StorageError::Corrupted => "the data folder is corrupted",
            StorageError::UnsupportedVersion => "the data folder was written by a later version",
        })
    }
}

impl std::error::Error for StorageError {}

/// A write failure that the file system did not report. It is carried inside an [`io::Error`].
#[derive(Debug)]
pub(crate) enum WriteError {
    /// There is no log to append to, because the last checkpoint could not create one.
    NoLog,
    /// The snapshot or log entry could not be serialized.
    Encode(postcard::Error),
    /// `okaywal` could not roll back a partially written entry.
    RollbackFailed,
}

impl fmt::Display for WriteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WriteError::NoLog => f.write_str("there is no log to append to"),
            WriteError::Encode(error) => write!(f, "the state cannot be serialized: {error}"),
            WriteError::RollbackFailed => f.write_str("a partial log entry could not be rolled back"),
        }
    }
}

impl std::error::Error for WriteError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            WriteError::Encode(error) => Some(error),
            WriteError::NoLog | WriteError::RollbackFailed => None,
        }
    }
}

impl From<WriteError> for io::Error {
    fn from(error: WriteError) -> io::Error {
        io::Error::other(error)
    }
}
