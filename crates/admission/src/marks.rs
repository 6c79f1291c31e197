//! Entry into the tiers beyond the base tier, shared by all gateways through marks on the counter.

use crate::admission::Admission;
use crate::counter_keys::counter_key;
use crate::interface::Driver;
use crate::state::{CounterContinuation, PendingCaller};

impl Admission {
    /// Handles a request that does not fit into tier `tier_index`: uses the next tier that is active or may be entered, and
    /// rejects the request if none is left.
    pub(crate) fn try_next_tier(&mut self, driver: &mut dyn Driver, id: u32, tier_index: usize, wait: f64) {
        // Share of a tier's period after which its marks are read again.
        const RECHECK_SHARE: f64 = 0.25;
        let (customer, plan, _) = self.quota_subject(id);
        let next_tier = tier_index + 1;
        let Some(&tier) = self.tiers[plan].get(next_tier) else { return self.reject(driver, id, wait) };
        if self.customers[&customer].tier_taken_until[next_tier] > self.now || !self.may_call_counter() {
            return self.try_next_tier(driver, id, next_tier, wait);
        }
        let mark_key = |kind: u64| counter_key(customer, kind + next_tier as u64, 0);
        let (taken_key, active_key, active, cycle) =
            (mark_key(2), mark_key(4), tier.active, tier.active + tier.cooldown);
        let plan_revision = self.plan_revision(id);
        let after_active_mark: CounterContinuation = Box::new(move |gateway, driver, total| {
            let running = total.is_some_and(|total| total > 0.5);
            let recheck_after = (cycle * RECHECK_SHARE).min(active);
            let (active_for, taken_for) =
                if running { (active * RECHECK_SHARE, 0.0) } else { (0.0, recheck_after) };
            gateway.enter_tier(customer, next_tier, active_for, taken_for);
            gateway.continue_after_wait(driver, id, plan_revision, |gateway, driver| {
                gateway.continue_after_mark(driver, id, next_tier, running, wait);
            });
        });
        let after_taken_mark: CounterContinuation = Box::new(move |gateway, driver, total| match total {
            Some(total) if total < 1.5 => {
                gateway.enter_tier(customer, next_tier, active, cycle);
                gateway.update_mark(driver, active_key, active, 1.0, None);
                gateway.continue_after_wait(driver, id, plan_revision, |gateway, driver| {
                    gateway.continue_after_mark(driver, id, next_tier, true, wait);
                });
            }
            Some(_) => gateway.update_mark(driver, active_key, active, 0.0, Some((id, after_active_mark))),
            None => after_active_mark(gateway, driver, None),
        });
        self.update_mark(driver, taken_key, cycle, 1.0, Some((id, after_taken_mark)));
    }

    /// Continues an open request in the tier that was entered, or with the next one.
    pub(crate) fn continue_after_mark(
        &mut self,
        driver: &mut dyn Driver,
        id: u32,
        tier_index: usize,
        entered: bool,
        wait: f64,
    ) {
        match entered {
            true => self.add_to_tier(driver, id, tier_index),
            false => self.try_next_tier(driver, id, tier_index, wait),
        }
    }

    /// Records for how many seconds a tier is active and for how many it is known to be taken.
    pub(crate) fn enter_tier(&mut self, customer: u64, tier: usize, active_for: f64, taken_for: f64) {
        if let Some(customer_state) = self.customers.get_mut(&customer) {
            customer_state.active_tier = (tier, self.now + active_for);
            customer_state.tier_taken_until[tier] = self.now + taken_for;
        }
    }

    /// Sets a mark (`add` 1) or reads it (`add` 0). A mark is a counter key of its own; the local entry of an earlier period is
    /// discarded.
    pub(crate) fn update_mark(
        &mut self,
        driver: &mut dyn Driver,
        key: u64,
        lifetime: f64,
        add: f64,
        next: PendingCaller,
    ) {
        let entry = self.counter_entry(key, lifetime);
        (entry.wanted, entry.claimed, entry.confirmed) = (add, 0.0, f64::NEG_INFINITY);
        self.send_add(driver, key, lifetime, next);
    }
}
