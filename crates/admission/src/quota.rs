//! Decides whether an inquiry is within its customer's quota: tiers and their windows, marks, the adds on the counter,
//! and what is let on without one.

use crate::admission::Admission;
use crate::counter_keys::name;
use crate::interface::*;
use crate::state::*;

/// A tier of a plan: at most `limit` units in any `window`; entered ones last `active`, then rest `cooldown`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tier {
    pub window: f64,
    pub limit: f64,
    pub active: f64,
    pub cooldown: f64,
}

/// Share of the rate that the burst tier may use up, and of the burst that it may grant at once: shares, so
/// that they fit any plan. Small ones, since what the base tier lacks is missed by customers near their rate.
const BURST_OF_RATE: f64 = 0.1;
const BURST_OF_BURST: f64 = 0.25;
/// Least burst tier, in the largest inquiries: what holds no whole one is lost in each window of each tier.
const LEAST_PART: f64 = 4.0;
/// Active period of the burst tier over its window: short, so that what it shadows comes back soon.
const ACTIVE_OF_WINDOW: f64 = 0.25;

/// The tiers of a plan with a rate: the base tier, the burst tier where the largest inquiry fits into it, and
/// a tier beyond the quota where what is sent on beyond it earns more than it costs.
pub fn tiers(plan: &PlanLimits, most_units: f64) -> Vec<Tier> {
    if plan.rate <= 0.0 {
        return Vec::new();
    }
    let (rate, burst) = (plan.rate, plan.burst.max(1e-3));
    let whole = (burst / rate).clamp(MIN_WINDOW, MAX_WINDOW);
    let cycle = BURST_OF_BURST * burst / (BURST_OF_RATE * rate);
    let (active, wide) = (whole * ACTIVE_OF_WINDOW, (cycle / 2.0).min(MAX_WINDOW));
    let limit = BURST_OF_BURST * burst / (1.0 + active / wide);
    let lasting = |window, limit| Tier { window, limit, active: f64::INFINITY, cooldown: 0.0 };
    let mut tiers = vec![lasting(whole, burst.min(rate * whole))];
    let base = (1.0 - BURST_OF_BURST) * burst;
    if limit >= LEAST_PART * most_units && cycle <= 2.0 * MAX_WINDOW && base >= most_units {
        let window = (base / ((1.0 - BURST_OF_RATE) * rate)).clamp(MIN_WINDOW, MAX_WINDOW);
        tiers = vec![lasting(window, base), Tier { window: wide, limit, active, cooldown: cycle - active }];
    }
    if plan.overage_revenue > plan.overage_cost {
        tiers.push(Tier { window: whole, limit: burst, active: whole, cooldown: 0.0 });
    }
    tiers
}

/// Whether the counter's totals keep a plan's ceiling; rate and burst that gateways share evenly. What totals
/// let on, over all gateways, stays below the quota, and so below a ceiling above it. What is let on alone is
/// told to the totals: it has an even part of the whole rate, and of the burst that is left above the quota.
pub(crate) fn ceiling(plan: &PlanLimits, may_count: bool) -> (bool, f64, f64) {
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

/// Names live two windows and a margin, a minute at the most on the counter.
const MAX_WINDOW: f64 = 25.0;
const MIN_WINDOW: f64 = 0.2;

impl Slide {
    /// Room in the tier after an add that brought the present window to `total`. Past use drains at the
    /// tier's own rate: from what was last seen on, or, where that is too long ago, from the closed window
    /// alone, as if all of it had come at its end. Both are lower bounds of the room: the better one holds.
    fn hear(&mut self, tier: &Tier, index: u64, gone: f64, total: f64, units: f64, now: f64) -> f64 {
        let closed = self.closed.filter(|c| c.0 + 1 == index).map(|c| c.1);
        let kept = closed.map_or(0.0, |closed| (tier.limit - closed).max(0.0));
        let mut room = (kept + gone * tier.limit).min(tier.limit) - total;
        let grown = (self.room + (now - self.at) * tier.limit / tier.window).min(tier.limit);
        // A total that fell by more than takebacks explain was lost; the room seen before outlives it.
        let fell = |used: f64| if used < -LOST_UNITS * units.max(1.0) { units } else { used };
        if self.index == index {
            room = room.max(grown - fell(total - self.total));
        } else if self.index > 0 && self.index + 1 == index && closed.is_some() {
            room = room.max(grown - fell(closed.unwrap_or(0.0) - self.total + total));
        }
        *self = Slide { index, total, room, at: now, ahead: 0.0, ..*self };
        room
    }

    /// The same for a wide customer: what the closed window left undrained stands in `total`, and little was
    /// seen here. Even use would drain in full, one burst at the window's end not at all.
    fn hear_wide(&mut self, tier: &Tier, index: u64, gone: f64, total: f64, units: f64, now: f64) -> f64 {
        // Half let more in beyond quotas on a crowded counter; none refused many with half of theirs unused.
        const GROWS: f64 = 0.25;
        let room = (tier.limit * (1.0 + GROWS * gone) - total).min(tier.limit - units);
        *self = Slide { index, total, room, at: now, ahead: 0.0, ..*self };
        room
    }
}
/// A customer is wide from so many gateways on: its next inquiry rarely comes here while a window lasts.
pub(crate) const WIDE: u32 = 10;
/// Most that one add stands for, itself included: more is noise in a small plan's window.
const MOST_STANDS_FOR: f64 = 2.5;
/// Takebacks of other gateways in flight are at most a few inquiries.
const LOST_UNITS: f64 = 4.0;

impl Admission {
    /// Fills this gateway's even part of a ceiling, from nothing at a start: restarts would else grant
    /// what is stored twice. True if the inquiry fits into it, which it then has taken.
    pub(crate) fn below_ceiling(&mut self, id: u32) -> bool {
        let (customer, plan, units) = self.about(id);
        let (_, rate, burst) = self.ceilings[plan];
        let Some(known) = self.customers.get_mut(&customer) else { return false };
        let grown = known.ceiling + (self.now - known.ceiling_at) * rate * known.even;
        (known.ceiling, known.ceiling_at) = (grown.min(burst * known.even), self.now);
        let fits = rate.is_infinite() || known.ceiling + 1e-9 >= units;
        known.ceiling -= if fits { units } else { 0.0 };
        fits
    }

    pub(crate) fn ask_quota(&mut self, out: &mut dyn Driver, id: u32) {
        let (customer, plan, _) = self.about(id);
        let (tier, until) = self.customers[&customer].entered;
        match (self.ceilings[plan].0 || self.below_ceiling(id), self.tiers[plan].is_empty()) {
            (false, _) => self.push_back_by_load(out, id),
            (_, true) => self.send_on(out, id),
            _ => self.ask_tier(out, id, if until > self.now { tier } else { 0 }),
        }
    }

    /// The design's question: one add to the tier's present window, the closed one read where it decides.
    pub(crate) fn ask_tier(&mut self, out: &mut dyn Driver, id: u32, k: usize) {
        let now = self.now;
        let (customer, plan, units) = self.about(id);
        let tier = self.tiers[plan][k];
        let (index, gone) = window(customer, &tier, now);
        let (present, keep) = (name(customer, k as u64, index), tier.window * 2.0 + 0.5);
        let full = self.customers[&customer].slides[k].full;
        if full.0 > now && units >= full.1 {
            return self.beyond(out, id, k, full.0 - now);
        }
        // What is let on alone goes along with the next add to its name; a wide customer's are stood for.
        let wide = self.customers[&customer].wide;
        let stands_for = if wide { units * (1.0 / self.ask_share).min(MOST_STANDS_FOR) } else { units };
        let asks = self.may_ask();
        if asks || !wide {
            self.tally(present, keep).held += stands_for;
            self.open.entry(id).and_modify(|o| o.charged = Some((present, keep, stands_for)));
        }
        if !asks {
            return self.decide_alone(out, id);
        }
        let next: AfterCount = Box::new(move |gateway, out, total| match total {
            _ if !gateway.open.contains_key(&id) => (),
            None => gateway.decide_alone(out, id),
            Some(total) => gateway.judge(out, id, k, total, index, gone),
        });
        self.push(out, present, keep, Some((id, next)));
    }

    pub(crate) fn judge(
        &mut self,
        out: &mut dyn Driver,
        id: u32,
        k: usize,
        total: f64,
        index: u64,
        gone: f64,
    ) {
        // Longest time without asking about a full window, since others may have taken adds back.
        const FULL_MOST: f64 = 1.0;
        // Part of the limit from which on what the closed window left counts: calm customers stay below it.
        const CARRY_FROM: f64 = 0.25;
        let now = self.now;
        let (customer, plan, units) = self.about(id);
        let added = self.open[&id].charged.map_or(units, |c| c.2);
        let (tier, may_read) = (self.tiers[plan][k], self.may_ask());
        let Some(known) = self.customers.get_mut(&customer) else { return };
        let (wide, slide) = (known.wide, &mut known.slides[k]);
        let before = *slide;
        let room = match wide {
            true => slide.hear_wide(&tier, index, gone, total, added, now) + added - units,
            false => slide.hear(&tier, index, gone, total, units, now),
        };
        let crosses = total >= tier.limit * CARRY_FROM && total - added < tier.limit * CARRY_FROM;
        if wide && crosses {
            self.read_closed(out, id, k, None, (index, gone));
        }
        if room >= -1e-6 {
            return self.send_on(out, id);
        }
        let unread = before.closed.is_none_or(|c| c.0 + 1 != index);
        if !wide && may_read && unread && total <= 2.0 * tier.limit {
            self.customers.entry(customer).and_modify(|c| c.slides[k] = before);
            return self.read_closed(out, id, k, Some(total), (index, gone));
        }
        let Some(known) = self.customers.get_mut(&customer) else { return };
        let slide = &mut known.slides[k];
        slide.room += added;
        slide.total -= added;
        // Room comes at the tier's rate; until then the gateway need not ask again.
        let wait = -room * tier.window / tier.limit;
        slide.full = (now + wait.min(FULL_MOST), units);
        self.take_back(out, id);
        self.beyond(out, id, k, wait);
    }

    /// For the inquiry at hand, judged again at its total. Of a wide customer the one add that brings it
    /// past `CARRY_FROM` reads for all gateways, and adds what the closed one left undrained to the present
    /// name: a single total tells all, also where a customer is seen once a minute.
    pub(crate) fn read_closed(
        &mut self,
        out: &mut dyn Driver,
        id: u32,
        k: usize,
        at: Option<f64>,
        window: (u64, f64),
    ) {
        let (index, gone) = window;
        // How far one closed window moves the share: a few windows settle it.
        const SHARE_STEP: f64 = 0.5;
        let (customer, plan, _) = self.about(id);
        let tier = self.tiers[plan][k];
        let keep = tier.window * 2.0 + 0.5;
        let [before, present] = [index - 1, index].map(|index| name(customer, k as u64, index));
        let next: AfterCount = Box::new(move |gateway, out, read| {
            let mine = gateway.names.get(&before).map_or(0.0, |t| t.held);
            let Some(known) = gateway.customers.get_mut(&customer) else { return };
            let share = known.share;
            // A closed window that holds less than this gateway sent was lost: go by the own part and share.
            let read = read.filter(|read| read + 0.01 >= mine);
            let Some(total) = at else {
                let left = read.map_or(0.0, |read| (read - tier.limit).clamp(0.0, tier.limit));
                gateway.tally(present, keep).held += left;
                return gateway.push(out, present, keep, None);
            };
            let closed = read.unwrap_or(mine / share);
            known.slides[k].closed = Some((index - 1, closed));
            if closed > 0.0 && mine > 0.0 {
                known.share += SHARE_STEP * ((mine / closed).min(1.0) - share);
            }
            if gateway.open.contains_key(&id) {
                gateway.judge(out, id, k, total, index, gone);
            }
        });
        self.tally(before, keep);
        self.push(out, before, keep, Some((if at.is_some() { id } else { u32::MAX }, next)));
    }

    pub(crate) fn take_back(&mut self, out: &mut dyn Driver, id: u32) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some((name, keep, units)) = open.charged.take() else { return };
        self.tally(name, keep).held -= units;
        // On a crowded counter it goes along with the next add: spare calls are the first to go.
        if self.ask_share >= 1.0 {
            self.push(out, name, keep, None);
        }
    }

    /// Past tier `k`: into the next tier that is in force or free to enter; pushed back where none is left.
    pub(crate) fn beyond(&mut self, out: &mut dyn Driver, id: u32, k: usize, wait: f64) {
        // Part of a tier's period after which its marks are read again.
        const RECHECK: f64 = 0.25;
        let (customer, plan, _) = self.about(id);
        let next_tier = k + 1;
        let Some(&tier) = self.tiers[plan].get(next_tier) else { return self.push_back(out, id, wait) };
        if self.customers[&customer].taken_until[next_tier] > self.now || !self.may_ask() {
            return self.beyond(out, id, next_tier, wait);
        }
        let name = |what: u64| name(customer, what + next_tier as u64, 0);
        let (taken, force, active, whole) = (name(2), name(4), tier.active, tier.active + tier.cooldown);
        let after_force: AfterCount = Box::new(move |gateway, out, total| {
            let running = total.is_some_and(|t| t > 0.5);
            let rest = (whole * RECHECK).min(active);
            let (force, taken) = if running { (active * RECHECK, 0.0) } else { (0.0, rest) };
            gateway.enter(customer, next_tier, force, taken);
            gateway.go_on(out, id, next_tier, running, wait);
        });
        let after_taken: AfterCount = Box::new(move |gateway, out, total| match total {
            Some(total) if total < 1.5 => {
                gateway.enter(customer, next_tier, active, whole);
                gateway.mark(out, force, active, 1.0, None);
                gateway.go_on(out, id, next_tier, true, wait);
            }
            Some(_) => gateway.mark(out, force, active, 0.0, Some((id, after_force))),
            None => after_force(gateway, out, None),
        });
        self.mark(out, taken, whole, 1.0, Some((id, after_taken)));
    }

    pub(crate) fn go_on(&mut self, out: &mut dyn Driver, id: u32, k: usize, entered: bool, wait: f64) {
        match (self.open.contains_key(&id), entered) {
            (false, _) => {}
            (_, true) => self.ask_tier(out, id, k),
            (_, false) => self.beyond(out, id, k, wait),
        }
    }

    pub(crate) fn enter(&mut self, customer: u64, tier: usize, active: f64, taken: f64) {
        if let Some(known) = self.customers.get_mut(&customer) {
            known.entered = (tier, self.now + active);
            known.taken_until[tier] = self.now + taken;
        }
    }

    /// A mark is a name of its own: 1 sets it, 0 reads it; what was known of it before does not count.
    pub(crate) fn mark(&mut self, out: &mut dyn Driver, name: u64, keep: f64, add: f64, next: Asker) {
        let tally = self.tally(name, keep);
        (tally.held, tally.claimed, tally.confirmed) = (add, 0.0, f64::NEG_INFINITY);
        self.push(out, name, keep, next);
    }

    /// Without the counter a gateway goes by the room it last saw: it drains on, and each own inquiry stands
    /// for the others' too, by the share that comes through here, into debt if need be: one a minute of a
    /// customer spread over fifty gateways is let in. Could harm where the share is far too low. What comes
    /// here is a few inquiries by chance: the older the last total, the more may be owed, up to a burst. Most
    /// of those refused on a guess are inside: the less one beyond costs, the more is spared, fleet-wide.
    pub(crate) fn decide_alone(&mut self, out: &mut dyn Driver, id: u32) {
        // A share learnt from one closed window may be next to nothing; thousands of gateways are unlikely.
        const LEAST_SHARE: f64 = 0.001;
        let (customer, plan, units) = self.about(id);
        let PlanLimits { rate, burst, overage_cost: over_costs, .. } = self.terms.plans[plan];
        let Some(known) = self.customers.get_mut(&customer) else { return };
        let cost = units / known.share.max(LEAST_SHARE);
        // Four bursts at most, and few where an inquiry is a small part of one: a few gateways lost by more.
        let guess = (cost / burst.max(1e-9)).min(1.0);
        let spared = if over_costs > 0.0 { guess * guess * burst / over_costs.max(0.25) } else { 0.0 };
        let slide = &mut known.slides[0];
        let grown = slide.room + (self.now - slide.at) * rate;
        let room = (grown - slide.ahead).min(burst);
        if room + (grown - slide.room).min(burst) + spared + 1e-9 >= cost.min(burst.max(units)) {
            slide.ahead = grown - room + cost;
            if !self.ceilings[plan].0 || self.below_ceiling(id) {
                return self.send_on(out, id);
            }
        }
        // The refusal is a guess: the next try shall be soon enough to be asked about in time.
        self.take_back(out, id);
        self.push_back_by_load(out, id);
    }

    pub(crate) fn tally(&mut self, name: u64, keep: f64) -> &mut Tally {
        let fresh = Tally { expires: self.now + keep, ..Tally::default() };
        self.names.entry(name).or_insert(fresh)
    }

    /// While the counter answers in time every inquiry asks it. Unanswered, late and turned-away calls lower
    /// the part that asks, answers raise it: a silent counter is tried by a few, a crowded one not crowded
    /// further, one that comes back eased into. What was not told goes along with the next add to its name.
    pub(crate) fn may_ask(&mut self) -> bool {
        self.terms.may_count && (self.ask_share >= 1.0 || self.chance.rand_float() < self.ask_share)
    }

    /// Whoever speaks with the counter has seen that it counts again: every inquiry asks it at once.
    pub fn counter_recovered(&mut self) {
        (self.ask_share, self.crowded) = (1.0, false);
    }

    /// Longest wait for an answer: a twentieth of the shortest goal time, no longer than calls live. Where
    /// goals are short, what a call takes on a busy counter: else it is taken for silent.
    pub(crate) fn wait_bound(&self) -> f64 {
        const BUSY_COUNTER: f64 = 0.03;
        let goal = self.lanes.iter().map(|l| l.goal).fold(f64::INFINITY, f64::min);
        (goal * 0.05).max(BUSY_COUNTER.min(goal * 0.15)).min(self.terms.count_timeout)
    }

    /// Brings the counter to what is held: one add of what was not claimed yet.
    pub(crate) fn push(&mut self, out: &mut dyn Driver, name: u64, keep: f64, next: Asker) {
        if !self.terms.may_count {
            return;
        }
        self.serial += 1;
        let (serial, now) = (self.serial, self.now);
        let tally = self.tally(name, keep);
        let amount = tally.held - tally.claimed;
        if next.is_none() && amount == 0.0 {
            return;
        }
        tally.claimed = tally.held;
        tally.asked.push_back((serial, amount, now, next.is_some()));
        out.add_to_counter(name, amount, keep.min(59.0));
        if let Some((id, next)) = next {
            // All waits of an inquiry together stay within its own bound, short as its client's time may be.
            let bound = self.wait_bound();
            let wait = self.open.get(&id).map_or(bound, |o| o.count_by - now).clamp(0.0, bound);
            let lapse: Step = Box::new(move |gateway, out| {
                if let Some((_, next)) = gateway.waits.remove(&serial) {
                    gateway.counter_was(out, None);
                    next(gateway, out, None);
                }
            });
            let due = self.after(wait, lapse);
            self.waits.insert(serial, (due, next));
        }
    }

    pub fn counter_replied(&mut self, now: f64, out: &mut dyn Driver, name: u64, answer: CounterReply) {
        self.now = now;
        let Some(tally) = self.names.get_mut(&name) else { return };
        let Some((serial, amount, at, asker)) = tally.asked.pop_front() else { return };
        let told = if let CounterReply::Total(total) = answer { Some(total) } else { None };
        match answer {
            CounterReply::Total(total) => {
                tally.confirmed += amount;
                // A total below the own confirmed part: the counter lost the name. Claim the part anew.
                if total + 0.01 < tally.confirmed {
                    tally.claimed -= tally.confirmed - total;
                    tally.confirmed = total;
                }
            }
            CounterReply::NotAdded => tally.claimed -= amount,
            // May have been added: taken as added, so that a slow counter is not charged twice.
            CounterReply::Unknown => tally.confirmed += amount.min(0.0),
        }
        // Late totals have lapsed already; a call cut off in time says nothing of how quick the counter is.
        let (waited, bound) = (self.waits.remove(&serial), self.wait_bound());
        let in_time = now - at <= bound;
        let lapsed = asker && waited.is_none();
        if !lapsed && (in_time != (answer == CounterReply::Unknown) || answer == CounterReply::NotAdded) {
            self.counter_was(out, told.map(|_| (now - at) / bound));
        }
        if let Some((due, next)) = waited {
            self.due.remove(&due);
            next(self, out, told);
        }
        self.rouse(out);
    }

    /// How long a call took, as a part of the bound on waits; none where it failed.
    pub(crate) fn counter_was(&mut self, out: &mut dyn Driver, took: Option<f64>) {
        // Part that asks: one failed call in ten leaves it high, six in a row bring it to the least, which
        // still tries several times a second.
        const ASK_LESS: f64 = 0.6;
        const ASK_MORE: f64 = 1.05;
        // Answers well inside the bound: not crowded, and a gateway of few inquiries is back within seconds.
        const QUICK: f64 = 0.5;
        const ASK_MORE_IF_QUICK: f64 = 1.3;
        const ASK_LEAST: f64 = 0.05;
        let share = self.ask_share
            * match took {
                Some(part) if part < QUICK => ASK_MORE_IF_QUICK,
                Some(_) => ASK_MORE,
                None => ASK_LESS,
            };
        self.ask_share = share.clamp(ASK_LEAST, 1.0);
        if !self.crowded && share < 0.3 {
            self.crowded = true;
            out.log("counter silent, late or crowded: mostly deciding alone on own shares");
        } else if self.crowded && share >= 1.0 {
            self.crowded = false;
            out.log("counter back: asking for every inquiry");
        }
    }
}

/// The number of the tier's present window and the part of it that is gone; customers' windows turn apart.
fn window(customer: u64, tier: &Tier, now: f64) -> (u64, f64) {
    let turns = now / tier.window + (customer.wrapping_mul(0x9e37_79b9) % 1024) as f64 / 1024.0;
    (turns as u64 + 1, turns.fract())
}
