//! The one helper of all tests: a world that hands events to a gateway, and the plain model of the rules that
//! watches each action. The world answers nothing by itself; a test says how each hand-off and call ends.

use archlink_admission::admission::Admission;
use archlink_admission::interface::*;
use std::collections::{BTreeMap, VecDeque};

pub const HOST: HostId = 100;

pub fn lane(effect: Effect, group: DedupScope) -> RequestClass {
    RequestClass {
        latency_target: 0.8,
        client_timeout: 2.5,
        importance: 1.0,
        late_value: 1.0,
        effect,
        dedup_scope: group,
        dedup_window: 0.3,
    }
}

pub fn terms() -> AdmissionSettings {
    AdmissionSettings {
        classes: vec![
            lane(Effect::Pure, DedupScope::All),
            lane(Effect::Receipted, DedupScope::Cell),
            lane(Effect::Effectful, DedupScope::All),
            lane(Effect::Receipted, DedupScope::All),
        ],
        plans: vec![
            PlanLimits { rate: 5.0, burst: 20.0, price: 1.0, overage_cost: 1.0, ..PlanLimits::default() },
            PlanLimits::default(),
            PlanLimits { rate_limit: 4.0, rate_limit_burst: 12.0, price: 1.0, ..PlanLimits::default() },
            PlanLimits { rate: 2.0, burst: 1.5, price: 1.0, ..PlanLimits::default() },
        ],
        gateways: 2,
        gateway_number: 0,
        zone: 0,
        may_count: true,
        count_timeout: 0.08,
        settles: false,
        max_units: 4.0,
        must_subscribe: false,
        ask_within: 10.0,
        sized: false,
        max_attempts: 4,
        may_hedge: false,
        may_cancel: true,
        may_probe: true,
        may_message_peers: false,
        may_advise: true,
        max_retry_after: 1.0,
        drain_grace: 1.0,
        cold_from: 0.2,
        warm_up: 15.0,
        tip_multiple: 2.5,
        tip_for: 2.0,
    }
}

pub fn line(n: u64, standing: HostState, started: f64) -> HostEntry {
    let (zone, cell) = ((n % 2) as u8, (n % 3) as u16);
    HostEntry { host: HOST + n, zone, kind: 0, cell, state: standing, size: 1.0, started }
}

#[derive(Clone, Debug)]
pub struct HandOff {
    pub host: HostId,
    pub at: f64,
    pub ended: Option<Outcome>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Honoured,
    PushedBack(f64),
    Terminated,
    Left,
}

#[derive(Clone, Debug)]
pub struct Taken {
    pub inquiry: Request,
    pub until: f64,
    pub hand_offs: Vec<HandOff>,
    pub answer: Option<Answer>,
}

/// The rules, written out plainly from the wire page. Each action is looked at when it is made.
pub struct Rules {
    pub terms: AdmissionSettings,
    pub now: f64,
    pub taken: BTreeMap<u32, Taken>,
    pub lines: BTreeMap<HostId, (HostEntry, f64)>,
    pub broken: Vec<String>,
    pub calls: BTreeMap<u64, VecDeque<(f64, f64)>>,
    pub probes: Vec<HostId>,
    pub cancels: Vec<(u32, u16)>,
    pub wakes: Vec<f64>,
    /// When the list was asked for.
    pub asked: Vec<f64>,
    sent_on: BTreeMap<u64, f64>,
}

fn never_ran(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::NeverSent)
}

impl Rules {
    fn may_push_back(&self, taken: &Taken) -> bool {
        let lane = &self.terms.classes[taken.inquiry.class];
        let clean = taken.hand_offs.iter().all(|h| h.ended.is_some_and(never_ran));
        clean
            || lane.effect == Effect::Pure
            || (lane.effect == Effect::Receipted && lane.dedup_scope == DedupScope::All)
    }

    /// What is wrong with a hand-off of this inquiry to this host now, if anything.
    pub fn against(&self, id: u32, host: HostId) -> Option<&'static str> {
        let taken = self.taken.get(&id)?;
        let lane = &self.terms.classes[taken.inquiry.class];
        let Some((line, told)) = self.lines.get(&host) else { return Some("unknown host") };
        let away = line.state != HostState::Ready && self.now > told + self.terms.drain_grace;
        let live = taken.hand_offs.iter().any(|h| h.ended.is_none());
        let ran: Vec<&HandOff> = taken.hand_offs.iter().filter(|h| !h.ended.is_some_and(never_ran)).collect();
        let same = |a: &HandOff| match (lane.dedup_scope, &self.lines[&a.host].0) {
            (DedupScope::All, _) => true,
            (DedupScope::Zone, other) => other.zone == line.zone,
            (DedupScope::Cell, other) => other.cell == line.cell,
        };
        let late = |a: &HandOff| self.now > a.at + lane.dedup_window;
        match lane.effect {
            _ if taken.answer.is_some() => Some("sent after its answer"),
            _ if self.now > taken.until => Some("sent after its time"),
            _ if away => Some("sent to a draining host"),
            _ if live && !self.terms.may_hedge => Some("two copies out"),
            _ if taken.hand_offs.len() >= self.terms.max_attempts as usize => Some("too many hand-offs"),
            Effect::Effectful if !ran.is_empty() => Some("effect twice"),
            Effect::Receipted if ran.iter().any(|a| !same(a)) => Some("repeat outside its group"),
            Effect::Receipted if ran.iter().any(|a| late(a)) => Some("repeat after its memory"),
            _ => None,
        }
    }

    fn answer(&mut self, id: u32, answer: Answer) {
        let Some(taken) = self.taken.get(&id) else { return self.broken.push(format!("{id} unknown")) };
        let allowed = match answer {
            _ if taken.answer.is_some() => Err("second answer"),
            Answer::PushedBack(_) if !self.may_push_back(taken) => Err("pushed back what may have run"),
            Answer::Terminated if self.now + 0.01 < taken.until && self.may_push_back(taken) => {
                Err("terminated what could be pushed back")
            }
            _ => Ok(()),
        };
        if let Err(what) = allowed {
            self.broken.push(format!("{id}: {what}"));
        }
        self.taken.entry(id).and_modify(|t| t.answer = Some(answer));
    }
}

impl Driver for Rules {
    fn start_attempt(&mut self, id: u32, host: HostId, _until: f64) {
        if let Some(what) = self.against(id, host) {
            self.broken.push(format!("{id} to {host}: {what}"));
        }
        let Some(taken) = self.taken.get_mut(&id) else { return };
        let Request { customer, units, plan, spread, .. } = taken.inquiry;
        let plan = &self.terms.plans[plan];
        if taken.hand_offs.is_empty() && plan.rate_limit > 0.0 {
            let sum = self.sent_on.entry(customer).or_insert(0.0);
            *sum += units;
            if *sum > (plan.rate_limit_burst + plan.rate_limit * self.now) / f64::from(spread) + 1e-6 {
                self.broken.push(format!("{id}: more than an even part of a ceiling that no quota keeps"));
            }
        }
        taken.hand_offs.push(HandOff { host, at: self.now, ended: None });
    }
    fn cancel_attempt(&mut self, inquiry: u32, nth: u16) {
        self.cancels.push((inquiry, nth));
    }
    fn reject(&mut self, id: u32, come_back_in: f64) {
        self.answer(id, Answer::PushedBack(come_back_in));
    }
    fn abort(&mut self, id: u32) {
        self.answer(id, Answer::Terminated);
    }
    fn probe(&mut self, host: HostId) {
        self.probes.push(host);
    }
    fn add_to_counter(&mut self, name: u64, amount: f64, keep: f64) {
        self.calls.entry(name).or_default().push_back((amount, keep));
    }
    fn send_to_peers(&mut self, _gateway: Option<u32>, _words: &[u8]) {}
    fn subscribe(&mut self) {
        self.asked.push(self.now);
    }
    fn set_timer(&mut self, after: f64) {
        self.wakes.push(self.now + after);
    }
    fn log(&mut self, _line: &str) {}
}

pub struct World {
    pub rules: Rules,
    pub gateway: Admission,
    /// The counter's names: total, and when it is forgotten.
    pub totals: BTreeMap<u64, (f64, f64)>,
    pub next: u32,
    pub spread: u32,
}

impl World {
    pub fn new(terms: AdmissionSettings, hosts: u64) -> World {
        let mut rules = Rules {
            terms: terms.clone(),
            now: 0.0,
            taken: BTreeMap::new(),
            lines: BTreeMap::new(),
            broken: Vec::new(),
            calls: BTreeMap::new(),
            probes: Vec::new(),
            cancels: Vec::new(),
            wakes: Vec::new(),
            asked: Vec::new(),
            sent_on: BTreeMap::new(),
        };
        let gateway = Admission::start(terms, 7, 0.0, &mut rules);
        let mut world = World { rules, gateway, totals: BTreeMap::new(), next: 0, spread: 2 };
        world.spread = if world.rules.terms.gateways > 100 { 5000 } else { 2 };
        let lines: Vec<HostEntry> = (0..hosts).map(|n| line(n, HostState::Ready, 0.0)).collect();
        world.list(HostListUpdate::Cached, &lines);
        world
    }

    pub fn list(&mut self, news: HostListUpdate, lines: &[HostEntry]) {
        let now = self.rules.now;
        for line in lines {
            let told = (line.clone(), now);
            let known = self.rules.lines.entry(line.host).or_insert_with(|| told.clone());
            if known.0.state != line.state || known.0.started != line.started {
                *known = told;
            }
        }
        self.gateway.host_list_updated(now, &mut self.rules, news, lines);
    }

    pub fn arrive(&mut self, lane: usize, plan: usize, customer: u64, units: f64, left: f64) -> u32 {
        self.next += 1;
        let id = self.next;
        let inquiry = Request {
            id,
            class: lane,
            plan,
            customer,
            remaining: left,
            units,
            spread: self.spread,
            first: 0,
        };
        let (now, until) = (self.rules.now, self.rules.now + left);
        let taken = Taken { inquiry: inquiry.clone(), until, hand_offs: Vec::new(), answer: None };
        self.rules.taken.insert(id, taken);
        self.gateway.request_arrived(now, &mut self.rules, inquiry);
        id
    }

    /// Ends hand-off `nth` of an inquiry; a first honoured one is its answer.
    pub fn end(&mut self, id: u32, nth: usize, outcome: Outcome) {
        let now = self.rules.now;
        let Some(taken) = self.rules.taken.get_mut(&id) else { return };
        let Some(hand_off) = taken.hand_offs.get_mut(nth).filter(|h| h.ended.is_none()) else { return };
        hand_off.ended = Some(outcome);
        let (host, took) = (hand_off.host, now - hand_off.at);
        if outcome == Outcome::Answered && taken.answer.is_none() {
            taken.answer = Some(Answer::Honoured);
        }
        let (over, nth, load) = (taken.answer.is_some(), nth as u16, Load::default());
        let ended = AttemptResult {
            request: id,
            attempt: nth,
            final_attempt: over,
            outcome,
            elapsed: took,
            true_units: 0.0,
            host,
            load,
        };
        self.gateway.attempt_ended(now, &mut self.rules, ended);
        while let Some((id, nth)) = self.rules.cancels.pop() {
            self.end(id, usize::from(nth), Outcome::Cancelled);
        }
    }

    /// Answers the oldest call to a name; a good answer comes from the totals.
    pub fn count(&mut self, name: u64, well: Option<bool>) {
        let Some((amount, keep)) = self.rules.calls.get_mut(&name).and_then(VecDeque::pop_front) else {
            return;
        };
        let now = self.rules.now;
        self.totals.retain(|_, t| t.1 > now);
        let (total, _) = self.totals.entry(name).or_insert((0.0, now + keep));
        *total += if well == Some(false) { 0.0 } else { amount };
        let answer = match well {
            Some(true) => CounterReply::Total(*total),
            Some(false) => CounterReply::NotAdded,
            None => CounterReply::Unknown,
        };
        self.gateway.counter_replied(self.rules.now, &mut self.rules, name, answer);
    }

    pub fn count_all(&mut self) {
        while let Some(name) = self.rules.calls.iter().find(|c| !c.1.is_empty()).map(|c| *c.0) {
            self.count(name, Some(true));
        }
    }

    /// Time goes on: due wakes are given, hand-offs end at their clients' time, and nothing may be left unanswered.
    pub fn pass(&mut self, seconds: f64) {
        let end = self.rules.now + seconds;
        while self.rules.now < end {
            self.rules.now = (self.rules.now + 0.004).min(end);
            let now = self.rules.now;
            if self.rules.wakes.iter().any(|at| *at <= now) {
                self.rules.wakes.retain(|at| *at > now);
                self.gateway.timer_fired(now, &mut self.rules);
            }
            while let Some((id, nth)) = self.rules.cancels.pop() {
                self.end(id, usize::from(nth), Outcome::Cancelled);
            }
            let over: Vec<u32> = self
                .rules
                .taken
                .iter()
                .filter(|t| t.1.until <= now && t.1.answer.is_none())
                .map(|t| *t.0)
                .collect();
            for id in over {
                for nth in 0..self.rules.taken[&id].hand_offs.len() {
                    self.end(id, nth, Outcome::TimedOut);
                }
                if self.rules.taken[&id].until + 0.016 < now && self.rules.taken[&id].answer.is_none() {
                    self.rules.broken.push(format!("{id}: lost"));
                    self.rules.taken.entry(id).and_modify(|t| t.answer = Some(Answer::Left));
                }
            }
        }
    }

    /// The clock jumps; the timer is told first, and then of the clients whose time ran out.
    pub fn stand_still(&mut self, seconds: f64) {
        self.rules.now += seconds;
        let now = self.rules.now;
        self.rules.wakes.retain(|at| *at > now);
        self.gateway.timer_fired(now, &mut self.rules);
        let gone = |t: &&mut Taken| t.until <= now && t.answer.is_none();
        let mut left = Vec::new();
        for taken in self.rules.taken.values_mut().filter(gone) {
            taken.answer = Some(Answer::Left);
            left.push(taken.inquiry.id);
        }
        left.iter().for_each(|id| self.gateway.client_disconnected(now, &mut self.rules, *id));
    }

    pub fn hand_offs(&self, id: u32) -> usize {
        self.rules.taken[&id].hand_offs.len()
    }

    pub fn out_at(&self, host: HostId) -> usize {
        let all = self.rules.taken.values().flat_map(|t| &t.hand_offs);
        all.filter(|h| h.host == host && h.ended.is_none()).count()
    }
}
