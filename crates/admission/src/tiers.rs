//! Burst tiers of a plan, derived from its rate and burst, and the enforcement of its hard rate limit.

use crate::interface::PlanLimits;

/// A tier of a plan: at most `limit` units in any `window` seconds. Once entered it is active for `active` seconds, then
/// unavailable for `cooldown` seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tier {
    /// Seconds.
    pub window: f64,
    /// Units in one window.
    pub limit: f64,
    /// Seconds for which it is active once entered.
    pub active: f64,
    /// Seconds until it may be entered again.
    pub cooldown: f64,
}

/// Shares of the plan's rate that the burst tier may use up, and of its burst that it may grant at once; shares, so that
/// they fit any plan, and small, since customers near their rate miss what the base tier lacks.
const BURST_TIER_RATE_SHARE: f64 = 0.1;
const BURST_TIER_BURST_SHARE: f64 = 0.25;
/// Smallest burst tier, in the largest requests: less than a whole request is lost in each window of each tier.
const MIN_BURST_TIER: f64 = 4.0;
/// Active period of the burst tier as a share of its window: short, so that the capacity that it shadows returns soon.
const ACTIVE_SHARE_OF_WINDOW: f64 = 0.25;
/// Seconds. Counter keys live two windows and a margin, a minute at most.
const MAX_WINDOW: f64 = 25.0;
const MIN_WINDOW: f64 = 0.2;

/// The tiers of a plan with a rate: the base tier, a burst tier where the largest request fits into it, and a tier beyond
/// the quota where overage earns more than it costs.
pub fn tiers(plan: &PlanLimits, most_units: f64) -> Vec<Tier> {
    if plan.rate <= 0.0 {
        return Vec::new();
    }
    let (rate, burst) = (plan.rate, plan.burst.max(1e-3));
    let whole = (burst / rate).clamp(MIN_WINDOW, MAX_WINDOW);
    let cycle = BURST_TIER_BURST_SHARE * burst / (BURST_TIER_RATE_SHARE * rate);
    let (active, wide) = (whole * ACTIVE_SHARE_OF_WINDOW, (cycle / 2.0).min(MAX_WINDOW));
    let limit = BURST_TIER_BURST_SHARE * burst / (1.0 + active / wide);
    let lasting = |window, limit| Tier { window, limit, active: f64::INFINITY, cooldown: 0.0 };
    let mut tiers = vec![lasting(whole, burst.min(rate * whole))];
    let base = (1.0 - BURST_TIER_BURST_SHARE) * burst;
    if limit >= MIN_BURST_TIER * most_units && cycle <= 2.0 * MAX_WINDOW && base >= most_units {
        let window = (base / ((1.0 - BURST_TIER_RATE_SHARE) * rate)).clamp(MIN_WINDOW, MAX_WINDOW);
        tiers = vec![lasting(window, base), Tier { window: wide, limit, active, cooldown: cycle - active }];
    }
    if plan.overage_revenue > plan.overage_cost {
        tiers.push(Tier { window: whole, limit: burst, active: whole, cooldown: 0.0 });
    }
    tiers
}

/// Whether the counter's totals enforce a plan's rate limit, and the rate and burst that gateways share evenly. What the
/// totals admit over all gateways stays below the quota, and so below a rate limit above it. What is admitted locally is
/// reported to the totals: it has an even part of the whole rate, and of the burst that is left above the quota.
pub(crate) fn rate_limit(plan: &PlanLimits, may_count: bool) -> (bool, f64, f64) {
    // A tier beyond the quota grants as much again.
    let granted = if plan.overage_revenue > plan.overage_cost { 2.0 } else { 1.0 };
    let (rate, burst) = (plan.rate_limit, plan.rate_limit_burst);
    let left = (rate - granted * plan.rate, burst - granted * plan.burst);
    match may_count && plan.rate > 0.0 && left.0 > 0.0 && left.1 > 0.0 {
        _ if rate <= 0.0 => (true, f64::INFINITY, f64::INFINITY),
        true => (true, rate, left.1),
        false => (false, rate, burst),
    }
}
