//! Why there is no counterpart.

use archlink_admission_settings::SettingsError;
use std::fmt;

/// What stands in the way of a counterpart. Each names the key where there is one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MigrationError {
    /// The gateway's configuration is no JSON object.
    ConfigurationNotAnObject,
    /// The shape is no JSON object.
    ShapeNotAnObject,
    /// The configuration has no settings.
    SettingsMissing,
    /// The plan's only limit was a cap that is no longer kept.
    PlanWithoutLimit {
        /// The rate that is missing.
        key: String,
    },
    /// An object in the configuration, something else in the shape.
    ObjectExpected {
        /// Where.
        key: String,
    },
    /// An entry of a list that is no object.
    EntryNotAnObject {
        /// Where.
        key: String,
    },
    /// An entry of a list without a name.
    NameMissing {
        /// Where.
        key: String,
    },
    /// No gateway would start with the merged settings.
    Settings(SettingsError),
    /// The gateway's number is none of the new deployment's.
    GatewayNumber {
        /// Its number.
        number: u32,
        /// Gateways of the new deployment.
        gateways: u32,
    },
    /// The new deployment counts, and the configuration names no counter.
    CounterMissing,
}

impl fmt::Display for MigrationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MigrationError::ConfigurationNotAnObject => f.write_str("the configuration is no JSON object"),
            MigrationError::ShapeNotAnObject => f.write_str("the shape is no JSON object"),
            MigrationError::SettingsMissing => f.write_str("settings: missing or no object"),
            MigrationError::PlanWithoutLimit { key } => {
                write!(f, "{key}: missing; the cap was the plan's only limit: state a rate in the shape")
            }
            MigrationError::ObjectExpected { key } => {
                write!(f, "{key}: an object in the old file, not in the shape")
            }
            MigrationError::EntryNotAnObject { key } => write!(f, "{key}: no object"),
            MigrationError::NameMissing { key } => write!(f, "{key}: missing"),
            MigrationError::Settings(error) => write!(f, "settings.{error}"),
            MigrationError::GatewayNumber { number, gateways } => {
                write!(f, "settings.self-index: {number} is none of the {gateways} gateways of the new shape")
            }
            MigrationError::CounterMissing => {
                f.write_str("counter: missing, though the new shape counts (settings.domain.may-count)")
            }
        }
    }
}

impl std::error::Error for MigrationError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        if let MigrationError::Settings(error) = self { Some(error) } else { None }
    }
}
