//! Plans whose limits are replaced while requests wait for the counter, and while tiers of the former limits are active.

use crate::harness::{Answer, Harness, settings};
use archlink_admission::interface::{AdmissionSettings, Outcome, PlanLimits};

/// Limits with a base tier and a burst tier, with one tier, with a smaller burst tier, and none.
fn limits() -> [PlanLimits; 4] {
    let plan = |rate, burst| PlanLimits { rate, burst, ..PlanLimits::default() };
    [plan(5.0, 40.0), plan(5.0, 2.0), plan(2.0, 30.0), plan(0.0, 0.0)]
}

fn harness() -> Harness {
    let plans = vec![limits()[0].clone()];
    Harness::new(AdmissionSettings { plans, max_units: 1.0, gateways: 1, ..settings() }, 5)
}

fn set_limits(harness: &mut Harness, limits: &PlanLimits) {
    harness.checker.settings.plans = vec![limits.clone()];
    harness.admission.set_plans(vec![limits.clone()]);
}

/// Answers the requests' counter calls and attempts, and checks that each request has ended.
fn end_all(harness: &mut Harness, case: &str) {
    for _ in 0..4 {
        harness.answer_counter_calls();
    }
    let open: Vec<u32> = harness.checker.requests.keys().copied().collect();
    for id in open {
        let is_answered = harness.checker.requests[&id].answer.is_some();
        assert!(is_answered || harness.attempt_count(id) > 0, "{case}: request {id} still waits");
        harness.end_attempt(id, 0, Outcome::Answered);
    }
    assert_eq!(harness.checker.violations, [""; 0], "{case}");
}

/// Guards against the end of all counting in a process: a request that waited for the counter while its plan lost a tier was
/// evaluated in a tier that is gone (review/4).
#[test]
fn request_that_waits_while_its_limits_are_replaced_is_checked_against_the_new_ones() {
    for (n, replaced_by) in limits().iter().enumerate() {
        // Each request count stops in another step: the add, the closed window, the marks of the burst tier, the next add.
        for requests in [1, 20, 34, 36, 40, 60] {
            for answered_calls in 0..8 {
                let case = format!("limits {n}, {requests} requests, {answered_calls} calls answered");
                let mut harness = harness();
                for _ in 0..requests {
                    harness.arrive(0, 0, 1, 1.0, 2.5);
                }
                for _ in 0..answered_calls {
                    let keys: Vec<u64> = harness.checker.counter_calls.keys().copied().collect();
                    keys.into_iter().for_each(|key| harness.answer_counter_call(key, Some(true)));
                }
                set_limits(&mut harness, replaced_by);
                end_all(&mut harness, &case);
            }
        }
    }
}

/// Guards against the same in a tier that was entered under the former limits and is active by its time.
#[test]
fn tier_that_the_new_limits_lack_is_not_used_although_its_period_has_not_ended() {
    for replaced_by in limits() {
        let mut harness = harness();
        for _ in 0..60 {
            let id = harness.arrive(0, 0, 1, 1.0, 2.5);
            harness.answer_counter_calls();
            harness.end_attempt(id, 0, Outcome::Answered);
        }
        set_limits(&mut harness, &replaced_by);
        harness.arrive(0, 0, 1, 1.0, 2.5);
        end_all(&mut harness, &format!("{replaced_by:?}"));
    }
}

/// The add of a request under the former limits is taken back, and a lifted limit admits all that wait.
#[test]
fn lifted_limit_admits_the_waiting_requests_and_takes_their_adds_back() {
    let mut harness = harness();
    let waiting: Vec<u32> = (0..12).map(|_| harness.arrive(0, 0, 1, 1.0, 2.5)).collect();
    set_limits(&mut harness, &limits()[3]);
    harness.answer_counter_calls();
    assert!(waiting.iter().all(|id| harness.attempt_count(*id) == 1));
    let counted: f64 = harness.counter_totals.values().map(|(total, _)| *total).sum();
    assert_eq!(counted, 0.0);
}

/// A request whose limits are replaced again and again ends at its counter deadline.
#[test]
fn request_ends_although_its_limits_are_replaced_at_every_reply() {
    let mut harness = harness();
    let id = harness.arrive(0, 0, 1, 1.0, 2.5);
    for n in 0..100 {
        let with_other_burst = PlanLimits { burst: 40.0 + f64::from(n), ..limits()[0].clone() };
        set_limits(&mut harness, &with_other_burst);
        harness.answer_counter_calls();
        harness.advance(0.01);
    }
    let ended = harness.attempt_count(id) > 0
        || matches!(harness.checker.requests[&id].answer, Some(Answer::Rejected(_)));
    assert!(ended && harness.checker.violations.is_empty(), "{:?}", harness.checker.violations);
}
