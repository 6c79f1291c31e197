//! One request's attempts, as decisions alone: whether it may go to another host, when it is hedged, and which response
//! the client gets in the end. Without I/O and clock.
//!
//! Invariants: a request that may have been executed is neither retried nor answered as "not executed", unless it is
//! idempotent; a request goes to no more hosts than its route allows.

use crate::attempt_progress::AttemptClass;
use crate::hedge::hedge_delay;

/// Hosts that can't be reached are not charged to the route's attempts: so many may be passed over.
const MAX_NOT_SENT: u32 = 3;
/// `Retry-After` of a rejected request as a part of its latency target: a client that comes back in time is worth more
/// than one that comes late.
const RETRY_AFTER_FRACTION: f64 = 0.1;
/// The latency target that `Retry-After` goes by on a route that has none, in seconds.
const DEFAULT_LATENCY_TARGET: f64 = 1.0;
/// Seconds that have to be left for another attempt.
const MIN_REMAINING: f64 = 0.01;

/// What the route says of a request's attempts.
#[derive(Clone, Copy, Debug)]
pub struct AttemptRules {
    /// It may be executed more than once.
    pub idempotent: bool,
    /// Hosts that it may be sent to.
    pub max_attempts: u32,
    /// Seconds; infinite where the route has none.
    pub latency_target: f64,
}

/// What to do after an attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NextStep {
    /// The response that just came goes to the client.
    Relay,
    /// Another host, if one has room and, where `budgeted`, the retry budget has a retry for it.
    Retry {
        /// The retry is charged to the retry budget.
        budgeted: bool,
    },
    /// Another attempt is in flight: its end decides.
    Wait,
    /// The request ends without a host's response.
    GiveUp(LocalOutcome),
}

/// How a request ends that gets no host's response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LocalOutcome {
    /// It was not executed and never will be.
    NotExecuted {
        /// Seconds after which the client may come back.
        retry_after: f64,
    },
    /// It may have been executed.
    MayHaveExecuted,
}

/// The attempts of one request.
pub struct Attempts {
    rules: AttemptRules,
    /// Attempts that were started and are not known to have sent nothing.
    sent: u32,
    /// Attempts that ended without a byte sent.
    not_sent: u32,
    in_flight: u32,
    may_have_executed: bool,
}

impl Attempts {
    /// None started.
    pub fn new(rules: AttemptRules) -> Attempts {
        Attempts { rules, sent: 0, not_sent: 0, in_flight: 0, may_have_executed: false }
    }

    /// Seconds after which the request is hedged beside an attempt of which a response is expected after `expected`
    /// seconds; `None` where it may not be.
    pub fn hedge_delay(&self, expected: f64) -> Option<f64> {
        let AttemptRules { idempotent, max_attempts, latency_target } = self.rules;
        let allowed = idempotent && self.sent < max_attempts && latency_target.is_finite();
        allowed.then(|| hedge_delay(latency_target, expected))
    }

    /// An attempt starts.
    pub fn attempt_started(&mut self) {
        self.sent += 1;
        self.in_flight += 1;
    }

    /// An attempt ended with `remaining` seconds until the deadline; none remain where the client has disconnected.
    pub fn attempt_ended(&mut self, class: AttemptClass, remaining: f64) -> NextStep {
        self.in_flight -= 1;
        match class {
            AttemptClass::Success => return NextStep::Relay,
            AttemptClass::Failure | AttemptClass::MayHaveExecuted => self.may_have_executed = true,
            AttemptClass::NotSent => {
                self.sent -= 1;
                self.not_sent += 1;
            }
            AttemptClass::NotExecuted => {}
        }
        match (self.may_retry(remaining), self.in_flight) {
            (_, 1..) => NextStep::Wait,
            (true, _) => NextStep::Retry { budgeted: class != AttemptClass::NotSent || self.sent > 0 },
            // A host's own failure is its response: it goes to the client as it is.
            (false, _) if class == AttemptClass::Failure => NextStep::Relay,
            (false, _) => NextStep::GiveUp(self.local_outcome()),
        }
    }

    fn may_retry(&self, remaining: f64) -> bool {
        (!self.may_have_executed || self.rules.idempotent)
            && remaining > MIN_REMAINING
            && self.not_sent <= MAX_NOT_SENT
            && self.sent < self.rules.max_attempts
    }

    /// Whether any attempt was started.
    pub fn any_started(&self) -> bool {
        self.sent > 0 || self.not_sent > 0
    }

    /// Whether any attempt is in flight.
    pub fn any_in_flight(&self) -> bool {
        self.in_flight > 0
    }

    /// How the request ends if it ends now without a host's response.
    pub fn local_outcome(&self) -> LocalOutcome {
        if self.may_have_executed || self.any_in_flight() {
            return LocalOutcome::MayHaveExecuted;
        }
        let target = self.rules.latency_target;
        let target = if target.is_finite() { target } else { DEFAULT_LATENCY_TARGET };
        LocalOutcome::NotExecuted { retry_after: target * RETRY_AFTER_FRACTION }
    }
}
