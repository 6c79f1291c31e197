//! The admission decisions of one gateway: whether a request is within its tenant's quota, which host gets it, when an
//! attempt is retried, and what the client is told.
//!
//! A driver creates an [`Admission`] with [`Admission::start`] and calls it with each event, in order, with its own
//! monotonic clock; each call acts through the [`Driver`] that it is given. An instance shares no state, does no I/O and
//! reads no clock: the same sequence of calls leads to the same actions.
//!
//! A request passes `request_arrived` -> `check_quota` -> `dispatch` -> `after_attempt` -> an answer. A step that has to
//! wait for the counter, a host or a timer is stored as a continuation (see `state`).
//!
//! The decisions are in `quota`, `tiers`, `marks`, `windows`, `accounting` (quotas), `counter_health` (load on the
//! counter), `host_list`, `host_selection`, `host_health` (hosts), `attempts` (retries and answers) and `timers`.

use crate::backoff::Backoff;
use crate::interface::*;
use crate::state::*;
use crate::tiers::{RateLimit, Tier, rate_limit, tiers};
use crate::timers::SWEEP_INTERVAL;
use crate::windows::SPREAD_OUT_ABOVE;
use std::collections::BTreeMap;

/// Retry policy of a request class: whether an attempt may be retried, on which hosts, and for how long.
pub(crate) struct ClassPolicy {
    pub(crate) latency_target: f64,
    /// Seconds from the arrival during which an answer has any value.
    pub(crate) useful_for: f64,
    /// Whether the gateway may send the request again after an attempt that may have run it.
    pub(crate) retryable: bool,
    pub(crate) dedup_scope: DedupScope,
    pub(crate) dedup_window: f64,
    /// Whether the client may be told to retry after an attempt that may have run the request.
    pub(crate) client_may_retry: bool,
}

impl ClassPolicy {
    pub(crate) fn of(class: &RequestClass) -> ClassPolicy {
        let (retryable, dedup_scope, dedup_window, client_may_retry) = match class.effect {
            Effect::Pure => (true, DedupScope::All, f64::INFINITY, true),
            Effect::Deduplicated => {
                (true, class.dedup_scope, class.dedup_window, class.dedup_scope == DedupScope::All)
            }
            Effect::Effectful => (false, DedupScope::All, 0.0, false),
        };
        let latency_target = class.latency_target.max(0.001);
        let useful_for = if class.late_value > 0.0 { f64::INFINITY } else { latency_target };
        ClassPolicy { latency_target, useful_for, retryable, dedup_scope, dedup_window, client_may_retry }
    }
}

/// The admission decisions of one gateway; see the module's documentation.
pub struct Admission {
    pub(crate) settings: AdmissionSettings,
    pub(crate) classes: Vec<ClassPolicy>,
    pub(crate) tiers: Vec<Vec<Tier>>,
    /// For each plan, how often its limits were replaced.
    pub(crate) plan_revisions: Vec<u64>,
    pub(crate) rate_limits: Vec<RateLimit>,
    pub(crate) now: f64,
    pub(crate) rng: oorandom::Rand64,
    pub(crate) hosts: BTreeMap<HostId, Host>,
    /// All hosts taken as one, adjusted by every answer. Its limit is a lower bound of the attempts in flight where this
    /// gateway's share of each single host's limit is below one.
    pub(crate) fleet: Host,
    /// The number of gateways that send to one host, this one included.
    pub(crate) gateways_per_host: f64,
    pub(crate) requests: BTreeMap<u32, OpenRequest>,
    /// Attempts in flight, by request and number of the attempt.
    pub(crate) attempts: BTreeMap<(u32, u16), InFlightAttempt>,
    pub(crate) customers: BTreeMap<u64, Customer>,
    pub(crate) counters: BTreeMap<u64, CounterEntry>,
    /// Counter calls that a request waits for, by serial number: the timeout's timer and the continuation.
    pub(crate) pending_calls: BTreeMap<u64, (TimerKey, CounterContinuation)>,
    pub(crate) timers: BTreeMap<TimerKey, TimerAction>,
    pub(crate) last_serial: u64,
    /// When the driver's timer is due.
    pub(crate) timer_at: f64,
    pub(crate) subscribe_backoff: Backoff,
    pub(crate) next_sweep_at: f64,
    pub(crate) ejections_logged_at: f64,
    /// The fraction of requests that ask the counter, 0 to 1.
    pub(crate) counter_call_fraction: f64,
    pub(crate) counter_degraded: bool,
}

impl Admission {
    /// Starts the decisions of one gateway. `seed` is that of its random numbers; `now` is in seconds on the driver's clock.
    pub fn start(settings: AdmissionSettings, seed: u64, now: f64, driver: &mut dyn Driver) -> Admission {
        let mut gateway = Admission {
            classes: settings.classes.iter().map(ClassPolicy::of).collect(),
            rate_limits: settings.plans.iter().map(|plan| rate_limit(plan, settings.may_count)).collect(),
            tiers: settings.plans.iter().map(|plan| tiers(plan, settings.max_units)).collect(),
            plan_revisions: vec![0; settings.plans.len()],
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
            settings,
        };
        if gateway.settings.must_subscribe {
            driver.subscribe();
        }
        gateway.arm_timer(driver);
        gateway
    }

    /// Replaces the plans' limits. Plans keep their indexes, and customers their recorded use; a plan that is left out has no
    /// limits any more. A request that waits for the counter under limits that are replaced is checked anew.
    pub fn set_plans(&mut self, mut plans: Vec<PlanLimits>) {
        plans.resize(plans.len().max(self.settings.plans.len()), PlanLimits::default());
        self.plan_revisions.resize(plans.len(), 0);
        let known = self.settings.plans.iter();
        for ((revision, before), after) in self.plan_revisions.iter_mut().zip(known).zip(&plans) {
            *revision += u64::from(before != after);
        }
        self.rate_limits = plans.iter().map(|plan| rate_limit(plan, self.settings.may_count)).collect();
        self.tiers = plans.iter().map(|plan| tiers(plan, self.settings.max_units)).collect();
        self.settings.plans = plans;
    }

    /// Customer, plan and units of an open request.
    pub(crate) fn quota_subject(&self, id: u32) -> (u64, usize, f64) {
        let open = &self.requests[&id];
        (open.customer, open.plan, open.units)
    }

    /// Handles a client's request: it leads to an attempt or a rejection, at once or when the counter has replied.
    pub fn request_arrived(&mut self, now: f64, driver: &mut dyn Driver, request: Request) {
        self.now = now;
        let Request { id, class, plan, customer, remaining, units, spread, .. } = request;
        let limits = &self.settings.plans[plan];
        let even_share = 1.0 / f64::from(spread.max(1));
        let new_customer = || Customer {
            last_seen: now,
            spread_out: spread > SPREAD_OUT_ABOVE,
            local_share: even_share,
            even_share,
            windows: [SlidingWindow {
                remaining_units: limits.burst,
                updated_at: now,
                ..SlidingWindow::default()
            }; 3],
            rate_limit_refilled_at: now,
            ..Customer::default()
        };
        self.customers.entry(customer).or_insert_with(new_customer).last_seen = now;
        let deadline = now + remaining;
        let useful_until = deadline.min(now + self.classes[class].useful_for);
        let counter_deadline = (now + 2.0 * self.counter_timeout()).min(deadline - 0.005);
        let open = OpenRequest {
            class,
            plan,
            customer,
            units,
            deadline,
            useful_until,
            counter_deadline,
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
