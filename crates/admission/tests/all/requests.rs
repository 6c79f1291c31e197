//! The course of a request beside its quota: deadlines, pauses of the process, subscriptions; one regression test for each failure found.

use crate::harness::{Answer, HOST, Harness, host_entry, settings};
use crate::quota_requests::quota_settings;
use archlink_admission::admission::Admission;
use archlink_admission::interface::*;

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
