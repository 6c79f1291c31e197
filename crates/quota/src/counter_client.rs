//! The decision module at a data node, as the client of the quota counter.
//!
//! The module sends one add a request to the tenant's active burst tier of the counter, with the tiers and limits of
//! `docs/system.md`, "Quotas". It is given one placeholder host that always has room, so that its grant is the whole answer:
//! which host serves the request is decided by `archlink-balancer`. The module's own fallback without a counter is set to
//! admit nothing, since [`crate::local_share`] does that.
//!
//! Invariants: a request gets one verdict at most, and is granted only on a total from the counter.

use crate::pending_calls::CallResult;
use archlink_admission::admission::Admission;
use archlink_admission::interface::{
    AdmissionSettings, AttemptResult, CounterReply, DedupScope, Driver, Effect, HostEntry, HostListUpdate,
    Load, Outcome, PlanLimits, Request, RequestClass,
};
use archlink_messages::CounterAdd;
use std::collections::HashMap;

/// Latency target in seconds as the module sees it. It waits for a total for a twentieth of this: far below any route's
/// target, and long enough for a round trip to another region beside a busy counter.
const LATENCY_TARGET: f64 = 2.2;
/// Limit of adds without a result; a request beyond it counts as not answered.
const MAX_PENDING_ADDS: usize = 4096;
/// The placeholder host of the module.
const PLACEHOLDER_HOST: u64 = 1;
/// Seconds that an attempt at the placeholder host appears to take; the module wants some, and nothing depends on it.
const PLACEHOLDER_ELAPSED: f64 = 1e-3;
/// Requests, and requests a second, by which the module's rate limit lies above the counted quota. It has to lie above it
/// for the totals to keep the limit, and the difference is what the module admits without them: next to nothing. A limit
/// of 0 would be none.
const RATE_LIMIT_HEADROOM: f64 = 1e-9;

/// The counter's verdict on one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// Within the counted part of the quota.
    Granted,
    /// Beyond the counted part of the quota, or the counter does not reply; room is expected after this many seconds.
    Rejected(f64),
}

/// A tenant's quota as configured, and the part of it that the counter grants.
#[derive(Clone, Debug, PartialEq)]
pub struct Quota {
    /// Name of the tenant.
    pub tenant: String,
    /// Requests a second; 0 is no quota.
    pub rate: f64,
    /// Requests on top of the rate that may come at once.
    pub burst: f64,
    /// Fraction that the counter grants, see [`crate::local_share::QuotaBound::counted_fraction`].
    pub counted_fraction: f64,
}

/// What the module asked of its driver since it was last collected.
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
    fn start_attempt(&mut self, request_id: u32, _: u64, _: f64) {
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
    fn cancel_attempt(&mut self, _: u32, _: u16) {}
    fn probe(&mut self, _: u64) {}
    fn send_to_peers(&mut self, _: Option<u32>, _: &[u8]) {}
    fn subscribe(&mut self) {}
}

/// The counter client of one data node. All times are seconds on the fleet's clock, so that data nodes number their
/// windows alike.
pub struct CounterClient {
    module: Admission,
    effects: CollectedEffects,
    /// Index into `plans` of each tenant; it never changes.
    plan_of_tenant: HashMap<String, usize>,
    plans: Vec<PlanLimits>,
    last_request_id: u32,
    /// Adds that were taken to be sent and have no result yet.
    pending_adds: usize,
}

impl CounterClient {
    /// A client without quotas; `seed` is for the module's random draws.
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

    /// Sets the quotas in force. A tenant keeps its plan's index, and with it what is known of its use.
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

    /// Asks for one request of a tenant whose client waits `remaining` more seconds. The id returned is that of the
    /// verdict; `None` if the tenant has no quota.
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

    /// The client of a request has disconnected.
    pub fn client_disconnected(&mut self, now: f64, id: u32) {
        self.step(now, |module, effects| module.client_disconnected(now, effects, id));
    }

    /// Takes the adds to be sent now. Each has to be given back once to [`CounterClient::call_finished`], those of one key
    /// in the order in which they were taken.
    pub fn take_adds(&mut self) -> Vec<CounterAdd> {
        let adds = std::mem::take(&mut self.effects.adds);
        self.pending_adds += adds.len();
        adds
    }

    /// The result of adds that were taken. A total that is not finite says nothing: its add may have been counted.
    pub fn call_finished(&mut self, now: f64, result: CallResult) {
        let (adds, totals, without_total) = match result {
            CallResult::Totals(adds, totals) => (adds, totals, CounterReply::Unknown),
            CallResult::NotAdded(adds) => (adds, Vec::new(), CounterReply::NotAdded),
            CallResult::Unknown(adds) => (adds, Vec::new(), CounterReply::Unknown),
        };
        self.pending_adds = self.pending_adds.saturating_sub(adds.len());
        for (index, add) in adds.iter().enumerate() {
            let total = totals.get(index).filter(|total| total.is_finite());
            let reply = total.map_or(without_total, |&total| CounterReply::Total(total.into()));
            self.step(now, |module, effects| module.counter_replied(now, effects, add.key, reply));
        }
    }

    /// The counter replies again: the module need not find that out with a part of the requests.
    pub fn counter_recovered(&mut self) {
        self.module.counter_recovered();
    }

    /// Whether there are adds to be sent.
    pub fn has_adds(&self) -> bool {
        !self.effects.adds.is_empty()
    }

    /// Whether there is room for the add of another request.
    pub fn has_room(&self) -> bool {
        self.pending_adds + self.effects.adds.len() < MAX_PENDING_ADDS
    }

    /// The time of [`CounterClient::wake_at`] has come.
    pub fn timer_fired(&mut self, now: f64) {
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

    /// Takes the module's lines for the log.
    pub fn take_log_lines(&mut self) -> Vec<String> {
        std::mem::take(&mut self.effects.log_lines)
    }

    /// One input to the module. A grant ends the attempt at the placeholder host at once, so that its place is free again.
    fn step(&mut self, now: f64, input: impl FnOnce(&mut Admission, &mut CollectedEffects)) {
        self.effects.now = now;
        input(&mut self.module, &mut self.effects);
        while let Some(request_id) = self.effects.granted.pop() {
            self.effects.verdicts.push((request_id, Verdict::Granted));
            self.module.attempt_ended(now, &mut self.effects, placeholder_answer(request_id));
        }
    }
}

fn placeholder_answer(request_id: u32) -> AttemptResult {
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

/// The counted part of a quota as the module's limits.
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

/// The tenant's number in counter keys, which have 33 bits for it: the upper bits of an FNV-1a hash of the name.
fn customer_number(tenant: &str) -> u64 {
    const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0100_0000_01b3;
    const UNUSED_BITS: u32 = 64 - 33;
    let hash =
        tenant.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
    hash >> UNUSED_BITS
}

/// Settings of a module that only counts: one class, one attempt a request, no messages to peers, no probes.
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
