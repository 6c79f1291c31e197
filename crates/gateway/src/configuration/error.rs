//! Why a configuration is refused.

use archlink_admission_settings::SettingsError;
use std::{fmt, io};

/// A wrong value in the configuration, named by its key.
#[derive(Debug)]
pub struct ConfigurationError {
    /// Path of the key, as `peers.0`, or name of the variable.
    pub key: String,
    /// What is wrong with its value.
    pub problem: ConfigurationProblem,
}

/// What is wrong with a value.
#[derive(Debug)]
pub enum ConfigurationProblem {
    /// The variable names no file.
    NoFile,
    /// The file cannot be read.
    Unreadable {
        /// Its path.
        file: String,
        /// Why.
        cause: io::Error,
    },
    /// The file is not JSON.
    NotJson {
        /// Its path.
        file: String,
        /// Where and why.
        cause: serde_json::Error,
    },
    /// The key is needed and absent.
    Missing,
    /// The key is needed and absent, as the settings allow calls to the counter.
    MissingCounter,
    /// Not an IP address with a port.
    NotAnAddress(String),
    /// Not an integer, or out of its range.
    OutOfRange {
        /// The least value.
        min: u64,
    },
    /// A text that is not a hexadecimal number.
    NotHexadecimal,
    /// Neither a hexadecimal text nor a number.
    NotASeed,
    /// Not a log level.
    NotALevel(String),
    /// A wrong value in the settings object.
    Settings(SettingsError),
}

impl ConfigurationError {
    /// A problem with the value of a key.
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
            ConfigurationProblem::NoFile => f.write_str("names no file"),
            ConfigurationProblem::Unreadable { file, cause } => write!(f, "{file}: {cause}"),
            ConfigurationProblem::NotJson { file, cause } => write!(f, "{file}: {cause}"),
            ConfigurationProblem::Missing => f.write_str("missing"),
            ConfigurationProblem::MissingCounter => {
                f.write_str("missing, though settings.domain.may-count is true")
            }
            ConfigurationProblem::NotAnAddress(text) => write!(f, "{text:?} is no address"),
            ConfigurationProblem::OutOfRange { min } => write!(f, "not a whole number from {min} on"),
            ConfigurationProblem::NotHexadecimal => f.write_str("not hexadecimal"),
            ConfigurationProblem::NotASeed => f.write_str("neither hexadecimal nor a number"),
            ConfigurationProblem::NotALevel(text) => write!(f, "{text:?} is no level"),
            ConfigurationProblem::Settings(error) => error.problem.fmt(f),
        }
    }
}

impl std::error::Error for ConfigurationError {}
