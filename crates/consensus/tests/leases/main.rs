//! Leases: message sequences in which the model checker once found a fault, and an abstract model of grants
//! that is checked exhaustively.

mod abstract_model;

use abstract_model::{CheckedLeases, PlantedFault, check_all_states};
use archlink_consensus::Effect;
use archlink_consensus::leases::Leases;
use archlink_messages::{ConsensusMessage, LeaseGrant, Message, SingletonRole, VoterSet};

fn requested_grant(effects: &[Effect]) -> Option<(LeaseGrant, u64)> {
    effects.iter().find_map(|effect| match effect {
        Effect::Send(_, Message::Consensus(_, ConsensusMessage::LeaseRequest(grant, serial)))
            if grant.role == SingletonRole::QuotaCounter =>
        {
            Some((*grant, *serial))
        }
        _ => None,
    })
}

/// Guards against two holders. A node that is not a voter gave back the grants of a term, requested that term
/// again and won; the release arrived late, or twice, and freed a voter that the holder counted on.
#[test]
fn a_term_that_was_given_back_is_not_requested_again() {
    let mut leases = Leases::new(0.0, 4, 1, &[]);
    leases.set_voter_set(&VoterSet::initial(&[1, 2, 3]));
    let mut terms = Vec::new();
    for step in 0..100 {
        let now = f64::from(step) * 0.05;
        if let Some((grant, serial)) = requested_grant(&leases.tick(now)) {
            terms.push(grant.term);
            // One grant from three voters is no majority.
            leases.step(now, 1, &ConsensusMessage::LeaseGranted(grant, serial));
        }
    }
    assert!(terms.len() > 3 && terms.windows(2).all(|pair| pair[0] < pair[1]), "{terms:?}");
}

/// Guards against two holders. A voter renewed a term while its record still waited for a slow disk, lost
/// that record in a power failure, and granted another node the next term while the holder counted on the
/// renewal.
#[test]
fn a_renewal_waits_for_the_disk_until_the_term_is_on_it() {
    let mut leases = Leases::new(0.0, 1, 1, &[]);
    leases.set_voter_set(&VoterSet::initial(&[1, 2, 3]));
    let grant = LeaseGrant { role: SingletonRole::QuotaCounter, holder: 2, term: 1 };
    let grants_at_once = |effects: &[Effect]| {
        effects.iter().any(|effect| {
            matches!(effect, Effect::Send(_, Message::Consensus(_, ConsensusMessage::LeaseGranted(..))))
        })
    };
    let effects = leases.step(0.0, 2, &ConsensusMessage::LeaseRequest(grant, 7));
    let Some(Effect::Store(record, messages)) = effects.first() else { panic!("{effects:?}") };
    assert_eq!(record.grants, [grant]);
    assert!(!grants_at_once(&leases.step(0.2, 2, &ConsensusMessage::LeaseRenewal(grant, 8))));
    // A message from another node says nothing about this one's disk.
    leases.step(0.2, 2, &ConsensusMessage::GrantPersisted(grant));
    assert!(!grants_at_once(&leases.step(0.3, 2, &ConsensusMessage::LeaseRenewal(grant, 9))));
    for (to, message) in messages {
        if let (1, Message::Consensus(_, message)) = (*to, message) {
            leases.step(0.4, 1, message);
        }
    }
    assert!(
        grants_at_once(&leases.step(0.5, 2, &ConsensusMessage::LeaseRenewal(grant, 10))),
        "a renewal does not wait for the disk once the term is on it"
    );
}

#[test]
fn neither_restarts_nor_a_lost_disk_lead_to_two_holders() {
    let model = |planted_fault| CheckedLeases {
        planted_fault,
        changes_voter_set: false,
        loses_disk: true,
        terms: 2,
        uniform: false,
    };
    assert!(check_all_states(model(PlantedFault::None)).is_some_and(|states| states > 100_000));
    for planted_fault in [
        PlantedFault::GrantNotPersisted,
        PlantedFault::LostDiskGrants,
        PlantedFault::TermRequestedAgain,
        PlantedFault::CountedFromGrant,
    ] {
        assert_eq!(check_all_states(model(planted_fault)), None, "{planted_fault:?} is not found");
    }
}

#[test]
#[ignore = "a minute: cargo test --release -p archlink-consensus --test leases -- --ignored --nocapture"]
fn a_voter_set_change_does_not_lead_to_two_holders() {
    for (changes_voter_set, terms) in [(true, 2), (false, 3)] {
        let states = check_all_states(CheckedLeases {
            planted_fault: PlantedFault::None,
            changes_voter_set,
            loses_disk: !changes_voter_set,
            terms,
            uniform: changes_voter_set,
        });
        println!("voter set changes {changes_voter_set}, {terms} terms: {states:?} states");
        assert!(states.is_some());
    }
    let without_wait = CheckedLeases {
        planted_fault: PlantedFault::JointEpochWithoutWait,
        changes_voter_set: true,
        loses_disk: false,
        terms: 2,
        uniform: true,
    };
    assert_eq!(check_all_states(without_wait), None, "the missing wait in the joint epoch is not found");
}
