//! One timer for everything that waits, and what is done when it fires late.

use crate::admission::Admission;
use crate::interface::*;
use crate::state::*;

/// Interval of the periodic work, in seconds; a fraction of the shortest thing that it watches, a second or so.
pub(crate) const SWEEP_INTERVAL: f64 = 0.25;

impl Admission {
    pub(crate) fn schedule(&mut self, delay: f64, step: TimerAction) -> TimerKey {
        self.last_serial += 1;
        let due = ((self.now + delay).to_bits(), self.last_serial);
        self.timers.insert(due, step);
        due
    }

    /// One timer serves the periodic sweep and all due actions: it is set again when the first of them changes. Actions that
    /// nothing waits for any more are cancelled, or each request would fire it twice for nothing.
    pub(crate) fn arm_timer(&mut self, driver: &mut dyn Driver) {
        let next = self
            .timers
            .keys()
            .next()
            .map_or(self.next_sweep_at, |k| self.next_sweep_at.min(f64::from_bits(k.0)));
        if next != self.timer_at {
            self.timer_at = next;
            driver.set_timer((next - self.now).max(1e-6));
        }
    }

    /// The timer set by [`Driver::set_timer`] fired.
    pub fn timer_fired(&mut self, now: f64, driver: &mut dyn Driver) {
        // A timer this late, in seconds, means that the process was paused. Events that came meanwhile are handled first, or
        // due actions would take hosts and the counter for timed out. Covers paused processes and clock jumps; costs 1 ms.
        const PAUSED_AFTER: f64 = 0.1;
        self.now = now;
        if now + 2e-6 < self.timer_at {
            return;
        }
        if now > self.timer_at + PAUSED_AFTER {
            // But a request whose deadline has passed, or nearly, can only be answered in this turn.
            let last = self
                .requests
                .iter()
                .filter(|(_, o)| o.attempts.is_empty() && o.deadline < now + PAUSED_AFTER);
            for id in last.map(|(id, _)| *id).collect::<Vec<_>>() {
                self.refund(driver, id);
                self.reject_overloaded(driver, id);
            }
            self.timer_at = now + 1e-3;
            return driver.set_timer(1e-3);
        }
        self.timer_at = f64::INFINITY;
        while let Some(e) = self.timers.first_entry().filter(|e| f64::from_bits(e.key().0) <= now + 2e-6) {
            e.remove()(self, driver);
        }
        if now + 2e-6 >= self.next_sweep_at {
            self.next_sweep_at = now + SWEEP_INTERVAL;
            self.sweep(now);
        }
        self.arm_timer(driver);
    }

    pub(crate) fn sweep(&mut self, now: f64) {
        // A customer not seen for this long, in seconds, is new again: longer than any window, tier or counter key lives.
        const CUSTOMER_LIFETIME: f64 = 60.0;
        self.counters.retain(|_, t| t.expires > now || !t.outstanding.is_empty());
        self.customers.retain(|_, c| c.last_seen + CUSTOMER_LIFETIME > now);
        self.hosts.retain(|_, h| h.entry.state != HostState::Removed || h.in_flight > 0.0);
        self.select_subset();
    }
}
