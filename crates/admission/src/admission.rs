//! The admission decisions of one gateway: whether a request is within its tenant's quota, which host gets it, when an
//! attempt is retried, and what the client is told.
//!
//! A driver creates an [`Admission`] with [`Admission::start`] and calls it with each event, in order, with its own
//! monotonic clock; each call acts through the [`Driver`] that it is given. An instance shares nothing, does no I/O and
//! reads no clock: the same calls lead to the same actions.
//!
//! A request passes `request_arrived` -> `check_quota` -> `dispatch` -> `after_attempt` -> an answer. What waits for the
//! counter, for a host or for a timer is kept as a continuation (see `state`).
//!
//! Decisions: `quota`, `tiers`, `windows`, `accounting` (quotas), `host_list`, `host_selection`, `host_health` (hosts),
//! `attempts` (retries and answers), `timers`.

use crate::backoff::Backoff;
use crate::interface::*;
use crate::state::*;
use crate::tiers::{Tier, rate_limit, tiers};
use crate::timers::SWEEP_INTERVAL;
use crate::windows::SPREAD_OUT_FROM;
use std::collections::BTreeMap;

/// What a request class allows: whether an attempt may be retried, where, and for how long.
pub(crate) struct ClassPolicy {
    pub(crate) latency_target: f64,
    pub(crate) useful_for: f64,
    pub(crate) repeatable: bool,
    pub(crate) dedup_scope: DedupScope,
    pub(crate) dedup_window: f64,
    pub(crate) rejectable: bool,
}

impl ClassPolicy {
    pub(crate) fn of(terms: &RequestClass) -> ClassPolicy {
        let (repeatable, dedup_scope, dedup_window, rejectable) = match terms.effect {
            Effect::Pure => (true, DedupScope::All, f64::INFINITY, true),
            Effect::Receipted => {
                (true, terms.dedup_scope, terms.dedup_window, terms.dedup_scope == DedupScope::All)
            }
            Effect::Effectful => (false, DedupScope::All, 0.0, false),
        };
        let latency_target = terms.latency_target.max(0.001);
        let useful_for = if terms.late_value > 0.0 { f64::INFINITY } else { latency_target };
        ClassPolicy { latency_target, useful_for, repeatable, dedup_scope, dedup_window, rejectable }
    }
}
/// The admission decisions of one gateway; see the module's documentation.
pub struct Admission {
    pub(crate) settings: AdmissionSettings,
    pub(crate) classes: Vec<ClassPolicy>,
    pub(crate) tiers: Vec<Vec<Tier>>,
    pub(crate) rate_limits: Vec<(bool, f64, f64)>,
    pub(crate) now: f64,
    pub(crate) rng: oorandom::Rand64,
    pub(crate) hosts: BTreeMap<HostId, Host>,
    /// All hosts as one, adjusted by every answer: the lower bound of what may be in flight where one host's part is below one.
    pub(crate) fleet: Host,
    /// Gateways that send to one host, this one included.
    pub(crate) gateways_per_host: f64,
    pub(crate) requests: BTreeMap<u32, OpenRequest>,
    pub(crate) attempts: BTreeMap<(u32, u16), (TimerKey, usize, AttemptContinuation)>,
    pub(crate) customers: BTreeMap<u64, Customer>,
    pub(crate) counters: BTreeMap<u64, CounterEntry>,
    pub(crate) pending_calls: BTreeMap<u64, (TimerKey, CounterContinuation)>,
    pub(crate) timers: BTreeMap<TimerKey, TimerAction>,
    pub(crate) last_serial: u64,
    pub(crate) timer_at: f64,
    pub(crate) subscribe_backoff: Backoff,
    pub(crate) next_sweep_at: f64,
    pub(crate) ejections_logged_at: f64,
    pub(crate) counter_call_fraction: f64,
    pub(crate) counter_degraded: bool,
}

impl Admission {
    /// Starts a gateway. `seed` of its random numbers; `now` in seconds on the driver's clock.
    pub fn start(terms: AdmissionSettings, seed: u64, now: f64, driver: &mut dyn Driver) -> Admission {
        let mut gateway = Admission {
            classes: terms.classes.iter().map(ClassPolicy::of).collect(),
            rate_limits: terms.plans.iter().map(|p| rate_limit(p, terms.may_count)).collect(),
            tiers: terms.plans.iter().map(|p| tiers(p, terms.max_units)).collect(),
            now,
            rng: oorandom::Rand64::new(u128::from(seed)),
            hosts: BTreeMap::new(),
            fleet: Host { limit: 3.0, ..Host::default() },
            gateways_per_host: 1.0,
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            customers: BTreeMap::new(),
            counters: BTreeMap::new(),
            pending_calls: BTreeMap::new(),
            timers: BTreeMap::new(),
            last_serial: 0,
            timer_at: f64::INFINITY,
            subscribe_backoff: Backoff::default(),
            next_sweep_at: now + SWEEP_INTERVAL,
            ejections_logged_at: 0.0,
            counter_call_fraction: 1.0,
            counter_degraded: false,
            settings: terms,
        };
        if gateway.settings.must_subscribe {
            driver.subscribe();
        }
        gateway.arm_timer(driver);
        gateway
    }

    /// Replaces the plans' limits. Plans keep their indexes, customers what is known of their use.
    pub fn set_plans(&mut self, plans: Vec<PlanLimits>) {
        self.rate_limits = plans.iter().map(|p| rate_limit(p, self.settings.may_count)).collect();
        self.tiers = plans.iter().map(|p| tiers(p, self.settings.max_units)).collect();
        self.settings.plans = plans;
    }

    pub(crate) fn quota_subject(&self, id: u32) -> (u64, usize, f64) {
        let open = &self.requests[&id];
        (open.customer, open.plan, open.units)
    }

    /// A client's request: leads to an attempt, or to a rejection, at once or when the counter replied.
    pub fn request_arrived(&mut self, now: f64, driver: &mut dyn Driver, request: Request) {
        self.now = now;
        let Request { id, class, plan, customer, remaining: left, units, spread, .. } = request;
        let terms = &self.settings.plans[plan];
        let share = 1.0 / f64::from(spread.max(1));
        let fresh = || Customer {
            last_seen: now,
            spread_out: spread > SPREAD_OUT_FROM,
            local_share: share,
            even_share: share,
            windows: [SlidingWindow { room: terms.burst, updated_at: now, ..SlidingWindow::default() }; 3],
            rate_limit_refilled_at: now,
            ..Customer::default()
        };
        self.customers.entry(customer).or_insert_with(fresh).last_seen = now;
        let until = now + left;
        let of_use = until.min(now + self.classes[class].useful_for);
        let count_by = (now + 2.0 * self.counter_timeout()).min(until - 0.005);
        let open = OpenRequest {
            class,
            plan,
            customer,
            units,
            deadline: until,
            useful_until: of_use,
            counter_deadline: count_by,
            ..OpenRequest::default()
        };
        self.requests.insert(id, open);
        match self.has_capacity(class) {
            true => self.check_quota(driver, id),
            false => self.reject_overloaded(driver, id),
        }
        self.arm_timer(driver);
    }
}
