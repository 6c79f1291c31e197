//! The one helper of all tests: a world that hands events to a gateway, and the plain model of the rules that
//! watches each action. The world answers nothing by itself; a test says how each hand-off and call ends.

use archlink_admission::interface::*;
use archlink_admission::logic::Gateway;
use std::collections::{BTreeMap, VecDeque};

pub const HOST: HostId = 100;

pub fn lane(effect: Effect, group: Group) -> LaneTerms {
    LaneTerms { goal: 0.8, abandon: 2.5, importance: 1.0, late_worth: 1.0, effect, group, memory: 0.3 }
}

pub fn terms() -> Terms {
    Terms {
        lanes: vec![
            lane(Effect::Pure, Group::All),
            lane(Effect::Receipted, Group::Cell),
            lane(Effect::Effectful, Group::All),
            lane(Effect::Receipted, Group::All),
        ],
        plans: vec![
            PlanTerms { rate: 5.0, burst: 20.0, price: 1.0, over_costs: 1.0, ..PlanTerms::default() },
            PlanTerms::default(),
            PlanTerms { ceiling_rate: 4.0, ceiling_burst: 12.0, price: 1.0, ..PlanTerms::default() },
            PlanTerms { rate: 2.0, burst: 1.5, price: 1.0, ..PlanTerms::default() },
        ],
        gateways: 2,
        my_number: 0,
        my_zone: 0,
        may_count: true,
        count_timeout: 0.08,
        settles: false,
        most_units: 4.0,
        must_subscribe: false,
        ask_within: 10.0,
        sized: false,
        most_hand_offs: 4,
        second_copies: false,
        may_cancel: true,
        may_probe: true,
        may_tell: false,
        may_advise: true,
        most_advice: 1.0,
        drain_grace: 1.0,
        cold_from: 0.2,
        warm_up: 15.0,
        tip_multiple: 2.5,
        tip_for: 2.0,
    }
}

pub fn line(n: u64, standing: Standing, started: f64) -> HostLine {
    let (zone, cell) = ((n % 2) as u8, (n % 3) as u16);
    HostLine { host: HOST + n, zone, kind: 0, cell, standing, size: 1.0, started }
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
    pub inquiry: Inquiry,
    pub until: f64,
    pub hand_offs: Vec<HandOff>,
    pub answer: Option<Answer>,
}

/// The rules, written out plainly from the wire page. Each action is looked at when it is made.
pub struct Rules {
    pub terms: Terms,
    pub now: f64,
    pub taken: BTreeMap<u32, Taken>,
    pub lines: BTreeMap<HostId, (HostLine, f64)>,
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
        let lane = &self.terms.lanes[taken.inquiry.lane];
        let clean = taken.hand_offs.iter().all(|h| h.ended.is_some_and(never_ran));
        clean || lane.effect == Effect::Pure || (lane.effect == Effect::Receipted && lane.group == Group::All)
    }

    /// What is wrong with a hand-off of this inquiry to this host now, if anything.
    pub fn against(&self, id: u32, host: HostId) -> Option<&'static str> {
        let taken = self.taken.get(&id)?;
        let lane = &self.terms.lanes[taken.inquiry.lane];
        let Some((line, told)) = self.lines.get(&host) else { return Some("unknown host") };
        let away = line.standing != Standing::Ready && self.now > told + self.terms.drain_grace;
        let live = taken.hand_offs.iter().any(|h| h.ended.is_none());
        let ran: Vec<&HandOff> = taken.hand_offs.iter().filter(|h| !h.ended.is_some_and(never_ran)).collect();
        let same = |a: &HandOff| match (lane.group, &self.lines[&a.host].0) {
            (Group::All, _) => true,
            (Group::Zone, other) => other.zone == line.zone,
            (Group::Cell, other) => other.cell == line.cell,
        };
        let late = |a: &HandOff| self.now > a.at + lane.memory;
        match lane.effect {
            _ if taken.answer.is_some() => Some("sent after its answer"),
            _ if self.now > taken.until => Some("sent after its time"),
            _ if away => Some("sent to a draining host"),
            _ if live && !self.terms.second_copies => Some("two copies out"),
            _ if taken.hand_offs.len() >= self.terms.most_hand_offs as usize => Some("too many hand-offs"),
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

impl Outward for Rules {
    fn hand_off(&mut self, id: u32, host: HostId, _until: f64) {
        if let Some(what) = self.against(id, host) {
            self.broken.push(format!("{id} to {host}: {what}"));
        }
        let Some(taken) = self.taken.get_mut(&id) else { return };
        let Inquiry { customer, units, plan, spread, .. } = taken.inquiry;
        let plan = &self.terms.plans[plan];
        if taken.hand_offs.is_empty() && plan.ceiling_rate > 0.0 {
            let sum = self.sent_on.entry(customer).or_insert(0.0);
            *sum += units;
            if *sum > (plan.ceiling_burst + plan.ceiling_rate * self.now) / f64::from(spread) + 1e-6 {
                self.broken.push(format!("{id}: more than an even part of a ceiling that no quota keeps"));
            }
        }
        taken.hand_offs.push(HandOff { host, at: self.now, ended: None });
    }
    fn cancel(&mut self, inquiry: u32, nth: u16) {
        self.cancels.push((inquiry, nth));
    }
    fn push_back(&mut self, id: u32, come_back_in: f64) {
        self.answer(id, Answer::PushedBack(come_back_in));
    }
    fn terminate(&mut self, id: u32) {
        self.answer(id, Answer::Terminated);
    }
    fn probe(&mut self, host: HostId) {
        self.probes.push(host);
    }
    fn count(&mut self, name: u64, amount: f64, keep: f64) {
        self.calls.entry(name).or_default().push_back((amount, keep));
    }
    fn tell(&mut self, _gateway: Option<u32>, _words: &[u8]) {}
    fn subscribe(&mut self) {
        self.asked.push(self.now);
    }
    fn wake(&mut self, after: f64) {
        self.wakes.push(self.now + after);
    }
    fn trace(&mut self, _line: &str) {}
}

pub struct World {
    pub rules: Rules,
    pub gateway: Gateway,
    /// The counter's names: total, and when it is forgotten.
    pub totals: BTreeMap<u64, (f64, f64)>,
    pub next: u32,
    pub spread: u32,
}

impl World {
    pub fn new(terms: Terms, hosts: u64) -> World {
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
        let gateway = Gateway::start(terms, 7, 0.0, &mut rules);
        let mut world = World { rules, gateway, totals: BTreeMap::new(), next: 0, spread: 2 };
        world.spread = if world.rules.terms.gateways > 100 { 5000 } else { 2 };
        let lines: Vec<HostLine> = (0..hosts).map(|n| line(n, Standing::Ready, 0.0)).collect();
        world.list(News::Remembered, &lines);
        world
    }

    pub fn list(&mut self, news: News, lines: &[HostLine]) {
        let now = self.rules.now;
        for line in lines {
            let told = (line.clone(), now);
            let known = self.rules.lines.entry(line.host).or_insert_with(|| told.clone());
            if known.0.standing != line.standing || known.0.started != line.started {
                *known = told;
            }
        }
        self.gateway.list_news(now, &mut self.rules, news, lines);
    }

    pub fn arrive(&mut self, lane: usize, plan: usize, customer: u64, units: f64, left: f64) -> u32 {
        self.next += 1;
        let id = self.next;
        let inquiry = Inquiry { id, lane, plan, customer, left, units, spread: self.spread, first: 0 };
        let (now, until) = (self.rules.now, self.rules.now + left);
        let taken = Taken { inquiry: inquiry.clone(), until, hand_offs: Vec::new(), answer: None };
        self.rules.taken.insert(id, taken);
        self.gateway.arrived(now, &mut self.rules, inquiry);
        id
    }

    /// Ends hand-off `nth` of an inquiry; a first honoured one is its answer.
    pub fn end(&mut self, id: u32, nth: usize, outcome: Outcome) {
        let now = self.rules.now;
        let Some(taken) = self.rules.taken.get_mut(&id) else { return };
        let Some(hand_off) = taken.hand_offs.get_mut(nth).filter(|h| h.ended.is_none()) else { return };
        hand_off.ended = Some(outcome);
        let (host, took) = (hand_off.host, now - hand_off.at);
        if outcome == Outcome::Honoured && taken.answer.is_none() {
            taken.answer = Some(Answer::Honoured);
        }
        let (over, nth, load) = (taken.answer.is_some(), nth as u16, Load::default());
        let ended = Ended { inquiry: id, nth, over, outcome, took, true_units: 0.0, host, load };
        self.gateway.ended(now, &mut self.rules, ended);
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
            Some(true) => Counted::Total(*total),
            Some(false) => Counted::NotAdded,
            None => Counted::MayBeAdded,
        };
        self.gateway.counted(self.rules.now, &mut self.rules, name, answer);
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
                self.gateway.woken(now, &mut self.rules);
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
        self.gateway.woken(now, &mut self.rules);
        let gone = |t: &&mut Taken| t.until <= now && t.answer.is_none();
        let mut left = Vec::new();
        for taken in self.rules.taken.values_mut().filter(gone) {
            taken.answer = Some(Answer::Left);
            left.push(taken.inquiry.id);
        }
        left.iter().for_each(|id| self.gateway.left(now, &mut self.rules, *id));
    }

    pub fn hand_offs(&self, id: u32) -> usize {
        self.rules.taken[&id].hand_offs.len()
    }

    pub fn out_at(&self, host: HostId) -> usize {
        let all = self.rules.taken.values().flat_map(|t| &t.hand_offs);
        all.filter(|h| h.host == host && h.ended.is_none()).count()
    }
}
