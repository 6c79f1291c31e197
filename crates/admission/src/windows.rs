//! Sliding window of one tier: the units that remain after an add, computed from the current fixed window and the weighted
//! closed one.

use crate::state::SlidingWindow;
use crate::tiers::Tier;

/// A customer that uses more gateways than this is spread out: its next request rarely arrives here within a window.
pub(crate) const SPREAD_OUT_ABOVE: u32 = 10;
/// Refunds of other gateways in flight are a few requests at most.
const MAX_REFUNDS_IN_FLIGHT: f64 = 4.0;

impl SlidingWindow {
    /// Units that remain in the tier after an add that brought the current window to `total`. Past use drains at the tier's
    /// own rate, starting from the units that remained at the last update; where that is too long ago, from the closed window
    /// alone, as if all its units had been used at its end. Both are lower bounds of the remaining units, so the greater one
    /// holds.
    pub(crate) fn update(
        &mut self,
        tier: &Tier,
        index: u64,
        elapsed_part: f64,
        total: f64,
        units: f64,
        now: f64,
    ) -> f64 {
        let closed = self.closed.filter(|closed| closed.index + 1 == index).map(|closed| closed.total);
        let carried_over = closed.map_or(0.0, |closed| (tier.limit - closed).max(0.0));
        let mut remaining_units = (carried_over + elapsed_part * tier.limit).min(tier.limit) - total;
        let refilled =
            (self.remaining_units + (now - self.updated_at) * tier.limit / tier.window).min(tier.limit);
        // If the total fell by more than refunds explain, the counter lost the key: keep the earlier estimate, less `units`.
        let adjusted = |used: f64| if used < -MAX_REFUNDS_IN_FLIGHT * units.max(1.0) { units } else { used };
        if self.index == index {
            remaining_units = remaining_units.max(refilled - adjusted(total - self.total));
        } else if self.index > 0 && self.index + 1 == index && closed.is_some() {
            remaining_units =
                remaining_units.max(refilled - adjusted(closed.unwrap_or(0.0) - self.total + total));
        }
        *self =
            SlidingWindow { index, total, remaining_units, updated_at: now, granted_locally: 0.0, ..*self };
        remaining_units
    }

    /// Like `update`, for a spread-out customer: `total` includes what the closed window left undrained, and this gateway saw
    /// little of the use. Even use would have drained in full by now, a burst at the end of the closed window not at all.
    pub(crate) fn update_spread_out(
        &mut self,
        tier: &Tier,
        index: u64,
        elapsed_part: f64,
        total: f64,
        units: f64,
        now: f64,
    ) -> f64 {
        // 0.5 admitted more requests beyond their quota on an overloaded counter; 0 rejected many customers that had used
        // half of their quota.
        const DRAINED_SHARE: f64 = 0.25;
        let remaining_units =
            (tier.limit * (1.0 + DRAINED_SHARE * elapsed_part) - total).min(tier.limit - units);
        *self =
            SlidingWindow { index, total, remaining_units, updated_at: now, granted_locally: 0.0, ..*self };
        remaining_units
    }
}

/// The index of the tier's current window and the part of it that has passed. Customers' windows start at different times.
pub(crate) fn window(customer: u64, tier: &Tier, now: f64) -> (u64, f64) {
    let windows_passed = now / tier.window + (customer.wrapping_mul(0x9e37_79b9) % 1024) as f64 / 1024.0;
    (windows_passed as u64 + 1, windows_passed.fract())
}
