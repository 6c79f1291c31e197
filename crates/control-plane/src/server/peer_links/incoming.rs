//! Incoming connections of control nodes, data nodes and counter clients.

use super::MAX_QUEUED_MESSAGES;
use crate::server::node::Node;
use crate::server::peer_identity::{ConnectionTable, IdentityError, IncomingPeer, PeerIdentity};
use archlink_consensus::Effect;
use archlink_control_node::event_log::Event;
use archlink_messages::{CounterAdd, DataNode, LeaseGrant, Message, MessageCodec, VersionVector};
use archlink_runtime::{MessageSender, split_connection};
use futures_util::StreamExt;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::{fmt, io};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

/// Time limit for the first message on an incoming connection.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of incoming connections; further ones are closed. They use a part of the process's file descriptors.
const MAX_CONNECTIONS: usize = 2048;
/// Pause after a failed `accept`. When the process is out of file descriptors the next one would fail as well.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Why an incoming connection is closed.
#[derive(Debug)]
enum ConnectionError {
    /// The bytes are not a valid message, or the socket failed.
    Read(io::Error),
    /// The sender may not send this message.
    Identity(IdentityError),
    /// The send queue to a counter client is full, because it does not read its totals.
    TotalsNotRead,
    /// The message is not meant for a control node, or not valid from this kind of sender.
    UnexpectedMessage,
}

impl fmt::Display for ConnectionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConnectionError::Read(e) => e.fmt(f),
            ConnectionError::Identity(e) => e.fmt(f),
            ConnectionError::TotalsNotRead => f.write_str("the sender does not read its totals"),
            ConnectionError::UnexpectedMessage => {
                f.write_str("this kind of sender may not send such a message")
            }
        }
    }
}

impl std::error::Error for ConnectionError {}

/// Accepts connections until the process ends.
pub async fn listen(node: Rc<Node>, listener: Rc<TcpListener>) {
    // Each connection holds a clone, so the strong count is the number of open connections plus one.
    let open_connections = Rc::new(());
    let connections = Rc::new(RefCell::new(ConnectionTable::default()));
    loop {
        match listener.accept().await {
            Ok((stream, from)) if Rc::strong_count(&open_connections) <= MAX_CONNECTIONS => {
                let peer = IncomingPeer::new(&mut connections.borrow_mut());
                let connection =
                    Connection { node: node.clone(), connections: connections.clone(), peer, from };
                spawn_local(connection.serve(stream, open_connections.clone()));
            }
            Ok(_) => log::warn!(limit = MAX_CONNECTIONS; "peer connection rejected: limit reached"),
            Err(e) => {
                log::warn!(listener = "peers", error:% = e; "accept failed");
                sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

struct Connection {
    node: Rc<Node>,
    connections: Rc<RefCell<ConnectionTable>>,
    peer: IncomingPeer,
    from: SocketAddr,
}

impl Connection {
    /// Processes messages until the connection closes or sends a message that is rejected.
    async fn serve(mut self, stream: TcpStream, _connection_guard: Rc<()>) {
        archlink_runtime::configure_stream(&stream);
        let (sender, mut messages) =
            split_connection(Framed::new(stream, MessageCodec::default()), MAX_QUEUED_MESSAGES);
        let Ok(Some(first)) = timeout(FIRST_MESSAGE_TIMEOUT, messages.next()).await else { return };
        let mut next = Some(first);
        while let Some(message) = next {
            if let Err(e) = self.process(&sender, message) {
                log::warn!(peer:% = self.from, reason:% = e; "peer connection closed");
                break;
            }
            next = messages.next().await;
        }
        self.close();
    }

    fn process(
        &mut self,
        sender: &MessageSender,
        message: io::Result<Message>,
    ) -> Result<(), ConnectionError> {
        let message = message.map_err(ConnectionError::Read)?;
        let verified = self.peer.verify(&mut self.connections.borrow_mut(), &message);
        verified.map_err(ConnectionError::Identity)?;
        self.dispatch(sender, message)
    }

    /// Processes a message whose sender has been verified.
    fn dispatch(&self, sender: &MessageSender, message: Message) -> Result<(), ConnectionError> {
        match (message, self.peer.identity) {
            (Message::SessionHeartbeat { serial, data_node, cluster_clock: clock, leases }, _) => {
                self.renew_session(sender, serial, data_node, clock, &leases);
                Ok(())
            }
            (Message::CounterAdds { serial, term, cluster_clock: clock, adds }, _) => {
                self.handle_counter_adds(sender, serial, term, clock, &adds)
            }
            (Message::UpdateRequest(versions), Some(PeerIdentity::DataNode(_))) => {
                self.handle_update_request(sender, &versions);
                Ok(())
            }
            (message, Some(PeerIdentity::ControlNode(peer))) => {
                self.node.receive(peer, message);
                Ok(())
            }
            _ => Err(ConnectionError::UnexpectedMessage),
        }
    }

    fn renew_session(
        &self,
        sender: &MessageSender,
        serial: u64,
        data_node: DataNode,
        clock: f64,
        leases: &[LeaseGrant],
    ) {
        self.node.sessions.insert(data_node.node, sender.clone());
        self.node.step(|state, now| {
            state.observe_clock(now, clock);
            leases.iter().for_each(|&grant| state.leases.learn_holder(now, 0, grant));
            state.record_event(now, Event::SessionRenewed(data_node))
        });
        // A lost reply is made up for by the next heartbeat, which has another serial number.
        sender.try_send(self.node.with_state(|state, now| state.heartbeat(now, serial))).ok();
    }

    fn handle_counter_adds(
        &self,
        sender: &MessageSender,
        serial: u64,
        term: u64,
        clock: f64,
        adds: &[CounterAdd],
    ) -> Result<(), ConnectionError> {
        self.node.step(|state, now| {
            state.observe_clock(now, clock);
            Vec::<Effect>::new()
        });
        let totals = self.node.count(term, adds);
        let clock = self.node.with_state(|state, now| state.cluster_clock(now));
        let reply = Message::CounterTotals { serial, cluster_clock: clock, totals };
        sender.try_send(reply).map_err(|_| ConnectionError::TotalsNotRead)
    }

    fn handle_update_request(&self, sender: &MessageSender, versions: &VersionVector) {
        let updates = self.node.missing_updates(versions);
        if !updates.is_empty() {
            sender.try_send(Message::StateUpdates(updates)).ok();
        }
    }

    /// Ends a data node's session, unless a newer connection has taken it over.
    fn close(&self) {
        let was_newest = self.peer.close(&mut self.connections.borrow_mut());
        if let (Some(PeerIdentity::DataNode(data_node)), true) = (self.peer.identity, was_newest) {
            self.node.sessions.remove(data_node);
            self.node.step(|state, now| state.record_event(now, Event::SessionClosed(data_node)));
        }
    }
}
