//! A gateway's configuration turned into its counterpart for another shape of deployment. Owns what is carried over,
//! what is not, and why; free of files. Must never start from a value that neither the old file nor the shape gives.
#![forbid(unsafe_code)]

use serde_json::{Map, Value};

/// The counterpart, and what it could not carry over: a key and the reason.
#[derive(Debug)]
pub struct Counterpart {
    pub file: Value,
    pub left: Vec<(String, String)>,
}

/// Keys beside `settings` that a gateway reads: its own name, addresses and limits, which no shape changes.
const OWN: [&str; 10] =
    ["name", "listen", "discovery", "counter", "peer_listen", "peers", "peers_all", "limits", "seed", "log"];
const PEERS: [&str; 3] = ["peer_listen", "peers", "peers_all"];
/// Lists whose entries are known by their names.
const NAMED: [&str; 2] = ["classes", "contracts"];

/// `old`: the gateway's whole configuration. `shape`: the settings of the new deployment, or those that differ; what
/// it states replaces the old, key by key, lists as a whole. Lanes and plans of one name take over what the shape
/// says nothing of. Errors name the key: a part that is no object, or a counterpart that no gateway would start with.
pub fn counterpart(old: &Value, shape: &Value) -> Result<Counterpart, String> {
    let old = old.as_object().ok_or("the configuration is no JSON object")?;
    let shape = shape.as_object().ok_or("the shape is no JSON object")?;
    let settings = old.get("settings").and_then(Value::as_object).ok_or("settings: missing or no object")?;
    let mut left = Vec::new();
    let mut leave = |key: &str, why: &str| left.push((key.to_string(), why.to_string()));
    let mut settings = merged(settings, shape, "settings", &mut leave)?;
    let plans = settings.get_mut("contracts").and_then(Value::as_array_mut);
    for (n, plan) in plans.into_iter().flatten().enumerate() {
        let capped = plan.get("max-out").and_then(Value::as_f64).is_some_and(|most| most > 0.0);
        if let (true, Some(plan)) = (capped, plan.as_object_mut()) {
            plan.remove("max-out");
            // Without its cap such a plan would let everything on, which nobody asked for.
            let limited = ["rate", "never-over-rate"].map(|key| plan.get(key).and_then(Value::as_f64));
            if limited.iter().flatten().all(|rate| *rate <= 0.0) {
                let at = format!("settings.contracts.{n}.rate");
                return Err(format!(
                    "{at}: missing; the cap was the plan's only limit: state a rate in the shape"
                ));
            }
            let why = "no cap on hand-offs open at once is kept any more: the plan has its rate alone";
            leave(&format!("settings.contracts.{n}.max-out"), why);
        }
    }
    let told = archlink_admission_settings::from_json(&Value::Object(settings.clone()))
        .map_err(|e| format!("settings.{e}"))?;
    let mut file = Map::new();
    // By name: the order of a parsed object hangs on how the JSON library is built, a listing must not.
    let mut keys: Vec<_> = old.iter().collect();
    keys.sort_by_key(|(key, _)| *key);
    for (key, value) in keys {
        match key.as_str() {
            "settings" => {}
            "known" => {
                leave(key, "it names hosts of the old deployment; the first list is asked for instead")
            }
            key if PEERS.contains(&key) && !told.admission.may_message_peers => {
                if value.as_array().is_none_or(|peers| !peers.is_empty()) {
                    leave(key, "gateways of the new shape may not talk to each other");
                }
            }
            key if OWN.contains(&key) => drop(file.insert(key.to_string(), value.clone())),
            key => leave(key, "no gateway reads this key"),
        }
    }
    if told.admission.gateway_number >= told.admission.gateways {
        let (number, all) = (told.admission.gateway_number, told.admission.gateways);
        return Err(format!("settings.self-index: {number} is none of the {all} gateways of the new shape"));
    }
    if told.admission.may_count && file.get("counter").is_none_or(Value::is_null) {
        return Err("counter: missing, though the new shape counts (settings.domain.may-count)".into());
    }
    file.insert("settings".into(), Value::Object(settings));
    Ok(Counterpart { file: Value::Object(file), left })
}

type Leave<'a> = &'a mut dyn FnMut(&str, &str);

fn merged(
    old: &Map<String, Value>,
    shape: &Map<String, Value>,
    at: &str,
    leave: Leave,
) -> Result<Map<String, Value>, String> {
    let mut all = old.clone();
    for (key, new) in shape {
        let path = format!("{at}.{key}");
        let whole = match (old.get(key), new) {
            (Some(Value::Array(was)), Value::Array(now)) if NAMED.contains(&key.as_str()) => {
                named(was, now, &path, leave)?
            }
            (Some(Value::Object(was)), Value::Object(now)) => Value::Object(merged(was, now, &path, leave)?),
            (Some(Value::Object(_)), _) => {
                return Err(format!("{path}: an object in the old file, not in the shape"));
            }
            _ => new.clone(),
        };
        all.insert(key.clone(), whole);
    }
    Ok(all)
}

/// The shape's entries in its order, each over the old one of its name.
fn named(was: &[Value], now: &[Value], path: &str, leave: Leave) -> Result<Value, String> {
    let name = |entry: &Value| entry.get("name").and_then(Value::as_str).map(str::to_string);
    let mut list = Vec::new();
    for (n, entry) in now.iter().enumerate() {
        let fields = entry.as_object().ok_or(format!("{path}.{n}: no object"))?;
        let called = name(entry).ok_or(format!("{path}.{n}.name: missing"))?;
        let before = was.iter().find(|w| name(w).as_ref() == Some(&called)).and_then(Value::as_object);
        let none = Map::new();
        list.push(Value::Object(merged(before.unwrap_or(&none), fields, &format!("{path}.{n}"), leave)?));
    }
    for (n, gone) in was.iter().enumerate().filter(|(_, w)| !now.iter().any(|e| name(e) == name(w))) {
        let called = name(gone).unwrap_or_default();
        leave(&format!("{path}.{n}"), &format!("{called:?} does not exist in the new shape"));
    }
    Ok(Value::Array(list))
}
