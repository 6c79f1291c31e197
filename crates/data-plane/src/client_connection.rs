//! One client connection: reads requests, responds to them in order, and meanwhile detects the client's disconnect.
//!
//! While a request is in flight, its connection is closed only if the client resets it.

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

/// Maximum size of a request body in bytes, whatever the configuration allows: several bodies of this size have to fit
/// into the memory for bodies.
const MAX_REQUEST_BODY: usize = 8 << 20;
/// A client that does not read its response for this long is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of bytes that are read ahead from a client that pipelines requests: enough for a head.
const READ_AHEAD: usize = 16 * 1024;
/// Timeouts in seconds while no configuration is in force: for the head of a request, and for an idle connection.
const DEFAULT_HEADER_TIMEOUT: f64 = 3.0;
const DEFAULT_IDLE_TIMEOUT: f64 = 15.0;
/// Bounds in seconds of the sum of both timeouts, whatever the configuration sets.
const MIN_REQUEST_TIMEOUT: f64 = 1.0;
const MAX_REQUEST_TIMEOUT: f64 = 600.0;

type ClientStream = Framed<TcpStream, ServerCodec>;

/// Serves one connection until either side closes it.
pub async fn serve(server: Rc<ClientServer>, stream: TcpStream) {
    let _open = CountGuard::new(&server.open_connections);
    stream.set_nodelay(true).ok();
    let codec = ServerCodec::new(request_header::NAMES, MAX_REQUEST_BODY, server.body_memory.clone());
    let mut framed = Framed::new(stream, codec);
    let mut stage = server.stage.clone();
    while let Some(decoded) = next_request(&server, &mut framed, &mut stage).await {
        let _in_flight = CountGuard::new(&server.requests_in_flight);
        let handled = match decoded {
            Decoded::Rejected(status) => {
                HandledRequest { response: Response::plain(status), close: true, disconnect: None }
            }
            Decoded::Request(request) => handle(&server, &mut framed, *request).await,
        };
        let Some(response) = final_response(&server, handled) else { return };
        let close = response.close;
        match timeout(WRITE_TIMEOUT, framed.send(response)).await {
            Ok(Ok(())) if !close => {}
            _ => return,
        }
    }
}

/// Reads the next request; `None` if the connection ends, because the client closed it, the wait timed out, or the node is
/// closed to clients. If the node closes while a request is arriving, that request is still read to its end.
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
    let request_timeout = Duration::from_secs_f64(
        (header_timeout + idle_timeout).clamp(MIN_REQUEST_TIMEOUT, MAX_REQUEST_TIMEOUT),
    );
    let decoded = tokio::select! {
        biased;
        decoded = framed.next() => decoded,
        _ = stage.wait_for(|stage| *stage == ServingStage::Closed), if !framed.codec().is_partial() => return None,
        _ = sleep(request_timeout) => return None,
    };
    decoded?.ok()
}

/// The result of handling one request.
struct HandledRequest {
    response: Response,
    /// Whether to close the connection after the response: the client asked for it, or its request could not be decoded.
    close: bool,
    /// How the client disconnected before the response, if it did.
    disconnect: Option<Disconnect>,
}

/// Counts the response and decides whether the connection closes after it; `None` if the client reset the connection.
fn final_response(server: &ClientServer, handled: HandledRequest) -> Option<Response> {
    let HandledRequest { mut response, close, disconnect } = handled;
    match disconnect {
        Some(Disconnect::Reset) => return None,
        // The client may have closed only its sending side, and still read the response.
        Some(Disconnect::Closed) => response.close = true,
        None => server.data_plane.metrics.response_sent(response.status),
    }
    response.close |= close || response.status == 400 || *server.stage.borrow() != ServingStage::Serving;
    Some(response)
}

/// Responds to one request, and meanwhile detects the client's disconnect.
async fn handle(server: &ClientServer, framed: &mut ClientStream, request: Request) -> HandledRequest {
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
    HandledRequest { response, close, disconnect }
}
