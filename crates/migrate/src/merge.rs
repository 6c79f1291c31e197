//! Merges the settings of the new deployment into those of the old one.

use crate::DroppedKey;
use crate::error::MigrationError;
use serde_json::{Map, Value};

/// Lists whose entries are identified by name.
const NAMED_LISTS: [&str; 2] = ["classes", "contracts"];

/// Overrides `old` with `shape` key by key. Lists are replaced as a whole, except those whose entries are identified by name.
/// `path` is the path of both objects, for errors and dropped keys.
pub(crate) fn merge(
    old: &Map<String, Value>,
    shape: &Map<String, Value>,
    path: &str,
    dropped: &mut Vec<DroppedKey>,
) -> Result<Map<String, Value>, MigrationError> {
    let mut merged = old.clone();
    for (key, new) in shape {
        let path = format!("{path}.{key}");
        let value = match (old.get(key), new) {
            (Some(Value::Array(old)), Value::Array(new)) if NAMED_LISTS.contains(&key.as_str()) => {
                merge_named_list(old, new, &path, dropped)?
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

/// Merges each entry of the new list, in its order, with the old entry of the same name.
fn merge_named_list(
    old: &[Value],
    new: &[Value],
    path: &str,
    dropped: &mut Vec<DroppedKey>,
) -> Result<Value, MigrationError> {
    let mut list = Vec::new();
    for (index, entry) in new.iter().enumerate() {
        let path = format!("{path}.{index}");
        let fields =
            entry.as_object().ok_or_else(|| MigrationError::EntryNotAnObject { key: path.clone() })?;
        let entry_name =
            name(entry).ok_or_else(|| MigrationError::NameMissing { key: format!("{path}.name") })?;
        let old_entry = old.iter().find(|entry| name(entry) == Some(entry_name)).and_then(Value::as_object);
        list.push(Value::Object(merge(old_entry.unwrap_or(&Map::new()), fields, &path, dropped)?));
    }
    for (index, removed) in
        old.iter().enumerate().filter(|(_, old)| !new.iter().any(|new| name(new) == name(old)))
    {
        let reason = format!("{:?} does not exist in the new shape", name(removed).unwrap_or_default());
        dropped.push(DroppedKey { key: format!("{path}.{index}"), reason });
    }
    Ok(Value::Array(list))
}
