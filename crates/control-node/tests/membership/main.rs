//! Membership changes under faults, in the simulation. The simulation checks its invariants in every step:
//! each epoch has one voter set, each register one sequence of chosen values, each singleton role at most one
//! holder. Where a property depends on a condition, the test also injects the fault that the condition
//! prevents, and expects it to be detected.

mod first_start;
mod leases;
mod lost_disk;
mod new_generation;
mod proposals;
mod replacement;
mod returning_nodes;

use archlink_consensus::{MembershipChange, Outcome};
use archlink_control_node::node::ControlNodeState;
use archlink_messages::{NodeId, Register, VoterSet};
use archlink_simulation::Fleet;
use std::collections::BTreeSet;

/// The membership change that most tests make.
const REPLACE: MembershipChange = MembershipChange::Replace { old: 3, new: 4 };
/// Tokens from here on are reserved for the helpers; tests use lower ones.
const FIRST_HELPER_TOKEN: u64 = 100;

/// Starts four nodes, of which 1, 2 and 3 are voters, with a configuration of version 7.
fn started_fleet(seed: u64) -> Fleet {
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

fn configuration_revision(fleet: &Fleet, node: NodeId) -> Option<u64> {
    fleet.live[&node].proposer.committed(Register::Configuration).map(|value| value.revision)
}

/// Returns the voter set on which all running nodes agree, and checks that it is not a joint one.
fn agreed_voter_set(fleet: &Fleet, context: &str) -> VoterSet {
    let voter_sets: BTreeSet<&VoterSet> = fleet.live.values().map(ControlNodeState::voter_set).collect();
    let stable = voter_sets.iter().all(|voter_set| !voter_set.is_joint());
    assert!(voter_sets.len() == 1 && stable, "{context}: {voter_sets:?}");
    voter_sets.into_iter().next().unwrap().clone()
}

/// Checks that every running node has everything acknowledged and commits another proposal, and that every
/// running voter is recovered.
fn check_cluster(fleet: &mut Fleet, context: &str) {
    let nodes: Vec<NodeId> = fleet.live.keys().copied().collect();
    for node in nodes {
        let (token, acknowledged) = (FIRST_HELPER_TOKEN + u64::from(node), fleet.checks.acknowledged());
        let revision = configuration_revision(fleet, node).unwrap_or(0);
        assert!(
            revision >= acknowledged,
            "{context}: node {node} has revision {revision}, {acknowledged} was acknowledged"
        );
        // Higher than all versions proposed so far.
        fleet.replace(node, token, 1000 * fleet.now as u64 + u64::from(node));
        fleet.run(1.0);
        assert_eq!(fleet.done.get(&token), Some(&Outcome::Chosen), "{context}: proposed at node {node}");
    }
    let recovered = |node: &NodeId| fleet.live.get(node).is_none_or(|node| node.acceptor.is_recovered());
    assert!(
        agreed_voter_set(fleet, context).voters.iter().all(recovered),
        "{context}: a voter is not recovered"
    );
}

/// Runs until the condition holds, for at most `max_seconds`. Returns whether it holds.
fn run_until(fleet: &mut Fleet, max_seconds: f64, condition: impl Fn(&Fleet) -> bool) -> bool {
    let end = fleet.now + max_seconds;
    while fleet.now < end && !condition(fleet) {
        fleet.run(0.01);
    }
    condition(fleet)
}
