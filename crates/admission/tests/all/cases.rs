//! Regression tests, one for each failure found, and tests of the tiers. Each test decides what the counter and the hosts do.

use crate::harness::{Answer, HOST, Harness, host_entry, settings};
use archlink_admission::admission::Admission;
use archlink_admission::interface::*;
use archlink_admission::quota::{Tier, tiers};
use quickcheck::{Gen, QuickCheck, TestResult};

/// Settings with one plan: 5 units a second, 40 at once.
fn quota_settings() -> AdmissionSettings {
    let plan = PlanLimits { rate: 5.0, burst: 40.0, ..PlanLimits::default() };
    AdmissionSettings { plans: vec![plan], gateways: 1, ..settings() }
}

/// Sends a request whose counter calls and attempt are all answered; returns whether it was admitted.
fn request_is_admitted(harness: &mut Harness, customer: u64, units: f64) -> bool {
    let id = harness.arrive(0, 0, customer, units, 2.5);
    harness.answer_counter_calls();
    let admitted = harness.attempt_count(id) > 0;
    harness.end_attempt(id, 0, Outcome::Answered);
    admitted
}

/// The number of admitted requests of one unit among `requests`.
fn admitted(harness: &mut Harness, requests: usize) -> usize {
    (0..requests).filter(|_| request_is_admitted(harness, 1, 1.0)).count()
}

#[test]
fn tiers_together_stay_within_the_quota() {
    for (rate, burst, units) in
        [(5.0, 40.0, 4.0), (1.6, 12.0, 6.0), (20.0, 30.0, 1.0), (0.01, 9.0, 1.0), (3.0, 0.5, 1.0)]
    {
        let plan = PlanLimits { rate, burst, overage_cost: 1.0, ..PlanLimits::default() };
        let all = tiers(&plan, units);
        let at_once: f64 = all
            .iter()
            .map(|tier| {
                tier.limit * (1.0 + (tier.active / tier.window).min(1.0) * f64::from(tier.cooldown > 0.0))
            })
            .sum();
        let sustained_rate = |tier: &Tier| match tier.cooldown > 0.0 {
            true => tier.limit * (1.0 + tier.active / tier.window) / (tier.active + tier.cooldown),
            false => tier.limit / tier.window,
        };
        assert!(at_once <= burst + 1e-9, "rate {rate}, burst {burst}: {at_once} at once");
        assert!(
            all.iter().map(sustained_rate).sum::<f64>() <= rate + 1e-9,
            "rate {rate}, burst {burst}: the tiers exceed the rate"
        );
    }
}

#[test]
fn burst_enters_the_burst_tier_once_and_again_after_its_cooldown() {
    let mut harness = Harness::new(AdmissionSettings { max_units: 1.0, ..quota_settings() }, 5);
    let all = tiers(&harness.checker.settings.plans[0], 1.0);
    let (base, above) = (all[0].limit as usize, all[1].limit as usize);
    assert_eq!(admitted(&mut harness, 60), base + above, "base and burst tier, then rejected");
    harness.advance(all[1].active / 2.0);
    let during = admitted(&mut harness, 60);
    // The burst tier has ended: the base tier is in use again and has drained, but the burst tier is in its cooldown.
    harness.advance(all[1].active);
    let after = admitted(&mut harness, 60);
    assert!(
        after > during && after < base,
        "{during} while the burst tier replaces the base tier, {after} after"
    );
    harness.advance(all[1].active + all[1].cooldown + all[0].window);
    assert_eq!(admitted(&mut harness, 60), base + above, "the burst tier may be entered again");
}

/// A third of a small burst's units was lost, because neither tier's limit was a whole number of requests.
#[test]
fn small_burst_is_not_split_into_tiers() {
    let plan = PlanLimits { rate: 1.5, burst: 8.0, ..quota_settings().plans[0].clone() };
    assert_eq!(tiers(&plan, 1.0).iter().map(|tier| tier.limit).collect::<Vec<_>>(), [8.0]);
    assert_eq!(tiers(&PlanLimits { rate: 8.0, burst: 37.0, ..plan }, 1.0).len(), 2);
}

#[test]
fn units_of_rejected_requests_are_refunded() {
    let mut harness = Harness::new(quota_settings(), 5);
    let sent = admitted(&mut harness, 60) as f64;
    let units: f64 =
        harness.counter_totals.values().map(|(total, _)| *total).filter(|total| *total > 2.0).sum();
    assert_eq!(units, sent, "the windows hold the admitted units and nothing else");
}

/// Whatever the sequence of requests, those admitted by two gateways stay within a plain token bucket of the quota.
#[test]
fn quota_holds_across_gateways() {
    fn property(steps: Vec<(u8, u8)>) -> TestResult {
        let mut harnesses = [Harness::new(quota_settings(), 5), Harness::new(quota_settings(), 5)];
        let (mut tokens, mut now) = (40.0_f64, 0.0);
        for (wait, units) in steps {
            let wait = f64::from(wait % 64).powi(2) / 400.0;
            harnesses.iter_mut().for_each(|harness| harness.advance(wait));
            tokens = (tokens + 5.0 * (harnesses[0].checker.now - now)).min(40.0);
            now = harnesses[0].checker.now;
            let (at, units) = (usize::from(units) % 2, f64::from(units / 2 % 4) + 1.0);
            let totals = std::mem::take(&mut harnesses[1 - at].counter_totals);
            harnesses[at].counter_totals = totals;
            tokens -= if request_is_admitted(&mut harnesses[at], 1, units) { units } else { 0.0 };
            let totals = std::mem::take(&mut harnesses[at].counter_totals);
            harnesses[1 - at].counter_totals = totals;
            if tokens < -0.02 {
                return TestResult::error(format!("{tokens} tokens at {now} s"));
            }
        }
        TestResult::passed()
    }
    let property: fn(Vec<(u8, u8)>) -> TestResult = property;
    QuickCheck::new().rng(Gen::from_size_and_seed(200, 3)).tests(60).quickcheck(property);
}

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

/// A client that disconnected early had its host ejected, as if the host had not answered.
#[test]
fn early_client_disconnect_does_not_eject_the_host() {
    let mut harness = Harness::new(quota_settings(), 1);
    for _ in 0..5 {
        let id = harness.arrive(0, 0, 1, 1.0, 2.5);
        harness.answer_counter_calls();
        assert_eq!(harness.attempt_count(id), 1, "the host is ejected");
        harness.advance(0.05);
        harness.checker.requests.entry(id).and_modify(|tracked| tracked.answer = Some(Answer::ClientLeft));
        harness.admission.client_disconnected(harness.checker.now, &mut harness.checker, id);
        harness.advance(0.01);
    }
}

/// One silent connection in fifty ejected hosts that answered on all others, until most hosts were ejected.
#[test]
fn one_silent_connection_does_not_eject_a_host_that_answers_on_others() {
    let mut harness = Harness::new(quota_settings(), 1);
    for _ in 0..3 {
        let silent = harness.arrive(0, 0, 1, 1.0, 2.5);
        harness.answer_counter_calls();
        harness.advance(0.1);
        assert!(request_is_admitted(&mut harness, 2, 1.0), "the host is ejected");
        harness.advance(2.45);
        assert!(harness.checker.requests[&silent].answer.is_some());
    }
}

/// The rest of an incomplete response was awaited until the client's deadline.
#[test]
fn incomplete_response_is_cancelled_soon() {
    let mut harness = Harness::new(quota_settings(), 2);
    let id = harness.arrive(0, 0, 1, 1.0, 2.5);
    harness.answer_counter_calls();
    harness.admission.response_started(harness.checker.now, &mut harness.checker, id, 0);
    harness.advance(0.2);
    assert_eq!(harness.checker.requests[&id].attempts[0].ended, Some(Outcome::Cancelled));
    assert_eq!(harness.attempt_count(id), 2, "another host is tried");
    harness.end_attempt(id, 1, Outcome::Answered);
    assert!(harness.checker.violations.is_empty(), "{:?}", harness.checker.violations);
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
fn request_close_to_its_deadline_is_rejected_at_once() {
    let mut harness = Harness::new(settings(), 5);
    for class in 0..4 {
        let id = harness.arrive(class, 0, 1, 1.0, 0.003);
        harness.advance(0.02);
        let tracked = &harness.checker.requests[&id];
        assert!(matches!(tracked.answer, Some(Answer::Rejected(_))), "{tracked:?}");
        assert_eq!(tracked.attempts.len(), 0);
    }
}

#[test]
fn cold_hosts_and_large_fleets_get_lower_concurrency_limits() {
    let in_flight = |gateways: u32, started: f64| {
        let mut harness =
            Harness::new(AdmissionSettings { gateways, plans: vec![PlanLimits::default()], ..settings() }, 0);
        harness.advance(100.0);
        let entries: Vec<HostEntry> =
            (0..4).map(|n| host_entry(n, HostState::Ready, if n == 0 { started } else { 0.0 })).collect();
        harness.update_host_list(HostListUpdate::Full, &entries);
        (0..100).for_each(|_| _ = harness.arrive(0, 0, 1, 1.0, 2.5));
        (harness.in_flight_at(HOST), (0..4).map(|n| harness.in_flight_at(HOST + n)).sum::<usize>())
    };
    let (warm, all) = in_flight(1, 0.0);
    assert!(in_flight(1, 100.0).0 * 3 <= warm, "a fifth of its capacity, so at most a third of the attempts");
    assert!(in_flight(9, 0.0).1 * 6 <= all, "gateways that start together do not overload the hosts");
    assert!(in_flight(40, 0.0).1 < 4, "limits below one attempt a host hold over all hosts");
}

#[test]
fn slow_answers_lower_a_concurrency_limit_and_fast_ones_raise_it() {
    let in_flight_after = |latency: f64| {
        let mut harness = Harness::new(
            AdmissionSettings { gateways: 1, plans: vec![PlanLimits::default()], ..settings() },
            1,
        );
        for _ in 0..100 {
            let ids: Vec<u32> = (0..80).map(|_| harness.arrive(0, 0, 1, 1.0, 2.5)).collect();
            harness.advance(latency);
            ids.iter().for_each(|id| harness.end_attempt(*id, 0, Outcome::Answered));
        }
        (0..80).for_each(|_| _ = harness.arrive(0, 0, 1, 1.0, 2.5));
        harness.in_flight_at(HOST)
    };
    let (slow, fast) = (in_flight_after(0.4), in_flight_after(0.02));
    assert!(slow <= 2 && fast >= 9, "in flight: {slow} with slow answers, {fast} with fast ones");
}

#[test]
fn silent_host_is_ejected_and_busy_host_is_not() {
    let plans = vec![PlanLimits::default()];
    let mut harness = Harness::new(AdmissionSettings { plans, gateways: 1, ..settings() }, 2);
    let ids: Vec<u32> = (0..4).map(|_| harness.arrive(0, 0, 1, 1.0, 2.5)).collect();
    let host_of = |harness: &Harness, id: u32| {
        harness.checker.requests[&id].attempts.first().map(|attempt| attempt.host)
    };
    let dead = host_of(&harness, ids[0]);
    harness.advance(0.1);
    let answered = *ids.iter().find(|id| host_of(&harness, **id) != dead).unwrap();
    harness.end_attempt(answered, 0, Outcome::Answered);
    harness.advance(1.6);
    for id in ids {
        let retried = harness.attempt_count(id) > 1;
        assert_eq!(retried, host_of(&harness, id) == dead);
    }
    for _ in 0..2 {
        let id = harness.arrive(0, 0, 1, 1.0, 2.5);
        assert_ne!(host_of(&harness, id), dead, "the silent host is ejected");
    }
    assert!(harness.checker.probes.is_empty(), "a probe would not detect a silent class");
    let id = harness.arrive(2, 0, 1, 1.0, 2.5);
    let other = harness.arrive(2, 0, 1, 1.0, 2.5);
    assert!(
        host_of(&harness, id) == dead || host_of(&harness, other) == dead,
        "the host still gets its other classes"
    );
    harness.advance(6.0);
    let ids: Vec<u32> = (0..2).map(|_| harness.arrive(0, 0, 1, 1.0, 2.5)).collect();
    let tried = ids.iter().filter(|id| host_of(&harness, **id) == dead).count();
    assert_eq!(tried, 1, "one attempt at a time after the ejection");
}

/// A host that failed one class was ejected for all classes, or for none, whichever it still served.
#[test]
fn failing_class_is_ejected_and_other_classes_prefer_that_host() {
    let plans = vec![PlanLimits::default()];
    let mut harness = Harness::new(AdmissionSettings { plans, gateways: 1, ..settings() }, 2);
    let host_of = |harness: &Harness, id: u32| harness.checker.requests[&id].attempts[0].host;
    let failed = harness.arrive(0, 0, 1, 1.0, 2.5);
    let failing = host_of(&harness, failed);
    harness.end_attempt(failed, 0, Outcome::Error);
    assert_ne!(harness.checker.requests[&failed].attempts[1].host, failing);
    harness.end_attempt(failed, 1, Outcome::Answered);
    let mut attempts = [0; 4];
    for n in 0..20 {
        let id = harness.arrive([0, 2][n / 2 % 2], 0, 1, 1.0, 2.5);
        attempts[(n / 2 % 2) * 2 + usize::from(host_of(&harness, id) == failing)] += 1;
        harness.end_attempt(id, 0, Outcome::Answered);
    }
    assert!(attempts[1] == 0 && attempts[3] > attempts[2], "{attempts:?}");
}

/// An even part of the rate limit rejected customers far within their quota whose requests came unevenly.
#[test]
fn rate_limit_above_the_quota_is_enforced_by_the_counter_and_even_parts() {
    let plan = PlanLimits {
        rate: 2.0,
        burst: 8.0,
        rate_limit: 4.0,
        rate_limit_burst: 16.0,
        ..quota_settings().plans[0].clone()
    };
    let mut harness = Harness::new(AdmissionSettings { plans: vec![plan], gateways: 4, ..settings() }, 5);
    harness.spread = 4;
    assert!(admitted(&mut harness, 20) >= 6, "the quota, all through one gateway");
    let mut admitted_without_counter = |seconds: f64| {
        harness.advance(seconds);
        (0..40)
            .filter(|_| {
                harness.checker.counter_calls.clear();
                let id = harness.arrive(0, 0, 2, 1.0, 2.5);
                harness.advance(0.06);
                let admitted = harness.attempt_count(id) > 0;
                harness.end_attempt(id, 0, Outcome::Answered);
                admitted
            })
            .count()
    };
    let (soon, later) = (admitted_without_counter(0.0), admitted_without_counter(20.0));
    assert!(soon <= 2, "{soon} admitted: the even part starts empty");
    assert!((1..=6).contains(&later), "{later} admitted: an even part of the burst above the quota");
}

#[test]
fn deduplicated_request_is_retried_only_within_its_dedup_scope() {
    let mut harness = Harness::new(settings(), 6);
    let id = harness.arrive(1, 1, 1, 1.0, 2.5);
    harness.answer_counter_calls();
    harness.end_attempt(id, 0, Outcome::Error);
    let hosts: Vec<u64> =
        harness.checker.requests[&id].attempts.iter().map(|attempt| attempt.host - HOST).collect();
    assert_eq!(hosts.len(), 2);
    assert!(hosts[0] != hosts[1] && hosts[0] % 3 == hosts[1] % 3, "the other host of its cell");
    let other = (0..6).find(|n| n % 3 == hosts[0] % 3 && *n != hosts[0]).unwrap();
    harness.update_host_list(
        HostListUpdate::Delta,
        &[host_entry(other, HostState::Draining, 0.0), host_entry(hosts[0], HostState::Removed, 0.0)],
    );
    harness.end_attempt(id, 1, Outcome::Error);
    assert_eq!(
        harness.checker.requests[&id].answer,
        Some(Answer::Aborted),
        "no other host of its cell is left"
    );
}

#[test]
fn without_hosts_requests_are_rejected_at_once() {
    let mut harness = Harness::new(settings(), 0);
    for class in 0..4 {
        let id = harness.arrive(class, 0, 1, 1.0, 2.5);
        assert!(matches!(harness.checker.requests[&id].answer, Some(Answer::Rejected(wait)) if wait > 0.0));
    }
}

#[test]
fn true_units_are_settled_with_the_next_add() {
    let mut harness = Harness::new(AdmissionSettings { settles: true, ..quota_settings() }, 5);
    let id = harness.arrive(0, 0, 1, 2.0, 2.5);
    harness.answer_counter_calls();
    let (now, host) = (harness.checker.now, harness.checker.requests[&id].attempts[0].host);
    let (outcome, load, true_units) = (Outcome::Answered, Load::default(), 3.0);
    let ended = AttemptResult {
        request: id,
        attempt: 0,
        final_attempt: true,
        outcome,
        elapsed: 0.1,
        true_units,
        host,
        load,
    };
    harness.admission.attempt_ended(now, &mut harness.checker, ended);
    harness.arrive(0, 0, 1, 2.0, 2.5);
    let adds: Vec<f64> = harness.checker.counter_calls.values().flatten().map(|c| c.0).collect();
    assert_eq!(adds, [3.0], "two units, and the one by which the first request was underestimated");
}

#[test]
fn overage_is_bounded_by_the_tier_beyond_the_quota() {
    let mut settings = quota_settings();
    settings.plans[0].overage_revenue = 0.5;
    let mut harness = Harness::new(settings, 5);
    let admitted = admitted(&mut harness, 200);
    assert!(admitted > 40 && admitted <= 80, "{admitted}: the quota's burst, then up to one more");
}

#[test]
fn gateways_start_with_different_hosts() {
    let first_host = |seed: u64| {
        let mut harness = Harness::new(settings(), 0);
        harness.admission = Admission::start(settings(), seed, 0.0, &mut harness.checker);
        harness.update_host_list(
            HostListUpdate::Cached,
            &(0..5).map(|n| host_entry(n, HostState::Ready, 0.0)).collect::<Vec<_>>(),
        );
        let id = harness.arrive(0, 0, 1, 1.0, 2.5);
        harness.answer_counter_calls();
        harness.checker.requests[&id].attempts[0].host
    };
    let hosts: std::collections::BTreeSet<HostId> = (0..30).map(first_host).collect();
    assert_eq!(hosts.len(), 5, "the first hosts of thirty gateways are all five");
}

#[test]
fn failed_connect_ejects_a_host_and_a_reset_does_not() {
    for (outcome, probes) in [(Outcome::Reset, 0), (Outcome::ConnectFailed, 1)] {
        let mut harness =
            Harness::new(AdmissionSettings { plans: vec![PlanLimits::default()], ..settings() }, 2);
        let id = harness.arrive(0, 0, 1, 1.0, 2.5);
        harness.end_attempt(id, 0, outcome);
        harness.advance(1.1);
        assert_eq!(harness.checker.probes.len(), probes, "{outcome:?}");
    }
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

#[test]
fn large_fleet_detects_a_slow_host_from_few_answers() {
    let mut harness = Harness::new(
        AdmissionSettings { gateways: 200, plans: vec![PlanLimits::default()], ..settings() },
        4,
    );
    let mut at_slow = [0; 2];
    for n in 0..200 {
        let id = harness.arrive(0, 0, 1, 1.0, 2.5);
        let host = harness.checker.requests[&id].attempts[0].host;
        at_slow[n / 100] += usize::from(host == HOST);
        harness.advance(if host == HOST { 0.7 } else { 0.1 });
        harness.end_attempt(id, 0, Outcome::Answered);
        harness.advance(4.0);
    }
    assert!(at_slow[0] <= 20 && at_slow[1] <= 5, "attempts at the slow host, {at_slow:?} of a hundred each");
}

#[test]
fn after_a_pause_pending_events_are_handled_before_timeouts() {
    let mut harness = Harness::new(AdmissionSettings { plans: vec![PlanLimits::default()], ..settings() }, 3);
    let id = harness.arrive(0, 0, 1, 1.0, 2.5);
    harness.advance(0.1);
    harness.pause_process(1.5);
    assert!(harness.checker.cancellations.is_empty(), "its answer may have arrived during the pause");
    harness.end_attempt(id, 0, Outcome::Answered);
    harness.advance(3.0);
    assert!(harness.checker.probes.is_empty() && harness.attempt_count(id) == 1);
}

#[test]
fn after_a_pause_expiring_requests_are_answered_in_the_first_call() {
    let mut harness = Harness::new(quota_settings(), 3);
    let ids = [0.5, 2.5].map(|remaining| harness.arrive(0, 0, 1, 1.0, remaining));
    harness.pause_process(0.498);
    assert!(matches!(harness.checker.requests[&ids[0]].answer, Some(Answer::Rejected(_))));
    assert_eq!(harness.checker.requests[&ids[1]].answer, None, "there is time for the counter's reply");
    harness.answer_counter_calls();
    assert_eq!(ids.map(|id| harness.attempt_count(id)), [0, 1]);
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

/// With hundreds of gateways each attempt opened a connection of its own, and a gateway heard from a host once in 20 s.
#[test]
fn large_fleet_uses_subsets_that_cover_all_hosts() {
    let plans = vec![PlanLimits::default()];
    let entries: Vec<HostEntry> = (0..100).map(|n| host_entry(n, HostState::Ready, 0.0)).collect();
    let attempts_by_host = |number: u32, gateways: u32| {
        let settings =
            AdmissionSettings { gateways, gateway_number: number, plans: plans.clone(), ..settings() };
        let mut harness = Harness::new(settings, 0);
        harness.update_host_list(HostListUpdate::Full, &entries);
        let mut attempts = std::collections::BTreeMap::new();
        for _ in 0..200 {
            let id = harness.arrive(0, 0, 1, 1.0, 2.5);
            *attempts.entry(harness.checker.requests[&id].attempts[0].host).or_insert(0) += 1;
            harness.advance(0.02);
            harness.end_attempt(id, 0, Outcome::Answered);
        }
        attempts
    };
    assert_eq!(attempts_by_host(0, 3).len(), 100, "three gateways send to all hosts");
    let mut at_host = std::collections::BTreeMap::new();
    for number in 0..300 {
        let attempts = attempts_by_host(number, 300);
        assert_eq!(attempts.len(), 5, "gateway {number}");
        attempts.into_iter().for_each(|(host, count)| *at_host.entry(host).or_insert(0) += count);
    }
    assert_eq!(at_host.len(), 100, "no host is left out");
    let (least, most) = (at_host.values().min().unwrap(), at_host.values().max().unwrap());
    assert!(most <= &(least * 5), "{least} to {most} attempts a host");
}

/// A host that is ejected, drains or is removed is replaced in the subset by the next one in the gateway's order.
#[test]
fn unavailable_host_is_replaced_in_the_subset() {
    let settings = AdmissionSettings { gateways: 300, plans: vec![PlanLimits::default()], ..settings() };
    let mut harness = Harness::new(settings, 60);
    for _ in 0..40 {
        let id = harness.arrive(0, 0, 1, 1.0, 2.5);
        let host = harness.checker.requests[&id].attempts.last().unwrap().host;
        harness.end_attempt(id, 0, Outcome::ConnectFailed);
        assert_eq!(harness.attempt_count(id), 2, "another host is left");
        assert_ne!(harness.checker.requests[&id].attempts[1].host, host);
        harness.end_attempt(id, 1, Outcome::Answered);
        harness.update_host_list(HostListUpdate::Delta, &[host_entry(host - HOST, HostState::Removed, 0.0)]);
    }
    assert!(harness.checker.violations.is_empty(), "{:?}", harness.checker.violations);
}

/// Sends requests of one customer, two units each, at these times, each to a gateway that has never seen the customer.
/// Returns how many were admitted, and the number of calls to the counter.
fn each_at_a_new_gateway(rate: f64, burst: f64, times: impl Iterator<Item = f64>) -> (usize, usize) {
    let plans = vec![PlanLimits { rate, burst, ..PlanLimits::default() }];
    let settings = AdmissionSettings { plans, gateways: 300, ..settings() };
    let (mut totals, mut admitted, mut calls) = (std::collections::BTreeMap::new(), 0, 0);
    for at in times {
        let mut harness = Harness::new(settings.clone(), 5);
        (harness.spread, harness.checker.now) = (200, 1000.0 + at);
        harness.counter_totals = std::mem::take(&mut totals);
        let id = harness.arrive(0, 0, 1, 2.0, 2.5);
        while let Some(key) =
            harness.checker.counter_calls.iter().find(|(_, calls)| !calls.is_empty()).map(|(key, _)| *key)
        {
            calls += 1;
            harness.answer_counter_call(key, Some(true));
        }
        admitted += harness.attempt_count(id);
        totals = harness.counter_totals;
    }
    (admitted, calls)
}

/// With hundreds of gateways each request of a customer reaches one that has not seen the customer before. Many requests
/// within the quota were rejected there, as if all earlier use had come at the end of its window, and most made a second
/// call to read the closed window.
#[test]
fn single_total_suffices_for_a_gateway_new_to_the_customer() {
    let bursts = (0..80).map(|n| f64::from(n % 8) * 0.5 + f64::from(n / 8) * 8.0);
    let (within, calls) = each_at_a_new_gateway(3.0, 12.0, bursts);
    assert!(within >= 74, "{within} of 80 admitted at two thirds of the rate, in bursts of the plan's size");
    assert!(calls <= 110, "{calls} calls for 80");
    let (beyond, _) = each_at_a_new_gateway(3.0, 12.0, (0..240).map(|n| f64::from(n) * 0.2));
    let part = beyond as f64 / (12.0 + 3.0 * 48.0) * 2.0;
    assert!((0.8..=1.1).contains(&part), "{part} of the quota at three times the rate");
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

/// A deduplicated request that a silent host held for seconds, with no other host in its cell, counted against the capacity
/// of all other hosts.
#[test]
fn silent_host_is_ejected_even_if_its_request_cannot_be_retried() {
    let mut settings = AdmissionSettings {
        plans: vec![PlanLimits::default()],
        may_hedge: true,
        gateways: 300,
        ..settings()
    };
    settings.classes.iter_mut().for_each(|class| class.dedup_window = 15.0);
    let mut harness = Harness::new(settings, 3);
    let held: Vec<u32> = (0..3).map(|_| harness.arrive(1, 0, 1, 1.0, 8.0)).collect();
    let silent = harness.checker.requests[&held[0]].attempts[0].host;
    held[1..].iter().for_each(|id| harness.end_attempt(*id, 0, Outcome::Answered));
    harness.advance(1.65);
    let ids: Vec<u32> = (0..2).map(|_| harness.arrive(1, 0, 1, 1.0, 2.5)).collect();
    let hosts: Vec<u64> = ids.iter().map(|id| harness.checker.requests[id].attempts[0].host).collect();
    assert!(!hosts.contains(&silent), "{hosts:?}: host {silent} is ejected");
    assert!(harness.checker.violations.is_empty(), "{:?}", harness.checker.violations);
}

/// A host outside the gateway's subset was never selected, not even for a retry that only it may run.
#[test]
fn retry_bound_to_a_cell_may_leave_the_subset() {
    let settings = AdmissionSettings { gateways: 300, plans: vec![PlanLimits::default()], ..settings() };
    let mut harness = Harness::new(settings, 0);
    let pairs = (0..60).map(|n| HostEntry { cell: (n / 2) as u16, ..host_entry(n, HostState::Ready, 0.0) });
    harness.update_host_list(HostListUpdate::Full, &pairs.collect::<Vec<_>>());
    for _ in 0..8 {
        let id = harness.arrive(1, 0, 1, 1.0, 2.5);
        harness.end_attempt(id, 0, Outcome::Error);
        let hosts: Vec<u64> =
            harness.checker.requests[&id].attempts.iter().map(|attempt| attempt.host - HOST).collect();
        assert!(hosts.len() == 2 && hosts[0] ^ 1 == hosts[1], "{hosts:?}: the other host of its cell");
        harness.end_attempt(id, 1, Outcome::Answered);
        harness.advance(6.1);
    }
    assert!(harness.checker.violations.is_empty(), "{:?}", harness.checker.violations);
}

/// Seventy gateways that were started together retried an overloaded discovery service in step, once a second, forever.
#[test]
fn failed_subscriptions_back_off_with_jitter() {
    let settings = AdmissionSettings { must_subscribe: true, gateways: 100, ..settings() };
    let started = |seed| {
        let mut harness = Harness::new(settings.clone(), 3);
        harness.checker.subscriptions.clear();
        harness.admission = Admission::start(settings.clone(), seed, 0.0, &mut harness.checker);
        harness
    };
    let mut fleet: Vec<Harness> = (0..70).map(started).collect();
    let (mut calls, mut served) = (0, 0);
    // A subscription fails if more than four come within the same fifth of a second.
    for _ in 0..100 {
        let subscribers: Vec<usize> =
            (0..fleet.len()).filter(|n| fleet[*n].checker.subscriptions.pop().is_some()).collect();
        for n in &subscribers {
            let update = if subscribers.len() > 4 { HostListUpdate::Failed } else { HostListUpdate::Delta };
            fleet[*n].update_host_list(update, &[]);
            served += usize::from(update == HostListUpdate::Delta);
        }
        calls += subscribers.len();
        fleet.iter_mut().for_each(|harness| harness.advance(0.2));
    }
    assert_eq!(served, 70, "after 20 s and {calls} calls");
    assert!(calls <= 70 * 6, "{calls} calls");
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
