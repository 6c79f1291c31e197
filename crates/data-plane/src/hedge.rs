//! When a hedged request is sent: a second copy to another host, beside an attempt that has not been answered (Dean and
//! Barroso, "The Tail at Scale", 2013).

/// Part of the route's latency target after which a hedge is still in time to meet it.
pub const LATENCY_TARGET_FRACTION: f64 = 0.6;
/// A host is slow, rather than busy, after this many times the response time that was expected of it.
pub const EXPECTED_FACTOR: f64 = 3.0;

/// Seconds after the start of an attempt until its request is hedged: the later of the two signs of a slow host.
pub fn hedge_delay(latency_target: f64, expected: f64) -> f64 {
    (latency_target * LATENCY_TARGET_FRACTION).max(expected * EXPECTED_FACTOR)
}
