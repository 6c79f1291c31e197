//! Selection, limits and ejection of hosts; one regression test for each failure found.

use crate::harness::{Answer, HOST, Harness, host_entry, settings};
use crate::quota_requests::{quota_settings, request_is_admitted};
use archlink_admission::admission::Admission;
use archlink_admission::interface::*;

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
