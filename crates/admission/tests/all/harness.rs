//! Shared test harness: feeds events to an [`Admission`] and checks each of its actions against a plain model of the rules.
//! The harness ends nothing by itself; a test decides how each attempt and each counter call ends.

use archlink_admission::admission::Admission;
use archlink_admission::interface::*;
use std::collections::{BTreeMap, VecDeque};

/// The first host; the others are numbered from it on.
pub const HOST: HostId = 100;

pub fn request_class(effect: Effect, dedup_scope: DedupScope) -> RequestClass {
    RequestClass {
        latency_target: 0.8,
        client_timeout: 2.5,
        importance: 1.0,
        late_value: 1.0,
        effect,
        dedup_scope,
        dedup_window: 0.3,
    }
}

pub fn settings() -> AdmissionSettings {
    AdmissionSettings {
        classes: vec![
            request_class(Effect::Pure, DedupScope::All),
            request_class(Effect::Deduplicated, DedupScope::Cell),
            request_class(Effect::Effectful, DedupScope::All),
            request_class(Effect::Deduplicated, DedupScope::All),
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
        max_subscribe_wait: 10.0,
        hosts_differ_in_capacity: false,
        max_attempts: 4,
        may_hedge: false,
        may_cancel: true,
        may_probe: true,
        may_message_peers: false,
        may_send_retry_after: true,
        max_retry_after: 1.0,
        drain_grace: 1.0,
        cold_capacity_share: 0.2,
        warm_up: 15.0,
        overload_multiple: 2.5,
        overload_duration: 2.0,
    }
}

pub fn host_entry(n: u64, state: HostState, started: f64) -> HostEntry {
    let (zone, cell) = ((n % 2) as u8, (n % 3) as u16);
    HostEntry { host: HOST + n, zone, kind: 0, cell, state, size: 1.0, started }
}

#[derive(Clone, Debug)]
pub struct Attempt {
    pub host: HostId,
    pub started_at: f64,
    pub ended: Option<Outcome>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Completed,
    Rejected(f64),
    Aborted,
    ClientLeft,
}

#[derive(Clone, Debug)]
pub struct TrackedRequest {
    pub request: Request,
    pub deadline: f64,
    pub attempts: Vec<Attempt>,
    pub answer: Option<Answer>,
}

/// Plain model of the rules that an admission instance has to follow. It checks each action when it is made.
pub struct RuleChecker {
    pub settings: AdmissionSettings,
    pub now: f64,
    pub requests: BTreeMap<u32, TrackedRequest>,
    /// Listed hosts, and when their entry last changed.
    pub hosts: BTreeMap<HostId, (HostEntry, f64)>,
    pub violations: Vec<String>,
    /// Unanswered counter calls by key: amount and lifetime.
    pub counter_calls: BTreeMap<u64, VecDeque<(f64, f64)>>,
    pub probes: Vec<HostId>,
    pub cancellations: Vec<(u32, u16)>,
    pub timers: Vec<f64>,
    /// Times of the subscriptions to host lists.
    pub subscriptions: Vec<f64>,
    /// Units sent by customers whose plan has a rate limit.
    units_sent: BTreeMap<u64, f64>,
}

fn never_ran(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::NeverSent)
}

impl RuleChecker {
    fn may_reject(&self, tracked: &TrackedRequest) -> bool {
        let class = &self.settings.classes[tracked.request.class];
        let nothing_ran = tracked.attempts.iter().all(|attempt| attempt.ended.is_some_and(never_ran));
        nothing_ran
            || class.effect == Effect::Pure
            || (class.effect == Effect::Deduplicated && class.dedup_scope == DedupScope::All)
    }

    /// The rule that an attempt of this request at this host would break now, if any.
    pub fn violation(&self, id: u32, host: HostId) -> Option<&'static str> {
        let tracked = self.requests.get(&id)?;
        let class = &self.settings.classes[tracked.request.class];
        let Some((entry, changed_at)) = self.hosts.get(&host) else { return Some("unknown host") };
        let unavailable =
            entry.state != HostState::Ready && self.now > changed_at + self.settings.drain_grace;
        let live = tracked.attempts.iter().any(|attempt| attempt.ended.is_none());
        let may_have_run: Vec<&Attempt> =
            tracked.attempts.iter().filter(|attempt| !attempt.ended.is_some_and(never_ran)).collect();
        let in_scope = |attempt: &Attempt| match (class.dedup_scope, &self.hosts[&attempt.host].0) {
            (DedupScope::All, _) => true,
            (DedupScope::Zone, other) => other.zone == entry.zone,
            (DedupScope::Cell, other) => other.cell == entry.cell,
        };
        let forgotten = |attempt: &Attempt| self.now > attempt.started_at + class.dedup_window;
        match class.effect {
            _ if tracked.answer.is_some() => Some("sent after its answer"),
            _ if self.now > tracked.deadline => Some("sent after its deadline"),
            _ if unavailable => Some("sent to a draining host"),
            _ if live && !self.settings.may_hedge => Some("two attempts in flight"),
            _ if tracked.attempts.len() >= self.settings.max_attempts as usize => Some("too many attempts"),
            Effect::Effectful if !may_have_run.is_empty() => Some("effectful request sent twice"),
            Effect::Deduplicated if may_have_run.iter().any(|attempt| !in_scope(attempt)) => {
                Some("retry outside its dedup scope")
            }
            Effect::Deduplicated if may_have_run.iter().any(|attempt| forgotten(attempt)) => {
                Some("retry after its dedup window")
            }
            _ => None,
        }
    }

    fn answer(&mut self, id: u32, answer: Answer) {
        let Some(tracked) = self.requests.get(&id) else {
            return self.violations.push(format!("{id} unknown"));
        };
        let allowed = match answer {
            _ if tracked.answer.is_some() => Err("second answer"),
            Answer::Rejected(_) if !self.may_reject(tracked) => Err("rejected a request that may have run"),
            Answer::Aborted if self.now + 0.01 < tracked.deadline && self.may_reject(tracked) => {
                Err("aborted a request that could be rejected")
            }
            _ => Ok(()),
        };
        if let Err(violation) = allowed {
            self.violations.push(format!("{id}: {violation}"));
        }
        self.requests.entry(id).and_modify(|tracked| tracked.answer = Some(answer));
    }
}

impl Driver for RuleChecker {
    fn start_attempt(&mut self, id: u32, host: HostId, _until: f64) {
        if let Some(violation) = self.violation(id, host) {
            self.violations.push(format!("{id} to {host}: {violation}"));
        }
        let Some(tracked) = self.requests.get_mut(&id) else { return };
        let Request { customer, units, plan, spread, .. } = tracked.request;
        let plan = &self.settings.plans[plan];
        if tracked.attempts.is_empty() && plan.rate_limit > 0.0 {
            let sum = self.units_sent.entry(customer).or_insert(0.0);
            *sum += units;
            if *sum > (plan.rate_limit_burst + plan.rate_limit * self.now) / f64::from(spread) + 1e-6 {
                self.violations
                    .push(format!("{id}: beyond the even part of a rate limit that no quota enforces"));
            }
        }
        tracked.attempts.push(Attempt { host, started_at: self.now, ended: None });
    }
    fn cancel_attempt(&mut self, request: u32, attempt: u16) {
        self.cancellations.push((request, attempt));
    }
    fn reject(&mut self, id: u32, retry_after: f64) {
        self.answer(id, Answer::Rejected(retry_after));
    }
    fn abort(&mut self, id: u32) {
        self.answer(id, Answer::Aborted);
    }
    fn probe(&mut self, host: HostId) {
        self.probes.push(host);
    }
    fn add_to_counter(&mut self, key: u64, amount: f64, lifetime: f64) {
        self.counter_calls.entry(key).or_default().push_back((amount, lifetime));
    }
    fn send_to_peers(&mut self, _gateway: Option<u32>, _payload: &[u8]) {}
    fn subscribe(&mut self) {
        self.subscriptions.push(self.now);
    }
    fn set_timer(&mut self, after: f64) {
        self.timers.push(self.now + after);
    }
    fn log(&mut self, _line: &str) {}
}

pub struct Harness {
    pub checker: RuleChecker,
    pub admission: Admission,
    /// Totals on the counter by key, and when they expire.
    pub counter_totals: BTreeMap<u64, (f64, f64)>,
    pub last_id: u32,
    /// The number of gateways that each customer uses.
    pub spread: u32,
}

impl Harness {
    pub fn new(settings: AdmissionSettings, hosts: u64) -> Harness {
        let mut checker = RuleChecker {
            settings: settings.clone(),
            now: 0.0,
            requests: BTreeMap::new(),
            hosts: BTreeMap::new(),
            violations: Vec::new(),
            counter_calls: BTreeMap::new(),
            probes: Vec::new(),
            cancellations: Vec::new(),
            timers: Vec::new(),
            subscriptions: Vec::new(),
            units_sent: BTreeMap::new(),
        };
        let admission = Admission::start(settings, 7, 0.0, &mut checker);
        let mut harness =
            Harness { checker, admission, counter_totals: BTreeMap::new(), last_id: 0, spread: 2 };
        harness.spread = if harness.checker.settings.gateways > 100 { 5000 } else { 2 };
        let entries: Vec<HostEntry> = (0..hosts).map(|n| host_entry(n, HostState::Ready, 0.0)).collect();
        harness.update_host_list(HostListUpdate::Cached, &entries);
        harness
    }

    pub fn update_host_list(&mut self, update: HostListUpdate, entries: &[HostEntry]) {
        let now = self.checker.now;
        for entry in entries {
            let changed = (entry.clone(), now);
            let known = self.checker.hosts.entry(entry.host).or_insert_with(|| changed.clone());
            if known.0.state != entry.state || known.0.started != entry.started {
                *known = changed;
            }
        }
        self.admission.host_list_updated(now, &mut self.checker, update, entries);
    }

    pub fn arrive(&mut self, class: usize, plan: usize, customer: u64, units: f64, remaining: f64) -> u32 {
        self.last_id += 1;
        let id = self.last_id;
        let request = Request { id, class, plan, customer, remaining, units, spread: self.spread, first: 0 };
        let (now, deadline) = (self.checker.now, self.checker.now + remaining);
        let tracked =
            TrackedRequest { request: request.clone(), deadline, attempts: Vec::new(), answer: None };
        self.checker.requests.insert(id, tracked);
        self.admission.request_arrived(now, &mut self.checker, request);
        id
    }

    /// Ends an attempt of a request; the first one that is answered completes the request.
    pub fn end_attempt(&mut self, id: u32, number: usize, outcome: Outcome) {
        let now = self.checker.now;
        let Some(tracked) = self.checker.requests.get_mut(&id) else { return };
        let Some(attempt) = tracked.attempts.get_mut(number).filter(|attempt| attempt.ended.is_none()) else {
            return;
        };
        attempt.ended = Some(outcome);
        let (host, elapsed) = (attempt.host, now - attempt.started_at);
        if outcome == Outcome::Answered && tracked.answer.is_none() {
            tracked.answer = Some(Answer::Completed);
        }
        let (final_attempt, number, load) = (tracked.answer.is_some(), number as u16, Load::default());
        let ended = AttemptResult {
            request: id,
            attempt: number,
            final_attempt,
            outcome,
            elapsed,
            true_units: 0.0,
            host,
            load,
        };
        self.admission.attempt_ended(now, &mut self.checker, ended);
        while let Some((id, number)) = self.checker.cancellations.pop() {
            self.end_attempt(id, usize::from(number), Outcome::Cancelled);
        }
    }

    /// Answers the oldest call to a counter key: with its total (`Some(true)`), as not added (`Some(false)`), or as unknown.
    pub fn answer_counter_call(&mut self, key: u64, added: Option<bool>) {
        let Some((amount, lifetime)) = self.checker.counter_calls.get_mut(&key).and_then(VecDeque::pop_front)
        else {
            return;
        };
        let now = self.checker.now;
        self.counter_totals.retain(|_, (_, expires)| *expires > now);
        let (total, _) = self.counter_totals.entry(key).or_insert((0.0, now + lifetime));
        *total += if added == Some(false) { 0.0 } else { amount };
        let reply = match added {
            Some(true) => CounterReply::Total(*total),
            Some(false) => CounterReply::NotAdded,
            None => CounterReply::Unknown,
        };
        self.admission.counter_replied(self.checker.now, &mut self.checker, key, reply);
    }

    pub fn answer_counter_calls(&mut self) {
        while let Some(key) =
            self.checker.counter_calls.iter().find(|(_, calls)| !calls.is_empty()).map(|(key, _)| *key)
        {
            self.answer_counter_call(key, Some(true));
        }
    }

    /// Advances the clock: due timers fire, attempts time out at their client's deadline, and no request may stay unanswered.
    pub fn advance(&mut self, seconds: f64) {
        let end = self.checker.now + seconds;
        while self.checker.now < end {
            self.checker.now = (self.checker.now + 0.004).min(end);
            let now = self.checker.now;
            if self.checker.timers.iter().any(|due| *due <= now) {
                self.checker.timers.retain(|due| *due > now);
                self.admission.timer_fired(now, &mut self.checker);
            }
            while let Some((id, number)) = self.checker.cancellations.pop() {
                self.end_attempt(id, usize::from(number), Outcome::Cancelled);
            }
            let expired: Vec<u32> = self
                .checker
                .requests
                .iter()
                .filter(|(_, tracked)| tracked.deadline <= now && tracked.answer.is_none())
                .map(|(id, _)| *id)
                .collect();
            for id in expired {
                for number in 0..self.checker.requests[&id].attempts.len() {
                    self.end_attempt(id, number, Outcome::TimedOut);
                }
                if self.checker.requests[&id].deadline + 0.016 < now
                    && self.checker.requests[&id].answer.is_none()
                {
                    self.checker.violations.push(format!("{id}: unanswered"));
                    self.checker
                        .requests
                        .entry(id)
                        .and_modify(|tracked| tracked.answer = Some(Answer::ClientLeft));
                }
            }
        }
    }

    /// Pauses the process: the clock jumps, the timer fires late, and then the clients whose deadline has passed disconnect.
    pub fn pause_process(&mut self, seconds: f64) {
        self.checker.now += seconds;
        let now = self.checker.now;
        self.checker.timers.retain(|due| *due > now);
        self.admission.timer_fired(now, &mut self.checker);
        let expired = |tracked: &&mut TrackedRequest| tracked.deadline <= now && tracked.answer.is_none();
        let mut disconnected = Vec::new();
        for tracked in self.checker.requests.values_mut().filter(expired) {
            tracked.answer = Some(Answer::ClientLeft);
            disconnected.push(tracked.request.id);
        }
        disconnected.iter().for_each(|id| self.admission.client_disconnected(now, &mut self.checker, *id));
    }

    pub fn attempt_count(&self, id: u32) -> usize {
        self.checker.requests[&id].attempts.len()
    }

    pub fn in_flight_at(&self, host: HostId) -> usize {
        let attempts = self.checker.requests.values().flat_map(|tracked| &tracked.attempts);
        attempts.filter(|attempt| attempt.host == host && attempt.ended.is_none()).count()
    }
}
