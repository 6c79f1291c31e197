//! How much the counter is asked: fewer calls while it is silent, late or crowded, all of them once it answers in time.

use crate::admission::Admission;
use crate::interface::Driver;

impl Admission {
    /// While the counter answers in time every request asks it. Unanswered, late and rejected calls lower the fraction that
    /// asks, answers raise it: a silent counter is probed by a few, a crowded one is relieved, one that recovers is eased
    /// into. What was not reported goes with the next add to its key.
    pub(crate) fn may_call_counter(&mut self) -> bool {
        self.settings.may_count
            && (self.counter_call_fraction >= 1.0 || self.rng.rand_float() < self.counter_call_fraction)
    }

    /// For a driver that knows that the counter counts again: every request asks it at once.
    pub fn counter_recovered(&mut self) {
        (self.counter_call_fraction, self.counter_degraded) = (1.0, false);
    }

    /// Longest wait for a reply, in seconds: a twentieth of the shortest latency target, no longer than calls live. Where
    /// targets are short, what a call takes on a busy counter, which would otherwise be taken for silent.
    pub(crate) fn counter_timeout(&self) -> f64 {
        const BUSY_COUNTER_REPLY: f64 = 0.03;
        let goal = self.classes.iter().map(|l| l.latency_target).fold(f64::INFINITY, f64::min);
        (goal * 0.05).max(BUSY_COUNTER_REPLY.min(goal * 0.15)).min(self.settings.count_timeout)
    }

    /// Adjusts the fraction of requests that ask the counter. `took`: how long a call took as a part of the timeout; `None`
    /// where it failed.
    pub(crate) fn record_counter_call(&mut self, driver: &mut dyn Driver, took: Option<f64>) {
        // One failed call in ten leaves the fraction high; six in a row bring it to the minimum, which still probes several
        // times a second.
        const FRACTION_DOWN: f64 = 0.6;
        const FRACTION_UP: f64 = 1.05;
        // Replies well within the timeout: not crowded, and a gateway of few requests recovers within seconds.
        const QUICK_REPLY: f64 = 0.5;
        const FRACTION_UP_IF_QUICK: f64 = 1.3;
        const MIN_FRACTION: f64 = 0.05;
        let share = self.counter_call_fraction
            * match took {
                Some(part) if part < QUICK_REPLY => FRACTION_UP_IF_QUICK,
                Some(_) => FRACTION_UP,
                None => FRACTION_DOWN,
            };
        self.counter_call_fraction = share.clamp(MIN_FRACTION, 1.0);
        if !self.counter_degraded && share < 0.3 {
            self.counter_degraded = true;
            driver.log("counter degraded (no reply, late or overloaded): mostly deciding locally");
        } else if self.counter_degraded && share >= 1.0 {
            self.counter_degraded = false;
            driver.log("counter recovered: every request asks it");
        }
    }
}
