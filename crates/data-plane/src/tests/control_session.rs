//! The session with a control node together with the fleet view: the effect of stale messages.

use archlink_control_client::fleet_view::FleetView;
use archlink_control_client::session::{LocalNode, Session, SessionAction};
use archlink_messages::{
    AcceptedValue, DataNode, Heartbeat, HostList, LeaseGrant, Message, Register, SingletonRole, StateUpdate,
    VersionVector, patch,
};
use std::net::{Ipv4Addr, SocketAddrV4};

const LEASE: f64 = 3.0;

fn data_node() -> DataNode {
    let client_address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1);
    DataNode { node: 1, zone: "z".into(), region: "r".into(), client_address, ready: true }
}

/// Returns the serial of the heartbeat that the session sends at `now`.
fn heartbeat_serial(session: &mut Session, fleet_view: &FleetView, now: f64) -> u64 {
    let actions = session.tick(now, fleet_view, data_node);
    let serial = actions.iter().find_map(|action| match action {
        SessionAction::Send(_, Message::SessionHeartbeat { serial, .. }) => Some(*serial),
        _ => None,
    });
    serial.unwrap_or_else(|| panic!("no heartbeat at {now}: {actions:?}"))
}

fn connect(session: &mut Session, fleet_view: &FleetView, now: f64) {
    assert!(matches!(session.tick(now, fleet_view, data_node)[..], [SessionAction::Connect(2)]));
    session.connected(now, 2, Ok(()));
}

/// The messages of a control node when everything is at version `n`.
fn messages_at(n: u64, serial: u64) -> [Message; 2] {
    let lease = LeaseGrant { role: SingletonRole::QuotaCounter, holder: 10 + n as u32, term: n };
    let versions =
        VersionVector { configuration: n, evacuations: n, hosts: (1, n), ..VersionVector::default() };
    let heartbeat = Heartbeat {
        serial,
        cluster_clock: n as f64,
        confirmed_age: Some(0.0),
        versions,
        leases: vec![lease],
        voter_set: Default::default(),
        recovered: true,
        suspected: vec![],
    };
    let configuration = format!(
        r#"{{"ConfigVersion": "{n:08x}", "RouteTable": {{"ColumnNames": [], "Records": []}},
            "ServiceTable": {{"ColumnNames": [], "Records": []}}}}"#
    );
    let compressed = patch::compress(configuration.as_bytes(), b"").unwrap().into();
    let value = format!("zone-{n}").into();
    let updates = vec![
        StateUpdate::ConfigurationPatch { ordering_key: n, base: 0, patch: compressed },
        StateUpdate::Chosen(
            Register::Evacuations,
            AcceptedValue { revision: n, value, ..AcceptedValue::default() },
        ),
        StateUpdate::HostList(HostList { term: 1, version: n, instances: Vec::new() }),
    ];
    [Message::StateUpdates(updates), Message::Heartbeat(heartbeat)]
}

fn state(fleet_view: &FleetView, now: f64) -> String {
    let version = fleet_view.configuration().map(|configuration| configuration.version);
    format!(
        "{version:?} {:?} {:?} {}",
        fleet_view.versions(),
        fleet_view.counter_holder(),
        fleet_view.cluster_clock(now)
    )
}

/// Stale heartbeats and updates arrive again, duplicated and reordered, in the same session or in the next one. A heartbeat
/// confirms the configuration only once, and only in the session whose heartbeat has its serial.
#[test]
fn stale_messages_neither_revert_the_fleet_view_nor_confirm_it() {
    let local_node = LocalNode { node: 1, zone: "z".into(), region: "r".into(), seeds: vec![2] };
    let (mut session, mut fleet_view) = (Session::new(local_node, LEASE), FleetView::new(LEASE));
    connect(&mut session, &fleet_view, 0.0);
    let mut messages = Vec::new();
    for (n, at) in [(1, 0.0), (2, 0.5), (3, 1.0)] {
        let serial = heartbeat_serial(&mut session, &fleet_view, at);
        messages.extend(messages_at(n, serial));
        for message in messages_at(n, serial) {
            session.step(at, 2, message, &mut fleet_view);
        }
    }
    let (before_expiry, before) = (1.0 + LEASE - 0.1, state(&fleet_view, 1.0));
    assert!(fleet_view.is_confirmed(before_expiry) && !fleet_view.is_confirmed(1.0 + LEASE));
    for round in 0..2 {
        let now = 1.2 + 0.4 * f64::from(round);
        if round == 1 {
            session.connection_lost(now, 2, "reset");
            connect(&mut session, &fleet_view, now + 0.2);
            heartbeat_serial(&mut session, &fleet_view, now + 0.2);
        }
        // Rotates and reverses, so that each message comes both before and after each other one.
        for rotation in 0..messages.len() {
            messages.rotate_left(1);
            messages.reverse();
            for message in &messages {
                session.step(now + 0.2 + 0.01 * rotation as f64, 2, message.clone(), &mut fleet_view);
                assert_eq!(state(&fleet_view, 1.0), before, "round {round}, {message:?}");
            }
        }
        assert!(!fleet_view.is_confirmed(1.0 + LEASE), "round {round}");
    }
}
