//! Calls to the quota counter that have no reply yet, by serial number.
//!
//! Serial numbers increase for the lifetime of the process, across all its connections. A reply arrives on the connection
//! that carried its call, and when that connection ends, all calls pending on it are resolved. So a reply that is late,
//! duplicated or meant for an earlier incarnation of this process matches no call.
//!
//! Invariants: a call is resolved exactly once, and never by the totals of another call.

use archlink_messages::CounterAdd;
use std::collections::VecDeque;

/// Maximum number of pending calls. With a counter that replies in time only a few are pending; a call beyond the limit is
/// not sent.
const MAX_PENDING: usize = 256;
/// Seconds without a reply, while calls are pending, after which the connection is to be closed: a few round trips to
/// another region and a busy counter.
pub const REPLY_TIMEOUT: f64 = 0.4;

/// The outcome of the adds of one call, in the order of the call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallResult {
    /// One total for each add.
    Totals(Vec<CounterAdd>, Vec<f32>),
    /// The adds were not sent, or the node replied that it does not serve the counter: they are certainly not counted.
    NotAdded(Vec<CounterAdd>),
    /// No reply, or a malformed one: the adds may have been counted.
    Unknown(Vec<CounterAdd>),
}

/// How a reply relates to the pending calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyMatch {
    /// The reply to a pending call.
    Answer {
        /// Whether the node serves the counter.
        serves_counter: bool,
    },
    /// The reply to no pending call: overtaken by a later reply, duplicated, or unsolicited.
    Unmatched,
    /// The reply to a pending call, but with the wrong number of totals: the connection is not reliable.
    Malformed,
}

struct PendingCall {
    serial: u64,
    adds: Vec<CounterAdd>,
}

/// The pending calls of a data node, oldest first, by ascending serial number.
#[derive(Default)]
pub struct PendingCalls {
    calls: VecDeque<PendingCall>,
    last_serial: u64,
    /// When the oldest pending call was sent or the last reply was received, whichever is later (seconds).
    waiting_since: f64,
}

impl PendingCalls {
    /// Registers a call, and returns its serial number and the adds to send with it.
    ///
    /// # Errors
    ///
    /// Returns [`CallResult::NotAdded`] with the adds if the maximum number of calls is pending.
    pub fn send(&mut self, now: f64, adds: Vec<CounterAdd>) -> Result<(u64, &[CounterAdd]), CallResult> {
        if self.calls.len() >= MAX_PENDING {
            return Err(CallResult::NotAdded(adds));
        }
        if self.calls.is_empty() {
            self.waiting_since = now;
        }
        self.last_serial += 1;
        self.calls.push_back(PendingCall { serial: self.last_serial, adds });
        Ok((self.last_serial, self.calls.back().map_or(&[], |call| &call.adds)))
    }

    /// Processes the reply to call `serial`. `totals` is `None` if the node does not serve the counter.
    ///
    /// The counter replies in order, so earlier calls that are still pending get no reply any more: they are resolved as
    /// unknown, before this one.
    pub fn receive(
        &mut self,
        now: f64,
        serial: u64,
        totals: Option<Vec<f32>>,
    ) -> (ReplyMatch, Vec<CallResult>) {
        let Ok(position) = self.calls.binary_search_by_key(&serial, |call| call.serial) else {
            return (ReplyMatch::Unmatched, Vec::new());
        };
        self.waiting_since = now;
        let mut results: Vec<CallResult> =
            self.calls.drain(..position).map(|call| CallResult::Unknown(call.adds)).collect();
        let adds = self.calls.pop_front().map(|call| call.adds).unwrap_or_default();
        let serves_counter = totals.is_some();
        let (reply_match, result) = match totals {
            Some(totals) if totals.len() != adds.len() => (ReplyMatch::Malformed, CallResult::Unknown(adds)),
            Some(totals) => (ReplyMatch::Answer { serves_counter }, CallResult::Totals(adds, totals)),
            None => (ReplyMatch::Answer { serves_counter }, CallResult::NotAdded(adds)),
        };
        results.push(result);
        (reply_match, results)
    }

    /// Resolves all pending calls as unknown, because their connection has ended.
    pub fn disconnected(&mut self) -> Vec<CallResult> {
        self.calls.drain(..).map(|call| CallResult::Unknown(call.adds)).collect()
    }

    /// Whether no call is pending.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// When the connection is to be closed unless a reply arrives first; `None` while no call is pending.
    pub fn times_out_at(&self) -> Option<f64> {
        (!self.calls.is_empty()).then_some(self.waiting_since + REPLY_TIMEOUT)
    }
}
