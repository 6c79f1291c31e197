//! Clients' connections, from the accept to the last byte of an answer. A request is held no longer than the admission
//! module holds it; no connection that waits for an answer is closed; messages pass unchanged.

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

/// A connection that brings no complete message for this long is closed, whether it sent nothing or a part of one. Within
/// the 3 s that the protocol gives such a client, and longer than usual clients' connections are idle.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2500);
/// A client that does not read its answer for this long is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Bytes that are read ahead of a client that pipelines its next request: a head's worth.
const READ_AHEAD: usize = 16 * 1024;
/// Wait after a failed accept, so that a lasting error (no descriptors) does not spin.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(10);
/// Wait between two looks whether a connection has closed, while all places are taken.
const FULL_PAUSE: Duration = Duration::from_millis(1);
/// Bytes and time for which input is read on after the last answer.
const MAX_LINGER_BYTES: usize = 1 << 20;
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Progress of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServingState {
    /// Connections are accepted and kept.
    Serving,
    /// Connections are accepted; answers close theirs.
    Draining,
    /// No connection is accepted and no request is read any more.
    Closed,
}

/// What all clients' connections share.
pub struct ClientListener {
    dispatcher: Rc<Dispatcher>,
    state: watch::Receiver<ServingState>,
    open: Cell<usize>,
    max_connections: usize,
    /// Idle connections that have sent no message yet.
    idle_unused: Cell<usize>,
    /// Closes the connection that has been idle longest.
    close_idle_unused: Notify,
    close_idle_used: Notify,
}

impl ClientListener {
    /// A listener without connections; `max_connections` bounds those open at once.
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
            idle_unused: Cell::new(0),
            close_idle_unused: Notify::new(),
            close_idle_used: Notify::new(),
        }
    }

    /// Connections open now.
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    fn is_serving(&self) -> bool {
        *self.state.borrow() == ServingState::Serving
    }

    /// Unused connections go first: hundreds that only connect must not cost the connections of those who send requests.
    fn close_one_idle(&self) {
        match self.idle_unused.get() {
            0 => self.close_idle_used.notify_one(),
            _ => self.close_idle_unused.notify_one(),
        }
    }

    /// Ready: there is a host to send to, and no shutdown.
    fn is_ready(&self) -> bool {
        self.is_serving() && self.dispatcher.call(|_, _, driver| !driver.hosts.is_empty())
    }
}

/// Counts a connection as idle and unused while it exists.
struct IdleUnused<'a>(&'a ClientListener);

impl IdleUnused<'_> {
    fn count(listener: &ClientListener) -> IdleUnused<'_> {
        listener.idle_unused.set(listener.idle_unused.get() + 1);
        IdleUnused(listener)
    }
}

impl Drop for IdleUnused<'_> {
    fn drop(&mut self) {
        self.0.idle_unused.set(self.0.idle_unused.get() - 1);
    }
}

/// Counts a connection as open while it exists.
struct OpenConnection(Rc<ClientListener>);

impl OpenConnection {
    fn count(listener: &Rc<ClientListener>) -> OpenConnection {
        listener.open.set(listener.open.get() + 1);
        OpenConnection(listener.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// Accepts until the state is [`ServingState::Closed`], and then what the system had accepted by then.
pub async fn accept_clients(listener: Rc<ClientListener>, socket: Rc<TcpListener>) {
    let mut state = listener.state.clone();
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = socket.accept() => accepted,
            _ = state.wait_for(|state| *state == ServingState::Closed) => return,
        };
        match accepted {
            Ok((stream, _)) => drop(spawn_local(serve(OpenConnection::count(&listener), stream))),
            Err(e) => {
                log::warn!("accept: {e}");
                sleep(ACCEPT_ERROR_PAUSE).await;
            }
        }
        while listener.open.get() >= listener.max_connections {
            listener.close_one_idle();
            sleep(FULL_PAUSE).await;
        }
    }
}

type ClientStream = Framed<TcpStream, ClientCodec>;

async fn serve(connection: OpenConnection, stream: TcpStream) {
    let listener = connection.0.clone();
    stream.set_nodelay(true).ok();
    let mut framed = Framed::new(stream, ClientCodec::new(listener.dispatcher.settings.clone()));
    let mut state = listener.state.clone();
    let mut used = false;
    loop {
        let Some(received) = next_message(&listener, &mut framed, &mut state, used).await else { return };
        used = true;
        let Some(mut answer) = answer_to(&listener, &mut framed, received.message).await else { return };
        // A pipelined request is answered before its connection ends.
        let pipelined = !framed.read_buffer().is_empty();
        // Invalid input ends its connection, whatever else was sent on it: floods of it cost one answer a connection.
        let invalid = matches!(answer, Answer::Invalid(_));
        let close = invalid || !pipelined && (received.close || !listener.is_serving());
        // Kept until the answer is written.
        let _reserved =
            if let Answer::Answered { reserved, .. } = &mut answer { reserved.take() } else { None };
        let written = timeout(WRITE_TIMEOUT, framed.send((answer, close))).await;
        match written {
            Ok(Ok(())) if !close => release_large_buffer(&mut framed),
            Ok(Ok(())) if invalid => return linger(framed.into_inner()).await,
            _ => return,
        }
    }
}

/// The next message of a connection; `None` where the connection has to end.
async fn next_message(
    listener: &ClientListener,
    framed: &mut ClientStream,
    state: &mut watch::Receiver<ServingState>,
    used: bool,
) -> Option<Received> {
    let _idle_unused = (!used).then(|| IdleUnused::count(listener));
    let close_idle = if used { &listener.close_idle_used } else { &listener.close_idle_unused };
    tokio::select! {
        biased;
        received = framed.next() => received?.ok(),
        _ = close_idle.notified() => None,
        _ = state.wait_for(|state| *state == ServingState::Closed) => None,
        _ = sleep(IDLE_TIMEOUT) => None,
    }
}

/// The answer to a message; `None` where the client disconnects before it, which cancels its request.
async fn answer_to(
    listener: &ClientListener,
    framed: &mut ClientStream,
    message: ClientMessage,
) -> Option<Answer> {
    let request = match message {
        ClientMessage::ReadinessCheck => return Some(Answer::Readiness(listener.is_ready())),
        ClientMessage::Invalid(reason) => return Some(Answer::Invalid(reason)),
        ClientMessage::Request(request) => request,
    };
    let Some(mut open) = admit(&listener.dispatcher, *request) else {
        return Some(Answer::Invalid(InvalidRequest::DuplicateId));
    };
    tokio::select! {
        biased;
        answer = &mut open.answer => answer.ok(),
        _ = wait_for_disconnect(framed, READ_AHEAD) => None,
    }
}

/// A large answer's buffer is not kept for as long as the connection.
fn release_large_buffer(framed: &mut ClientStream) {
    if framed.write_buffer().capacity() > LARGE_BUFFER {
        *framed.write_buffer_mut() = BytesMut::new();
    }
}

/// Reads on for a moment after the last answer: a close with unread input would reset the connection and lose the answer.
async fn linger(mut stream: TcpStream) {
    let read_on = async {
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
    timeout(LINGER_TIMEOUT, read_on).await.ok();
}
