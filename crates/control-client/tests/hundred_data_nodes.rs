//! A hundred data nodes and six control nodes in simulated time: updates reach all in time, sessions spread evenly, also
//! after the loss of a control node, and a data node's link carries little beside its traffic.

mod simulated_fleet;

use archlink_consensus::Outcome;
use archlink_messages::NodeId;
use simulated_fleet::{FIRST_DATA_NODE, SimulatedFleet, host_list};

/// Most bytes of any node with this number or a higher one.
fn max_bytes(fleet: &SimulatedFleet, first: NodeId) -> usize {
    fleet.bytes.range(first..).map(|(_, bytes)| *bytes).max().unwrap()
}

/// From a cold start to all serving; a configuration, a much larger one and a list of hosts reach all in time, in few
/// bytes; and no change costs next to nothing.
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
    // All are known to all, once the control nodes that have just started may list them.
    assert!(fleet.data_nodes.values().all(|data_node| data_node.view.data_nodes().len() == 100));
    fleet.bytes.clear();
    fleet.run(5.0);
    let (data_node, control_node) = (max_bytes(&fleet, FIRST_DATA_NODE) / 5, max_bytes(&fleet, 1) / 5);
    assert!(
        data_node < 1200 && control_node < 40_000,
        "{data_node} and {control_node} bytes a second without changes"
    );
    // Hosts come and go one by one: all receive it, in bytes for what changed.
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
    // Three hundred routes more: in force everywhere within a second, for less than the text packed by itself at each.
    fleet.bytes.clear();
    let packed = fleet.propose_configuration(1, 2, 340);
    fleet.run(1.0);
    assert_eq!((fleet.count_with_version(2), fleet.count_confirmed()), (100, 100));
    let bytes = max_bytes(&fleet, FIRST_DATA_NODE);
    assert!(bytes < packed + 3000, "{bytes} bytes, {packed} packed");
    // One route more costs what it changes, many in quick succession what they change together.
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

/// Guards against a stampede: the sessions of a control node that is lost go to the others evenly, and those of its zone
/// return once it is back; the configuration stays confirmed everywhere.
#[test]
fn sessions_of_a_lost_control_node_spread_evenly_and_return_to_their_zone() {
    let mut fleet = SimulatedFleet::new(100);
    fleet.run(2.0);
    fleet.propose_configuration(4, 1, 40);
    fleet.run(3.0);
    let counts = fleet.session_counts();
    assert!(counts.len() == 6 && counts.values().all(|n| (16..=17).contains(n)), "{counts:?}");
    fleet.control_nodes.remove(&6);
    for _ in 0..60 {
        fleet.run(0.1);
        assert_eq!(fleet.count_confirmed(), 100);
    }
    let counts = fleet.session_counts();
    assert!(counts.values().sum::<usize>() == 100 && counts.values().all(|n| *n <= 28), "{counts:?}");
    fleet.start_control_node(6);
    fleet.run(14.0);
    let counts = fleet.session_counts();
    assert!(counts.get(&6).is_some_and(|n| *n >= 16), "{counts:?}");
    assert_eq!(fleet.count_confirmed(), 100);
}
