//! A gateway's configuration turned into its counterpart for another shape of deployment. Free of files; starts from
//! nothing but values that the old configuration or the shape gives.

mod error;
mod merge;

pub use error::MigrationError;

use merge::merge;
use serde_json::{Map, Value};

/// The counterpart, and what it could not carry over.
#[derive(Debug)]
pub struct Counterpart {
    /// The new configuration.
    pub file: Value,
    /// What the old one had and the new one has not.
    pub dropped: Vec<Dropped>,
}

/// A key that was not carried over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dropped {
    /// Its path.
    pub key: String,
    /// Why.
    pub reason: String,
}

/// Keys beside `settings` that a gateway reads: its own name, addresses and limits, which no shape changes.
const GATEWAY_KEYS: [&str; 10] =
    ["name", "listen", "discovery", "counter", "peer_listen", "peers", "peers_all", "limits", "seed", "log"];
/// Keys about other gateways.
const PEER_KEYS: [&str; 3] = ["peer_listen", "peers", "peers_all"];

/// `old`: the gateway's whole configuration. `shape`: the settings of the new deployment, or those that differ; what it
/// states replaces the old, key by key, lists as a whole. Classes and plans of one name take over what the shape does
/// not mention.
///
/// # Errors
/// Name the key: a part that is no object, or a counterpart that no gateway would start with.
pub fn counterpart(old: &Value, shape: &Value) -> Result<Counterpart, MigrationError> {
    let old = old.as_object().ok_or(MigrationError::ConfigurationNotAnObject)?;
    let shape = shape.as_object().ok_or(MigrationError::ShapeNotAnObject)?;
    let settings = old.get("settings").and_then(Value::as_object).ok_or(MigrationError::SettingsMissing)?;
    let mut dropped = Vec::new();
    let mut settings = merge(settings, shape, "settings", &mut dropped)?;
    drop_caps(&mut settings, &mut dropped)?;
    let parsed = archlink_admission_settings::from_json(&Value::Object(settings.clone()))
        .map_err(MigrationError::Settings)?;
    let mut file = gateway_keys(old, parsed.admission.may_message_peers, &mut dropped);
    let (number, gateways) = (parsed.admission.gateway_number, parsed.admission.gateways);
    if number >= gateways {
        return Err(MigrationError::GatewayNumber { number, gateways });
    }
    if parsed.admission.may_count && file.get("counter").is_none_or(Value::is_null) {
        return Err(MigrationError::CounterMissing);
    }
    file.insert("settings".into(), Value::Object(settings));
    Ok(Counterpart { file: Value::Object(file), dropped })
}

/// Removes caps on attempts open at once, which are no longer kept. A plan that had no other limit is an error: without its
/// cap it would admit everything.
fn drop_caps(settings: &mut Map<String, Value>, dropped: &mut Vec<Dropped>) -> Result<(), MigrationError> {
    let plans = settings.get_mut("contracts").and_then(Value::as_array_mut);
    for (n, plan) in plans.into_iter().flatten().enumerate() {
        let capped = plan.get("max-out").and_then(Value::as_f64).is_some_and(|cap| cap > 0.0);
        let (true, Some(plan)) = (capped, plan.as_object_mut()) else { continue };
        plan.remove("max-out");
        let limits = ["rate", "never-over-rate"].map(|key| plan.get(key).and_then(Value::as_f64));
        if limits.iter().flatten().all(|rate| *rate <= 0.0) {
            return Err(MigrationError::PlanWithoutLimit { key: format!("settings.contracts.{n}.rate") });
        }
        let reason = "no cap on hand-offs open at once is kept any more: the plan has its rate alone";
        dropped.push(Dropped { key: format!("settings.contracts.{n}.max-out"), reason: reason.into() });
    }
    Ok(())
}

/// The keys beside `settings` that are carried over.
fn gateway_keys(
    old: &Map<String, Value>,
    may_message_peers: bool,
    dropped: &mut Vec<Dropped>,
) -> Map<String, Value> {
    let mut drop_key =
        |key: &str, reason: &str| dropped.push(Dropped { key: key.into(), reason: reason.into() });
    let mut file = Map::new();
    // By name: the order of a parsed object depends on how the JSON library is built, a listing must not.
    let mut keys: Vec<_> = old.iter().collect();
    keys.sort_by_key(|(key, _)| *key);
    for (key, value) in keys {
        match key.as_str() {
            "settings" => {}
            "known" => {
                drop_key(key, "it names hosts of the old deployment; the first list is asked for instead")
            }
            key if PEER_KEYS.contains(&key) && !may_message_peers => {
                if value.as_array().is_none_or(|peers| !peers.is_empty()) {
                    drop_key(key, "gateways of the new shape may not talk to each other");
                }
            }
            key if GATEWAY_KEYS.contains(&key) => {
                file.insert(key.to_string(), value.clone());
            }
            key => drop_key(key, "no gateway reads this key"),
        }
    }
    file
}
