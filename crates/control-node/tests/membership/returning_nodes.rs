//! Nodes that leave the voter set or miss changes of it, and return with outdated state on disk.

use crate::{
    REPLACE, agreed_voter_set, check_cluster, configuration_revision, run_until, started_fleet, voter_set,
};
use archlink_consensus::{MembershipChange, Outcome};
use archlink_messages::{Message, NodeId, Register, SingletonRole, VoterSet};
use archlink_simulation::Fleet;

/// Only the replaced voter and one other node have a value on disk; the other node is lost right after the
/// change. `skip_convergence` injects the fault: the new epoch is adopted before the registers converged in
/// the joint epoch.
fn lose_only_copy(seed: u64, skip_convergence: bool) -> Fleet {
    let mut fleet = started_fleet(seed);
    fleet.strict = !skip_convergence;
    for peer in [2, 4] {
        [1, 3].iter().for_each(|&node| fleet.cut(node, peer));
    }
    fleet.replace(1, 2, 8);
    fleet.run(0.7);
    assert_eq!(fleet.done.get(&2), Some(&Outcome::Chosen), "seed {seed}");
    if skip_convergence {
        let new = voter_set(&fleet, 1).enter_joint(vec![1, 2, 4]).leave_joint(&[1, 2, 4]);
        for node in [1, 2, 4] {
            fleet.step(node, |control_node, now| control_node.step(now, 3, Message::VoterSet(new.clone())));
        }
        fleet.run(0.1);
    } else {
        fleet.heal();
        fleet.change_membership(1, 3, REPLACE);
        let in_new_epoch = |fleet: &Fleet| fleet.live.values().any(|node| node.voter_set().epoch == 3);
        assert!(run_until(&mut fleet, 4.0, in_new_epoch));
    }
    fleet.kill(1, true);
    fleet.kill(3, true);
    fleet.heal();
    fleet.run(4.0);
    fleet
}

#[test]
fn a_replaced_voter_with_the_only_other_copy_is_not_needed() {
    for seed in 0..20 {
        assert_eq!(configuration_revision(&lose_only_copy(seed, false), 4), Some(9), "seed {seed}");
    }
    let faulty = lose_only_copy(1, true);
    assert!(
        faulty.fault.is_some() || configuration_revision(&faulty, 4) < Some(9),
        "the injected fault is not detected"
    );
}

/// Two nodes that were a quorum of the first voter set return after two changes and reach only each other.
/// `forget_epoch` injects the fault: their disks lose the epoch that they stored.
fn return_of_former_voters(seed: u64, forget_epoch: bool) -> Fleet {
    let mut fleet = Fleet::with_size(seed, 3, 5);
    fleet.run(1.5);
    fleet.kill(3, false);
    fleet.change_membership(1, 1, REPLACE);
    fleet.run(3.0);
    assert_eq!(fleet.done.get(&1), Some(&Outcome::Chosen), "seed {seed}");
    fleet.kill(2, false);
    fleet.change_membership(4, 2, MembershipChange::Replace { old: 2, new: 5 });
    fleet.run(3.0);
    assert_eq!(fleet.done.get(&2), Some(&Outcome::Chosen), "seed {seed}");
    fleet.replace(5, 3, 3);
    fleet.run(1.0);
    for former in [2, 3] {
        for voter in [1, 4, 5] {
            fleet.cut(former, voter);
            fleet.cut(voter, former);
        }
        if forget_epoch {
            fleet.disks.get_mut(&former).unwrap().durable.voter_set = VoterSet::initial(&[1, 2, 3]);
        }
    }
    fleet.strict = !forget_epoch;
    fleet.start(2, false);
    fleet.start(3, false);
    fleet.replace(3, 4, 9);
    fleet.run(2.0);
    fleet
}

#[test]
fn former_voters_that_reach_only_each_other_are_no_quorum() {
    for seed in 0..10 {
        let context = format!("seed {seed}");
        let mut fleet = return_of_former_voters(seed, false);
        assert_eq!(fleet.done.get(&4), Some(&Outcome::Unknown), "{context}");
        for former in [2, 3] {
            let confirmed = fleet.live[&former].proposer.confirmed(Register::Configuration);
            assert!(confirmed.is_none(), "{context}");
            let holder = fleet.holder(SingletonRole::QuotaCounter);
            assert!(holder.is_none_or(|holder| holder != former), "{context}");
        }
        fleet.heal();
        // A restart opens new connections.
        [2, 3].iter().for_each(|&node| fleet.kill(node, false));
        [2, 3].iter().for_each(|&node| fleet.start(node, false));
        fleet.run(2.0);
        assert_eq!(agreed_voter_set(&fleet, &context).voters, [1, 4, 5], "{context}");
        check_cluster(&mut fleet, &context);
    }
    assert!(return_of_former_voters(1, true).fault.is_some(), "the injected fault is not detected");
}

/// A voter that was down during two changes and is still a voter continues in the current epoch.
#[test]
fn a_voter_that_missed_two_changes_finds_the_current_epoch() {
    for seed in 0..10 {
        let context = format!("seed {seed}");
        let mut fleet = Fleet::with_size(seed, 5, 7);
        fleet.run(3.0);
        let voters = agreed_voter_set(&fleet, &context).voters;
        let spare: Vec<NodeId> = (4..=7).filter(|node| !voters.contains(node)).collect();
        fleet.kill(1, false);
        for n in 0..2 {
            let (token, old, new) = (2 + n as u64, voters[3 + n], spare[n]);
            fleet.change_membership(2, token, MembershipChange::Replace { old, new });
            fleet.run(3.0);
            assert_eq!(fleet.done.get(&token), Some(&Outcome::Chosen), "{context}");
        }
        // It reaches only the two replaced voters, with which it once was a quorum.
        for voter in [2, 3, spare[0], spare[1]] {
            fleet.cut(1, voter);
            fleet.cut(voter, 1);
        }
        fleet.start(1, false);
        fleet.replace(1, 4, 9);
        fleet.run(2.0);
        assert_eq!(fleet.done.get(&4), Some(&Outcome::Unknown), "{context}");
        fleet.heal();
        fleet.kill(1, false);
        fleet.start(1, false);
        fleet.run(2.0);
        assert_eq!(agreed_voter_set(&fleet, &context).voters, [1, 2, 3, spare[0], spare[1]], "{context}");
        check_cluster(&mut fleet, &context);
    }
}
