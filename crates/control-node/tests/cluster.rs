//! Control nodes in the simulation: a scenario for each known regression, and random schedules. The
//! invariants are checked in every step: the chosen values of a register form one sequence and no
//! acknowledged one is lost, no singleton role has two holders, and a node with a confirmed value has the
//! newest one.

use archlink_consensus::Outcome;
use archlink_messages::{NodeId, Register, SINGLETON_ROLES, SingletonRole, VersionDigest};
use archlink_simulation::Fleet;
use std::collections::{BTreeMap, BTreeSet};

fn configuration_revision(fleet: &Fleet, node: NodeId) -> Option<u64> {
    fleet.live[&node].proposer.committed(Register::Configuration).map(|value| value.revision)
}

#[test]
fn a_configuration_is_chosen_by_a_quorum_and_read_back_after_restarts() {
    let mut fleet = Fleet::new(1);
    fleet.run(1.0);
    fleet.replace(4, 1, 7);
    fleet.run(1.0);
    assert_eq!(fleet.done.get(&1), Some(&Outcome::Chosen));
    (1..=4).for_each(|node| fleet.kill(node, false));
    (1..=4).for_each(|node| fleet.start(node, false));
    fleet.run(1.5);
    for (&node, control_node) in &fleet.live {
        assert_eq!(configuration_revision(&fleet, node), Some(8));
        let confirmed = control_node.proposer.confirmed(Register::Configuration);
        assert!(confirmed.is_some_and(|confirmed_at| confirmed_at > fleet.now - 1.0));
    }
}

/// Two operators propose different contents under one version at two nodes: one content is chosen everywhere,
/// the other operator receives its digest, and an older version changes nothing.
#[test]
fn a_race_under_one_version_has_one_winner() {
    for seed in 0..40 {
        let mut fleet = Fleet::new(seed);
        fleet.run(0.5);
        fleet.replace(1, 1, 5);
        fleet.run(0.004 * (seed % 5) as f64);
        fleet.replace(3, 2, 5);
        fleet.run(1.5);
        let conflict_with = |token| {
            let digest = archlink_simulation::digest(token);
            Outcome::VersionConflict(VersionDigest { version: 5, digest })
        };
        let first_wins = BTreeMap::from([(1, Outcome::Chosen), (2, conflict_with(1))]);
        let second_wins = BTreeMap::from([(1, conflict_with(2)), (2, Outcome::Chosen)]);
        assert!(fleet.done == first_wins || fleet.done == second_wins, "seed {seed}: {:?}", fleet.done);
        fleet.replace(2, 3, 4);
        fleet.run(1.0);
        assert_eq!(fleet.done.get(&3), Some(&Outcome::Chosen));
        let values = fleet.checks.histories[&Register::Configuration].values.values();
        let revisions: BTreeSet<u64> = values.map(|seen| seen.revision).collect();
        assert_eq!(revisions.len(), 1, "seed {seed}");
    }
}

/// Two of three voters accept a value, and one of them loses its disk at once. The third voter must still
/// learn the value: the voter with the lost disk must not form a quorum with it that lacks the value.
#[test]
fn a_lost_disk_is_not_counted_in_a_quorum() {
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
        // The voter that never received the value and the one with the lost disk are two of three.
        fleet.replace(3, 2, 8);
        fleet.run(4.0);
        let outcome = fleet.done.get(&2);
        assert_ne!(outcome, Some(&Outcome::Chosen), "seed {seed}: a lost disk was counted in a quorum");
        fleet.start(2, false);
        fleet.run(5.0);
        assert_eq!(configuration_revision(&fleet, 3), Some(10), "seed {seed}");
        assert!(fleet.live[&1].acceptor.is_recovered(), "seed {seed}");
    }
}

/// Regression: two holders were known under one term. A node that had been frozen requested a term that had
/// been granted to another one in the meantime, and the voters' denials spread its id: half of the data nodes
/// then used a quota counter that held no lease.
#[test]
fn a_lease_holder_that_was_frozen_does_not_displace_its_successor() {
    for seed in 0..40 {
        let mut fleet = Fleet::new(seed);
        fleet.run(2.0);
        let holder = fleet.agreed(SingletonRole::QuotaCounter).expect("a holder that all nodes agree on");
        fleet.freeze(holder, 2.0 + (seed % 7) as f64 * 0.1);
        fleet.run(5.0);
        let agreed =
            fleet.agreed(SingletonRole::QuotaCounter).expect("a holder that all nodes agree on again");
        let lease = fleet.live[&agreed].leases.held_lease(fleet.now, SingletonRole::QuotaCounter);
        assert!(lease.is_some(), "seed {seed}");
    }
}

/// Regression: terms restarted from the beginning after all nodes had been killed, so that no node accepted
/// the host list.
#[test]
fn lease_terms_grow_through_a_kill_of_all() {
    let mut fleet = Fleet::new(3);
    fleet.run(2.0);
    let terms = |fleet: &Fleet| {
        let grants = fleet.live.values().flat_map(|node| node.leases.holders(fleet.now));
        grants.map(|grant| (grant.role, grant.term)).collect::<BTreeMap<_, _>>()
    };
    let before = terms(&fleet);
    (1..=4).for_each(|node| fleet.kill(node, false));
    (1..=4).for_each(|node| fleet.start(node, false));
    // A holder that is no voter has no grant on its disk: the voters' grants to it have to expire.
    fleet.run(1.3);
    let after = terms(&fleet);
    for role in SINGLETON_ROLES {
        assert!(after.get(&role) > before.get(&role), "{before:?} {after:?}");
    }
}

/// Regression: in one of fifty runs a role had no holder for a second, because the successor's request
/// overtook the message that names the successor, or because a message that names the old holder was still in
/// flight.
#[test]
fn a_leaving_lease_holder_hands_its_role_to_a_successor() {
    for seed in 0..100 {
        let mut fleet = Fleet::new(seed);
        // All links have the same latency: the successor's request reaches no voter before the release of the
        // lease.
        fleet.net.jitter = 0.0;
        fleet.run(2.0);
        let holder = fleet.agreed(SingletonRole::HostDiscovery).expect("a holder");
        fleet.step(holder, |control_node, now| control_node.begin_shutdown(now));
        fleet.run(0.15);
        fleet.kill(holder, false);
        let mut leases =
            fleet.live.values().map(|node| node.leases.held_lease(fleet.now, SingletonRole::HostDiscovery));
        assert!(leases.any(|lease| lease.is_some()), "seed {seed}");
    }
}

/// Random schedules of lost messages, one-way partitions, freezes, kills and one lost disk at a time, with
/// proposals of two operators. At the end everything acknowledged is present; the invariants hold in every
/// step.
#[test]
fn under_any_faults_nothing_acknowledged_is_lost_and_no_role_has_two_holders() {
    bolero::check!().with_iterations(150).with_type::<(u64, Vec<(u8, u8, u8)>)>().for_each(
        |(seed, schedule)| {
            let mut fleet = Fleet::new(*seed);
            fleet.run(1.0);
            fleet.net.lost = 0.05;
            let mut token = 0;
            for &(action, nodes, length) in schedule.iter().take(16) {
                let (node, peer) = (NodeId::from(nodes % 4) + 1, NodeId::from(nodes / 4 % 4) + 1);
                token += 1;
                match action % 7 {
                    0 | 1 => fleet.replace(node, token, token + u64::from(action) % 3),
                    2 => fleet.cut(node, peer),
                    3 => fleet.freeze(node, f64::from(length) / 64.0),
                    4 => fleet.kill(node, false),
                    // One lost disk at a time is tolerated: the next is lost only after this one has
                    // recovered.
                    5 if fleet.live.values().all(|node| node.acceptor.is_recovered()) => {
                        fleet.kill(node, true);
                    }
                    _ => {
                        fleet.heal();
                        fleet.net.lost = 0.05;
                    }
                }
                fleet.run(f64::from(length) / 128.0);
                let killed: Vec<NodeId> = (1..=4).filter(|node| !fleet.live.contains_key(node)).collect();
                killed.into_iter().for_each(|node| fleet.start(node, false));
            }
            fleet.heal();
            fleet.run(6.0);
            check_nothing_lost(&fleet);
        },
    );
}

fn check_nothing_lost(fleet: &Fleet) {
    let acknowledged = fleet.checks.acknowledged();
    for &node in fleet.live.keys() {
        let revision = configuration_revision(fleet, node).unwrap_or(0);
        assert!(
            revision >= acknowledged,
            "node {node} has revision {revision}, {acknowledged} was acknowledged"
        );
    }
    // Regression: voters granted leases to themselves repeatedly, so that no node ever held one.
    for role in SINGLETON_ROLES {
        let holder = fleet.agreed(role);
        let lease = holder.and_then(|node| fleet.live[&node].leases.held_lease(fleet.now, role));
        assert!(lease.is_some(), "no holder of {role:?}");
    }
}

/// If two disks may be lost at once, five of six nodes become voters, all nodes agree on the voter set, and
/// acknowledged values survive the loss of two disks.
#[test]
fn six_nodes_agree_on_five_voters_and_survive_two_lost_disks() {
    for seed in 0..15 {
        let mut fleet = Fleet::with_size(seed, 5, 6);
        fleet.net.lost = 0.05;
        fleet.run(4.0);
        let voter_sets = fleet.voter_sets();
        let five_voters = voter_sets.iter().all(|voters| voters.len() == 5);
        assert!(voter_sets.len() == 1 && five_voters, "seed {seed}: {voter_sets:?}");
        fleet.net.lost = 0.0;
        fleet.replace(6, 1, 7);
        fleet.run(1.0);
        assert_eq!(fleet.done.get(&1), Some(&Outcome::Chosen), "seed {seed}");
        (1..=2).for_each(|node| fleet.kill(node, true));
        fleet.run(0.5);
        (1..=2).for_each(|node| fleet.start(node, false));
        fleet.run(6.0);
        for (&node, control_node) in &fleet.live {
            assert_eq!(configuration_revision(&fleet, node), Some(8), "seed {seed}, node {node}");
            assert!(control_node.acceptor.is_recovered(), "seed {seed}, node {node}");
        }
    }
}
