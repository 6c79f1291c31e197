//! Every decision of archlink. The types and the trait `Outward` stand in `interface.rs`. A front makes a
//! `Gateway` with `start` and calls it with what happens, in order, with its clock. Each call acts through
//! the `Outward` handed in. A gateway shares nothing; the same calls give the same actions. Each inquiry goes
//! `arrived` -> `ask_quota` -> `send_on` -> `after_hand_off` -> an answer; closures hold what waits.

use crate::again::Again;
use crate::interface::*;
use std::collections::{BTreeMap, VecDeque};

type Step = Box<dyn FnOnce(&mut Gateway, &mut dyn Outward)>;
type AfterCount = Box<dyn FnOnce(&mut Gateway, &mut dyn Outward, Option<f64>)>;
/// The inquiry that waits for a call's answer, and what it does then.
type Asker = Option<(u32, AfterCount)>;
/// When a step comes due, in bits that sort alike, and its serial number: by it a step is struck off again.
type Due = (u64, u64);
type AfterHandOff = Box<dyn FnOnce(&mut Gateway, &mut dyn Outward, &Ended)>;

/// One row a lane: what may be done again, where, and for how long.
struct Lane {
    goal: f64,
    of_use: f64,
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
        let goal = terms.goal.max(0.001);
        let of_use = if terms.late_worth > 0.0 { f64::INFINITY } else { goal };
        Lane { goal, of_use, repeats, fellows, memory, refusable }
    }
}

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
pub fn tiers(plan: &PlanTerms, most_units: f64) -> Vec<Tier> {
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
    if plan.over_earns > plan.over_costs {
        tiers.push(Tier { window: whole, limit: burst, active: whole, cooldown: 0.0 });
    }
    tiers
}

/// Whether the counter's totals keep a plan's ceiling; rate and burst that gateways share evenly. What totals
/// let on, over all gateways, stays below the quota, and so below a ceiling above it. What is let on alone is
/// told to the totals: it has an even part of the whole rate, and of the burst that is left above the quota.
fn ceiling(plan: &PlanTerms, may_count: bool) -> (bool, f64, f64) {
    // A tier beyond the quota grants as much again.
    let granted = if plan.over_earns > plan.over_costs { 2.0 } else { 1.0 };
    let (rate, burst) = (plan.ceiling_rate, plan.ceiling_burst);
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

/// What this gateway holds of one name on the counter. `held` is what it wants to stand there as its own
/// part, `claimed` what its calls, answered or not, amount to, `confirmed` the answered part of these.
#[derive(Default)]
struct Tally {
    expires: f64,
    held: f64,
    claimed: f64,
    confirmed: f64,
    asked: VecDeque<(u64, f64, f64, bool)>,
}

/// One tier's slide as seen from here: the window (0: none yet) and total last heard, and the room left then.
#[derive(Clone, Copy, Default)]
struct Slide {
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
const WIDE: u32 = 10;
/// Most that one add stands for, itself included: more is noise in a small plan's window.
const MOST_STANDS_FOR: f64 = 2.5;
/// Takebacks of other gateways in flight are at most a few inquiries.
const LOST_UNITS: f64 = 4.0;

#[derive(Default)]
struct Customer {
    seen: f64,
    /// Comes through too many gateways for any of them to see how it goes on.
    wide: bool,
    /// Share of the customer's use that comes through this gateway.
    share: f64,
    /// The share if its use were spread evenly.
    even: f64,
    slides: [Slide; 3],
    /// Tier known to be in force, and until when.
    entered: (usize, f64),
    taken_until: [f64; 3],
    ceiling: f64,
    ceiling_at: f64,
}

#[derive(Default)]
struct Open {
    lane: usize,
    plan: usize,
    customer: u64,
    units: f64,
    until: f64,
    /// Until when an answer is worth anything.
    of_use: f64,
    count_by: f64,
    sent: Vec<Sent>,
    /// The window that took its units, for settling, and how many it took.
    charged: Option<(u64, f64, f64)>,
}

struct Sent {
    host: HostId,
    zone: u8,
    cell: u16,
    at: f64,
    live: bool,
    may_have_run: bool,
}

/// One lane of a host: hand-offs out, when last answered, failures not yet made up for, rest after them.
#[derive(Clone, Default)]
struct InLane {
    out: f64,
    heard: f64,
    rests: u32,
    rest_until: f64,
}

#[derive(Default)]
struct Host {
    line: HostLine,
    out: f64,
    limit: f64,
    /// How it stands in each lane: a host may fail one and serve the others as usual.
    lanes: Vec<InLane>,
    credit: f64,
    /// Place in this gateway's own order of hosts, and whether it is among those it turns to.
    place: u64,
    near: bool,
}

pub struct Gateway {
    terms: Terms,
    lanes: Vec<Lane>,
    tiers: Vec<Vec<Tier>>,
    ceilings: Vec<(bool, f64, f64)>,
    now: f64,
    chance: oorandom::Rand64,
    hosts: BTreeMap<HostId, Host>,
    /// All hosts as one, steered by every answer: what may be out at least, where a host's part is under one.
    fleet: Host,
    /// Gateways that turn to one host, this one included.
    sharing: f64,
    open: BTreeMap<u32, Open>,
    hands: BTreeMap<(u32, u16), (Due, usize, AfterHandOff)>,
    customers: BTreeMap<u64, Customer>,
    names: BTreeMap<u64, Tally>,
    waits: BTreeMap<u64, (Due, AfterCount)>,
    due: BTreeMap<Due, Step>,
    serial: u64,
    wake_at: f64,
    ask_again: Again,
    round_at: f64,
    traced_at: f64,
    ask_share: f64,
    crowded: bool,
}

/// Between two rounds of the periodic work; a fraction of the shortest thing it watches, a second or so.
const ROUND: f64 = 0.25;

impl Gateway {
    pub fn start(terms: Terms, seed: u64, now: f64, out: &mut dyn Outward) -> Gateway {
        let mut gateway = Gateway {
            lanes: terms.lanes.iter().map(Lane::of).collect(),
            ceilings: terms.plans.iter().map(|p| ceiling(p, terms.may_count)).collect(),
            tiers: terms.plans.iter().map(|p| tiers(p, terms.most_units)).collect(),
            now,
            chance: oorandom::Rand64::new(u128::from(seed)),
            hosts: BTreeMap::new(),
            fleet: Host { limit: 3.0, ..Host::default() },
            sharing: 1.0,
            open: BTreeMap::new(),
            hands: BTreeMap::new(),
            customers: BTreeMap::new(),
            names: BTreeMap::new(),
            waits: BTreeMap::new(),
            due: BTreeMap::new(),
            serial: 0,
            wake_at: f64::INFINITY,
            ask_again: Again::default(),
            round_at: now + ROUND,
            traced_at: 0.0,
            ask_share: 1.0,
            crowded: false,
            terms,
        };
        if gateway.terms.must_subscribe {
            out.subscribe();
        }
        gateway.rouse(out);
        gateway
    }

    /// Other quotas from now on; plans keep their numbers, and customers what is known of their use.
    pub fn replan(&mut self, plans: Vec<PlanTerms>) {
        self.ceilings = plans.iter().map(|p| ceiling(p, self.terms.may_count)).collect();
        self.tiers = plans.iter().map(|p| tiers(p, self.terms.most_units)).collect();
        self.terms.plans = plans;
    }

    fn after(&mut self, delay: f64, step: Step) -> Due {
        self.serial += 1;
        let due = ((self.now + delay).to_bits(), self.serial);
        self.due.insert(due, step);
        due
    }

    /// One timer serves the round and all due steps: it is set anew when the first of them changes. Steps
    /// that nothing waits for any more are struck off, or each inquiry would ring it twice for nothing.
    fn rouse(&mut self, out: &mut dyn Outward) {
        let next = self.due.keys().next().map_or(self.round_at, |k| self.round_at.min(f64::from_bits(k.0)));
        if next != self.wake_at {
            self.wake_at = next;
            out.wake((next - self.now).max(1e-6));
        }
    }

    pub fn woken(&mut self, now: f64, out: &mut dyn Outward) {
        // A timer this late: the gateway stood still. What came meanwhile is heard first, or due steps take
        // hosts for silent, the counter for dead. Covers paused processes and clock jumps; costs 1 ms.
        const STOOD_STILL: f64 = 0.1;
        self.now = now;
        if now + 2e-6 < self.wake_at {
            return;
        }
        if now > self.wake_at + STOOD_STILL {
            // But an inquiry whose client's time is up, or nearly, has this turn alone to be answered.
            let last = self.open.iter().filter(|(_, o)| o.sent.is_empty() && o.until < now + STOOD_STILL);
            for id in last.map(|(id, _)| *id).collect::<Vec<_>>() {
                self.take_back(out, id);
                self.push_back_by_load(out, id);
            }
            self.wake_at = now + 1e-3;
            return out.wake(1e-3);
        }
        self.wake_at = f64::INFINITY;
        while let Some(e) = self.due.first_entry().filter(|e| f64::from_bits(e.key().0) <= now + 2e-6) {
            e.remove()(self, out);
        }
        if now + 2e-6 >= self.round_at {
            self.round_at = now + ROUND;
            self.round(now);
        }
        self.rouse(out);
    }

    fn round(&mut self, now: f64) {
        // A customer not seen for this long is new again: longer than any window, tier or name lives.
        const FORGET: f64 = 60.0;
        self.names.retain(|_, t| t.expires > now || !t.asked.is_empty());
        self.customers.retain(|_, c| c.seen + FORGET > now);
        self.hosts.retain(|_, h| h.line.standing != Standing::Gone || h.out > 0.0);
        self.draw_near();
    }

    pub fn list_news(&mut self, now: f64, out: &mut dyn Outward, news: News, lines: &[HostLine]) {
        self.now = now;
        if news == News::Failed {
            let wait = self.ask_again.failed(1.0, self.terms.ask_within, self.chance.rand_float());
            self.after(wait, Box::new(|_, out| out.subscribe()));
            return self.rouse(out);
        }
        self.ask_again.well();
        if news != News::Changes {
            self.hosts.values_mut().for_each(|h| h.line.standing = Standing::Gone);
        }
        for line in lines {
            // Turns start at chance, or all gateways' rotations would fall on the same hosts at once.
            let (line, credit) = (line.clone(), self.chance.rand_float());
            let lanes = vec![InLane { heard: now, ..InLane::default() }; self.lanes.len()];
            let place = mix(line.host ^ mix(u64::from(self.terms.my_number) + 1));
            let fresh = Host { line: line.clone(), lanes, credit, place, ..Host::default() };
            match self.hosts.get_mut(&line.host) {
                None => drop(self.hosts.insert(line.host, fresh)),
                Some(host) if line.started > host.line.started => host.begin_anew(fresh),
                Some(host) => host.line = line,
            }
        }
        self.draw_near();
        self.rouse(out);
    }

    /// Among many gateways each turns to some hosts only, the first ready ones in an order of its own. Guards
    /// against connections used once and hosts of which nobody hears twice before they change: few enough to
    /// hear of, and enough gateways a host that uneven traffic evens out. A few gateways turn to all hosts.
    fn draw_near(&mut self) {
        // Hand-offs out at a host at first, over all gateways: keeps a few cores busy.
        const FIRST_LIMIT: f64 = 5.0;
        // Thirty and twelve spread work more evenly and were worse: hearing of a host often is worth more.
        const GATEWAYS_A_HOST: f64 = 12.0;
        const LEAST_NEAR: f64 = 5.0;
        let gateways = f64::from(self.terms.gateways.max(1));
        let mut ready: Vec<_> =
            self.hosts.iter().filter(|(_, h)| h.line.standing == Standing::Ready).collect();
        ready.sort_by_key(|(id, h)| (h.rests_wholly(self.now), h.place, **id));
        let all = ready.len() as f64;
        let most = (GATEWAYS_A_HOST * all / gateways).ceil().max(LEAST_NEAR).min(all.max(1.0));
        self.sharing = (gateways * most / all.max(1.0)).max(1.0);
        let near: Vec<HostId> = ready.iter().take(most as usize).map(|(id, _)| **id).collect();
        for (id, host) in &mut self.hosts {
            host.near = near.contains(id);
            host.limit = if host.limit == 0.0 { FIRST_LIMIT / self.sharing } else { host.limit };
        }
    }

    /// Share of its full capacity that a host has at least, by its age.
    fn warmth(&self, line: &HostLine) -> f64 {
        let (age, from) = (self.now - line.started, self.terms.cold_from.clamp(0.01, 1.0));
        let cold = line.started > 0.0 && age < self.terms.warm_up;
        if cold { from + (1.0 - from) * (age / self.terms.warm_up).max(0.0) } else { 1.0 }
    }

    fn about(&self, id: u32) -> (u64, usize, f64) {
        let open = &self.open[&id];
        (open.customer, open.plan, open.units)
    }

    pub fn arrived(&mut self, now: f64, out: &mut dyn Outward, inquiry: Inquiry) {
        self.now = now;
        let Inquiry { id, lane, plan, customer, left, units, spread, .. } = inquiry;
        let terms = &self.terms.plans[plan];
        let share = 1.0 / f64::from(spread.max(1));
        let fresh = || Customer {
            seen: now,
            wide: spread > WIDE,
            share,
            even: share,
            slides: [Slide { room: terms.burst, at: now, ..Slide::default() }; 3],
            ceiling_at: now,
            ..Customer::default()
        };
        self.customers.entry(customer).or_insert_with(fresh).seen = now;
        let until = now + left;
        let of_use = until.min(now + self.lanes[lane].of_use);
        let count_by = (now + 2.0 * self.wait_bound()).min(until - 0.005);
        let open = Open { lane, plan, customer, units, until, of_use, count_by, ..Open::default() };
        self.open.insert(id, open);
        match self.any_room(lane) {
            true => self.ask_quota(out, id),
            false => self.push_back_by_load(out, id),
        }
        self.rouse(out);
    }

    /// Fills this gateway's even part of a ceiling, from nothing at a start: restarts would else grant
    /// what is stored twice. True if the inquiry fits into it, which it then has taken.
    fn below_ceiling(&mut self, id: u32) -> bool {
        let (customer, plan, units) = self.about(id);
        let (_, rate, burst) = self.ceilings[plan];
        let Some(known) = self.customers.get_mut(&customer) else { return false };
        let grown = known.ceiling + (self.now - known.ceiling_at) * rate * known.even;
        (known.ceiling, known.ceiling_at) = (grown.min(burst * known.even), self.now);
        let fits = rate.is_infinite() || known.ceiling + 1e-9 >= units;
        known.ceiling -= if fits { units } else { 0.0 };
        fits
    }

    fn ask_quota(&mut self, out: &mut dyn Outward, id: u32) {
        let (customer, plan, _) = self.about(id);
        let (tier, until) = self.customers[&customer].entered;
        match (self.ceilings[plan].0 || self.below_ceiling(id), self.tiers[plan].is_empty()) {
            (false, _) => self.push_back_by_load(out, id),
            (_, true) => self.send_on(out, id),
            _ => self.ask_tier(out, id, if until > self.now { tier } else { 0 }),
        }
    }

    /// The design's question: one add to the tier's present window, the closed one read where it decides.
    fn ask_tier(&mut self, out: &mut dyn Outward, id: u32, k: usize) {
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

    fn judge(&mut self, out: &mut dyn Outward, id: u32, k: usize, total: f64, index: u64, gone: f64) {
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
    fn read_closed(&mut self, out: &mut dyn Outward, id: u32, k: usize, at: Option<f64>, window: (u64, f64)) {
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

    fn take_back(&mut self, out: &mut dyn Outward, id: u32) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some((name, keep, units)) = open.charged.take() else { return };
        self.tally(name, keep).held -= units;
        // On a crowded counter it goes along with the next add: spare calls are the first to go.
        if self.ask_share >= 1.0 {
            self.push(out, name, keep, None);
        }
    }

    /// Past tier `k`: into the next tier that is in force or free to enter; pushed back where none is left.
    fn beyond(&mut self, out: &mut dyn Outward, id: u32, k: usize, wait: f64) {
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

    fn go_on(&mut self, out: &mut dyn Outward, id: u32, k: usize, entered: bool, wait: f64) {
        match (self.open.contains_key(&id), entered) {
            (false, _) => {}
            (_, true) => self.ask_tier(out, id, k),
            (_, false) => self.beyond(out, id, k, wait),
        }
    }

    fn enter(&mut self, customer: u64, tier: usize, active: f64, taken: f64) {
        if let Some(known) = self.customers.get_mut(&customer) {
            known.entered = (tier, self.now + active);
            known.taken_until[tier] = self.now + taken;
        }
    }

    /// A mark is a name of its own: 1 sets it, 0 reads it; what was known of it before does not count.
    fn mark(&mut self, out: &mut dyn Outward, name: u64, keep: f64, add: f64, next: Asker) {
        let tally = self.tally(name, keep);
        (tally.held, tally.claimed, tally.confirmed) = (add, 0.0, f64::NEG_INFINITY);
        self.push(out, name, keep, next);
    }

    /// Without the counter a gateway goes by the room it last saw: it drains on, and each own inquiry stands
    /// for the others' too, by the share that comes through here, into debt if need be: one a minute of a
    /// customer spread over fifty gateways is let in. Could harm where the share is far too low. What comes
    /// here is a few inquiries by chance: the older the last total, the more may be owed, up to a burst. Most
    /// of those refused on a guess are inside: the less one beyond costs, the more is spared, fleet-wide.
    fn decide_alone(&mut self, out: &mut dyn Outward, id: u32) {
        // A share learnt from one closed window may be next to nothing; thousands of gateways are unlikely.
        const LEAST_SHARE: f64 = 0.001;
        let (customer, plan, units) = self.about(id);
        let PlanTerms { rate, burst, over_costs, .. } = self.terms.plans[plan];
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

    fn tally(&mut self, name: u64, keep: f64) -> &mut Tally {
        let fresh = Tally { expires: self.now + keep, ..Tally::default() };
        self.names.entry(name).or_insert(fresh)
    }

    /// While the counter answers in time every inquiry asks it. Unanswered, late and turned-away calls lower
    /// the part that asks, answers raise it: a silent counter is tried by a few, a crowded one not crowded
    /// further, one that comes back eased into. What was not told goes along with the next add to its name.
    fn may_ask(&mut self) -> bool {
        self.terms.may_count && (self.ask_share >= 1.0 || self.chance.rand_float() < self.ask_share)
    }

    /// Longest wait for an answer: a twentieth of the shortest goal time, no longer than calls live. Where
    /// goals are short, what a call takes on a busy counter: else it is taken for silent.
    fn wait_bound(&self) -> f64 {
        const BUSY_COUNTER: f64 = 0.03;
        let goal = self.lanes.iter().map(|l| l.goal).fold(f64::INFINITY, f64::min);
        (goal * 0.05).max(BUSY_COUNTER.min(goal * 0.15)).min(self.terms.count_timeout)
    }

    /// Brings the counter to what is held: one add of what was not claimed yet.
    fn push(&mut self, out: &mut dyn Outward, name: u64, keep: f64, next: Asker) {
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
        out.count(name, amount, keep.min(59.0));
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

    pub fn counted(&mut self, now: f64, out: &mut dyn Outward, name: u64, answer: Counted) {
        self.now = now;
        let Some(tally) = self.names.get_mut(&name) else { return };
        let Some((serial, amount, at, asker)) = tally.asked.pop_front() else { return };
        let told = if let Counted::Total(total) = answer { Some(total) } else { None };
        match answer {
            Counted::Total(total) => {
                tally.confirmed += amount;
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
        // Late totals have lapsed already; a call cut off in time says nothing of how quick the counter is.
        let (waited, bound) = (self.waits.remove(&serial), self.wait_bound());
        let in_time = now - at <= bound;
        let lapsed = asker && waited.is_none();
        if !lapsed && (in_time != (answer == Counted::MayBeAdded) || answer == Counted::NotAdded) {
            self.counter_was(out, told.map(|_| (now - at) / bound));
        }
        if let Some((due, next)) = waited {
            self.due.remove(&due);
            next(self, out, told);
        }
        self.rouse(out);
    }

    /// How long a call took, as a part of the bound on waits; none where it failed.
    fn counter_was(&mut self, out: &mut dyn Outward, took: Option<f64>) {
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
            out.trace("counter silent, late or crowded: mostly deciding alone on own shares");
        } else if self.crowded && share >= 1.0 {
            self.crowded = false;
            out.trace("counter back: asking for every inquiry");
        }
    }

    /// Most hand-offs that this gateway keeps out at a host now.
    fn allowed(&self, host: &Host, lane: usize) -> f64 {
        let InLane { out, rests, rest_until, .. } = host.lanes[lane];
        // One at a time in a doubted lane, whatever the others have out.
        let doubted = rests > 0 && out > 0.0;
        if host.line.standing != Standing::Ready || rest_until > self.now || doubted {
            return 0.0;
        }
        (host.limit * self.warmth(&host.line)).ceil()
    }

    /// Room at a host that serves the lane, and within the sum of such hosts' limits, each perhaps below one,
    /// or within their part of what may be out at the near hosts at least.
    fn any_room(&self, lane: usize) -> bool {
        // Never out less than this a warm host, over all gateways: keeps cores busy and builds no queue.
        const FLEET_LEAST: f64 = 2.0;
        let least = FLEET_LEAST / self.sharing;
        let (mut out, mut sum, mut floor, mut any) = (0.0, 0.0, 0.0, false);
        let (mut near, mut fit) = (0.0_f64, 0.0);
        for host in self.hosts.values().filter(|h| h.near) {
            near += 1.0;
            let allowed = self.allowed(host, lane);
            if allowed > 0.0 {
                let warmth = self.warmth(&host.line);
                (out, sum, floor) = (out + host.out, sum + host.limit * warmth, floor + least * warmth);
                (fit, any) = (fit + 1.0, any || host.out + 1.0 <= allowed);
            }
        }
        any && out + 1.0 <= sum.max(floor).max(self.fleet.limit * fit / near).max(1.0)
    }

    /// Weighted rotation among the hosts with room that the inquiry's lane leaves open.
    fn pick(&mut self, id: u32) -> Option<HostId> {
        // How much sooner a lane goes to where another rests: what serves all is what that one is left with.
        const SUITS: f64 = 3.0;
        let open = self.open.get(&id)?;
        let lane = &self.lanes[open.lane];
        let bound = open.sent.iter().find(|s| s.live || s.may_have_run);
        let fellow = |line: &HostLine| match (bound, lane.fellows) {
            (None, _) | (_, Group::All) => true,
            (Some(sent), Group::Zone) => sent.zone == line.zone,
            (Some(sent), Group::Cell) => sent.cell == line.cell,
        };
        let mut fit: Vec<(HostId, f64, bool)> = Vec::new();
        // A repeat that is bound to a group may go to any host of it.
        let near = |h: &Host| h.near || bound.is_some() && lane.fellows != Group::All;
        let room = |h: &Host| near(h) && h.out + 1.0 <= self.allowed(h, open.lane);
        for (&id, host) in self.hosts.iter().filter(|(_, h)| room(h)) {
            let tried = open.sent.iter().any(|s| s.host == id);
            if fellow(&host.line) && !open.sent.iter().any(|s| s.host == id && s.live) {
                let suits = 1.0 + SUITS * host.lanes.iter().filter(|l| l.rests > 0).count() as f64;
                fit.push((id, host.limit * self.warmth(&host.line) * suits, tried));
            }
        }
        let untried = fit.iter().any(|f| !f.2);
        fit.retain(|f| !(untried && f.2));
        let sum: f64 = fit.iter().map(|f| f.1).sum();
        let mut best: Option<(HostId, f64)> = None;
        for (id, weight, _) in fit {
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

    fn note_outcome(&mut self, out: &mut dyn Outward, ended: &Ended, lane: usize) {
        // Answers are steered to this part of the goal time, well inside it: 0.09 sheds on days of long work.
        const AIM: f64 = 0.13;
        // Later for the fleet, or a few slow hosts make hundreds of gateways shed: 0.13 lost a tenth there.
        const FLEET_AIM: f64 = 0.3;
        // Least limit of a host, over all gateways: three keep one out at every tenth host, to see it mend.
        const LEAST_LIMIT: f64 = 0.3;
        let (now, part) = (self.now, (ended.took / self.lanes[lane].goal).min(1.0));
        let least = LEAST_LIMIT / self.sharing;
        let Some(host) = self.hosts.get_mut(&ended.host) else { return };
        let since = now - host.lanes.iter().map(|l| l.heard).fold(0.0, f64::max);
        host.out = (host.out - 1.0).max(0.0);
        self.fleet.out = (self.fleet.out - 1.0).max(0.0);
        let answered = [Outcome::Honoured, Outcome::Error, Outcome::Full].contains(&ended.outcome);
        let row = &mut host.lanes[lane];
        row.out = (row.out - 1.0).max(0.0);
        row.heard = if answered { now } else { row.heard };
        // Called off before its goal time, it was given up by its client: that says nothing of the host.
        // Silence where others were answered meanwhile is a late answer; so is a reset: answers get lost.
        let unanswered = match ended.outcome {
            Outcome::Cancelled => part >= 1.0,
            outcome => outcome == Outcome::TimedOut,
        };
        let silent = unanswered && row.heard <= now - ended.took;
        if unanswered && !silent || [Outcome::Honoured, Outcome::Reset].contains(&ended.outcome) {
            let part = if ended.outcome == Outcome::Honoured { part } else { 1.0 };
            host.steer(least, part, AIM, since);
            self.fleet.steer(1.0, part, FLEET_AIM, 0.0);
        }
        let row = &mut host.lanes[lane];
        match ended.outcome {
            Outcome::Honoured => row.rests /= 2,
            Outcome::Full => {
                host.limit = (host.limit * 0.8).max(least);
                host.lanes.iter_mut().for_each(|l| l.rest_until = l.rest_until.max(now + 0.05));
            }
            Outcome::ConnectFailed => self.rest(out, ended.host, None),
            outcome if silent || outcome == Outcome::Error => self.rest(out, ended.host, Some(lane)),
            _ => {}
        }
    }

    /// A lane of a host rests, or all of them where it is not reached. After a rest of all a probe, where
    /// allowed, asks whether the process runs before an inquiry is risked. Guards against inquiries spent on
    /// hosts that stay dead or cut off, and on a lane that a host fails while it serves the others as usual.
    fn rest(&mut self, out: &mut dyn Outward, id: HostId, lane: Option<usize>) {
        // The first rest of a host, short beside a restart; of a lane, which fails for tens of seconds: 1 s
        // spent twice the inquiries on finding that out, 3 and 10 s a few more. The time between two traces.
        const FIRST_REST: f64 = 1.0;
        const LANE_REST: f64 = 6.0;
        const TRACE_EVERY: f64 = 5.0;
        let (now, probes) = (self.now, self.terms.may_probe && lane.is_none());
        let Some(host) = self.hosts.get_mut(&id) else { return };
        let first = if lane.is_some() { LANE_REST } else { FIRST_REST };
        let mut length = 0.0_f64;
        for (n, row) in host.lanes.iter_mut().enumerate() {
            if row.rest_until <= now && lane.is_none_or(|lane| lane == n) {
                row.rests += 1;
                let rest = first * f64::from(1 << (row.rests - 1).min(3));
                row.rest_until = if probes { f64::INFINITY } else { now + rest };
                length = length.max(rest);
            }
        }
        if length == 0.0 {
            return;
        }
        if probes {
            let step: Step = Box::new(move |gateway, out| match gateway.hosts.get_mut(&id) {
                Some(host) if host.line.standing == Standing::Ready => out.probe(id),
                Some(host) => host.lanes.iter_mut().for_each(|l| l.rest_until = gateway.now),
                None => {}
            });
            self.after(length, step);
        }
        self.draw_near();
        if now > self.traced_at + TRACE_EVERY {
            self.traced_at = now;
            let resting = self.hosts.values().filter(|h| h.lanes.iter().any(|l| l.rests > 0)).count();
            out.trace(&format!("{resting} of {} hosts rest, wholly or in a lane", self.hosts.len()));
        }
    }

    pub fn probed(&mut self, now: f64, out: &mut dyn Outward, id: HostId, well: bool, _load: Load) {
        self.now = now;
        if let Some(host) = self.hosts.get_mut(&id).filter(|h| h.rests_wholly(now)) {
            host.lanes.iter_mut().for_each(|l| l.rest_until = now);
            if !well {
                self.rest(out, id, None);
            }
        }
        self.rouse(out);
    }

    /// The quota is granted: the first hand-off, or back with what it took where no host has room.
    fn send_on(&mut self, out: &mut dyn Outward, id: u32) {
        // A client about to leave gets its answer at once: nothing may be sent after its time.
        let in_time = self.open[&id].until > self.now + 0.01;
        let Some(host) = self.pick(id).filter(|_| in_time) else {
            self.take_back(out, id);
            return self.push_back_by_load(out, id);
        };
        self.hand_off(out, id, host);
    }

    fn hand_off(&mut self, out: &mut dyn Outward, id: u32, host: HostId) {
        // Part of the goal time after which a hand-off is doubted: sooner mostly meets long inquiries.
        const PATIENCE: f64 = 2.0;
        let now = self.now;
        let (Some(open), Some(to)) = (self.open.get_mut(&id), self.hosts.get_mut(&host)) else { return };
        let nth = open.sent.len() as u16;
        let HostLine { zone, cell, .. } = to.line;
        open.sent.push(Sent { host, zone, cell, at: now, live: true, may_have_run: true });
        let lane = open.lane;
        to.out += 1.0;
        to.lanes[lane].out += 1.0;
        self.fleet.out += 1.0;
        let patience = self.lanes[lane].goal * PATIENCE;
        let due = self.after(patience, Box::new(move |gateway, out| gateway.impatient(out, id, nth)));
        let next: AfterHandOff = Box::new(move |gateway, out, how| gateway.after_hand_off(out, id, how));
        self.hands.insert((id, nth), (due, lane, next));
        out.hand_off(id, host, 0.0);
    }

    fn impatient(&mut self, out: &mut dyn Outward, id: u32, nth: u16) {
        if !self.hands.contains_key(&(id, nth)) {
            return;
        }
        let Some(open) = self.open.get(&id) else { return };
        let Some(sent) = open.sent.get(usize::from(nth)) else { return };
        let (host, lane, at, last) = (sent.host, open.lane, sent.at, open.sent.len() == usize::from(nth) + 1);
        // A lane that has answered others since is only busy, or the inquiry is long: a copy harms both.
        let heard = |h: &Host| h.lanes[lane].heard > at;
        let spared = !last || open.until - self.now < 0.1 || self.hosts.get(&host).is_some_and(heard);
        if spared || !self.may_repeat(id) {
            return;
        }
        // Among many gateways it rests at once: what it holds yet would count against the room at all others.
        if self.sharing > f64::from(WIDE) {
            self.rest(out, host, Some(lane));
        }
        match (self.terms.second_copies, self.terms.may_cancel && self.any_room(lane)) {
            (true, _) => self.pick(id).into_iter().for_each(|host| self.hand_off(out, id, host)),
            (_, true) => out.cancel(id, nth),
            _ => {}
        }
    }

    fn may_repeat(&self, id: u32) -> bool {
        let Some(open) = self.open.get(&id) else { return false };
        let lane = &self.lanes[open.lane];
        let ran = open.sent.iter().filter(|s| s.live || s.may_have_run).map(|s| s.at).reduce(f64::min);
        let safe = ran.is_none_or(|at| lane.repeats && self.now < at + lane.memory);
        safe && open.sent.len() < self.terms.most_hand_offs as usize && open.of_use > self.now + 1e-3
    }

    pub fn ended(&mut self, now: f64, out: &mut dyn Outward, ended: Ended) {
        self.now = now;
        let Some((due, lane, next)) = self.hands.remove(&(ended.inquiry, ended.nth)) else { return };
        self.due.remove(&due);
        self.note_outcome(out, &ended, lane);
        if let Some(open) = self.open.get_mut(&ended.inquiry) {
            if let Some(sent) = open.sent.get_mut(usize::from(ended.nth)) {
                sent.live = false;
                let proven = [Outcome::Full, Outcome::ConnectFailed, Outcome::NeverSent];
                sent.may_have_run = !proven.contains(&ended.outcome);
            }
            // True units: the difference goes to the window that took the guess, with its next add.
            let settled = self.terms.settles && ended.true_units > 0.0;
            if let Some((name, keep, _)) = open.charged.filter(|_| settled) {
                let more = ended.true_units - open.units;
                self.customers.entry(open.customer).and_modify(|c| c.slides[0].room -= more);
                self.tally(name, keep).held += more;
            }
            if ended.over {
                self.close(out, ended.inquiry);
            } else {
                next(self, out, &ended);
            }
        }
        self.rouse(out);
    }

    fn after_hand_off(&mut self, out: &mut dyn Outward, id: u32, ended: &Ended) {
        let Some(open) = self.open.get(&id) else { return };
        if open.until > self.now + 1e-3 && open.sent.iter().any(|s| s.live) {
            return;
        }
        let again = ended.outcome != Outcome::NeverSent && self.may_repeat(id);
        match again.then(|| self.pick(id)).flatten() {
            Some(host) => self.hand_off(out, id, host),
            None => self.give_up(out, id),
        }
    }

    /// A reply has begun and is not whole. Guards against waiting for the rest of a spoilt one for as long as
    /// the client does; harms a host that sends slower: the rest takes far less from any sound one.
    pub fn reply_began(&mut self, now: f64, out: &mut dyn Outward, id: u32, nth: u16) {
        const REST_OF_REPLY: f64 = 0.1;
        self.now = now;
        if self.terms.may_cancel {
            self.after(REST_OF_REPLY, Box::new(move |_, out| out.cancel(id, nth)));
        }
        self.rouse(out);
    }

    /// A streamed answer has begun: it has no deadline any more, and its host is not silent.
    pub fn begun(&mut self, now: f64, id: u32, host: HostId) {
        self.now = now;
        self.open.entry(id).and_modify(|o| o.until = f64::INFINITY);
        let lane = self.open.get(&id).map_or(0, |o| o.lane);
        self.hosts.entry(host).and_modify(|h| h.lanes[lane].heard = now);
    }

    pub fn left(&mut self, now: f64, out: &mut dyn Outward, id: u32) {
        self.now = now;
        self.close(out, id);
        self.rouse(out);
    }

    fn push_back_by_load(&mut self, out: &mut dyn Outward, id: u32) {
        // Advice under overload, a part of the goal time: the next try shall be in time. Chance spreads it.
        const LOAD_WAIT: f64 = 0.12;
        let wait = self.lanes[self.open[&id].lane].goal * LOAD_WAIT * (0.5 + self.chance.rand_float());
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
    }
}

impl Host {
    /// Started again: what it holds of this gateway's is still counted, the rest is forgotten.
    fn begin_anew(&mut self, fresh: Host) {
        let before = std::mem::replace(self, fresh);
        self.out = before.out;
        self.lanes.iter_mut().zip(&before.lanes).for_each(|(lane, before)| lane.out = before.out);
    }

    /// Rests in every lane: it is not reached, or silent altogether.
    fn rests_wholly(&self, now: f64) -> bool {
        self.lanes.iter().all(|l| l.rest_until > now)
    }

    /// Moves the limit so that answers take `aim` of the goal time on average. Guards against overdriven
    /// hosts; covers slow and failing ones, jams, restarts. Could harm where all work suddenly gets long.
    /// `since` is the time since the host's last answer: one heard of seldom moves further at a time.
    fn steer(&mut self, least: f64, part: f64, aim: f64, since: f64) {
        // Quick steps, or a jam outlives its cause; bounded ones, or a few very long inquiries starve a host.
        const STEER: f64 = 0.15;
        const MOST_STEP: f64 = 0.6;
        const OUTLIER: f64 = 1.5;
        let step = (STEER * (1.0 + since)).min(MOST_STEP);
        let off = 1.0 - (part / aim).min(OUTLIER);
        if off < 0.0 || self.out + 2.0 > self.limit {
            self.limit = (self.limit * (1.0 + step * off)).clamp(least, MOST_LIMIT);
        }
    }
}

/// Same name at every gateway: customer, what is counted and window fill 64 bits; mixed one to one.
fn name(customer: u64, what: u64, index: u64) -> u64 {
    mix((customer << 31) | (what << 28) | (index & 0x0fff_ffff))
}

fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// The number of the tier's present window and the part of it that is gone; customers' windows turn apart.
fn window(customer: u64, tier: &Tier, now: f64) -> (u64, f64) {
    let turns = now / tier.window + (customer.wrapping_mul(0x9e37_79b9) % 1024) as f64 / 1024.0;
    (turns as u64 + 1, turns.fract())
}

const MOST_LIMIT: f64 = 64.0;
