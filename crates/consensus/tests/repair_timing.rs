//! The time limits of a repair, derived from the operators' bound.

use archlink_consensus::repair_timing::{HEARTBEAT, RepairTiming};

/// Covers the `CatchUp` of the deployments and a much shorter one, for which the silence timeout still spans
/// a few heartbeats.
#[test]
fn durations_grow_with_the_bound_and_stay_above_a_few_heartbeats() {
    let (short, usual, long) =
        (RepairTiming::within(1.0), RepairTiming::within(4.0), RepairTiming::within(6.0));
    assert!(short.silence_timeout >= 3.0 * HEARTBEAT && short.silence_timeout < usual.silence_timeout);
    assert!((usual.silence_timeout - 1.2).abs() < 1e-9 && (long.silence_timeout - 1.8).abs() < 1e-9);
    assert!(
        usual.silence_timeout < usual.unresponsive_timeout
            && usual.unresponsive_timeout <= usual.joining_timeout
    );
}
