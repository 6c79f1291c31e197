//! Each check detects its violation, and the violation's text names what was found.

use super::{ChosenValue, Invariants, Operation, RegisterHistory, Violation};
use archlink_consensus::Outcome;
use archlink_messages::{AcceptedValue, ProposalNumber, Register, SingletonRole, VersionDigest, VoterSet};
use bytes::Bytes;
use std::collections::BTreeSet;

fn accepted(round: u64, revision: u64, value: &'static str) -> AcceptedValue {
    let proposal = ProposalNumber { round, node: 1, nonce: 0 };
    AcceptedValue { proposal, revision, value: Bytes::from(value), recent_versions: Vec::new() }
}

fn recorded_history(values: &[AcceptedValue]) -> RegisterHistory {
    let mut history = RegisterHistory::default();
    for (time, value) in values.iter().enumerate() {
        assert_eq!(history.record_learned(time as f64, value), Ok(()));
    }
    history
}

#[test]
fn chosen_values_ordered_alike_by_proposal_and_revision_are_no_violation() {
    let history = recorded_history(&[
        accepted(5, 3, "c"),
        accepted(1, 1, "a"),
        accepted(3, 2, "b"),
        accepted(4, 2, "b"),
        accepted(3, 2, "b"),
    ]);
    assert_eq!(history.latest().map(|latest| (latest.revision, &latest.value[..])), Some((3, &b"c"[..])));
}

#[test]
fn two_values_under_one_proposal_number_are_a_violation() {
    let violation = recorded_history(&[accepted(1, 1, "a")]).record_learned(9.0, &accepted(1, 1, "b"));
    assert!(matches!(violation, Err(Violation::ConflictingValues { .. })), "{violation:?}");
}

#[test]
fn chosen_values_out_of_order_are_a_violation() {
    for wrong in [accepted(3, 1, "b"), accepted(3, 5, "b"), accepted(3, 2, "b"), accepted(3, 4, "b")] {
        let violation =
            recorded_history(&[accepted(2, 2, "a"), accepted(4, 4, "c")]).record_learned(9.0, &wrong);
        assert!(matches!(violation, Err(Violation::ValuesOutOfOrder { .. })), "{wrong:?}: {violation:?}");
    }
}

#[test]
fn a_value_is_known_before_a_moment_only_if_learned_earlier() {
    let history = recorded_history(&[accepted(1, 1, "a"), accepted(2, 2, "b")]);
    let known = |at| history.known_before(at).map(|proposal| proposal.round);
    assert_eq!([known(0.0), known(0.5), known(1.0), known(1.5)], [None, Some(1), Some(1), Some(2)]);
}

#[test]
fn an_operation_is_open_until_its_first_outcome() {
    let mut invariants = Invariants::default();
    let operation = Operation::Evacuation { zone: "east".into(), evacuated: true };
    invariants.record_submission(1.0, 2, 7, operation);
    assert!(invariants.is_open(7) && invariants.open_operations(2) == [7]);
    assert_eq!(invariants.check_outcome(2.0, 7, Outcome::Unknown, None), Ok(()));
    assert!(!invariants.is_open(7) && invariants.open_operations(2).is_empty());
    assert_eq!(invariants.check_outcome(3.0, 7, Outcome::Chosen, None), Ok(()));
    let resolution =
        invariants.operations[&7].resolution.map(|resolution| (resolution.at, resolution.outcome));
    assert_eq!(resolution, Some((2.0, Outcome::Unknown)));
}

#[test]
fn every_violation_has_a_text_that_names_what_was_found() {
    let register = Register::Configuration;
    let chosen = || Box::new(accepted(8, 77, "v"));
    let voter_set = |node| Box::new(VoterSet::initial(&[node]));
    let role = SingletonRole::QuotaCounter;
    let text = Bytes::from("v77");
    let proposal = ProposalNumber::default();
    let known = ChosenValue { revision: 77, value: text.clone(), at: 1.0 };
    let version = VersionDigest { version: 77, digest: [0; 16] };
    let zone = || "zone77".to_string();
    let operation = Operation::Evacuation { zone: zone(), evacuated: true };
    let committed = BTreeSet::new();
    for (violation, found) in [
        (Violation::ConflictingValues { known, learned: chosen() }, "ChosenValue { revision: 77"),
        (Violation::ConflictingVersions { version, chosen: chosen() }, "version: 77"),
        (
            Violation::StaleConfirmation { node: 77, register, confirmed: proposal, known: proposal },
            "77 has Configuration",
        ),
        (Violation::AcknowledgedEvacuationMissing { operation }, "zone77"),
        (
            Violation::EvacuationLost { zone: zone(), evacuated: true, committed },
            "evacuation of zone77 was last acknowledged as true",
        ),
        (Violation::ValuesOutOfOrder { learned: chosen(), before: None, after: None }, "77"),
        (Violation::EpochDecreased { node: 1, epoch: 77 }, "1 went back to epoch 77"),
        (Violation::ConflictingVoterSets { known: voter_set(76), adopted: voter_set(77) }, "77"),
        (Violation::ProposalDecreased { node: 1, chosen: chosen() }, "77"),
        (Violation::LeaseHeldTwice { role, holders: vec![1, 77] }, "QuotaCounter is held by [1, 77]"),
        (Violation::AcknowledgedVersionMissing { version: 77, newest_revision: 3 }, "version 77"),
        (Violation::AcknowledgedTextReplaced { text: text.clone(), chosen: None }, "v77"),
        (Violation::WrongOutcome { text, outcome: Outcome::Chosen, accepted: None }, "v77"),
        (Violation::OperationNotCommitted { token: 77, node: 1, outcome: None }, "operation 77 at 1"),
        (
            Violation::AcknowledgedConfigurationMissing { node: 1, revision: 3, acknowledged: 77 },
            "1 has revision 3, 77 was acknowledged",
        ),
        (Violation::NotLatest { node: 77, register, value: None, latest: None }, "77 has Configuration"),
        (Violation::NotConfirmed { node: 77, register }, "77 has Configuration not confirmed lately"),
        (Violation::VoterSetsDiffer { node: 1, adopted: voter_set(76), other: voter_set(77) }, "77"),
        (Violation::VoterNotRecovered { node: 77 }, "77 votes and has not recovered"),
        (Violation::LeaseNotAgreed { role, holder: Some(77), agreed: None }, "Some(77)"),
    ] {
        assert!(violation.to_string().contains(found), "{violation:?}: {violation}");
    }
}
