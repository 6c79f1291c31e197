//! Calls to the counter that are slow, silent, failing or lost, and decisions without it; one regression test for each failure found.

use crate::harness::{Harness, settings};
use crate::quota_requests::{admitted, quota_settings, request_is_admitted};
use archlink_admission::interface::*;

/// With short latency targets, a busy counter that replied after a tenth of the target was taken for a silent one.
#[test]
fn slow_counter_reply_is_awaited_with_short_latency_targets() {
    let mut settings = quota_settings();
    settings.classes.iter_mut().for_each(|class| class.latency_target = 0.21);
    let mut harness = Harness::new(settings, 5);
    for _ in 0..20 {
        let id = harness.arrive(0, 0, 1, 1.0, 0.8);
        harness.advance(0.02);
        assert_eq!(harness.attempt_count(id), 0, "decided without the counter");
        harness.answer_counter_calls();
        assert_eq!(harness.attempt_count(id), 1);
        harness.end_attempt(id, 0, Outcome::Answered);
    }
}

/// Without the counter, every second request was rejected of a customer within its quota whose requests came here close
/// together by chance.
#[test]
fn without_counter_uneven_customer_may_go_one_burst_into_debt() {
    let plan = PlanLimits { rate: 1.0, burst: 4.0, ..PlanLimits::default() };
    let settings = AdmissionSettings { plans: vec![plan], may_count: false, ..settings() };
    let mut harness = Harness::new(settings, 5);
    let mut admitted_after = |seconds: f64| {
        harness.advance(seconds);
        request_is_admitted(&mut harness, 1, 2.0)
    };
    assert_eq!(
        [0.0, 0.1, 4.9, 1.0].map(&mut admitted_after),
        [true, false, true, true],
        "at 0, 0.1, 5 and 6 s"
    );
    let more = (0..400).filter(|_| admitted_after(0.5)).count();
    assert!(
        (48..=52).contains(&more),
        "{more} requests of two units admitted in 200 s, each representing those of two gateways"
    );
}

/// A counter whose connections break now and then is neither slow nor overloaded, but it was hardly asked for seconds.
#[test]
fn calls_cut_off_before_the_timeout_do_not_degrade_the_counter() {
    let mut harness = Harness::new(quota_settings(), 5);
    let open_calls =
        |harness: &Harness| harness.checker.counter_calls.values().map(|calls| calls.len()).sum::<usize>();
    for customer in 0..60 {
        let id = harness.arrive(0, 0, customer, 1.0, 2.5);
        assert_eq!(open_calls(&harness), 1, "customer {customer} was decided without asking");
        let key = *harness.checker.counter_calls.iter().find(|(_, calls)| !calls.is_empty()).unwrap().0;
        harness.answer_counter_call(key, None);
        harness.end_attempt(id, 0, Outcome::Answered);
    }
}

#[test]
fn silent_counter_neither_delays_requests_nor_suspends_quotas() {
    let mut harness = Harness::new(quota_settings(), 5);
    let mut sent = 0;
    for _ in 0..300 {
        let id = harness.arrive(0, 0, 1, 1.0, 2.5);
        harness.advance(0.048);
        sent += harness.attempt_count(id);
        assert!(
            harness.attempt_count(id) == 1 || harness.checker.requests[&id].answer.is_some(),
            "decided within 50 ms"
        );
        harness.end_attempt(id, 0, Outcome::Answered);
    }
    let quota = 40.0 + 40.0 + 5.0 * harness.checker.now;
    assert!(
        sent as f64 <= quota / 2.0 + 1.0 && sent > 20,
        "{sent} admitted: about its part of {quota}, with one burst of debt"
    );
}

#[test]
fn emptied_counter_grants_no_second_burst() {
    let mut harness = Harness::new(quota_settings(), 5);
    let first = admitted(&mut harness, 60);
    harness.counter_totals.clear();
    let second = admitted(&mut harness, 60);
    assert!(second <= 6, "{first} before the counter was emptied, {second} at once after");
}

#[test]
fn rejected_add_is_included_in_the_next_one() {
    let mut harness = Harness::new(quota_settings(), 5);
    for _ in 0..2 {
        harness.arrive(0, 0, 1, 2.0, 2.5);
        let key = *harness.checker.counter_calls.iter().find(|(_, calls)| !calls.is_empty()).unwrap().0;
        harness.answer_counter_call(key, Some(false));
    }
    let open_adds = |harness: &Harness| {
        harness.checker.counter_calls.values().flatten().map(|(amount, _)| *amount).collect::<Vec<f64>>()
    };
    let mut unreported = 4.0;
    while open_adds(&harness).is_empty() && unreported < 40.0 {
        harness.arrive(0, 0, 1, 2.0, 2.5);
        unreported += 2.0;
    }
    assert_eq!(open_adds(&harness), [unreported], "the rejected adds, and the units admitted without a call");
}

#[test]
fn failing_counter_gets_few_calls_and_no_empty_ones() {
    let mut harness = Harness::new(quota_settings(), 5);
    let (mut calls, mut empty) = (0, 0);
    for _ in 0..200 {
        let id = harness.arrive(0, 0, 1, 4.0, 2.5);
        harness.advance(0.05);
        while let Some((&key, open)) =
            harness.checker.counter_calls.iter().find(|(_, calls)| !calls.is_empty())
        {
            (calls, empty) = (calls + 1, empty + usize::from(open[0].0 == 0.0));
            harness.answer_counter_call(key, Some(false));
        }
        harness.end_attempt(id, 0, Outcome::Answered);
    }
    assert!(calls > 5 && calls < 25 && empty == 0, "{calls} calls, {empty} of them empty");
}

#[test]
fn without_counter_spread_out_customer_goes_into_debt() {
    let mut harness = Harness::new(AdmissionSettings { may_count: false, ..quota_settings() }, 5);
    harness.spread = 500;
    let mut is_admitted = || {
        harness.advance(1.0);
        request_is_admitted(&mut harness, 1, 1.0)
    };
    assert_eq!(
        (0..60).filter(|_| is_admitted()).count(),
        1,
        "one unit seen here represents 500, which a hundred seconds refill"
    );
}

/// A timer that fires costs a gateway as much as a message, so timers that are no longer needed are cancelled.
#[test]
fn timers_of_answered_calls_and_attempts_are_cancelled() {
    let mut harness = Harness::new(quota_settings(), 3);
    let id = harness.arrive(0, 0, 1, 1.0, 2.5);
    let counter_timeout = *harness.checker.timers.last().unwrap();
    harness.answer_counter_calls();
    let attempt_overdue = *harness.checker.timers.last().unwrap();
    assert!(attempt_overdue > counter_timeout, "the wait for the counter has ended");
    harness.end_attempt(id, 0, Outcome::Answered);
    harness.checker.timers.clear();
    let other = harness.arrive(0, 0, 2, 1.0, 2.5);
    harness.advance(0.1);
    assert_eq!(harness.attempt_count(other), 1, "the timer of a wait that has not ended still fires");
}

/// A gateway with few requests went on deciding locally for a minute after the counter had recovered.
#[test]
fn recovered_counter_is_asked_again_within_seconds() {
    let mut harness = Harness::new(quota_settings(), 5);
    for _ in 0..40 {
        let id = harness.arrive(0, 0, 1, 1.0, 2.5);
        harness.advance(0.05);
        harness.end_attempt(id, 0, Outcome::Answered);
    }
    let mut asked = 0;
    for n in 0..160 {
        let id = harness.arrive(0, 0, u64::from(n as u32) + 2, 1.0, 2.5);
        asked +=
            usize::from(n >= 120 && harness.checker.counter_calls.values().any(|calls| !calls.is_empty()));
        harness.answer_counter_calls();
        harness.end_attempt(id, 0, Outcome::Answered);
        harness.advance(0.05);
    }
    assert!(asked >= 36, "{asked} of the last 40 requests asked the counter");
}

/// An unanswered call was recorded as a failure twice, at the gateway's timeout and at the driver's.
#[test]
fn unanswered_call_is_recorded_as_one_failure() {
    let calls_after_failures = |reported: bool| {
        let mut harness = Harness::new(quota_settings(), 5);
        for n in 0..6 {
            let id = harness.arrive(0, 0, n, 1.0, 2.5);
            harness.advance(0.09);
            let key = harness
                .checker
                .counter_calls
                .iter()
                .find(|(_, calls)| !calls.is_empty())
                .map(|(key, _)| *key);
            key.filter(|_| reported).into_iter().for_each(|key| harness.answer_counter_call(key, None));
            harness.checker.counter_calls.clear();
            harness.end_attempt(id, 0, Outcome::Answered);
        }
        let asks_counter = |harness: &mut Harness, n: u64| {
            let id = harness.arrive(0, 0, 100 + n, 1.0, 2.5);
            let asked = harness.checker.counter_calls.values().any(|calls| !calls.is_empty());
            harness.checker.counter_calls.clear();
            harness.end_attempt(id, 0, Outcome::Answered);
            asked
        };
        (0..400).filter(|n| asks_counter(&mut harness, *n)).count()
    };
    assert_eq!(calls_after_failures(true), calls_after_failures(false));
}

/// Without the counter a gateway rejected requests of a customer although most of those that it rejects are within the
/// quota. How much sooner the next request is admitted depends on the cost of overage; it is granted once, and the rate
/// stays the same. Where much of the customer's use passes this gateway, a rejection is no estimate: four gateways that
/// admitted as much did worse.
#[test]
fn without_counter_cheaper_overage_admits_requests_sooner() {
    // Seconds until the second request is admitted and from there to the third, at one unit a second; each request
    // represents `spread` units.
    let intervals = |overage_cost: f64, spread: u32| {
        let plan = PlanLimits { rate: 1.0, burst: 4.0, overage_cost, ..PlanLimits::default() };
        let mut harness =
            Harness::new(AdmissionSettings { plans: vec![plan], may_count: false, ..settings() }, 5);
        harness.spread = spread;
        let mut admitted_at = Vec::new();
        while admitted_at.len() < 3 {
            admitted_at.extend(request_is_admitted(&mut harness, 1, 1.0).then_some(harness.checker.now));
            harness.advance(0.2);
        }
        (admitted_at[1] - admitted_at[0], admitted_at[2] - admitted_at[1])
    };
    let (first_interval, second_interval) = intervals(0.0, 40);
    let sooner_by =
        |overage_cost: f64, spread: u32| intervals(0.0, spread).0 - intervals(overage_cost, spread).0;
    // One burst of four units divided by the cost, and four bursts at most: 40 units are ten bursts.
    for (overage_cost, expected) in [(1.0, 4.0), (0.5, 8.0), (0.1, 16.0)] {
        assert!(
            (sooner_by(overage_cost, 40) - expected).abs() < 0.5,
            "{} s sooner at a cost of {overage_cost}, {first_interval} s without",
            sooner_by(overage_cost, 40)
        );
        assert!(
            (intervals(overage_cost, 40).1 - second_interval).abs() < 0.5,
            "the rate stays the plan's at a cost of {overage_cost}"
        );
    }
    let plan = PlanLimits { rate: 1.0, burst: 4.0, overage_cost: 0.5, ..PlanLimits::default() };
    let mut few_gateways =
        Harness::new(AdmissionSettings { plans: vec![plan], may_count: false, ..settings() }, 5);
    assert_eq!(
        admitted(&mut few_gateways, 60),
        3,
        "each is half of a burst: a quarter of the allowance, one unit of four"
    );
}
