//! Machines that are lost for good and replaced by machines with another address and an empty disk, followed
//! by the next loss as soon as `CatchUp` allows it. Each schedule also runs with a `CatchUp` of 1000 s, with
//! which a lost voter is not replaced in time: this injected fault must be detected.

use archlink_consensus::Outcome;
use archlink_control_node::node::ControlNodeState;
use archlink_messages::{NodeId, Register, SingletonRole, VoterSet};
use archlink_simulation::Fleet;
use std::collections::BTreeSet;

/// `CatchUp` in seconds.
const CATCH_UP: f64 = 4.0;
/// A `CatchUp` in seconds that is longer than any test, so that no lost voter is replaced.
const NEVER: f64 = 1000.0;
const FIRST_TOKEN: u64 = 1;
/// Seconds after the last loss by which the cluster must have recovered.
const RECOVERY: f64 = 8.0;
/// Seconds between SIGTERM and the end of a process.
const SHUTDOWN_GRACE: f64 = 5.1;

fn started_fleet(seed: u64, (required_voters, size): (usize, NodeId), catch_up: f64) -> Fleet {
    let mut fleet = Fleet::empty(seed, required_voters, size);
    fleet.catch_up = catch_up;
    (1..=size).for_each(|node| fleet.start(node, true));
    fleet.run(2.0);
    fleet.replace(2, FIRST_TOKEN, 7);
    fleet.run(1.0);
    assert_eq!(fleet.done.get(&FIRST_TOKEN), Some(&Outcome::Chosen), "seed {seed}");
    fleet
}

/// Sets a latency of 12 ms in each direction on all links, and a duration of `sync` seconds for each sync.
fn set_latencies(fleet: &mut Fleet, sync: f64) {
    (fleet.net.min_latency, fleet.net.jitter) = (0.012, 0.002);
    let nodes: Vec<NodeId> = fleet.nodes().collect();
    nodes.into_iter().for_each(|node| fleet.set_sync(node, sync));
}

/// Returns the voter set of the latest epoch that a running node knows.
fn latest_voter_set(fleet: &Fleet) -> VoterSet {
    let voter_sets = fleet.live.values().map(ControlNodeState::voter_set);
    voter_sets.max_by_key(|voter_set| voter_set.epoch).unwrap().clone()
}

/// Returns whether every running node has everything acknowledged and commits another proposal.
fn commits_proposals(fleet: &mut Fleet) -> bool {
    let nodes: Vec<NodeId> = fleet.live.keys().copied().collect();
    nodes.into_iter().all(|node| {
        let (token, acknowledged) = (1_000_000 + fleet.steps, fleet.checks.acknowledged());
        let committed = fleet.live[&node].proposer.committed(Register::Configuration);
        let revision = committed.map_or(0, |value| value.revision);
        fleet.replace(node, token, 1000 + fleet.now as u64 * 100 + u64::from(node));
        fleet.run(1.0);
        revision >= acknowledged && fleet.done.get(&token) == Some(&Outcome::Chosen)
    })
}

/// The replacement of one machine, which ends at the moment from which the next loss is allowed.
#[derive(Clone, Copy, Debug)]
struct Replacement {
    old: NodeId,
    new: NodeId,
    /// Seconds between the loss of the old node and the start of the new one, or the reverse if planned.
    gap: f64,
    /// Whether the new node starts first and the old one shuts down gracefully.
    planned: bool,
}

impl Replacement {
    fn run(&self, fleet: &mut Fleet) {
        if self.planned {
            fleet.join(self.new);
            let next_loss_at = fleet.now + CATCH_UP;
            fleet.run(self.gap);
            shut_down(fleet, self.old);
            let remaining = next_loss_at - fleet.now;
            fleet.run(remaining.max(0.0));
        } else {
            fleet.kill(self.old, true);
            fleet.run(self.gap);
            fleet.join(self.new);
            fleet.run(CATCH_UP);
        }
    }
}

/// Begins a graceful shutdown, as the program does on SIGTERM: another node replaces this voter first, if
/// there is one. Returns whether the node may shut down in time; it still runs.
fn leave(fleet: &mut Fleet, node: NodeId) -> bool {
    fleet.step(node, |control_node, now| control_node.begin_shutdown(now));
    let deadline = fleet.now + SHUTDOWN_GRACE;
    fleet.run(0.5);
    while fleet.now < deadline && !fleet.live[&node].may_shut_down(fleet.clock(node)) {
        fleet.run(0.05);
    }
    fleet.now < deadline
}

/// Shuts a machine down gracefully and for good.
fn shut_down(fleet: &mut Fleet, node: NodeId) {
    leave(fleet, node);
    fleet.kill(node, true);
}

fn lose_disk_and_restart(fleet: &mut Fleet, node: NodeId) {
    fleet.power_off(node, true);
    fleet.run(1.2);
    fleet.start(node, false);
}

/// Returns whether the cluster survives a replacement and then, as soon as that is allowed, the loss of a
/// disk of any remaining voter.
fn survives_replacement_and_lost_disk(seed: u64, replacement: Replacement, sync: f64, catch_up: f64) -> bool {
    (0..3).all(|n| {
        let mut fleet = started_fleet(seed, (3, 4), catch_up);
        set_latencies(&mut fleet, sync);
        replacement.run(&mut fleet);
        let voters = latest_voter_set(&fleet).all_voters();
        let Some(&victim) = voters.iter().filter(|node| fleet.live.contains_key(node)).nth(n) else {
            return true;
        };
        // Only what the slow disks have completed by now counts as done in time.
        set_latencies(&mut fleet, 0.002);
        lose_disk_and_restart(&mut fleet, victim);
        fleet.run(RECOVERY);
        commits_proposals(&mut fleet)
    })
}

#[test]
fn a_replaced_voter_and_then_a_lost_disk_are_survived() {
    for seed in 0..3 {
        for (gap, planned) in [(0.5, false), (1.0, false), (5.0, false), (1.0, true), (5.0, true)] {
            let replacement = Replacement { old: 1 + seed as NodeId % 3, new: 5, gap, planned };
            for sync in [0.002, 0.2] {
                assert!(
                    survives_replacement_and_lost_disk(seed, replacement, sync, CATCH_UP),
                    "{seed} {replacement:?} {sync}"
                );
            }
        }
    }
    let replacement = Replacement { old: 1, new: 5, gap: 0.5, planned: false };
    assert!(
        !survives_replacement_and_lost_disk(1, replacement, 0.002, NEVER),
        "the injected fault is not detected"
    );
}

/// With three machines, all of which are voters, no node can replace a lost one before its successor starts.
#[test]
fn without_a_spare_node_the_successor_becomes_a_voter_in_time() {
    let survives = |seed: u64, gap: f64, sync: f64, catch_up: f64| {
        let mut fleet = started_fleet(seed, (3, 3), catch_up);
        set_latencies(&mut fleet, sync);
        Replacement { old: 2, new: 4, gap, planned: false }.run(&mut fleet);
        set_latencies(&mut fleet, 0.002);
        lose_disk_and_restart(&mut fleet, 1);
        fleet.run(RECOVERY);
        commits_proposals(&mut fleet)
    };
    for seed in 0..10 {
        for gap in [0.5, 1.0, 5.0] {
            assert!(survives(seed, gap, 0.002, CATCH_UP), "seed {seed}, gap {gap}");
            assert!(survives(seed, gap, 0.1, CATCH_UP), "seed {seed}, gap {gap}, slow disks");
        }
    }
    assert!(!survives(1, 0.5, 0.002, NEVER), "the injected fault is not detected");
}

/// Returns whether the cluster survives the replacement of two machines in short succession, two disks that
/// hang for two seconds just after the successors started, and then a kill of all nodes.
fn survives_two_replacements(seed: u64, catch_up: f64) -> bool {
    let mut fleet = started_fleet(seed, (3, 4), catch_up);
    fleet.kill(1, true);
    fleet.run(0.94);
    fleet.join(6);
    fleet.run(1.0);
    // With the injected fault it ends without being replaced as a voter.
    if catch_up == NEVER {
        fleet.kill(2, true)
    } else {
        shut_down(&mut fleet, 2)
    };
    fleet.run(2.5);
    fleet.join(5);
    fleet.run(1.0);
    let voters = latest_voter_set(&fleet).voters;
    voters.iter().take(2).for_each(|&node| fleet.hang(node, 1.9));
    fleet.run(1.9 + CATCH_UP);
    let nodes: Vec<NodeId> = fleet.live.keys().copied().collect();
    nodes.iter().for_each(|&node| fleet.kill(node, false));
    fleet.run(1.2);
    nodes.iter().for_each(|&node| fleet.start(node, false));
    fleet.run(RECOVERY);
    commits_proposals(&mut fleet)
}

#[test]
fn two_replacements_hanging_disks_and_a_kill_of_all_are_survived() {
    (0..10).for_each(|seed| assert!(survives_two_replacements(seed, CATCH_UP), "seed {seed}"));
    assert!(!survives_two_replacements(1, NEVER), "the injected fault is not detected");
}

/// Five of six nodes are voters. Two of them are lost for good at once, and two more lose their disks as soon
/// as that is allowed.
#[test]
fn two_of_five_voters_replaced_and_then_two_lost_disks_are_survived() {
    const LONGER_CATCH_UP: f64 = 6.0;
    let survives = |seed: u64, catch_up: f64| {
        let mut fleet = started_fleet(seed, (5, 6), catch_up);
        set_latencies(&mut fleet, 0.02);
        let voters = latest_voter_set(&fleet).voters;
        let lost = [voters[seed as usize % 5], voters[(seed as usize + 1 + seed as usize / 5) % 5]];
        lost.iter().for_each(|&node| fleet.kill(node, true));
        fleet.run(0.5);
        [7, 8].iter().for_each(|&node| fleet.join(node));
        fleet.run(LONGER_CATCH_UP);
        let mut remaining = latest_voter_set(&fleet).voters;
        remaining.retain(|node| fleet.live.contains_key(node));
        remaining.iter().take(2).for_each(|&node| fleet.power_off(node, true));
        fleet.run(1.2);
        remaining.iter().take(2).for_each(|&node| fleet.start(node, false));
        fleet.run(RECOVERY);
        commits_proposals(&mut fleet)
    };
    (0..15).for_each(|seed| assert!(survives(seed, LONGER_CATCH_UP), "seed {seed}"));
    assert!(!survives(1, NEVER), "the injected fault is not detected");
}

/// Every machine is replaced, one after the other, as soon as that is allowed. A node that was partitioned
/// all that time and one that was down find the current voter set, and don't form a quorum with each other.
#[test]
fn all_machines_are_replaced_in_turn_and_absent_nodes_find_the_voter_set() {
    for seed in 0..6 {
        let mut fleet = started_fleet(seed, (3, 4), CATCH_UP);
        fleet.kill(3, false);
        fleet.run(CATCH_UP);
        for peer in fleet.nodes() {
            fleet.cut(2, peer);
            fleet.cut(peer, 2);
        }
        fleet.run(CATCH_UP);
        // Of the first four nodes, 1 and 4 are reachable; they and then their successors are replaced in
        // turn.
        for (old, new) in [(1, 5), (4, 6), (5, 7), (6, 8)] {
            if new == 5 {
                [5, 6].iter().for_each(|&node| fleet.join(node));
                fleet.run(CATCH_UP);
            }
            fleet.kill(old, true);
            fleet.run(0.5);
            fleet.join(new + 2);
            fleet.run(CATCH_UP);
            assert!(
                commits_proposals(&mut fleet) || !fleet.live.contains_key(&2),
                "seed {seed}: after the replacement of {old}"
            );
        }
    }
}

/// A voter that freezes repeatedly is replaced once, and no further membership changes follow.
#[test]
fn a_voter_that_freezes_repeatedly_is_replaced_once() {
    let mut changes = Vec::new();
    for seed in 0..6 {
        let mut fleet = started_fleet(seed, (3, 4), CATCH_UP);
        let epoch_before = latest_voter_set(&fleet).epoch;
        for _ in 0..12 {
            fleet.freeze(2, 2.0);
            fleet.run(5.0);
        }
        // Each change takes two epochs, the joint one and the new one.
        changes.push((latest_voter_set(&fleet).epoch - epoch_before) / 2);
        assert!(commits_proposals(&mut fleet), "seed {seed}");
    }
    assert!(changes.iter().all(|&changes| changes == 1), "changes in a minute: {changes:?}");
}

/// All nodes are restarted gracefully, one after the other. Each voter costs one change, registers and leases
/// are kept, and proposals commit throughout.
#[test]
fn a_rolling_restart_replaces_each_voter_once_and_proposals_commit() {
    for seed in 0..6 {
        let mut fleet = started_fleet(seed, (3, 4), CATCH_UP);
        let epoch_before = latest_voter_set(&fleet).epoch;
        for node in 1..=4 {
            assert!(leave(&mut fleet, node), "seed {seed}: no node replaced {node} in time");
            assert!(!latest_voter_set(&fleet).contains(node), "seed {seed}: {node} is still a voter");
            fleet.kill(node, false);
            fleet.run(1.0);
            fleet.start(node, false);
            fleet.run(1.0);
            assert!(commits_proposals(&mut fleet), "seed {seed}: after {node}");
        }
        let changes = (latest_voter_set(&fleet).epoch - epoch_before) / 2;
        assert!(changes <= 4, "seed {seed}: {changes} changes");
        assert!(fleet.holder(SingletonRole::QuotaCounter).is_some(), "seed {seed}");
    }
}

/// A leaving node exits as soon as it may, and the voter that completed the change loses its disk at that
/// moment: the others must know the new voter set by then.
#[test]
fn a_leaving_node_shuts_down_only_after_the_others_adopted_the_voter_set() {
    for seed in 0..20 {
        let mut fleet = started_fleet(seed, (3, 4), CATCH_UP);
        set_latencies(&mut fleet, 0.01);
        shut_down(&mut fleet, 3);
        let epochs: BTreeSet<u64> = fleet.live.values().map(|node| node.voter_set().epoch).collect();
        assert_eq!(epochs.len(), 1, "seed {seed}: {epochs:?}");
        lose_disk_and_restart(&mut fleet, 1);
        fleet.run(RECOVERY);
        assert!(commits_proposals(&mut fleet), "seed {seed}");
    }
}

/// A voter with a hanging disk sends heartbeats but replies to no request. It is replaced by a node that does
/// reply, and the next loss is survived.
#[test]
fn a_voter_with_a_hanging_disk_is_replaced() {
    for seed in 0..6 {
        let mut fleet = started_fleet(seed, (3, 4), CATCH_UP);
        fleet.hang(2, 20.0);
        fleet.run(2.0 * CATCH_UP);
        let voter_set = latest_voter_set(&fleet);
        assert!(!voter_set.contains(2), "seed {seed}: {voter_set:?}");
        lose_disk_and_restart(&mut fleet, 1);
        fleet.run(RECOVERY);
        let confirmed = fleet.live[&3].proposer.confirmed(Register::Configuration);
        assert!(confirmed.is_some_and(|confirmed_at| confirmed_at > fleet.clock(3) - 2.0));
    }
}

/// A node that is lost for good is advertised for a short time only and forgotten later; the running nodes
/// remain known.
#[test]
fn a_node_that_is_gone_for_good_is_forgotten() {
    let mut fleet = started_fleet(1, (3, 4), CATCH_UP);
    Replacement { old: 1, new: 5, gap: 0.5, planned: false }.run(&mut fleet);
    let advertised = |fleet: &Fleet, node: NodeId| -> Vec<NodeId> {
        let registry = &fleet.live[&node].event_log.registry;
        let control_nodes = registry.advertised_control_nodes(fleet.clock(node));
        control_nodes.iter().map(|control_node| control_node.node).collect()
    };
    assert!(advertised(&fleet, 2).contains(&1), "it may be absent for a moment only");
    fleet.run(30.0);
    (2..=5).for_each(|node| assert_eq!(advertised(&fleet, node), [2, 3, 4, 5], "by {node}"));
    let is_known = |fleet: &Fleet| {
        let control_nodes = fleet.live[&3].event_log.registry.control_nodes();
        control_nodes.iter().any(|control_node| control_node.node == 1)
    };
    assert!(is_known(&fleet), "it is still connected to after it is no longer advertised");
    fleet.run(600.0);
    assert!(!is_known(&fleet));
    assert_eq!(advertised(&fleet, 3), [2, 3, 4, 5]);
}

/// The cost of one repair, in simulated seconds, syncs and bytes.
struct RepairCost {
    /// From the loss of the voter until all running nodes are in the new epoch.
    duration: f64,
    /// The longest time without a committed proposal.
    without_commit: f64,
    /// The longest time without a holder of the quota counter's lease.
    without_counter: f64,
    syncs: u64,
    bytes: usize,
}

/// Kills a voter for good, with continuous proposals, and measures the repair.
fn measure_repair(seed: u64, sync: f64) -> RepairCost {
    const STEP: f64 = 0.02;
    let mut fleet = started_fleet(seed, (3, 4), CATCH_UP);
    set_latencies(&mut fleet, sync);
    fleet.run(1.0);
    let written = |fleet: &Fleet| {
        fleet.disks.values().fold((0, 0), |(syncs, bytes), disk| (syncs + disk.syncs, bytes + disk.bytes))
    };
    let (lost_at, epoch, before) = (fleet.now, latest_voter_set(&fleet).epoch, written(&fleet));
    fleet.kill(1 + seed as NodeId % 3, true);
    let mut cost =
        RepairCost { duration: f64::INFINITY, without_commit: 0.0, without_counter: 0.0, syncs: 0, bytes: 0 };
    let (mut committed_at, mut lease_held_at, mut token) = (lost_at, lost_at, 10);
    let proposer = fleet.live.keys().copied().last().unwrap();
    fleet.evacuate(proposer, token, "z", true);
    while fleet.now < lost_at + 5.0 {
        fleet.run(STEP);
        // Each proposal is followed by the next one.
        if let Some(outcome) = fleet.done.remove(&token) {
            committed_at = if outcome == Outcome::Chosen { fleet.now } else { committed_at };
            token += 1;
            fleet.evacuate(proposer, token, "z", token % 2 == 0);
        }
        let has_holder = fleet.holder(SingletonRole::QuotaCounter).is_some();
        lease_held_at = if has_holder { fleet.now } else { lease_held_at };
        cost.without_commit = cost.without_commit.max(fleet.now - committed_at);
        cost.without_counter = cost.without_counter.max(fleet.now - lease_held_at);
        let in_new_epoch = |node: &ControlNodeState| node.voter_set().epoch == epoch + 2;
        if cost.duration.is_infinite() && fleet.live.values().all(in_new_epoch) {
            cost.duration = fleet.now - lost_at;
            let after = written(&fleet);
            (cost.syncs, cost.bytes) = (after.0 - before.0, after.1 - before.1);
        }
    }
    cost
}

/// Prints the figures for `docs/control.md`. Run it with `cargo test --release -p archlink-control-node
/// --test machine_replacement -- --ignored --nocapture`.
#[test]
#[ignore = "prints the cost of a repair; the other tests have the bounds"]
fn cost_of_a_repair() {
    for sync in [0.002, 0.1, 0.2] {
        let costs: Vec<RepairCost> = (0..100).map(|seed| measure_repair(seed, sync)).collect();
        let print = |name: &str, figure: &dyn Fn(&RepairCost) -> f64| {
            let mut all: Vec<f64> = costs.iter().map(figure).collect();
            all.sort_by(f64::total_cmp);
            println!("sync {sync}: {name} median {:.2} worst {:.2}", all[50], all[99]);
        };
        print("repaired after", &|cost| cost.duration);
        print("without a commit", &|cost| cost.without_commit);
        print("without a quota counter", &|cost| cost.without_counter);
        print("syncs, proposals included", &|cost| cost.syncs as f64);
        print("bytes, proposals included", &|cost| cost.bytes as f64);
    }
}

/// Regression: continuous proposals kept a membership change from completing. Convergence of the registers
/// was queued behind all pending proposals, and after a conflict it gave way to every later proposal.
#[test]
fn continuous_proposals_do_not_hold_up_a_repair() {
    for seed in 0..8 {
        for sync in [0.002, 0.1] {
            let duration = measure_repair(seed, sync).duration;
            assert!(duration < 5.0, "seed {seed}, sync {sync}: {duration}");
        }
    }
}
