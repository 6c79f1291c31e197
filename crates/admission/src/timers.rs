//! The single timer behind all scheduled actions, and what happens when it fires late.

use crate::admission::Admission;
use crate::interface::*;
use crate::state::*;

/// Interval of the periodic sweep, in seconds; a fraction of the shortest period that it watches, about a second.
pub(crate) const SWEEP_INTERVAL: f64 = 0.25;

impl Admission {
    /// Schedules an action; the key cancels it.
    pub(crate) fn schedule(&mut self, delay: f64, action: TimerAction) -> TimerKey {
        self.last_serial += 1;
        let key = ((self.now + delay).to_bits(), self.last_serial);
        self.timers.insert(key, action);
        key
    }

    /// Sets the driver's timer if the first due action has changed; the same timer serves the periodic sweep. Actions that
    /// nothing waits for any more are cancelled, or each request would fire the timer twice for nothing.
    pub(crate) fn arm_timer(&mut self, driver: &mut dyn Driver) {
        let next =
            self.timers.keys().next().map_or(self.next_sweep_at, |(due_bits, _)| {
                self.next_sweep_at.min(f64::from_bits(*due_bits))
            });
        if next != self.timer_at {
            self.timer_at = next;
            driver.set_timer((next - self.now).max(1e-6));
        }
    }

    /// Handles the firing of the timer set by [`Driver::set_timer`].
    pub fn timer_fired(&mut self, now: f64, driver: &mut dyn Driver) {
        // A timer this late, in seconds, means that the process was paused or the clock jumped. Events that arrived meanwhile
        // are handled first, or due actions would treat hosts and the counter as timed out. Costs 1 ms.
        const PAUSED_AFTER: f64 = 0.1;
        self.now = now;
        if now + 2e-6 < self.timer_at {
            return;
        }
        if now > self.timer_at + PAUSED_AFTER {
            // A request whose deadline has passed, or nearly, has to be answered in this call.
            let expiring = self
                .requests
                .iter()
                .filter(|(_, open)| open.attempts.is_empty() && open.deadline < now + PAUSED_AFTER);
            for id in expiring.map(|(id, _)| *id).collect::<Vec<_>>() {
                self.refund(driver, id);
                self.reject_overloaded(driver, id);
            }
            self.timer_at = now + 1e-3;
            return driver.set_timer(1e-3);
        }
        self.timer_at = f64::INFINITY;
        while let Some(timer) =
            self.timers.first_entry().filter(|timer| f64::from_bits(timer.key().0) <= now + 2e-6)
        {
            timer.remove()(self, driver);
        }
        if now + 2e-6 >= self.next_sweep_at {
            self.next_sweep_at = now + SWEEP_INTERVAL;
            self.sweep(now);
        }
        self.arm_timer(driver);
    }

    /// Drops state that is no longer needed and selects the subset of hosts again.
    pub(crate) fn sweep(&mut self, now: f64) {
        // Seconds after which a customer without requests is forgotten; no window, tier or counter key lives longer.
        const CUSTOMER_LIFETIME: f64 = 60.0;
        self.counters.retain(|_, entry| entry.expires > now || !entry.outstanding.is_empty());
        self.customers.retain(|_, customer| customer.last_seen + CUSTOMER_LIFETIME > now);
        self.hosts.retain(|_, host| host.entry.state != HostState::Removed || host.in_flight > 0.0);
        self.select_subset();
    }
}
