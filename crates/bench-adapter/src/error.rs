//! Errors of malformed batches and of I/O; each ends the program with one line.

use archlink_admission_settings::SettingsError;
use std::fmt;
use std::io;

/// A violation of the wire protocol, invalid settings, or an I/O error. `field` is the protocol's name of the field.
#[derive(Debug)]
pub enum WireError {
    /// A record or header ends before or within a field.
    Truncated { field: &'static str },
    /// A number is not finite.
    NotFinite { field: &'static str },
    /// A number is negative.
    Negative { field: &'static str },
    /// An index is outside its list.
    IndexOutOfRange { field: &'static str, index: usize },
    /// A code is not defined.
    UnknownCode { field: &'static str, code: u64 },
    /// A record refers to bytes outside the frame.
    OutOfFrame { field: &'static str },
    /// A text is not UTF-8.
    InvalidUtf8 { field: &'static str },
    /// A load report has more values than the protocol allows.
    ReportTooLong,
    /// An update names a host list that was not received.
    UnknownHostList { list: u8 },
    /// The length of a frame is too large, or too small for its records.
    InvalidLength { batch: u32, length: usize, records: usize },
    /// The input ends within a frame.
    TruncatedFrame { batch: u32 },
    /// The settings of an instance are invalid.
    Settings(SettingsError),
    /// Standard input or output failed.
    Io(io::Error),
}

/// An error with the number of its batch, if known.
#[derive(Debug)]
pub struct BatchError {
    pub batch: Option<u32>,
    pub error: WireError,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::Truncated { field } => write!(f, "{field}: truncated"),
            WireError::NotFinite { field } => write!(f, "{field}: not a finite number"),
            WireError::Negative { field } => write!(f, "{field}: negative"),
            WireError::IndexOutOfRange { field, index } => {
                write!(f, "{field}: index {index} is out of range")
            }
            WireError::UnknownCode { field, code } => write!(f, "{field}: {code} is not a known code"),
            WireError::OutOfFrame { field } => write!(f, "{field}: refers to bytes outside the frame"),
            WireError::InvalidUtf8 { field } => write!(f, "{field}: not UTF-8"),
            WireError::ReportTooLong => f.write_str("report: more than four values"),
            WireError::UnknownHostList { list } => write!(f, "list: host list {list} was not received"),
            WireError::InvalidLength { batch, length, records } => {
                write!(f, "batch {batch}: length {length} is invalid for {records} records")
            }
            WireError::TruncatedFrame { batch } => write!(f, "batch {batch}: frame truncated"),
            WireError::Settings(error) => error.fmt(f),
            WireError::Io(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for WireError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            WireError::Settings(error) => Some(error),
            WireError::Io(error) => Some(error),
            _ => None,
        }
    }
}

impl From<io::Error> for WireError {
    fn from(error: io::Error) -> WireError {
        WireError::Io(error)
    }
}

impl From<SettingsError> for WireError {
    fn from(error: SettingsError) -> WireError {
        WireError::Settings(error)
    }
}

impl fmt::Display for BatchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.batch {
            Some(batch) => write!(f, "batch {batch}: {}", self.error),
            None => self.error.fmt(f),
        }
    }
}

impl std::error::Error for BatchError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.error)
    }
}

impl<E: Into<WireError>> From<E> for BatchError {
    fn from(error: E) -> BatchError {
        BatchError { batch: None, error: error.into() }
    }
}
