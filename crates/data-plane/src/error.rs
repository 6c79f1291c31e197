//! Why the program does not start.

use error_stack::Report;
use std::fmt;

/// Why the data plane does not start; the report's attachments name the key or the address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DataPlaneError {
    /// The settings file can't be read or is wrong.
    Settings,
    /// An address can't be listened on, or the system refuses what a server needs.
    Start,
}

impl fmt::Display for DataPlaneError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DataPlaneError::Settings => "the settings file can't be used",
            DataPlaneError::Start => "the data gateway can't start",
        })
    }
}

impl std::error::Error for DataPlaneError {}

/// A result whose error is a report on why the data plane does not start.
pub type DataPlaneResult<T> = Result<T, Report<DataPlaneError>>;
