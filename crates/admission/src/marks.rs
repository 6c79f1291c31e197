//! Tiers beyond the base tier: who may enter one, told to all gateways by marks on the counter.

use crate::admission::Admission;
use crate::counter_keys::counter_key;
use crate::interface::Driver;
use crate::state::{CounterContinuation, PendingCaller};

impl Admission {
    /// Beyond tier `k`: uses the next tier that is active or free to enter; rejects where none is left.
    pub(crate) fn try_next_tier(&mut self, driver: &mut dyn Driver, id: u32, k: usize, wait: f64) {
        // Share of a tier's period after which its marks are read again.
        const RECHECK_SHARE: f64 = 0.25;
        let (customer, plan, _) = self.quota_subject(id);
        let next_tier = k + 1;
        let Some(&tier) = self.tiers[plan].get(next_tier) else { return self.reject(driver, id, wait) };
        if self.customers[&customer].tier_taken_until[next_tier] > self.now || !self.may_call_counter() {
            return self.try_next_tier(driver, id, next_tier, wait);
        }
        let name = |what: u64| counter_key(customer, what + next_tier as u64, 0);
        let (taken, force, active, whole) = (name(2), name(4), tier.active, tier.active + tier.cooldown);
        let after_force: CounterContinuation = Box::new(move |gateway, driver, total| {
            let running = total.is_some_and(|t| t > 0.5);
            let rest = (whole * RECHECK_SHARE).min(active);
            let (force, taken) = if running { (active * RECHECK_SHARE, 0.0) } else { (0.0, rest) };
            gateway.enter_tier(customer, next_tier, force, taken);
            gateway.continue_after_mark(driver, id, next_tier, running, wait);
        });
        let after_taken: CounterContinuation = Box::new(move |gateway, driver, total| match total {
            Some(total) if total < 1.5 => {
                gateway.enter_tier(customer, next_tier, active, whole);
                gateway.update_mark(driver, force, active, 1.0, None);
                gateway.continue_after_mark(driver, id, next_tier, true, wait);
            }
            Some(_) => gateway.update_mark(driver, force, active, 0.0, Some((id, after_force))),
            None => after_force(gateway, driver, None),
        });
        self.update_mark(driver, taken, whole, 1.0, Some((id, after_taken)));
    }

    pub(crate) fn continue_after_mark(
        &mut self,
        driver: &mut dyn Driver,
        id: u32,
        k: usize,
        entered: bool,
        wait: f64,
    ) {
        match (self.requests.contains_key(&id), entered) {
            (false, _) => {}
            (_, true) => self.add_to_tier(driver, id, k),
            (_, false) => self.try_next_tier(driver, id, k, wait),
        }
    }

    pub(crate) fn enter_tier(&mut self, customer: u64, tier: usize, active: f64, taken: f64) {
        if let Some(customer_state) = self.customers.get_mut(&customer) {
            customer_state.active_tier = (tier, self.now + active);
            customer_state.tier_taken_until[tier] = self.now + taken;
        }
    }

    /// A mark is a counter key of its own: 1 sets it, 0 reads it; what was known of it before does not count.
    pub(crate) fn update_mark(
        &mut self,
        driver: &mut dyn Driver,
        name: u64,
        keep: f64,
        add: f64,
        next: PendingCaller,
    ) {
        let entry = self.counter_entry(name, keep);
        (entry.wanted, entry.claimed, entry.confirmed) = (add, 0.0, f64::NEG_INFINITY);
        self.send_add(driver, name, keep, next);
    }
}
