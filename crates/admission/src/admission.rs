//! One gateway's life: what it decides stands in `quota.rs`, `hosts.rs`, `hand_offs.rs` and `timing.rs`, what it holds
//! in mind in `state.rs`. A front makes a `Gateway` with `start` and calls it with what happens, in order, with its clock.
//! Each call acts through the `Outward` handed in. A gateway shares nothing; the same calls give the same actions. Each
//! inquiry goes `arrived` -> `ask_quota` -> `send_on` -> `after_hand_off` -> an answer; closures hold what waits.

use crate::backoff::Backoff;
use crate::interface::*;
use crate::quota::{Tier, WIDE, ceiling, tiers};
use crate::state::*;
use crate::timers::ROUND;
use std::collections::BTreeMap;

/// One row a lane: what may be done again, where, and for how long.
pub(crate) struct Lane {
    pub(crate) goal: f64,
    pub(crate) of_use: f64,
    pub(crate) repeats: bool,
    pub(crate) fellows: DedupScope,
    pub(crate) memory: f64,
    pub(crate) refusable: bool,
}

impl Lane {
    pub(crate) fn of(terms: &RequestClass) -> Lane {
        let (repeats, fellows, memory, refusable) = match terms.effect {
            Effect::Pure => (true, DedupScope::All, f64::INFINITY, true),
            Effect::Receipted => {
                (true, terms.dedup_scope, terms.dedup_window, terms.dedup_scope == DedupScope::All)
            }
            Effect::Effectful => (false, DedupScope::All, 0.0, false),
        };
        let goal = terms.latency_target.max(0.001);
        let of_use = if terms.late_value > 0.0 { f64::INFINITY } else { goal };
        Lane { goal, of_use, repeats, fellows, memory, refusable }
    }
}

pub struct Admission {
    pub(crate) terms: AdmissionSettings,
    pub(crate) lanes: Vec<Lane>,
    pub(crate) tiers: Vec<Vec<Tier>>,
    pub(crate) ceilings: Vec<(bool, f64, f64)>,
    pub(crate) now: f64,
    pub(crate) chance: oorandom::Rand64,
    pub(crate) hosts: BTreeMap<HostId, Host>,
    /// All hosts as one, steered by every answer: what may be out at least, where a host's part is under one.
    pub(crate) fleet: Host,
    /// Gateways that turn to one host, this one included.
    pub(crate) sharing: f64,
    pub(crate) open: BTreeMap<u32, Open>,
    pub(crate) hands: BTreeMap<(u32, u16), (Due, usize, AfterHandOff)>,
    pub(crate) customers: BTreeMap<u64, Customer>,
    pub(crate) names: BTreeMap<u64, Tally>,
    pub(crate) waits: BTreeMap<u64, (Due, AfterCount)>,
    pub(crate) due: BTreeMap<Due, Step>,
    pub(crate) serial: u64,
    pub(crate) wake_at: f64,
    pub(crate) ask_again: Backoff,
    pub(crate) round_at: f64,
    pub(crate) traced_at: f64,
    pub(crate) ask_share: f64,
    pub(crate) crowded: bool,
}

impl Admission {
    pub fn start(terms: AdmissionSettings, seed: u64, now: f64, out: &mut dyn Driver) -> Admission {
        let mut gateway = Admission {
            lanes: terms.classes.iter().map(Lane::of).collect(),
            ceilings: terms.plans.iter().map(|p| ceiling(p, terms.may_count)).collect(),
            tiers: terms.plans.iter().map(|p| tiers(p, terms.max_units)).collect(),
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
            ask_again: Backoff::default(),
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
    pub fn set_plans(&mut self, plans: Vec<PlanLimits>) {
        self.ceilings = plans.iter().map(|p| ceiling(p, self.terms.may_count)).collect();
        self.tiers = plans.iter().map(|p| tiers(p, self.terms.max_units)).collect();
        self.terms.plans = plans;
    }

    pub(crate) fn about(&self, id: u32) -> (u64, usize, f64) {
        let open = &self.open[&id];
        (open.customer, open.plan, open.units)
    }

    pub fn request_arrived(&mut self, now: f64, out: &mut dyn Driver, inquiry: Request) {
        self.now = now;
        let Request { id, class: lane, plan, customer, remaining: left, units, spread, .. } = inquiry;
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
}
