//! Migrates a gateway's configuration to a deployment of another shape. Accesses no files, and uses only values from the old
//! configuration and the shape.

mod error;
mod merge;

pub use error::MigrationError;

use merge::merge;
use serde_json::{Map, Value};

/// A migrated configuration, with the keys that were not carried over.
#[derive(Debug)]
pub struct MigratedConfiguration {
    /// The new configuration.
    pub configuration: Value,
    /// The keys of the old configuration that the new one lacks.
    pub dropped: Vec<DroppedKey>,
}

/// A key that was not carried over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DroppedKey {
    /// Path of the key.
    pub key: String,
    /// Why it was not carried over.
    pub reason: String,
}

/// The keys besides `settings` that a gateway reads: its own name, addresses and limits, which no shape changes.
const GATEWAY_KEYS: [&str; 10] =
    ["name", "listen", "discovery", "counter", "peer_listen", "peers", "peers_all", "limits", "seed", "log"];
/// The keys that concern other gateways.
const PEER_KEYS: [&str; 3] = ["peer_listen", "peers", "peers_all"];

/// Migrates the gateway's complete configuration `old`. `shape` contains the settings of the new deployment, or only those that
/// differ; they replace the old ones key by key, and lists as a whole. Classes and plans that exist under the same name keep
/// the values that the shape omits.
///
/// # Errors
///
/// [`MigrationError`] if a part is not an object, or if no gateway would start with the migrated configuration.
pub fn migrate_configuration(old: &Value, shape: &Value) -> Result<MigratedConfiguration, MigrationError> {
    let old = old.as_object().ok_or(MigrationError::ConfigurationNotAnObject)?;
    let shape = shape.as_object().ok_or(MigrationError::ShapeNotAnObject)?;
    let settings = old.get("settings").and_then(Value::as_object).ok_or(MigrationError::SettingsMissing)?;
    let mut dropped = Vec::new();
    let mut settings = merge(settings, shape, "settings", &mut dropped)?;
    drop_caps(&mut settings, &mut dropped)?;
    let parsed = archlink_admission_settings::from_json(&Value::Object(settings.clone()))
        .map_err(MigrationError::Settings)?;
    let mut configuration = carry_over_gateway_keys(old, parsed.admission.may_message_peers, &mut dropped);
    let (number, gateways) = (parsed.admission.gateway_number, parsed.admission.gateways);
    if number >= gateways {
        return Err(MigrationError::GatewayNumber { number, gateways });
    }
    if parsed.admission.may_count && configuration.get("counter").is_none_or(Value::is_null) {
        return Err(MigrationError::CounterMissing);
    }
    configuration.insert("settings".into(), Value::Object(settings));
    Ok(MigratedConfiguration { configuration: Value::Object(configuration), dropped })
}

/// Removes the plans' caps on concurrent attempts, which are no longer supported. A plan without another limit is an error,
/// because it would admit everything without its cap.
fn drop_caps(settings: &mut Map<String, Value>, dropped: &mut Vec<DroppedKey>) -> Result<(), MigrationError> {
    let plans = settings.get_mut("contracts").and_then(Value::as_array_mut);
    for (index, plan) in plans.into_iter().flatten().enumerate() {
        let is_capped = plan.get("max-out").and_then(Value::as_f64).is_some_and(|cap| cap > 0.0);
        let (true, Some(plan)) = (is_capped, plan.as_object_mut()) else { continue };
        plan.remove("max-out");
        let limits = ["rate", "never-over-rate"].map(|key| plan.get(key).and_then(Value::as_f64));
        if limits.iter().flatten().all(|rate| *rate <= 0.0) {
            return Err(MigrationError::PlanWithoutLimit { key: format!("settings.contracts.{index}.rate") });
        }
        let reason =
            "caps on concurrent attempts are no longer supported; the plan is limited by its rate only";
        dropped
            .push(DroppedKey { key: format!("settings.contracts.{index}.max-out"), reason: reason.into() });
    }
    Ok(())
}

/// Returns the keys besides `settings` that are carried over, and adds the others to `dropped`.
fn carry_over_gateway_keys(
    old: &Map<String, Value>,
    may_message_peers: bool,
    dropped: &mut Vec<DroppedKey>,
) -> Map<String, Value> {
    let mut drop_key =
        |key: &str, reason: &str| dropped.push(DroppedKey { key: key.into(), reason: reason.into() });
    let mut configuration = Map::new();
    // Sorted by name, because the order of a parsed object depends on the build of the JSON library and the list must not.
    let mut keys: Vec<_> = old.iter().collect();
    keys.sort_by_key(|(key, _)| *key);
    for (key, value) in keys {
        match key.as_str() {
            "settings" => {}
            "known" => drop_key(
                key,
                "it names hosts of the old deployment; the gateway requests its first host list instead",
            ),
            key if PEER_KEYS.contains(&key) && !may_message_peers => {
                if value.as_array().is_none_or(|peers| !peers.is_empty()) {
                    drop_key(key, "gateways of the new shape may not communicate with each other");
                }
            }
            key if GATEWAY_KEYS.contains(&key) => {
                configuration.insert(key.to_string(), value.clone());
            }
            key => drop_key(key, "no gateway reads this key"),
        }
    }
    configuration
}
