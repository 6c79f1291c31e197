//! Decides when things are due: one timer for all that waits, and what is done on waking late.

use crate::admission::Admission;
use crate::interface::*;
use crate::state::*;

/// Between two rounds of the periodic work; a fraction of the shortest thing it watches, a second or so.
pub(crate) const ROUND: f64 = 0.25;

impl Admission {
    pub(crate) fn after(&mut self, delay: f64, step: Step) -> Due {
        self.serial += 1;
        let due = ((self.now + delay).to_bits(), self.serial);
        self.due.insert(due, step);
        due
    }

    /// One timer serves the round and all due steps: it is set anew when the first of them changes. Steps
    /// that nothing waits for any more are struck off, or each inquiry would ring it twice for nothing.
    pub(crate) fn rouse(&mut self, out: &mut dyn Driver) {
        let next = self.due.keys().next().map_or(self.round_at, |k| self.round_at.min(f64::from_bits(k.0)));
        if next != self.wake_at {
            self.wake_at = next;
            out.set_timer((next - self.now).max(1e-6));
        }
    }

    pub fn timer_fired(&mut self, now: f64, out: &mut dyn Driver) {
        // A timer this late: the gateway stood still. What came meanwhile is heard first, or due steps take
        // hosts for silent, the counter for dead. Covers paused processes and clock jumps; costs 1 ms.
        const STOOD_STILL: f64 = 0.1;
        self.now = now;
        if now + 2e-6 < self.wake_at {
            return;
        }
        if now > self.wake_at + STOOD_STILL {
            // But an inquiry whose client's time is up, or nearly, has this turn alone to be answered.
            let last = self.open.iter().filter(|(_, o)| o.sent.is_empty() && o.until < now + STOOD_STILL);
            for id in last.map(|(id, _)| *id).collect::<Vec<_>>() {
                self.take_back(out, id);
                self.push_back_by_load(out, id);
            }
            self.wake_at = now + 1e-3;
            return out.set_timer(1e-3);
        }
        self.wake_at = f64::INFINITY;
        while let Some(e) = self.due.first_entry().filter(|e| f64::from_bits(e.key().0) <= now + 2e-6) {
            e.remove()(self, out);
        }
        if now + 2e-6 >= self.round_at {
            self.round_at = now + ROUND;
            self.round(now);
        }
        self.rouse(out);
    }

    pub(crate) fn round(&mut self, now: f64) {
        // A customer not seen for this long is new again: longer than any window, tier or name lives.
        const FORGET: f64 = 60.0;
        self.names.retain(|_, t| t.expires > now || !t.asked.is_empty());
        self.customers.retain(|_, c| c.seen + FORGET > now);
        self.hosts.retain(|_, h| h.line.state != HostState::Removed || h.out > 0.0);
        self.draw_near();
    }
}
