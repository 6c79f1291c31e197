//! The driver of this node's session with a control node: the sockets and timers for
//! [`archlink_control_client::session::Session`], which decides when to connect, to send heartbeats, to request updates
//! and to change to another control node.

use crate::data_plane::DataPlane;
use crate::session_connections::{ConnectionEvent, SessionConnections};
use archlink_config::Settings;
use archlink_control_client::session::{LocalNode, Session, SessionAction};
use archlink_messages::NodeId;
use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// After this long without a session, the seeds in the settings file are read again: all control nodes that this node knew
/// may have been replaced while it was partitioned from them.
const SEED_RELOAD_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of messages queued for sending on one connection. If the queue is full, the connection is closed.
pub const MAX_QUEUED_MESSAGES: usize = 256;
/// Latest wake-up that is passed to the runtime's timer, in seconds on the process clock.
const MAX_WAKE_AT: f64 = 1e6;

/// The control nodes that the settings name.
fn seed_nodes(settings: &Settings) -> Vec<NodeId> {
    settings.seeds.iter().map(|seed| archlink_runtime::node_id(*seed.ip())).collect()
}

/// The control nodes that the settings file names now; `None` if the file can't be read or is invalid.
fn reload_seed_nodes() -> Option<Vec<NodeId>> {
    let text = archlink_runtime::settings_text().ok()?;
    Settings::read(&text).ok().map(|settings| seed_nodes(&settings))
}

/// Maintains a session for the lifetime of the process.
pub async fn run(data_plane: Rc<DataPlane>) {
    let mut disconnected_since = Instant::now();
    let confirmation_lifetime = data_plane.fleet_view.borrow().confirmation_lifetime();
    let mut session = Session::new(local_node(&data_plane.settings), confirmation_lifetime);
    let mut connections = SessionConnections::default();
    loop {
        if session.peer().is_some() {
            disconnected_since = Instant::now();
        } else if disconnected_since.elapsed() > SEED_RELOAD_INTERVAL {
            disconnected_since = Instant::now();
            reload_seed_nodes().into_iter().for_each(|seeds| session.set_seeds(seeds));
        }
        let now = data_plane.clock.now();
        let actions = session.tick(now, &data_plane.fleet_view.borrow(), || data_plane.data_node());
        perform_actions(&data_plane, &mut session, &mut connections, actions);
        let wake_at = data_plane.clock.instant_at(session.wake_at().min(MAX_WAKE_AT));
        let (peer, event) = tokio::select! {
            event = connections.next_event() => event,
            _ = sleep_until(wake_at) => continue,
            _ = data_plane.state_changed.notified() => {
                session.heartbeat_soon(data_plane.clock.now());
                continue;
            }
        };
        let actions = handle_event(&data_plane, &mut session, peer, event);
        perform_actions(&data_plane, &mut session, &mut connections, actions);
    }
}

fn local_node(settings: &Settings) -> LocalNode {
    LocalNode {
        node: archlink_runtime::node_id(settings.ip),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        seeds: seed_nodes(settings),
    }
}

/// Processes what happened on the connection to `peer`, and applies the changes of the fleet view.
fn handle_event(
    data_plane: &DataPlane,
    session: &mut Session,
    peer: NodeId,
    event: ConnectionEvent,
) -> Vec<SessionAction> {
    let now = data_plane.clock.now();
    match event {
        ConnectionEvent::Connected(result) => {
            session.connected(now, peer, result.map_err(|error| error.to_string()))
        }
        ConnectionEvent::Received(message) => {
            let (actions, changes) =
                session.step(now, peer, *message, &mut data_plane.fleet_view.borrow_mut());
            data_plane.apply_view_changes(changes);
            actions
        }
        ConnectionEvent::Lost(Some(error)) => session.connection_lost(now, peer, &error.to_string()),
        ConnectionEvent::Lost(None) => session.connection_lost(now, peer, "closed by the control node"),
    }
}

/// Performs the session's actions in their order, and then those that result from them.
fn perform_actions(
    data_plane: &DataPlane,
    session: &mut Session,
    connections: &mut SessionConnections,
    actions: Vec<SessionAction>,
) {
    let mut actions = VecDeque::from(actions);
    while let Some(action) = actions.pop_front() {
        match action {
            SessionAction::Connect(node) => connections.connect(node, data_plane.settings.internal_port),
            SessionAction::Disconnect(node) => connections.disconnect(node),
            SessionAction::Send(node, message) => {
                if connections.send(node, message).is_err() {
                    let now = data_plane.clock.now();
                    actions.extend(session.connection_lost(now, node, "the control node does not read"));
                }
            }
            SessionAction::Warn(ended) => {
                let peer = Ipv4Addr::from(ended.peer);
                log::warn!(peer:% = peer, reason:% = ended.reason; "control session ended");
            }
        }
    }
}
