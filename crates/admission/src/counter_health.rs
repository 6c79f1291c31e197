//! Load on the counter: fewer calls while it does not reply, is late or is overloaded, all calls once it replies in time.

use crate::admission::Admission;
use crate::interface::Driver;

impl Admission {
    /// Whether a request may ask the counter. While the counter replies in time, every request does. Unanswered, late and
    /// rejected calls lower the fraction that does, replies raise it: a silent counter is probed by a few requests, an
    /// overloaded one is relieved, and the load on one that recovers grows step by step. Units that were not reported go with
    /// the next add to their key.
    pub(crate) fn may_call_counter(&mut self) -> bool {
        self.settings.may_count
            && (self.counter_call_fraction >= 1.0 || self.rng.rand_float() < self.counter_call_fraction)
    }

    /// Called by a driver that knows that the counter has recovered: from now on every request asks it.
    pub fn counter_recovered(&mut self) {
        (self.counter_call_fraction, self.counter_degraded) = (1.0, false);
    }

    /// Longest wait for a reply, in seconds: a twentieth of the shortest latency target, but no longer than the driver's own
    /// timeout of a call. Where targets are short it is what a call takes on a busy counter, which would otherwise be taken
    /// for silent.
    pub(crate) fn counter_timeout(&self) -> f64 {
        // Seconds that a call takes on a busy counter.
        const BUSY_COUNTER_REPLY: f64 = 0.03;
        let shortest_target =
            self.classes.iter().map(|class| class.latency_target).fold(f64::INFINITY, f64::min);
        (shortest_target * 0.05)
            .max(BUSY_COUNTER_REPLY.min(shortest_target * 0.15))
            .min(self.settings.count_timeout)
    }

    /// Adjusts the fraction of requests that ask the counter. `latency` is that of one call, as a part of the timeout, or
    /// `None` if the call failed.
    pub(crate) fn record_counter_call(&mut self, driver: &mut dyn Driver, latency: Option<f64>) {
        // With one failed call in ten the fraction stays high; six in a row bring it to the minimum, which still probes the
        // counter several times a second.
        const FRACTION_DOWN: f64 = 0.6;
        const FRACTION_UP: f64 = 1.05;
        // Replies this far within the timeout show that the counter is not overloaded. The larger step lets a gateway with few
        // requests recover within seconds.
        const QUICK_REPLY: f64 = 0.5;
        const FRACTION_UP_IF_QUICK: f64 = 1.3;
        const MIN_FRACTION: f64 = 0.05;
        let fraction = self.counter_call_fraction
            * match latency {
                Some(part) if part < QUICK_REPLY => FRACTION_UP_IF_QUICK,
                Some(_) => FRACTION_UP,
                None => FRACTION_DOWN,
            };
        self.counter_call_fraction = fraction.clamp(MIN_FRACTION, 1.0);
        if !self.counter_degraded && fraction < 0.3 {
            self.counter_degraded = true;
            driver.log("counter degraded (no reply, late or overloaded): mostly deciding locally");
        } else if self.counter_degraded && fraction >= 1.0 {
            self.counter_degraded = false;
            driver.log("counter recovered: every request asks it");
        }
    }
}
