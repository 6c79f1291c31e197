//! One outgoing link to each known control node, reconnected for as long as the node is known.

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

/// Pause between two connection attempts to a control node that isn't reached, and between two looks for new ones.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(250);
/// Pause between two reads of the seeds in the settings file while no quorum answers.
const SEED_RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// The control nodes of the registry, and the seeds.
fn known_peers(node: &Node) -> Vec<NodeId> {
    let mut known: Vec<NodeId> = node.with_state(|state, _| {
        state.event_log.registry.control_nodes().iter().map(|control_node| control_node.node).collect()
    });
    known.extend(node.seeds.borrow().iter());
    known
}

/// Keeps a link to each known peer.
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

/// Reads the seeds in the settings file again while no quorum answers: all nodes that this one knew may have been replaced
/// while it was partitioned.
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

/// The link to one peer, reconnected for as long as the peer is known.
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

/// Why forwarding on one connection ended.
#[derive(PartialEq, Eq)]
enum CloseReason {
    /// The connection closed.
    Disconnected,
    /// No more messages will come: the node is gone.
    QueueClosed,
}

/// Sends queued messages on one connection until either side ends.
async fn forward(
    node: &Node,
    framed: Framed<TcpStream, MessageCodec>,
    messages: &mut mpsc::Receiver<Message>,
) -> CloseReason {
    let (sender, mut source) = split_connection(framed, MAX_QUEUED_MESSAGES);
    // What was queued while the link was down is outdated.
    while messages.try_recv().is_ok() {}
    let hello = node.with_state(|state, _| state.peer_hello());
    let mut open = sender.try_send(hello).is_ok();
    while open {
        tokio::select! {
            message = messages.recv() => match message {
                Some(message) => open = sender.send(message).await.is_ok(),
                None => return CloseReason::QueueClosed,
            },
            // The peer sends nothing on this connection: whatever arrives is its end.
            _ = source.next() => open = false,
            _ = sender.closed() => open = false,
        }
    }
    CloseReason::Disconnected
}
