//! Decisions on retries, hedging and the final response, for all sequences of attempt ends.

use crate::attempt_progress::{AttemptClass, AttemptProgress};
use crate::attempts::{AttemptRules, Attempts, LocalOutcome, NextStep};
use crate::hedge::EXPECTED_TIME_FACTOR;

fn attempts(idempotent: bool) -> Attempts {
    Attempts::new(AttemptRules { idempotent, max_attempts: 2, latency_target: 0.4 })
}

/// For all sequences of attempt ends. Also checks that a request is sent to no more hosts than its route allows.
#[test]
fn request_that_may_have_executed_is_neither_retried_nor_answered_as_not_executed() {
    const CLASSES: [AttemptClass; 4] = [
        AttemptClass::Failure,
        AttemptClass::NotExecuted,
        AttemptClass::NotSent,
        AttemptClass::MayHaveExecuted,
    ];
    for idempotent in [false, true] {
        for sequence in 0..4_usize.pow(6) {
            let (mut attempts, mut executed, mut sent) = (attempts(idempotent), false, 0);
            for position in 0..6 {
                let class = CLASSES[sequence / 4_usize.pow(position) % 4];
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

/// Checks each row of the table at `AttemptProgress::classify`: the next step, and how the request ends without a retry.
#[test]
fn attempt_progress_determines_the_next_step() {
    use AttemptProgress::*;
    let responded = |status| Responded { status, not_executed: false };
    let (budgeted_retry, unbudgeted_retry) =
        (NextStep::Retry { budgeted: true }, NextStep::Retry { budgeted: false });
    let (relay, give_up) = (NextStep::Relay, NextStep::GiveUp(LocalOutcome::MayHaveExecuted));
    for (progress, if_idempotent, otherwise) in [
        (NotConnected, unbudgeted_retry, unbudgeted_retry),
        (NothingSent, unbudgeted_retry, unbudgeted_retry),
        (PartiallySent, budgeted_retry, give_up),
        (NoResponse, budgeted_retry, give_up),
        (TimedOut, budgeted_retry, give_up),
        (CancelledBeforeSend, unbudgeted_retry, unbudgeted_retry),
        (CancelledAfterSend, budgeted_retry, give_up),
        (Responded { status: 503, not_executed: true }, budgeted_retry, budgeted_retry),
        (Responded { status: 200, not_executed: true }, budgeted_retry, budgeted_retry),
        (responded(421), budgeted_retry, budgeted_retry),
        (responded(408), relay, give_up),
        (responded(429), relay, give_up),
        (responded(503), budgeted_retry, give_up),
        (responded(500), budgeted_retry, relay),
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

/// A disconnected client counts as having no time remaining.
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
