//! Names of the client and host protocols: header fields and paths. Field names are matched without regard to case.

/// Client's identifier of a request, new for each one.
pub const REQ_ID: &str = "Req-Id";
/// Name of the customer's plan.
pub const X_TARIFF: &str = "X-Tariff";
/// Seconds for which the sender waits for an answer.
pub const REQ_DEADLINE: &str = "Req-Deadline";
/// Weight of a request: `units=2,spread=3,first=1`.
pub const X_WEIGHT: &str = "X-Weight";
/// Key under which hosts drop repeats of a receipted request.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// A host's load report: `util=0.5,latency_ms=7`.
pub const SRV_LOAD: &str = "Srv-Load";
/// Units that a request really used, as its host reports them.
pub const SRV_UNITS: &str = "Srv-Units";
/// `1` where the host states that it did not run the request.
pub const SRV_DECLINED: &str = "Srv-Declined";

/// Fields between two neighbours, which are not forwarded.
pub const NOT_FORWARDED: [&str; 4] = [REQ_DEADLINE, SRV_LOAD, SRV_UNITS, SRV_DECLINED];

/// Path at which this gateway answers whether it is ready.
pub const READINESS_PATH: &str = "/up";
/// Path at which a host's process answers probes.
pub const PROBE_PATH: &str = "/alive";
/// Path of discovery's host lists.
pub const HOST_LIST_PATH: &str = "/discovery/hosts";
