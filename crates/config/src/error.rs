//! The error of this package: a key of a settings file or configuration has a value that is not allowed.

use error_stack::Report;
use std::fmt;

/// Maximum length of a quoted value, in characters, so that an error stays one readable line.
const MAX_FOUND_CHARS: usize = 160;

/// A value that is not allowed. Displays as `KEY: found FOUND, allowed is ALLOWED`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// Path of the key in the text, for example `RouteTable.r-1.Timeout`.
    pub key: String,
    /// The value found there, or the parser's description of it; at most 160 characters.
    pub found: String,
    /// Description of the values that the key allows.
    pub allowed: &'static str,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: found {}, allowed is {}", self.key, self.found, self.allowed)
    }
}

impl std::error::Error for ConfigError {}

/// Reports that `key` has the value `found` where `allowed` is expected. A long value is truncated.
pub fn invalid_value(
    key: impl Into<String>,
    found: impl fmt::Display,
    allowed: &'static str,
) -> Report<ConfigError> {
    let found: String = found.to_string().chars().take(MAX_FOUND_CHARS).collect();
    Report::new(ConfigError { key: key.into(), found, allowed })
}
