//! Exponential backoff with jitter, for whatever failed and is tried again: a host list, a watch, a connection. Free of
//! I/O and of a clock; whether to retry is the caller's decision.

/// Failures in a row, and the wait that follows: it doubles, is bounded, and has jitter, so that gateways that were
/// rejected together do not come back together.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    failed: u32,
}

impl Backoff {
    /// Half of the wait is fixed, so that one gateway alone retries no faster than intended; the other half and as much again
    /// is jitter, which keeps the mean.
    const FIXED_SHARE: f64 = 0.5;

    /// Seconds to wait after one more failure: about `first` after the first one, at most about `most`. `chance` is a uniform
    /// random number from 0 to 1.
    pub fn failed(&mut self, first: f64, most: f64, chance: f64) -> f64 {
        const MAX_DOUBLINGS: u32 = 20;
        let grown = first * f64::from(1_u32 << self.failed.min(MAX_DOUBLINGS));
        self.failed = self.failed.saturating_add(1);
        grown.min(most) * (Self::FIXED_SHARE + chance)
    }

    /// A success: the next failure counts as the first.
    pub fn reset(&mut self) {
        self.failed = 0;
    }
}
