//! The error of this package: why the program does not start, or why a command fails. The causes are attached to the report.

use error_stack::Report;
use std::fmt;

/// Why the program does not start, or why a command fails.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlPlaneError {
    /// The settings file cannot be read or is invalid.
    Settings,
    /// The data folder cannot be opened or written, or its contents are corrupted.
    Disk,
    /// A listener cannot be bound, or the system denies a resource that the server needs.
    Start,
    /// The file that a command names cannot be read, or is not a valid configuration.
    File,
    /// A command's arguments are wrong, no control node was reached, or none gave a final response.
    Call,
    /// The request was rejected, because it conflicts with the current state.
    Rejected,
}

impl fmt::Display for ControlPlaneError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ControlPlaneError::Settings => "the settings file cannot be used",
            ControlPlaneError::Disk => "the data folder cannot be used",
            ControlPlaneError::Start => "the control node cannot start",
            ControlPlaneError::File => "the file cannot be used",
            ControlPlaneError::Call => "the call failed",
            ControlPlaneError::Rejected => "the request was rejected",
        })
    }
}

impl std::error::Error for ControlPlaneError {}

/// A result whose error is a report with its causes attached.
pub type ControlPlaneResult<T> = Result<T, Report<ControlPlaneError>>;

/// Creates a report with the reason attached.
pub(crate) fn failure(kind: ControlPlaneError, reason: String) -> Report<ControlPlaneError> {
    Report::new(kind).attach(reason)
}
