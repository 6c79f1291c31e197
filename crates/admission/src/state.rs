//! State of one gateway: customers, open requests, hosts, counter entries, and the continuations that wait for an event.
//! Plain data, read and written by the modules that decide.

use crate::admission::Admission;
use crate::interface::{AttemptResult, Driver, HostEntry, HostId};
use std::collections::VecDeque;

pub(crate) type TimerAction = Box<dyn FnOnce(&mut Admission, &mut dyn Driver)>;
pub(crate) type CounterContinuation = Box<dyn FnOnce(&mut Admission, &mut dyn Driver, Option<f64>)>;
/// The request that waits for a counter's reply, and its continuation.
pub(crate) type PendingCaller = Option<(u32, CounterContinuation)>;
/// When a timer fires (the bits of the seconds, which sort like the number) and its serial number. Cancels the timer.
pub(crate) type TimerKey = (u64, u64);
pub(crate) type AttemptContinuation = Box<dyn FnOnce(&mut Admission, &mut dyn Driver, &AttemptResult)>;

/// An attempt in flight.
pub(crate) struct InFlightAttempt {
    /// The timer after which the attempt is overdue.
    pub(crate) overdue_timer: TimerKey,
    pub(crate) class: usize,
    pub(crate) continuation: AttemptContinuation,
}

/// An add sent to the counter and not answered yet.
pub(crate) struct OutstandingAdd {
    pub(crate) serial: u64,
    pub(crate) amount: f64,
    pub(crate) sent_at: f64,
    /// Whether a request waits, or waited, for the reply.
    pub(crate) has_caller: bool,
}

/// This gateway's contribution to the total under one counter key. `wanted` is the contribution as it should be, `claimed`
/// the sum of the adds sent, answered or not, and `confirmed` the sum of those that were answered.
#[derive(Default)]
pub(crate) struct CounterEntry {
    pub(crate) expires: f64,
    pub(crate) wanted: f64,
    pub(crate) claimed: f64,
    pub(crate) confirmed: f64,
    pub(crate) outstanding: VecDeque<OutstandingAdd>,
}

/// A request's add to the current window of a tier, and what it was computed from. It says nothing any more once the plan's
/// limits have been replaced: tiers and windows are numbered by the limits.
#[derive(Clone, Copy)]
pub(crate) struct WindowAdd {
    pub(crate) request: u32,
    /// Index of the tier in its plan.
    pub(crate) tier: usize,
    /// Index of the window, and the part of it that had passed at the add.
    pub(crate) window: u64,
    pub(crate) elapsed_part: f64,
    /// The revision of the plan's limits at the add.
    pub(crate) plan_revision: u64,
}

/// A fixed window that has ended.
#[derive(Clone, Copy)]
pub(crate) struct ClosedWindow {
    pub(crate) index: u64,
    pub(crate) total: f64,
}

/// Until when, and from how many units on, a tier is expected to have no room.
#[derive(Clone, Copy, Default)]
pub(crate) struct Exhausted {
    pub(crate) until: f64,
    pub(crate) min_units: f64,
}

/// One tier's sliding window as last seen here: the window's index (0: none yet), its total, and the units that remained.
#[derive(Clone, Copy, Default)]
pub(crate) struct SlidingWindow {
    pub(crate) index: u64,
    pub(crate) total: f64,
    pub(crate) remaining_units: f64,
    pub(crate) updated_at: f64,
    /// Units granted since then without asking the counter, including the estimated part of other gateways.
    pub(crate) granted_locally: f64,
    pub(crate) closed: Option<ClosedWindow>,
    pub(crate) exhausted: Exhausted,
}

#[derive(Default)]
pub(crate) struct Customer {
    pub(crate) last_seen: f64,
    /// Uses so many gateways that none of them sees enough requests to follow its use.
    pub(crate) spread_out: bool,
    /// Share of the customer's use that passes this gateway, 0 to 1.
    pub(crate) local_share: f64,
    /// The share if the use were spread evenly over the customer's gateways.
    pub(crate) even_share: f64,
    pub(crate) windows: [SlidingWindow; 3],
    /// Index of the tier known to be active, and until when.
    pub(crate) active_tier: (usize, f64),
    /// By tier: until when its period is known to be taken, so that it cannot be entered.
    pub(crate) tier_taken_until: [f64; 3],
    pub(crate) rate_limit_tokens: f64,
    pub(crate) rate_limit_refilled_at: f64,
}

/// The add that charged a request to its customer.
#[derive(Clone, Copy)]
pub(crate) struct Charge {
    pub(crate) key: u64,
    pub(crate) lifetime: f64,
    pub(crate) units: f64,
}

#[derive(Default)]
pub(crate) struct OpenRequest {
    pub(crate) class: usize,
    pub(crate) plan: usize,
    pub(crate) customer: u64,
    pub(crate) units: f64,
    pub(crate) deadline: f64,
    /// Until when an answer has any value.
    pub(crate) useful_until: f64,
    pub(crate) counter_deadline: f64,
    pub(crate) attempts: Vec<Attempt>,
    /// The add that charged this request, so that the difference to the true units can be settled.
    pub(crate) charged: Option<Charge>,
}

impl OpenRequest {
    /// Whether a host is running the request or may have run it.
    pub(crate) fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.live || attempt.may_have_run)
    }
}

pub(crate) struct Attempt {
    pub(crate) host: HostId,
    pub(crate) zone: u8,
    pub(crate) cell: u16,
    pub(crate) started_at: f64,
    pub(crate) live: bool,
    pub(crate) may_have_run: bool,
}

/// One request class at one host: attempts in flight, when it last answered, and its ejection after failures.
#[derive(Clone, Default)]
pub(crate) struct HostClassState {
    pub(crate) in_flight: f64,
    pub(crate) last_answered: f64,
    pub(crate) ejections: u32,
    pub(crate) ejected_until: f64,
}

#[derive(Default)]
pub(crate) struct Host {
    pub(crate) entry: HostEntry,
    pub(crate) in_flight: f64,
    pub(crate) limit: f64,
    /// By request class, since a host may fail one class and serve the others as usual.
    pub(crate) classes: Vec<HostClassState>,
    /// Credit in the weighted round robin.
    pub(crate) credit: f64,
    /// Rank in this gateway's own order of hosts, and whether the host is in the subset that it sends to.
    pub(crate) rank: u64,
    pub(crate) in_subset: bool,
}
