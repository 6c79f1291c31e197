//! Validation of a configuration before it is proposed, and the digest by which operators compare texts.

use archlink_config::{ConfigError, Configuration};
use sha2::{Digest, Sha256};
use std::fmt;

/// The highest version. A configuration's version and the number of forced generations share the 64 bits of the key by which
/// nodes compare values (`archlink_messages::AcceptedValue::ordering_key`).
const MAX_VERSION: u64 = (1 << 40) - 2;

/// Why a configuration is rejected. It depends on the text alone, so the same text would be rejected again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigurationError {
    /// A key has a value that is not allowed.
    Invalid(ConfigError),
    /// The version is higher than the highest one.
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

/// Parses a configuration and checks that it may be put in force.
pub fn validate(text: &[u8]) -> Result<Configuration, ConfigurationError> {
    let configuration = Configuration::read(text)
        .map_err(|report| ConfigurationError::Invalid(report.current_context().clone()))?;
    match configuration.version {
        ..=MAX_VERSION => Ok(configuration),
        version => Err(ConfigurationError::VersionTooHigh(version)),
    }
}

/// The digest of a text: the first half of the SHA-256 of its bytes as they were sent.
pub fn digest(text: &[u8]) -> [u8; 16] {
    let mut digest = [0; 16];
    digest.copy_from_slice(&Sha256::digest(text)[..16]);
    digest
}

/// Formats a digest in hexadecimal, as operators see it.
pub fn hex(digest: &[u8]) -> String {
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}
