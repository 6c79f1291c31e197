//! The settings of the old deployment with those of the new one over them.

use crate::Dropped;
use crate::error::MigrationError;
use serde_json::{Map, Value};

/// Lists whose entries are known by their names.
const NAMED_LISTS: [&str; 2] = ["classes", "contracts"];

/// Merges `shape` over `old`, key by key; lists as a whole, but for those whose entries have names. `path` is the key of
/// both, for errors and for what is dropped.
pub(crate) fn merge(
    old: &Map<String, Value>,
    shape: &Map<String, Value>,
    path: &str,
    dropped: &mut Vec<Dropped>,
) -> Result<Map<String, Value>, MigrationError> {
    let mut merged = old.clone();
    for (key, new) in shape {
        let path = format!("{path}.{key}");
        let value = match (old.get(key), new) {
            (Some(Value::Array(old)), Value::Array(new)) if NAMED_LISTS.contains(&key.as_str()) => {
                merge_named(old, new, &path, dropped)?
            }
            (Some(Value::Object(old)), Value::Object(new)) => Value::Object(merge(old, new, &path, dropped)?),
            (Some(Value::Object(_)), _) => return Err(MigrationError::ObjectExpected { key: path }),
            _ => new.clone(),
        };
        merged.insert(key.clone(), value);
    }
    Ok(merged)
}

fn name(entry: &Value) -> Option<&str> {
    entry.get("name").and_then(Value::as_str)
}

/// The shape's entries in its order, each over the old one of its name.
fn merge_named(
    old: &[Value],
    new: &[Value],
    path: &str,
    dropped: &mut Vec<Dropped>,
) -> Result<Value, MigrationError> {
    let mut list = Vec::new();
    for (n, entry) in new.iter().enumerate() {
        let path = format!("{path}.{n}");
        let fields =
            entry.as_object().ok_or_else(|| MigrationError::EntryNotAnObject { key: path.clone() })?;
        let entry_name =
            name(entry).ok_or_else(|| MigrationError::NameMissing { key: format!("{path}.name") })?;
        let before = old.iter().find(|entry| name(entry) == Some(entry_name)).and_then(Value::as_object);
        list.push(Value::Object(merge(before.unwrap_or(&Map::new()), fields, &path, dropped)?));
    }
    for (n, gone) in old.iter().enumerate().filter(|(_, old)| !new.iter().any(|new| name(new) == name(old))) {
        let reason = format!("{:?} does not exist in the new shape", name(gone).unwrap_or_default());
        dropped.push(Dropped { key: format!("{path}.{n}"), reason });
    }
    Ok(Value::Array(list))
}
