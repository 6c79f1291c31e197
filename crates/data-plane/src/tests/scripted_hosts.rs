//! Hosts on loopback that follow a script: what each does with the next request, and what they saw.

use crate::client_presence::ClientPresence;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// What a host does with the next request that comes to any of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostBehaviour {
    /// Responds as it should.
    Respond,
    /// Responds after an interim response.
    InterimResponse,
    /// Another request's response before its own.
    UnmatchedBefore,
    /// Its own response and another request's in one write.
    UnmatchedWith,
    /// Its response a second time, once the client has it.
    DuplicateResponse,
    /// Another request's response, and no other.
    UnmatchedOnly,
    /// Another request's response, and the connection's end.
    UnmatchedThenClose,
    /// The connection's end within the response's head.
    TruncatedHead,
    /// The connection's end within the response's body.
    TruncatedBody,
    /// The connection's end in place of a response.
    CloseAfterRead,
    /// A reset before a byte of the request was read.
    ResetBeforeRead,
    /// A reset after a part of the request was read.
    ResetMidRead,
    /// A reset after the request was read.
    ResetAfterRead,
    /// A reset once the client has its response.
    ResetWhenIdle,
    /// Its response, once the client has given up.
    LateResponse,
    /// 503 with the statement that it was not executed.
    NotExecuted,
    /// 421.
    Misdirected,
    /// 500.
    InternalError,
    /// 503 without the statement that it was not executed.
    Unavailable,
    /// Its response once it is released; cancelled where its connection ends before.
    HoldUntilReleased,
}

use HostBehaviour::*;

/// All behaviours that end without the test's doing.
pub const BEHAVIOURS: [HostBehaviour; 19] = [
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

impl HostBehaviour {
    /// The client is entitled to its response.
    pub fn has_valid_response(self) -> bool {
        matches!(
            self,
            Respond | InterimResponse | UnmatchedBefore | UnmatchedWith | DuplicateResponse | ResetWhenIdle
        )
    }

    /// Nothing but a request and its response was on the connection: it may be used again.
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

    /// Only the deadline ends the attempt.
    pub fn times_out(self) -> bool {
        matches!(self, UnmatchedOnly | LateResponse)
    }

    /// The host may have executed the request.
    pub fn may_execute(self) -> bool {
        !matches!(self, NotExecuted | Misdirected | ResetBeforeRead)
    }
}

/// The hosts' script, and what they saw.
#[derive(Default)]
pub struct ScriptedHosts {
    script: RefCell<VecDeque<HostBehaviour>>,
    /// Requests that a host has seen a part of and not declined, with the host.
    pub executed: RefCell<Vec<(String, usize)>>,
    /// What no host may ever see.
    pub violations: RefCell<Vec<String>>,
    /// Requests that a host cancelled as their connection ended.
    pub cancelled: RefCell<Vec<String>>,
    /// Disconnects as soon as a host has read its request.
    pub disconnect_on_read: RefCell<Option<ClientPresence>>,
    /// Notified when a host has read a request, and when it has cancelled one.
    pub request_seen: Notify,
    /// Releases the requests that hosts hold.
    pub release: Notify,
    /// Responses that the client has; notified with each.
    pub responses_received: Cell<usize>,
    pub response_received: Notify,
}

impl ScriptedHosts {
    /// Two hosts that follow `script`, and their addresses.
    pub fn start(script: &[HostBehaviour]) -> (Rc<ScriptedHosts>, Vec<SocketAddr>) {
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

/// Reads one head, and the body but for its last part where `partial`; its id, none where the connection ended before.
async fn read_request(stream: &mut TcpStream, partial: bool) -> Option<String> {
    let (mut bytes, mut part) = (Vec::new(), [0; 16384]);
    loop {
        let count = stream.read(&mut part).await.ok().filter(|count| *count > 0)?;
        bytes.extend_from_slice(&part[..count]);
        let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") else { continue };
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
        let behaviour = hosts.script.borrow_mut().pop_front().unwrap_or(Respond);
        if unusable {
            let violation = format!("{id} came on a connection that was not to be used again");
            hosts.violations.borrow_mut().push(violation);
        }
        if let Some(client) = hosts.disconnect_on_read.take() {
            client.set_disconnected();
        }
        unusable = !behaviour.leaves_connection_reusable();
        if behaviour.may_execute() {
            hosts.executed.borrow_mut().push((id.clone(), host));
        }
        hosts.request_seen.notify_one();
        if behaviour == HoldUntilReleased && !hold_until_released(&hosts, &mut stream).await {
            hosts.cancelled.borrow_mut().push(id);
            hosts.request_seen.notify_one();
            return None;
        }
        stream.write_all(response_of(behaviour, &id).as_bytes()).await.ok()?;
        if let DuplicateResponse | ResetWhenIdle | LateResponse = behaviour {
            while hosts.responses_received.get() == received_before {
                hosts.response_received.notified().await;
            }
        }
        match behaviour {
            DuplicateResponse | LateResponse => {
                stream.write_all(valid_response(&id).as_bytes()).await.ok()?
            }
            ResetMidRead | ResetAfterRead | ResetWhenIdle => return stream.set_zero_linger().ok(),
            UnmatchedThenClose | TruncatedHead | TruncatedBody | CloseAfterRead => return None,
            _ => {}
        }
    }
}

/// What a host writes at once.
fn response_of(behaviour: HostBehaviour, id: &str) -> String {
    let valid = valid_response(id);
    match behaviour {
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

/// False where the connection ends before the request is released.
async fn hold_until_released(hosts: &ScriptedHosts, stream: &mut TcpStream) -> bool {
    let mut byte = [0; 1];
    tokio::select! {
        _ = stream.read(&mut byte) => false,
        _ = hosts.release.notified() => true,
    }
}
