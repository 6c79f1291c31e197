//! The retry policy for the attempts of one request: whether it is retried on another host, when it is hedged, and how
//! it is answered in the end. This module does no I/O and reads no clock.
//!
//! Invariants: a request that may have been executed is neither retried nor answered as "not executed", unless it is
//! idempotent; a request is sent to no more hosts than its route allows.

use crate::attempt_progress::AttemptClass;
use crate::hedge::hedge_delay;

/// Maximum number of attempts that sent nothing and are still followed by another: hosts that can't be reached do not
/// count towards the route's maximum of attempts.
const MAX_UNSENT_ATTEMPTS: u32 = 3;
/// `Retry-After` of a request that was not executed, as a fraction of its latency target: short enough that the retry can
/// still be answered within the target.
const RETRY_AFTER_FRACTION: f64 = 0.1;
/// Latency target in seconds from which `Retry-After` is computed for a route without one.
const DEFAULT_LATENCY_TARGET: f64 = 1.0;
/// Seconds that have to remain until the deadline for another attempt.
const MIN_RETRY_TIME: f64 = 0.01;

/// The route's rules for the attempts of a request.
#[derive(Clone, Copy, Debug)]
pub struct AttemptRules {
    /// Whether the request may be executed more than once.
    pub idempotent: bool,
    /// Maximum number of hosts that the request is sent to.
    pub max_attempts: u32,
    /// Latency target in seconds; infinite if the route has none.
    pub latency_target: f64,
}

/// What to do after an attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NextStep {
    /// Relay the response of this attempt to the client.
    Relay,
    /// Retry on another host, if one has room and, if `budgeted`, the retry budget allows it.
    Retry {
        /// Whether the retry is withdrawn from the retry budget.
        budgeted: bool,
    },
    /// Wait for the other attempt in flight, whose end decides.
    Wait,
    /// End the request without a host's response.
    GiveUp(LocalOutcome),
}

/// How a request without a host's response ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LocalOutcome {
    /// The request was not executed and never will be.
    NotExecuted {
        /// Seconds after which the client may retry.
        retry_after: f64,
    },
    /// The request may have been executed.
    MayHaveExecuted,
}

/// The attempts of one request.
pub struct Attempts {
    rules: AttemptRules,
    /// Number of attempts started, without those known to have sent nothing.
    sent: u32,
    /// Number of attempts that ended before a byte was sent.
    not_sent: u32,
    in_flight: u32,
    may_have_executed: bool,
}

impl Attempts {
    /// The state of a request before its first attempt.
    pub fn new(rules: AttemptRules) -> Attempts {
        Attempts { rules, sent: 0, not_sent: 0, in_flight: 0, may_have_executed: false }
    }

    /// Seconds after which an attempt with an expected response time of `expected_time` seconds is hedged; `None` if the
    /// request may not be hedged.
    pub fn hedge_delay(&self, expected_time: f64) -> Option<f64> {
        let AttemptRules { idempotent, max_attempts, latency_target } = self.rules;
        let allowed = idempotent && self.sent < max_attempts && latency_target.is_finite();
        allowed.then(|| hedge_delay(latency_target, expected_time))
    }

    /// Records the start of an attempt.
    pub fn attempt_started(&mut self) {
        self.sent += 1;
        self.in_flight += 1;
    }

    /// Records the end of an attempt and decides on the next step. `remaining` is the time in seconds until the deadline,
    /// 0 if the client has disconnected.
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
            // A 5xx response is the host's own: it is relayed unchanged.
            (false, _) if class == AttemptClass::Failure => NextStep::Relay,
            (false, _) => NextStep::GiveUp(self.local_outcome()),
        }
    }

    fn may_retry(&self, remaining: f64) -> bool {
        (!self.may_have_executed || self.rules.idempotent)
            && remaining > MIN_RETRY_TIME
            && self.not_sent <= MAX_UNSENT_ATTEMPTS
            && self.sent < self.rules.max_attempts
    }

    /// Whether any attempt has been started.
    pub fn any_started(&self) -> bool {
        self.sent > 0 || self.not_sent > 0
    }

    /// Whether any attempt is in flight.
    pub fn any_in_flight(&self) -> bool {
        self.in_flight > 0
    }

    /// How the request ends if it ends now, without a host's response.
    pub fn local_outcome(&self) -> LocalOutcome {
        if self.may_have_executed || self.any_in_flight() {
            return LocalOutcome::MayHaveExecuted;
        }
        let latency_target = self.rules.latency_target;
        let latency_target = if latency_target.is_finite() { latency_target } else { DEFAULT_LATENCY_TARGET };
        LocalOutcome::NotExecuted { retry_after: latency_target * RETRY_AFTER_FRACTION }
    }
}
