//! A hundred data nodes and six control nodes in simulated time: updates reach all in time, sessions are spread evenly,
//! also after the loss of a control node, and the control protocol takes little of a data node's bandwidth.

mod simulated_fleet;

use archlink_consensus::Outcome;
use archlink_messages::NodeId;
use simulated_fleet::{FIRST_DATA_NODE, SimulatedFleet, host_list};

/// Returns the maximum of the bytes sent and received by any node with this id or a higher one.
fn max_bytes(fleet: &SimulatedFleet, first: NodeId) -> usize {
    fleet.bytes.range(first..).map(|(_, bytes)| *bytes).max().unwrap()
}

/// From a cold start until all data nodes serve. A configuration, a much larger one and a host list reach all of them
/// in time and in few bytes, and idle sessions take next to no bandwidth.
#[test]
fn updates_reach_a_hundred_data_nodes_in_time_and_in_few_bytes() {
    let mut fleet = SimulatedFleet::new(100);
    fleet.run(2.0);
    fleet.propose_configuration(4, 1, 40);
    fleet.run(1.0);
    assert_eq!(
        (fleet.outcomes.as_slice(), fleet.count_with_version(1), fleet.count_confirmed()),
        (&[Outcome::Chosen][..], 100, 100)
    );
    fleet.step_control_node(2, |control, now| control.set_host_list(now, host_list(1, 230)));
    fleet.run(3.5);
    // Every data node knows all data nodes, once the control nodes have run long enough to report them.
    assert!(fleet.data_nodes.values().all(|data_node| data_node.view.data_nodes().len() == 100));
    fleet.bytes.clear();
    fleet.run(5.0);
    let (data_node, control_node) = (max_bytes(&fleet, FIRST_DATA_NODE) / 5, max_bytes(&fleet, 1) / 5);
    assert!(
        data_node < 1200 && control_node < 40_000,
        "{data_node} and {control_node} bytes a second without changes"
    );
    // Hosts are added and removed one by one: all data nodes receive each change, as a patch.
    fleet.bytes.clear();
    for version in 2..7 {
        let mut list = host_list(version, 230 + version as usize);
        list.instances.remove(version as usize * 9);
        list.instances[version as usize].draining = true;
        fleet.step_control_node(2, |control, now| control.set_host_list(now, list.clone()));
        fleet.run(1.0);
        assert!(fleet.data_nodes.values().all(|data_node| data_node.hosts == list), "list {version}");
    }
    let bytes = max_bytes(&fleet, FIRST_DATA_NODE);
    assert!(bytes < 5 * (1200 + 700), "{bytes} bytes for five changes of the list");
    // Three hundred more routes: in force everywhere within a second, and in few more bytes than the compressed
    // text.
    fleet.bytes.clear();
    let compressed = fleet.propose_configuration(1, 2, 340);
    fleet.run(1.0);
    assert_eq!((fleet.count_with_version(2), fleet.count_confirmed()), (100, 100));
    let bytes = max_bytes(&fleet, FIRST_DATA_NODE);
    assert!(bytes < compressed + 3000, "{bytes} bytes, {compressed} compressed");
    // One more route costs the bytes of its change, and many in quick succession those of their changes together.
    fleet.bytes.clear();
    let before = fleet.data_nodes[&FIRST_DATA_NODE].configurations;
    for version in 3..11 {
        fleet.propose_configuration(1 + version as NodeId % 6, version, 340 + version as usize);
        fleet.run(0.1);
    }
    fleet.run(1.0);
    assert_eq!((fleet.count_with_version(10), fleet.count_confirmed()), (100, 100));
    let bytes = max_bytes(&fleet, FIRST_DATA_NODE);
    assert!(bytes < 8 * 300 + 2 * 1200, "{bytes} bytes for eight changes");
    let parsed = fleet.data_nodes[&FIRST_DATA_NODE].configurations - before;
    assert!(parsed <= 4, "{parsed} of eight configurations in quick succession were parsed");
}

/// Guards against a thundering herd: the sessions of a lost control node spread evenly over the others, and those of
/// its zone return once it is back. The configuration stays confirmed everywhere.
#[test]
fn sessions_of_a_lost_control_node_spread_evenly_and_return_to_their_zone() {
    let mut fleet = SimulatedFleet::new(100);
    fleet.run(2.0);
    fleet.propose_configuration(4, 1, 40);
    fleet.run(3.0);
    let counts = fleet.session_counts();
    assert!(counts.len() == 6 && counts.values().all(|count| (16..=17).contains(count)), "{counts:?}");
    fleet.control_nodes.remove(&6);
    for _ in 0..60 {
        fleet.run(0.1);
        assert_eq!(fleet.count_confirmed(), 100);
    }
    let counts = fleet.session_counts();
    assert!(counts.values().sum::<usize>() == 100 && counts.values().all(|count| *count <= 28), "{counts:?}");
    fleet.start_control_node(6);
    fleet.run(14.0);
    let counts = fleet.session_counts();
    assert!(counts.get(&6).is_some_and(|count| *count >= 16), "{counts:?}");
    assert_eq!(fleet.count_confirmed(), 100);
}
