//! What is checked of a configuration before it is sent, and the digest by which operators compare texts.

use archlink_config::{ConfigError, Configuration};
use sha2::{Digest, Sha256};
use std::fmt;

/// The highest version: a configuration's version and the count of generations share 64 bits where nodes compare what they
/// hold.
const MAX_VERSION: u64 = (1 << 40) - 2;

/// Why a configuration is rejected. It rests on the text alone: the same text would be rejected again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigurationError {
    /// A key is wrong: its name, what was found, what is allowed.
    Invalid(ConfigError),
    /// The version can't be counted beyond.
    VersionTooHigh(u64),
}

impl fmt::Display for ConfigurationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigurationError::Invalid(e) => e.fmt(f),
            ConfigurationError::VersionTooHigh(version) => {
                write!(f, "ConfigVersion: found {version:x}, allowed is {MAX_VERSION:x} at most")
            }
        }
    }
}

impl std::error::Error for ConfigurationError {}

/// Parses a configuration that may be put in force.
pub fn validate(text: &[u8]) -> Result<Configuration, ConfigurationError> {
    let configuration = Configuration::read(text)
        .map_err(|report| ConfigurationError::Invalid(report.current_context().clone()))?;
    match configuration.version {
        ..=MAX_VERSION => Ok(configuration),
        version => Err(ConfigurationError::VersionTooHigh(version)),
    }
}

/// The digest of a text, of its bytes as they were sent: the first half of SHA-256.
pub fn digest(text: &[u8]) -> [u8; 16] {
    let mut digest = [0; 16];
    digest.copy_from_slice(&Sha256::digest(text)[..16]);
    digest
}

/// A digest in hexadecimal digits, as operators see it.
pub fn hex(digest: &[u8]) -> String {
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}
