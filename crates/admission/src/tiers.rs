//! Tiers of a plan, derived from its rate and burst, and how its hard rate limit is enforced.

use crate::interface::PlanLimits;

/// A tier of a plan: at most `limit` units in any `window` seconds. Once entered, it is active for `active` seconds and then
/// unavailable for `cooldown` seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tier {
    /// Length of the window, in seconds.
    pub window: f64,
    /// Units in one window.
    pub limit: f64,
    /// Seconds for which it is active once entered.
    pub active: f64,
    /// Seconds after the active period until it may be entered again.
    pub cooldown: f64,
}

/// Shares of the plan's rate that the burst tier may use up, and of its burst that it may grant at once. Shares fit any
/// plan; they are small because what the burst tier takes is missing from the base tier, for customers near their rate.
const BURST_TIER_RATE_SHARE: f64 = 0.1;
const BURST_TIER_BURST_SHARE: f64 = 0.25;
/// Smallest burst tier, in requests of the largest size: each window of each tier wastes up to one request's units.
const MIN_BURST_TIER: f64 = 4.0;
/// Active period of the burst tier, as a share of the plan's window. It is short because the base tier is not used
/// meanwhile.
const ACTIVE_SHARE_OF_WINDOW: f64 = 0.25;
/// Bounds of a window, in seconds: counter keys live for two windows and a margin, a minute at most.
const MAX_WINDOW: f64 = 25.0;
const MIN_WINDOW: f64 = 0.2;

/// The tiers of a plan: the base tier, a burst tier if enough requests of the largest size fit into it, and a tier beyond
/// the quota if overage earns more than it costs. A plan without a rate has none.
pub fn tiers(plan: &PlanLimits, max_units: f64) -> Vec<Tier> {
    if plan.rate <= 0.0 {
        return Vec::new();
    }
    let (rate, burst) = (plan.rate, plan.burst.max(1e-3));
    let plan_window = (burst / rate).clamp(MIN_WINDOW, MAX_WINDOW);
    let cycle = BURST_TIER_BURST_SHARE * burst / (BURST_TIER_RATE_SHARE * rate);
    let (active, burst_window) = (plan_window * ACTIVE_SHARE_OF_WINDOW, (cycle / 2.0).min(MAX_WINDOW));
    let limit = BURST_TIER_BURST_SHARE * burst / (1.0 + active / burst_window);
    let permanent = |window, limit| Tier { window, limit, active: f64::INFINITY, cooldown: 0.0 };
    let mut tiers = vec![permanent(plan_window, burst.min(rate * plan_window))];
    let base = (1.0 - BURST_TIER_BURST_SHARE) * burst;
    if limit >= MIN_BURST_TIER * max_units && cycle <= 2.0 * MAX_WINDOW && base >= max_units {
        let window = (base / ((1.0 - BURST_TIER_RATE_SHARE) * rate)).clamp(MIN_WINDOW, MAX_WINDOW);
        tiers = vec![
            permanent(window, base),
            Tier { window: burst_window, limit, active, cooldown: cycle - active },
        ];
    }
    if plan.overage_revenue > plan.overage_cost {
        tiers.push(Tier { window: plan_window, limit: burst, active: plan_window, cooldown: 0.0 });
    }
    tiers
}

/// A plan's hard rate limit as the gateways enforce it.
pub(crate) struct RateLimit {
    /// Whether the counter's totals enforce the limit already, so that only local decisions are checked against it.
    pub(crate) enforced_by_counter: bool,
    /// Rate that the gateways share evenly, in units a second.
    pub(crate) rate: f64,
    /// Burst that the gateways share evenly, in units.
    pub(crate) burst: f64,
}

/// The rate limit of a plan. Requests admitted by the counter's totals stay below the quota over all gateways, and so below
/// a rate limit above it. Requests admitted locally are reported to the totals, so they get an even part of the whole rate,
/// but only of the burst that is left above the quota.
pub(crate) fn rate_limit(plan: &PlanLimits, may_count: bool) -> RateLimit {
    let limit = |enforced_by_counter, rate, burst| RateLimit { enforced_by_counter, rate, burst };
    // A tier beyond the quota grants the quota a second time.
    let granted = if plan.overage_revenue > plan.overage_cost { 2.0 } else { 1.0 };
    let (rate, burst) = (plan.rate_limit, plan.rate_limit_burst);
    let (rate_left, burst_left) = (rate - granted * plan.rate, burst - granted * plan.burst);
    match may_count && plan.rate > 0.0 && rate_left > 0.0 && burst_left > 0.0 {
        _ if rate <= 0.0 => limit(true, f64::INFINITY, f64::INFINITY),
        true => limit(true, rate, burst_left),
        false => limit(false, rate, burst),
    }
}
