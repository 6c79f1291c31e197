//! Why the program does not start.

use crate::configuration::ConfigurationError;
use crate::logger::LoggerError;
use std::{fmt, io};

/// Why the program does not start. The text begins with the key of the configuration, or the part, that failed.
#[derive(Debug)]
pub enum StartupError {
    /// A wrong configuration.
    Configuration(ConfigurationError),
    /// The logger could not be started.
    Logger(LoggerError),
    /// An operating system's resource could not be had.
    Io {
        /// What it is for.
        key: &'static str,
        /// Why.
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
