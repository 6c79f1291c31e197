//! The errors of a migration.

use archlink_admission_settings::SettingsError;
use std::fmt;

/// Why a configuration cannot be migrated. Each error names the key, where there is one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MigrationError {
    /// The gateway's configuration is not a JSON object.
    ConfigurationNotAnObject,
    /// The shape is not a JSON object.
    ShapeNotAnObject,
    /// The configuration has no `settings` object.
    SettingsMissing,
    /// The plan's only limit was a cap on concurrent attempts, which is no longer supported.
    PlanWithoutLimit {
        /// Path of the missing rate.
        key: String,
    },
    /// A key holds an object in the configuration and something else in the shape.
    ObjectExpected {
        /// Path of the key.
        key: String,
    },
    /// An entry of a list is not an object.
    EntryNotAnObject {
        /// Path of the key.
        key: String,
    },
    /// An entry of a list has no name.
    NameMissing {
        /// Path of the key.
        key: String,
    },
    /// The merged settings are invalid: no gateway would start with them.
    Settings(SettingsError),
    /// The gateway's number is out of range for the new deployment.
    GatewayNumber {
        /// The gateway's number.
        number: u32,
        /// Number of gateways of the new deployment.
        gateways: u32,
    },
    /// The new deployment counts requests, but the configuration names no counter.
    CounterMissing,
}

impl fmt::Display for MigrationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MigrationError::ConfigurationNotAnObject => f.write_str("the configuration is not a JSON object"),
            MigrationError::ShapeNotAnObject => f.write_str("the shape is not a JSON object"),
            MigrationError::SettingsMissing => f.write_str("settings: missing or not an object"),
            MigrationError::PlanWithoutLimit { key } => {
                write!(
                    f,
                    "{key}: missing; the cap was the plan's only limit, so the shape must give the plan a rate"
                )
            }
            MigrationError::ObjectExpected { key } => {
                write!(f, "{key}: must be an object in the shape, as in the old configuration")
            }
            MigrationError::EntryNotAnObject { key } => write!(f, "{key}: not an object"),
            MigrationError::NameMissing { key } => write!(f, "{key}: missing"),
            MigrationError::Settings(error) => write!(f, "settings.{error}"),
            MigrationError::GatewayNumber { number, gateways } => {
                write!(
                    f,
                    "settings.self-index: {number} is out of range for the {gateways} gateways of the new shape"
                )
            }
            MigrationError::CounterMissing => {
                f.write_str("counter: missing, but required by the new shape (settings.domain.may-count)")
            }
        }
    }
}

impl std::error::Error for MigrationError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        if let MigrationError::Settings(error) = self { Some(error) } else { None }
    }
}
