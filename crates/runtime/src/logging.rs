//! Structured logging: one JSON object per line on standard error.
//!
//! | field | |
//! | --- | --- |
//! | `at` | seconds since logging was set up, rounded to milliseconds |
//! | `node` | the node's name in the settings file |
//! | `level` | `ERROR`, `WARN`, `INFO`, `DEBUG` or `TRACE` |
//! | `from` | the log target, by default the module that logs |
//! | `what` | the message |
//!
//! Each key-value pair of the record becomes a further field under its own key. For example,
//! `log::info!(epoch = 3, peer:% = address; "voter set committed")` adds the fields `epoch` (a number) and `peer` (a
//! string). Numbers and booleans keep their type, except for numbers that JSON cannot represent (infinity, NaN, more
//! than 64 bits). These become strings, like every other value. A key that equals one of the five standard fields gets
//! the prefix `field_`, so the standard fields are never overwritten.
//!
//! **Why `log`'s key-value pairs and not `tracing`:** the packages of this system already log through the `log` facade.
//! Its key-value pairs provide fields without a second facade and a second subscriber with its own levels, and a line
//! identifies its request, peer or proposal by a field rather than by a span. The thread that logs formats each line in
//! memory and writes it immediately, so no queue can lose the last lines of a process that exits.

use log::kv::{self, VisitSource, VisitValue};
use serde_json::{Map, Value};
use std::io::Write;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// The fields that every line has, and on which operators rely.
const STANDARD_FIELDS: [&str; 5] = ["at", "node", "level", "from", "what"];
/// Prefix for keys that equal one of the standard fields.
const CONFLICTING_KEY_PREFIX: &str = "field_";

const MILLISECONDS_PER_SECOND: f64 = 1e3;

/// Sets up logging to standard error at `level`, and logs panics as errors. May be called only once in a process.
///
/// # Panics
///
/// If the process already has a logger.
pub fn log_to_stderr(node: &str, level: log::LevelFilter) {
    let (node, started) = (node.to_string(), Instant::now());
    let write_line = move |output: &mut env_logger::fmt::Formatter, record: &log::Record| {
        writeln!(output, "{}", format_line(&node, started.elapsed().as_secs_f64(), record))
    };
    env_logger::Builder::new().filter_level(level).format(write_line).init();
    std::panic::set_hook(Box::new(|panic| log::error!("{panic}")));
}

/// Formats an error report on one line: the message of each context, then the attached strings.
pub fn report_line<C>(report: &error_stack::Report<C>) -> String {
    let attachments = report.frames().filter_map(|frame| frame.downcast_ref::<String>());
    attachments.fold(format!("{report:#}"), |line, attachment| format!("{line}; {attachment}"))
}

/// Formats the line of one record, without the line break. `at` is in seconds since the start.
fn format_line(node: &str, at: f64, record: &log::Record) -> String {
    let mut line = Map::new();
    line.insert("at".into(), ((at * MILLISECONDS_PER_SECOND).round() / MILLISECONDS_PER_SECOND).into());
    line.insert("node".into(), node.into());
    line.insert("level".into(), record.level().as_str().into());
    line.insert("from".into(), record.target().into());
    line.insert("what".into(), record.args().to_string().into());
    let mut fields = KeyValueFields { line };
    // This cannot fail: every value has a JSON representation.
    record.key_values().visit(&mut fields).ok();
    Value::Object(fields.line).to_string()
}

/// Adds the key-value pairs of a record to its line. Of pairs with the same key, the last one wins.
struct KeyValueFields {
    line: Map<String, Value>,
}

impl<'kvs> VisitSource<'kvs> for KeyValueFields {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let prefix = if STANDARD_FIELDS.contains(&key.as_str()) { CONFLICTING_KEY_PREFIX } else { "" };
        let mut field = JsonValue { value: Value::Null };
        value.visit(&mut field)?;
        self.line.insert(format!("{prefix}{key}"), field.value);
        Ok(())
    }
}

/// Converts the value of a key-value pair to JSON.
struct JsonValue {
    value: Value,
}

impl JsonValue {
    fn set(&mut self, value: impl Into<Value>) -> Result<(), kv::Error> {
        self.value = value.into();
        Ok(())
    }
}

impl<'v> VisitValue<'v> for JsonValue {
    /// Values of all types without a method below, including those captured by `:?` and `:%`, become strings.
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
