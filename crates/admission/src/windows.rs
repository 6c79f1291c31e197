//! The sliding window of one tier: room left after an add, from the current fixed window and the weighted closed one.

use crate::state::SlidingWindow;
use crate::tiers::Tier;

/// From so many gateways on a customer is spread out: its next request rarely arrives here within a window.
pub(crate) const SPREAD_OUT_FROM: u32 = 10;
/// Refunds of other gateways in flight are a few requests at most.
const MAX_REFUNDS_IN_FLIGHT: f64 = 4.0;

impl SlidingWindow {
    /// Room in the tier after an add that brought the current window to `total`. Past use drains at the tier's own rate: from
    /// what was last seen on, or, where that is too long ago, from the closed window alone, as if all of it had come at its
    /// end. Both are lower bounds of the room, so the greater one is valid.
    pub(crate) fn update(
        &mut self,
        tier: &Tier,
        index: u64,
        elapsed_part: f64,
        total: f64,
        units: f64,
        now: f64,
    ) -> f64 {
        let closed = self.closed.filter(|c| c.0 + 1 == index).map(|c| c.1);
        let kept = closed.map_or(0.0, |closed| (tier.limit - closed).max(0.0));
        let mut room = (kept + elapsed_part * tier.limit).min(tier.limit) - total;
        let grown = (self.room + (now - self.updated_at) * tier.limit / tier.window).min(tier.limit);
        // A total that fell by more than refunds explain was lost by the counter; the room seen before survives it.
        let fell = |used: f64| if used < -MAX_REFUNDS_IN_FLIGHT * units.max(1.0) { units } else { used };
        if self.index == index {
            room = room.max(grown - fell(total - self.total));
        } else if self.index > 0 && self.index + 1 == index && closed.is_some() {
            room = room.max(grown - fell(closed.unwrap_or(0.0) - self.total + total));
        }
        *self = SlidingWindow { index, total, room, updated_at: now, granted_unasked: 0.0, ..*self };
        room
    }

    /// The same for a customer that is spread out: `total` includes what the closed window left undrained, and little was
    /// seen here. Even use would have drained in full, one burst at the window's end not at all.
    pub(crate) fn update_spread_out(
        &mut self,
        tier: &Tier,
        index: u64,
        elapsed_part: f64,
        total: f64,
        units: f64,
        now: f64,
    ) -> f64 {
        // A half admitted more beyond quotas on a crowded counter; zero rejected many that had used half of theirs.
        const DRAINED_SHARE: f64 = 0.25;
        let room = (tier.limit * (1.0 + DRAINED_SHARE * elapsed_part) - total).min(tier.limit - units);
        *self = SlidingWindow { index, total, room, updated_at: now, granted_unasked: 0.0, ..*self };
        room
    }
}

/// The index of the tier's current window and the part of it that has passed; customers' windows start at different times.
pub(crate) fn window(customer: u64, tier: &Tier, now: f64) -> (u64, f64) {
    let turns = now / tier.window + (customer.wrapping_mul(0x9e37_79b9) % 1024) as f64 / 1024.0;
    (turns as u64 + 1, turns.fract())
}
