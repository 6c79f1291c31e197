//! Where the settings file is, and its text.

use std::fmt;
use std::io;
use std::path::PathBuf;

/// Environment variable that names the settings file.
const PATH_VARIABLE: &str = "ARCHLINK_CONFIG";
/// The settings file where the variable is not set.
const DEFAULT_PATH: &str = "/etc/archlink/settings.json";

/// The settings file can't be read. Displays as `PATH: REASON`.
///
/// The reason is part of the text, and so isn't given as `source()` too: a report would say it twice.
#[derive(Debug)]
pub struct SettingsFileError {
    /// The file that was to be read.
    pub path: PathBuf,
    /// Why it couldn't be.
    pub reason: io::Error,
}

impl fmt::Display for SettingsFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path.display(), self.reason)
    }
}

impl std::error::Error for SettingsFileError {}

/// The text of the settings file: that which `ARCHLINK_CONFIG` names, otherwise `/etc/archlink/settings.json`.
///
/// # Errors
///
/// Where the file can't be read or isn't UTF-8; the error names the file.
pub fn settings_text() -> Result<String, SettingsFileError> {
    let path = std::env::var_os(PATH_VARIABLE).map_or_else(|| PathBuf::from(DEFAULT_PATH), PathBuf::from);
    std::fs::read_to_string(&path).map_err(|reason| SettingsFileError { path, reason })
}
