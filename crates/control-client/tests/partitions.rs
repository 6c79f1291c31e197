//! Data nodes whose control nodes are partitioned from the quorum: they reach others before their confirmations expire,
//! and put nothing in force that no quorum confirmed within the confirmation lifetime.

mod simulated_fleet;

use archlink_messages::NodeId;
use simulated_fleet::{CONFIRMATION_LIFETIME, FIRST_DATA_NODE, SimulatedFleet};
use std::collections::BTreeSet;
use std::time::Duration;

const DATA_NODES: usize = 24;
/// The maximum time for shrinking a failing case.
const SHRINK_TIME: Duration = Duration::from_secs(5);

/// Starts a fleet and runs it until all data nodes are in session and have a configuration in force.
fn converged_fleet() -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(DATA_NODES);
    fleet.run(2.0);
    fleet.propose_configuration(4, 1, 10);
    fleet.run(3.0);
    assert_eq!((fleet.count_with_version(1), fleet.count_confirmed()), (DATA_NODES, DATA_NODES));
    fleet
}

/// Guards against data nodes that stay with a partitioned control node until their confirmations expire: its heartbeats
/// counted as quorum contact as long as the confirmation in them was not old.
#[test]
fn partitioned_control_node_costs_no_data_node_its_confirmation() {
    for (outbound, inbound) in [(true, true), (true, false), (false, true)] {
        let mut fleet = converged_fleet();
        for node in [6, 1] {
            fleet.set_partitioned(node, 1..=6, outbound, inbound);
            for n in 0..640 {
                fleet.run(if n < 600 { 0.01 } else { 0.5 });
                assert_eq!(
                    fleet.count_confirmed(),
                    DATA_NODES,
                    "partitioned: {node}, outbound {outbound}, inbound {inbound}"
                );
            }
            fleet.partitions.clear();
            fleet.run(1.0);
        }
    }
}

/// The same with a partition that begins and ends repeatedly, with durations around the timeouts of a session.
#[test]
fn flapping_partition_costs_no_data_node_its_confirmation() {
    for length in [0.7, 1.9, 3.1, 6.0] {
        let mut fleet = converged_fleet();
        for _ in 0..6 {
            for is_partitioned in [true, false] {
                fleet.set_partitioned(6, 1..=6, is_partitioned, is_partitioned);
                for _ in 0..(length * 10.0) as usize {
                    fleet.run(0.1);
                    assert_eq!(fleet.count_confirmed(), DATA_NODES, "partitions of {length} s");
                }
            }
        }
    }
}

/// A data node starts in a partition with a single control node and reaches no other. The configuration and evacuations
/// that it puts in force may have been replaced at most one confirmation lifetime ago, as at other data nodes, for
/// keyed and public routes alike.
#[test]
fn data_node_started_in_a_partition_puts_nothing_outdated_in_force() {
    let mut started = 0;
    for delay in [0.0, 1.0, 3.0, 5.0, 20.0, 60.0] {
        let mut fleet = converged_fleet();
        const LATE: NodeId = 200;
        fleet.set_partitioned(1, 2..=6, true, true);
        fleet.set_partitioned(LATE, 2..=6, true, true);
        fleet.propose_configuration(2, 2, 10);
        fleet.propose_evacuation(2, "z3");
        fleet.run(0.3);
        let replaced_at = fleet.now;
        fleet.run(delay);
        fleet.start_data_node(LATE);
        let mut is_started = false;
        for _ in 0..100 {
            fleet.run(0.1);
            let view = &fleet.data_nodes[&LATE].view;
            let is_within_lifetime = fleet.now < replaced_at + CONFIRMATION_LIFETIME;
            // Once a configuration is in force its public routes are served on, as at other partitioned data nodes.
            let starts = view.configuration().is_some() && !is_started;
            assert!(
                is_within_lifetime || !starts,
                "it put in force what was replaced {} s ago",
                fleet.now - replaced_at
            );
            assert!(is_within_lifetime || !view.is_confirmed(fleet.now));
            is_started |= starts;
        }
        started += usize::from(is_started);
        fleet.partitions.clear();
        fleet.run(4.0);
        let view = &fleet.data_nodes[&LATE].view;
        assert_eq!(view.configuration().map(|configuration| configuration.version), Some(2));
        assert_eq!(view.versions().evacuations, 1);
    }
    assert!(started > 0, "it never started, not even within the confirmation lifetime");
}

/// Random partitions between any two machines, in either direction, while control and data nodes restart and
/// configurations are replaced. A configuration by which keyed requests are served, or which a started data node first
/// puts in force, was replaced at most one confirmation lifetime ago.
#[test]
fn nobody_goes_by_what_was_replaced_longer_than_a_lease_ago() {
    bolero::check!()
        .with_iterations(16)
        .with_shrink_time(SHRINK_TIME)
        .with_type::<(u64, Vec<(u8, u8, u8)>)>()
        .for_each(|(seed, schedule)| {
            let mut run = RandomRun::new(*seed);
            for &(kind, nodes, length) in schedule.iter().take(20) {
                run.inject_fault(kind, nodes);
                let end = run.fleet.now + f64::from(length) / 40.0;
                while run.fleet.now < end {
                    run.fleet.run(0.05);
                    run.check();
                }
            }
            run.heal_and_check();
        });
}

/// A run of a small fleet with a random schedule.
struct RandomRun {
    fleet: SimulatedFleet,
    /// The newest version proposed.
    version: u64,
    /// Data nodes that have had a configuration in force since their start.
    started: BTreeSet<NodeId>,
}

impl RandomRun {
    fn new(seed: u64) -> RandomRun {
        let mut fleet = SimulatedFleet::new(6);
        fleet.rng = oorandom::Rand64::new(u128::from(seed));
        fleet.run(1.0);
        RandomRun { fleet, version: 1, started: BTreeSet::new() }
    }

    /// Partitions or restarts nodes, heals all partitions, or replaces the configuration.
    fn inject_fault(&mut self, kind: u8, nodes: u8) {
        let control_node = 1 + NodeId::from(nodes % 6);
        let data_node = FIRST_DATA_NODE + NodeId::from(nodes / 6 % 6);
        let (outbound, inbound) = (kind & 8 == 0, kind & 16 == 0);
        match kind % 6 {
            0 => self.fleet.set_partitioned(control_node, 1..=6, outbound, inbound),
            1 => {
                let others = (1..=6).filter(|other| *other != control_node);
                self.fleet.set_partitioned(data_node, others, outbound, inbound);
            }
            2 => {
                self.fleet.control_nodes.remove(&control_node);
                self.fleet.start_control_node(control_node);
            }
            3 => {
                self.started.remove(&data_node);
                self.fleet.start_data_node(data_node);
            }
            4 => self.fleet.partitions.clear(),
            _ => {
                self.version += 1;
                self.fleet.propose_configuration(control_node, self.version, 2);
            }
        }
    }

    fn check(&mut self) {
        let now = self.fleet.now;
        for (node, data_node) in &self.fleet.data_nodes {
            let Some(configuration) = data_node.view.configuration() else { continue };
            let newer = self.fleet.acknowledged_at.range(configuration.version + 1..);
            let replaced_at = newer.map(|(_, acknowledged_at)| *acknowledged_at).fold(f64::MAX, f64::min);
            let starts = self.started.insert(*node);
            let serves_keys = starts || data_node.view.is_confirmed(now);
            assert!(
                !serves_keys || now < replaced_at + CONFIRMATION_LIFETIME + 0.05,
                "data node {node} uses the outdated configuration {}",
                configuration.version
            );
        }
    }

    /// Ends all partitions and checks that all data nodes then have the newest configuration in force.
    fn heal_and_check(mut self) {
        self.fleet.partitions.clear();
        self.fleet.propose_configuration(1, self.version + 1, 2);
        self.fleet.run(8.0);
        assert_eq!((self.fleet.count_with_version(self.version + 1), self.fleet.count_confirmed()), (6, 6));
    }
}

/// Guards against a data node that forgets all control nodes but one: that one had started in a partition and knew no
/// other, and the seeds were on the other side of the partition.
#[test]
fn data_node_in_session_with_a_lone_control_node_remembers_the_others() {
    let mut fleet = converged_fleet();
    let in_session_with_6 = |node: &NodeId| fleet.data_nodes[node].session.peer() == Some(6);
    let data_node = (FIRST_DATA_NODE..).find(in_session_with_6).unwrap();
    fleet.set_partitioned(6, 1..=5, true, true);
    fleet.control_nodes.remove(&6);
    fleet.start_control_node(6);
    // The data node reaches only that one at first, and later those that are no seeds.
    fleet.set_partitioned(data_node, 1..=5, true, true);
    fleet.run(8.0);
    assert_eq!(fleet.data_nodes[&data_node].view.control_nodes().len(), 1);
    fleet.set_partitioned(data_node, 4..=5, false, false);
    fleet.run(8.0);
    let SimulatedFleet { data_nodes, now, .. } = &fleet;
    let data_node = &data_nodes[&data_node];
    assert!(data_node.view.is_confirmed(*now), "it is in session with {:?}", data_node.session.peer());
}
