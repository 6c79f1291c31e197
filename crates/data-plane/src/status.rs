//! HTTP servers for readiness checks and metrics.

use crate::client_server::ClientServer;
use crate::protocol::CONTENT_TYPE;
use archlink_http::codec::{Decoded, Response, ServerCodec};
use futures_util::{SinkExt, StreamExt};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

const READINESS_PATH: &str = "/archlink/readiness";
const METRICS_PATH: &str = "/metrics";
const METRICS_MEDIA_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// A connection without a request for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of open connections of one listener; further ones are closed at once.
const MAX_CONNECTIONS: usize = 256;
/// Delay after a failed accept: usually no file descriptor is left, and client connections need them first.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

type RespondFn = fn(&ClientServer, &str) -> Response;

/// Serves `GET /archlink/readiness`: 200 while the node is ready for clients, 503 otherwise.
pub async fn serve_readiness(server: Rc<ClientServer>, listener: Rc<TcpListener>) {
    serve(server, listener, "readiness", |server, path| match path {
        READINESS_PATH => Response::plain(if server.data_plane.is_ready() { 200 } else { 503 }),
        _ => Response::plain(404),
    })
    .await;
}

/// Serves `GET /metrics`: this process's metrics as OpenMetrics text.
pub async fn serve_metrics(server: Rc<ClientServer>, listener: Rc<TcpListener>) {
    serve(server, listener, "metrics", |server, path| match path {
        METRICS_PATH => {
            let (connections, in_flight) = (server.open_connections.get(), server.requests_in_flight.get());
            let text = server.data_plane.metrics.encode(connections, in_flight);
            let response = Response { status: 200, body: text.into(), ..Response::default() };
            response.with(CONTENT_TYPE, METRICS_MEDIA_TYPE)
        }
        _ => Response::plain(404),
    })
    .await;
}

async fn serve(server: Rc<ClientServer>, listener: Rc<TcpListener>, name: &'static str, respond: RespondFn) {
    // Its reference count is 1 plus the number of open connections.
    let open_connections = Rc::new(());
    loop {
        match listener.accept().await {
            Ok((stream, _)) if Rc::strong_count(&open_connections) <= MAX_CONNECTIONS => {
                let (server, open_connection) = (server.clone(), open_connections.clone());
                spawn_local(async move {
                    serve_connection(&server, stream, respond).await;
                    drop(open_connection);
                });
            }
            Ok(_) => {}
            Err(e) => {
                log::warn!(listener = name, error:% = e; "accept failed");
                sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn serve_connection(server: &ClientServer, stream: TcpStream, respond: RespondFn) {
    let mut framed = Framed::new(stream, ServerCodec::new(&[], 0, server.body_memory.clone()));
    while let Ok(Some(Ok(decoded))) = timeout(IDLE_TIMEOUT, framed.next()).await {
        let (mut response, close) = match decoded {
            Decoded::Request(request) => {
                let path = request.target.split('?').next().unwrap_or("");
                (respond(server, path), request.close)
            }
            Decoded::Rejected(status) => (Response::plain(status), true),
        };
        response.close = close;
        if framed.send(response).await.is_err() || close {
            return;
        }
    }
}
