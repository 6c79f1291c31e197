//! The decision module in the place where it asks: one inquiry a request, one add a request to the tenant's active tier,
//! tiers and marks as in the design, against the counter of the control plane. The module's own host is a stand-in that
//! always has room, and its grant is the answer: which host gets the request is decided elsewhere. Where the module would
//! decide alone it lets nothing on; that is `share`'s part. Must never answer a request twice, or grant what no total let on.

use crate::pending_calls::CallResult;
use archlink_admission::admission::Admission;
use archlink_admission::interface::{
    AdmissionSettings, AttemptResult, CounterReply, DedupScope, Driver, Effect, HostEntry, HostListUpdate,
    Load, Outcome, PlanLimits, Request, RequestClass,
};
use archlink_messages::CounterAdd;
use std::collections::HashMap;

/// The wait for a total follows from this as a twentieth of it: far under any goal time, and long enough for the way to
/// another region and back beside a busy counter.
const GOAL: f64 = 2.2;
/// Calls out at most; a further one counts as not answered.
const MOST_CALLS: usize = 4096;
const HOST: u64 = 1;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    Granted,
    /// Beyond the counted part of the quota, or the counter is silent; room is expected after so many seconds.
    Refused(f64),
}

#[derive(Default)]
struct Hands {
    adds: Vec<CounterAdd>,
    granted: Vec<u32>,
    verdicts: Vec<(u32, Verdict)>,
    wake: Option<f64>,
    now: f64,
    lines: Vec<String>,
}

impl Driver for Hands {
    fn start_attempt(&mut self, inquiry: u32, _: u64, _: f64) {
        self.granted.push(inquiry);
    }
    fn reject(&mut self, inquiry: u32, come_back_in: f64) {
        self.verdicts.push((inquiry, Verdict::Refused(come_back_in)));
    }
    fn abort(&mut self, inquiry: u32) {
        self.verdicts.push((inquiry, Verdict::Refused(0.0)));
    }
    fn add_to_counter(&mut self, name: u64, amount: f64, keep: f64) {
        self.adds.push(CounterAdd { key: name, amount: amount as f32, lifetime: keep as f32 });
    }
    fn set_timer(&mut self, after: f64) {
        self.wake = Some(self.now + after);
    }
    fn log(&mut self, line: &str) {
        self.lines.push(line.to_string());
    }
    fn cancel_attempt(&mut self, _: u32, _: u16) {}
    fn probe(&mut self, _: u64) {}
    fn send_to_peers(&mut self, _: Option<u32>, _: &[u8]) {}
    fn subscribe(&mut self) {}
}

/// A tenant's quota as the configuration has it, and the part of it that the counter grants; `rate` 0 is none.
#[derive(Clone, Debug, PartialEq)]
pub struct Quota {
    pub tenant: String,
    pub rate: f64,
    pub burst: f64,
    pub counted: f64,
}

/// All times are on the fleet's clock, so that gateways number their windows alike.
pub struct Asker {
    module: Admission,
    hands: Hands,
    plans: HashMap<String, usize>,
    terms: Vec<PlanLimits>,
    next: u32,
    /// Adds that were given out and are not settled.
    calls: usize,
}

fn plan(quota: &Quota) -> PlanLimits {
    let (rate, burst) = (quota.rate * quota.counted, quota.burst * quota.counted);
    // A ceiling that the totals keep, with nothing to let on alone.
    const NOTHING: f64 = 1e-9;
    let (ceiling_rate, ceiling_burst) = (rate * (1.0 + NOTHING) + NOTHING, burst + NOTHING);
    PlanLimits {
        rate,
        burst,
        overage_cost: 1.0,
        rate_limit: ceiling_rate,
        rate_limit_burst: ceiling_burst,
        ..PlanLimits::default()
    }
}

impl Asker {
    pub fn new(now: f64, seed: u64) -> Asker {
        let lane = RequestClass {
            latency_target: GOAL,
            client_timeout: GOAL,
            importance: 1.0,
            late_value: 1.0,
            effect: Effect::Effectful,
            dedup_scope: DedupScope::All,
            dedup_window: 0.0,
        };
        let terms = AdmissionSettings {
            classes: vec![lane],
            plans: Vec::new(),
            gateways: 1,
            gateway_number: 0,
            zone: 0,
            may_count: true,
            count_timeout: GOAL,
            settles: false,
            max_units: 1.0,
            must_subscribe: false,
            ask_within: 1.0,
            sized: false,
            max_attempts: 1,
            may_hedge: false,
            may_cancel: false,
            may_probe: false,
            may_message_peers: false,
            may_advise: true,
            max_retry_after: 1.0,
            drain_grace: 0.0,
            cold_from: 1.0,
            warm_up: 0.0,
            tip_multiple: 1.0,
            tip_for: 0.0,
        };
        let mut hands = Hands { now, ..Hands::default() };
        let mut module = Admission::start(terms, seed, now, &mut hands);
        let host = HostEntry { host: HOST, size: 1.0, ..HostEntry::default() };
        module.host_list_updated(now, &mut hands, HostListUpdate::Full, &[host]);
        let (plans, terms) = (HashMap::new(), Vec::new());
        Asker { module, hands, plans, terms, next: 0, calls: 0 }
    }

    /// The quotas in force from now on. A tenant keeps its number, and with it what is known of its use.
    pub fn quotas(&mut self, quotas: &[Quota]) {
        for terms in &mut self.terms {
            *terms = PlanLimits::default();
        }
        for quota in quotas {
            let fresh = self.plans.len();
            let number = *self.plans.entry(quota.tenant.clone()).or_insert(fresh);
            self.terms.resize(self.plans.len(), PlanLimits::default());
            self.terms[number] = plan(quota);
        }
        self.module.set_plans(self.terms.clone());
    }

    fn call(&mut self, now: f64, step: impl FnOnce(&mut Admission, &mut Hands)) {
        self.hands.now = now;
        step(&mut self.module, &mut self.hands);
        // A grant is the end of an inquiry here: its place is given back at once.
        while let Some(inquiry) = self.hands.granted.pop() {
            self.hands.verdicts.push((inquiry, Verdict::Granted));
            let load = Load::default();
            let (outcome, took, true_units) = (Outcome::Answered, 1e-3, 0.0);
            let ended = AttemptResult {
                request: inquiry,
                attempt: 0,
                final_attempt: true,
                outcome,
                elapsed: took,
                true_units,
                host: HOST,
                load,
            };
            self.module.attempt_ended(now, &mut self.hands, ended);
        }
    }

    /// Asks for one request of a tenant, whose client waits `left` seconds; the number is that of the verdict. None where
    /// the tenant has no quota.
    pub fn request(&mut self, now: f64, tenant: &str, left: f64) -> Option<u32> {
        let &plan = self.plans.get(tenant)?;
        if self.terms[plan].rate <= 0.0 {
            return None;
        }
        self.next = self.next.wrapping_add(1);
        let id = self.next;
        // Names of the counter have 33 bits for the customer.
        let customer = tenant.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |sum, byte| {
            (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        }) >> 31;
        let inquiry =
            Request { id, class: 0, plan, customer, remaining: left, units: 1.0, spread: 1, first: 0 };
        self.call(now, |module, hands| module.request_arrived(now, hands, inquiry));
        Some(id)
    }

    /// The client of an inquiry has left.
    pub fn client_disconnected(&mut self, now: f64, id: u32) {
        self.call(now, |module, hands| module.client_disconnected(now, hands, id));
    }

    /// Adds to be sent now; each comes back once, settled, and those of one name in the order of these calls.
    pub fn take_adds(&mut self) -> Vec<CounterAdd> {
        let adds = std::mem::take(&mut self.hands.adds);
        self.calls += adds.len();
        adds
    }

    /// What became of adds. A total that is no number says nothing: its add may have been counted.
    pub fn call_finished(&mut self, now: f64, settled: CallResult) {
        let (adds, totals, otherwise) = match settled {
            CallResult::Totals(adds, totals) => (adds, totals, CounterReply::Unknown),
            CallResult::NotAdded(adds) => (adds, Vec::new(), CounterReply::NotAdded),
            CallResult::Unknown(adds) => (adds, Vec::new(), CounterReply::Unknown),
        };
        self.calls = self.calls.saturating_sub(adds.len());
        for (n, add) in adds.iter().enumerate() {
            let total = totals.get(n).filter(|total| total.is_finite());
            let answer = total.map_or(otherwise, |&total| CounterReply::Total(total.into()));
            self.call(now, |module, hands| module.counter_replied(now, hands, add.key, answer));
        }
    }

    /// The counter answers again: nobody has to find that out by a part of the requests.
    pub fn counter_recovered(&mut self) {
        self.module.counter_recovered();
    }

    /// Is there anything to be sent?
    pub fn has_adds(&self) -> bool {
        !self.hands.adds.is_empty()
    }

    /// Is there room for more calls?
    pub fn has_room(&self) -> bool {
        self.calls + self.hands.adds.len() < MOST_CALLS
    }

    pub fn timer_fired(&mut self, now: f64) {
        self.hands.wake = None;
        self.call(now, |module, hands| module.timer_fired(now, hands));
    }

    /// When to call `woken`.
    pub fn wake_at(&self) -> Option<f64> {
        self.hands.wake
    }

    pub fn take_verdicts(&mut self) -> Vec<(u32, Verdict)> {
        std::mem::take(&mut self.hands.verdicts)
    }

    /// Lines for the log.
    pub fn take_log_lines(&mut self) -> Vec<String> {
        std::mem::take(&mut self.hands.lines)
    }
}
