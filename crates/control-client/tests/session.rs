//! Unit tests of the session: the order in which control nodes are tried, and the log line for the end of a session.

use archlink_control_client::fleet_view::{Event, FleetView};
use archlink_control_client::session::{EndReason, LocalNode, Session, SessionAction, SessionEnded};
use archlink_messages::{ControlNode, NodeId, StateUpdate};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

fn local_node(node: NodeId, seeds: Vec<NodeId>) -> LocalNode {
    LocalNode { node, zone: "z".into(), region: "r".into(), seeds }
}

/// Guards against a data node that tries a partitioned control node over and over. When all had failed recently, the
/// nearest came first; a partitioned one lists only itself, so it is the only one whose zone is known.
#[test]
fn control_nodes_that_all_failed_recently_are_tried_in_turn() {
    let mut view = FleetView::new(4.0);
    let operator_address = SocketAddrV4::new(2.into(), 80);
    let control_node = ControlNode { node: 2, zone: "z".into(), region: "r".into(), operator_address };
    view.apply(0.0, Event::Update(StateUpdate::ControlNodes(vec![control_node])));
    let mut session = Session::new(local_node(9, vec![1, 2, 3, 4]), 4.0);
    let mut tried = Vec::new();
    for n in 0..60 {
        let now = f64::from(n) * 0.05;
        let data_node = || unreachable!("no control node answers");
        if let Some(SessionAction::Connect(node)) = session.tick(now, &view, data_node).pop() {
            tried.push(node);
            session.connected(now, node, Err("refused".into()));
        }
    }
    assert!(tried.len() > 12 && tried[0] == 2, "{tried:?}");
    assert!(tried.windows(4).all(|four| (1..=4).all(|node| four.contains(&node))), "{tried:?}");
}

/// After all control nodes that a data node knew were replaced while it was partitioned, it tries the seeds from the
/// reloaded settings file.
#[test]
fn reloaded_seeds_are_tried() {
    let (mut session, view) = (Session::new(local_node(100, vec![1]), 3.0), FleetView::new(3.0));
    let mut tried = BTreeSet::new();
    for n in 0..20 {
        let now = 0.5 * f64::from(n);
        if n == 10 {
            assert_eq!(tried, [1].into());
            session.set_seeds(vec![2, 3]);
        }
        for action in session.tick(now, &view, || unreachable!("no session")) {
            if let SessionAction::Connect(node) = action {
                tried.insert(node);
                session.connected(now, node, Err("connection refused".into()));
            }
        }
    }
    assert_eq!(tried, [1, 2, 3].into());
}

/// The on-call page lists these log lines.
#[test]
fn log_line_of_an_ended_session_names_the_control_node_and_the_reason() {
    let peer = u32::from(std::net::Ipv4Addr::new(10, 0, 0, 7));
    for (reason, text) in [
        (EndReason::AnswerTimeout, "session with 10.0.0.7 ended: no answer in time"),
        (EndReason::NoQuorum, "session with 10.0.0.7 ended: no quorum answers it"),
        (EndReason::Connection("timed out".into()), "session with 10.0.0.7 ended: timed out"),
    ] {
        assert_eq!(SessionEnded { peer, reason }.to_string(), text);
    }
}
