//! When a request is hedged: sent to a second host while the first attempt has no response yet (Dean and Barroso, "The
//! Tail at Scale", 2013).

/// Fraction of the route's latency target after which a hedged request can still meet the target.
pub const LATENCY_TARGET_FRACTION: f64 = 0.6;
/// A host counts as slow, rather than busy, once it has taken this multiple of its expected response time.
pub const EXPECTED_TIME_FACTOR: f64 = 3.0;

/// Seconds from the start of an attempt until its request is hedged: when both conditions for a slow host hold.
pub fn hedge_delay(latency_target: f64, expected_time: f64) -> f64 {
    (latency_target * LATENCY_TARGET_FRACTION).max(expected_time * EXPECTED_TIME_FACTOR)
}
