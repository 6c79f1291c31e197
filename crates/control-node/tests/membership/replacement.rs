//! Replacement of one voter by another node: by an operator, or automatically after a long absence.

use crate::{
    FIRST_HELPER_TOKEN, REPLACE, agreed_voter_set, check_cluster, run_until, started_fleet, voter_set,
};
use archlink_consensus::membership::ChangeResult;
use archlink_consensus::{MembershipChange, MembershipError, Outcome};
use archlink_messages::{NodeId, Register};
use archlink_simulation::Fleet;

#[test]
fn a_voter_is_replaced_before_the_caller_times_out_and_is_not_needed_afterwards() {
    for seed in 0..10 {
        let context = format!("seed {seed}");
        let mut fleet = started_fleet(seed);
        // Any node may be asked, also the one that becomes a voter.
        let requested_at = [1, 2, 3, 4][seed as usize % 4];
        fleet.change_membership(requested_at, 2, REPLACE);
        fleet.run(2.5);
        assert_eq!(fleet.done.get(&2), Some(&Outcome::Chosen), "{context}");
        let voter_set = agreed_voter_set(&fleet, &context);
        assert_eq!((voter_set.epoch, voter_set.voters), (3, vec![1, 2, 4]), "{context}");
        let on_disk = &fleet.disks[&4].durable.acceptors[&Register::Configuration];
        assert_eq!(on_disk.accepted.as_ref().unwrap().revision, 8);
        // A repeated request changes nothing.
        fleet.change_membership(2, 3, REPLACE);
        assert_eq!(fleet.done.get(&3), Some(&Outcome::Chosen), "{context}");
        fleet.kill(3, true);
        fleet.power_off(1, true);
        fleet.start(1, false);
        fleet.run(4.0);
        check_cluster(&mut fleet, &context);
    }
}

#[test]
fn an_impossible_membership_change_is_rejected() {
    let mut fleet = started_fleet(1);
    let rejected = |fleet: &mut Fleet, node, change, error| {
        let token = FIRST_HELPER_TOKEN + fleet.done.len() as u64;
        fleet.change_membership(node, token, change);
        assert_eq!(fleet.done.get(&token), Some(&Outcome::Rejected(error)));
    };
    let replace = |old, new| MembershipChange::Replace { old, new };
    rejected(&mut fleet, 1, replace(4, 9), MembershipError::NotAVoter);
    rejected(&mut fleet, 1, replace(3, 2), MembershipError::AlreadyAVoter);
    rejected(&mut fleet, 1, replace(3, 9), MembershipError::Unreachable);
    let new_generation =
        |epoch, voters: &[NodeId]| MembershipChange::ForceNewGeneration { epoch, voters: voters.to_vec() };
    rejected(&mut fleet, 1, new_generation(2, &[1]), MembershipError::WrongEpoch);
    rejected(&mut fleet, 1, new_generation(1, &[2]), MembershipError::NotAVoter);
    fleet.change_membership(1, 2, REPLACE);
    rejected(&mut fleet, 1, replace(2, 4), MembershipError::ChangeInProgress);
    fleet.run(3.0);
    // Two of three voters are lost: the remaining one is no quorum together with a new node.
    fleet.kill(2, false);
    fleet.kill(4, true);
    fleet.run(3.0);
    rejected(&mut fleet, 1, replace(2, 3), MembershipError::NotRecovered);
    fleet.start(4, false);
    rejected(&mut fleet, 4, replace(2, 3), MembershipError::Unknown);
    fleet.run(0.5);
    rejected(&mut fleet, 4, new_generation(3, &[4]), MembershipError::NotRecovered);
    assert_eq!(fleet.live[&4].voter_set().epoch, 3);
}

/// Any node is lost at any moment of a change, with or without its disk, temporarily or for good. Afterwards
/// all nodes agree on one voter set, a quorum of it runs, and that quorum has everything acknowledged.
#[test]
fn a_node_lost_at_any_moment_of_a_change_leaves_a_quorum_with_everything() {
    bolero::check!().with_iterations(300).with_type::<(u64, u8, u16, u8)>().for_each(
        |&(seed, nodes, moment, faults)| {
            let context = format!("{seed} {nodes} {moment} {faults}");
            let mut fleet = started_fleet(seed);
            if faults & 4 != 0 {
                (1..=4).for_each(|node| fleet.set_sync(node, 0.01 * f64::from(node)));
            }
            let (proposer, lost) = (NodeId::from(nodes % 3) + 1, NodeId::from(nodes / 4 % 4) + 1);
            let for_good = faults & 2 != 0;
            fleet.change_membership(proposer, 2, REPLACE);
            fleet.replace(1, 3, 8);
            // The change takes about 1.2 s.
            fleet.run(f64::from(moment % 1500) * 1e-3);
            fleet.replace(2, 4, 9);
            fleet.kill(lost, faults & 1 != 0);
            if !for_good {
                fleet.run(0.3);
                fleet.start(lost, false);
            }
            // Long enough for four attempts of two seconds, and ten seconds until a lost new node is given
            // up.
            fleet.run(14.0);
            let voter_set = agreed_voter_set(&fleet, &context);
            assert!(
                voter_set.voters == [1, 2, 3] || voter_set.voters == [1, 2, 4],
                "{context}: {voter_set:?}"
            );
            check_cluster(&mut fleet, &context);
        },
    );
}

/// The same with five voters, two of which are lost shortly after one another, with or without their disks,
/// temporarily or for good.
#[test]
fn two_of_five_lost_at_any_moment_of_a_change_leave_a_quorum_with_everything() {
    bolero::check!().with_iterations(50).with_type::<(u64, u8, u16, u8)>().for_each(
        |&(seed, nodes, moment, faults)| {
            let context = format!("{seed} {nodes} {moment} {faults}");
            let mut fleet = Fleet::with_size(seed, 5, 6);
            fleet.run(2.0);
            let voters = agreed_voter_set(&fleet, &context).voters;
            let spare = (4..=6).find(|node| !voters.contains(node)).expect("a spare node");
            let change = MembershipChange::Replace { old: voters[4], new: spare };
            fleet.change_membership(NodeId::from(nodes % 6) + 1, 2, change);
            fleet.replace(1, 3, 8);
            fleet.run(f64::from(moment % 1500) * 1e-3);
            let lost = [NodeId::from(nodes / 6 % 6) + 1, NodeId::from(faults / 4 % 6) + 1];
            fleet.kill(lost[0], faults & 1 != 0);
            fleet.run(f64::from(faults) * 1e-3);
            fleet.kill(lost[1], faults & 1 != 0);
            if faults & 2 == 0 {
                fleet.run(0.3);
                lost.iter().for_each(|&node| fleet.start(node, false));
            }
            fleet.run(18.0);
            assert_eq!(agreed_voter_set(&fleet, &context).voters.len(), 5, "{context}");
            check_cluster(&mut fleet, &context);
        },
    );
}

/// Two changes are requested at once at two nodes: one follows the other, or one is rejected.
#[test]
fn concurrent_changes_are_serialized() {
    for seed in 0..20 {
        let context = format!("seed {seed}");
        let mut fleet = Fleet::with_size(seed, 3, 5);
        fleet.run(1.5);
        fleet.change_membership(1, 2, REPLACE);
        fleet.run(0.003 * (seed % 10) as f64);
        fleet.change_membership(2, 3, MembershipChange::Replace { old: 2, new: 5 });
        fleet.run(6.0);
        let chosen = [2, 3].map(|token| fleet.done.get(&token) == Some(&Outcome::Chosen));
        assert!(chosen[0] || chosen[1], "{context}: {:?}", fleet.done);
        let voters = agreed_voter_set(&fleet, &context).voters;
        assert_eq!([voters.contains(&4), voters.contains(&5)], chosen, "{context}: {voters:?}");
        check_cluster(&mut fleet, &context);
    }
}

/// The new node is lost for good during the joint epoch: the change is rolled back, and the status shows
/// that.
#[test]
fn a_change_whose_new_node_is_lost_is_rolled_back() {
    for seed in 0..5 {
        let context = format!("seed {seed}");
        let mut fleet = started_fleet(seed);
        fleet.change_membership(1, 2, REPLACE);
        assert!(run_until(&mut fleet, 1.0, |fleet| voter_set(fleet, 1).is_joint()));
        fleet.kill(4, false);
        fleet.replace(1, 3, 8);
        fleet.run(2.0);
        assert_eq!(fleet.done.get(&3), Some(&Outcome::Chosen), "{context}: not accepted by both voter sets");
        fleet.run(11.0);
        assert_eq!(fleet.done.get(&2), Some(&Outcome::Unknown), "{context}");
        let voter_set = agreed_voter_set(&fleet, &context);
        assert_eq!((voter_set.epoch, voter_set.voters), (3, vec![1, 2, 3]), "{context}");
        let last_change = fleet.live[&2].voter_set_status(fleet.clock(2)).last_change;
        assert!(last_change.is_some_and(|(_, result)| result == ChangeResult::RolledBack), "{context}");
        check_cluster(&mut fleet, &context);
    }
}

/// A voter that is gone for good is replaced automatically, once, by a node of a zone that has no voter yet.
#[test]
fn a_voter_that_is_gone_for_long_is_replaced_automatically() {
    let mut fleet = started_fleet(1);
    fleet.kill(2, true);
    // A node that was frozen in between doesn't consider the others lost either.
    fleet.freeze(1, 280.0);
    fleet.run(299.0);
    assert_eq!(agreed_voter_set(&fleet, "not yet").voters, [1, 2, 3]);
    fleet.run(320.0);
    assert_eq!(agreed_voter_set(&fleet, "replaced").voters, [1, 3, 4]);
    check_cluster(&mut fleet, "replaced");
    fleet.start(2, false);
    fleet.run(40.0);
    let voter_set = agreed_voter_set(&fleet, "nothing more");
    assert_eq!((voter_set.epoch, voter_set.voters), (3, vec![1, 3, 4]));
}
