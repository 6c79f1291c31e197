//! The driver of this node's session with a control node: the sockets and timers for
//! [`archlink_control_client::session::Session`], which decides when to connect, to send heartbeats, to request updates
//! and to change to another control node.

use crate::data_plane::DataPlane;
use archlink_config::Settings;
use archlink_control_client::session::{LocalNode, Session, SessionAction};
use archlink_messages::{Message, NodeId};
use archlink_runtime::{MessageSender, split_connection};
use futures_util::{Stream, StreamExt};
use std::collections::VecDeque;
use std::io;
use std::net::Ipv4Addr;
use std::pin::Pin;
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

/// The messages received from a peer.
pub type MessageStream = Pin<Box<dyn Stream<Item = io::Result<Message>>>>;

/// The connection of a session.
struct SessionConnection {
    sender: MessageSender,
    messages: MessageStream,
}

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
    let mut session = Session::new(local_node(&data_plane.settings));
    let mut connection: Option<SessionConnection> = None;
    loop {
        if session.peer().is_some() {
            disconnected_since = Instant::now();
        } else if disconnected_since.elapsed() > SEED_RELOAD_INTERVAL {
            disconnected_since = Instant::now();
            reload_seed_nodes().into_iter().for_each(|seeds| session.set_seeds(seeds));
        }
        let now = data_plane.clock.now();
        let actions = session.tick(now, &data_plane.fleet_view.borrow(), || data_plane.data_node());
        perform_actions(&data_plane, &mut session, &mut connection, actions).await;
        let wake_at = data_plane.clock.instant_at(session.wake_at().min(MAX_WAKE_AT));
        let received = tokio::select! {
            received = next_message(&mut connection) => received,
            _ = sleep_until(wake_at) => continue,
            _ = data_plane.state_changed.notified() => {
                session.heartbeat_soon(data_plane.clock.now());
                continue;
            }
        };
        let actions = handle_received(&data_plane, &mut session, received);
        perform_actions(&data_plane, &mut session, &mut connection, actions).await;
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

/// Receives the next message or the end of the connection; pending while there is no connection.
async fn next_message(connection: &mut Option<SessionConnection>) -> Option<io::Result<Message>> {
    match connection {
        Some(connection) => connection.messages.next().await,
        None => std::future::pending().await,
    }
}

/// Processes a message or the end of the connection, and applies the changes of the fleet view.
fn handle_received(
    data_plane: &DataPlane,
    session: &mut Session,
    received: Option<io::Result<Message>>,
) -> Vec<SessionAction> {
    let now = data_plane.clock.now();
    match received {
        Some(Ok(message)) => {
            let (actions, changes) = session.step(now, message, &mut data_plane.fleet_view.borrow_mut());
            data_plane.apply_view_changes(changes);
            actions
        }
        Some(Err(e)) => session.connection_lost(now, &e.to_string()),
        None => session.connection_lost(now, "closed by the control node"),
    }
}

/// Performs the session's actions in their order, and then those that result from them.
async fn perform_actions(
    data_plane: &DataPlane,
    session: &mut Session,
    connection: &mut Option<SessionConnection>,
    actions: Vec<SessionAction>,
) {
    let mut actions = VecDeque::from(actions);
    while let Some(action) = actions.pop_front() {
        match action {
            SessionAction::Connect(node) => {
                let address = archlink_runtime::node_address(node, data_plane.settings.internal_port);
                let connected = archlink_runtime::connect(address).await.map(|framed| {
                    let (sender, messages) = split_connection(framed, MAX_QUEUED_MESSAGES);
                    *connection = Some(SessionConnection { sender, messages: Box::pin(messages) });
                });
                let connected = connected.map_err(|e| e.to_string());
                actions.extend(session.connected(data_plane.clock.now(), connected));
            }
            SessionAction::Disconnect => *connection = None,
            SessionAction::Send(message) => {
                if connection.as_ref().is_some_and(|open| open.sender.try_send(message).is_err()) {
                    actions.extend(
                        session.connection_lost(data_plane.clock.now(), "the control node does not read"),
                    );
                }
            }
            SessionAction::Warn(ended) => {
                let peer = Ipv4Addr::from(ended.peer);
                log::warn!(peer:% = peer, reason:% = ended.reason; "control session ended");
            }
        }
    }
}
