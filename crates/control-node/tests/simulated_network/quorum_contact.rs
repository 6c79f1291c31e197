//! What a control node reports without recent quorum contact, and as of which time its state is confirmed:
//! under reads at any rate, slow disks, partitions and restarts.

use crate::network::SimulatedNetwork;
use archlink_control_node::event_log::Event;
use archlink_messages::{
    AcceptedValue, DataNode, Heartbeat, HostList, Message, NodeId, ProposalNumber, Register, StateUpdate,
    VersionVector, VoterSet,
};
use std::net::SocketAddrV4;

/// Seconds between two quorum reads.
const READ_INTERVAL: f64 = 0.4;
/// Seconds between two session heartbeats of a data node.
const SESSION_HEARTBEAT_INTERVAL: f64 = 0.4;

/// Regression: each read began a new quorum read and discarded the replies to the previous one, so that with
/// a read every few milliseconds nothing was ever confirmed, and every lease expired.
#[test]
fn a_thousand_reads_a_second_share_one_quorum_read_a_round_trip() {
    /// The longest round trip in seconds; the shortest is half of that.
    const ROUND_TRIP: f64 = 0.024;
    let mut network = SimulatedNetwork::new(1, 3, 3);
    network.run(1.0);
    network.propose_configuration(2, 1, 7, 1);
    network.run(1.0);
    let before = (network.read_requests, network.read_bytes);
    network.run(2.0);
    let idle = (network.read_requests - before.0, network.read_bytes - before.1);
    let before = (network.read_requests, network.read_bytes);
    let mut pending: Vec<f64> = Vec::new();
    let mut slowest: f64 = 0.0;
    let end = network.now + 2.0;
    while network.now < end {
        for _ in 0..2 {
            network.step(1, |control_node, now| control_node.proposer.request_confirmation(now));
            pending.push(network.now);
        }
        network.advance();
        let age = network.confirmed_age(1, Register::Configuration);
        let confirmed = network.now - age;
        let done = pending.iter().filter(|requested_at| **requested_at <= confirmed);
        done.for_each(|requested_at| slowest = slowest.max(network.now - requested_at));
        pending.retain(|requested_at| *requested_at > confirmed);
        assert!(age < 3.0 * ROUND_TRIP || network.now < end - 1.9, "{age}");
    }
    let busy = (network.read_requests - before.0, network.read_bytes - before.1);
    println!("requests and bytes in 2 s: idle {idle:?}, reading {busy:?}; slowest read {slowest:.3} s");
    assert!(slowest < 2.5 * ROUND_TRIP, "{slowest}");
    // Each quorum read sends a request to two other nodes.
    assert!(busy.0 < idle.0 + 2 * (2.0 / (0.5 * ROUND_TRIP)) as usize, "{} requests", busy.0);
}

/// Regression: nothing was ever confirmed if replies took longer than the interval between quorum reads, as
/// they do with disks that are always in a slow sync.
#[test]
fn slow_disks_delay_confirmation_and_do_not_end_it() {
    for sync in [0.5, 0.9, 1.5] {
        let mut network = SimulatedNetwork::new(4, 3, 3);
        network.run(1.0);
        (network.sync_seconds, network.disks_always_sync) = (sync, true);
        network.run(2.0 * sync);
        let mut oldest: f64 = 0.0;
        for step in 0..4000 {
            // In the second half, reads are requested in every step, which must make no difference.
            if step > 2000 {
                network.step(1, |control_node, now| control_node.proposer.request_confirmation(now));
            }
            network.advance();
            oldest = oldest.max(network.confirmed_age(1, Register::Configuration));
        }
        println!("a sync of {sync} s: confirmed at most {oldest:.2} s ago");
        assert!(oldest < READ_INTERVAL + 2.0 * 1.2 * sync + 0.1, "{oldest} with {sync}");
    }
}

/// Starts six control nodes with quorum contact, a configuration, an evacuation, and two data nodes in
/// session with each.
fn six_nodes(seed: u64) -> SimulatedNetwork {
    let mut network = SimulatedNetwork::new(seed, 3, 6);
    network.step_seconds = 0.01;
    run_with_sessions(&mut network, 1.0, 0, |_| {});
    network.propose_configuration(2, 1, 7, 1);
    network.propose_evacuation(3, 2, true);
    run_with_sessions(&mut network, 6.0, 0, |_| {});
    assert_eq!(network.revision(6, Register::Configuration), 8);
    network
}

/// Runs while data nodes send session heartbeats to their control nodes, with `extra` more data nodes at node
/// 6. Calls `check` after each step.
fn run_with_sessions(
    network: &mut SimulatedNetwork,
    seconds: f64,
    extra: NodeId,
    mut check: impl FnMut(&SimulatedNetwork),
) {
    let end = network.now + seconds;
    let mut heartbeat_at = network.now;
    while network.now < end {
        if network.now >= heartbeat_at {
            renew_sessions(network, extra);
            heartbeat_at = network.now + SESSION_HEARTBEAT_INTERVAL;
        }
        network.advance();
        check(network);
    }
}

fn renew_sessions(network: &mut SimulatedNetwork, extra: NodeId) {
    for node in 1..=6 {
        if !network.is_responsive(node) {
            continue;
        }
        for index in 0..2 + if node == 6 { extra } else { 0 } {
            let renewed = Event::SessionRenewed(data_node(node, index));
            network.step(node, |control_node, now| control_node.record_event(now, renewed));
        }
    }
}

fn data_node(control_node: NodeId, index: NodeId) -> DataNode {
    let node = 100 * control_node + index;
    DataNode {
        node,
        zone: format!("z{control_node}"),
        region: "r".to_string(),
        client_address: SocketAddrV4::new(node.into(), 80),
        ready: true,
    }
}

fn heartbeat(network: &SimulatedNetwork, node: NodeId) -> Heartbeat {
    match network.nodes[&node].heartbeat(network.now, 0) {
        Message::Heartbeat(heartbeat) => heartbeat,
        _ => panic!("not a heartbeat"),
    }
}

/// A node that is partitioned in one or both directions, for any time and repeatedly, reports no confirmation
/// as of a time within the partition, and its versions of registers and leases are never beyond the current
/// ones. Afterwards its registers and host list are the current ones.
#[test]
fn a_partitioned_node_reports_no_confirmation_from_within_the_partition() {
    let directions = [(true, true), (true, false), (false, true)];
    for (seed, (outgoing, incoming)) in directions.into_iter().enumerate() {
        for seconds in [1.0, 5.0, 60.0] {
            let mut network = six_nodes(seed as u64);
            let mut term = 10;
            for _ in 0..3 {
                network.partition(6, outgoing, incoming);
                term += 1;
                run_partitioned(&mut network, seconds, term);
                network.partitioned.clear();
                run_with_sessions(&mut network, 1.5, 0, |_| {});
                check_rejoined(&network, term);
            }
        }
    }
}

/// Continues the partition of node 6 while state changes on both sides: each side considers itself the holder
/// of host discovery, node 6 in `term` and node 1 in the next term.
fn run_partitioned(network: &mut SimulatedNetwork, seconds: f64, term: u64) {
    // Replies that were in flight when the partition began may still arrive.
    run_with_sessions(network, 0.1, 0, |_| {});
    let partitioned_at = network.now;
    let token = 10 + (network.now * 100.0) as u64;
    network.propose_evacuation(1, token, network.now % 2.0 < 1.0);
    let host_list = |term, version| HostList { term, version, instances: Vec::new() };
    network.step(6, |control_node, now| control_node.set_host_list(now, host_list(term, 9)));
    network.step(1, |control_node, now| control_node.set_host_list(now, host_list(term + 1, 1)));
    run_with_sessions(network, seconds, 0, |network| {
        let (partitioned, connected) = (heartbeat(network, 6), heartbeat(network, 1));
        let age = partitioned.confirmed_age.expect("confirmed before");
        assert!(age >= network.now - partitioned_at, "confirmed {age} s ago");
        assert!(partitioned.versions.configuration <= connected.versions.configuration);
        assert!(partitioned.versions.evacuations <= connected.versions.evacuations);
        for grant in &partitioned.leases {
            let known = (1..6).flat_map(|node| heartbeat(network, node).leases);
            let newest = known.filter(|known| known.role == grant.role).map(|known| known.term).max();
            assert!(newest.is_none_or(|term| term >= grant.term), "{grant:?}, not {newest:?}");
        }
    });
}

fn check_rejoined(network: &SimulatedNetwork, term: u64) {
    let (rejoined, connected) = (heartbeat(network, 6), heartbeat(network, 1));
    assert!(rejoined.confirmed_age.is_some_and(|age| age < 1.0));
    assert_eq!(
        (rejoined.versions.evacuations, rejoined.versions.hosts),
        (connected.versions.evacuations, (term + 1, 1))
    );
}

/// The state on a node's own disk is that of one acceptor only. After a start the node gives out none of it,
/// even if no quorum replies for a long time. State from a peer without quorum contact is passed on, but not
/// as confirmed.
#[test]
fn a_node_started_without_a_quorum_gives_out_nothing_from_its_disk() {
    let mut network = six_nodes(1);
    (1..=2).for_each(|node| network.partition(node, true, true));
    // Of the voters 1, 2 and 3, only node 1 is heard by node 2, which is no quorum.
    network.kill(3);
    network.kill(1);
    network.partitioned.remove(&(2, 1));
    network.partitioned.remove(&(1, 2));
    network.partitioned.insert((2, 1));
    network.start(1);
    run_with_sessions(&mut network, 8.0, 0, |network| {
        assert_eq!(heartbeat(network, 1).confirmed_age, None);
        let updates = network.nodes[&1].updates_for(network.now, &VersionVector::default(), false);
        let given_out = updates
            .iter()
            .any(|update| matches!(update, StateUpdate::Chosen(..) | StateUpdate::DataNodes(_)));
        assert!(!given_out, "{updates:?}");
    });
    // Node 1 now receives the values from node 2, which had learned them and may be outdated by now.
    let updates = network.nodes[&2].updates_for(network.now, &VersionVector::default(), true);
    assert!(updates.iter().any(is_configuration));
    network.step(1, |control_node, now| control_node.apply_updates(now, updates));
    assert_eq!(
        (network.revision(1, Register::Configuration), heartbeat(&network, 1).confirmed_age),
        (8, None)
    );
}

fn is_configuration(update: &StateUpdate) -> bool {
    matches!(update, StateUpdate::Chosen(Register::Configuration, _))
}

/// Regression: a node reported the configuration as confirmed before it knew which zones were evacuated.
#[test]
fn a_started_node_confirms_nothing_before_it_knows_all_registers() {
    for seed in 0..40 {
        let mut network = six_nodes(seed);
        let current = heartbeat(&network, 1).versions;
        network.kill(6);
        network.start(6);
        network.loss_rate = 0.6;
        run_with_sessions(&mut network, 2.0, 0, |network| {
            let started = heartbeat(network, 6);
            let knows_all = started.versions.configuration == current.configuration
                && started.versions.evacuations == current.evacuations;
            assert!(knows_all || started.confirmed_age.is_none(), "seed {seed}: {:?}", started.versions);
        });
    }
}

/// Returns whether a node reports the data nodes to data nodes.
fn reports_data_nodes(network: &SimulatedNetwork, node: NodeId) -> bool {
    network.nodes[&node].versions(network.now).data_nodes != 0
}

fn data_node_count(network: &SimulatedNetwork, node: NodeId) -> usize {
    network.nodes[&node].event_log.registry.possibly_active().len()
}

/// Returns a check that each node that reports data nodes reports at least `count` of them.
fn reports_at_least(count: usize) -> impl Fn(&SimulatedNetwork) {
    move |network| {
        for &node in network.nodes.keys().filter(|node| reports_data_nodes(network, **node)) {
            let reported = network.nodes[&node].event_log.registry.possibly_active();
            assert!(
                reported.len() >= count,
                "{node} reports {} at {} {reported:?}",
                reported.len(),
                network.now
            );
        }
    }
}

/// Regression: after a partition, local shares were too large. A node that had been partitioned from one
/// other node, for longer than lost data nodes are counted, reported too few data nodes.
#[test]
fn nodes_partitioned_from_one_another_report_all_data_nodes() {
    let mut network = six_nodes(1);
    network.partitioned.extend([(1, 6), (6, 1)]);
    run_with_sessions(&mut network, 100.0, 0, reports_at_least(12));
    // Node 1 learns of new data nodes at node 6 through the other nodes.
    run_with_sessions(&mut network, 1.5, 3, reports_at_least(12));
    run_with_sessions(&mut network, 5.0, 3, reports_at_least(15));
    assert!(reports_data_nodes(&network, 1), "1 is in quorum contact");
    // If half of the control nodes are lost, those with a quorum of the voters still report.
    (4..=6).for_each(|node| network.kill(node));
    run_with_sessions(&mut network, 5.0, 0, reports_at_least(15));
    assert!(reports_data_nodes(&network, 1));
}

/// Regression: a node that had been partitioned from all others for longer than lost data nodes are counted,
/// or that had restarted in the partition, reported too few data nodes afterwards.
#[test]
fn a_node_partitioned_from_all_reports_no_data_nodes_until_it_knows_all() {
    for restarted in [false, true] {
        let mut network = six_nodes(2);
        network.partition(6, true, true);
        run_with_sessions(&mut network, 20.0, 0, reports_at_least(12));
        if restarted {
            network.kill(6);
            network.start(6);
        }
        run_with_sessions(&mut network, 40.0, 0, reports_at_least(12));
        assert!(!reports_data_nodes(&network, 6), "it reports while it is partitioned");
        network.partitioned.clear();
        for node in 1..6 {
            reconnect(&mut network, node, 6);
        }
        run_with_sessions(&mut network, 5.0, 0, reports_at_least(12));
        for node in 1..=6 {
            assert_eq!(data_node_count(&network, node), 12, "{node}");
            assert!(reports_data_nodes(&network, node), "{node}");
        }
    }
}

/// Opens a new connection between two nodes: each receives the other's hello.
fn reconnect(network: &mut SimulatedNetwork, node: NodeId, peer: NodeId) {
    for (from, to) in [(node, peer), (peer, node)] {
        let hello = network.nodes[&from].peer_hello();
        network.step(to, |control_node, now| control_node.step(now, from, hello));
    }
}

/// Regression: after an operator had forced a new generation, no node accepted a configuration whose version
/// was lower than the lost one, or the same with another text.
#[test]
fn a_value_of_a_new_generation_follows_all_earlier_ones() {
    let value = |generation: u64, round, revision, text: &'static str| {
        let voter_set = VoterSet { epoch: generation << 32, ..VoterSet::default() };
        let round = voter_set.first_round() + round;
        AcceptedValue {
            proposal: ProposalNumber { round, node: 9, nonce: 0 },
            revision,
            value: text.into(),
            ..AcceptedValue::default()
        }
    };
    let mut network = SimulatedNetwork::new(1, 3, 3);
    network.run(0.5);
    let learn = |network: &mut SimulatedNetwork, value: AcceptedValue| {
        let mut learned = false;
        network.step(1, |control_node, now| {
            let update = StateUpdate::Chosen(Register::Configuration, value);
            let effects = control_node.apply_updates(now, vec![update]);
            learned = !effects.is_empty();
            effects
        });
        learned
    };
    assert!(learn(&mut network, value(0, 900, 9, "lost")));
    let before = network.nodes[&1].versions(network.now);
    for (round, revision, text, is_newer) in
        [(1, 8, "older", true), (2, 9, "another", true), (3, 9, "another", false)]
    {
        assert_eq!(learn(&mut network, value(1, round, revision, text)), is_newer, "{text}");
        let committed = network.nodes[&1].proposer.committed(Register::Configuration).expect("a value");
        assert_eq!((committed.revision, committed.value.as_ref()), (revision, text.as_bytes()));
        assert!(network.nodes[&1].versions(network.now).configuration > before.configuration);
    }
    let updates = network.nodes[&1].updates_for(network.now, &before, false);
    assert!(updates.iter().any(is_configuration));
    let current = network.nodes[&1].versions(network.now);
    let updates = network.nodes[&1].updates_for(network.now, &current, false);
    assert!(!updates.iter().any(|update| matches!(update, StateUpdate::Chosen(..))), "sent twice");
}
