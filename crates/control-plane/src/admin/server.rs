//! Connections of operators, and of clients that ask where to connect.
//!
//! Invariant: no request is started whose caller is known to have disconnected.

use super::calls::Call;
use super::responses::{error, unavailable};
use super::{commands, queries, voters};
use crate::server::node::Node;
use archlink_http::codec::{Decoded, Request, Response, ServerCodec};
use archlink_http::disconnect::wait_for_disconnect;
use futures_util::{SinkExt, StreamExt};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

/// Bytes of one body: the largest configuration.
const MAX_BODY: usize = 16 << 20;
/// All bodies at once, as a part of the memory that the settings name.
const BODY_MEMORY_FRACTION: f64 = 0.25;
/// A connection without a request is closed after this.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Bytes that are read ahead of a caller that sends its next request early: a head's worth.
const READ_AHEAD: usize = 16 * 1024;
/// Connections at once; further ones are closed. Part of the process's file descriptors.
const MAX_CONNECTIONS: usize = 1500;
/// Pause after a failed `accept`: without descriptors the next one fails as well.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Accepts connections for ever.
pub async fn listen(node: Rc<Node>, listener: TcpListener) {
    // Each connection holds a clone: the count is the number of open ones, and one.
    let open_connections = Rc::new(());
    let body_memory = Rc::new(Cell::new((node.settings.memory_bytes * BODY_MEMORY_FRACTION) as usize));
    loop {
        match listener.accept().await {
            Ok((stream, _)) if Rc::strong_count(&open_connections) <= MAX_CONNECTIONS => {
                stream.set_nodelay(true).ok();
                spawn_local(serve(node.clone(), stream, body_memory.clone(), open_connections.clone()));
            }
            Ok(_) => log::warn!(limit = MAX_CONNECTIONS; "operator connection rejected: limit reached"),
            Err(e) => {
                log::warn!(listener = "operators", error:% = e; "accept failed");
                sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

/// Serves one connection until it closes; `body_memory` is the memory left for bodies of all connections.
pub async fn serve(
    node: Rc<Node>,
    stream: TcpStream,
    body_memory: Rc<Cell<usize>>,
    _connection_guard: Rc<()>,
) {
    let mut framed = Framed::new(stream, ServerCodec::new(&[], MAX_BODY, body_memory));
    while let Ok(Some(Ok(decoded))) = timeout(IDLE_TIMEOUT, framed.next()).await {
        let (mut response, close) = match decoded {
            Decoded::Rejected(status) => (bad_request(status, framed.codec().out_of_memory()), true),
            Decoded::Request(request) => match response(&node, &mut framed, &request).await {
                Some(response) => (response, request.close),
                None => return,
            },
        };
        response.close = close || node.draining.get();
        let close = response.close;
        if framed.send(response).await.is_err() || close {
            return;
        }
    }
}

/// The answer to a request; none where its caller has disconnected.
async fn response(
    node: &Node,
    framed: &mut Framed<TcpStream, ServerCodec>,
    request: &Request,
) -> Option<Response> {
    match route(request) {
        Err(response) => Some(response),
        Ok(call) => tokio::select! {
            biased;
            // Polled first, each time: the request of a caller that has disconnected is not started, and withdrawn where
            // it was.
            _ = wait_for_disconnect(framed, READ_AHEAD) => None,
            response = respond(node, call, request) => Some(response),
        },
    }
}

/// A body for which there is no memory now is no rejection: the same text may be accepted in a moment.
fn bad_request(status: u16, out_of_memory: bool) -> Response {
    if out_of_memory { unavailable("too much is being sent at once") } else { Response::plain(status) }
}

fn path_and_query(target: &str) -> (&str, &str) {
    target.split_once('?').unwrap_or((target, ""))
}

/// The call of a request; else the answer that there is none.
fn route(request: &Request) -> Result<Call, Response> {
    let (path, _) = path_and_query(&request.target);
    let (call, _) = Call::from_path(path).ok_or_else(|| error(404, "no such call"))?;
    let method = call.method();
    if method != request.method {
        return Err(error(405, format_args!("{method} is the method of this call")));
    }
    Ok(call)
}

/// The answer to a call.
pub async fn respond(node: &Node, call: Call, request: &Request) -> Response {
    // What arrived during a stall is processed before anything is answered or started.
    node.catch_up_after_stall().await;
    let (path, query) = path_and_query(&request.target);
    let path_parameters = path.strip_prefix(call.path()).unwrap_or("");
    match call {
        Call::ReplaceConfiguration => commands::replace_configuration(node, &request.body).await,
        Call::BeginEvacuation | Call::FinishEvacuation => {
            commands::evacuate(node, call, path_parameters).await
        }
        Call::ReadConfiguration => queries::read_configuration(node).await,
        Call::Voters => queries::with_contact(node, voters::status(node)),
        Call::ReplaceVoter => voters::replace(node, path_parameters).await,
        Call::ForceNewGeneration => voters::force_new_generation(node, &request.body).await,
        Call::Resolve => queries::resolve(node, query),
        Call::Members => queries::with_contact(node, queries::members(node)),
        Call::Hosts => queries::with_contact(node, queries::hosts(node)),
        Call::Leases => queries::with_contact(node, queries::leases(node)),
        Call::Quota => queries::with_contact(node, queries::quota(node)),
        Call::Events => queries::with_contact(node, queries::events(node)),
    }
}
