//! What a request costs its customer after the client disconnected: nothing, unless a host may have run it.

use crate::harness::*;
use archlink_admission::interface::*;

fn harness() -> Harness {
    let plan = PlanLimits { rate: 5.0, burst: 40.0, ..PlanLimits::default() };
    Harness::new(AdmissionSettings { plans: vec![plan], gateways: 1, ..settings() }, 3)
}

fn disconnect(harness: &mut Harness, id: u32) {
    harness.checker.requests.entry(id).and_modify(|tracked| tracked.answer = Some(Answer::ClientLeft));
    harness.admission.client_disconnected(harness.checker.now, &mut harness.checker, id);
    harness.answer_counter_calls();
}

fn units_used(harness: &Harness) -> f64 {
    harness.counter_totals.values().map(|total| total.0).sum()
}

/// The add of a request whose client disconnected before the counter replied was not refunded: a customer with impatient
/// clients used up its quota although no request ran.
#[test]
fn disconnect_before_the_counter_replies_is_refunded() {
    let mut harness = harness();
    for n in 0..60 {
        let id = harness.arrive(0, 0, 1, 1.0, 2.5);
        disconnect(&mut harness, id);
        assert!(units_used(&harness).abs() < 1e-9, "{} units used after request {n}", units_used(&harness));
        harness.advance(0.01);
    }
    assert!(harness.checker.violations.is_empty(), "{:?}", harness.checker.violations);
}

/// A request that a host is running, or may have run, stays charged.
#[test]
fn request_that_may_have_run_stays_charged_after_a_disconnect() {
    for ended in [None, Some(Outcome::Reset)] {
        let mut harness = harness();
        // Effectful: it may not be retried after a reset, and its client may disconnect before it is answered.
        let id = harness.arrive(2, 0, 1, 1.0, 2.5);
        harness.answer_counter_calls();
        assert_eq!(harness.attempt_count(id), 1);
        if let Some(outcome) = ended {
            harness.end_attempt(id, 0, outcome);
        }
        disconnect(&mut harness, id);
        assert!((units_used(&harness) - 1.0).abs() < 1e-9, "{ended:?}: {} units used", units_used(&harness));
    }
}
