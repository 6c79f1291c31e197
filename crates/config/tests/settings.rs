//! The settings file as operators write it: every key that is read, where its value goes, and which key an error names.

use archlink_config::{Settings, TimingBounds};
use serde_json::{Value, json};
use std::collections::HashMap;

fn whole_file() -> Value {
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
        client_address: front,
        readiness_address: ready,
        operator_address: control,
        directory_address: directory,
        internal_port: port,
        seeds,
        first_start,
        tolerated_losses: losses,
        memory_bytes: memory,
        max_descriptors: descriptors,
        data_dir: data,
        timing_bounds: bounds,
        platform: cloud,
        platform_rate: cloud_rate,
        platform_lag: cloud_lag,
    } = Settings::read(&whole_file().to_string()).unwrap();
    assert_eq!((name.as_str(), ip.to_string().as_str()), ("control-7", "10.0.0.7"));
    assert_eq!((zone.as_str(), region.as_str()), ("west", "coast"));
    let pairs = [("west", "coast"), ("east", "inland")].map(|(zone, region)| (zone.into(), region.into()));
    assert_eq!(zones, HashMap::from(pairs));
    let address = |text: &str| Some(text.parse().unwrap());
    assert_eq!(front, address("10.0.0.7:8206"));
    assert_eq!(ready, address("10.0.0.7:8207"));
    assert_eq!(control, address("10.0.0.7:8200"));
    assert_eq!(directory, address("10.0.0.7:8209"));
    assert_eq!(port, 7600);
    assert_eq!(seeds, ["10.0.0.1:8200".parse().unwrap(), "10.0.0.2:8201".parse().unwrap()]);
    assert!(first_start);
    assert_eq!((losses, memory, descriptors), (2, 260.5e6, 4100));
    assert_eq!(data, Some("/data/archlink".into()));
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
    assert_eq!(bounds, expected);
    assert_eq!((cloud, cloud_rate, cloud_lag), (address("10.2.0.1:8205"), 47.5, 0.8));
}

#[test]
fn optional_keys_that_are_left_out_have_these_values() {
    let mut file = whole_file();
    for key in ["Tolerance", "DataDir"] {
        file.as_object_mut().unwrap().remove(key).unwrap();
    }
    file["Listen"] = json!({});
    file["TimingBounds"] = json!([]);
    file["Cloud"] = json!({"RatePerS": 1.0});
    let read = Settings::read(&file.to_string()).unwrap();
    assert_eq!(
        (read.client_address, read.readiness_address, read.operator_address, read.directory_address),
        (None, None, None, None)
    );
    assert_eq!(
        (read.tolerated_losses, read.data_dir, read.platform, read.platform_lag),
        (1, None, None, 0.0)
    );
    let none = f64::INFINITY;
    let expected = TimingBounds {
        ack: none,
        catch_up: none,
        drain: none,
        grace: none,
        config_apply: none,
        revoke: none,
        evacuation: none,
        retry_ratio: none,
        retry_slack: none,
        budget_window: none,
        quota_window: none,
        quota_overrun: 0.0,
        quota_slack: 0.0,
        warm_up_overrun: 1.0,
        warm_up_slack: 0.0,
        ttl_max: none,
    };
    assert_eq!(read.timing_bounds, expected);
}

#[test]
fn a_value_that_is_not_allowed_is_refused_with_its_key_and_what_is_allowed() {
    for (at, value, error) in [
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
        let mut file = whole_file();
        *file.pointer_mut(at).unwrap() = value;
        let refused = Settings::read(&file.to_string()).unwrap_err();
        assert_eq!(refused.current_context().to_string(), error);
    }
    let times = ["Ack", "CatchUp", "Drain", "Grace", "ConfigApply", "Revoke", "Evacuation", "BudgetWindow"];
    let figures =
        ["RetryBudgetRatio", "RetryBudgetSlack", "QuotaOverrun", "QuotaSlack", "ColdOverrun", "ColdSlack"];
    let times = times.into_iter().chain(["QuotaWindow", "ttl_max"]).map(|name| (name, "5", "a time"));
    let figures = figures.map(|name| (name, "-1", "a number of 0 or more"));
    for (name, value, allowed) in times.chain(figures) {
        let mut file = whole_file();
        file["TimingBounds"] = json!([format!("{name}={value}")]);
        let refused = Settings::read(&file.to_string()).unwrap_err();
        let error = format!("TimingBounds.{name}: found {value}, allowed is {allowed}");
        assert_eq!(refused.current_context().to_string(), error);
    }
}

#[test]
fn a_value_of_another_type_is_refused_with_its_key() {
    for (at, value) in [
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
        let mut file = whole_file();
        *file.pointer_mut(&format!("/{}", at.replace('.', "/"))).unwrap() = value;
        let refused = Settings::read(&file.to_string()).unwrap_err();
        let error = refused.current_context();
        assert_eq!((error.key.as_str(), error.allowed), ("settings", "a whole settings object"));
        assert!(error.found.contains(&format!("{at}:")), "{at}: {error}");
    }
}
