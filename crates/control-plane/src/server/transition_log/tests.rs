//! Tests that each transition is logged once, with its fields.

use super::*;
use crate::tests::log_capture::logged_by;

const NO_LEASES: [(SingletonRole, Option<u64>); 2] =
    [(SingletonRole::HostDiscovery, None), (SingletonRole::QuotaCounter, None)];

/// The lines that one observation logs.
fn observe(
    log: &mut TransitionLog,
    now: f64,
    contact_age: Option<f64>,
    voter_set: &VoterSet,
    counter_term: Option<u64>,
) -> Vec<String> {
    let held_terms = [(SingletonRole::HostDiscovery, None), (SingletonRole::QuotaCounter, counter_term)];
    let events = log.observe(now, &Observation { contact_age, voter_set, held_terms });
    logged_by(|| events.iter().for_each(TransitionEvent::log))
}

/// Each transition is logged once, and a membership change that is rolled back is not logged as committed.
#[test]
fn each_transition_is_logged_once() {
    let mut log = TransitionLog::default();
    let mut observe =
        |now, contact_age, voter_set: &VoterSet, term| observe(&mut log, now, contact_age, voter_set, term);
    let first = VoterSet::initial(&[1, 2, 3]);
    let joint = first.enter_joint(vec![1, 2, 4]);
    assert_eq!(
        observe(0.0, None, &first, None),
        ["voter set learned epoch=1 voters=0.0.0.1,0.0.0.2,0.0.0.3"]
    );
    assert_eq!(
        observe(1.0, Some(0.1), &first, Some(7)),
        ["quorum contact established after_s=1.0", "lease granted role=QuotaCounter term=7"]
    );
    assert!(observe(1.1, Some(0.2), &first, Some(7)).is_empty());
    assert_eq!(
        observe(5.0, Some(2.5), &first, None),
        ["quorum contact lost silence_s=2.5 after_s=4.0", "lease lost role=QuotaCounter term=7"]
    );
    assert!(observe(6.0, Some(3.5), &first, None).is_empty());
    let voters = "epoch=2 voters=0.0.0.1,0.0.0.2,0.0.0.3 incoming=0.0.0.1,0.0.0.2,0.0.0.4";
    assert_eq!(
        observe(7.0, Some(0.1), &joint, None),
        [
            "quorum contact regained after_s=4.5".to_string(),
            format!("joint voter set learned {voters}"),
            format!("membership change started {voters}"),
        ]
    );
    assert_eq!(
        observe(8.0, Some(0.1), &joint.leave_joint(&first.voters), None),
        [
            "voter set learned epoch=3 voters=0.0.0.1,0.0.0.2,0.0.0.3",
            "membership change rolled back epoch=3 voters=0.0.0.1,0.0.0.2,0.0.0.3",
        ]
    );
}

#[test]
fn committed_membership_change_is_logged_with_the_new_voters() {
    let first = VoterSet::initial(&[1, 2, 3]);
    let joint = first.enter_joint(vec![1, 2, 4]);
    let mut log = TransitionLog { voter_set: joint.clone(), ..TransitionLog::default() };
    let committed = joint.leave_joint(&joint.incoming);
    assert_eq!(
        observe(&mut log, 1.0, None, &committed, None),
        [
            "voter set learned epoch=3 voters=0.0.0.1,0.0.0.2,0.0.0.4",
            "membership change committed epoch=3 voters=0.0.0.1,0.0.0.2,0.0.0.4",
        ]
    );
}

/// A membership change is logged as committed even if its joint voter set began and ended between two observations.
#[test]
fn membership_change_between_two_observations_is_logged_as_committed() {
    let first = VoterSet::initial(&[1, 2, 3]);
    let joint = first.enter_joint(vec![1, 2, 4]);
    let mut log = TransitionLog { voter_set: first, ..TransitionLog::default() };
    let events = log.observe(
        1.0,
        &Observation {
            contact_age: None,
            voter_set: &joint.leave_joint(&joint.incoming),
            held_terms: NO_LEASES,
        },
    );
    let voters = vec![1, 2, 4];
    assert_eq!(
        events,
        [
            TransitionEvent::VoterSet { epoch: 3, voters: voters.clone(), incoming: None },
            TransitionEvent::MembershipChangeCommitted { epoch: 3, voters },
        ]
    );
}

#[test]
fn silence_since_the_start_is_logged_once_after_the_grace_period() {
    let (mut log, unknown) = (TransitionLog::default(), VoterSet::default());
    assert!(observe(&mut log, STARTUP_GRACE, None, &unknown, None).is_empty());
    assert_eq!(observe(&mut log, 5.1, None, &unknown, None), ["no quorum contact since start"]);
    assert!(observe(&mut log, 5.2, None, &unknown, None).is_empty());
    assert_eq!(observe(&mut log, 8.0, Some(0.1), &unknown, None), ["quorum contact regained after_s=8.0"]);
}

/// A lease in a later term is logged as a new lease, and each role by its name.
#[test]
fn each_lease_is_logged_with_its_role_and_term() {
    let (voter_set, mut log) = (VoterSet::default(), TransitionLog::default());
    let mut lines = |term: Option<u64>| {
        let held_terms = SINGLETON_ROLES.map(|role| (role, term));
        let events = log.observe(0.0, &Observation { contact_age: None, voter_set: &voter_set, held_terms });
        logged_by(|| events.iter().for_each(TransitionEvent::log))
    };
    let both = |event: &str, term: u64| {
        ["HostDiscovery", "QuotaCounter"].map(|role| format!("{event} role={role} term={term}"))
    };
    assert_eq!(lines(Some(3)), both("lease granted", 3));
    assert!(lines(Some(3)).is_empty());
    assert_eq!(lines(Some(4)), both("lease granted", 4));
    assert_eq!(lines(None), both("lease lost", 4));
}
