//! TCP connections between the system's own processes: connecting, socket options, and a writer task per connection.

use archlink_messages::{Message, MessageCodec};
use futures_util::{SinkExt, Stream};
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::timeout;
use tokio_util::codec::{Framed, FramedParts, FramedRead, FramedWrite};

/// How long sent bytes may stay unacknowledged by the peer's kernel before the connection fails (TCP_USER_TIMEOUT). A
/// machine that lost power sends no reset, and messages queued for it would only arrive late.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long a connection attempt may take. The limit keeps an unreachable machine from delaying the attempt to the next one.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a connection may be idle before it is probed (TCP keepalive). Without probes, dead connections to machines
/// that lost power would accumulate until they exhaust the connection limits.
const KEEPALIVE_TIME: Duration = Duration::from_secs(30);

/// The bounded queue of messages to be written to one connection. A full queue means that the peer does not read.
pub type MessageSender = mpsc::Sender<Message>;

/// Sets the socket options of a connection between the system's own processes: TCP_NODELAY and the detection of dead peers.
///
/// Errors are ignored, because the connection also works without these options.
pub fn configure_stream(stream: &TcpStream) {
    stream.set_nodelay(true).ok();
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(ACKNOWLEDGEMENT_TIMEOUT)).ok();
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(KEEPALIVE_TIME)).ok();
}

/// Connects to another process of the system.
///
/// # Errors
///
/// If the connection fails or is not established within 300 ms.
pub async fn connect(address: SocketAddr) -> io::Result<Framed<TcpStream, MessageCodec>> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    configure_stream(&stream);
    Ok(Framed::new(stream, MessageCodec::default()))
}

/// Splits a connection into a queue of at most `capacity` outgoing messages, written by a separate task, and a stream of the
/// messages received.
///
/// The task ends, and closes the writing half, when all senders are dropped or a write fails. This function has to be called
/// within a `LocalSet` or a local runtime.
pub fn split_connection(
    framed: Framed<TcpStream, MessageCodec>,
    capacity: usize,
) -> (MessageSender, impl Stream<Item = io::Result<Message>>) {
    let FramedParts { io, read_buf, .. } = framed.into_parts();
    let (read_half, write_half) = io.into_split();
    let mut messages = FramedRead::new(read_half, MessageCodec::default());
    // The read buffer may already contain bytes that the peer sent right after its first message.
    *messages.read_buffer_mut() = read_buf;
    let (sender, queue) = mpsc::channel::<Message>(capacity);
    spawn_local(write_messages(FramedWrite::new(write_half, MessageCodec::default()), queue));
    (sender, messages)
}

/// Writes messages as they are queued. Messages that are in the queue at the same time are written together.
async fn write_messages(
    mut sink: FramedWrite<OwnedWriteHalf, MessageCodec>,
    mut queue: mpsc::Receiver<Message>,
) {
    while let Some(message) = queue.recv().await {
        let mut result = sink.feed(&message).await;
        while let (Ok(()), Ok(message)) = (&result, queue.try_recv()) {
            result = sink.feed(&message).await;
        }
        if result.is_err() || sink.flush().await.is_err() {
            return;
        }
    }
}
