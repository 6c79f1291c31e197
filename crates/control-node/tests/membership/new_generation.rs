//! A forced new generation after a quorum of the voters is lost for good.

use crate::{agreed_voter_set, check_cluster, configuration_revision, started_fleet, voter_set};
use archlink_consensus::{MembershipChange, Outcome};
use archlink_messages::Register;
use archlink_simulation::invariants::Invariants;

/// Two of three voters are lost. An operator forces a new generation on the survivor, which adds another node
/// that the operator named. A value that the lost voters had chosen without the survivor is lost, and doesn't
/// return when they do.
#[test]
fn a_new_generation_begins_from_the_survivor_and_returning_voters_undo_nothing() {
    for seed in 0..10 {
        let context = format!("seed {seed}");
        let mut fleet = started_fleet(seed);
        for node in [1, 4] {
            [2, 3].iter().for_each(|&lost| fleet.cut(lost, node));
        }
        fleet.replace(2, 2, 9);
        fleet.run(0.8);
        assert_eq!(fleet.done.get(&2), Some(&Outcome::Chosen), "{context}");
        [2, 3].iter().for_each(|&node| fleet.kill(node, false));
        fleet.heal();
        fleet.run(1.0);
        let accepted = fleet.live[&1].voter_set_status(fleet.clock(1)).accepted;
        assert!(
            accepted
                .iter()
                .any(|(register, revision, _)| (*register, *revision) == (Register::Configuration, 8))
        );
        // From here on the loss is no violation, but a return of the lost value is.
        fleet.checks = Invariants::default();
        let epoch = voter_set(&fleet, 1).epoch;
        fleet.change_membership(1, 3, MembershipChange::ForceNewGeneration { epoch, voters: vec![1, 4] });
        fleet.run(2.5);
        assert_eq!(fleet.done.get(&3), Some(&Outcome::Chosen), "{context}");
        fleet.run(3.0);
        assert_eq!(agreed_voter_set(&fleet, &context).voters, [1, 4], "{context}");
        fleet.kill(1, false);
        fleet.start(1, false);
        fleet.run(1.0);
        fleet.replace(4, 4, 8);
        fleet.run(1.0);
        assert_eq!(fleet.done.get(&4), Some(&Outcome::Chosen), "{context}");
        [2, 3].iter().for_each(|&node| fleet.start(node, false));
        fleet.run(3.0);
        for &node in fleet.live.keys() {
            assert_eq!(configuration_revision(&fleet, node), Some(9), "{context}: the lost value is back");
        }
        check_cluster(&mut fleet, &context);
    }
}
