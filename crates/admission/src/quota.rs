//! Whether a request is within its customer's quota: one add to the active tier's window, further tiers by their marks,
//! and a decision on local knowledge where the counter does not answer.
//!
//! Source: the design note's global sliding window from two fixed-window names, the closed one weighted.

use crate::admission::Admission;
use crate::counter_keys::counter_key;
use crate::interface::{Driver, PlanLimits};
use crate::state::CounterContinuation;
use crate::windows::window;

pub use crate::tiers::{Tier, tiers};

/// Most requests that one add stands for, itself included: more is noise in a small plan's window.
const MAX_REPRESENTED: f64 = 2.5;

impl Admission {
    /// Refills this gateway's even part of the rate limit, from nothing at a start: restarts would otherwise grant the stored
    /// burst twice. True if the request fits; its units are taken then.
    pub(crate) fn within_rate_limit(&mut self, id: u32) -> bool {
        let (customer, plan, units) = self.quota_subject(id);
        let (_, rate, burst) = self.rate_limits[plan];
        let Some(customer_state) = self.customers.get_mut(&customer) else { return false };
        let grown = customer_state.rate_limit_tokens
            + (self.now - customer_state.rate_limit_refilled_at) * rate * customer_state.even_share;
        (customer_state.rate_limit_tokens, customer_state.rate_limit_refilled_at) =
            (grown.min(burst * customer_state.even_share), self.now);
        let fits = rate.is_infinite() || customer_state.rate_limit_tokens + 1e-9 >= units;
        customer_state.rate_limit_tokens -= if fits { units } else { 0.0 };
        fits
    }

    pub(crate) fn check_quota(&mut self, driver: &mut dyn Driver, id: u32) {
        let (customer, plan, _) = self.quota_subject(id);
        let (tier, until) = self.customers[&customer].active_tier;
        match (self.rate_limits[plan].0 || self.within_rate_limit(id), self.tiers[plan].is_empty()) {
            (false, _) => self.reject_overloaded(driver, id),
            (_, true) => self.dispatch(driver, id),
            _ => self.add_to_tier(driver, id, if until > self.now { tier } else { 0 }),
        }
    }

    /// One add to the tier's current window; the closed window is read where it decides.
    pub(crate) fn add_to_tier(&mut self, driver: &mut dyn Driver, id: u32, k: usize) {
        let now = self.now;
        let (customer, plan, units) = self.quota_subject(id);
        let tier = self.tiers[plan][k];
        let (index, elapsed_part) = window(customer, &tier, now);
        let (present, keep) = (counter_key(customer, k as u64, index), tier.window * 2.0 + 0.5);
        let full = self.customers[&customer].windows[k].exhausted_until;
        if full.0 > now && units >= full.1 {
            return self.try_next_tier(driver, id, k, full.0 - now);
        }
        // What is admitted locally is added with the next add to its key; for a spread-out customer the adds made stand for it.
        let wide = self.customers[&customer].spread_out;
        let stands_for =
            if wide { units * (1.0 / self.counter_call_fraction).min(MAX_REPRESENTED) } else { units };
        let asks = self.may_call_counter();
        if asks || !wide {
            self.counter_entry(present, keep).wanted += stands_for;
            self.requests.entry(id).and_modify(|o| o.charged = Some((present, keep, stands_for)));
        }
        if !asks {
            return self.decide_locally(driver, id);
        }
        let next: CounterContinuation = Box::new(move |gateway, driver, total| match total {
            _ if !gateway.requests.contains_key(&id) => (),
            None => gateway.decide_locally(driver, id),
            Some(total) => gateway.evaluate_total(driver, id, k, total, index, elapsed_part),
        });
        self.send_add(driver, present, keep, Some((id, next)));
    }

    pub(crate) fn evaluate_total(
        &mut self,
        driver: &mut dyn Driver,
        id: u32,
        k: usize,
        total: f64,
        index: u64,
        elapsed_part: f64,
    ) {
        // Longest time, in seconds, without asking about an exhausted window, since other gateways may have refunded units.
        const MAX_EXHAUSTED: f64 = 1.0;
        // Share of the limit from which on the rest of the closed window counts: moderate customers stay below it.
        const CARRY_OVER_FROM: f64 = 0.25;
        let now = self.now;
        let (customer, plan, units) = self.quota_subject(id);
        let added = self.requests[&id].charged.map_or(units, |c| c.2);
        let (tier, may_read) = (self.tiers[plan][k], self.may_call_counter());
        let Some(customer_state) = self.customers.get_mut(&customer) else { return };
        let (wide, window_state) = (customer_state.spread_out, &mut customer_state.windows[k]);
        let before = *window_state;
        let room = match wide {
            true => {
                window_state.update_spread_out(&tier, index, elapsed_part, total, added, now) + added - units
            }
            false => window_state.update(&tier, index, elapsed_part, total, units, now),
        };
        let crosses = total >= tier.limit * CARRY_OVER_FROM && total - added < tier.limit * CARRY_OVER_FROM;
        if wide && crosses {
            self.read_closed_window(driver, id, k, None, (index, elapsed_part));
        }
        if room >= -1e-6 {
            return self.dispatch(driver, id);
        }
        let unread = before.closed.is_none_or(|c| c.0 + 1 != index);
        if !wide && may_read && unread && total <= 2.0 * tier.limit {
            self.customers.entry(customer).and_modify(|c| c.windows[k] = before);
            return self.read_closed_window(driver, id, k, Some(total), (index, elapsed_part));
        }
        let Some(customer_state) = self.customers.get_mut(&customer) else { return };
        let window_state = &mut customer_state.windows[k];
        window_state.room += added;
        window_state.total -= added;
        // Room returns at the tier's rate; until then the gateway need not ask again.
        let wait = -room * tier.window / tier.limit;
        window_state.exhausted_until = (now + wait.min(MAX_EXHAUSTED), units);
        self.refund(driver, id);
        self.try_next_tier(driver, id, k, wait);
    }

    /// Reads the closed window for a request that is then evaluated again at its total. Of a spread-out customer the one add
    /// that brings it past `CARRY_OVER_FROM` reads for all gateways, and adds what the closed window left undrained to the current
    /// key: a single total tells everything, also where the customer is seen once a minute.
    pub(crate) fn read_closed_window(
        &mut self,
        driver: &mut dyn Driver,
        id: u32,
        k: usize,
        at: Option<f64>,
        window: (u64, f64),
    ) {
        let (index, elapsed_part) = window;
        // How far one closed window moves the local share: a few windows are enough to converge.
        const SHARE_STEP: f64 = 0.5;
        let (customer, plan, _) = self.quota_subject(id);
        let tier = self.tiers[plan][k];
        let keep = tier.window * 2.0 + 0.5;
        let [before, present] = [index - 1, index].map(|index| counter_key(customer, k as u64, index));
        let next: CounterContinuation = Box::new(move |gateway, driver, read| {
            let mine = gateway.counters.get(&before).map_or(0.0, |t| t.wanted);
            let Some(customer_state) = gateway.customers.get_mut(&customer) else { return };
            let share = customer_state.local_share;
            // A closed window that holds less than this gateway sent was lost by the counter: use the own part and share.
            let read = read.filter(|read| read + 0.01 >= mine);
            let Some(total) = at else {
                let left = read.map_or(0.0, |read| (read - tier.limit).clamp(0.0, tier.limit));
                gateway.counter_entry(present, keep).wanted += left;
                return gateway.send_add(driver, present, keep, None);
            };
            let closed = read.unwrap_or(mine / share);
            customer_state.windows[k].closed = Some((index - 1, closed));
            if closed > 0.0 && mine > 0.0 {
                customer_state.local_share += SHARE_STEP * ((mine / closed).min(1.0) - share);
            }
            if gateway.requests.contains_key(&id) {
                gateway.evaluate_total(driver, id, k, total, index, elapsed_part);
            }
        });
        self.counter_entry(before, keep);
        self.send_add(driver, before, keep, Some((if at.is_some() { id } else { u32::MAX }, next)));
    }

    /// Decides without the counter, by the room last seen: it drains on, and each own request stands for the other gateways'
    /// too, by the local share, into debt if need be: one request a minute of a customer spread over fifty gateways is
    /// admitted. Could harm where the share is far too low. The older the last total, the more may be owed, up to a burst.
    /// Most of those rejected on an estimate are within their quota: the cheaper overage is, the more is admitted, once for
    /// the whole fleet.
    pub(crate) fn decide_locally(&mut self, driver: &mut dyn Driver, id: u32) {
        // A share learned from one closed window may be next to nothing; more than a thousand gateways are unlikely.
        const MIN_SHARE: f64 = 0.001;
        let (customer, plan, units) = self.quota_subject(id);
        let PlanLimits { rate, burst, overage_cost: over_costs, .. } = self.settings.plans[plan];
        let Some(customer_state) = self.customers.get_mut(&customer) else { return };
        let cost = units / customer_state.local_share.max(MIN_SHARE);
        // At most four bursts, and few where a request is a small part of one: with few gateways more did harm.
        let guess = (cost / burst.max(1e-9)).min(1.0);
        let spared = if over_costs > 0.0 { guess * guess * burst / over_costs.max(0.25) } else { 0.0 };
        let window_state = &mut customer_state.windows[0];
        let grown = window_state.room + (self.now - window_state.updated_at) * rate;
        let room = (grown - window_state.granted_unasked).min(burst);
        if room + (grown - window_state.room).min(burst) + spared + 1e-9 >= cost.min(burst.max(units)) {
            window_state.granted_unasked = grown - room + cost;
            if !self.rate_limits[plan].0 || self.within_rate_limit(id) {
                return self.dispatch(driver, id);
            }
        }
        // The rejection is an estimate: the next try should come soon enough to ask the counter in time.
        self.refund(driver, id);
        self.reject_overloaded(driver, id);
    }
}
