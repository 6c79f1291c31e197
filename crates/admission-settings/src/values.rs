//! Typed access to the values of a settings object by the paths of their keys.

use crate::error::{Problem, SettingsError};
use serde_json::Value;
use std::collections::BTreeMap;

/// The largest number of classes or plans.
const MAX_ENTRIES: f64 = 10_000.0;
/// Microseconds in a second; times in the settings are in microseconds.
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// Values by the paths of their keys.
pub(crate) struct Values(BTreeMap<String, String>);

impl Values {
    /// Reads lines of `path=value`; other lines are ignored.
    pub(crate) fn from_lines(text: &str) -> Values {
        let pairs = text.lines().filter_map(|line| line.split_once('='));
        Values(pairs.map(|(key, value)| (key.to_string(), value.to_string())).collect())
    }

    /// Reads nested JSON, flattened to the same paths.
    pub(crate) fn from_json(settings: &Value) -> Values {
        let mut values = BTreeMap::new();
        flatten(settings, String::new(), &mut values);
        Values(values)
    }

    pub(crate) fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(String::as_str)
    }

    pub(crate) fn text(&self, key: &str) -> Result<&str, SettingsError> {
        self.get(key).ok_or_else(|| error_at(key, Problem::Missing))
    }

    /// A finite number that is not negative.
    pub(crate) fn number(&self, key: &str) -> Result<f64, SettingsError> {
        let value: f64 = self.text(key)?.parse().map_err(|_| error_at(key, Problem::NotANumber))?;
        if !value.is_finite() || value < 0.0 {
            return Err(error_at(key, Problem::NegativeOrInfinite));
        }
        Ok(value)
    }

    pub(crate) fn number_or(&self, key: &str, absent: f64) -> Result<f64, SettingsError> {
        if self.get(key).is_some() { self.number(key) } else { Ok(absent) }
    }

    /// A time in microseconds, as seconds.
    pub(crate) fn seconds(&self, key: &str) -> Result<f64, SettingsError> {
        Ok(self.number(key)? / MICROSECONDS_PER_SECOND)
    }

    /// Like `seconds`, with a default; `absent` is in microseconds as well.
    pub(crate) fn seconds_or(&self, key: &str, absent: f64) -> Result<f64, SettingsError> {
        Ok(self.number_or(key, absent)? / MICROSECONDS_PER_SECOND)
    }

    /// A fraction from 0 to 1, with a default.
    pub(crate) fn fraction_or(&self, key: &str, absent: f64) -> Result<f64, SettingsError> {
        match self.number_or(key, absent)? {
            fraction if fraction <= 1.0 => Ok(fraction),
            _ => Err(error_at(key, Problem::NotAFraction)),
        }
    }

    /// A boolean, false if absent.
    pub(crate) fn flag(&self, key: &str) -> Result<bool, SettingsError> {
        match self.get(key) {
            None | Some("false") => Ok(false),
            Some("true") => Ok(true),
            Some(_) => Err(error_at(key, Problem::NotABoolean)),
        }
    }

    /// The number of entries in a list.
    pub(crate) fn count(&self, key: &str) -> Result<usize, SettingsError> {
        let count = self.number(key)?;
        if count <= MAX_ENTRIES { Ok(count as usize) } else { Err(error_at(key, Problem::TooMany)) }
    }

    /// Values separated by commas.
    pub(crate) fn list(&self, key: &str) -> Vec<String> {
        let text = self.get(key).unwrap_or("");
        text.split(',').filter(|entry| !entry.is_empty()).map(str::to_string).collect()
    }

    /// Names of the entries in a list of objects; an entry without a name gets an empty one.
    pub(crate) fn names(&self, list: &str) -> Result<Vec<String>, SettingsError> {
        let name = |n: usize| self.get(&format!("{list}.{n}.name")).unwrap_or_default().to_string();
        Ok((0..self.count(&format!("{list}.count"))?).map(name).collect())
    }
}

/// The error for the value at `key`.
pub(crate) fn error_at(key: impl Into<String>, problem: Problem) -> SettingsError {
    SettingsError { key: key.into(), problem }
}

/// Flattens a JSON value: a list of objects becomes `path.count` and `path.N.key`, a list of scalars `path.count` and one
/// comma-separated value.
fn flatten(value: &Value, path: String, values: &mut BTreeMap<String, String>) {
    let path_of = |name: &str| if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
    match value {
        Value::Object(fields) => {
            fields.iter().for_each(|(name, field)| flatten(field, path_of(name), values))
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            values.insert(path_of("count"), items.len().to_string());
            items.iter().enumerate().for_each(|(n, item)| flatten(item, path_of(&n.to_string()), values));
        }
        Value::Array(items) => {
            let entries: Vec<String> = items.iter().map(scalar).collect();
            values.insert(path_of("count"), items.len().to_string());
            values.insert(path, entries.join(","));
        }
        value => {
            values.insert(path, scalar(value));
        }
    }
}

fn scalar(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_string)
}
