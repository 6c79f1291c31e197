//! TCP connections between the system's own processes: opening, socket options, and a writer task for each.

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

/// How long sent bytes may stay unacknowledged by the peer's kernel (TCP_USER_TIMEOUT) before the connection fails. A
/// machine without power sends no reset, and what is queued for it would only arrive late.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long a connection attempt may take, so that an unreachable machine doesn't delay the next one.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// After how long without traffic a connection is probed (TCP keepalive). Connections of machines that lost power would
/// otherwise exhaust the limits on connections one by one.
const KEEPALIVE_TIME: Duration = Duration::from_secs(30);

/// Queue of messages to be written to one connection. It is bounded: full means that the peer doesn't read.
pub type MessageSender = mpsc::Sender<Message>;

/// Sets the socket options of a connection between the system's own processes: no delay, detection of dead peers.
///
/// An option that the socket refuses is left as it is: the connection works without it.
pub fn configure_stream(stream: &TcpStream) {
    stream.set_nodelay(true).ok();
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(ACKNOWLEDGEMENT_TIMEOUT)).ok();
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(KEEPALIVE_TIME)).ok();
}

/// Opens a connection to another process of the system.
///
/// # Errors
///
/// Where it is refused, or not open within 300 ms.
pub async fn connect(address: SocketAddr) -> io::Result<Framed<TcpStream, MessageCodec>> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    configure_stream(&stream);
    Ok(Framed::new(stream, MessageCodec::default()))
}

/// Splits a connection into a queue of at most `capacity` messages, which a task of its own writes, and a stream of the
/// messages received.
///
/// The task ends, and the writing side closes, when all senders are dropped or a write fails. It has to be called within
/// a `LocalSet` or a local runtime.
pub fn split_connection(
    framed: Framed<TcpStream, MessageCodec>,
    capacity: usize,
) -> (MessageSender, impl Stream<Item = io::Result<Message>>) {
    let FramedParts { io, read_buf, .. } = framed.into_parts();
    let (read_half, write_half) = io.into_split();
    let mut messages = FramedRead::new(read_half, MessageCodec::default());
    // What the peer sent right after its first message may have been read already.
    *messages.read_buffer_mut() = read_buf;
    let (sender, queue) = mpsc::channel::<Message>(capacity);
    spawn_local(write_messages(FramedWrite::new(write_half, MessageCodec::default()), queue));
    (sender, messages)
}

/// Writes messages as they are queued; those that are queued at the same time share one write.
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
