//! One connection of a client: reads requests, answers them in order, and watches for its disconnect meanwhile.
//!
//! A connection on which a request is in flight is closed by nothing but its client's reset.

use crate::client_presence::ClientPresence;
use crate::client_server::{ClientServer, CountGuard, ServingStage};
use crate::protocol::{self, request_header};
use crate::request;
use archlink_http::codec::{Decoded, Request, Response, ServerCodec};
use archlink_http::disconnect::{Disconnect, wait_for_disconnect};
use futures_util::{SinkExt, StreamExt};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

/// The largest body of a request in bytes, whatever the configuration says: several of that size have to fit into the
/// memory for bodies.
const MAX_BODY: usize = 8 << 20;
/// A client that does not read its response for so long is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes that are read ahead of a client that pipelines its next request: a head's worth.
const READ_AHEAD: usize = 16 * 1024;
/// Seconds for a head and between two requests, while no configuration is in force.
const DEFAULT_HEADER_TIMEOUT: f64 = 3.0;
const DEFAULT_IDLE_TIMEOUT: f64 = 15.0;
/// The bounds, in seconds, of what a configuration may set as both timeouts together.
const MIN_WAIT: f64 = 1.0;
const MAX_WAIT: f64 = 600.0;

type ClientStream = Framed<TcpStream, ServerCodec>;

/// Serves one connection until either side closes it.
pub async fn serve(server: Rc<ClientServer>, stream: TcpStream) {
    let _open = CountGuard::new(&server.open_connections);
    stream.set_nodelay(true).ok();
    let codec = ServerCodec::new(request_header::NAMES, MAX_BODY, server.body_memory.clone());
    let mut framed = Framed::new(stream, codec);
    let mut stage = server.stage.clone();
    while let Some(decoded) = next_request(&server, &mut framed, &mut stage).await {
        let _in_flight = CountGuard::new(&server.requests_in_flight);
        let handled = match decoded {
            Decoded::Rejected(status) => {
                Handled { response: Response::plain(status), close: true, disconnect: None }
            }
            Decoded::Request(request) => handle(&server, &mut framed, *request).await,
        };
        let Some(response) = final_response(&server, handled) else { return };
        let closes = response.close;
        match timeout(WRITE_TIMEOUT, framed.send(response)).await {
            Ok(Ok(())) if !closes => {}
            _ => return,
        }
    }
}

/// The next request; `None` where the connection ends: closed by its client, idle for too long, or the node is closed
/// to clients. A request that has begun to arrive is read to its end.
async fn next_request(
    server: &ClientServer,
    framed: &mut ClientStream,
    stage: &mut watch::Receiver<ServingStage>,
) -> Option<Decoded> {
    let (header_timeout, idle_timeout) = server
        .data_plane
        .configuration()
        .map_or((DEFAULT_HEADER_TIMEOUT, DEFAULT_IDLE_TIMEOUT), |configuration| {
            (configuration.header_timeout, configuration.idle_timeout)
        });
    let wait = Duration::from_secs_f64((header_timeout + idle_timeout).clamp(MIN_WAIT, MAX_WAIT));
    let decoded = tokio::select! {
        biased;
        decoded = framed.next() => decoded,
        _ = stage.wait_for(|stage| *stage == ServingStage::Closed), if !framed.codec().is_partial() => return None,
        _ = sleep(wait) => return None,
    };
    decoded?.ok()
}

/// What came of one request.
struct Handled {
    response: Response,
    /// The client asked for the end of the connection, or what it sent leaves no other way.
    close: bool,
    /// How the client disconnected before its response.
    disconnect: Option<Disconnect>,
}

/// The response as it is written, counted; `None` where nobody is left to read it.
fn final_response(server: &ClientServer, handled: Handled) -> Option<Response> {
    let Handled { mut response, close, disconnect } = handled;
    match disconnect {
        Some(Disconnect::Reset) => return None,
        // A client that only ended its sending still reads.
        Some(Disconnect::Closed) => response.close = true,
        None => server.data_plane.metrics.response_sent(response.status),
    }
    response.close |= close || response.status == 400 || *server.stage.borrow() != ServingStage::Serving;
    Some(response)
}

/// Responds to one request and watches for its client's disconnect meanwhile.
async fn handle(server: &ClientServer, framed: &mut ClientStream, request: Request) -> Handled {
    let (close, id) = (request.close, request.fields[request_header::ATTEMPT_ID].once().map(str::to_string));
    let client = ClientPresence::new();
    let mut respond = pin!(request::respond(&server.data_plane, request, &client));
    let (response, disconnect) = tokio::select! {
        biased;
        disconnect = wait_for_disconnect(framed, READ_AHEAD) => {
            client.set_disconnected();
            (respond.await, Some(disconnect))
        }
        response = &mut respond => (response, None),
    };
    let has_id = response.header_lines.starts_with(protocol::ATTEMPT_ID.as_bytes());
    let response = match id.filter(|_| !has_id) {
        Some(id) => response.with(protocol::ATTEMPT_ID, id),
        None => response,
    };
    Handled { response, close, disconnect }
}
