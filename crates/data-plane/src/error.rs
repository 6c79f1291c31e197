//! The errors with which the data plane fails to start.

use error_stack::Report;
use std::fmt;

/// Why the data plane fails to start. Attachments of the report name the key or the address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DataPlaneError {
    /// The settings file can't be read or is invalid.
    Settings,
    /// An address can't be bound, or the operating system denies another resource.
    Start,
}

impl fmt::Display for DataPlaneError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DataPlaneError::Settings => "the settings file cannot be used",
            DataPlaneError::Start => "the data node cannot start",
        })
    }
}

impl std::error::Error for DataPlaneError {}

/// A result whose error is a report of a [`DataPlaneError`].
pub type DataPlaneResult<T> = Result<T, Report<DataPlaneError>>;
