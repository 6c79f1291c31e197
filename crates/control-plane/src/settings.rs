//! The settings file of this process.

use crate::{ControlPlaneError, ControlPlaneResult};
use archlink_config::Settings;
use error_stack::ResultExt;

/// Reads and checks the settings file that `ARCHLINK_CONFIG` names.
///
/// # Errors
///
/// If the file cannot be read, or a value is not allowed. The error names the key, what was found and what is allowed.
pub fn read_settings() -> ControlPlaneResult<Settings> {
    let text = archlink_runtime::settings_text().change_context(ControlPlaneError::Settings)?;
    Settings::read(&text).change_context(ControlPlaneError::Settings)
}
