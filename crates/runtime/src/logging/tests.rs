//! Formatting of log records and error reports: standard fields, key-value pairs, and conflicts between the two.

use super::{format_line, report_line};
use log::kv::Value;
use log::{Level, Record};
use serde_json::json;
use std::sync::Mutex;

/// Formats a record with these key-value pairs and parses the line.
fn line_with(pairs: &[(&str, Value)]) -> serde_json::Value {
    let record = Record::builder()
        .level(Level::Info)
        .target("archlink_control_plane::node")
        .args(format_args!("voter set committed"))
        .key_values(&pairs)
        .build();
    serde_json::from_str(&format_line("control-7", 1.23456, &record)).unwrap()
}

#[test]
fn line_without_key_value_pairs_has_only_the_standard_fields() {
    let record = Record::builder()
        .level(Level::Warn)
        .target("archlink_data_plane")
        .args(format_args!("a \"quoted\" text\nof two lines"))
        .build();
    let line = format_line("data-1", 1.9999, &record);
    // The order of the other fields depends on whether a package in the same build enables serde_json's `preserve_order`.
    assert!(line.starts_with(r#"{"at":2.0,"#) && !line.contains('\n'), "{line}");
    let expected = json!({
        "at": 2.0, "node": "data-1", "level": "WARN", "from": "archlink_data_plane",
        "what": "a \"quoted\" text\nof two lines",
    });
    assert_eq!(serde_json::from_str::<serde_json::Value>(&line).unwrap(), expected);
}

#[test]
fn key_value_pairs_are_added_to_the_standard_fields() {
    let address = std::net::SocketAddrV4::new([10, 0, 0, 7].into(), 7600);
    let line = line_with(&[
        ("epoch", Value::from(3_u64)),
        ("offset", Value::from(-4_i64)),
        ("elapsed_ms", Value::from(2.5)),
        ("joint", Value::from(true)),
        ("zone", Value::from("west")),
        ("peer", Value::from_display(&address)),
        ("voters", Value::from_debug(&[1, 2, 3])),
        ("previous", Value::null()),
    ]);
    let expected = json!({
        "at": 1.235, "node": "control-7", "level": "INFO", "from": "archlink_control_plane::node",
        "what": "voter set committed",
        "epoch": 3, "offset": -4, "elapsed_ms": 2.5, "joint": true, "zone": "west", "peer": "10.0.0.7:7600",
        "voters": "[1, 2, 3]", "previous": null,
    });
    assert_eq!(line, expected);
}

#[test]
fn key_value_pair_named_like_a_standard_field_does_not_overwrite_it() {
    let standard_fields = ["at", "node", "level", "from", "what"];
    let line = line_with(&standard_fields.map(|key| (key, Value::from("other"))));
    let expected = json!({
        "at": 1.235, "node": "control-7", "level": "INFO", "from": "archlink_control_plane::node",
        "what": "voter set committed",
        "field_at": "other", "field_node": "other", "field_level": "other", "field_from": "other",
        "field_what": "other",
    });
    assert_eq!(line, expected);
}

#[test]
fn number_that_json_cannot_represent_becomes_a_string() {
    let line = line_with(&[
        ("never", Value::from(f64::INFINITY)),
        ("unknown", Value::from(f64::NAN)),
        ("digest", Value::from(u128::MAX)),
    ]);
    assert_eq!((&line["never"], &line["unknown"]), (&json!("inf"), &json!("NaN")));
    assert_eq!(line["digest"], json!("340282366920938463463374607431768211455"));
}

/// A logger that collects the lines instead of writing them.
struct CollectingLogger(Mutex<Vec<String>>);

impl log::Log for CollectingLogger {
    fn enabled(&self, _: &log::Metadata) -> bool {
        true
    }

    fn log(&self, record: &Record) {
        self.0.lock().unwrap().push(format_line("control-7", 0.5, record));
    }

    fn flush(&self) {}
}

#[test]
fn key_value_pairs_of_a_log_macro_become_fields() {
    static LOGGER: CollectingLogger = CollectingLogger(Mutex::new(Vec::new()));
    log::set_logger(&LOGGER).unwrap();
    log::set_max_level(log::LevelFilter::Info);
    let address = std::net::Ipv4Addr::new(10, 0, 0, 7);
    log::info!(epoch = 3, peer:% = address, voters:? = [1, 2]; "voter set {}", "committed");
    let lines = LOGGER.0.lock().unwrap();
    let line: serde_json::Value = serde_json::from_str(&lines[0]).unwrap();
    let expected = json!({
        "at": 0.5, "node": "control-7", "level": "INFO", "from": module_path!(), "what": "voter set committed",
        "epoch": 3, "peer": "10.0.0.7", "voters": "[1, 2]",
    });
    assert_eq!((lines.len(), line), (1, expected));
}

#[test]
fn report_is_one_line_with_all_contexts_and_attachments() {
    let report = error_stack::Report::new(std::fmt::Error)
        .attach("the first note".to_string())
        .change_context(std::io::Error::from(std::io::ErrorKind::NotFound));
    let line = report_line(&report);
    let contexts = "entity not found: an error occurred when formatting an argument";
    assert_eq!(line, format!("{contexts}; the first note"));
}
