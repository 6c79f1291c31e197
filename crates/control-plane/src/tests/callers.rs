//! Callers that disconnect, and callers that pipeline requests.

use super::serve_caller;
use super::simulated_cluster::{NODES, SimulatedDisk, run, running_node};
use crate::admin::server;
use archlink_messages::{ConsensusMessage, Message};
use std::io::Write;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// A request that arrived during a stall is not started if its caller has disconnected since, because the caller may have sent
/// another request elsewhere. The failure was a late `Begin` that sent prepare messages before the disconnect was noticed.
#[test]
fn request_of_a_disconnected_caller_is_not_started() {
    run(async {
        let node = running_node(NODES[0], SimulatedDisk::default());
        let (sender, mut messages) = mpsc::channel(256);
        node.links.borrow_mut().insert(NODES[1], sender);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        for disconnects in [true, false] {
            let mut caller = std::net::TcpStream::connect(address).unwrap();
            caller.write_all(b"POST /archlink/Evacuation.Begin/east HTTP/1.1\r\n\r\n").unwrap();
            let staying = (!disconnects).then_some(caller);
            let (stream, _) = listener.accept().await.unwrap();
            let serving = server::serve(node.clone(), stream, Default::default(), Default::default());
            tokio::time::timeout(Duration::from_secs(3), serving).await.ok();
            drop(staying);
            let mut prepares = 0;
            while let Ok(message) = messages.try_recv() {
                prepares +=
                    u32::from(matches!(message, Message::Consensus(_, ConsensusMessage::Prepare(..))));
            }
            assert_eq!(prepares == 0, disconnects, "{prepares} prepare messages were sent");
        }
    });
}

/// A read waits up to 0.9 s for a quorum's confirmation, but ends at once when its caller disconnects. The failure was that it
/// went on waiting.
#[test]
fn read_ends_when_its_caller_disconnects() {
    run(async {
        let read = b"GET /archlink/Configuration.Read HTTP/1.1\r\n\r\n";
        let (took, _) = serve_caller(read, true, 3).await;
        assert!(took < 0.1, "{took} s");
        let (_, responses) = serve_caller(read, false, 3).await;
        assert!(responses.starts_with("HTTP/1.1 503"), "{responses}");
    });
}

/// A caller that pipelines its next request gets both responses. The failure was that it was treated as disconnected.
#[test]
fn pipelined_request_gets_a_response() {
    run(async {
        let requests =
            b"POST /archlink/Evacuation.Begin/east HTTP/1.1\r\n\r\nGET /archlink/members HTTP/1.1\r\n\r\n";
        let (_, responses) = serve_caller(requests, false, 15).await;
        let statuses: Vec<&str> =
            responses.split("HTTP/1.1 ").skip(1).map(|response| &response[..3]).collect();
        assert_eq!(statuses, ["503", "200"], "{responses}");
    });
}
