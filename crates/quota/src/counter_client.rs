//! The quota counter's client at a data node, which wraps the admission module (`archlink-admission`).
//!
//! For each request the module sends one add to the counter, for the tenant's active burst tier; `docs/system.md`, "Quotas",
//! describes the tiers and their limits. The module is given one placeholder host that always has capacity, so that its
//! decision depends on the quota alone; `archlink-balancer` selects the host that serves the request. The module's own
//! fallback without a counter is configured to admit nothing, because [`crate::local_share`] covers that case.
//!
//! Invariants: a request gets at most one verdict, and is granted only by a total from the counter.

use crate::pending_calls::CallResult;
use archlink_admission::admission::Admission;
use archlink_admission::interface::{
    AdmissionSettings, AttemptResult, CounterReply, DedupScope, Driver, Effect, HostEntry, HostListUpdate,
    Load, Outcome, PlanLimits, Request, RequestClass,
};
use archlink_messages::CounterAdd;
use std::collections::HashMap;

/// Latency target in seconds, as configured in the module, which waits a twentieth of it for a total. That is far below any
/// route's latency target, and long enough for a round trip to another region and a busy counter.
const LATENCY_TARGET: f64 = 2.2;
/// Maximum number of adds without a result. A request beyond it is treated as if the counter had not replied.
const MAX_PENDING_ADDS: usize = 4096;
/// The only entry of the module's host list.
const PLACEHOLDER_HOST: u64 = 1;
/// Seconds that an attempt on the placeholder host is reported to take. The module requires a duration; nothing depends on
/// its value.
const PLACEHOLDER_ELAPSED: f64 = 1e-3;
/// Requests, and requests per second, by which the module's rate limit exceeds the counted quota. The totals enforce the
/// limit only if it exceeds the quota, and the module admits the difference without them, so it is close to nothing. A limit
/// of 0 would mean no limit.
const RATE_LIMIT_HEADROOM: f64 = 1e-9;

/// The counter's verdict on one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// Within the counted part of the quota.
    Granted,
    /// Beyond the counted part of the quota, or the counter does not reply. A retry may succeed after this many seconds.
    Rejected(f64),
}

/// A tenant's quota as configured, and the fraction of it that the counter grants.
#[derive(Clone, Debug, PartialEq)]
pub struct Quota {
    /// Name of the tenant.
    pub tenant: String,
    /// Requests per second; 0 for no quota.
    pub rate: f64,
    /// Requests that may arrive at once, on top of the rate.
    pub burst: f64,
    /// Fraction that the counter grants, see [`crate::local_share::QuotaBound::counted_fraction`].
    pub counted_fraction: f64,
}

/// The module's driver: collects the effects that the module requests until the client takes them.
#[derive(Default)]
struct CollectedEffects {
    adds: Vec<CounterAdd>,
    granted: Vec<u32>,
    verdicts: Vec<(u32, Verdict)>,
    wake_at: Option<f64>,
    now: f64,
    log_lines: Vec<String>,
}

impl Driver for CollectedEffects {
    fn start_attempt(&mut self, request_id: u32, _host: u64, _until: f64) {
        self.granted.push(request_id);
    }
    fn reject(&mut self, request_id: u32, retry_after: f64) {
        self.verdicts.push((request_id, Verdict::Rejected(retry_after)));
    }
    fn abort(&mut self, request_id: u32) {
        self.verdicts.push((request_id, Verdict::Rejected(0.0)));
    }
    fn add_to_counter(&mut self, key: u64, amount: f64, lifetime: f64) {
        self.adds.push(CounterAdd { key, amount: amount as f32, lifetime: lifetime as f32 });
    }
    fn set_timer(&mut self, delay: f64) {
        self.wake_at = Some(self.now + delay);
    }
    fn log(&mut self, line: &str) {
        self.log_lines.push(line.to_string());
    }
    fn cancel_attempt(&mut self, _request_id: u32, _attempt: u16) {}
    fn probe(&mut self, _host: u64) {}
    fn send_to_peers(&mut self, _gateway: Option<u32>, _payload: &[u8]) {}
    fn subscribe(&mut self) {}
}

/// The counter client of one data node. All times are seconds on the cluster clock, so that all data nodes number their
/// windows alike.
pub struct CounterClient {
    module: Admission,
    effects: CollectedEffects,
    /// Index into `plans` for each tenant; it never changes.
    plan_of_tenant: HashMap<String, usize>,
    plans: Vec<PlanLimits>,
    last_request_id: u32,
    /// Number of adds that were taken for sending and have no result yet.
    pending_adds: usize,
}

impl CounterClient {
    /// A client without quotas. `seed` seeds the module's random draws.
    pub fn new(now: f64, seed: u64) -> CounterClient {
        let mut effects = CollectedEffects { now, ..CollectedEffects::default() };
        let mut module = Admission::start(module_settings(), seed, now, &mut effects);
        let host = HostEntry { host: PLACEHOLDER_HOST, size: 1.0, ..HostEntry::default() };
        module.host_list_updated(now, &mut effects, HostListUpdate::Full, &[host]);
        CounterClient {
            module,
            effects,
            plan_of_tenant: HashMap::new(),
            plans: Vec::new(),
            last_request_id: 0,
            pending_adds: 0,
        }
    }

    /// Begins anew, as after a restart of the process: adds and requests without a result are forgotten. Request ids are not
    /// assigned again. Quotas have to be set afterwards.
    pub fn reset(&mut self, now: f64, seed: u64) {
        let last_request_id = self.last_request_id;
        *self = CounterClient { last_request_id, ..CounterClient::new(now, seed) };
    }

    /// Replaces all quotas. A tenant keeps the index of its plan, and with it the recorded usage.
    pub fn set_quotas(&mut self, quotas: &[Quota]) {
        for plan in &mut self.plans {
            *plan = PlanLimits::default();
        }
        for quota in quotas {
            let next_index = self.plan_of_tenant.len();
            let index = *self.plan_of_tenant.entry(quota.tenant.clone()).or_insert(next_index);
            self.plans.resize(self.plan_of_tenant.len(), PlanLimits::default());
            self.plans[index] = plan_limits(quota);
        }
        self.module.set_plans(self.plans.clone());
    }

    /// Requests a verdict on one request of a tenant, whose client waits for `remaining` more seconds. Returns the id that
    /// the verdict will carry, or `None` if the tenant has no quota.
    pub fn request(&mut self, now: f64, tenant: &str, remaining: f64) -> Option<u32> {
        let &plan = self.plan_of_tenant.get(tenant)?;
        if self.plans[plan].rate <= 0.0 {
            return None;
        }
        self.last_request_id = self.last_request_id.wrapping_add(1);
        let id = self.last_request_id;
        let customer = customer_number(tenant);
        let request = Request { id, class: 0, plan, customer, remaining, units: 1.0, spread: 1, first: 0 };
        self.step(now, |module, effects| module.request_arrived(now, effects, request));
        Some(id)
    }

    /// Withdraws a request whose client has disconnected.
    pub fn client_disconnected(&mut self, now: f64, id: u32) {
        self.step(now, |module, effects| module.client_disconnected(now, effects, id));
    }

    /// Takes the adds that are due for sending. Each has to be passed to [`CounterClient::call_finished`] exactly once, and
    /// adds to the same key in the order in which they were taken.
    pub fn take_adds(&mut self) -> Vec<CounterAdd> {
        let adds = std::mem::take(&mut self.effects.adds);
        self.pending_adds += adds.len();
        adds
    }

    /// Processes the result of adds that were taken. A total that is not finite is treated as unknown, because its add may
    /// have been counted.
    pub fn call_finished(&mut self, now: f64, result: CallResult) {
        let (adds, totals, reply_without_total) = match result {
            CallResult::Totals(adds, totals) => (adds, totals, CounterReply::Unknown),
            CallResult::NotAdded(adds) => (adds, Vec::new(), CounterReply::NotAdded),
            CallResult::Unknown(adds) => (adds, Vec::new(), CounterReply::Unknown),
        };
        self.pending_adds = self.pending_adds.saturating_sub(adds.len());
        for (index, add) in adds.iter().enumerate() {
            let total = totals.get(index).filter(|total| total.is_finite());
            let reply = total.map_or(reply_without_total, |&total| CounterReply::Total(total.into()));
            self.step(now, |module, effects| module.counter_replied(now, effects, add.key, reply));
        }
    }

    /// Records that the counter replies again, so that the module need not test it with a fraction of the requests.
    pub fn counter_recovered(&mut self) {
        self.module.counter_recovered();
    }

    /// Whether there are adds to send.
    pub fn has_adds(&self) -> bool {
        !self.effects.adds.is_empty()
    }

    /// Whether the add of another request stays within the limit of pending adds.
    pub fn has_room(&self) -> bool {
        self.pending_adds + self.effects.adds.len() < MAX_PENDING_ADDS
    }

    /// Runs the module's timer; due at [`CounterClient::wake_at`]. A call before that time changes nothing: the module would
    /// ignore it and not set its timer again.
    pub fn timer_fired(&mut self, now: f64) {
        if self.effects.wake_at.is_none_or(|wake_at| now < wake_at) {
            return;
        }
        self.effects.wake_at = None;
        self.step(now, |module, effects| module.timer_fired(now, effects));
    }

    /// When to call [`CounterClient::timer_fired`].
    pub fn wake_at(&self) -> Option<f64> {
        self.effects.wake_at
    }

    /// Takes the verdicts since the last call, each with the id of its request.
    pub fn take_verdicts(&mut self) -> Vec<(u32, Verdict)> {
        std::mem::take(&mut self.effects.verdicts)
    }

    /// Takes the module's log lines since the last call.
    pub fn take_log_lines(&mut self) -> Vec<String> {
        std::mem::take(&mut self.effects.log_lines)
    }

    /// Passes one input to the module. The attempt of a granted request ends at once, so that the placeholder host keeps its
    /// capacity.
    fn step(&mut self, now: f64, input: impl FnOnce(&mut Admission, &mut CollectedEffects)) {
        self.effects.now = now;
        input(&mut self.module, &mut self.effects);
        while let Some(request_id) = self.effects.granted.pop() {
            self.effects.verdicts.push((request_id, Verdict::Granted));
            self.module.attempt_ended(now, &mut self.effects, placeholder_result(request_id));
        }
    }
}

/// The result of a successful attempt on the placeholder host.
fn placeholder_result(request_id: u32) -> AttemptResult {
    AttemptResult {
        request: request_id,
        attempt: 0,
        final_attempt: true,
        outcome: Outcome::Answered,
        elapsed: PLACEHOLDER_ELAPSED,
        true_units: 0.0,
        host: PLACEHOLDER_HOST,
        load: Load::default(),
    }
}

/// The module's limits for the counted part of a quota.
fn plan_limits(quota: &Quota) -> PlanLimits {
    let rate = quota.rate * quota.counted_fraction;
    let burst = quota.burst * quota.counted_fraction;
    PlanLimits {
        rate,
        burst,
        overage_cost: 1.0,
        rate_limit: rate * (1.0 + RATE_LIMIT_HEADROOM) + RATE_LIMIT_HEADROOM,
        rate_limit_burst: burst + RATE_LIMIT_HEADROOM,
        ..PlanLimits::default()
    }
}

/// The tenant's number in counter keys, which have 33 bits for it: the upper 33 bits of the FNV-1a hash of its name.
fn customer_number(tenant: &str) -> u64 {
    const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0100_0000_01b3;
    const UNUSED_BITS: u32 = 64 - 33;
    let hash =
        tenant.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
    hash >> UNUSED_BITS
}

/// Settings of a module that only counts: one class, one attempt per request, no messages to peers, no probes.
fn module_settings() -> AdmissionSettings {
    let class = RequestClass {
        latency_target: LATENCY_TARGET,
        client_timeout: LATENCY_TARGET,
        importance: 1.0,
        late_value: 1.0,
        effect: Effect::Effectful,
        dedup_scope: DedupScope::All,
        dedup_window: 0.0,
    };
    AdmissionSettings {
        classes: vec![class],
        plans: Vec::new(),
        gateways: 1,
        gateway_number: 0,
        zone: 0,
        may_count: true,
        count_timeout: LATENCY_TARGET,
        settles: false,
        max_units: 1.0,
        must_subscribe: false,
        max_subscribe_wait: 1.0,
        hosts_differ_in_capacity: false,
        max_attempts: 1,
        may_hedge: false,
        may_cancel: false,
        may_probe: false,
        may_message_peers: false,
        may_send_retry_after: true,
        max_retry_after: 1.0,
        drain_grace: 0.0,
        cold_capacity_share: 1.0,
        warm_up: 0.0,
        overload_multiple: 1.0,
        overload_duration: 0.0,
    }
}
