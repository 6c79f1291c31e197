//! Control gateways on a made-up network, in made-up time (`sounding`): named stories, each for a fault that was, and
//! schedules by chance. What must hold is looked at in every step: a register's chosen values form one line and none that
//! was acknowledged is lost; no duty has two holders; whoever has something confirmed holds nothing older.

use archlink_consensus::Outcome;
use archlink_messages::{NodeId, Register, SINGLETON_ROLES, SingletonRole, VersionDigest};
use archlink_simulation::Fleet;
use std::collections::{BTreeMap, BTreeSet};

#[test]
fn a_configuration_is_taken_by_a_majority_and_read_back_after_restarts() {
    let mut fleet = Fleet::new(1);
    fleet.run(1.0);
    fleet.replace(4, 1, 7);
    fleet.run(1.0);
    assert_eq!(fleet.done.get(&1), Some(&Outcome::Chosen));
    (1..=4).for_each(|node| fleet.kill(node, false));
    (1..=4).for_each(|node| fleet.start(node, false));
    fleet.run(1.5);
    for control in fleet.live.values() {
        assert_eq!(control.proposer.chosen(Register::Configuration).map(|held| held.revision), Some(8));
        assert!(control.proposer.confirmed(Register::Configuration).is_some_and(|at| at > fleet.now - 1.0));
    }
}

/// Two operators, two gateways, one number: one content everywhere, the other is told which one stands, and an older one
/// alters nothing.
#[test]
fn a_race_under_one_number_has_one_winner() {
    for seed in 0..40 {
        let mut fleet = Fleet::new(seed);
        fleet.run(0.5);
        fleet.replace(1, 1, 5);
        fleet.run(0.004 * (seed % 5) as f64);
        fleet.replace(3, 2, 5);
        fleet.run(1.5);
        let stands = |token| {
            Outcome::VersionConflict(VersionDigest { version: 5, digest: archlink_simulation::digest(token) })
        };
        let one = BTreeMap::from([(1, Outcome::Chosen), (2, stands(1))]);
        let other = BTreeMap::from([(1, stands(2)), (2, Outcome::Chosen)]);
        assert!(fleet.done == one || fleet.done == other, "seed {seed}: {:?}", fleet.done);
        fleet.replace(2, 3, 4);
        fleet.run(1.0);
        assert_eq!(fleet.done.get(&3), Some(&Outcome::Chosen));
        let stamps: BTreeSet<u64> =
            fleet.checks.lines[&Register::Configuration].values.values().map(|v| v.stamp).collect();
        assert_eq!(stamps.len(), 1, "seed {seed}");
    }
}

/// Acknowledged by two of three, one of which loses its disk at once: the third learns it, and the emptied one does not
/// help to forget it.
#[test]
fn an_emptied_disk_is_not_counted() {
    for seed in 0..40 {
        let mut fleet = Fleet::new(seed);
        fleet.run(0.5);
        for (from, to) in [(1, 3), (2, 3), (4, 3)] {
            fleet.cut(from, to);
        }
        fleet.replace(1, 1, 9);
        fleet.run(0.9);
        assert_eq!(fleet.done.get(&1), Some(&Outcome::Chosen), "seed {seed}");
        fleet.kill(1, true);
        fleet.kill(2, false);
        fleet.heal();
        fleet.start(1, false);
        // The third one, which never heard of it, and the emptied one are two of three.
        fleet.replace(3, 2, 8);
        fleet.run(4.0);
        assert_ne!(
            fleet.done.get(&2),
            Some(&Outcome::Chosen),
            "seed {seed}: a majority with an emptied disk"
        );
        fleet.start(2, false);
        fleet.run(5.0);
        let held = fleet.live[&3].proposer.chosen(Register::Configuration).map(|held| held.revision);
        assert_eq!(held, Some(10), "seed {seed}");
        assert!(fleet.live[&1].acceptor.is_recovered(), "seed {seed}");
    }
}

/// Guards against two holders known under one term: the one that woke bid for the term that another had won meanwhile, and
/// the voters' refusals spread its name. Half of the data gateways then asked a counter that nobody held.
#[test]
fn a_holder_that_stood_still_does_not_take_its_successors_place() {
    for seed in 0..40 {
        let mut fleet = Fleet::new(seed);
        fleet.run(2.0);
        let holder = fleet.agreed(SingletonRole::QuotaCounter).expect("a holder that all know");
        fleet.freeze(holder, 2.0 + (seed % 7) as f64 * 0.1);
        fleet.run(5.0);
        let agreed = fleet.agreed(SingletonRole::QuotaCounter).expect("one that all know again");
        assert!(
            fleet.live[&agreed].leases.held_lease(fleet.now, SingletonRole::QuotaCounter).is_some(),
            "seed {seed}"
        );
    }
}

/// Guards against a list of hosts that nobody takes: terms that began anew after all were killed.
#[test]
fn terms_grow_through_a_kill_of_all() {
    let mut fleet = Fleet::new(3);
    fleet.run(2.0);
    let terms = |fleet: &Fleet| {
        let grants = fleet.live.values().flat_map(|c| c.leases.holders(fleet.now));
        grants.map(|grant| (grant.role, grant.term)).collect::<BTreeMap<_, _>>()
    };
    let before = terms(&fleet);
    (1..=4).for_each(|node| fleet.kill(node, false));
    (1..=4).for_each(|node| fleet.start(node, false));
    // A holder without a vote has nothing on disk that names it: its grants are waited out.
    fleet.run(1.3);
    let after = terms(&fleet);
    for role in SINGLETON_ROLES {
        assert!(after.get(&role) > before.get(&role), "{before:?} {after:?}");
    }
}

/// Guards against a successor whose bid overtakes the word that names it, and against word of the old holder that is still
/// about: in one of fifty cases the duty stood still for a second.
#[test]
fn a_holder_that_leaves_names_its_successor() {
    for seed in 0..100 {
        let mut fleet = Fleet::new(seed);
        // All ways alike: the successor's bid comes to no voter before the word that makes room for it.
        fleet.net.spread = 0.0;
        fleet.run(2.0);
        let holder = fleet.agreed(SingletonRole::HostDiscovery).expect("a holder");
        fleet.step(holder, |control, now| control.leave(now));
        fleet.run(0.15);
        fleet.kill(holder, false);
        let next = fleet
            .live
            .iter()
            .find(|(_, c)| c.leases.held_lease(fleet.now, SingletonRole::HostDiscovery).is_some());
        assert!(next.is_some(), "seed {seed}");
    }
}

/// Schedules by chance: lost words, cuts one way, freezes, kills and one emptied disk at a time, under changes from two
/// operators. What was acknowledged is there at the end, and the checks of every step hold.
#[test]
fn whatever_happens_nothing_acknowledged_is_lost_and_no_duty_has_two_holders() {
    bolero::check!().with_iterations(150).with_type::<(u64, Vec<(u8, u8, u8)>)>().for_each(|(seed, plan)| {
        let mut fleet = Fleet::new(*seed);
        fleet.run(1.0);
        fleet.net.lossy = 0.05;
        let mut token = 0;
        for &(what, who, length) in plan.iter().take(16) {
            let (node, other) = (NodeId::from(who % 4) + 1, NodeId::from(who / 4 % 4) + 1);
            token += 1;
            match what % 7 {
                0 | 1 => fleet.replace(node, token, token + u64::from(what) % 3),
                2 => fleet.cut(node, other),
                3 => fleet.freeze(node, f64::from(length) / 64.0),
                4 => fleet.kill(node, false),
                // One lost disk is borne at a time: the next one only once this one has read from the others.
                5 if fleet.live.values().all(|control| control.acceptor.is_recovered()) => {
                    fleet.kill(node, true);
                }
                _ => {
                    fleet.heal();
                    fleet.net.lossy = 0.05;
                }
            }
            fleet.run(f64::from(length) / 128.0);
            let down: Vec<NodeId> = (1..=4).filter(|node| !fleet.live.contains_key(node)).collect();
            down.into_iter().for_each(|node| fleet.start(node, false));
        }
        fleet.heal();
        fleet.run(6.0);
        let newest = fleet.checks.acknowledged();
        for control in fleet.live.values() {
            let held = control.proposer.chosen(Register::Configuration).map_or(0, |held| held.revision);
            assert!(held >= newest, "{held} is held, {newest} was acknowledged");
        }
        // Guards against voters that grant themselves again and again, so that none ever wins.
        for role in SINGLETON_ROLES {
            let holder =
                fleet.agreed(role).and_then(|node| fleet.live[&node].leases.held_lease(fleet.now, role));
            assert!(holder.is_some(), "nobody holds {role:?}");
        }
    });
}

/// Two disks may be lost at once: five of six vote, one set is agreed on, and what they acknowledge outlives two of them.
#[test]
fn six_gateways_agree_on_five_voters_and_bear_the_loss_of_two() {
    for seed in 0..15 {
        let mut fleet = Fleet::of(seed, 5, 6);
        fleet.net.lossy = 0.05;
        fleet.run(4.0);
        let sets = fleet.sets();
        assert!(sets.len() == 1 && sets.iter().all(|set| set.len() == 5), "seed {seed}: {sets:?}");
        fleet.net.lossy = 0.0;
        fleet.replace(6, 1, 7);
        fleet.run(1.0);
        assert_eq!(fleet.done.get(&1), Some(&Outcome::Chosen), "seed {seed}");
        (1..=2).for_each(|node| fleet.kill(node, true));
        fleet.run(0.5);
        (1..=2).for_each(|node| fleet.start(node, false));
        fleet.run(6.0);
        for (node, control) in &fleet.live {
            let held = control.proposer.chosen(Register::Configuration).map(|held| held.revision);
            assert!(held == Some(8) && control.acceptor.is_recovered(), "seed {seed}, node {node}");
        }
    }
}
