//! Decisions on attempts, over all ends in all orders.

use crate::attempt_progress::{AttemptClass, AttemptProgress};
use crate::attempts::{AttemptRules, Attempts, LocalOutcome, NextStep};
use crate::hedge::EXPECTED_TIME_FACTOR;

fn attempts(idempotent: bool) -> Attempts {
    Attempts::new(AttemptRules { idempotent, max_attempts: 2, latency_target: 0.4 })
}

/// Over all ends in all orders; nor does a request go to more hosts than the route allows.
#[test]
fn request_that_may_have_executed_is_neither_retried_nor_answered_as_not_executed() {
    const ENDS: [AttemptClass; 4] = [
        AttemptClass::Failure,
        AttemptClass::NotExecuted,
        AttemptClass::NotSent,
        AttemptClass::MayHaveExecuted,
    ];
    for idempotent in [false, true] {
        for code in 0..4_usize.pow(6) {
            let (mut attempts, mut executed, mut sent) = (attempts(idempotent), false, 0);
            for n in 0..6 {
                let class = ENDS[code / 4_usize.pow(n) % 4];
                attempts.attempt_started();
                assert!(!executed || idempotent);
                sent += u32::from(class != AttemptClass::NotSent);
                executed |= matches!(class, AttemptClass::Failure | AttemptClass::MayHaveExecuted);
                match attempts.attempt_ended(class, 1.0) {
                    NextStep::Retry { .. } => continue,
                    NextStep::GiveUp(outcome) => {
                        assert_eq!(outcome == LocalOutcome::MayHaveExecuted, executed);
                    }
                    NextStep::Relay => assert_eq!(class, AttemptClass::Failure),
                    NextStep::Wait => panic!("nothing is in flight"),
                }
                break;
            }
            assert!(sent <= 2, "{sent}");
        }
    }
}

/// The table of `AttemptProgress::classify`, each row by what the client gets where no other host is left, and whether
/// one is asked.
#[test]
fn each_attempt_progress_leads_to_the_step_of_its_table_row() {
    use AttemptProgress::*;
    let responded = |status| Responded { status, not_executed: false };
    let (retry, unbudgeted) = (NextStep::Retry { budgeted: true }, NextStep::Retry { budgeted: false });
    let (relay, unknown) = (NextStep::Relay, NextStep::GiveUp(LocalOutcome::MayHaveExecuted));
    for (progress, if_idempotent, otherwise) in [
        (NotConnected, unbudgeted, unbudgeted),
        (NothingSent, unbudgeted, unbudgeted),
        (PartiallySent, retry, unknown),
        (NoResponse, retry, unknown),
        (TimedOut, retry, unknown),
        (CancelledBeforeSend, unbudgeted, unbudgeted),
        (CancelledAfterSend, retry, unknown),
        (Responded { status: 503, not_executed: true }, retry, retry),
        (Responded { status: 200, not_executed: true }, retry, retry),
        (responded(421), retry, retry),
        (responded(408), relay, unknown),
        (responded(429), relay, unknown),
        (responded(503), retry, unknown),
        (responded(500), retry, relay),
        (responded(200), relay, relay),
        (responded(404), relay, relay),
    ] {
        for (idempotent, step) in [(true, if_idempotent), (false, otherwise)] {
            let mut attempts = attempts(idempotent);
            attempts.attempt_started();
            let class = progress.classify(idempotent);
            assert_eq!(attempts.attempt_ended(class, 1.0), step, "{progress:?}, {idempotent}");
            let never_executed = class == AttemptClass::NotExecuted || class == AttemptClass::NotSent;
            assert_eq!(
                matches!(attempts.local_outcome(), LocalOutcome::NotExecuted { .. }),
                never_executed || step == relay && progress != responded(500)
            );
        }
    }
}

/// A client that disconnected leaves no time.
#[test]
fn no_attempt_is_retried_without_time_remaining() {
    use AttemptClass::*;
    for idempotent in [false, true] {
        for class in [Success, Failure, NotExecuted, NotSent, MayHaveExecuted] {
            let mut attempts = attempts(idempotent);
            attempts.attempt_started();
            let step = attempts.attempt_ended(class, 0.0);
            assert!(!matches!(step, NextStep::Retry { .. } | NextStep::Wait), "{class:?}");
        }
    }
}

#[test]
fn only_idempotent_requests_are_hedged() {
    assert_eq!(attempts(false).hedge_delay(0.1), None);
    let mut hedged = attempts(true);
    assert_eq!(hedged.hedge_delay(0.1), Some(0.1 * EXPECTED_TIME_FACTOR));
    hedged.attempt_started();
    hedged.attempt_started();
    assert_eq!(hedged.hedge_delay(0.1), None);
    assert_eq!(hedged.attempt_ended(AttemptClass::MayHaveExecuted, 1.0), NextStep::Wait);
    let step = hedged.attempt_ended(AttemptClass::MayHaveExecuted, 1.0);
    assert_eq!(step, NextStep::GiveUp(LocalOutcome::MayHaveExecuted));
}
