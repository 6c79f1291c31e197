//! The location of the settings file, and reading it.

use std::fmt;
use std::io;
use std::path::PathBuf;

/// The environment variable with the path of the settings file.
const PATH_VARIABLE: &str = "ARCHLINK_CONFIG";
/// The path of the settings file if the variable is not set.
const DEFAULT_PATH: &str = "/etc/archlink/settings.json";

/// The settings file could not be read. Displayed as `PATH: REASON`.
///
/// The reason is part of the message and therefore not also returned by `source()`, so that a report does not repeat it.
#[derive(Debug)]
pub struct SettingsFileError {
    /// The path of the settings file.
    pub path: PathBuf,
    /// Why it could not be read.
    pub reason: io::Error,
}

impl fmt::Display for SettingsFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path.display(), self.reason)
    }
}

impl std::error::Error for SettingsFileError {}

/// Reads the settings file at the path in `ARCHLINK_CONFIG`, or at `/etc/archlink/settings.json` if the variable is not set.
///
/// # Errors
///
/// If the file cannot be read or is not UTF-8. The error has the path of the file.
pub fn settings_text() -> Result<String, SettingsFileError> {
    let path = std::env::var_os(PATH_VARIABLE).map_or_else(|| PathBuf::from(DEFAULT_PATH), PathBuf::from);
    std::fs::read_to_string(&path).map_err(|reason| SettingsFileError { path, reason })
}
