//! Whether a request is within its customer's quota: one add to the window of the active tier, entry into further tiers by
//! marks on the counter, and a local decision where the counter does not reply.
//!
//! A global sliding window is approximated by two fixed windows, each under its own counter key; the closed one is
//! weighted.

use crate::admission::Admission;
use crate::counter_keys::counter_key;
use crate::interface::{Driver, PlanLimits};
use crate::state::{Charge, ClosedWindow, CounterContinuation, Exhausted, WindowAdd};
use crate::tiers::RateLimit;
use crate::windows::window;

pub use crate::tiers::{Tier, tiers};

/// The number of requests that one add represents at most, itself included; more would be noise in a small plan's window.
const MAX_REPRESENTED: f64 = 2.5;

impl Admission {
    /// Refills this gateway's even part of the rate limit and takes the request's units if they fit; returns whether they do.
    /// The bucket is empty at start, or a restart would grant the stored burst twice.
    pub(crate) fn within_rate_limit(&mut self, id: u32) -> bool {
        let (customer, plan, units) = self.quota_subject(id);
        let RateLimit { rate, burst, .. } = self.rate_limits[plan];
        let Some(customer_state) = self.customers.get_mut(&customer) else { return false };
        let refilled = customer_state.rate_limit_tokens
            + (self.now - customer_state.rate_limit_refilled_at) * rate * customer_state.even_share;
        (customer_state.rate_limit_tokens, customer_state.rate_limit_refilled_at) =
            (refilled.min(burst * customer_state.even_share), self.now);
        let fits = rate.is_infinite() || customer_state.rate_limit_tokens + 1e-9 >= units;
        customer_state.rate_limit_tokens -= if fits { units } else { 0.0 };
        fits
    }

    /// Checks the rate limit and the quota, and dispatches or rejects the request, perhaps after a reply of the counter.
    pub(crate) fn check_quota(&mut self, driver: &mut dyn Driver, id: u32) {
        let (_, plan, _) = self.quota_subject(id);
        let is_within_rate_limit = self.rate_limits[plan].enforced_by_counter || self.within_rate_limit(id);
        if !is_within_rate_limit {
            self.reject_overloaded(driver, id);
        } else if self.tiers[plan].is_empty() {
            self.dispatch(driver, id);
        } else {
            self.add_to_tier(driver, id, self.active_tier(id));
        }
    }

    /// The tier that is known to be active, if the plan still has it; otherwise the base tier.
    fn active_tier(&self, id: u32) -> usize {
        let (customer, plan, _) = self.quota_subject(id);
        let (tier, until) = self.customers.get(&customer).map_or((0, 0.0), |state| state.active_tier);
        let is_active = until > self.now && tier < self.tiers[plan].len();
        if is_active { tier } else { 0 }
    }

    /// The revision of the limits of an open request's plan.
    pub(crate) fn plan_revision(&self, id: u32) -> u64 {
        let (_, plan, _) = self.quota_subject(id);
        self.plan_revisions[plan]
    }

    /// Continues a request that waited for the counter, if it is still open. If its plan's limits were replaced meanwhile, its
    /// add is taken back and it is checked against the limits that apply now; its counter deadline stays the same.
    pub(crate) fn continue_after_wait(
        &mut self,
        driver: &mut dyn Driver,
        id: u32,
        plan_revision: u64,
        next: impl FnOnce(&mut Admission, &mut dyn Driver),
    ) {
        if !self.requests.contains_key(&id) {
            return;
        }
        if self.plan_revision(id) == plan_revision {
            return next(self, driver);
        }
        self.refund(driver, id);
        self.check_quota(driver, id);
    }

    /// Adds the request's units to the tier's current window; the closed window is read only where it decides.
    pub(crate) fn add_to_tier(&mut self, driver: &mut dyn Driver, id: u32, tier_index: usize) {
        let now = self.now;
        let (customer, plan, units) = self.quota_subject(id);
        let tier = self.tiers[plan][tier_index];
        let (index, elapsed_part) = window(customer, &tier, now);
        let (current_key, lifetime) =
            (counter_key(customer, tier_index as u64, index), tier.window * 2.0 + 0.5);
        let exhausted = self.customers[&customer].windows[tier_index].exhausted;
        if exhausted.until > now && units >= exhausted.min_units {
            return self.try_next_tier(driver, id, tier_index, exhausted.until - now);
        }
        // Units admitted locally go with the next add to their key. A spread-out customer's next add may never come: each add
        // that is made represents the requests decided locally as well.
        let spread_out = self.customers[&customer].spread_out;
        let represented =
            if spread_out { units * (1.0 / self.counter_call_fraction).min(MAX_REPRESENTED) } else { units };
        let ask_counter = self.may_call_counter();
        if ask_counter || !spread_out {
            self.counter_entry(current_key, lifetime).wanted += represented;
            self.requests.entry(id).and_modify(|open| {
                open.charged = Some(Charge { key: current_key, lifetime, units: represented })
            });
        }
        if !ask_counter {
            return self.decide_locally(driver, id);
        }
        let plan_revision = self.plan_revision(id);
        let add = WindowAdd { request: id, tier: tier_index, window: index, elapsed_part, plan_revision };
        let next: CounterContinuation = Box::new(move |gateway, driver, total| {
            gateway.continue_after_wait(driver, id, plan_revision, |gateway, driver| match total {
                None => gateway.decide_locally(driver, id),
                Some(total) => gateway.evaluate_total(driver, add, total),
            });
        });
        self.send_add(driver, current_key, lifetime, Some((id, next)));
    }

    /// Dispatches, rejects or moves to the next tier, by the total of the current window after this request's add.
    pub(crate) fn evaluate_total(&mut self, driver: &mut dyn Driver, add: WindowAdd, total: f64) {
        // Longest time, in seconds, without asking about an exhausted window: other gateways may refund units meanwhile.
        const MAX_EXHAUSTED: f64 = 1.0;
        // Share of the limit from which on the undrained part of the closed window counts; moderate customers stay below it.
        const CARRY_OVER_FROM: f64 = 0.25;
        let now = self.now;
        let WindowAdd { request: id, tier: tier_index, window: index, elapsed_part, .. } = add;
        let (customer, plan, units) = self.quota_subject(id);
        let added = self.requests[&id].charged.map_or(units, |charge| charge.units);
        let (tier, may_call) = (self.tiers[plan][tier_index], self.may_call_counter());
        let Some(customer_state) = self.customers.get_mut(&customer) else { return };
        let (spread_out, window_state) = (customer_state.spread_out, &mut customer_state.windows[tier_index]);
        let before = *window_state;
        let remaining_units = match spread_out {
            true => {
                window_state.update_spread_out(&tier, index, elapsed_part, total, added, now) + added - units
            }
            false => window_state.update(&tier, index, elapsed_part, total, units, now),
        };
        let crosses = total >= tier.limit * CARRY_OVER_FROM && total - added < tier.limit * CARRY_OVER_FROM;
        if spread_out && crosses {
            self.read_closed_window(driver, add, None);
        }
        if remaining_units >= -1e-6 {
            return self.dispatch(driver, id);
        }
        let closed_unknown = before.closed.is_none_or(|closed| closed.index + 1 != index);
        if !spread_out && may_call && closed_unknown && total <= 2.0 * tier.limit {
            self.customers
                .entry(customer)
                .and_modify(|customer_state| customer_state.windows[tier_index] = before);
            return self.read_closed_window(driver, add, Some(total));
        }
        let Some(customer_state) = self.customers.get_mut(&customer) else { return };
        let window_state = &mut customer_state.windows[tier_index];
        window_state.remaining_units += added;
        window_state.total -= added;
        // Units become available again at the tier's rate; until then the gateway need not ask again.
        let wait = -remaining_units * tier.window / tier.limit;
        window_state.exhausted = Exhausted { until: now + wait.min(MAX_EXHAUSTED), min_units: units };
        self.refund(driver, id);
        self.try_next_tier(driver, id, tier_index, wait);
    }

    /// Reads the closed window for a request, which is then evaluated again with `total_to_evaluate`. For a spread-out
    /// customer (`None`), the one add that crosses `CARRY_OVER_FROM` reads on behalf of all gateways and adds the undrained
    /// part of the closed window to the current key: a single total is then enough, even at a gateway that sees the customer
    /// once a minute.
    pub(crate) fn read_closed_window(
        &mut self,
        driver: &mut dyn Driver,
        add: WindowAdd,
        total_to_evaluate: Option<f64>,
    ) {
        let WindowAdd { request: id, tier: tier_index, window: index, plan_revision, .. } = add;
        let (customer, plan, _) = self.quota_subject(id);
        let tier = self.tiers[plan][tier_index];
        let lifetime = tier.window * 2.0 + 0.5;
        let [closed_key, current_key] =
            [index - 1, index].map(|index| counter_key(customer, tier_index as u64, index));
        let next: CounterContinuation = Box::new(move |gateway, driver, reply| {
            let own_units = gateway.counters.get(&closed_key).map_or(0.0, |entry| entry.wanted);
            // A total below what this gateway added shows that the counter lost the key: the own units and share give an estimate
            // of the total instead.
            let reply = reply.filter(|total| total + 0.01 >= own_units);
            let Some(total) = total_to_evaluate else {
                let undrained = reply.map_or(0.0, |total| (total - tier.limit).clamp(0.0, tier.limit));
                gateway.counter_entry(current_key, lifetime).wanted += undrained;
                return gateway.send_add(driver, current_key, lifetime, None);
            };
            if gateway.plan_revisions[plan] == plan_revision {
                gateway.record_closed_window(customer, tier_index, index - 1, reply, own_units);
            }
            gateway.continue_after_wait(driver, id, plan_revision, |gateway, driver| {
                gateway.evaluate_total(driver, add, total);
            });
        });
        self.counter_entry(closed_key, lifetime);
        self.send_add(
            driver,
            closed_key,
            lifetime,
            Some((if total_to_evaluate.is_some() { id } else { u32::MAX }, next)),
        );
    }

    /// Records the total of a closed window, or its estimate from this gateway's own units if the counter told none, and
    /// adjusts the local share.
    fn record_closed_window(
        &mut self,
        customer: u64,
        tier_index: usize,
        index: u64,
        reply: Option<f64>,
        own_units: f64,
    ) {
        // Weight of one closed window in the local share, which converges within a few windows.
        const SHARE_STEP: f64 = 0.5;
        let Some(customer_state) = self.customers.get_mut(&customer) else { return };
        let share = customer_state.local_share;
        let total = reply.unwrap_or(own_units / share);
        customer_state.windows[tier_index].closed = Some(ClosedWindow { index, total });
        if total > 0.0 && own_units > 0.0 {
            customer_state.local_share += SHARE_STEP * ((own_units / total).min(1.0) - share);
        }
    }

    /// Decides without the counter, from the units that remained at the last update. Past use keeps draining, and each request
    /// seen here also represents those at other gateways, by the local share. The remaining units may become negative, down to
    /// minus one burst, and the further the older the last total is: otherwise one request a minute of a customer spread over
    /// fifty gateways would be rejected. A share that is far too low makes each request cost too much. Most requests that are
    /// rejected on an estimate are within their quota, so there is an extra allowance, granted once for the whole fleet: the
    /// cheaper overage is, the larger it is.
    pub(crate) fn decide_locally(&mut self, driver: &mut dyn Driver, id: u32) {
        // A share learned from a single closed window may be close to 0; more than a thousand gateways are unlikely.
        const MIN_SHARE: f64 = 0.001;
        let (customer, plan, units) = self.quota_subject(id);
        let PlanLimits { rate, burst, overage_cost, .. } = self.settings.plans[plan];
        let Some(customer_state) = self.customers.get_mut(&customer) else { return };
        let cost = units / customer_state.local_share.max(MIN_SHARE);
        // At most four bursts, and little where a request is a small part of one: a larger allowance did harm with few
        // gateways.
        let uncertainty = (cost / burst.max(1e-9)).min(1.0);
        let allowance =
            if overage_cost > 0.0 { uncertainty * uncertainty * burst / overage_cost.max(0.25) } else { 0.0 };
        let window_state = &mut customer_state.windows[0];
        let refilled = window_state.remaining_units + (self.now - window_state.updated_at) * rate;
        let remaining_units = (refilled - window_state.granted_locally).min(burst);
        if remaining_units + (refilled - window_state.remaining_units).min(burst) + allowance + 1e-9
            >= cost.min(burst.max(units))
        {
            window_state.granted_locally = refilled - remaining_units + cost;
            if !self.rate_limits[plan].enforced_by_counter || self.within_rate_limit(id) {
                return self.dispatch(driver, id);
            }
        }
        // The rejection is based on an estimate, so the client should retry soon enough to ask the counter in time.
        self.refund(driver, id);
        self.reject_overloaded(driver, id);
    }
}
