//! Log lines: one JSON object a line on standard error.
//!
//! | field | |
//! | --- | --- |
//! | `at` | seconds since the start of the process, to the millisecond |
//! | `node` | name of the node in the settings file |
//! | `level` | `ERROR`, `WARN`, `INFO`, `DEBUG` or `TRACE` |
//! | `from` | module that logs |
//! | `what` | the message |
//!
//! Beside these stands each key-value pair of the record, by its own key: `log::info!(epoch = 3, peer:% = address; "voter
//! set committed")` has the fields `epoch` (a number) and `peer` (a text). Numbers and booleans stay what they are, except
//! for numbers that JSON can't hold (infinity, NaN, above 64 bits), which become texts like everything else. A key that is
//! one of the five above gets the prefix `field_`: the five always mean what the table says.
//!
//! **Why `log`'s key-value pairs and not `tracing`:** the packages of this system log through the facade `log` already. Its
//! key-value pairs give fields without a second facade and a second subscriber with levels of its own, and a line names its
//! request, peer or proposal by a field rather than by a span. A line is formatted in memory and written at once by the
//! thread that logs: no queue loses the last lines of a process that ends.

use log::kv::{self, VisitSource, VisitValue};
use serde_json::{Map, Value};
use std::io::Write;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// The fields that every line has, by which operators read the log.
const STANDARD_FIELDS: [&str; 5] = ["at", "node", "level", "from", "what"];
/// Prefix of a key-value pair whose key is one of the standard fields.
const RENAMED_PREFIX: &str = "field_";

const MILLISECONDS_PER_SECOND: f64 = 1e3;

/// Logs to standard error from now on, panics included. May be called once in a process.
///
/// # Panics
///
/// Where the process has a logger already.
pub fn log_to_stderr(node: &str, level: log::LevelFilter) {
    let (node, started) = (node.to_string(), Instant::now());
    let write_line = move |output: &mut env_logger::fmt::Formatter, record: &log::Record| {
        writeln!(output, "{}", format_line(&node, started.elapsed().as_secs_f64(), record))
    };
    env_logger::Builder::new().filter_level(level).format(write_line).init();
    std::panic::set_hook(Box::new(|panic| log::error!("{panic}")));
}

/// An error on one line: the message of each layer, and the notes attached to it.
pub fn report_line<C>(report: &error_stack::Report<C>) -> String {
    let notes = report.frames().filter_map(|frame| frame.downcast_ref::<String>());
    notes.fold(format!("{report:#}"), |line, note| format!("{line}; {note}"))
}

/// The line of one record, without the line break; `at` is in seconds since the start.
fn format_line(node: &str, at: f64, record: &log::Record) -> String {
    let mut line = Map::new();
    line.insert("at".into(), ((at * MILLISECONDS_PER_SECOND).round() / MILLISECONDS_PER_SECOND).into());
    line.insert("node".into(), node.into());
    line.insert("level".into(), record.level().as_str().into());
    line.insert("from".into(), record.target().into());
    line.insert("what".into(), record.args().to_string().into());
    let mut fields = KeyValueFields(line);
    // Collecting never fails: each value has a form in JSON.
    record.key_values().visit(&mut fields).ok();
    let KeyValueFields(line) = fields;
    Value::Object(line).to_string()
}

/// Collects the key-value pairs of a record after the standard fields. Of two with one key the later one holds.
struct KeyValueFields(Map<String, Value>);

impl<'kvs> VisitSource<'kvs> for KeyValueFields {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let prefix = if STANDARD_FIELDS.contains(&key.as_str()) { RENAMED_PREFIX } else { "" };
        let mut field = JsonValue(Value::Null);
        value.visit(&mut field)?;
        self.0.insert(format!("{prefix}{key}"), field.0);
        Ok(())
    }
}

/// A value of a key-value pair as JSON.
struct JsonValue(Value);

impl JsonValue {
    fn set(&mut self, value: impl Into<Value>) -> Result<(), kv::Error> {
        self.0 = value.into();
        Ok(())
    }
}

impl<'v> VisitValue<'v> for JsonValue {
    /// All kinds without a method below, among them `:?` and `:%`: as text.
    fn visit_any(&mut self, value: kv::Value) -> Result<(), kv::Error> {
        self.set(value.to_string())
    }

    fn visit_null(&mut self) -> Result<(), kv::Error> {
        self.set(Value::Null)
    }

    fn visit_u64(&mut self, value: u64) -> Result<(), kv::Error> {
        self.set(value)
    }

    fn visit_i64(&mut self, value: i64) -> Result<(), kv::Error> {
        self.set(value)
    }

    fn visit_f64(&mut self, value: f64) -> Result<(), kv::Error> {
        if value.is_finite() { self.set(value) } else { self.set(value.to_string()) }
    }

    fn visit_bool(&mut self, value: bool) -> Result<(), kv::Error> {
        self.set(value)
    }
}
