//! Settings files as operators write them: the field that each key is read into, and the key and text of each error.

use archlink_config::{Settings, TimingBounds};
use serde_json::{Value, json};
use std::collections::HashMap;

fn complete_settings() -> Value {
    json!({
        "NodeName": "control-7", "IpAddress": "10.0.0.7", "Zone": "west", "Region": "coast",
        "Zones": {"west": "coast", "east": "inland"},
        "Listen": {"Front": "10.0.0.7:8206", "Ready": "10.0.0.7:8207", "Control": "10.0.0.7:8200",
            "Directory": "10.0.0.7:8209"},
        "InternalPorts": [7600, 7615], "SeedNodes": ["10.0.0.1:8200", "10.0.0.2:8201"], "FirstStart": true,
        "Tolerance": {"MachineLosses": 2}, "Limits": {"MemoryMb": 260.5, "FileDescriptors": 4100},
        "DataDir": "/data/archlink",
        "TimingBounds": ["Ack=6000ms,CatchUp=30s", "Drain=4s", "Grace=2500ms", "ConfigApply=1s", "Revoke=5s",
            "Evacuation=3s", "RetryBudgetRatio=0.2", "RetryBudgetSlack=50", "BudgetWindow=10s", "QuotaWindow=7s",
            "QuotaOverrun=0.1", "QuotaSlack=20", "ColdOverrun=1.5", "ColdSlack=5.5", "ttl_max=8s"],
        "Cloud": {"Address": "10.2.0.1:8205", "RatePerS": 47.5, "Lag": "800ms"},
    })
}

#[test]
fn every_key_of_a_settings_file_is_read_into_its_field() {
    let Settings {
        name,
        ip,
        zone,
        region,
        zones,
        client_address,
        readiness_address,
        operator_address,
        directory_address,
        internal_port,
        seeds,
        first_start,
        tolerated_losses,
        memory_bytes,
        max_descriptors,
        data_dir,
        timing_bounds,
        platform,
        platform_rate,
        platform_lag,
    } = Settings::read(&complete_settings().to_string()).unwrap();
    assert_eq!((name.as_str(), ip.to_string().as_str()), ("control-7", "10.0.0.7"));
    assert_eq!((zone.as_str(), region.as_str()), ("west", "coast"));
    let pairs = [("west", "coast"), ("east", "inland")].map(|(zone, region)| (zone.into(), region.into()));
    assert_eq!(zones, HashMap::from(pairs));
    let address = |text: &str| Some(text.parse().unwrap());
    assert_eq!(client_address, address("10.0.0.7:8206"));
    assert_eq!(readiness_address, address("10.0.0.7:8207"));
    assert_eq!(operator_address, address("10.0.0.7:8200"));
    assert_eq!(directory_address, address("10.0.0.7:8209"));
    assert_eq!(internal_port, 7600);
    assert_eq!(seeds, ["10.0.0.1:8200".parse().unwrap(), "10.0.0.2:8201".parse().unwrap()]);
    assert!(first_start);
    assert_eq!((tolerated_losses, memory_bytes, max_descriptors), (2, 260.5e6, 4100));
    assert_eq!(data_dir, Some("/data/archlink".into()));
    let expected = TimingBounds {
        ack: 6.0,
        catch_up: 30.0,
        drain: 4.0,
        grace: 2.5,
        config_apply: 1.0,
        revoke: 5.0,
        evacuation: 3.0,
        retry_ratio: 0.2,
        retry_slack: 50.0,
        budget_window: 10.0,
        quota_window: 7.0,
        quota_overrun: 0.1,
        quota_slack: 20.0,
        warm_up_overrun: 1.5,
        warm_up_slack: 5.5,
        ttl_max: 8.0,
    };
    assert_eq!(timing_bounds, expected);
    assert_eq!((platform, platform_rate, platform_lag), (address("10.2.0.1:8205"), 47.5, 0.8));
}

#[test]
fn missing_optional_keys_have_default_values() {
    let mut file = complete_settings();
    for key in ["Tolerance", "DataDir"] {
        file.as_object_mut().unwrap().remove(key).unwrap();
    }
    file["Listen"] = json!({});
    file["TimingBounds"] = json!([]);
    file["Cloud"] = json!({"RatePerS": 1.0});
    let settings = Settings::read(&file.to_string()).unwrap();
    assert_eq!(
        (
            settings.client_address,
            settings.readiness_address,
            settings.operator_address,
            settings.directory_address
        ),
        (None, None, None, None)
    );
    assert_eq!(
        (settings.tolerated_losses, settings.data_dir, settings.platform, settings.platform_lag),
        (1, None, None, 0.0)
    );
    let unbounded = f64::INFINITY;
    let expected = TimingBounds {
        ack: unbounded,
        catch_up: unbounded,
        drain: unbounded,
        grace: unbounded,
        config_apply: unbounded,
        revoke: unbounded,
        evacuation: unbounded,
        retry_ratio: unbounded,
        retry_slack: unbounded,
        budget_window: unbounded,
        quota_window: unbounded,
        quota_overrun: 0.0,
        quota_slack: 0.0,
        warm_up_overrun: 1.0,
        warm_up_slack: 0.0,
        ttl_max: unbounded,
    };
    assert_eq!(settings.timing_bounds, expected);
}

#[test]
fn value_that_is_not_allowed_is_rejected_with_key_and_allowed_values() {
    for (pointer, value, error) in [
        ("/IpAddress", json!("ten"), "IpAddress: found ten, allowed is an IPv4 address"),
        ("/Zone", json!("north"), "Zone: found north, allowed is one of Zones"),
        ("/InternalPorts", json!([]), "InternalPorts: found none, allowed is two ports"),
        ("/SeedNodes/1", json!("b"), "SeedNodes.1: found b, allowed is an IPv4 address and a port"),
        ("/Listen/Front", json!("b"), "Listen.Front: found b, allowed is an IPv4 address and a port"),
        ("/Listen/Ready", json!("b"), "Listen.Ready: found b, allowed is an IPv4 address and a port"),
        ("/Listen/Control", json!("b"), "Listen.Control: found b, allowed is an IPv4 address and a port"),
        ("/Listen/Directory", json!("b"), "Listen.Directory: found b, allowed is an IPv4 address and a port"),
        ("/Cloud/Address", json!("b"), "Cloud.Address: found b, allowed is an IPv4 address and a port"),
        ("/Cloud/Lag", json!("800"), "Cloud.Lag: found 800, allowed is a time such as 800ms"),
        ("/TimingBounds/1", json!("Drain"), "TimingBounds: found Drain, allowed is name=value"),
    ] {
        let mut file = complete_settings();
        *file.pointer_mut(pointer).unwrap() = value;
        let rejected = Settings::read(&file.to_string()).unwrap_err();
        assert_eq!(rejected.current_context().to_string(), error);
    }
    let times = ["Ack", "CatchUp", "Drain", "Grace", "ConfigApply", "Revoke", "Evacuation", "BudgetWindow"];
    let numbers =
        ["RetryBudgetRatio", "RetryBudgetSlack", "QuotaOverrun", "QuotaSlack", "ColdOverrun", "ColdSlack"];
    let times = times.into_iter().chain(["QuotaWindow", "ttl_max"]).map(|name| (name, "5", "a time"));
    let numbers = numbers.map(|name| (name, "-1", "a number of 0 or more"));
    for (name, value, allowed) in times.chain(numbers) {
        let mut file = complete_settings();
        file["TimingBounds"] = json!([format!("{name}={value}")]);
        let rejected = Settings::read(&file.to_string()).unwrap_err();
        let error = format!("TimingBounds.{name}: found {value}, allowed is {allowed}");
        assert_eq!(rejected.current_context().to_string(), error);
    }
}

#[test]
fn value_of_wrong_type_is_rejected_with_its_key() {
    for (key_path, value) in [
        ("NodeName", json!(1)),
        ("IpAddress", json!(1)),
        ("Zone", json!(1)),
        ("Region", json!(1)),
        ("Zones", json!([])),
        ("Zones.west", json!(1)),
        ("Listen", json!("a")),
        ("Listen.Front", json!(1)),
        ("Listen.Ready", json!(1)),
        ("Listen.Control", json!(1)),
        ("Listen.Directory", json!(1)),
        ("InternalPorts", json!(7600)),
        ("SeedNodes", json!("10.0.0.1:8200")),
        ("FirstStart", json!("yes")),
        ("Tolerance.MachineLosses", json!("two")),
        ("Limits.MemoryMb", json!("much")),
        ("Limits.FileDescriptors", json!(-1)),
        ("DataDir", json!(1)),
        ("TimingBounds", json!("Ack=1s")),
        ("Cloud.Address", json!(1)),
        ("Cloud.RatePerS", json!("fast")),
        ("Cloud.Lag", json!(1)),
    ] {
        let mut file = complete_settings();
        *file.pointer_mut(&format!("/{}", key_path.replace('.', "/"))).unwrap() = value;
        let rejected = Settings::read(&file.to_string()).unwrap_err();
        let error = rejected.current_context();
        assert_eq!((error.key.as_str(), error.allowed), ("settings", "a complete settings object"));
        assert!(error.found.contains(&format!("{key_path}:")), "{key_path}: {error}");
    }
}

const SMALL_FILE: &str = r#"{"NodeName":"a","IpAddress":"10.0.0.1","Zone":"z","Region":"r","Zones":{"z":"r"},
    "Listen":{"Front":"10.0.0.1:80","Later":1},"InternalPorts":[7600,7615],"SeedNodes":["10.0.0.1:82"],
    "FirstStart":true,"Limits":{"MemoryMb":260,"FileDescriptors":4100},"DataDir":null,"Unknown":{"a":[1]},
    "TimingBounds":["Ack=6000ms","QuotaOverrun=0.1,QuotaSlack=20"],
    "Cloud":{"Address":"10.2.0.1:8205","RatePerS":47.0,"Lag":"800ms"}}"#;

#[test]
fn unknown_fields_of_a_settings_file_are_ignored() {
    let settings = Settings::read(SMALL_FILE).unwrap();
    assert_eq!((settings.internal_port, settings.platform_lag, settings.timing_bounds.ack), (7600, 0.8, 6.0));
    assert_eq!((settings.timing_bounds.quota_overrun, settings.timing_bounds.drain), (0.1, f64::INFINITY));
}

#[test]
fn value_that_cannot_be_parsed_is_rejected_with_its_key() {
    for (from, to, key) in [
        ("\"10.0.0.1\"", "\"ten\"", "IpAddress"),
        ("10.0.0.1:82", "nowhere", "SeedNodes.0"),
        ("Ack=6000ms", "Ack=soon", "TimingBounds.Ack"),
        ("\"Zone\":\"z\"", "\"Zone\":\"y\"", "Zone"),
        ("[7600,7615]", "[]", "InternalPorts"),
        ("\"800ms\"", "\"800\"", "Cloud.Lag"),
    ] {
        let rejected = Settings::read(&SMALL_FILE.replace(from, to)).unwrap_err();
        assert_eq!(rejected.current_context().key, key);
    }
    let rejected = Settings::read(&SMALL_FILE.replace("[7600,7615]", "7600")).unwrap_err();
    assert!(rejected.current_context().found.contains("InternalPorts"), "{rejected}");
}

/// Parse errors quote the names of the types that mirror the file, and operators read them.
#[test]
fn parse_errors_keep_their_text() {
    for key in ["Listen", "Limits", "Tolerance", "Cloud"] {
        let mut file = complete_settings();
        file[key] = json!("x");
        let rejected = Settings::read(&file.to_string()).unwrap_err();
        let expected = format!("{key}: invalid type: string \"x\", expected struct Partial{key}File");
        assert!(rejected.current_context().found.contains(&expected), "{rejected}");
    }
    let rejected = Settings::read("1").unwrap_err();
    assert!(rejected.current_context().found.contains("expected struct PartialFile"), "{rejected}");
}
