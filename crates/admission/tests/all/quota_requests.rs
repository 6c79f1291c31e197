//! Requests of customers with a quota, for several test files.

use crate::harness::{Harness, settings};
use archlink_admission::interface::*;

/// Settings with one plan: 5 units a second, 40 at once.
pub fn quota_settings() -> AdmissionSettings {
    let plan = PlanLimits { rate: 5.0, burst: 40.0, ..PlanLimits::default() };
    AdmissionSettings { plans: vec![plan], gateways: 1, ..settings() }
}

/// Sends a request whose counter calls and attempt are all answered; returns whether it was admitted.
pub fn request_is_admitted(harness: &mut Harness, customer: u64, units: f64) -> bool {
    let id = harness.arrive(0, 0, customer, units, 2.5);
    harness.answer_counter_calls();
    let admitted = harness.attempt_count(id) > 0;
    harness.end_attempt(id, 0, Outcome::Answered);
    admitted
}

/// The number of admitted requests of one unit among `requests`.
pub fn admitted(harness: &mut Harness, requests: usize) -> usize {
    (0..requests).filter(|_| request_is_admitted(harness, 1, 1.0)).count()
}
