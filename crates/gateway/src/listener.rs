//! Client connections, from the accept to the last byte of an answer. A request is held no longer than the admission
//! module holds it, no connection that waits for an answer is closed, and messages are forwarded unchanged.

use crate::admit::admit;
use crate::dispatcher::Dispatcher;
use crate::http::{Answer, ClientCodec, ClientMessage, InvalidRequest, LARGE_BUFFER, Received};
use archlink_http::disconnect::wait_for_disconnect;
use bytes::BytesMut;
use futures_util::{SinkExt, StreamExt};
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

/// A connection that completes no message for this long is closed, whether it sent nothing or a part of a message.
/// Within the 3 s that the protocol allows such a client, and longer than connections of ordinary clients are idle.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2500);
/// A client that does not read its answer within this time is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Bytes read ahead from a client that pipelines its next request: enough for one request head.
const MAX_READ_AHEAD: usize = 16 * 1024;
/// Pause after a failed accept, so that a persistent error (no descriptors) does not cause a busy loop.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(10);
/// Interval at which the listener checks for a closed connection while `max_connections` are open.
const CONNECTION_LIMIT_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Bounds, in bytes and time, of reading and discarding input after the last answer.
const MAX_LINGER_BYTES: usize = 1 << 20;
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Progress of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServingState {
    /// Connections are accepted and kept.
    Serving,
    /// Connections are accepted; each is closed after its next answer.
    Draining,
    /// No connection is accepted and no request is read.
    Closed,
}

/// State shared by all client connections.
pub struct ClientListener {
    dispatcher: Rc<Dispatcher>,
    state: watch::Receiver<ServingState>,
    open: Cell<usize>,
    max_connections: usize,
    /// Number of idle connections that have not sent a message yet.
    idle_without_message: Cell<usize>,
    /// Closes the connection that has been idle longest among those that have not sent a message.
    close_idle_without_message: Notify,
    /// Closes the connection that has been idle longest among those that have sent messages.
    close_idle_with_messages: Notify,
}

impl ClientListener {
    /// Creates a listener without connections; `max_connections` bounds the connections open at once.
    pub fn new(
        dispatcher: Rc<Dispatcher>,
        state: watch::Receiver<ServingState>,
        max_connections: usize,
    ) -> ClientListener {
        ClientListener {
            dispatcher,
            state,
            open: Cell::new(0),
            max_connections,
            idle_without_message: Cell::new(0),
            close_idle_without_message: Notify::new(),
            close_idle_with_messages: Notify::new(),
        }
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    fn is_serving(&self) -> bool {
        *self.state.borrow() == ServingState::Serving
    }

    /// Closes one idle connection. Connections that never sent a message are closed first, so that many clients that
    /// only connect do not displace clients that send requests.
    fn close_one_idle(&self) {
        match self.idle_without_message.get() {
            0 => self.close_idle_with_messages.notify_one(),
            _ => self.close_idle_without_message.notify_one(),
        }
    }

    /// Returns whether the gateway is ready: a host is listed and no shutdown has begun.
    fn is_ready(&self) -> bool {
        self.is_serving() && self.dispatcher.call(|_, _, driver| !driver.hosts.is_empty())
    }
}

/// Counts a connection as idle without a message so far; the count ends when the guard is dropped.
struct IdleWithoutMessageGuard<'a>(&'a ClientListener);

impl IdleWithoutMessageGuard<'_> {
    fn count(listener: &ClientListener) -> IdleWithoutMessageGuard<'_> {
        listener.idle_without_message.set(listener.idle_without_message.get() + 1);
        IdleWithoutMessageGuard(listener)
    }
}

impl Drop for IdleWithoutMessageGuard<'_> {
    fn drop(&mut self) {
        self.0.idle_without_message.set(self.0.idle_without_message.get() - 1);
    }
}

/// Counts a connection as open; the count ends when the guard is dropped.
struct OpenConnectionGuard(Rc<ClientListener>);

impl OpenConnectionGuard {
    fn count(listener: &Rc<ClientListener>) -> OpenConnectionGuard {
        listener.open.set(listener.open.get() + 1);
        OpenConnectionGuard(listener.clone())
    }
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// Accepts connections until the state is [`ServingState::Closed`] and the backlog of the socket is empty.
pub async fn accept_clients(listener: Rc<ClientListener>, socket: Rc<TcpListener>) {
    let mut state = listener.state.clone();
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = socket.accept() => accepted,
            _ = state.wait_for(|state| *state == ServingState::Closed) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                drop(spawn_local(serve_connection(OpenConnectionGuard::count(&listener), stream)))
            }
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                sleep(ACCEPT_ERROR_PAUSE).await;
            }
        }
        while listener.open.get() >= listener.max_connections {
            listener.close_one_idle();
            sleep(CONNECTION_LIMIT_POLL_INTERVAL).await;
        }
    }
}

type ClientStream = Framed<TcpStream, ClientCodec>;

/// Serves the messages of one connection in order until the connection is closed.
async fn serve_connection(connection: OpenConnectionGuard, stream: TcpStream) {
    let listener = connection.0.clone();
    stream.set_nodelay(true).ok();
    let mut framed = Framed::new(stream, ClientCodec::new(listener.dispatcher.settings.clone()));
    let mut state = listener.state.clone();
    let mut has_sent_message = false;
    loop {
        let Some(received) = next_message(&listener, &mut framed, &mut state, has_sent_message).await else {
            return;
        };
        has_sent_message = true;
        let Some(mut answer) = answer_message(&listener, &mut framed, received.message).await else { return };
        // A pipelined request is answered before its connection is closed.
        let pipelined = !framed.read_buffer().is_empty();
        // Invalid input closes its connection, even with more requests pipelined: a flood gets one answer per
        // connection.
        let invalid = matches!(answer, Answer::Invalid(_));
        let close = invalid || !pipelined && (received.close || !listener.is_serving());
        // Held until the answer is written.
        let _reserved =
            if let Answer::Answered { reserved, .. } = &mut answer { reserved.take() } else { None };
        let written = timeout(WRITE_TIMEOUT, framed.send((answer, close))).await;
        match written {
            Ok(Ok(())) if !close => release_large_buffer(&mut framed),
            Ok(Ok(())) if invalid => return lingering_close(framed.into_inner()).await,
            _ => return,
        }
    }
}

/// Receives the next message of a connection; returns `None` if the connection has to be closed.
async fn next_message(
    listener: &ClientListener,
    framed: &mut ClientStream,
    state: &mut watch::Receiver<ServingState>,
    has_sent_message: bool,
) -> Option<Received> {
    let _idle_guard = (!has_sent_message).then(|| IdleWithoutMessageGuard::count(listener));
    let close_idle = if has_sent_message {
        &listener.close_idle_with_messages
    } else {
        &listener.close_idle_without_message
    };
    tokio::select! {
        biased;
        received = framed.next() => received?.ok(),
        _ = close_idle.notified() => None,
        _ = state.wait_for(|state| *state == ServingState::Closed) => None,
        _ = sleep(IDLE_TIMEOUT) => None,
    }
}

/// Produces the answer to a message; returns `None` if the client disconnects first, which cancels its request.
async fn answer_message(
    listener: &ClientListener,
    framed: &mut ClientStream,
    message: ClientMessage,
) -> Option<Answer> {
    let request = match message {
        ClientMessage::ReadinessCheck => return Some(Answer::Readiness(listener.is_ready())),
        ClientMessage::Invalid(reason) => return Some(Answer::Invalid(reason)),
        ClientMessage::Request(request) => request,
    };
    let Some(mut open_request) = admit(&listener.dispatcher, *request) else {
        return Some(Answer::Invalid(InvalidRequest::DuplicateId));
    };
    tokio::select! {
        biased;
        answer = &mut open_request.answer => answer.ok(),
        _ = wait_for_disconnect(framed, MAX_READ_AHEAD) => None,
    }
}

/// Releases a write buffer that a large answer has grown, instead of keeping it as long as the connection.
fn release_large_buffer(framed: &mut ClientStream) {
    if framed.write_buffer().capacity() > LARGE_BUFFER {
        *framed.write_buffer_mut() = BytesMut::new();
    }
}

/// Reads and discards input for a moment after the last answer. Closing with unread input would reset the connection
/// and lose the answer.
async fn lingering_close(mut stream: TcpStream) {
    let discard_input = async {
        stream.shutdown().await?;
        let (mut buffer, mut total) = ([0; 4096], 0);
        while total < MAX_LINGER_BYTES {
            match stream.read(&mut buffer).await? {
                0 => break,
                read => total += read,
            }
        }
        io::Result::Ok(())
    };
    timeout(LINGER_TIMEOUT, discard_input).await.ok();
}
