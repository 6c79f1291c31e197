//! The sample configuration of the demo and its tests.

use serde_json::json;

/// A configuration with an idempotent route, `/read/`, and a non-idempotent one, `/submit/`, both to the service `reports`. The
/// tenant `lab` may send `rate` requests per second in bursts of the same size; the tenant `free` has rate 0, which means no
/// limit.
pub fn configuration(version: u64, rate: u32) -> String {
    json!({
        "ConfigVersion": format!("{version:08x}"),
        "RouteTable": {
            "ColumnNames": ["Designation", "Origin", "PathPrefix", "Category", "Timeout", "Target", "Precedence",
                "MaxAttempts", "Service"],
            "Records": [["read", "reports.example", "/read/", "idempotent", "3s", "500ms", 1, 2, "reports"],
                ["submit", "reports.example", "/submit/", "non_idempotent", "3s", "500ms", 0, 2, "reports"]],
        },
        "ServiceTable": {
            "ColumnNames": ["Designation", "HealthPath", "MaxConnections"],
            "Records": [["reports", "/health", 100]],
        },
        "Subscribers": {
            "ColumnNames": ["Designation", "Credentials", "RatePerS", "BurstSize"],
            "Records": [["lab", ["lab-key"], rate, rate], ["free", ["free-key"], 0, 0]],
        },
    })
    .to_string()
}
