//! Hosts on loopback that follow a script of behaviors and record the requests that they get.

use crate::client_presence::ClientPresence;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// What a host does with a request. The script has one behavior for each request, whichever host it arrives at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostBehavior {
    /// Sends a valid response.
    Respond,
    /// Sends an interim response (100) before a valid one.
    InterimResponse,
    /// Sends the response to another request before the valid one.
    UnmatchedBefore,
    /// Sends the valid response and then the response to another request, in one write.
    UnmatchedWith,
    /// Sends the valid response, and again once the client has received it.
    DuplicateResponse,
    /// Sends only the response to another request.
    UnmatchedOnly,
    /// Sends the response to another request and closes the connection.
    UnmatchedThenClose,
    /// Closes the connection within the head of the response.
    TruncatedHead,
    /// Closes the connection within the body of the response.
    TruncatedBody,
    /// Reads the request and closes the connection without a response.
    CloseAfterRead,
    /// Resets the connection before it reads a byte of the request.
    ResetBeforeRead,
    /// Resets the connection after it has read a part of the request.
    ResetMidRead,
    /// Resets the connection after it has read the request.
    ResetAfterRead,
    /// Sends a valid response and resets the connection once the client has received it.
    ResetWhenIdle,
    /// Sends a valid response once the client has given up.
    LateResponse,
    /// Responds with 503 and states that it did not execute the request.
    NotExecuted,
    /// Responds with 421.
    Misdirected,
    /// Responds with 500.
    InternalError,
    /// Responds with 503 and does not state that it did not execute the request.
    Unavailable,
    /// Sends a valid response once the test releases it, or cancels the request if the connection ends before.
    HoldUntilReleased,
}

use HostBehavior::*;

/// All behaviors that need no action of the test.
pub const BEHAVIORS: [HostBehavior; 19] = [
    Respond,
    InterimResponse,
    UnmatchedBefore,
    UnmatchedWith,
    DuplicateResponse,
    UnmatchedOnly,
    UnmatchedThenClose,
    TruncatedHead,
    TruncatedBody,
    CloseAfterRead,
    ResetBeforeRead,
    ResetMidRead,
    ResetAfterRead,
    ResetWhenIdle,
    LateResponse,
    NotExecuted,
    Misdirected,
    InternalError,
    Unavailable,
];

impl HostBehavior {
    /// Whether the host sends a complete valid response in time.
    pub fn has_valid_response(self) -> bool {
        matches!(
            self,
            Respond | InterimResponse | UnmatchedBefore | UnmatchedWith | DuplicateResponse | ResetWhenIdle
        )
    }

    /// Whether the connection may be used again: it carried nothing but a request and its response.
    pub fn leaves_connection_reusable(self) -> bool {
        matches!(
            self,
            Respond
                | InterimResponse
                | NotExecuted
                | Misdirected
                | InternalError
                | Unavailable
                | HoldUntilReleased
        )
    }

    /// Whether the attempt ends only at the deadline.
    pub fn times_out(self) -> bool {
        matches!(self, UnmatchedOnly | LateResponse)
    }

    /// Whether the host counts as having executed the request.
    pub fn may_execute(self) -> bool {
        !matches!(self, NotExecuted | Misdirected | ResetBeforeRead)
    }
}

/// The script of the hosts, and what they recorded.
#[derive(Default)]
pub struct ScriptedHosts {
    script: RefCell<VecDeque<HostBehavior>>,
    /// Id and host of each request that a host has read at least a part of and not declined.
    pub executed: RefCell<Vec<(String, usize)>>,
    /// Violations of the protocol by the data node.
    pub violations: RefCell<Vec<String>>,
    /// Ids of the requests that a host cancelled because their connection ended.
    pub cancelled: RefCell<Vec<String>>,
    /// The client that disconnects as soon as a host has read its request.
    pub disconnect_on_read: RefCell<Option<ClientPresence>>,
    /// Notified when a host has read a request, and when it has cancelled one.
    pub request_seen: Notify,
    /// Releases the requests of [`HostBehavior::HoldUntilReleased`].
    pub release: Notify,
    /// Number of responses that the client has received.
    pub responses_received: Cell<usize>,
    /// Notified when `responses_received` has changed.
    pub response_received: Notify,
}

impl ScriptedHosts {
    /// Starts two hosts that follow `script`; returns them with their addresses.
    pub fn start(script: &[HostBehavior]) -> (Rc<ScriptedHosts>, Vec<SocketAddr>) {
        let script = RefCell::new(script.iter().copied().collect());
        let hosts = Rc::new(ScriptedHosts { script, ..ScriptedHosts::default() });
        let mut addresses = Vec::new();
        for n in 0..2 {
            let socket = TcpSocket::new_v4().unwrap();
            socket.set_recv_buffer_size(16384).unwrap();
            socket.bind(([127, 0, 0, 1], 0).into()).unwrap();
            let listener = socket.listen(8).unwrap();
            addresses.push(listener.local_addr().unwrap());
            spawn_local(listen(hosts.clone(), n, listener));
        }
        (hosts, addresses)
    }
}

fn response(status: u16, id: &str, lines: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status} X\r\nAttempt-Id: {id}\r\n{lines}Content-Length: {length}\r\n\r\n{body}")
}

fn valid_response(id: &str) -> String {
    response(200, id, "Server-Seal: s\r\n", &format!("ran {id}"))
}

/// Reads one request, or if `partial` at least its head, and returns its id; `None` if the connection ends before.
async fn read_request(stream: &mut TcpStream, partial: bool) -> Option<String> {
    let (mut bytes, mut chunk) = (Vec::new(), [0; 16384]);
    loop {
        let count = stream.read(&mut chunk).await.ok().filter(|count| *count > 0)?;
        bytes.extend_from_slice(&chunk[..count]);
        let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else { continue };
        let head = String::from_utf8_lossy(&bytes[..end]).to_string();
        let field = |name: &str| head.lines().find_map(|line| Some(line.strip_prefix(name)?.to_string()));
        let length: usize = field("Content-Length: ").map_or(0, |text| text.parse().unwrap());
        if partial || bytes.len() >= end + 4 + length {
            return field("Attempt-Id: ");
        }
    }
}

async fn listen(hosts: Rc<ScriptedHosts>, host: usize, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        spawn_local(serve_connection(hosts.clone(), host, stream));
    }
}

async fn serve_connection(hosts: Rc<ScriptedHosts>, host: usize, mut stream: TcpStream) -> Option<()> {
    let mut unusable = false;
    loop {
        let next = hosts.script.borrow().front().copied().unwrap_or(Respond);
        if next == ResetBeforeRead && !unusable {
            hosts.script.borrow_mut().pop_front();
            return stream.set_zero_linger().ok();
        }
        let (received_before, partial) = (hosts.responses_received.get(), next == ResetMidRead);
        let id = read_request(&mut stream, partial).await?;
        let behavior = hosts.script.borrow_mut().pop_front().unwrap_or(Respond);
        if unusable {
            let violation = format!("{id} was sent on a connection that must not be reused");
            hosts.violations.borrow_mut().push(violation);
        }
        if let Some(client) = hosts.disconnect_on_read.take() {
            client.set_disconnected();
        }
        unusable = !behavior.leaves_connection_reusable();
        if behavior.may_execute() {
            hosts.executed.borrow_mut().push((id.clone(), host));
        }
        hosts.request_seen.notify_one();
        if behavior == HoldUntilReleased && !hold_until_released(&hosts, &mut stream).await {
            hosts.cancelled.borrow_mut().push(id);
            hosts.request_seen.notify_one();
            return None;
        }
        stream.write_all(response_of(behavior, &id).as_bytes()).await.ok()?;
        if let DuplicateResponse | ResetWhenIdle | LateResponse = behavior {
            while hosts.responses_received.get() == received_before {
                hosts.response_received.notified().await;
            }
        }
        match behavior {
            DuplicateResponse | LateResponse => {
                stream.write_all(valid_response(&id).as_bytes()).await.ok()?
            }
            ResetMidRead | ResetAfterRead | ResetWhenIdle => return stream.set_zero_linger().ok(),
            UnmatchedThenClose | TruncatedHead | TruncatedBody | CloseAfterRead => return None,
            _ => {}
        }
    }
}

/// What a host writes as soon as it has read the request.
fn response_of(behavior: HostBehavior, id: &str) -> String {
    let valid = valid_response(id);
    match behavior {
        Respond | DuplicateResponse | ResetWhenIdle | HoldUntilReleased => valid,
        InterimResponse => format!("HTTP/1.1 100 Continue\r\n\r\n{valid}"),
        UnmatchedBefore => valid_response("zero") + &valid,
        UnmatchedWith => valid + &valid_response("zero"),
        UnmatchedOnly | UnmatchedThenClose => valid_response("zero"),
        TruncatedHead => valid[..30].to_string(),
        TruncatedBody => valid[..valid.len() - 2].to_string(),
        CloseAfterRead | ResetBeforeRead | ResetMidRead | ResetAfterRead | LateResponse => String::new(),
        NotExecuted => response(503, id, "Not-Executed: 1\r\n", ""),
        Misdirected => response(421, id, "", ""),
        InternalError => response(500, id, "", ""),
        Unavailable => response(503, id, "", ""),
    }
}

/// Waits until the test releases the request; returns false if the connection ends before.
async fn hold_until_released(hosts: &ScriptedHosts, stream: &mut TcpStream) -> bool {
    let mut byte = [0; 1];
    tokio::select! {
        _ = stream.read(&mut byte) => false,
        _ = hosts.release.notified() => true,
    }
}
