//! The settings object as operators write it: every key that is read, and the field that its value goes to.

use archlink_admission::interface::{AdmissionSettings, DedupScope, Effect, PlanLimits, RequestClass};
use archlink_admission_settings::{ParsedSettings, from_json};
use serde_json::{Value, json};

fn whole() -> Value {
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
        admission: terms,
        classes: lanes,
        plans,
        zones,
        kinds,
        load_report_fields: report,
        connect_timeout,
        idle_close,
    } = from_json(&whole()).unwrap();
    assert_eq!((lanes, plans), (vec!["look".into(), "file".into(), "pay".into()], vec!["team".into()]));
    assert_eq!((zones, kinds), (vec!["a".to_string(), "b".into()], vec!["k".to_string(), "l".into()]));
    assert_eq!(
        (report, connect_timeout, idle_close),
        (vec!["busy".to_string(), "lat_ms".into()], 0.125, 30.0)
    );
    let AdmissionSettings {
        classes: lanes,
        plans,
        gateways,
        gateway_number: my_number,
        zone: my_zone,
        may_count,
        count_timeout,
        settles,
        max_units: most_units,
        must_subscribe,
        ask_within,
        sized,
        max_attempts: most_hand_offs,
        may_hedge: second_copies,
        may_cancel,
        may_probe,
        may_message_peers: may_tell,
        may_advise,
        max_retry_after: most_advice,
        drain_grace,
        cold_from,
        warm_up,
        tip_multiple,
        tip_for,
    } = terms;
    let RequestClass {
        latency_target: goal,
        client_timeout: abandon,
        importance,
        late_value: late_worth,
        effect,
        dedup_scope: group,
        dedup_window: memory,
    } = lanes[0].clone();
    assert_eq!((goal, abandon, importance, late_worth, memory), (0.8, 3.0, 2.5, 0.25, 15.0));
    assert!(matches!((effect, group), (Effect::Pure, DedupScope::Zone)));
    assert!(matches!((lanes[1].effect, lanes[1].dedup_scope), (Effect::Receipted, DedupScope::Cell)));
    assert!(matches!((lanes[2].effect, lanes[2].dedup_scope), (Effect::Effectful, DedupScope::All)));
    let PlanLimits {
        rate,
        burst,
        overage_revenue: over_earns,
        overage_cost: over_costs,
        price,
        rate_limit: ceiling_rate,
        rate_limit_burst: ceiling_burst,
        rate_limit_slack: ceiling_slack,
    } = plans[0].clone();
    assert_eq!((rate, burst, over_earns, over_costs), (1.5, 8.0, 0.5, 0.75));
    assert_eq!((price, ceiling_rate, ceiling_burst, ceiling_slack), (3.0, 4.0, 5.0, 6.0));
    assert_eq!((gateways, my_number, my_zone), (3, 2, 1));
    assert_eq!((may_count, count_timeout, settles, most_units), (true, 0.03, true, 4.0));
    assert_eq!((must_subscribe, ask_within, sized, most_hand_offs), (true, 2.5, true, 5));
    assert!(second_copies && may_cancel && may_probe && may_tell && may_advise);
    assert_eq!((most_advice, drain_grace, cold_from), (0.5, 0.25, 0.25));
    assert_eq!((warm_up, tip_multiple, tip_for), (14.0, 4.5, 2.0));
}

#[test]
fn wrong_value_is_refused_with_its_key() {
    for (at, value, error) in [
        ("/classes/0/effect", json!("x"), "classes.0.effect: unknown"),
        ("/classes/0/key-scope", json!("x"), "classes.0.key-scope: unknown"),
        ("/classes/0/on-time-us", json!("x"), "classes.0.on-time-us: not a number"),
        ("/classes/0/deadline-us", json!(-1), "classes.0.deadline-us: negative or infinite"),
        ("/classes/0/late-share", json!(2), "classes.0.late-share: a share, 0 to 1"),
        ("/contracts/0/rate", json!("x"), "contracts.0.rate: not a number"),
        ("/domain/may-count", json!("x"), "domain.may-count: neither true nor false"),
        ("/peers-total", json!("x"), "peers-total: not a number"),
        ("/limits/max-attempts", json!("x"), "limits.max-attempts: not a number"),
        ("/obligations/cold-from", json!("x"), "obligations.cold-from: not a number"),
    ] {
        let mut settings = whole();
        *settings.pointer_mut(at).unwrap() = value;
        assert_eq!(from_json(&settings).unwrap_err().to_string(), error);
    }
}
