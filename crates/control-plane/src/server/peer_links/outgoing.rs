//! Outgoing links, one to each known control node. A link reconnects for as long as its peer is known.

use super::MAX_QUEUED_MESSAGES;
use crate::read_settings;
use crate::server::node::Node;
use crate::server::seeds::seed_nodes;
use archlink_messages::{Message, MessageCodec, NodeId};
use archlink_runtime::split_connection;
use futures_util::StreamExt;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio_util::codec::Framed;

/// Pause between two connection attempts to a control node, and between two checks for new control nodes.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(250);
/// Pause between two reads of the seeds in the settings file while there is no quorum contact.
const SEED_RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// The control nodes in the registry, and the seeds.
fn known_peers(node: &Node) -> Vec<NodeId> {
    let mut known: Vec<NodeId> = node.with_state(|state, _| {
        state.event_log.registry.control_nodes().iter().map(|control_node| control_node.node).collect()
    });
    known.extend(node.seeds.borrow().iter());
    known
}

/// Maintains a link to each known peer.
pub async fn maintain(node: Rc<Node>) {
    loop {
        for peer in known_peers(&node) {
            if peer != node.id && !node.links.borrow().contains_key(&peer) {
                let (sender, messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
                node.links.borrow_mut().insert(peer, sender);
                spawn_local(run_link(node.clone(), peer, messages));
            }
        }
        sleep(RECONNECT_INTERVAL).await;
    }
}

/// Reloads the seeds from the settings file while there is no quorum contact, because all nodes that this one knew may have
/// been replaced while it was partitioned.
pub async fn reload_seeds(node: Rc<Node>) {
    loop {
        sleep(SEED_RELOAD_INTERVAL).await;
        if node.has_contact() {
            continue;
        }
        match read_settings() {
            Ok(settings) => {
                node.seeds.replace(seed_nodes(&settings));
            }
            Err(e) => log::warn!(error:% = archlink_runtime::report_line(&e); "seeds not reloaded"),
        }
    }
}

/// Runs the link to one peer, and reconnects it for as long as the peer is known.
async fn run_link(node: Rc<Node>, peer: NodeId, mut messages: mpsc::Receiver<Message>) {
    let address = archlink_runtime::node_address(peer, node.settings.internal_port);
    while known_peers(&node).contains(&peer) {
        if let Ok(framed) = archlink_runtime::connect(address).await
            && forward(&node, framed, &mut messages).await == CloseReason::QueueClosed
        {
            return;
        }
        sleep(RECONNECT_INTERVAL).await;
    }
    node.links.borrow_mut().remove(&peer);
}

/// Why a connection of a link was closed.
#[derive(PartialEq, Eq)]
enum CloseReason {
    /// The peer closed the connection, or it failed.
    Disconnected,
    /// The queue of messages was closed, because the node was dropped.
    QueueClosed,
}

/// Sends queued messages on one connection until it closes or the queue does.
async fn forward(
    node: &Node,
    framed: Framed<TcpStream, MessageCodec>,
    messages: &mut mpsc::Receiver<Message>,
) -> CloseReason {
    let (sender, mut source) = split_connection(framed, MAX_QUEUED_MESSAGES);
    // Messages that were queued while the link was down are outdated.
    while messages.try_recv().is_ok() {}
    let hello = node.with_state(|state, _| state.peer_hello());
    let mut open = sender.try_send(hello).is_ok();
    while open {
        tokio::select! {
            message = messages.recv() => match message {
                Some(message) => open = sender.send(message).await.is_ok(),
                None => return CloseReason::QueueClosed,
            },
            // The peer never sends on this connection, so anything that arrives, its end included, closes it.
            _ = source.next() => open = false,
            _ = sender.closed() => open = false,
        }
    }
    CloseReason::Disconnected
}
