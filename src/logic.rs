//! Every decision of archlink. The types and the trait `Outward` stand in `interface.rs`.
//!
//! A front makes a `Gateway` with `start` and then calls it with what happens, in order, with its clock:
//! `list_news`, `arrived`, `ended`, `left`, `counted`, `probed`, `told`, `woken`. Each call acts through the
//! `Outward` handed in. A gateway shares nothing with others; the same calls give the same actions.
//! Each inquiry goes `arrived` -> quota (`ask_tier`, `ask_open`) -> `send_on` -> `after_hand_off` -> an answer;
//! what comes after a wait is left behind as a closure that is handed the result.

use crate::interface::*;
use std::collections::{BTreeMap, VecDeque};

type Step = Box<dyn FnOnce(&mut Gateway, &mut dyn Outward)>;
type AfterCount = Box<dyn FnOnce(&mut Gateway, &mut dyn Outward, Option<f64>)>;
type AfterHandOff = Box<dyn FnOnce(&mut Gateway, &mut dyn Outward, &Ended)>;

/// One row a lane: what may be done again, where, and for how long.
struct Lane {
    goal: f64,
    repeats: bool,
    fellows: Group,
    memory: f64,
    refusable: bool,
}

impl Lane {
    fn of(terms: &LaneTerms) -> Lane {
        let (repeats, fellows, memory, refusable) = match terms.effect {
            Effect::Pure => (true, Group::All, f64::INFINITY, true),
            Effect::Receipted => (true, terms.group, terms.memory, terms.group == Group::All),
            Effect::Effectful => (false, Group::All, 0.0, false),
        };
        Lane { goal: terms.goal.max(0.001), repeats, fellows, memory, refusable }
    }
}

/// A tier of a plan: at most `limit` units in any `window`; entered ones last `active`, then rest `cooldown`.
#[derive(Clone, Debug, PartialEq)]
pub struct Tier {
    pub window: f64,
    pub limit: f64,
    pub active: f64,
    pub cooldown: f64,
}

/// Share of the rate that the burst tier may use up, and of the burst that it may grant at once. Half the burst
/// above a window half as long halves the wait for room after a burst; a quarter of the rate lets the tier
/// come back after two windows. Both are shares, so they fit any plan; docs/design.md has the sum.
const BURST_OF_RATE: f64 = 0.1;
const BURST_OF_BURST: f64 = 0.25;
/// Active period of the burst tier over its window: short, so that what it shadows comes back soon.
const ACTIVE_OF_WINDOW: f64 = 0.25;

/// The tiers of a plan with a rate: the base tier, the burst tier where the largest inquiry fits into it, and a
/// tier beyond the quota where what is sent on beyond it earns more than it costs.
pub fn tiers(plan: &PlanTerms, most_units: f64) -> Vec<Tier> {
    if plan.rate <= 0.0 {
        return Vec::new();
    }
    let (rate, burst) = (plan.rate, plan.burst.max(1e-3));
    let whole = (burst / rate).clamp(MIN_WINDOW, MAX_WINDOW);
    let cycle = BURST_OF_BURST * burst / (BURST_OF_RATE * rate);
    let active = whole * ACTIVE_OF_WINDOW;
    let wide = (cycle / 2.0).min(MAX_WINDOW);
    let limit = BURST_OF_BURST * burst / (1.0 + active / wide);
    let mut tiers = Vec::new();
    if limit >= most_units && cycle <= 2.0 * MAX_WINDOW && burst * (1.0 - BURST_OF_BURST) >= most_units {
        let base = (1.0 - BURST_OF_BURST) * burst;
        let window = (base / ((1.0 - BURST_OF_RATE) * rate)).clamp(MIN_WINDOW, MAX_WINDOW);
        tiers.push(Tier { window, limit: base, active: f64::INFINITY, cooldown: 0.0 });
        tiers.push(Tier { window: wide, limit, active, cooldown: (cycle - active).max(0.0) });
    } else {
        let limit = burst.min(rate * whole);
        tiers.push(Tier { window: whole, limit, active: f64::INFINITY, cooldown: 0.0 });
    }
    if plan.over_earns > plan.over_costs {
        tiers.push(Tier { window: whole, limit: burst, active: whole, cooldown: 0.0 });
    }
    tiers
}
/// Names live two windows and a margin, a minute at the most on the counter.
const MAX_WINDOW: f64 = 25.0;
const MIN_WINDOW: f64 = 0.2;

/// What this gateway holds of one name on the counter. `held` is what it wants to stand there as its own part,
/// `claimed` what its calls, answered or not, amount to, `confirmed` the answered part of these.
#[derive(Default)]
struct Tally {
    expires: f64,
    held: f64,
    claimed: f64,
    confirmed: f64,
    asked: VecDeque<(u64, f64, f64)>,
}

/// One tier's slide as seen from here: the window and total last heard, and the room that was left then.
#[derive(Clone, Copy, Default)]
struct Slide {
    seen: bool,
    index: u64,
    total: f64,
    room: f64,
    at: f64,
    /// Granted since without asking, others' part included.
    ahead: f64,
    closed: Option<(u64, f64)>,
    /// Until when, and from how many units on, no room is expected.
    full: (f64, f64),
}

impl Slide {
    /// Room in the tier after an add that brought the present window to `total`. Past use drains at the tier's
    /// own rate: from what was last seen on, or, where that is too long ago, from the closed window alone, as if
    /// all of it had come at its end. Both are lower bounds of the room, so the better one holds.
    fn hear(&mut self, tier: &Tier, index: u64, gone: f64, total: f64, units: f64, now: f64) -> f64 {
        let closed = self.closed.filter(|c| c.0 + 1 == index).map(|c| c.1);
        let kept = closed.map_or(0.0, |closed| (tier.limit - closed).max(0.0));
        let mut room = (kept + gone * tier.limit).min(tier.limit) - total;
        let grown = (self.room + (now - self.at) * tier.limit / tier.window).min(tier.limit);
        // A total that fell by more than takebacks explain was lost; the room seen before outlives it.
        let fell = |used: f64| if used < -LOST_UNITS * units.max(1.0) { units } else { used };
        if self.seen && self.index == index {
            room = room.max(grown - fell(total - self.total));
        } else if self.seen && self.index + 1 == index && closed.is_some() {
            room = room.max(grown - fell(closed.unwrap_or(0.0) - self.total + total));
        }
        *self = Slide { seen: true, index, total, room, at: now, ahead: 0.0, ..*self };
        room
    }
}
/// Takebacks of other gateways in flight are at most a few inquiries.
const LOST_UNITS: f64 = 4.0;

#[derive(Default)]
struct Customer {
    seen: f64,
    /// Share of the customer's use that comes through this gateway.
    share: f64,
    slides: [Slide; 3],
    /// Tier known to be in force, and until when.
    entered: (usize, f64),
    taken_until: [f64; 3],
    out: f64,
    open_slot: u64,
    ceiling: f64,
    ceiling_at: f64,
}

struct Open {
    lane: usize,
    plan: usize,
    customer: u64,
    units: f64,
    until: f64,
    count_by: f64,
    sent: Vec<Sent>,
    holds_place: bool,
    /// The window that took its units, for settling.
    charged: Option<(u64, f64)>,
}

struct Sent {
    host: HostId,
    zone: u8,
    cell: u16,
    at: f64,
    live: bool,
    may_have_run: bool,
}

#[derive(Default)]
struct Host {
    line: HostLine,
    out: f64,
    limit: f64,
    success: f64,
    strikes: u32,
    heard: f64,
    rests: u32,
    rest_until: f64,
    credit: f64,
}

pub struct Gateway {
    terms: Terms,
    lanes: Vec<Lane>,
    tiers: Vec<Vec<Tier>>,
    now: f64,
    chance: oorandom::Rand64,
    hosts: BTreeMap<HostId, Host>,
    open: BTreeMap<u32, Open>,
    hands: BTreeMap<(u32, u16), AfterHandOff>,
    customers: BTreeMap<u64, Customer>,
    names: BTreeMap<u64, Tally>,
    waits: BTreeMap<u64, AfterCount>,
    due: BTreeMap<(u64, u64), Step>,
    serial: u64,
    wake_at: f64,
    round_at: f64,
    /// Sum and number of recent answers' parts of the goal time, and the best mean of late.
    recent: (f64, f64),
    best: f64,
    traced_at: f64,
    ask_share: f64,
    crowded: bool,
    spare: f64,
}

/// Between two rounds of the periodic work; a fraction of the shortest thing it watches, a second or so.
const ROUND: f64 = 0.25;

impl Gateway {
    pub fn start(terms: Terms, seed: u64, now: f64, out: &mut dyn Outward) -> Gateway {
        let lanes = terms.lanes.iter().map(Lane::of).collect();
        let tiers = terms.plans.iter().map(|p| tiers(p, terms.most_units)).collect();
        let mut gateway = Gateway {
            lanes,
            tiers,
            now,
            chance: oorandom::Rand64::new(u128::from(seed)),
            hosts: BTreeMap::new(),
            open: BTreeMap::new(),
            hands: BTreeMap::new(),
            customers: BTreeMap::new(),
            names: BTreeMap::new(),
            waits: BTreeMap::new(),
            due: BTreeMap::new(),
            serial: 0,
            wake_at: f64::INFINITY,
            round_at: now + ROUND,
            recent: (0.0, 0.0),
            best: 1.0,
            traced_at: 0.0,
            ask_share: 1.0,
            crowded: false,
            spare: SPARE_MOST,
            terms,
        };
        if gateway.terms.must_subscribe {
            out.subscribe();
        }
        gateway.rouse(out);
        gateway
    }

    pub fn lane_count(&self) -> usize {
        self.lanes.len()
    }

    pub fn plan_count(&self) -> usize {
        self.terms.plans.len()
    }

    // ---- Time -------------------------------------------------------------------------------------------

    fn after(&mut self, delay: f64, step: Step) {
        self.serial += 1;
        self.due.insert(((self.now + delay).to_bits(), self.serial), step);
    }

    /// One timer serves the round and all due steps: it is set anew when something comes due before it.
    fn rouse(&mut self, out: &mut dyn Outward) {
        let next = self.due.first_key_value().map_or(f64::INFINITY, |(k, _)| f64::from_bits(k.0));
        let next = next.min(self.round_at);
        if next < self.wake_at {
            self.wake_at = next;
            out.wake((next - self.now).max(1e-6));
        }
    }

    pub fn woken(&mut self, now: f64, out: &mut dyn Outward) {
        self.now = now;
        if now + 2e-6 < self.wake_at {
            return;
        }
        self.wake_at = f64::INFINITY;
        while let Some(entry) = self.due.first_entry() {
            if f64::from_bits(entry.key().0) > now + 2e-6 {
                break;
            }
            entry.remove()(self, out);
        }
        if now + 2e-6 >= self.round_at {
            self.round_at = now + ROUND;
            self.round(out);
        }
        self.rouse(out);
    }

    fn round(&mut self, _out: &mut dyn Outward) {
        let now = self.now;
        self.names.retain(|_, t| t.expires > now || !t.asked.is_empty());
        self.customers.retain(|_, c| c.seen + FORGET > now || c.out > 0.0);
        self.hosts.retain(|_, h| h.line.standing != Standing::Gone || h.out > 0.0);
        if self.recent.1 >= BEST_OF {
            self.best = (self.best * BEST_FADES).min(self.recent.0 / self.recent.1);
            self.recent = (0.0, 0.0);
        }
    }

    // ---- The list of hosts ------------------------------------------------------------------------------

    pub fn list_news(&mut self, now: f64, out: &mut dyn Outward, news: News, lines: &[HostLine]) {
        self.now = now;
        if news == News::Failed {
            self.after(1.0, Box::new(|_, out| out.subscribe()));
            return self.rouse(out);
        }
        if news != News::Changes {
            for host in self.hosts.values_mut() {
                host.line.standing = Standing::Gone;
            }
        }
        for line in lines {
            let limit = self.first_limit(line);
            let (line, success, heard) = (line.clone(), 1.0, now);
            let fresh = Host { line: line.clone(), limit, success, heard, ..Host::default() };
            match self.hosts.get_mut(&line.host) {
                None => drop(self.hosts.insert(line.host, fresh)),
                Some(host) if line.started > host.line.started => {
                    let out = host.out;
                    *host = Host { out, ..fresh };
                }
                Some(host) => host.line = line,
            }
        }
        self.rouse(out);
    }

    /// Share of its full capacity that a host has at least, by its age.
    fn warmth(&self, line: &HostLine) -> f64 {
        let age = self.now - line.started;
        if line.started <= 0.0 || age >= self.terms.warm_up {
            return 1.0;
        }
        let from = self.terms.cold_from.clamp(0.01, 1.0);
        from + (1.0 - from) * (age / self.terms.warm_up).clamp(0.0, 1.0)
    }

    // ---- An inquiry's way in ----------------------------------------------------------------------------

    pub fn arrived(&mut self, now: f64, out: &mut dyn Outward, inquiry: Inquiry) {
        self.now = now;
        let Inquiry { id, lane, plan, customer, left, units, spread, .. } = inquiry;
        let terms = &self.terms.plans[plan];
        let share = 1.0 / f64::from(spread.max(1));
        let fresh = || Customer {
            seen: now,
            share,
            slides: [Slide { room: terms.burst, at: now, ..Slide::default() }; 3],
            ceiling_at: now,
            ..Customer::default()
        };
        let known = self.customers.entry(customer).or_insert_with(fresh);
        known.seen = now;
        let until = now + left;
        let count_by = (now + 2.0 * self.wait_bound()).min(until - 0.005);
        let sent = Vec::new();
        let open =
            Open { lane, plan, customer, units, until, count_by, sent, holds_place: false, charged: None };
        self.open.insert(id, open);
        if !self.below_ceiling(id, share) {
            self.push_back(out, id, 0.0);
        } else if !self.any_room() {
            self.push_back_by_load(out, id);
        } else {
            self.ask_open(out, id);
        }
        self.rouse(out);
    }

    /// A hard ceiling is kept without the counter: each gateway fills its own even part of it, from nothing at a
    /// start, since a restart must not grant the stored part twice. Costs an unevenly spread customer some room.
    fn below_ceiling(&mut self, id: u32, share: f64) -> bool {
        let open = &self.open[&id];
        let plan = &self.terms.plans[open.plan];
        if plan.ceiling_rate <= 0.0 {
            return true;
        }
        let Some(known) = self.customers.get_mut(&open.customer) else { return false };
        let grown = known.ceiling + (self.now - known.ceiling_at) * plan.ceiling_rate * share;
        known.ceiling = grown.min(plan.ceiling_burst * share);
        known.ceiling_at = self.now;
        known.ceiling + 1e-9 >= open.units
    }

    /// A plan's cap on hand-offs open at once: each gateway states its own open ones under a name of the present
    /// slot, so what a dead gateway left behind lapses with the slot.
    fn ask_open(&mut self, out: &mut dyn Outward, id: u32) {
        let open = &self.open[&id];
        let (customer, plan) = (open.customer, open.plan);
        let most = self.terms.plans[plan].most_out;
        if most <= 0.0 {
            return self.ask_quota(out, id);
        }
        if let Some(open) = self.open.get_mut(&id) {
            open.holds_place = true;
        }
        let Some(known) = self.customers.get_mut(&customer) else { return };
        known.out += 1.0;
        let (mine, share) = (known.out, known.share);
        // Alone: the own part of the cap, a broken place by chance.
        let next: AfterCount = Box::new(move |gateway, out, total| {
            let chance = gateway.chance.rand_float();
            if !gateway.open.contains_key(&id) {
            } else if total.map_or(mine <= most * share + chance, |total| total <= most + 0.01) {
                gateway.ask_quota(out, id);
            } else {
                gateway.push_back(out, id, OPEN_SOON);
            }
        });
        if self.may_ask() {
            return self.state_open(out, customer, Some((id, next)));
        }
        self.state_open(out, customer, None);
        next(self, out, None);
    }

    fn state_open(&mut self, out: &mut dyn Outward, customer: u64, next: Option<(u32, AfterCount)>) {
        let slot = (self.now / OPEN_SLOT) as u64;
        let Some(known) = self.customers.get_mut(&customer) else { return };
        let (mine, restate) = (known.out, known.open_slot != slot);
        known.open_slot = slot;
        let name = name(customer, 7, slot);
        self.tally(name, OPEN_SLOT * 2.0).held = mine;
        if restate {
            let left = (slot + 1) as f64 * OPEN_SLOT - self.now;
            let step: Step = Box::new(move |gateway, out| {
                if gateway.customers.get(&customer).is_some_and(|c| c.out > 0.0) {
                    gateway.state_open(out, customer, None);
                }
            });
            self.after(left.max(0.0) + 1e-3, step);
        }
        if next.is_some() || self.may_ask() {
            self.push(out, name, OPEN_SLOT * 2.0, next);
        }
    }

    fn ask_quota(&mut self, out: &mut dyn Outward, id: u32) {
        let open = &self.open[&id];
        if self.tiers[open.plan].is_empty() {
            return self.send_on(out, id);
        }
        let entered = self.customers.get(&open.customer).map_or((0, 0.0), |c| c.entered);
        let tier = if entered.1 > self.now { entered.0 } else { 0 };
        self.ask_tier(out, id, tier);
    }

    /// The design's question: one add of the inquiry's units to the tier's present window, the closed window
    /// read once and weighted, and read only where the answer hangs on it.
    fn ask_tier(&mut self, out: &mut dyn Outward, id: u32, k: usize) {
        let now = self.now;
        let open = &self.open[&id];
        let (customer, units) = (open.customer, open.units);
        let tier = self.tiers[open.plan][k].clone();
        let Some(known) = self.customers.get(&customer) else { return };
        let (index, gone) = window(customer, &tier, now);
        let (present, keep) = (name(customer, k as u64, index), tier.window * 2.0 + 0.5);
        let full = known.slides[k].full;
        if full.0 > now && units >= full.1 {
            return self.beyond(out, id, k, full.0 - now);
        }
        self.tally(present, keep).held += units;
        if let Some(open) = self.open.get_mut(&id) {
            open.charged = Some((present, keep));
        }
        if !self.may_ask() {
            return self.decide_alone(out, id);
        }
        let next: AfterCount = Box::new(move |gateway, out, total| match total {
            _ if !gateway.open.contains_key(&id) => (),
            None => gateway.decide_alone(out, id),
            Some(total) => gateway.judge(out, id, k, total, index, gone),
        });
        self.push(out, present, keep, Some((id, next)));
    }

    fn judge(&mut self, out: &mut dyn Outward, id: u32, k: usize, total: f64, index: u64, gone: f64) {
        let now = self.now;
        let open = &self.open[&id];
        let (customer, units) = (open.customer, open.units);
        let tier = self.tiers[open.plan][k].clone();
        let Some(known) = self.customers.get_mut(&customer) else { return };
        let slide = &mut known.slides[k];
        let before = *slide;
        let room = slide.hear(&tier, index, gone, total, units, now);
        if room >= -1e-6 {
            return self.send_on(out, id);
        }
        if slide.closed.is_none_or(|c| c.0 + 1 != index) && total <= 2.0 * tier.limit {
            *slide = before;
            return self.read_closed(out, id, k, total, index, gone);
        }
        slide.room += units;
        slide.total -= units;
        // Room comes at the tier's rate; until then the gateway need not ask again.
        let wait = -room * tier.window / tier.limit;
        slide.full = (now + wait.min(FULL_MOST), units);
        self.take_back(out, id);
        self.beyond(out, id, k, wait);
    }

    fn read_closed(&mut self, out: &mut dyn Outward, id: u32, k: usize, total: f64, index: u64, gone: f64) {
        let open = &self.open[&id];
        let customer = open.customer;
        let keep = self.tiers[open.plan][k].window * 2.0 + 0.5;
        let before = name(customer, k as u64, index.wrapping_sub(1));
        let next: AfterCount = Box::new(move |gateway, out, read| {
            let mine = gateway.names.get(&before).map_or(0.0, |t| t.held);
            let Some(known) = gateway.customers.get_mut(&customer) else { return };
            let share = known.share;
            // A closed window that holds less than this gateway sent was lost: go by the own part and share.
            let closed = match read {
                Some(read) if read + 0.01 >= mine => read,
                _ => mine / share,
            };
            known.slides[k].closed = Some((index.wrapping_sub(1), closed));
            if closed > 0.0 && mine > 0.0 {
                known.share += SHARE_STEP * ((mine / closed).min(1.0) - share);
            }
            if gateway.open.contains_key(&id) {
                gateway.judge(out, id, k, total, index, gone);
            }
        });
        self.tally(before, keep);
        self.push(out, before, keep, Some((id, next)));
    }

    fn take_back(&mut self, out: &mut dyn Outward, id: u32) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some((name, keep)) = open.charged.take() else { return };
        let units = open.units;
        self.tally(name, keep).held -= units;
        if self.may_ask() {
            self.push(out, name, keep, None);
        }
    }

    /// Past tier `k`: into the next tier that is in force or free to enter; pushed back where none is left.
    fn beyond(&mut self, out: &mut dyn Outward, id: u32, k: usize, wait: f64) {
        let open = &self.open[&id];
        let customer = open.customer;
        let next_tier = k + 1;
        let Some(tier) = self.tiers[open.plan].get(next_tier).cloned() else {
            return self.push_back(out, id, wait);
        };
        // What is beyond the quota waits for spare room: it must not take the place of what is inside.
        let (load, room) = self.load();
        let soft = tier.cooldown <= 0.0 && load > room * IDLE;
        let known = &self.customers[&customer];
        if soft || known.taken_until[next_tier] > self.now || !self.may_ask() {
            return self.beyond(out, id, next_tier, wait);
        }
        let name = |what: u64| name(customer, what + next_tier as u64, 0);
        let (taken, force, active, whole) = (name(2), name(4), tier.active, tier.active + tier.cooldown);
        let after_force: AfterCount = Box::new(move |gateway, out, total| {
            let running = total.is_some_and(|t| t > 0.5);
            if running {
                gateway.enter(customer, next_tier, active * RECHECK, 0.0);
            } else {
                gateway.enter(customer, next_tier, 0.0, (whole * RECHECK).min(active));
            }
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

    fn go_on(&mut self, out: &mut dyn Outward, id: u32, k: usize, entered: bool, wait: f64) {
        if !self.open.contains_key(&id) {
        } else if entered {
            self.ask_tier(out, id, k);
        } else {
            self.beyond(out, id, k, wait);
        }
    }

    fn enter(&mut self, customer: u64, tier: usize, active: f64, taken: f64) {
        let now = self.now;
        if let Some(known) = self.customers.get_mut(&customer) {
            known.entered = (tier, now + active);
            known.taken_until[tier] = now + taken;
        }
    }

    /// A mark is a name of its own: 1 sets it, 0 reads it; what was known of it before does not count.
    fn mark(
        &mut self,
        out: &mut dyn Outward,
        name: u64,
        keep: f64,
        add: f64,
        next: Option<(u32, AfterCount)>,
    ) {
        let tally = self.tally(name, keep);
        (tally.held, tally.claimed, tally.confirmed) = (add, 0.0, f64::NEG_INFINITY);
        self.push(out, name, keep, next);
    }

    /// Without the counter a gateway goes by the room it last saw: it drains on, and each own inquiry is taken to
    /// stand for the others' too, by the share of the customer's use that comes through here.
    fn decide_alone(&mut self, out: &mut dyn Outward, id: u32) {
        let now = self.now;
        let open = &self.open[&id];
        let (customer, units) = (open.customer, open.units);
        let (burst, rate) = (self.terms.plans[open.plan].burst, self.terms.plans[open.plan].rate);
        let Some(known) = self.customers.get_mut(&customer) else { return };
        let cost = (units / known.share.max(0.01)).min(burst.max(units));
        let slide = &mut known.slides[0];
        let room = (slide.room - slide.ahead + (now - slide.at) * rate).min(burst);
        if room + 1e-9 >= cost {
            slide.ahead = slide.room + (now - slide.at) * rate - room + cost;
            return self.send_on(out, id);
        }
        let wait = (cost - room) / rate;
        self.take_back(out, id);
        self.push_back(out, id, wait);
    }

    // ---- The counter ------------------------------------------------------------------------------------

    fn tally(&mut self, name: u64, keep: f64) -> &mut Tally {
        let expires = self.now + keep;
        self.names.entry(name).or_insert_with(|| Tally { expires, ..Tally::default() })
    }

    /// While the counter answers in time every inquiry asks it. Unanswered, late and turned-away calls lower the
    /// part that asks, answers raise it: a silent counter is tried by a few, a crowded one is not crowded further,
    /// and one that comes back is eased into. What was not told goes along with the next add to its name.
    fn may_ask(&mut self) -> bool {
        self.terms.may_count && (self.ask_share >= 1.0 || self.chance.rand_float() < self.ask_share)
    }

    /// Longest wait for an answer: a twentieth of the shortest goal time, and no longer than calls live.
    fn wait_bound(&self) -> f64 {
        let goal = self.lanes.iter().map(|l| l.goal).fold(f64::INFINITY, f64::min);
        (goal * 0.05).min(self.terms.count_timeout)
    }

    /// Brings the counter to what is held: one add of what was not claimed yet.
    fn push(&mut self, out: &mut dyn Outward, name: u64, keep: f64, next: Option<(u32, AfterCount)>) {
        if !self.terms.may_count {
            return;
        }
        self.serial += 1;
        let (serial, now) = (self.serial, self.now);
        let tally = self.tally(name, keep);
        let amount = tally.held - tally.claimed;
        tally.claimed = tally.held;
        tally.asked.push_back((serial, amount, now));
        out.count(name, amount, keep.min(59.0));
        if let Some((id, next)) = next {
            self.waits.insert(serial, next);
            // All waits of an inquiry together stay within its own bound, short as its client's time may be.
            let by = self.open.get(&id).map_or(now, |o| o.count_by);
            let wait = (by - now).clamp(0.0, self.wait_bound());
            let lapse: Step = Box::new(move |gateway, out| {
                if let Some(next) = gateway.waits.remove(&serial) {
                    gateway.counter_was(out, false);
                    next(gateway, out, None);
                }
            });
            self.after(wait, lapse);
        }
    }

    pub fn counted(&mut self, now: f64, out: &mut dyn Outward, name: u64, answer: Counted) {
        self.now = now;
        let bound = self.wait_bound();
        let Some(tally) = self.names.get_mut(&name) else { return };
        let Some((serial, amount, at)) = tally.asked.pop_front() else { return };
        let mut told = None;
        match answer {
            Counted::Total(total) => {
                tally.confirmed += amount;
                told = Some(total);
                // A total below the own confirmed part: the counter lost the name. Claim the part anew.
                if total + 0.01 < tally.confirmed {
                    tally.claimed -= tally.confirmed - total;
                    tally.confirmed = total;
                }
            }
            Counted::NotAdded => tally.claimed -= amount,
            // May have been added: taken as added, so that a slow counter is not charged twice.
            Counted::MayBeAdded => tally.confirmed += amount.min(0.0),
        }
        if told.is_none() || now - at <= bound {
            self.counter_was(out, told.is_some());
        }
        if let Some(next) = self.waits.remove(&serial) {
            next(self, out, told);
        }
        self.rouse(out);
    }

    fn counter_was(&mut self, out: &mut dyn Outward, well: bool) {
        let share = self.ask_share * if well { ASK_MORE } else { ASK_LESS };
        self.ask_share = share.clamp(ASK_LEAST, 1.0);
        if !self.crowded && share < 0.3 {
            self.crowded = true;
            out.trace("counter silent, late or crowded: mostly deciding alone on own shares");
        } else if self.crowded && share >= 1.0 {
            self.crowded = false;
            out.trace("counter back: asking for every inquiry");
        }
    }

    // ---- Hosts ------------------------------------------------------------------------------------------

    /// Most hand-offs that this gateway keeps out at a host now.
    fn allowed(&self, host: &Host) -> f64 {
        if host.line.standing != Standing::Ready || host.rest_until > self.now {
            return 0.0;
        }
        let trial = host.rests > 0;
        let warmth = self.warmth(&host.line);
        if trial { 1.0 } else { (host.limit * warmth).ceil() }
    }

    /// Hand-offs out, and the sum of all limits, which may each be below one where many gateways share few hosts.
    fn load(&self) -> (f64, f64) {
        self.hosts.values().fold((0.0, 0.0), |(out, sum), host| match self.allowed(host) {
            0.0 => (out, sum),
            _ => (out + host.out, sum + host.limit * self.warmth(&host.line)),
        })
    }

    fn any_room(&self) -> bool {
        let (out, sum) = self.load();
        out + 1.0 <= sum.max(1.0) && self.hosts.values().any(|h| h.out + 1.0 <= self.allowed(h))
    }

    fn size(&self, line: &HostLine) -> f64 {
        if self.terms.sized { line.size.max(0.01) } else { 1.0 }
    }

    /// Limit of a host never tried: an even part of what a host of its size is taken to hold at first.
    fn first_limit(&self, line: &HostLine) -> f64 {
        let (sum, count) = self.hosts.values().fold((0.0, 0.0), |s, h| (s.0 + self.size(&h.line), s.1 + 1.0));
        let size = if sum > 0.0 { (self.size(line) * count / sum).min(3.0) } else { 1.0 };
        FIRST_LIMIT * size / f64::from(self.terms.gateways.max(1))
    }

    /// Weighted rotation among the hosts with room that the inquiry's lane leaves open.
    fn pick(&mut self, id: u32) -> Option<HostId> {
        let open = self.open.get(&id)?;
        let lane = &self.lanes[open.lane];
        let bound = open.sent.iter().find(|s| s.live || s.may_have_run);
        let fellow = |line: &HostLine| match (bound, lane.fellows) {
            (None, _) | (_, Group::All) => true,
            (Some(sent), Group::Zone) => sent.zone == line.zone,
            (Some(sent), Group::Cell) => sent.cell == line.cell,
        };
        let mut fit: Vec<(HostId, f64)> = Vec::new();
        for tried in [false, true] {
            for (&id, host) in &self.hosts {
                let before = open.sent.iter().any(|s| s.host == id);
                let live = open.sent.iter().any(|s| s.host == id && s.live);
                if before == tried && !live && fellow(&host.line) && host.out + 1.0 <= self.allowed(host) {
                    let success = host.success * host.success;
                    fit.push((id, host.limit * self.warmth(&host.line) * success.max(0.01)));
                }
            }
            if !fit.is_empty() {
                break;
            }
        }
        let sum: f64 = fit.iter().map(|f| f.1).sum();
        let mut best: Option<(HostId, f64)> = None;
        for (id, weight) in fit {
            let host = self.hosts.get_mut(&id)?;
            host.credit = (host.credit + weight / sum).min(2.0);
            if best.is_none_or(|b| host.credit > b.1) {
                best = Some((id, host.credit));
            }
        }
        let (chosen, _) = best?;
        self.hosts.get_mut(&chosen)?.credit -= 1.0;
        Some(chosen)
    }

    fn note_outcome(&mut self, out: &mut dyn Outward, ended: &Ended, goal: f64) {
        let now = self.now;
        let aim = (self.best * AIM_OVER_BEST).clamp(AIM_LEAST, AIM_MOST);
        let Some(host) = self.hosts.get_mut(&ended.host) else { return };
        host.out = (host.out - 1.0).max(0.0);
        if [Outcome::Honoured, Outcome::Error, Outcome::Full].contains(&ended.outcome) {
            host.heard = now;
        }
        match ended.outcome {
            Outcome::Honoured => {
                host.strikes = 0;
                host.rests = 0;
                host.success += SUCCESS_STEP * (1.0 - host.success);
                host.steer(ended.took / goal, aim);
                self.recent = (self.recent.0 + (ended.took / goal).min(1.0), self.recent.1 + 1.0);
            }
            Outcome::Error => host.success += SUCCESS_STEP * (0.0 - host.success),
            Outcome::Full => {
                host.limit = (host.limit * 0.8).max(LEAST_LIMIT);
                host.rest_until = host.rest_until.max(now + 0.05);
            }
            Outcome::TimedOut | Outcome::Cancelled => {
                host.strikes += 1;
                host.steer(1.0, aim);
                if host.strikes >= HOST_STRIKES {
                    self.rest(out, ended.host);
                }
            }
            Outcome::ConnectFailed | Outcome::Reset => self.rest(out, ended.host),
            Outcome::NeverSent => {}
        }
    }

    /// A rest is over: where probes are allowed one asks whether the process runs before an inquiry is risked.
    /// Guards against inquiries spent on hosts that stay dead or cut off; a host that runs but is slow passes.
    fn rest(&mut self, out: &mut dyn Outward, id: HostId) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(&id) else { return };
        if host.rest_until > now && host.rest_until.is_finite() {
            return;
        }
        host.rests += 1;
        host.strikes = 0;
        let length = FIRST_REST * f64::from(1 << (host.rests - 1).min(3));
        host.rest_until = now + length;
        if self.terms.may_probe {
            host.rest_until = f64::INFINITY;
            let step: Step = Box::new(move |gateway, out| match gateway.hosts.get_mut(&id) {
                Some(host) if host.line.standing == Standing::Ready => out.probe(id),
                Some(host) => host.rest_until = gateway.now,
                None => {}
            });
            self.after(length, step);
        }
        let resting = self.hosts.values().filter(|h| h.rests > 0).count();
        if now > self.traced_at + TRACE_EVERY {
            self.traced_at = now;
            out.trace(&format!("{resting} of {} hosts rest: unreachable or silent", self.hosts.len()));
        }
    }

    pub fn probed(&mut self, now: f64, out: &mut dyn Outward, id: HostId, well: bool, _load: Load) {
        self.now = now;
        if let Some(host) = self.hosts.get_mut(&id).filter(|h| h.rest_until > now) {
            host.rest_until = now;
            if !well {
                self.rest(out, id);
            }
        }
        self.rouse(out);
    }

    pub fn told(&mut self, now: f64, _out: &mut dyn Outward, _from: u32, _words: &[u8]) {
        self.now = now;
    }

    // ---- Hand-offs --------------------------------------------------------------------------------------

    /// The quota is granted: the first hand-off, or back with what it took where no host has room.
    fn send_on(&mut self, out: &mut dyn Outward, id: u32) {
        let Some(host) = self.pick(id) else {
            self.take_back(out, id);
            return self.push_back_by_load(out, id);
        };
        let open = &self.open[&id];
        let (customer, units) = (open.customer, open.units);
        if let Some(known) = self.customers.get_mut(&customer) {
            known.ceiling -= units;
        }
        self.hand_off(out, id, host);
    }

    fn hand_off(&mut self, out: &mut dyn Outward, id: u32, host: HostId) {
        let now = self.now;
        let (Some(open), Some(to)) = (self.open.get_mut(&id), self.hosts.get_mut(&host)) else { return };
        let nth = open.sent.len() as u16;
        let (zone, cell) = (to.line.zone, to.line.cell);
        open.sent.push(Sent { host, zone, cell, at: now, live: true, may_have_run: true });
        to.out += 1.0;
        let patience = self.lanes[open.lane].goal * PATIENCE;
        let next: AfterHandOff = Box::new(move |gateway, out, ended| gateway.after_hand_off(out, id, ended));
        self.hands.insert((id, nth), next);
        self.spare = (self.spare + SPARE_STEP).min(SPARE_MOST);
        out.hand_off(id, host, 0.0);
        self.after(patience, Box::new(move |gateway, out| gateway.impatient(out, id, nth)));
    }

    /// A hand-off is out for long: try elsewhere, where the lane allows it and spare hand-offs are left.
    fn impatient(&mut self, out: &mut dyn Outward, id: u32, nth: u16) {
        if !self.hands.contains_key(&(id, nth)) || self.spare < 1.0 || !self.may_repeat(id) {
            return;
        }
        let Some(open) = self.open.get(&id) else { return };
        let Some(sent) = open.sent.get(usize::from(nth)) else { return };
        // A host that has answered others since is only busy, or the inquiry is long: both are worse off by a copy.
        let busy = self.hosts.get(&sent.host).is_some_and(|h| h.heard > sent.at);
        if busy || open.sent.len() != usize::from(nth) + 1 || open.until - self.now < 0.1 {
            return;
        }
        if self.terms.second_copies {
            if let Some(host) = self.pick(id) {
                self.spare -= 1.0;
                self.hand_off(out, id, host);
            }
        } else if self.terms.may_cancel && self.any_room() {
            self.spare -= 1.0;
            out.cancel(id, nth);
        }
    }

    fn may_repeat(&self, id: u32) -> bool {
        let Some(open) = self.open.get(&id) else { return false };
        let lane = &self.lanes[open.lane];
        let ran = open.sent.iter().filter(|s| s.live || s.may_have_run).map(|s| s.at).reduce(f64::min);
        let safe = ran.is_none_or(|at| lane.repeats && self.now < at + lane.memory);
        safe && open.sent.len() < self.terms.most_hand_offs as usize && open.until > self.now + 1e-3
    }

    pub fn ended(&mut self, now: f64, out: &mut dyn Outward, ended: Ended) {
        self.now = now;
        let Some(next) = self.hands.remove(&(ended.inquiry, ended.nth)) else { return };
        let lane = self.open.get(&ended.inquiry).map_or(0, |o| o.lane);
        self.note_outcome(out, &ended, self.lanes[lane].goal);
        if let Some(open) = self.open.get_mut(&ended.inquiry) {
            if let Some(sent) = open.sent.get_mut(usize::from(ended.nth)) {
                sent.live = false;
                let proven = [Outcome::Full, Outcome::ConnectFailed, Outcome::NeverSent];
                sent.may_have_run = !proven.contains(&ended.outcome);
            }
            if ended.true_units > 0.0 && self.terms.settles {
                self.settle(ended.inquiry, ended.true_units);
            }
            if ended.over {
                self.close(out, ended.inquiry);
            } else {
                next(self, out, &ended);
            }
        }
        self.rouse(out);
    }

    /// The true units are known: the difference goes to the window that took the guess, with its next add.
    fn settle(&mut self, id: u32, true_units: f64) {
        let Some(open) = self.open.get(&id) else { return };
        let more = true_units - open.units;
        if let Some(known) = self.customers.get_mut(&open.customer) {
            known.slides[0].room -= more;
        }
        if let Some((name, keep)) = open.charged {
            self.tally(name, keep).held += more;
        }
    }

    fn after_hand_off(&mut self, out: &mut dyn Outward, id: u32, ended: &Ended) {
        let Some(open) = self.open.get(&id) else { return };
        if open.until <= self.now + 1e-3 {
            return self.give_up(out, id);
        }
        if open.sent.iter().any(|s| s.live) {
            return;
        }
        if ended.outcome != Outcome::NeverSent
            && self.may_repeat(id)
            && let Some(host) = self.pick(id)
        {
            return self.hand_off(out, id, host);
        }
        self.give_up(out, id);
    }

    pub fn left(&mut self, now: f64, out: &mut dyn Outward, id: u32) {
        self.now = now;
        self.close(out, id);
        self.rouse(out);
    }

    // ---- Answers ----------------------------------------------------------------------------------------

    fn push_back_by_load(&mut self, out: &mut dyn Outward, id: u32) {
        let wait = LOAD_WAIT * (0.5 + self.chance.rand_float());
        self.push_back(out, id, wait);
    }

    fn push_back(&mut self, out: &mut dyn Outward, id: u32, wait: f64) {
        let advice = if self.terms.may_advise { wait.clamp(0.0, self.terms.most_advice) } else { 0.0 };
        out.push_back(id, advice);
        self.close(out, id);
    }

    /// No further hand-off: pushed back where the lane lets the client try again, terminated elsewhere.
    fn give_up(&mut self, out: &mut dyn Outward, id: u32) {
        let Some(open) = self.open.get(&id) else { return };
        let ran = open.sent.iter().any(|s| s.live || s.may_have_run);
        if open.until > self.now + 1e-3 && (!ran || self.lanes[open.lane].refusable) {
            self.push_back_by_load(out, id);
        } else {
            out.terminate(id);
            self.close(out, id);
        }
    }

    /// Whatever ended the inquiry: its place is given back and copies still out are called off.
    fn close(&mut self, out: &mut dyn Outward, id: u32) {
        let Some(open) = self.open.remove(&id) else { return };
        for (nth, _) in open.sent.iter().enumerate().filter(|(_, s)| s.live) {
            if self.terms.may_cancel && self.hands.contains_key(&(id, nth as u16)) {
                out.cancel(id, nth as u16);
            }
        }
        if open.holds_place {
            if let Some(known) = self.customers.get_mut(&open.customer) {
                known.out = (known.out - 1.0).max(0.0);
            }
            self.state_open(out, open.customer, None);
        }
    }
}

impl Host {
    /// Moves the limit so that answers take `aim` of the goal time on average: less when they are slower,
    /// whatever slows them, more when they are quicker and the limit is what holds work back.
    fn steer(&mut self, part_of_goal: f64, aim: f64) {
        let off = 1.0 - part_of_goal.min(1.0) / aim;
        if off < 0.0 || self.out + 2.0 > self.limit {
            self.limit = (self.limit * (1.0 + STEER * off)).clamp(LEAST_LIMIT, MOST_LIMIT);
        }
    }
}

/// Same name at every gateway: customer, what it counts and the window's number fill 64 bits without overlap,
/// and a one-to-one mixing spreads them over the counter's parts.
fn name(customer: u64, what: u64, index: u64) -> u64 {
    let mut x = (customer << 31) | (what << 28) | (index & 0x0fff_ffff);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// The number of the tier's present window and the part of it that is gone. Customers' windows start apart, so
/// that they do not all turn at once.
fn window(customer: u64, tier: &Tier, now: f64) -> (u64, f64) {
    let turns = now / tier.window + (customer.wrapping_mul(0x9e37_79b9) % 1024) as f64 / 1024.0;
    (turns as u64, turns.fract())
}

/// A customer not seen for this long is new again: longer than any window, tier or name lives.
const FORGET: f64 = 60.0;
/// How long an open place of a dead gateway stays counted at most: two slots of about an abandon time.
const OPEN_SLOT: f64 = 4.0;
/// Advice when all open places are taken: about a hand-off's time.
const OPEN_SOON: f64 = 0.2;
/// Longest time without asking about a full window, since others may have taken adds back.
const FULL_MOST: f64 = 1.0;
/// Part of a tier's period after which its marks are read again.
const RECHECK: f64 = 0.25;
/// How far one closed window moves the share: a few windows settle it.
const SHARE_STEP: f64 = 0.5;
/// Part of the inquiries that ask the counter: cut at each failed call, raised at each answer in time. Even when
/// one call in five fails the part stays high; a silent counter brings it to the least within some ten calls, and
/// the least still tries several times a second.
const ASK_LESS: f64 = 0.8;
const ASK_MORE: f64 = 1.05;
const ASK_LEAST: f64 = 0.05;
/// Hand-offs that all gateways together keep out at a host at first; each takes an even part and goes on from there.
/// Enough to keep a few cores busy. At the least a gateway keeps one out at every tenth host, to see it recover.
const FIRST_LIMIT: f64 = 9.0;
const LEAST_LIMIT: f64 = 0.1;
const MOST_LIMIT: f64 = 64.0;
/// Mean time of an answer as a part of its goal time: a little over the best mean of some fifty answers of late,
/// which tells what hosts need when little waits; no longer than leaves most answers in time.
const AIM_OVER_BEST: f64 = 1.8;
const AIM_LEAST: f64 = 0.05;
const AIM_MOST: f64 = 0.22;
const BEST_OF: f64 = 50.0;
const BEST_FADES: f64 = 1.01;
const STEER: f64 = 0.05;
/// Part of the goal time after which a hand-off is doubted: time for a second one is left.
const PATIENCE: f64 = 0.55;
/// Each hand-off earns this part of a doubted one, saved up to a few: at most a tenth more work.
const SPARE_STEP: f64 = 0.1;
const SPARE_MOST: f64 = 10.0;
/// Average over about ten answers.
const SUCCESS_STEP: f64 = 0.1;
/// Doubted hand-offs in a row that send a host to rest, and its first rest.
const HOST_STRIKES: u32 = 2;
const FIRST_REST: f64 = 1.0;
/// Between two lines about resting hosts.
const TRACE_EVERY: f64 = 5.0;
/// Advice under overload, in seconds around which chance spreads it.
const LOAD_WAIT: f64 = 0.4;
/// Part of the room at the hosts below which they count as idle: half, so that a burst still finds room.
const IDLE: f64 = 0.4;
