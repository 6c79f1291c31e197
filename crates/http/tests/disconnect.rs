//! Clients that disconnect while a request is processed, on loopback sockets: every way to disconnect is detected,
//! bytes that were sent early are kept, and read-ahead is bounded.

use archlink_http::codec::{Decoded, ServerCodec};
use archlink_http::disconnect::{Disconnect, wait_for_disconnect};
use bytes::BytesMut;
use futures_util::StreamExt;
use std::cell::Cell;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::yield_now;
use tokio_util::codec::Framed;

/// Limit of bytes that are read ahead.
const MAX_BUFFERED: usize = 4096;

type Server = Framed<TcpStream, ServerCodec>;

/// A client and the server's side of its connection. The server has read one request, and the client has
/// sent `early` after it.
async fn connected_pair(early: &[u8]) -> (TcpStream, Server) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (server, _) = listener.accept().await.unwrap();
    let mut server = Framed::new(server, ServerCodec::new(&[], 1 << 20, Rc::new(Cell::new(1 << 20))));
    client.write_all(b"GET /first HTTP/1.1\r\n\r\n").await.unwrap();
    assert_eq!(next_target(&mut server).await.as_deref(), Some("/first"));
    client.write_all(early).await.unwrap();
    (client, server)
}

async fn next_target(server: &mut Server) -> Option<String> {
    match server.next().await?.ok()? {
        Decoded::Request(request) => Some(request.target),
        Decoded::Rejected(status) => Some(status.to_string()),
    }
}

fn run(test: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(test);
}

/// Waits for a disconnect for this many polls of the runtime; `None` if the client is still connected then.
async fn disconnect_within(server: &mut Server, polls: usize) -> Option<Disconnect> {
    tokio::select! {
        biased;
        disconnect = wait_for_disconnect(server, MAX_BUFFERED) => Some(disconnect),
        _ = async { for _ in 0..polls { yield_now().await } } => None,
    }
}

#[test]
fn close_half_close_and_reset_are_detected() {
    run(async {
        for early in [&b""[..], b"GET /second HTTP/1.1\r\n\r\n"] {
            let (client, mut server) = connected_pair(early).await;
            assert_eq!(disconnect_within(&mut server, 50).await, None);
            drop(client);
            assert_eq!(wait_for_disconnect(&mut server, MAX_BUFFERED).await, Disconnect::Closed);
            let (mut client, mut server) = connected_pair(early).await;
            client.shutdown().await.unwrap();
            assert_eq!(wait_for_disconnect(&mut server, MAX_BUFFERED).await, Disconnect::Closed);
            let (client, mut server) = connected_pair(early).await;
            client.set_zero_linger().unwrap();
            drop(client);
            assert_eq!(wait_for_disconnect(&mut server, MAX_BUFFERED).await, Disconnect::Reset);
        }
    });
}

/// Guards against losing bytes when the wait is cancelled and restarted: requests that were sent early are decoded
/// completely and in order.
#[test]
fn requests_sent_early_are_kept() {
    run(async {
        let (mut client, mut server) =
            connected_pair(b"POST /second HTTP/1.1\r\nContent-Length: 4\r\n\r\nab").await;
        for part in [&b"c"[..], b"d", b"GET /third HT", b"TP/1.1\r\n\r\n"] {
            assert_eq!(disconnect_within(&mut server, 20).await, None);
            client.write_all(part).await.unwrap();
        }
        assert_eq!(disconnect_within(&mut server, 20).await, None);
        assert_eq!(next_target(&mut server).await.as_deref(), Some("/second"));
        assert_eq!(disconnect_within(&mut server, 20).await, None);
        assert_eq!(next_target(&mut server).await.as_deref(), Some("/third"));
    });
}

/// A client that keeps sending fills only the buffers of its own connection, and its disconnect is detected despite
/// unread bytes.
#[test]
fn read_ahead_is_bounded() {
    run(async {
        let (mut client, mut server) = connected_pair(&[b'x'; 4 * MAX_BUFFERED]).await;
        assert_eq!(disconnect_within(&mut server, 200).await, None);
        let buffered = server.read_buffer().len();
        assert!((MAX_BUFFERED..4 * MAX_BUFFERED).contains(&buffered), "{buffered} bytes read ahead");
        client.shutdown().await.unwrap();
        assert_eq!(wait_for_disconnect(&mut server, MAX_BUFFERED).await, Disconnect::Closed);
        // Nothing that was sent is lost.
        let mut rest = BytesMut::from(&server.read_buffer()[..]);
        while server.get_ref().try_read_buf(&mut rest).is_ok_and(|read| read > 0) {}
        assert_eq!(rest.len(), 4 * MAX_BUFFERED);
    });
}
