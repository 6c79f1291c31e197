//! Time limits for the steps of a repair of the voter set, derived from the operators' bound `CatchUp`: after
//! a machine is lost for good, the next loss may come `CatchUp` seconds after the start of its replacement.
//! `docs/control.md` has the inequality.

/// Seconds between two heartbeats of a control node.
pub const HEARTBEAT: f64 = 0.3;
/// The silence timeout is at least this many heartbeats: a connection that was reset is up again after one or
/// two.
const MIN_MISSED_HEARTBEATS: f64 = 3.0;

/// The silence timeout as a fraction of `CatchUp`. Detection, the change itself and the transfer to the
/// joining node together stay below `CatchUp`.
const SILENCE_SHARE: f64 = 0.3;
/// The unresponsive timeout as a fraction of `CatchUp`. A slow disk is given the whole bound.
const UNRESPONSIVE_SHARE: f64 = 1.0;
/// [`RepairTiming::begin_stagger`] as a fraction of `CatchUp`.
const BEGIN_SHARE: f64 = 0.15;
/// [`RepairTiming::finish_stagger`] as a fraction of `CatchUp`.
const FINISH_SHARE: f64 = 0.75;
/// The longest stagger, in seconds, whatever the bound.
const MAX_STAGGER: f64 = 3.0;
/// The longest reachable window, in seconds, whatever the bound.
const MAX_REACHABLE_WINDOW: f64 = 2.0;
/// The longest joining timeout, in seconds, whatever the bound.
const MAX_JOINING_TIMEOUT: f64 = 10.0;

/// The time limits of a repair, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepairTiming {
    /// A voter is suspected and replaced if no message came from it for this long, while a majority's did.
    pub silence_timeout: f64,
    /// A node whose last message is older is not reachable, and isn't counted on.
    pub reachable_window: f64,
    /// A voter is suspected if its messages arrive but no reply as an acceptor came for this long: its disk
    /// hangs or is full.
    pub unresponsive_timeout: f64,
    /// A joining node that has not accepted all registers by then is left out, if another one can be tried.
    pub joining_timeout: f64,
    /// The interval between the turns of the healthy voters to begin a change.
    pub begin_stagger: f64,
    /// The same for the end of a change. Much longer than ending it takes, since two voters at once would
    /// reject each other's proposals.
    pub finish_stagger: f64,
    /// A node that has been reachable for this long is stable. Only a stable node becomes a voter for the
    /// sake of zones alone.
    pub stable_after: f64,
}

impl RepairTiming {
    /// Derives the durations from a bound of `catch_up` seconds.
    pub fn within(catch_up: f64) -> RepairTiming {
        let min_silence = MIN_MISSED_HEARTBEATS * HEARTBEAT;
        let silence_timeout = (SILENCE_SHARE * catch_up).max(min_silence);
        RepairTiming {
            silence_timeout,
            reachable_window: silence_timeout.min(MAX_REACHABLE_WINDOW),
            unresponsive_timeout: (UNRESPONSIVE_SHARE * catch_up).max(2.0 * min_silence),
            joining_timeout: catch_up.min(MAX_JOINING_TIMEOUT),
            begin_stagger: (BEGIN_SHARE * catch_up).min(MAX_STAGGER),
            finish_stagger: (FINISH_SHARE * catch_up).min(MAX_STAGGER),
            stable_after: catch_up,
        }
    }
}
