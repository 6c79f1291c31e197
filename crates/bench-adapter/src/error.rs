//! Why a batch is refused: the program ends with one line.

use archlink_admission_settings::SettingsError;
use std::fmt;
use std::io;

/// A record or frame that does not follow the protocol.
#[derive(Debug)]
pub enum WireError {
    /// A field is cut short.
    Short { field: &'static str },
    /// A number that is not finite.
    NotFinite { field: &'static str },
    /// A number below 0.
    Negative { field: &'static str },
    /// An index outside its list.
    OutsideList { field: &'static str, index: usize },
    /// A code that is not defined.
    UnknownCode { field: &'static str, code: u64 },
    /// A reference to bytes outside the frame.
    OutsideFrame { field: &'static str },
    /// Text that is not UTF-8.
    NotUtf8 { field: &'static str },
    /// A load report with more values than the protocol allows.
    LongReport,
    /// A host list that was never given.
    UnknownList { list: u8 },
    /// A frame whose length cannot hold its records.
    BadLength { batch: u32, length: usize, records: usize },
    /// A frame that ends early.
    ShortFrame { batch: u32 },
    /// The settings of an instance are wrong.
    Settings(SettingsError),
    /// Standard input or output failed.
    Io(io::Error),
}

/// An error with the number of the batch that it belongs to, where it is known.
#[derive(Debug)]
pub struct BatchError {
    pub batch: Option<u32>,
    pub error: WireError,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::Short { field } => write!(f, "{field}: cut short"),
            WireError::NotFinite { field } => write!(f, "{field}: not a finite number"),
            WireError::Negative { field } => write!(f, "{field}: below 0"),
            WireError::OutsideList { field, index } => write!(f, "{field}: {index} is outside its list"),
            WireError::UnknownCode { field, code } => write!(f, "{field}: {code} is unknown"),
            WireError::OutsideFrame { field } => write!(f, "{field}: outside the frame"),
            WireError::NotUtf8 { field } => write!(f, "{field}: not UTF-8"),
            WireError::LongReport => f.write_str("report: more than four values"),
            WireError::UnknownList { list } => write!(f, "list: {list} was never given"),
            WireError::BadLength { batch, length, records } => {
                write!(f, "batch {batch}: length {length} does not hold {records} records")
            }
            WireError::ShortFrame { batch } => write!(f, "batch {batch}: frame cut short"),
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
