//! State of one gateway: customers, open requests, hosts, counter entries, and the continuations that wait for an event.
//! Plain data; the modules that decide read and write it.

use crate::admission::Admission;
use crate::interface::{AttemptResult, Driver, HostEntry, HostId};
use std::collections::VecDeque;

pub(crate) type TimerAction = Box<dyn FnOnce(&mut Admission, &mut dyn Driver)>;
pub(crate) type CounterContinuation = Box<dyn FnOnce(&mut Admission, &mut dyn Driver, Option<f64>)>;
/// The request that waits for a counter's reply, and how it continues.
pub(crate) type PendingCaller = Option<(u32, CounterContinuation)>;
/// When a timer fires (seconds as bits, which sort alike) and its serial number; by this key it is cancelled.
pub(crate) type TimerKey = (u64, u64);
pub(crate) type AttemptContinuation = Box<dyn FnOnce(&mut Admission, &mut dyn Driver, &AttemptResult)>;

/// What this gateway has on the counter under one key. `wanted`: its own part as it should be; `claimed`: what its calls,
/// answered or not, add up to; `confirmed`: the answered part of these.
#[derive(Default)]
pub(crate) struct CounterEntry {
    pub(crate) expires: f64,
    pub(crate) wanted: f64,
    pub(crate) claimed: f64,
    pub(crate) confirmed: f64,
    pub(crate) outstanding: VecDeque<(u64, f64, f64, bool)>,
}

/// One tier's sliding window as last seen here: the window's index (0: none yet), its total, and the room that was left.
#[derive(Clone, Copy, Default)]
pub(crate) struct SlidingWindow {
    pub(crate) index: u64,
    pub(crate) total: f64,
    pub(crate) room: f64,
    pub(crate) updated_at: f64,
    /// Units granted since without asking the counter, other gateways' estimated part included.
    pub(crate) granted_unasked: f64,
    pub(crate) closed: Option<(u64, f64)>,
    /// Until when, and from how many units on, no room is expected.
    pub(crate) exhausted_until: (f64, f64),
}

#[derive(Default)]
pub(crate) struct Customer {
    pub(crate) last_seen: f64,
    /// Uses so many gateways that none of them sees how its use goes on.
    pub(crate) spread_out: bool,
    /// Share of the customer's use that passes this gateway, 0 to 1.
    pub(crate) local_share: f64,
    /// The share if the use were spread evenly over the customer's gateways.
    pub(crate) even_share: f64,
    pub(crate) windows: [SlidingWindow; 3],
    /// The tier known to be active, and until when.
    pub(crate) active_tier: (usize, f64),
    pub(crate) tier_taken_until: [f64; 3],
    pub(crate) rate_limit_tokens: f64,
    pub(crate) rate_limit_refilled_at: f64,
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
    /// Counter key, lifetime and units of the add that charged this request, so that the true units can be settled.
    pub(crate) charged: Option<(u64, f64, f64)>,
}

impl OpenRequest {
    /// Whether a host runs it now, or may have run it.
    pub(crate) fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|sent| sent.live || sent.may_have_run)
    }
}

pub(crate) struct Attempt {
    pub(crate) host: HostId,
    pub(crate) zone: u8,
    pub(crate) cell: u16,
    pub(crate) at: f64,
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
    /// By request class: a host may fail one class and serve the others as usual.
    pub(crate) classes: Vec<HostClassState>,
    pub(crate) credit: f64,
    /// Rank in this gateway's own order of hosts, and whether the host is in the subset that it sends to.
    pub(crate) rank: u64,
    pub(crate) in_subset: bool,
}
