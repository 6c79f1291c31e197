//! Exponential backoff with jitter, for anything that is retried after a failure: a host list subscription, a watch, a
//! connection. Does no I/O and reads no clock; whether to retry is the caller's decision.

/// Counts consecutive failures and computes the wait after each: it doubles, is bounded, and has jitter, so that gateways
/// that were rejected together do not retry together.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    failed: u32,
}

impl Backoff {
    /// The fixed part of the wait, so that a single gateway does not retry faster than intended. Jitter adds from nothing to
    /// the whole wait, which keeps the mean.
    const FIXED_SHARE: f64 = 0.5;

    /// Seconds to wait after one more failure: on average `first` after the first one, and at most `max`. `chance` is a
    /// uniform random number from 0 to 1.
    pub fn failed(&mut self, first: f64, max: f64, chance: f64) -> f64 {
        const MAX_DOUBLINGS: u32 = 20;
        let backoff = first * f64::from(1_u32 << self.failed.min(MAX_DOUBLINGS));
        self.failed = self.failed.saturating_add(1);
        backoff.min(max) * (Self::FIXED_SHARE + chance)
    }

    /// Records a success: the next failure counts as the first.
    pub fn reset(&mut self) {
        self.failed = 0;
    }
}
