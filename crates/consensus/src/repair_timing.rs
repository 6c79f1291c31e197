//! How long the repair of the voter set may take, derived from the operators' bounds: after a machine is gone for good, the
//! next loss may come `CatchUp` after its successor's start. Owns these durations; `docs/control.md` has the inequality.

/// Signs of life between control gateways come this often, in seconds.
pub const HEARTBEAT: f64 = 0.3;
/// Fewer missed heartbeats than this are no silence: a connection that is reset is up again after one or two.
const MIN_MISSED_HEARTBEATS: f64 = 3.0;

/// Durations in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepairTiming {
    /// A voter that was not heard of for so long, while a majority was, gives its seat to another gateway.
    pub silence_timeout: f64,
    /// A gateway of which the last word is older is not counted on.
    pub reachable_window: f64,
    /// A voter that is heard of but answered nothing as a voter for so long: its disk hangs or takes no more.
    pub unresponsive_timeout: f64,
    /// The same of a newcomer whose seat another gateway could take: it is left out, and the other one tried.
    pub joining_timeout: f64,
    /// Of the voters that are there the first begins a change, the next one after this, and so on.
    pub begin_stagger: f64,
    /// The same of who ends a change: much longer than that takes, as two at once cost each other ballots.
    pub finish_stagger: f64,
    /// A gateway is steady after this: only such a one takes a seat for the sake of zones alone.
    pub stable_after: f64,
}

impl RepairTiming {
    /// Parts of `CatchUp` such that detection, change and taking in together stay below it.
    pub fn within(catch_up: f64) -> RepairTiming {
        const SILENT: f64 = 0.3;
        const MUTE: f64 = 1.0;
        const BEGIN: f64 = 0.15;
        const TAKEOVER: f64 = 0.75;
        const MOST_TAKEOVER: f64 = 3.0;
        const MOST_HERE: f64 = 2.0;
        const MOST_TAKE_IN: f64 = 10.0;
        let least = MIN_MISSED_HEARTBEATS * HEARTBEAT;
        let silence_timeout = (SILENT * catch_up).max(least);
        RepairTiming {
            silence_timeout,
            reachable_window: silence_timeout.min(MOST_HERE),
            unresponsive_timeout: (MUTE * catch_up).max(2.0 * least),
            joining_timeout: catch_up.min(MOST_TAKE_IN),
            begin_stagger: (BEGIN * catch_up).min(MOST_TAKEOVER),
            finish_stagger: (TAKEOVER * catch_up).min(MOST_TAKEOVER),
            stable_after: catch_up,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// `CatchUp` of the deployments, and one much shorter: a silence is never shorter than a few heartbeats.
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
}
