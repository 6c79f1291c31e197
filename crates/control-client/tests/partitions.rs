//! Data nodes whose control nodes are partitioned from the quorum: they reach others before their leases expire, and put
//! nothing in force that no quorum confirmed within a lease.

mod simulated_fleet;

use archlink_messages::NodeId;
use simulated_fleet::{FIRST_DATA_NODE, LEASE, SimulatedFleet};
use std::collections::BTreeSet;
use std::time::Duration;

const DATA_NODES: usize = 24;
/// Longest search for a smaller case of a failure.
const SHRINK_TIME: Duration = Duration::from_secs(5);

/// All in session, with a configuration in force.
fn converged_fleet() -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(DATA_NODES);
    fleet.run(2.0);
    fleet.propose_configuration(4, 1, 10);
    fleet.run(3.0);
    assert_eq!((fleet.count_with_version(1), fleet.count_confirmed()), (DATA_NODES, DATA_NODES));
    fleet
}

/// Guards against data nodes that stay with a partitioned control node until their leases expire: its heartbeats counted
/// as contact with a quorum as long as what they confirmed was not old.
#[test]
fn partitioned_control_node_costs_no_data_node_its_lease() {
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

/// The same on and off, at all lengths about those by which sessions are given up.
#[test]
fn flapping_partition_costs_no_data_node_its_lease() {
    for length in [0.7, 1.9, 3.1, 6.0] {
        let mut fleet = converged_fleet();
        for _ in 0..6 {
            for is_partitioned in [true, false] {
                fleet.set_partitioned(6, 1..=6, is_partitioned, is_partitioned);
                for _ in 0..(length * 10.0) as usize {
                    fleet.run(0.1);
                    assert_eq!(fleet.count_confirmed(), DATA_NODES, "every {length}");
                }
            }
        }
    }
}

/// A data node that starts beside a partitioned control node, and reaches no other: the configuration and evacuations that
/// it puts in force are as old as others' leases at most, for keyed and for public routes alike.
#[test]
fn late_starter_puts_nothing_in_force_that_was_replaced_longer_than_a_lease_ago() {
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
            let is_within_lease = fleet.now < replaced_at + LEASE;
            // Once a configuration is in force its public routes go on, as at other partitioned data nodes.
            let starts = view.configuration().is_some() && !is_started;
            assert!(
                is_within_lease || !starts,
                "it starts by what was replaced {} s ago",
                fleet.now - replaced_at
            );
            assert!(is_within_lease || !view.is_confirmed(fleet.now));
            is_started |= starts;
        }
        started += usize::from(is_started);
        fleet.partitions.clear();
        fleet.run(4.0);
        let view = &fleet.data_nodes[&LATE].view;
        assert_eq!(view.configuration().map(|configuration| configuration.version), Some(2));
        assert_eq!(view.versions().evacuations, 1);
    }
    assert!(started > 0, "within the lease it does start");
}

/// Partitions between any two machines, in either direction, drawn at random; control and data nodes restart;
/// configurations are replaced all the while. Whatever keyed requests are served by, and whatever a data node starts by,
/// was not replaced longer than a lease ago.
#[test]
fn nobody_goes_by_what_was_replaced_longer_than_a_lease_ago() {
    bolero::check!()
        .with_iterations(16)
        .with_shrink_time(SHRINK_TIME)
        .with_type::<(u64, Vec<(u8, u8, u8)>)>()
        .for_each(|(seed, schedule)| {
            let mut run = RandomRun::new(*seed);
            for &(kind, nodes, length) in schedule.iter().take(20) {
                run.disturb(kind, nodes);
                let until = run.fleet.now + f64::from(length) / 40.0;
                while run.fleet.now < until {
                    run.fleet.run(0.05);
                    run.check();
                }
            }
            run.heal_and_check();
        });
}

/// A run of a small fleet by a random schedule.
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

    fn disturb(&mut self, kind: u8, nodes: u8) {
        let control_node = 1 + NodeId::from(nodes % 6);
        let data_node = FIRST_DATA_NODE + NodeId::from(nodes / 6 % 6);
        let (outbound, inbound) = (kind & 8 == 0, kind & 16 == 0);
        match kind % 6 {
            0 => self.fleet.set_partitioned(control_node, 1..=6, outbound, inbound),
            1 => {
                let others = (1..=6).filter(|to| *to != control_node);
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
            let replaced_at = newer.map(|(_, at)| *at).fold(f64::MAX, f64::min);
            let starts = self.started.insert(*node);
            let serves_keys = starts || data_node.view.is_confirmed(now);
            assert!(
                !serves_keys || now < replaced_at + LEASE + 0.05,
                "{node} goes by {}",
                configuration.version
            );
        }
    }

    /// Once nothing is partitioned all go by the newest configuration.
    fn heal_and_check(mut self) {
        self.fleet.partitions.clear();
        self.fleet.propose_configuration(1, self.version + 1, 2);
        self.fleet.run(8.0);
        assert_eq!((self.fleet.count_with_version(self.version + 1), self.fleet.count_confirmed()), (6, 6));
    }
}

/// Guards against a data node that forgets all control nodes but one: that one had started while it was partitioned and
/// knew of none, and the seeds were on the other side.
#[test]
fn data_node_in_session_with_a_lone_control_node_remembers_the_others() {
    let mut fleet = converged_fleet();
    let in_session_with_6 = |node: &NodeId| fleet.data_nodes[node].session.peer() == Some(6);
    let data_node = (FIRST_DATA_NODE..).find(in_session_with_6).unwrap();
    fleet.set_partitioned(6, 1..=5, true, true);
    fleet.control_nodes.remove(&6);
    fleet.start_control_node(6);
    // It reaches that one alone at first, and later those that are no seeds.
    fleet.set_partitioned(data_node, 1..=5, true, true);
    fleet.run(8.0);
    assert_eq!(fleet.data_nodes[&data_node].view.control_nodes().len(), 1);
    fleet.set_partitioned(data_node, 4..=5, false, false);
    fleet.run(8.0);
    let SimulatedFleet { data_nodes, now, .. } = &fleet;
    let data_node = &data_nodes[&data_node];
    assert!(data_node.view.is_confirmed(*now), "it is with {:?}", data_node.session.peer());
}
