//! Header fields and paths of the client and host protocols. Field names are matched case-insensitively.

/// The client's identifier of a request, unique to that request.
pub const REQ_ID: &str = "Req-Id";
/// Name of the customer's plan.
pub const X_TARIFF: &str = "X-Tariff";
/// Seconds for which the sender waits for an answer.
pub const REQ_DEADLINE: &str = "Req-Deadline";
/// Weight of a request: `units=2,spread=3,first=1`.
pub const X_WEIGHT: &str = "X-Weight";
/// Key by which hosts recognize repeats of a deduplicated request (`Effect::Deduplicated`).
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// A host's load report: `util=0.5,latency_ms=7`.
pub const SRV_LOAD: &str = "Srv-Load";
/// Units that a request actually used, as reported by its host.
pub const SRV_UNITS: &str = "Srv-Units";
/// `1` if the host states that it did not run the request.
pub const SRV_DECLINED: &str = "Srv-Declined";

/// Hop-by-hop header fields, which are not forwarded.
pub const NOT_FORWARDED: [&str; 4] = [REQ_DEADLINE, SRV_LOAD, SRV_UNITS, SRV_DECLINED];

/// Path of this gateway's readiness check.
pub const READINESS_PATH: &str = "/up";
/// Path of a host's health probe.
pub const PROBE_PATH: &str = "/alive";
/// Path of the host lists at discovery.
pub const HOST_LIST_PATH: &str = "/discovery/hosts";
