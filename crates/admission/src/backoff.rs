//! How long to wait before something that failed is tried again: a list, a watch, a connection. Owns that
//! rule alone, free of I/O and clock, for the decisions and every front. Must never decide whether to try.

/// Failures in a row, and the wait that follows from them: it doubles, is bounded, and is spread by chance.
/// Guards against a fleet that was turned away together coming back together, in step and for good.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    failed: u32,
}

impl Backoff {
    /// Half of the wait is sure, so that one gateway alone asks no faster than was meant; the other half and
    /// as much again is chance, which keeps the mean.
    const SURE: f64 = 0.5;

    /// Seconds to wait after one more failure: about `first` after the first one, about `most` at last.
    /// `chance` is from 0 to 1, evenly.
    pub fn failed(&mut self, first: f64, most: f64, chance: f64) -> f64 {
        const MOST_DOUBLINGS: u32 = 20;
        let grown = first * f64::from(1_u32 << self.failed.min(MOST_DOUBLINGS));
        self.failed = self.failed.saturating_add(1);
        grown.min(most) * (Self::SURE + chance)
    }

    /// It went well: the next failure is a first one.
    pub fn reset(&mut self) {
        self.failed = 0;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn waits_grow_are_spread_and_bounded_and_start_anew() {
        let mut again = Backoff::default();
        for (n, whole) in [0.3, 0.6, 1.2, 2.4, 3.0, 3.0].into_iter().enumerate() {
            let (mut least, mut most) = (again, again);
            assert_eq!(least.failed(0.3, 3.0, 0.0), whole * 0.5, "failure {n}");
            assert_eq!(most.failed(0.3, 3.0, 1.0), whole * 1.5, "failure {n}");
            again = least;
        }
        (0..100).for_each(|_| assert!(again.failed(0.3, 3.0, 0.5) <= 3.0));
        again.reset();
        assert_eq!(again.failed(0.3, 3.0, 0.5), 0.3);
    }
}
