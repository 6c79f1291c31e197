//! What this gateway has added to the counter: adds, refunds, and the replies to them.

use crate::admission::Admission;
use crate::interface::{CounterReply, Driver};
use crate::state::{Charge, CounterEntry, OutstandingAdd, PendingCaller, TimerAction};

impl Admission {
    /// Takes back the units that were charged for a request.
    pub(crate) fn refund(&mut self, driver: &mut dyn Driver, id: u32) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some(Charge { key, lifetime, units }) = open.charged.take() else { return };
        self.counter_entry(key, lifetime).wanted -= units;
        // While the counter is overloaded the refund goes with the next add: calls that no request waits for are omitted first.
        if self.counter_call_fraction >= 1.0 {
            self.send_add(driver, key, lifetime, None);
        }
    }

    /// The local entry of a counter key, created if there is none.
    pub(crate) fn counter_entry(&mut self, key: u64, lifetime: f64) -> &mut CounterEntry {
        let new_entry = CounterEntry { expires: self.now + lifetime, ..CounterEntry::default() };
        self.counters.entry(key).or_insert(new_entry)
    }

    /// Sends one add of the difference between the wanted and the claimed contribution.
    pub(crate) fn send_add(&mut self, driver: &mut dyn Driver, key: u64, lifetime: f64, next: PendingCaller) {
        if !self.settings.may_count {
            return;
        }
        self.last_serial += 1;
        let (serial, now) = (self.last_serial, self.now);
        let entry = self.counter_entry(key, lifetime);
        let amount = entry.wanted - entry.claimed;
        if next.is_none() && amount == 0.0 {
            return;
        }
        entry.claimed = entry.wanted;
        entry.outstanding.push_back(OutstandingAdd {
            serial,
            amount,
            sent_at: now,
            has_caller: next.is_some(),
        });
        driver.add_to_counter(key, amount, lifetime.min(59.0));
        if let Some((id, next)) = next {
            // The waits of a request are bounded together by its counter deadline, which depends on its client's deadline.
            let timeout = self.counter_timeout();
            let wait = self
                .requests
                .get(&id)
                .map_or(timeout, |open| open.counter_deadline - now)
                .clamp(0.0, timeout);
            let on_timeout: TimerAction = Box::new(move |gateway, driver| {
                if let Some((_, next)) = gateway.pending_calls.remove(&serial) {
                    gateway.record_counter_call(driver, None);
                    next(gateway, driver, None);
                }
            });
            let timer = self.schedule(wait, on_timeout);
            self.pending_calls.insert(serial, (timer, next));
        }
    }

    /// Handles the counter's reply to the oldest outstanding call of that key.
    pub fn counter_replied(&mut self, now: f64, driver: &mut dyn Driver, key: u64, reply: CounterReply) {
        self.now = now;
        let Some(entry) = self.counters.get_mut(&key) else { return };
        let Some(OutstandingAdd { serial, amount, sent_at, has_caller }) = entry.outstanding.pop_front()
        else {
            return;
        };
        let total_replied = if let CounterReply::Total(total) = reply { Some(total) } else { None };
        match reply {
            CounterReply::Total(total) => {
                entry.confirmed += amount;
                // The total is below what the counter has confirmed to this gateway: the counter lost the key. The next add
                // includes the missing units again.
                if total + 0.01 < entry.confirmed {
                    entry.claimed -= entry.confirmed - total;
                    entry.confirmed = total;
                }
            }
            CounterReply::NotAdded => entry.claimed -= amount,
            // The add may have arrived: it stays claimed, so that the units are not charged twice on a slow counter.
            CounterReply::Unknown => entry.confirmed += amount.min(0.0),
        }
        // A late reply was recorded when its call timed out; a call that ended earlier without a reply says nothing about the
        // counter's latency.
        let (caller, timeout) = (self.pending_calls.remove(&serial), self.counter_timeout());
        let in_time = now - sent_at <= timeout;
        let timed_out = has_caller && caller.is_none();
        if !timed_out && (in_time != (reply == CounterReply::Unknown) || reply == CounterReply::NotAdded) {
            self.record_counter_call(driver, total_replied.map(|_| (now - sent_at) / timeout));
        }
        if let Some((timer, next)) = caller {
            self.timers.remove(&timer);
            next(self, driver, total_replied);
        }
        self.arm_timer(driver);
    }
}
