//! Errors of an invalid configuration.

use super::MAX_LIMIT;
use archlink_admission_settings::SettingsError;
use std::{fmt, io};

/// An invalid or missing value in the configuration.
#[derive(Debug)]
pub struct ConfigurationError {
    /// Path of the key, such as `peers.0`, or name of the environment variable.
    pub key: String,
    /// What is wrong with the value.
    pub problem: ConfigurationProblem,
}

/// What is wrong with a value.
#[derive(Debug)]
pub enum ConfigurationProblem {
    /// The environment variable that names the configuration file is not set.
    FileNotNamed,
    /// The configuration file cannot be read.
    Unreadable {
        /// Path of the file.
        file: String,
        /// The error of the operating system.
        cause: io::Error,
    },
    /// The configuration file is not JSON.
    NotJson {
        /// Path of the file.
        file: String,
        /// Position and kind of the syntax error.
        cause: serde_json::Error,
    },
    /// A required key is missing.
    Missing,
    /// The counter's address is missing although the settings allow calls to the counter.
    MissingCounter,
    /// The value is not an IP address with a port.
    InvalidAddress(String),
    /// The value is not an integer or out of range.
    OutOfRange {
        /// The smallest valid value.
        min: u64,
    },
    /// The seed is a string but not a hexadecimal number of 64 bits.
    InvalidHexadecimal,
    /// The seed is neither a string nor a non-negative integer.
    InvalidSeed,
    /// The value is not a log level.
    InvalidLogLevel(String),
    /// An invalid value in the object `settings`.
    Settings(SettingsError),
}

impl ConfigurationError {
    /// Creates an error for the value of a key.
    pub fn new(key: impl Into<String>, problem: ConfigurationProblem) -> ConfigurationError {
        ConfigurationError { key: key.into(), problem }
    }
}

impl From<SettingsError> for ConfigurationError {
    fn from(error: SettingsError) -> ConfigurationError {
        ConfigurationError::new(format!("settings.{}", error.key), ConfigurationProblem::Settings(error))
    }
}

impl fmt::Display for ConfigurationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.problem)
    }
}

impl fmt::Display for ConfigurationProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigurationProblem::FileNotNamed => {
                f.write_str("not set; it has to name the configuration file")
            }
            ConfigurationProblem::Unreadable { file, cause } => write!(f, "{file}: {cause}"),
            ConfigurationProblem::NotJson { file, cause } => write!(f, "{file}: {cause}"),
            ConfigurationProblem::Missing => f.write_str("missing"),
            ConfigurationProblem::MissingCounter => {
                f.write_str("missing, though settings.domain.may-count is true")
            }
            ConfigurationProblem::InvalidAddress(text) => {
                write!(f, "{text:?} is not an IP address with a port")
            }
            ConfigurationProblem::OutOfRange { min } => write!(f, "not an integer from {min} to {MAX_LIMIT}"),
            ConfigurationProblem::InvalidHexadecimal => f.write_str("not a hexadecimal number of 64 bits"),
            ConfigurationProblem::InvalidSeed => {
                f.write_str("neither a hexadecimal string nor a non-negative integer")
            }
            ConfigurationProblem::InvalidLogLevel(text) => {
                write!(f, "{text:?} is not a log level (off, error, warn, info, debug or trace)")
            }
            ConfigurationProblem::Settings(error) => error.problem.fmt(f),
        }
    }
}

impl std::error::Error for ConfigurationError {}
