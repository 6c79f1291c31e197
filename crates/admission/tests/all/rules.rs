//! Generated event sequences, checked against the plain model of the rules. Seeded, so that the result never varies.

use crate::harness::{Answer, Harness, TrackedRequest, host_entry, settings};
use archlink_admission::interface::*;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

#[derive(Clone, Debug)]
enum Event {
    RequestArrives { class: usize, plan: usize, customer: u64, units: f64, remaining: f64 },
    AttemptEnds { which: usize, outcome: Outcome },
    CounterReplies { which: usize, added: Option<bool> },
    TimePasses(f64),
    HostChanges { n: u64, state: HostState, restarted: bool },
    ProbeEnds { healthy: bool },
    ClientDisconnects { which: usize },
    ResponseStarts { which: usize },
    CounterIsEmptied,
    ProcessPauses(f64),
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Event {
        use Outcome::*;
        let which = usize::arbitrary(g);
        let outcomes =
            [Answered, Answered, Answered, Error, Full, TimedOut, ConnectFailed, Reset, Cancelled, NeverSent];
        let states = [HostState::Ready, HostState::Ready, HostState::Draining, HostState::Removed];
        match u8::arbitrary(g) % 16 {
            0..=4 => Event::RequestArrives {
                class: which % 4,
                plan: *g.choose(&[0, 0, 1, 2, 3]).unwrap(),
                customer: u64::arbitrary(g) % 3,
                units: f64::from(u8::arbitrary(g) % 4 + 1),
                remaining: *g.choose(&[0.0, 0.002, 0.03, 0.5, 2.5]).unwrap(),
            },
            5..=8 => Event::AttemptEnds { which, outcome: *g.choose(&outcomes).unwrap() },
            9..=11 => Event::CounterReplies {
                which,
                added: *g.choose(&[Some(true), Some(true), Some(false), None]).unwrap(),
            },
            12 | 13 => Event::TimePasses(*g.choose(&[0.004, 0.02, 0.3, 3.0]).unwrap()),
            14 => Event::HostChanges {
                n: which as u64 % 7,
                state: *g.choose(&states).unwrap(),
                restarted: bool::arbitrary(g),
            },
            _ => match which % 5 {
                0 => Event::ProbeEnds { healthy: bool::arbitrary(g) },
                1 => Event::ClientDisconnects { which: usize::arbitrary(g) },
                2 => Event::ResponseStarts { which: usize::arbitrary(g) },
                3 => Event::ProcessPauses(*g.choose(&[0.3, 2.0]).unwrap()),
                _ => Event::CounterIsEmptied,
            },
        }
    }
}

/// Request and number of an attempt in flight, if there is any.
fn live_attempt(harness: &Harness, which: usize) -> Option<(u32, usize)> {
    let live: Vec<(u32, usize)> = (harness.checker.requests.iter())
        .flat_map(|(id, tracked)| {
            tracked.attempts.iter().enumerate().map(move |(number, attempt)| (*id, number, attempt))
        })
        .filter(|(_, _, attempt)| attempt.ended.is_none())
        .map(|(id, number, _)| (id, number))
        .collect();
    live.get(which % live.len().max(1)).copied()
}

fn apply(harness: &mut Harness, event: &Event) {
    match *event {
        Event::RequestArrives { class, plan, customer, units, remaining } => {
            harness.arrive(class, plan, customer + 10 * plan as u64, units, remaining);
        }
        Event::AttemptEnds { which, outcome } => {
            if let Some((id, number)) = live_attempt(harness, which) {
                harness.end_attempt(id, number, outcome);
            }
        }
        Event::ResponseStarts { which } => {
            if let Some((id, number)) = live_attempt(harness, which) {
                harness.admission.response_started(
                    harness.checker.now,
                    &mut harness.checker,
                    id,
                    number as u16,
                );
            }
        }
        Event::CounterReplies { which, added } => {
            let keys: Vec<u64> = harness
                .checker
                .counter_calls
                .iter()
                .filter(|(_, calls)| !calls.is_empty())
                .map(|(key, _)| *key)
                .collect();
            if let Some(&key) = keys.get(which % keys.len().max(1)) {
                harness.answer_counter_call(key, added);
            }
        }
        Event::TimePasses(seconds) => harness.advance(seconds),
        Event::HostChanges { n, state, restarted } => {
            let started = if restarted { harness.checker.now } else { 0.0 };
            harness.update_host_list(HostListUpdate::Delta, &[host_entry(n, state, started)]);
        }
        Event::ProbeEnds { healthy } => {
            if let Some(host) = harness.checker.probes.pop() {
                harness.admission.probe_finished(
                    harness.checker.now,
                    &mut harness.checker,
                    host,
                    healthy,
                    Load::default(),
                );
            }
        }
        Event::ClientDisconnects { which } => {
            let open = |tracked: &&TrackedRequest| tracked.answer.is_none();
            let ids: Vec<u32> =
                harness.checker.requests.values().filter(open).map(|tracked| tracked.request.id).collect();
            if let Some(id) = ids.get(which % ids.len().max(1)) {
                harness
                    .checker
                    .requests
                    .entry(*id)
                    .and_modify(|tracked| tracked.answer = Some(Answer::ClientLeft));
                harness.admission.client_disconnected(harness.checker.now, &mut harness.checker, *id);
            }
        }
        Event::CounterIsEmptied => harness.counter_totals.clear(),
        Event::ProcessPauses(seconds) => harness.pause_process(seconds),
    }
}

fn run(settings: AdmissionSettings, events: &[Event]) -> Vec<String> {
    let hosts = if settings.gateways > 100 { 300 } else { 5 };
    let mut harness = Harness::new(settings, hosts);
    for event in events {
        apply(&mut harness, event);
    }
    harness.advance(4.0);
    harness.checker.violations
}

fn check(seed: u64, property: fn(Vec<Event>) -> TestResult) {
    QuickCheck::new().rng(Gen::from_size_and_seed(150, seed)).tests(250).quickcheck(property);
}

fn test_result(settings: AdmissionSettings, events: Vec<Event>) -> TestResult {
    let violations = run(settings, &events);
    if violations.is_empty() { TestResult::passed() } else { TestResult::error(violations.join("; ")) }
}

fn settings_with_hedging() -> AdmissionSettings {
    AdmissionSettings { may_hedge: true, drain_grace: 0.0, gateways: 9, ..settings() }
}

fn minimal_settings() -> AdmissionSettings {
    let minimal = AdmissionSettings {
        may_count: false,
        may_cancel: false,
        may_probe: false,
        may_send_retry_after: false,
        ..settings()
    };
    AdmissionSettings { gateways: 1, max_attempts: 1, ..minimal }
}

/// Zeros and contradictions: nothing may panic, divide by 0 or wait for ever.
fn contradictory_settings() -> AdmissionSettings {
    let contradictory = AdmissionSettings {
        cold_capacity_share: 3.0,
        warm_up: 0.0,
        count_timeout: 0.0,
        max_units: 0.0,
        ..settings()
    };
    let mut contradictory = AdmissionSettings {
        gateways: 0,
        drain_grace: 0.0,
        overload_multiple: 0.0,
        overload_duration: 0.0,
        ..contradictory
    };
    contradictory.classes.iter_mut().for_each(|class| class.latency_target = 0.0);
    contradictory.plans[0].burst = 0.0;
    contradictory.plans[3].rate = 1e-9;
    contradictory
}

#[test]
fn rules_hold_with_default_test_settings() {
    check(1, |events| test_result(settings(), events));
}

#[test]
fn rules_hold_with_hedging_and_without_drain_grace() {
    check(2, |events| test_result(settings_with_hedging(), events));
}

#[test]
fn rules_hold_without_counter_probes_and_cancellation() {
    check(3, |events| test_result(minimal_settings(), events));
}

#[test]
fn rules_hold_with_contradictory_settings() {
    check(4, |events| test_result(contradictory_settings(), events));
}

#[test]
fn rules_hold_with_a_thousand_gateways() {
    check(5, |events| test_result(AdmissionSettings { gateways: 1000, ..settings() }, events));
}

#[test]
fn same_events_lead_to_same_actions() {
    let events: Vec<Event> = Vec::arbitrary(&mut Gen::from_size_and_seed(400, 5));
    let actions = |events: &[Event]| {
        let mut harness = Harness::new(settings(), 5);
        events.iter().for_each(|event| apply(&mut harness, event));
        format!("{:?} {:?}", harness.checker.requests, harness.checker.counter_calls)
    };
    assert_eq!(actions(&events), actions(&events));
}
