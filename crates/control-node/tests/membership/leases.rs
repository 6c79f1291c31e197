//! Leases of singleton roles during membership changes.

use crate::{REPLACE, started_fleet, voter_set};
use archlink_consensus::leases::Leases;
use archlink_consensus::{Effect, MembershipChange, Outcome};
use archlink_messages::{ConsensusMessage, LeaseGrant, Message, SINGLETON_ROLES, SingletonRole, VoterSet};
use archlink_simulation::Fleet;

/// Lease holders are frozen, partitioned and killed during membership changes. The simulation checks in every
/// step that no role has two holders.
#[test]
fn no_role_has_two_holders_through_changes_and_each_has_one_afterwards() {
    bolero::check!().with_iterations(150).with_type::<(u64, Vec<(u8, u8)>)>().for_each(|(seed, schedule)| {
        let mut fleet = Fleet::new(*seed);
        fleet.run(2.0);
        for (n, &(action, length)) in schedule.iter().take(8).enumerate() {
            let holder = fleet.holder(SingletonRole::QuotaCounter).unwrap_or(1);
            let voters = voter_set(&fleet, 1).voters.clone();
            let spare = (1..=4).find(|node| !voters.contains(node)).unwrap_or(4);
            match action % 5 {
                0 | 1 => {
                    let old = voters[usize::from(length) % voters.len()];
                    let change = MembershipChange::Replace { old, new: spare };
                    fleet.change_membership(voters[usize::from(action) % voters.len()], n as u64, change);
                }
                2 => fleet.freeze(holder, f64::from(length) / 64.0),
                3 => (1..=4).for_each(|node| fleet.cut_for(holder, node, f64::from(length) / 64.0)),
                _ => {
                    fleet.kill(holder, false);
                    fleet.start(holder, false);
                }
            }
            fleet.run(f64::from(length) / 128.0);
        }
        fleet.heal();
        fleet.run(14.0);
        for role in SINGLETON_ROLES {
            assert!(fleet.holder(role).is_some(), "no holder of {role:?}");
        }
    });
}

/// Regression: two incarnations held the same term. A holder that was no voter restarted, requested the term
/// that it had held, and was granted it as a renewal, while messages about its release were still in flight.
#[test]
fn a_request_of_another_incarnation_is_no_renewal() {
    let mut voter = Leases::new(0.0, 1, 7, &[]);
    voter.set_voter_set(&VoterSet::initial(&[1, 2, 3]));
    let grant = LeaseGrant { role: SingletonRole::QuotaCounter, holder: 4, term: 1 };
    let next_term = LeaseGrant { term: 2, ..grant };
    let mut is_granted = |now, message: ConsensusMessage| {
        matches!(
            &voter.step(now, 4, &message)[..],
            [Effect::Store(..)]
                | [Effect::Send(_, Message::Consensus(_, ConsensusMessage::LeaseGranted(..)))]
        )
    };
    assert!(is_granted(0.1, ConsensusMessage::LeaseRequest(grant, 5)));
    assert!(is_granted(0.2, ConsensusMessage::LeaseRenewal(grant, 6)));
    assert!(!is_granted(0.3, ConsensusMessage::LeaseRequest(grant, 99)));
    assert!(is_granted(0.4, ConsensusMessage::LeaseRequest(next_term, 100)));
}

/// Terms keep growing after the voters that granted them are gone: a new voter learns the earlier grants
/// before it votes.
#[test]
fn terms_grow_through_a_membership_change_and_a_kill_of_all() {
    for seed in 0..20 {
        let mut fleet = started_fleet(seed);
        let max_term = |fleet: &Fleet, role| {
            let grants = fleet.live.iter().flat_map(|(id, node)| node.leases.holders(fleet.clock(*id)));
            grants.filter(|grant| grant.role == role).map(|grant| grant.term).max()
        };
        let before = SINGLETON_ROLES.map(|role| max_term(&fleet, role));
        fleet.change_membership(1, 2, REPLACE);
        fleet.run(2.5);
        assert_eq!(fleet.done.get(&2), Some(&Outcome::Chosen), "seed {seed}");
        (1..=4).for_each(|node| fleet.kill(node, false));
        [2, 4].iter().for_each(|&node| fleet.start(node, false));
        fleet.run(3.0);
        let after = SINGLETON_ROLES.map(|role| max_term(&fleet, role));
        assert!(after[0] > before[0] && after[1] > before[1], "seed {seed}: {before:?} {after:?}");
    }
}

/// Partitions a lease holder whose grants all come from voters of the old voter set. `skip_joint_epoch`
/// injects the fault: the new voter set is in force before those grants have expired. Returns the violation
/// that the simulation detected.
fn partition_holder(seed: u64, skip_joint_epoch: bool) -> Result<(), String> {
    let mut fleet = started_fleet(seed);
    fleet.strict = false;
    // Hand the lease over to node 3, granted by node 1 and itself.
    let holder = fleet.holder(SingletonRole::QuotaCounter).unwrap();
    if holder != 3 {
        fleet.cut(3, 2);
        fleet.cut(3, 4);
        fleet.step(holder, |control_node, now| control_node.begin_shutdown(now));
        fleet.kill(holder, false);
        fleet.start(holder, false);
        fleet.run(2.0);
    }
    let joint = voter_set(&fleet, 1).enter_joint(vec![1, 2, 4]);
    let next = if skip_joint_epoch { joint.leave_joint(&[1, 2, 4]) } else { joint };
    // After a restart no other node knows its term any more.
    for node in [1, 2, 4] {
        fleet.cut(3, node);
        fleet.cut(node, 3);
    }
    for node in [2, 4] {
        fleet.kill(node, false);
        fleet.start(node, false);
        fleet.step(node, |control_node, now| control_node.step(now, 3, Message::VoterSet(next.clone())));
    }
    fleet.cut(1, 2);
    fleet.cut(1, 4);
    fleet.run(0.7);
    fleet.fault.map_or(Ok(()), Err)
}

#[test]
fn grants_of_the_old_voter_set_expire_before_the_new_one_is_in_force() {
    (0..20).for_each(|seed| assert_eq!(partition_holder(seed, false), Ok(()), "seed {seed}"));
    assert!((0..20).any(|seed| partition_holder(seed, true).is_err()), "the injected fault is not detected");
}
