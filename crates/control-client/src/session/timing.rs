//! Durations of a session, and the bounds that follow from them. All are in seconds.
//!
//! A data node has to apply whatever was acknowledged within the operators' `ConfigApply`, unless a control node or a link
//! between control nodes failed within `Contact`. The hops between the acknowledgement and the data node:
//!
//! ```text
//! contact  = one_way + MAX_QUORUM_AGE + failing * (TRIAL_TIMEOUT + TRIAL_RETRY_DELAY) + 4 * one_way   (max_failover_time)
//! delivery = CONFIGURATION_INTERVAL + HEARTBEAT_INTERVAL + 3 * one_way                                (max_update_delay)
//! contact < Contact,  delivery < ConfigApply
//! ```
//!
//! `contact` is the time until the data node is in session with a control node that has quorum contact, after the one in
//! session has lost it; a voluntary change of the control node takes none of it, because the session in use is only left
//! once another one has proven quorum contact. `delivery` is the time within such a session.

/// Interval between two heartbeats.
pub(super) const HEARTBEAT_INTERVAL: f64 = 0.4;
/// Delay of a heartbeat that carries a change, so that simultaneous changes share one heartbeat.
pub(super) const COALESCING_DELAY: f64 = 0.02;
/// The session ends if no answer came for this long, which covers three heartbeats.
pub(super) const ANSWER_TIMEOUT: f64 = 1.3;
/// If the first answer of a new session takes longer than this, other control nodes are tried beside it.
pub(super) const FIRST_ANSWER_TIMEOUT: f64 = 0.3;
/// If the control node's quorum contact is older than this, other control nodes are tried beside it. Without failures the
/// age stays below two heartbeats and a round trip.
pub(super) const MAX_QUORUM_AGE: f64 = 1.5;
/// A control node without quorum contact for this long is left, even if no other one has proven to be better. Slow disks
/// at a majority of the voters delay the quorum's answers by less.
pub(super) const QUORUM_TIMEOUT: f64 = 2.5;
/// The least remaining lifetime of the confirmation when a control node without quorum contact is left: the next
/// control node may be unreachable, or also partitioned and not answering.
pub(super) const MIN_REMAINING_CONFIRMATION: f64 = 1.8;
/// Limit of a trial, from the connection attempt to the first answer.
pub(super) const TRIAL_TIMEOUT: f64 = 0.6;
/// Delay between the end of a trial that failed and the next one.
pub(super) const TRIAL_RETRY_DELAY: f64 = 0.1;
/// Delay until a trial is considered again if there was no control node to try.
pub(super) const TRIAL_INTERVAL: f64 = 1.0;
/// How long a session with a farther control node lasts before a nearer one is tried again.
pub(super) const NEARER_NODE_INTERVAL: f64 = 10.0;
/// Delay between the end of a session and the next connection attempt.
pub(super) const RECONNECT_DELAY: f64 = 0.1;
/// An update request that was not answered within this time is sent again.
pub(super) const UPDATE_REQUEST_TIMEOUT: f64 = 1.0;
/// Delay between a configuration and the request for the next one. Parsing a large configuration takes processor time
/// from requests on a small machine, and of several configurations in quick succession only the last one matters.
pub(super) const CONFIGURATION_INTERVAL: f64 = 0.4;

/// Upper bound of the time from the moment at which the control node in session loses its quorum contact until the data
/// node is in session with another one that has it. `failing` other control nodes are tried before and fail; a message
/// takes at most `one_way`. The session has proven quorum contact before.
pub fn max_failover_time(failing: u32, one_way: f64) -> f64 {
    let failed_trials = f64::from(failing) * (TRIAL_TIMEOUT + TRIAL_RETRY_DELAY);
    let round_trips = 2.0 * 2.0 * one_way;
    one_way + MAX_QUORUM_AGE + failed_trials + round_trips
}

/// Upper bound of the time from the moment at which the control node in session knows a new configuration until the data
/// node has received it. A message takes at most `one_way`.
pub fn max_update_delay(one_way: f64) -> f64 {
    CONFIGURATION_INTERVAL + HEARTBEAT_INTERVAL + 3.0 * one_way
}
