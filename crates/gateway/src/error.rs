//! Errors that prevent the program from starting.

use crate::configuration::ConfigurationError;
use crate::logger::LoggerError;
use std::{fmt, io};

/// Why the program does not start. The message begins with the configuration key or the component that failed.
#[derive(Debug)]
pub enum StartupError {
    /// The configuration is invalid.
    Configuration(ConfigurationError),
    /// The logger could not be started.
    Logger(LoggerError),
    /// A resource of the operating system could not be opened.
    Io {
        /// The configuration key, signal or component that the resource is for.
        key: &'static str,
        /// The error of the operating system.
        cause: io::Error,
    },
}

impl fmt::Display for StartupError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartupError::Configuration(error) => error.fmt(f),
            StartupError::Logger(error) => write!(f, "log: {error}"),
            StartupError::Io { key, cause } => write!(f, "{key}: {cause}"),
        }
    }
}

impl std::error::Error for StartupError {}

impl From<ConfigurationError> for StartupError {
    fn from(error: ConfigurationError) -> StartupError {
        StartupError::Configuration(error)
    }
}

impl From<LoggerError> for StartupError {
    fn from(error: LoggerError) -> StartupError {
        StartupError::Logger(error)
    }
}
