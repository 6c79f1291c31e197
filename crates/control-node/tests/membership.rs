//! Who votes changes while everything goes wrong, on a made-up network in made-up time (`sounding`, whose checks of every step
//! hold here too: one set an epoch, one line of chosen values, one holder a duty). Where a property rests on a condition, the
//! world plants the fault that the condition keeps out, and the test sees it found.

use archlink_consensus::leases::Leases;
use archlink_consensus::membership::ChangeResult;
use archlink_consensus::proposer::{Change, Proposer};
use archlink_consensus::{Effect, MembershipChange, MembershipError, Outcome};
use archlink_control_node::node::ControlNodeState;
use archlink_messages::{
    AcceptedValue, ConsensusMessage, LeaseGrant, Message, NodeId, ProposalNumber, REGISTERS, Register,
    SingletonRole, VoterSet,
};
use archlink_simulation::Fleet;
use std::collections::BTreeSet;

const REPLACE: MembershipChange = MembershipChange::Replace { old: 3, new: 4 };
/// No caller's token is this.
const ORDER: u64 = 100;

fn up(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(seed);
    fleet.run(1.5);
    fleet.replace(2, 1, 7);
    fleet.run(1.0);
    assert_eq!(fleet.done.get(&1), Some(&Outcome::Chosen), "seed {seed}");
    fleet
}

fn voter_set(fleet: &Fleet, node: NodeId) -> &VoterSet {
    fleet.live[&node].voter_set()
}

/// Epoch and set that all go by, none of which is on its way to another.
fn stands(fleet: &Fleet, why: &str) -> VoterSet {
    let sets: BTreeSet<&VoterSet> = fleet.live.values().map(ControlNodeState::voter_set).collect();
    assert!(sets.len() == 1 && sets.iter().all(|set| !set.is_joint()), "{why}: {sets:?}");
    sets.into_iter().next().unwrap().clone()
}

/// All know what was acknowledged, and take another order through each gateway.
fn sound(fleet: &mut Fleet, why: &str) {
    let nodes: Vec<NodeId> = fleet.live.keys().copied().collect();
    for node in nodes {
        let (token, newest) = (ORDER + u64::from(node), fleet.checks.acknowledged());
        let held = fleet.live[&node].proposer.chosen(Register::Configuration).map_or(0, |held| held.revision);
        assert!(held >= newest, "{why}: {node} holds {held}, {newest} was acknowledged");
        // Above all numbers that were ever tried.
        fleet.replace(node, token, 1000 * fleet.now as u64 + u64::from(node));
        fleet.run(1.0);
        assert_eq!(fleet.done.get(&token), Some(&Outcome::Chosen), "{why}: through {node}");
    }
    let whole = |node: &NodeId| fleet.live.get(node).is_none_or(|control| control.acceptor.is_recovered());
    assert!(stands(fleet, why).voters.iter().all(whole), "{why}: a voter is not whole");
}

fn until(fleet: &mut Fleet, most: f64, holds: impl Fn(&Fleet) -> bool) -> bool {
    let end = fleet.now + most;
    while fleet.now < end && !holds(fleet) {
        fleet.run(0.01);
    }
    holds(fleet)
}

#[test]
fn a_seat_goes_to_another_within_the_callers_wait_and_the_old_one_is_not_needed() {
    for seed in 0..10 {
        let why = format!("seed {seed}");
        let mut fleet = up(seed);
        // Also through one that is to get the seat.
        let through = [1, 2, 3, 4][seed as usize % 4];
        fleet.reseat(through, 2, REPLACE);
        fleet.run(2.5);
        assert_eq!(fleet.done.get(&2), Some(&Outcome::Chosen), "{why}");
        assert_eq!((stands(&fleet, &why).epoch, stands(&fleet, &why).voters), (3, vec![1, 2, 4]), "{why}");
        assert_eq!(
            fleet.disks[&4].kept.slots[&Register::Configuration].accepted.as_ref().unwrap().revision,
            8
        );
        // Sent again it holds still.
        fleet.reseat(2, 3, REPLACE);
        assert_eq!(fleet.done.get(&3), Some(&Outcome::Chosen), "{why}");
        fleet.kill(3, true);
        fleet.power_off(1, true);
        fleet.start(1, false);
        fleet.run(4.0);
        sound(&mut fleet, &why);
    }
}

#[test]
fn what_can_not_be_done_is_refused() {
    let mut fleet = up(1);
    let refused = |fleet: &mut Fleet, node, order, refusal| {
        let token = ORDER + fleet.done.len() as u64;
        fleet.reseat(node, token, order);
        assert_eq!(fleet.done.get(&token), Some(&Outcome::Rejected(refusal)));
    };
    let replace = |old, new| MembershipChange::Replace { old, new };
    refused(&mut fleet, 1, replace(4, 9), MembershipError::NotAVoter);
    refused(&mut fleet, 1, replace(3, 2), MembershipError::AlreadyAVoter);
    refused(&mut fleet, 1, replace(3, 9), MembershipError::Unreachable);
    let found =
        |epoch, seats: &[NodeId]| MembershipChange::ForceNewGeneration { epoch, voters: seats.to_vec() };
    refused(&mut fleet, 1, found(2, &[1]), MembershipError::WrongEpoch);
    refused(&mut fleet, 1, found(1, &[2]), MembershipError::NotAVoter);
    fleet.reseat(1, 2, REPLACE);
    refused(&mut fleet, 1, replace(2, 4), MembershipError::ChangeInProgress);
    fleet.run(3.0);
    // Two of three are gone: the one that is left is no majority with a newcomer.
    fleet.kill(2, false);
    fleet.kill(4, true);
    fleet.run(3.0);
    refused(&mut fleet, 1, replace(2, 3), MembershipError::NotRecovered);
    fleet.start(4, false);
    refused(&mut fleet, 4, replace(2, 3), MembershipError::Unknown);
    fleet.run(0.5);
    refused(&mut fleet, 4, found(3, &[4]), MembershipError::NotRecovered);
    assert_eq!(fleet.live[&4].voter_set().epoch, 3);
}

/// Whoever dies at whatever moment of a change, with its disk or without, for a while or for good: one set stands after it, a
/// majority of it is there, and it has what was acknowledged.
#[test]
fn the_loss_of_one_at_every_moment_of_a_change_leaves_a_majority_with_everything() {
    bolero::check!().with_iterations(300).with_type::<(u64, u8, u16, u8)>().for_each(
        |&(seed, who, moment, how)| {
            let why = format!("{seed} {who} {moment} {how}");
            let mut fleet = up(seed);
            if how & 4 != 0 {
                (1..=4).for_each(|node| fleet.set_sync(node, 0.01 * f64::from(node)));
            }
            let (proposer, lost) = (NodeId::from(who % 3) + 1, NodeId::from(who / 4 % 4) + 1);
            let for_good = how & 2 != 0;
            fleet.reseat(proposer, 2, REPLACE);
            fleet.replace(1, 3, 8);
            // The change takes some 1.2 s.
            fleet.run(f64::from(moment % 1500) * 1e-3);
            fleet.replace(2, 4, 9);
            fleet.kill(lost, how & 1 != 0);
            if !for_good {
                fleet.run(0.3);
                fleet.start(lost, false);
            }
            // Four turns of two seconds, and ten for one that is not taken in.
            fleet.run(14.0);
            let stood = stands(&fleet, &why);
            assert!(stood.voters == [1, 2, 3] || stood.voters == [1, 2, 4], "{why}: {stood:?}");
            sound(&mut fleet, &why);
        },
    );
}

/// The same of five seats, two of which are lost within a moment: with their disks, and back, or for good.
#[test]
fn the_loss_of_two_of_five_at_every_moment_of_a_change_leaves_a_majority_with_everything() {
    bolero::check!().with_iterations(50).with_type::<(u64, u8, u16, u8)>().for_each(
        |&(seed, who, moment, how)| {
            let why = format!("{seed} {who} {moment} {how}");
            let mut fleet = Fleet::of(seed, 5, 6);
            fleet.run(2.0);
            let seats = stands(&fleet, &why).voters;
            let spare = (4..=6).find(|node| !seats.contains(node)).expect("a spare one");
            fleet.reseat(
                NodeId::from(who % 6) + 1,
                2,
                MembershipChange::Replace { old: seats[4], new: spare },
            );
            fleet.replace(1, 3, 8);
            fleet.run(f64::from(moment % 1500) * 1e-3);
            let lost = [NodeId::from(who / 6 % 6) + 1, NodeId::from(how / 4 % 6) + 1];
            fleet.kill(lost[0], how & 1 != 0);
            fleet.run(f64::from(how) * 1e-3);
            fleet.kill(lost[1], how & 1 != 0);
            if how & 2 == 0 {
                fleet.run(0.3);
                lost.iter().for_each(|&node| fleet.start(node, false));
            }
            fleet.run(18.0);
            assert_eq!(stands(&fleet, &why).voters.len(), 5, "{why}");
            sound(&mut fleet, &why);
        },
    );
}

/// Two changes at once through two gateways: one set follows the other, or one order is refused.
#[test]
fn of_two_proposers_one_comes_first() {
    for seed in 0..20 {
        let why = format!("seed {seed}");
        let mut fleet = Fleet::of(seed, 3, 5);
        fleet.run(1.5);
        fleet.reseat(1, 2, REPLACE);
        fleet.run(0.003 * (seed % 10) as f64);
        fleet.reseat(2, 3, MembershipChange::Replace { old: 2, new: 5 });
        fleet.run(6.0);
        let chosen = [2, 3].map(|token| fleet.done.get(&token) == Some(&Outcome::Chosen));
        assert!(chosen[0] || chosen[1], "{why}: {:?}", fleet.done);
        let seats = stands(&fleet, &why).voters;
        assert_eq!([seats.contains(&4), seats.contains(&5)], chosen, "{why}: {seats:?}");
        sound(&mut fleet, &why);
    }
}

/// A value that only the leaver and one other have on disk; that other is lost right after the change. `early`: the planted
/// fault, an end that is adopted before anything was settled in the joint epoch.
fn only_copy(seed: u64, early: bool) -> Fleet {
    let mut fleet = up(seed);
    fleet.strict = !early;
    for other in [2, 4] {
        [1, 3].iter().for_each(|&node| fleet.cut(node, other));
    }
    fleet.replace(1, 2, 8);
    fleet.run(0.7);
    assert_eq!(fleet.done.get(&2), Some(&Outcome::Chosen), "seed {seed}");
    if early {
        let end = voter_set(&fleet, 1).enter_joint(vec![1, 2, 4]).leave_joint(&[1, 2, 4]);
        for node in [1, 2, 4] {
            fleet.step(node, |control, now| control.step(now, 3, Message::VoterSet(end.clone())));
        }
        fleet.run(0.1);
    } else {
        fleet.heal();
        fleet.reseat(1, 3, REPLACE);
        assert!(until(&mut fleet, 4.0, |fleet| fleet.live.values().any(|c| c.voter_set().epoch == 3)));
    }
    fleet.kill(1, true);
    fleet.kill(3, true);
    fleet.heal();
    fleet.run(4.0);
    fleet
}

#[test]
fn a_leaver_that_held_the_only_other_copy_is_not_missed() {
    let held =
        |fleet: &Fleet| fleet.live[&4].proposer.chosen(Register::Configuration).map(|held| held.revision);
    (0..20).for_each(|seed| assert_eq!(held(&only_copy(seed, false)), Some(9), "seed {seed}"));
    let lost = only_copy(1, true);
    assert!(lost.fault.is_some() || held(&lost) < Some(9), "the planted fault goes unseen");
}

/// Two that had a majority of the first set come back after two changes and find each other alone. `forgets`: the planted
/// fault, a disk that does not keep the epoch that it was told.
fn old_peers(seed: u64, forgets: bool) -> Fleet {
    let mut fleet = Fleet::of(seed, 3, 5);
    fleet.run(1.5);
    fleet.kill(3, false);
    fleet.reseat(1, 1, REPLACE);
    fleet.run(3.0);
    assert_eq!(fleet.done.get(&1), Some(&Outcome::Chosen), "seed {seed}");
    fleet.kill(2, false);
    fleet.reseat(4, 2, MembershipChange::Replace { old: 2, new: 5 });
    fleet.run(3.0);
    assert_eq!(fleet.done.get(&2), Some(&Outcome::Chosen), "seed {seed}");
    fleet.replace(5, 3, 3);
    fleet.run(1.0);
    for old in [2, 3] {
        for new in [1, 4, 5] {
            fleet.cut(old, new);
            fleet.cut(new, old);
        }
        if forgets {
            fleet.disks.get_mut(&old).unwrap().kept.voter_set = VoterSet::initial(&[1, 2, 3]);
        }
    }
    fleet.strict = !forgets;
    fleet.start(2, false);
    fleet.start(3, false);
    fleet.replace(3, 4, 9);
    fleet.run(2.0);
    fleet
}

#[test]
fn old_members_that_find_each_other_are_no_majority() {
    for seed in 0..10 {
        let why = format!("seed {seed}");
        let mut fleet = old_peers(seed, false);
        assert_eq!(fleet.done.get(&4), Some(&Outcome::Unknown), "{why}");
        for old in [2, 3] {
            assert!(fleet.live[&old].proposer.confirmed(Register::Configuration).is_none(), "{why}");
            assert!(fleet.holder(SingletonRole::QuotaCounter).is_none_or(|holder| holder != old), "{why}");
        }
        fleet.heal();
        // Links come up anew.
        [2, 3].iter().for_each(|&node| fleet.kill(node, false));
        [2, 3].iter().for_each(|&node| fleet.start(node, false));
        fleet.run(2.0);
        assert_eq!(stands(&fleet, &why).voters, [1, 4, 5], "{why}");
        sound(&mut fleet, &why);
    }
    assert!(old_peers(1, true).fault.is_some(), "the planted fault goes unseen");
}

/// One that was cut off through two changes but kept its seat goes on where the others are.
#[test]
fn a_member_that_missed_two_changes_finds_its_peers() {
    for seed in 0..10 {
        let why = format!("seed {seed}");
        let mut fleet = Fleet::of(seed, 5, 7);
        fleet.run(3.0);
        let seats = stands(&fleet, &why).voters;
        let spare: Vec<NodeId> = (4..=7).filter(|node| !seats.contains(node)).collect();
        fleet.kill(1, false);
        for n in 0..2 {
            let (token, old, new) = (2 + n as u64, seats[3 + n], spare[n]);
            fleet.reseat(2, token, MembershipChange::Replace { old, new });
            fleet.run(3.0);
            assert_eq!(fleet.done.get(&token), Some(&Outcome::Chosen), "{why}");
        }
        // With the two that left it was a majority.
        for new in [2, 3, spare[0], spare[1]] {
            fleet.cut(1, new);
            fleet.cut(new, 1);
        }
        fleet.start(1, false);
        fleet.replace(1, 4, 9);
        fleet.run(2.0);
        assert_eq!(fleet.done.get(&4), Some(&Outcome::Unknown), "{why}");
        fleet.heal();
        fleet.kill(1, false);
        fleet.start(1, false);
        fleet.run(2.0);
        assert_eq!(stands(&fleet, &why).voters, [1, 2, 3, spare[0], spare[1]], "{why}");
        sound(&mut fleet, &why);
    }
}

/// The newcomer dies once the joint epoch stands, and does not come back: the old set stands again, and says so.
#[test]
fn a_newcomer_that_dies_is_left_out() {
    for seed in 0..5 {
        let why = format!("seed {seed}");
        let mut fleet = up(seed);
        fleet.reseat(1, 2, REPLACE);
        assert!(until(&mut fleet, 1.0, |fleet| voter_set(fleet, 1).is_joint()));
        fleet.kill(4, false);
        fleet.replace(1, 3, 8);
        fleet.run(2.0);
        assert_eq!(fleet.done.get(&3), Some(&Outcome::Chosen), "{why}: taken by both sets meanwhile");
        fleet.run(11.0);
        assert_eq!(fleet.done.get(&2), Some(&Outcome::Unknown), "{why}");
        assert_eq!((stands(&fleet, &why).epoch, stands(&fleet, &why).voters), (3, vec![1, 2, 3]), "{why}");
        let last = fleet.live[&2].voter_set_status(fleet.clock(2)).last_change;
        assert!(last.is_some_and(|(_, ended)| ended == ChangeResult::RolledBack), "{why}");
        sound(&mut fleet, &why);
    }
}

/// Duties through changes of the set, with holders that stand still, are killed, lose their disks. That no duty has two
/// holders is looked at in every step.
#[test]
fn no_duty_has_two_holders_through_changes_and_soon_one_again() {
    bolero::check!().with_iterations(150).with_type::<(u64, Vec<(u8, u8)>)>().for_each(|(seed, plan)| {
        let mut fleet = Fleet::new(*seed);
        fleet.run(2.0);
        for (n, &(what, length)) in plan.iter().take(8).enumerate() {
            let holder = fleet.holder(SingletonRole::QuotaCounter).unwrap_or(1);
            let seats = voter_set(&fleet, 1).voters.clone();
            let spare = (1..=4).find(|node| !seats.contains(node)).unwrap_or(4);
            match what % 5 {
                0 | 1 => {
                    let old = seats[usize::from(length) % seats.len()];
                    let order = MembershipChange::Replace { old, new: spare };
                    fleet.reseat(seats[usize::from(what) % seats.len()], n as u64, order);
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
        for role in archlink_messages::SINGLETON_ROLES {
            assert!(fleet.holder(role).is_some(), "nobody holds {role:?}");
        }
    });
}

/// Guards against one term in two lives: a holder without a vote that started anew bid for the term that it had held, and was
/// granted that as a renewal. Word that the term was left was still about.
#[test]
fn another_lifes_bid_is_no_renewal() {
    let mut voter = Leases::new(0.0, 1, 7, &[]);
    voter.set_voter_set(&VoterSet::initial(&[1, 2, 3]));
    let grant = LeaseGrant { role: SingletonRole::QuotaCounter, holder: 4, term: 1 };
    let granted = |effects: Vec<Effect>| {
        matches!(
            &effects[..],
            [Effect::Store(..)]
                | [Effect::Send(_, Message::Consensus(_, ConsensusMessage::LeaseGranted(..)))]
        )
    };
    assert!(granted(voter.step(0.1, 4, &ConsensusMessage::LeaseRequest(grant, 5))));
    assert!(granted(voter.step(0.2, 4, &ConsensusMessage::LeaseRenewal(grant, 6))));
    assert!(!granted(voter.step(0.3, 4, &ConsensusMessage::LeaseRequest(grant, 99))));
    assert!(granted(voter.step(
        0.4,
        4,
        &ConsensusMessage::LeaseRequest(LeaseGrant { term: 2, ..grant }, 100)
    )));
}

/// Terms go on growing where the voters that granted them are gone: who comes reads what was granted before it votes.
#[test]
fn terms_grow_through_a_change_and_a_kill_of_all() {
    for seed in 0..20 {
        let mut fleet = up(seed);
        let term = |fleet: &Fleet, role| {
            let grants = fleet.live.iter().flat_map(|(n, c)| c.leases.holders(fleet.clock(*n)));
            grants.filter(|grant| grant.role == role).map(|grant| grant.term).max()
        };
        let before = archlink_messages::SINGLETON_ROLES.map(|role| term(&fleet, role));
        fleet.reseat(1, 2, REPLACE);
        fleet.run(2.5);
        assert_eq!(fleet.done.get(&2), Some(&Outcome::Chosen), "seed {seed}");
        (1..=4).for_each(|node| fleet.kill(node, false));
        [2, 4].iter().for_each(|&node| fleet.start(node, false));
        fleet.run(3.0);
        let after = archlink_messages::SINGLETON_ROLES.map(|role| term(&fleet, role));
        assert!(after[0] > before[0] && after[1] > before[1], "seed {seed}: {before:?} {after:?}");
    }
}

/// A holder whose grants are all from voters of the old set, and which hears of nothing; `early`: the planted fault, a new set
/// that stands before those grants are over.
fn cut_off_holder(seed: u64, early: bool) -> Result<(), String> {
    let mut fleet = up(seed);
    fleet.strict = false;
    // Leave it to 3, granted by 1 and itself.
    let holder = fleet.holder(SingletonRole::QuotaCounter).unwrap();
    if holder != 3 {
        fleet.cut(3, 2);
        fleet.cut(3, 4);
        fleet.step(holder, |control, now| control.leave(now));
        fleet.kill(holder, false);
        fleet.start(holder, false);
        fleet.run(2.0);
    }
    let next = voter_set(&fleet, 1).enter_joint(vec![1, 2, 4]);
    let next = if early { next.leave_joint(&[1, 2, 4]) } else { next };
    // Nobody else knows of its term any more.
    for node in [1, 2, 4] {
        fleet.cut(3, node);
        fleet.cut(node, 3);
    }
    for node in [2, 4] {
        fleet.kill(node, false);
        fleet.start(node, false);
        fleet.step(node, |control, now| control.step(now, 3, Message::VoterSet(next.clone())));
    }
    fleet.cut(1, 2);
    fleet.cut(1, 4);
    fleet.run(0.7);
    fleet.fault.map_or(Ok(()), Err)
}

#[test]
fn grants_of_the_old_set_are_over_before_the_new_one_stands() {
    (0..20).for_each(|seed| assert_eq!(cut_off_holder(seed, false), Ok(()), "seed {seed}"));
    assert!((0..20).any(|seed| cut_off_holder(seed, true).is_err()), "the planted fault goes unseen");
}

/// All are killed at some moment of the first start, come back, one of the seeds with its marker never written.
#[test]
fn a_first_start_that_dies_whole_goes_on() {
    bolero::check!().with_iterations(120).with_type::<(u64, u16, u8, u8)>().for_each(
        |&(seed, moment, some, emptied)| {
            let why = format!("{seed} {moment} {some} {emptied}");
            let mut fleet = Fleet::of(seed, 5, 6);
            (1..=6).for_each(|node| fleet.set_sync(node, 0.002));
            fleet.run(f64::from(moment % 3000) * 1e-3);
            let dies = |node: NodeId| some & 0x40 == 0 || some >> (node - 1) & 1 == 1;
            (1..=6).filter(|node| dies(*node)).for_each(|node| fleet.kill(node, false));
            if let Some(node) = (1..=3).find(|node| emptied % 6 == *node as u8) {
                fleet.kill(node, true);
            }
            (1..=6).for_each(|node| fleet.start(node, false));
            fleet.run(9.0);
            let stood = stands(&fleet, &why);
            assert!(stood.epoch > 2 && [3, 5].contains(&stood.voters.len()), "{why}: {stood:?}");
            sound(&mut fleet, &why);
        },
    );
}

/// Six machines, links of 12 ms, syncs of 2 ms: five vote within 0.6 s, and before that nothing is taken. Guards against a
/// gateway that takes its own change for another's because another gateway was heard of meanwhile, and waits its turn.
#[test]
fn a_first_start_takes_others_in_quickly_and_no_order_before() {
    for seed in 0..10 {
        let mut fleet = Fleet::of(seed, 5, 6);
        fleet.net.least = 0.012;
        fleet.net.spread = 0.001;
        (1..=6).for_each(|node| fleet.set_sync(node, 0.002));
        fleet.replace(1, 1, 4);
        assert_eq!(fleet.done.get(&1), Some(&Outcome::Unknown));
        assert!(until(&mut fleet, 0.6, |f| f.live.values().all(|c| c.voter_set().voters.len() == 5)));
        assert!(fleet.live.values().all(|c| c.proposer.chosen(Register::Configuration).is_none()));
        fleet.run(0.1);
        sound(&mut fleet, &format!("seed {seed}"));
    }
    // Nobody comes: the seeds do it.
    let mut fleet = Fleet::of(3, 5, 3);
    fleet.run(4.0);
    assert_eq!((stands(&fleet, "alone").epoch, stands(&fleet, "alone").voters.len()), (3, 3));
    sound(&mut fleet, "alone");
}

/// Guards against a voter that asked anew every 0.25 s and forgot what it had been told: among disks that take longer than that
/// it was never whole again. Also during a change of the set, and with a configuration every 0.2 s.
#[test]
fn an_emptied_voter_among_slow_disks_is_whole_within_four_seconds() {
    for seed in 0..10 {
        let mut fleet = up(seed);
        (1..=4).for_each(|node| fleet.set_sync(node, 0.45));
        fleet.power_off(1, true);
        fleet.start(1, false);
        if seed % 2 == 1 {
            fleet.reseat(2, 2, REPLACE);
        }
        for n in 0..20 {
            fleet.replace(3, 10 + n, 8 + n);
            fleet.run(0.2);
        }
        assert!(fleet.live[&1].acceptor.is_recovered(), "seed {seed}");
    }
}

/// Guards against orders that are begun anew for ever where all disks are slow: an attempt as a whole had the time that each
/// half of it has now, and one sync of 0.2 s on each side was too much.
#[test]
fn orders_come_through_where_every_disk_takes_0_3_s() {
    for seed in 0..5 {
        let mut fleet = up(seed);
        (1..=4).for_each(|node| fleet.set_sync(node, 0.3));
        fleet.run(2.0);
        fleet.replace(3, 10, 8);
        fleet.run(1.0);
        assert_eq!(fleet.done.get(&10), Some(&Outcome::Chosen), "seed {seed}");
    }
}

/// Guards against an emptied voter and an emptied newcomer that wait for each other, each the majority of the coming set that the
/// other one needs.
#[test]
fn an_emptied_voter_and_an_emptied_newcomer_do_not_wait_for_each_other() {
    for seed in 0..10 {
        let mut fleet = up(seed);
        fleet.kill(4, true);
        fleet.start(4, false);
        fleet.run(0.3 * seed as f64);
        fleet.kill(1, true);
        fleet.start(1, false);
        fleet.run(0.3);
        fleet.reseat(3, 2, MembershipChange::Replace { old: 2, new: 4 });
        fleet.run(8.0);
        let why = format!("seed {seed}");
        assert_eq!(stands(&fleet, &why).voters, [1, 3, 4], "{why}");
        sound(&mut fleet, &why);
    }
}

/// Guards against questions that are numbered from the same number in each life: an answer to an earlier life's question, held up
/// by a hanging disk, tells of slots from before that life was whole and promised more.
#[test]
fn an_answer_to_an_earlier_lifes_question_counts_for_nothing() {
    let recall = |fleet: &mut Fleet| {
        fleet.kill(1, true);
        fleet.start(1, false);
        fleet.run(0.1);
        let now = fleet.clock(1) + 3.0;
        let effects = fleet.live.get_mut(&1).unwrap().tick(now);
        let asked = effects.into_iter().find_map(|effect| match effect {
            Effect::Send(2, Message::Consensus(_, ConsensusMessage::StateTransferRequest(serial))) => {
                Some(serial)
            }
            _ => None,
        });
        asked.expect("a question")
    };
    let mut fleet = up(1);
    let (first, second) = (recall(&mut fleet), recall(&mut fleet));
    let empty = REGISTERS.map(|register| (register, archlink_messages::AcceptorState::default())).to_vec();
    for (serial, whole) in [(first, false), (second, true)] {
        for from in [2, 3] {
            let told = Message::Consensus(
                1,
                ConsensusMessage::StateTransferReply(serial, empty.clone(), Vec::new()),
            );
            fleet.step(1, |control, now| control.step(now, from, told));
        }
        assert_eq!(fleet.live[&1].acceptor.is_recovered(), whole);
    }
}

/// Guards against a writer that stood still and counts, as it wakes, a word of a voter that has lost its disk since and came back
/// without it: acknowledged, and on one disk.
#[test]
fn a_writer_that_wakes_late_counts_no_old_word() {
    let mut helm = Proposer::new(4, 1);
    helm.set_voter_set(0.0, &VoterSet::initial(&[1, 2, 3]));
    let effects = helm.propose(0.0, Change::Evacuation { zone: "a".into(), on: true }, 1);
    let proposal = effects.iter().find_map(|effect| match effect {
        Effect::Send(_, Message::Consensus(_, ConsensusMessage::Prepare(_, proposal))) => Some(*proposal),
        _ => None,
    });
    let proposal = proposal.expect("a ballot");
    for node in [1, 2] {
        helm.step(0.1, node, &ConsensusMessage::Promise(Register::Evacuations, proposal, None));
    }
    helm.step(0.2, 1, &ConsensusMessage::Accepted(Register::Evacuations, proposal));
    let effects = helm.step(9.0, 2, &ConsensusMessage::Accepted(Register::Evacuations, proposal));
    assert!(
        !effects.iter().any(|effect| matches!(effect, Effect::ProposalResolved(_, Outcome::Chosen))),
        "{effects:?}"
    );
}

/// Guards against a majority of an old answer and a new one: the voter of the old one has lost its disk since, and read from the
/// others before the second of them accepted what it names.
#[test]
fn an_answer_from_before_a_disk_was_lost_is_not_counted_with_later_ones() {
    let mut helm = Proposer::new(4, 1);
    helm.set_voter_set(0.0, &VoterSet::initial(&[1, 2, 3]));
    let held = AcceptedValue {
        proposal: ProposalNumber { round: 5, node: 3, nonce: 1 },
        revision: 2,
        ..AcceptedValue::default()
    };
    let answers = [(Register::Configuration, held.proposal)];
    for (node, now) in [(1, 0.1), (2, 3.0)] {
        let asked = helm.tick(now).into_iter().find_map(|effect| match effect {
            Effect::Send(_, Message::Consensus(_, ConsensusMessage::ReadRequest(serial))) => Some(serial),
            _ => None,
        });
        helm.step(now, node, &ConsensusMessage::ReadReply(asked.expect("a question"), answers.to_vec()));
    }
    helm.step(3.0, 2, &ConsensusMessage::FetchedValue(Register::Configuration, held));
    assert_eq!(helm.chosen(Register::Configuration), None);
}

/// A disk that was emptied names no epoch until it holds the slots as well, whatever it hears of and whenever it dies.
#[test]
fn an_emptied_disk_vouches_for_nothing_until_it_is_whole() {
    for seed in 0..10 {
        let mut fleet = up(seed);
        fleet.power_off(1, true);
        for _ in 0..3 {
            fleet.start(1, false);
            fleet.reseat(2, 2 + seed, REPLACE);
            fleet.run(1.0 + 0.1 * seed as f64);
            let (known, whole) =
                (fleet.disks[&1].kept.voter_set.is_known(), fleet.live[&1].acceptor.is_recovered());
            assert!(!known && !whole, "seed {seed}");
            fleet.kill(1, false);
        }
        fleet.start(1, false);
        fleet.run(14.0);
        let kept = &fleet.disks[&1].kept;
        assert!(
            kept.voter_set.is_known() && kept.slots[&Register::Configuration].accepted.is_some(),
            "seed {seed}"
        );
    }
}

/// A voter that is gone for good is replaced by itself, once: by one of a zone that has no seat yet.
#[test]
fn a_voter_that_is_long_gone_is_replaced_by_itself() {
    let mut fleet = up(1);
    fleet.kill(2, true);
    // Neither by one that stood still meanwhile.
    fleet.freeze(1, 280.0);
    fleet.run(299.0);
    assert_eq!(stands(&fleet, "not yet").voters, [1, 2, 3]);
    fleet.run(320.0);
    assert_eq!(stands(&fleet, "replaced").voters, [1, 3, 4]);
    sound(&mut fleet, "replaced");
    fleet.start(2, false);
    fleet.run(40.0);
    let stood = stands(&fleet, "nothing more");
    assert_eq!((stood.epoch, stood.voters), (3, vec![1, 3, 4]));
}

/// A set that was founded with fewer than are needed grows once others are there for good.
#[test]
fn a_small_set_grows_by_itself() {
    let mut fleet = Fleet::of(2, 5, 6);
    (4..=6).for_each(|node| fleet.kill(node, false));
    fleet.run(4.0);
    assert_eq!(stands(&fleet, "alone").voters, [1, 2, 3]);
    fleet.replace(1, 1, 5);
    (4..=6).for_each(|node| fleet.start(node, false));
    fleet.run(40.0);
    assert_eq!(stands(&fleet, "grown").voters.len(), 5);
    sound(&mut fleet, "grown");
}

/// Two of three are gone for good; the survivor is founded anew, and takes in another one that was named. What the gone ones had
/// chosen without it is lost, and does not come back with them.
#[test]
fn founded_anew_from_the_survivor_and_the_old_ones_undo_nothing() {
    for seed in 0..10 {
        let why = format!("seed {seed}");
        let mut fleet = up(seed);
        [1, 4].iter().for_each(|&node| [2, 3].iter().for_each(|&other| fleet.cut(other, node)));
        fleet.replace(2, 2, 9);
        fleet.run(0.8);
        assert_eq!(fleet.done.get(&2), Some(&Outcome::Chosen), "{why}");
        [2, 3].iter().for_each(|&node| fleet.kill(node, false));
        fleet.heal();
        fleet.run(1.0);
        let held = fleet.live[&1].voter_set_status(fleet.clock(1)).accepted;
        assert!(held.iter().any(|(register, stamp, _)| (*register, *stamp) == (Register::Configuration, 8)));
        // What is lost is no fault from here on; that it stays lost is.
        fleet.checks = archlink_simulation::checks::Checks::default();
        let epoch = voter_set(&fleet, 1).epoch;
        fleet.reseat(1, 3, MembershipChange::ForceNewGeneration { epoch, voters: vec![1, 4] });
        fleet.run(2.5);
        assert_eq!(fleet.done.get(&3), Some(&Outcome::Chosen), "{why}");
        fleet.run(3.0);
        assert_eq!(stands(&fleet, &why).voters, [1, 4], "{why}");
        fleet.kill(1, false);
        fleet.start(1, false);
        fleet.run(1.0);
        fleet.replace(4, 4, 8);
        fleet.run(1.0);
        assert_eq!(fleet.done.get(&4), Some(&Outcome::Chosen), "{why}");
        [2, 3].iter().for_each(|&node| fleet.start(node, false));
        fleet.run(3.0);
        for control in fleet.live.values() {
            let held = control.proposer.chosen(Register::Configuration).map(|held| held.revision);
            assert_eq!(held, Some(9), "{why}: the lost one came back");
        }
        sound(&mut fleet, &why);
    }
}
