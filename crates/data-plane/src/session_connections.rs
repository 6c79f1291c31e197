//! The connections of this node's session with a control node: the one in use, and the one to a control node on trial.
//!
//! A connection attempt delays no other connection: attempts and messages are awaited together.

use crate::control_session::MAX_QUEUED_MESSAGES;
use archlink_messages::{Message, NodeId};
use archlink_runtime::{MessageSender, split_connection};
use futures_util::{Stream, StreamExt};
use std::future::{Future, poll_fn};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

/// The messages received from a peer.
pub type MessageStream = Pin<Box<dyn Stream<Item = io::Result<Message>>>>;

/// An open connection.
struct OpenConnection {
    sender: MessageSender,
    messages: MessageStream,
}

/// A connection attempt in progress.
type ConnectionAttempt = Pin<Box<dyn Future<Output = io::Result<OpenConnection>>>>;

enum ConnectionState {
    Connecting(ConnectionAttempt),
    Open(OpenConnection),
}

struct SessionConnection {
    peer: NodeId,
    state: ConnectionState,
}

/// What happened on a connection. After an error the connection is gone.
pub enum ConnectionEvent {
    /// The connection attempt has ended.
    Connected(io::Result<()>),
    /// A message was received.
    Received(Box<Message>),
    /// The connection was closed by the peer (`None`) or failed.
    Lost(Option<io::Error>),
}

/// The message can't be queued for sending: the peer does not read, or the connection is closed.
#[derive(Debug)]
pub struct SendError;

/// The connections of a session, one per control node.
#[derive(Default)]
pub struct SessionConnections {
    connections: Vec<SessionConnection>,
}

impl SessionConnections {
    /// Starts to connect to a control node. Replaces a connection to the same control node.
    pub fn connect(&mut self, peer: NodeId, internal_port: u16) {
        self.disconnect(peer);
        let address = archlink_runtime::node_address(peer, internal_port);
        let attempt = async move {
            let framed = archlink_runtime::connect(address).await?;
            let (sender, messages) = split_connection(framed, MAX_QUEUED_MESSAGES);
            Ok(OpenConnection { sender, messages: Box::pin(messages) })
        };
        let state = ConnectionState::Connecting(Box::pin(attempt));
        self.connections.push(SessionConnection { peer, state });
    }

    /// Closes the connection to a control node, or gives up the attempt to open it.
    pub fn disconnect(&mut self, peer: NodeId) {
        self.connections.retain(|connection| connection.peer != peer);
    }

    /// Queues a message for sending. Does nothing without a connection to this control node.
    ///
    /// # Errors
    ///
    /// Returns [`SendError`] if the queue is full or the connection is closed.
    pub fn send(&mut self, peer: NodeId, message: Message) -> Result<(), SendError> {
        let connection = self.connections.iter().find(|connection| connection.peer == peer);
        match connection.map(|connection| &connection.state) {
            Some(ConnectionState::Open(open)) => open.sender.try_send(message).map_err(|_| SendError),
            _ => Ok(()),
        }
    }

    /// Waits for the next event of any connection; pending while there is none. Loses nothing if it is dropped.
    pub async fn next_event(&mut self) -> (NodeId, ConnectionEvent) {
        poll_fn(|context| self.poll_event(context)).await
    }

    fn poll_event(&mut self, context: &mut Context<'_>) -> Poll<(NodeId, ConnectionEvent)> {
        for index in 0..self.connections.len() {
            let connection = &mut self.connections[index];
            let peer = connection.peer;
            if let Poll::Ready(event) = connection.poll_event(context) {
                let is_lost = matches!(event, ConnectionEvent::Connected(Err(_)) | ConnectionEvent::Lost(_));
                if is_lost {
                    self.connections.remove(index);
                }
                return Poll::Ready((peer, event));
            }
        }
        Poll::Pending
    }
}

impl SessionConnection {
    fn poll_event(&mut self, context: &mut Context<'_>) -> Poll<ConnectionEvent> {
        match &mut self.state {
            ConnectionState::Connecting(attempt) => attempt.as_mut().poll(context).map(|result| {
                let connected = result.map(|open| self.state = ConnectionState::Open(open));
                ConnectionEvent::Connected(connected)
            }),
            ConnectionState::Open(open) => open.messages.poll_next_unpin(context).map(|next| match next {
                Some(Ok(message)) => ConnectionEvent::Received(Box::new(message)),
                Some(Err(error)) => ConnectionEvent::Lost(Some(error)),
                None => ConnectionEvent::Lost(None),
            }),
        }
    }
}
