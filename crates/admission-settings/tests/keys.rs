//! Every key of the settings object as operators write it, and the field that its value is read into.

use archlink_admission::interface::{AdmissionSettings, DedupScope, Effect, PlanLimits, RequestClass};
use archlink_admission_settings::{ParsedSettings, from_json};
use serde_json::{Value, json};

fn all_keys() -> Value {
    json!({
        "classes": [
            {"name": "look", "effect": "pure", "key-scope": "zone", "on-time-us": 800_000, "deadline-us": 3_000_000,
                "points": 2.5, "late-share": 0.25, "memory-span-us": 15_000_000},
            {"name": "file", "effect": "token", "key-scope": "cell", "on-time-us": 1, "deadline-us": 2},
            {"name": "pay", "effect": "side_effect", "key-scope": "all", "on-time-us": 1, "deadline-us": 2},
        ],
        "contracts": [{"name": "team", "rate": 1.5, "burst": 8.0, "over-worth": 0.5, "excess-cost": 0.75, "price": 3.0,
            "never-over-rate": 4.0, "ceiling-burst": 5.0, "cap-slack": 6.0, "max-out": 0}],
        "peers-total": 3, "self-index": 2, "my-zone": 1, "zones": ["a", "b"], "kinds": ["k", "l"],
        "discovery": "subscribe", "weights": "size",
        "telemetry": {"fields": ["busy", "lat_ms"]},
        "domain": {"may-count": true, "counter-timeout-us": 30_000, "settles": true, "most-units": 4},
        "limits": {"max-attempts": 5, "second-copies": true, "may-cancel": true, "probes": true, "peers": true,
            "retry-after": true, "max-retry-after-us": 500_000, "connect-timeout-us": 125_000,
            "idle-close-us": 30_000_000},
        "obligations": {"must-ask-in-us": 2_500_000, "drain-grace-us": 250_000, "cold-from": 0.25,
            "warm-up-us": 14_000_000, "tip-multiple": 4.5, "overload-for-us": 2_000_000},
    })
}

#[test]
fn every_key_of_the_settings_object_is_read_into_its_field() {
    let ParsedSettings {
        admission: settings,
        classes: class_names,
        plans: plan_names,
        zones,
        kinds,
        load_report_fields,
        connect_timeout,
        idle_close,
    } = from_json(&all_keys()).unwrap();
    assert_eq!(
        (class_names, plan_names),
        (vec!["look".into(), "file".into(), "pay".into()], vec!["team".into()])
    );
    assert_eq!((zones, kinds), (vec!["a".to_string(), "b".into()], vec!["k".to_string(), "l".into()]));
    assert_eq!(
        (load_report_fields, connect_timeout, idle_close),
        (vec!["busy".to_string(), "lat_ms".into()], 0.125, 30.0)
    );
    let AdmissionSettings {
        classes,
        plans,
        gateways,
        gateway_number,
        zone,
        may_count,
        count_timeout,
        settles,
        max_units,
        must_subscribe,
        max_subscribe_wait,
        hosts_differ_in_capacity,
        max_attempts,
        may_hedge,
        may_cancel,
        may_probe,
        may_message_peers,
        may_send_retry_after,
        max_retry_after,
        drain_grace,
        cold_capacity_share,
        warm_up,
        overload_multiple,
        overload_duration,
    } = settings;
    let RequestClass {
        latency_target,
        client_timeout,
        importance,
        late_value,
        effect,
        dedup_scope,
        dedup_window,
    } = classes[0].clone();
    assert_eq!(
        (latency_target, client_timeout, importance, late_value, dedup_window),
        (0.8, 3.0, 2.5, 0.25, 15.0)
    );
    assert!(matches!((effect, dedup_scope), (Effect::Pure, DedupScope::Zone)));
    assert!(matches!((classes[1].effect, classes[1].dedup_scope), (Effect::Deduplicated, DedupScope::Cell)));
    assert!(matches!((classes[2].effect, classes[2].dedup_scope), (Effect::Effectful, DedupScope::All)));
    let PlanLimits {
        rate,
        burst,
        overage_revenue,
        overage_cost,
        price,
        rate_limit,
        rate_limit_burst,
        rate_limit_slack,
    } = plans[0].clone();
    assert_eq!((rate, burst, overage_revenue, overage_cost), (1.5, 8.0, 0.5, 0.75));
    assert_eq!((price, rate_limit, rate_limit_burst, rate_limit_slack), (3.0, 4.0, 5.0, 6.0));
    assert_eq!((gateways, gateway_number, zone), (3, 2, 1));
    assert_eq!((may_count, count_timeout, settles, max_units), (true, 0.03, true, 4.0));
    assert_eq!(
        (must_subscribe, max_subscribe_wait, hosts_differ_in_capacity, max_attempts),
        (true, 2.5, true, 5)
    );
    assert!(may_hedge && may_cancel && may_probe && may_message_peers && may_send_retry_after);
    assert_eq!((max_retry_after, drain_grace, cold_capacity_share), (0.5, 0.25, 0.25));
    assert_eq!((warm_up, overload_multiple, overload_duration), (14.0, 4.5, 2.0));
}

#[test]
fn invalid_value_is_rejected_with_its_key() {
    for (pointer, value, error) in [
        ("/classes/0/effect", json!("x"), "classes.0.effect: unknown value"),
        ("/classes/0/key-scope", json!("x"), "classes.0.key-scope: unknown value"),
        ("/classes/0/on-time-us", json!("x"), "classes.0.on-time-us: not a number"),
        ("/classes/0/deadline-us", json!(-1), "classes.0.deadline-us: negative or infinite"),
        ("/classes/0/late-share", json!(2), "classes.0.late-share: not a fraction from 0 to 1"),
        ("/contracts/0/rate", json!("x"), "contracts.0.rate: not a number"),
        ("/domain/may-count", json!("x"), "domain.may-count: neither true nor false"),
        ("/peers-total", json!("x"), "peers-total: not a number"),
        ("/limits/max-attempts", json!("x"), "limits.max-attempts: not a number"),
        ("/obligations/cold-from", json!("x"), "obligations.cold-from: not a number"),
    ] {
        let mut settings = all_keys();
        *settings.pointer_mut(pointer).unwrap() = value;
        assert_eq!(from_json(&settings).unwrap_err().to_string(), error);
    }
}
