//! The decision module in the place where it asks: one inquiry a request, one add a request to the tenant's active tier,
//! tiers and marks as in the design, against the counter of the control plane. The module's own host is a stand-in that
//! always has room, and its grant is the answer: which host gets the request is decided elsewhere. Where the module would
//! decide alone it lets nothing on; that is `share`'s part. Must never answer a request twice, or grant what no total let on.

use crate::frames::Settled;
use archlink_admission::interface::{
    Counted, Effect, Ended, Group, HostLine, Inquiry, LaneTerms, Load, News, Outcome, Outward, PlanTerms,
    Terms,
};
use archlink_admission::logic::Gateway;
use archlink_messages::Add;
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
    adds: Vec<Add>,
    granted: Vec<u32>,
    verdicts: Vec<(u32, Verdict)>,
    wake: Option<f64>,
    now: f64,
    lines: Vec<String>,
}

impl Outward for Hands {
    fn hand_off(&mut self, inquiry: u32, _: u64, _: f64) {
        self.granted.push(inquiry);
    }
    fn push_back(&mut self, inquiry: u32, come_back_in: f64) {
        self.verdicts.push((inquiry, Verdict::Refused(come_back_in)));
    }
    fn terminate(&mut self, inquiry: u32) {
        self.verdicts.push((inquiry, Verdict::Refused(0.0)));
    }
    fn count(&mut self, name: u64, amount: f64, keep: f64) {
        self.adds.push(Add { name, amount: amount as f32, keep: keep as f32 });
    }
    fn wake(&mut self, after: f64) {
        self.wake = Some(self.now + after);
    }
    fn trace(&mut self, line: &str) {
        self.lines.push(line.to_string());
    }
    fn cancel(&mut self, _: u32, _: u16) {}
    fn probe(&mut self, _: u64) {}
    fn tell(&mut self, _: Option<u32>, _: &[u8]) {}
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
    module: Gateway,
    hands: Hands,
    plans: HashMap<String, usize>,
    terms: Vec<PlanTerms>,
    next: u32,
    /// Adds that were given out and are not settled.
    calls: usize,
}

fn plan(quota: &Quota) -> PlanTerms {
    let (rate, burst) = (quota.rate * quota.counted, quota.burst * quota.counted);
    // A ceiling that the totals keep, with nothing to let on alone.
    const NOTHING: f64 = 1e-9;
    let (ceiling_rate, ceiling_burst) = (rate * (1.0 + NOTHING) + NOTHING, burst + NOTHING);
    PlanTerms { rate, burst, over_costs: 1.0, ceiling_rate, ceiling_burst, ..PlanTerms::default() }
}

impl Asker {
    pub fn new(now: f64, seed: u64) -> Asker {
        let lane = LaneTerms {
            goal: GOAL,
            abandon: GOAL,
            importance: 1.0,
            late_worth: 1.0,
            effect: Effect::Effectful,
            group: Group::All,
            memory: 0.0,
        };
        let terms = Terms {
            lanes: vec![lane],
            plans: Vec::new(),
            gateways: 1,
            my_number: 0,
            my_zone: 0,
            may_count: true,
            count_timeout: GOAL,
            settles: false,
            most_units: 1.0,
            must_subscribe: false,
            ask_within: 1.0,
            sized: false,
            most_hand_offs: 1,
            second_copies: false,
            may_cancel: false,
            may_probe: false,
            may_tell: false,
            may_advise: true,
            most_advice: 1.0,
            drain_grace: 0.0,
            cold_from: 1.0,
            warm_up: 0.0,
            tip_multiple: 1.0,
            tip_for: 0.0,
        };
        let mut hands = Hands { now, ..Hands::default() };
        let mut module = Gateway::start(terms, seed, now, &mut hands);
        let host = HostLine { host: HOST, size: 1.0, ..HostLine::default() };
        module.list_news(now, &mut hands, News::Whole, &[host]);
        let (plans, terms) = (HashMap::new(), Vec::new());
        Asker { module, hands, plans, terms, next: 0, calls: 0 }
    }

    /// The quotas in force from now on. A tenant keeps its number, and with it what is known of its use.
    pub fn quotas(&mut self, quotas: &[Quota]) {
        for terms in &mut self.terms {
            *terms = PlanTerms::default();
        }
        for quota in quotas {
            let fresh = self.plans.len();
            let number = *self.plans.entry(quota.tenant.clone()).or_insert(fresh);
            self.terms.resize(self.plans.len(), PlanTerms::default());
            self.terms[number] = plan(quota);
        }
        self.module.replan(self.terms.clone());
    }

    fn call(&mut self, now: f64, step: impl FnOnce(&mut Gateway, &mut Hands)) {
        self.hands.now = now;
        step(&mut self.module, &mut self.hands);
        // A grant is the end of an inquiry here: its place is given back at once.
        while let Some(inquiry) = self.hands.granted.pop() {
            self.hands.verdicts.push((inquiry, Verdict::Granted));
            let load = Load::default();
            let (outcome, took, true_units) = (Outcome::Honoured, 1e-3, 0.0);
            let ended = Ended { inquiry, nth: 0, over: true, outcome, took, true_units, host: HOST, load };
            self.module.ended(now, &mut self.hands, ended);
        }
    }

    /// Asks for one request of a tenant, whose client waits `left` seconds; the number is that of the verdict. None where
    /// the tenant has no quota.
    pub fn ask(&mut self, now: f64, tenant: &str, left: f64) -> Option<u32> {
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
        let inquiry = Inquiry { id, lane: 0, plan, customer, left, units: 1.0, spread: 1, first: 0 };
        self.call(now, |module, hands| module.arrived(now, hands, inquiry));
        Some(id)
    }

    /// The client of an inquiry has left.
    pub fn left(&mut self, now: f64, id: u32) {
        self.call(now, |module, hands| module.left(now, hands, id));
    }

    /// Adds to be sent now; each comes back once, settled, and those of one name in the order of these calls.
    pub fn adds(&mut self) -> Vec<Add> {
        let adds = std::mem::take(&mut self.hands.adds);
        self.calls += adds.len();
        adds
    }

    /// What became of adds. A total that is no number says nothing: its add may have been counted.
    pub fn settled(&mut self, now: f64, settled: Settled) {
        let (adds, totals, otherwise) = match settled {
            Settled::Totals(adds, totals) => (adds, totals, Counted::MayBeAdded),
            Settled::NotAdded(adds) => (adds, Vec::new(), Counted::NotAdded),
            Settled::MayBeAdded(adds) => (adds, Vec::new(), Counted::MayBeAdded),
        };
        self.calls = self.calls.saturating_sub(adds.len());
        for (n, add) in adds.iter().enumerate() {
            let total = totals.get(n).filter(|total| total.is_finite());
            let answer = total.map_or(otherwise, |&total| Counted::Total(total.into()));
            self.call(now, |module, hands| module.counted(now, hands, add.name, answer));
        }
    }

    /// The counter answers again: nobody has to find that out by a part of the requests.
    pub fn back(&mut self) {
        self.module.counter_is_back();
    }

    /// Is there anything to be sent?
    pub fn has_adds(&self) -> bool {
        !self.hands.adds.is_empty()
    }

    /// Is there room for more calls?
    pub fn has_room(&self) -> bool {
        self.calls + self.hands.adds.len() < MOST_CALLS
    }

    pub fn woken(&mut self, now: f64) {
        self.hands.wake = None;
        self.call(now, |module, hands| module.woken(now, hands));
    }

    /// When to call `woken`.
    pub fn wake_at(&self) -> Option<f64> {
        self.hands.wake
    }

    pub fn verdicts(&mut self) -> Vec<(u32, Verdict)> {
        std::mem::take(&mut self.hands.verdicts)
    }

    /// Lines for the log.
    pub fn lines(&mut self) -> Vec<String> {
        std::mem::take(&mut self.hands.lines)
    }
}
