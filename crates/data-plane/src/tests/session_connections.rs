//! The connections of a session: an attempt to open one delays no other.

use super::run_scenarios;
use crate::session_connections::{ConnectionEvent, SessionConnections};
use archlink_messages::{Message, MessageCodec, NodeId};
use futures_util::SinkExt;
use std::net::{Ipv4Addr, SocketAddr};
use tokio::net::{TcpSocket, TcpStream};
use tokio_util::codec::Framed;

/// Addresses of a control node that answers, and of one that does not accept connections.
const ANSWERING: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);
const NOT_ACCEPTING: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 3);

fn listening_socket(ip: Ipv4Addr, port: u16, backlog: u32) -> tokio::net::TcpListener {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(SocketAddr::new(ip.into(), port)).unwrap();
    socket.listen(backlog).unwrap()
}

/// Returns the port and the listener of an address that completes no further connection, since its backlog is full. The
/// connections that fill it have to be kept.
async fn full_listener(port: u16) -> (tokio::net::TcpListener, Vec<TcpStream>) {
    let listener = listening_socket(NOT_ACCEPTING, port, 0);
    let address = listener.local_addr().unwrap();
    let filling = vec![TcpStream::connect(address).await.unwrap()];
    (listener, filling)
}

/// Guards against a data node that reads nothing from its control node while it connects to another one: the attempt was
/// awaited before the next message was read.
#[test]
fn connection_attempt_delays_no_message_of_another_connection() {
    run_scenarios(
        [async {
            let listener = listening_socket(ANSWERING, 0, 8);
            let port = listener.local_addr().unwrap().port();
            let _full = full_listener(port).await;
            let (answering, not_accepting): (NodeId, NodeId) = (ANSWERING.into(), NOT_ACCEPTING.into());
            let mut connections = SessionConnections::default();
            connections.connect(answering, port);
            let (peer, event) = connections.next_event().await;
            assert!(peer == answering && matches!(event, ConnectionEvent::Connected(Ok(()))));
            let (stream, _) = listener.accept().await.unwrap();
            connections.connect(not_accepting, port);
            let mut control_node = Framed::new(stream, MessageCodec::default());
            control_node.send(&Message::StateUpdates(Vec::new())).await.unwrap();
            let (peer, event) = connections.next_event().await;
            assert!(peer == answering && matches!(event, ConnectionEvent::Received(_)));
            let (peer, event) = connections.next_event().await;
            assert!(peer == not_accepting && matches!(event, ConnectionEvent::Connected(Err(_))));
        }],
        1,
    );
}
