//! What a person is told first when the program does not start or a command fails; the causes are attached.

use error_stack::Report;
use std::fmt;

/// Why the program does not start, or a command fails.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlPlaneError {
    /// The settings file can't be read or is wrong.
    Settings,
    /// The data folder can't be used.
    Disk,
    /// An address can't be listened on, or the system refuses what a server needs.
    Start,
    /// A command's file can't be read, or is no configuration.
    File,
    /// No control node was reached, or none gave a final answer.
    Call,
    /// A request was rejected: it conflicts with what is in force.
    Rejected,
}

impl fmt::Display for ControlPlaneError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ControlPlaneError::Settings => "the settings file can't be used",
            ControlPlaneError::Disk => "the data folder can't be used",
            ControlPlaneError::Start => "the control gateway can't start",
            ControlPlaneError::File => "the file can't be used",
            ControlPlaneError::Call => "the call did not come through",
            ControlPlaneError::Rejected => "the order is refused",
        })
    }
}

impl std::error::Error for ControlPlaneError {}

/// A result whose error names its causes.
pub type ControlPlaneResult<T> = Result<T, Report<ControlPlaneError>>;

/// An error with its reason attached.
pub(crate) fn failure(kind: ControlPlaneError, reason: String) -> Report<ControlPlaneError> {
    Report::new(kind).attach(reason)
}
