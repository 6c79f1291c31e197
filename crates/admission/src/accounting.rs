//! What this gateway has on the counter: adds, refunds, and the replies to them.

use crate::admission::Admission;
use crate::interface::{CounterReply, Driver};
use crate::state::{CounterEntry, PendingCaller, TimerAction};

impl Admission {
    pub(crate) fn refund(&mut self, driver: &mut dyn Driver, id: u32) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some((name, keep, units)) = open.charged.take() else { return };
        self.counter_entry(name, keep).wanted -= units;
        // On a crowded counter the refund goes with the next add: spare calls are the first to be saved.
        if self.counter_call_fraction >= 1.0 {
            self.send_add(driver, name, keep, None);
        }
    }

    pub(crate) fn counter_entry(&mut self, name: u64, keep: f64) -> &mut CounterEntry {
        let fresh = CounterEntry { expires: self.now + keep, ..CounterEntry::default() };
        self.counters.entry(name).or_insert(fresh)
    }

    /// Brings the counter to what is wanted: one add of what is not claimed yet.
    pub(crate) fn send_add(&mut self, driver: &mut dyn Driver, name: u64, keep: f64, next: PendingCaller) {
        if !self.settings.may_count {
            return;
        }
        self.last_serial += 1;
        let (serial, now) = (self.last_serial, self.now);
        let entry = self.counter_entry(name, keep);
        let amount = entry.wanted - entry.claimed;
        if next.is_none() && amount == 0.0 {
            return;
        }
        entry.claimed = entry.wanted;
        entry.outstanding.push_back((serial, amount, now, next.is_some()));
        driver.add_to_counter(name, amount, keep.min(59.0));
        if let Some((id, next)) = next {
            // All waits of a request together stay within its own bound, short as its client's deadline may be.
            let bound = self.counter_timeout();
            let wait = self.requests.get(&id).map_or(bound, |o| o.counter_deadline - now).clamp(0.0, bound);
            let lapse: TimerAction = Box::new(move |gateway, driver| {
                if let Some((_, next)) = gateway.pending_calls.remove(&serial) {
                    gateway.record_counter_call(driver, None);
                    next(gateway, driver, None);
                }
            });
            let due = self.schedule(wait, lapse);
            self.pending_calls.insert(serial, (due, next));
        }
    }

    /// The counter's reply to the oldest open call of that key.
    pub fn counter_replied(&mut self, now: f64, driver: &mut dyn Driver, name: u64, answer: CounterReply) {
        self.now = now;
        let Some(entry) = self.counters.get_mut(&name) else { return };
        let Some((serial, amount, at, has_caller)) = entry.outstanding.pop_front() else { return };
        let told = if let CounterReply::Total(total) = answer { Some(total) } else { None };
        match answer {
            CounterReply::Total(total) => {
                entry.confirmed += amount;
                // A total below the own confirmed part: the counter lost the key. Claims the part again.
                if total + 0.01 < entry.confirmed {
                    entry.claimed -= entry.confirmed - total;
                    entry.confirmed = total;
                }
            }
            CounterReply::NotAdded => entry.claimed -= amount,
            // May have been added: taken as added, so that a slow counter is not charged twice.
            CounterReply::Unknown => entry.confirmed += amount.min(0.0),
        }
        // Late totals have timed out already; a call that was cut off in time says nothing of the counter's latency.
        let (waited, bound) = (self.pending_calls.remove(&serial), self.counter_timeout());
        let in_time = now - at <= bound;
        let lapsed = has_caller && waited.is_none();
        if !lapsed && (in_time != (answer == CounterReply::Unknown) || answer == CounterReply::NotAdded) {
            self.record_counter_call(driver, told.map(|_| (now - at) / bound));
        }
        if let Some((due, next)) = waited {
            self.timers.remove(&due);
            next(self, driver, told);
        }
        self.arm_timer(driver);
    }
}
