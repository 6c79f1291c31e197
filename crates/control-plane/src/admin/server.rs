//! HTTP server for operators, and for clients that resolve data nodes.
//!
//! Invariant: a request is not started if its caller is known to have disconnected.
//!
//! The texts of errors are part of the operators' interface: scripts compare them, so they stay the same and keep older words.

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

/// Maximum size of a request body in bytes, which is the largest configuration.
const MAX_BODY: usize = 16 << 20;
/// Fraction of the memory limit in the settings that the bodies of all requests may use together.
const BODY_MEMORY_FRACTION: f64 = 0.25;
/// Time after which a connection without a request is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Bytes that are buffered of a pipelined request while the current one is processed: about the size of a request head.
const READ_AHEAD: usize = 16 * 1024;
/// Maximum number of connections; further ones are closed. They use a part of the process's file descriptors.
const MAX_CONNECTIONS: usize = 1500;
/// Pause after a failed `accept`. When the process is out of file descriptors the next one would fail as well.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Accepts connections until the process ends.
pub async fn listen(node: Rc<Node>, listener: Rc<TcpListener>) {
    // Each connection holds a clone, so the strong count is the number of open connections plus one.
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

/// Serves one connection until it closes. `body_memory` is the memory left for the bodies of all connections.
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
            Decoded::Request(request) => {
                match respond_unless_disconnected(&node, &mut framed, &request).await {
                    Some(response) => (response, request.close),
                    None => return,
                }
            }
        };
        response.close = close || node.draining.get();
        let close = response.close;
        if framed.send(response).await.is_err() || close {
            return;
        }
    }
}

/// The response to a request, or `None` if the caller has disconnected.
async fn respond_unless_disconnected(
    node: &Node,
    framed: &mut Framed<TcpStream, ServerCodec>,
    request: &Request,
) -> Option<Response> {
    match route(request) {
        Err(response) => Some(response),
        Ok(call) => tokio::select! {
            biased;
            // The disconnect is polled first, so that the request of a caller that has disconnected is not started, or is
            // withdrawn if it was.
            _ = wait_for_disconnect(framed, READ_AHEAD) => None,
            response = respond(node, call, request) => Some(response),
        },
    }
}

/// The response to an invalid request. A body for which there is no memory is not final: the same request may succeed later.
fn bad_request(status: u16, out_of_memory: bool) -> Response {
    if out_of_memory { unavailable("too much is being sent at once") } else { Response::plain(status) }
}

fn path_and_query(target: &str) -> (&str, &str) {
    target.split_once('?').unwrap_or((target, ""))
}

/// The call of a request, or the error response if there is none.
fn route(request: &Request) -> Result<Call, Response> {
    let (path, _) = path_and_query(&request.target);
    let (call, _) = Call::from_path(path).ok_or_else(|| error(404, "no such call"))?;
    let method = call.method();
    if method != request.method {
        return Err(error(405, format_args!("{method} is the method of this call")));
    }
    Ok(call)
}

/// Performs a call and returns its response.
pub async fn respond(node: &Node, call: Call, request: &Request) -> Response {
    // Whatever arrived during a stall is processed before this request is answered or started.
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
