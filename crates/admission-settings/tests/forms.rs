//! The two forms of the settings object, lines and JSON, give the same settings.

use archlink_admission_settings::{from_json, from_lines};
use serde_json::json;

#[test]
fn lines_and_json_give_the_same_settings() {
    let lines = "classes.count=1\nclasses.0.name=look\nclasses.0.effect=token\nclasses.0.key-scope=cell\n\
        classes.0.on-time-us=800000\nclasses.0.deadline-us=3000000\nclasses.0.memory-span-us=15000000\n\
        contracts.count=2\ncontracts.0.name=team\ncontracts.0.rate=1.5\ncontracts.0.burst=8.0\n\
        contracts.1.name=firm\ncontracts.1.never-over-rate=3\npeers-total=3\nself-index=2\nzones=a,b\nkinds=k\n\
        telemetry.fields=busy,lat_ms\nlimits.max-attempts=4\nlimits.probes=true\nlimits.idle-close-us=30000000\n\
        obligations.drain-grace-us=250000\nobligations.cold-from=0.23\nobligations.warm-up-us=15000000\n\
        obligations.tip-multiple=4.0\nobligations.overload-for-us=2000000\n";
    let nested = json!({
        "classes": [{"name": "look", "effect": "token", "key-scope": "cell", "on-time-us": 800_000,
            "deadline-us": 3_000_000, "memory-span-us": 15_000_000}],
        "contracts": [{"name": "team", "rate": 1.5, "burst": 8.0}, {"name": "firm", "never-over-rate": 3}],
        "peers-total": 3, "self-index": 2, "zones": ["a", "b"], "kinds": ["k"],
        "telemetry": {"fields": ["busy", "lat_ms"]},
        "limits": {"max-attempts": 4, "probes": true, "idle-close-us": 30_000_000},
        "obligations": {"drain-grace-us": 250_000, "cold-from": 0.23, "warm-up-us": 15_000_000,
            "tip-multiple": 4.0, "overload-for-us": 2_000_000}});
    let (lines, nested) = (from_lines(lines).unwrap(), from_json(&nested).unwrap());
    assert_eq!(format!("{lines:?}"), format!("{nested:?}"));
    assert_eq!((nested.zones.len(), nested.idle_close, nested.admission.plans[1].rate_limit), (2, 30.0, 3.0));
}

#[test]
fn limit_on_concurrent_attempts_is_rejected_with_its_key() {
    let parsed = from_json(&json!({"contracts": [{"name": "team", "max-out": 3}]}));
    assert!(parsed.unwrap_err().to_string().starts_with("contracts.0.max-out: "));
}
