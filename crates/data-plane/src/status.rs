//! Small servers beside the clients' one: readiness for the platform, metrics for operators.

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
/// A connection without a request for so long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Open connections of one listener; more are closed as they come.
const MAX_CONNECTIONS: usize = 256;
/// The wait after a failed accept: most of them are descriptors that ran out, and clients need those first.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

type RespondFn = fn(&ClientServer, &str) -> Response;

/// `GET /archlink/readiness`: 200 while clients can be sent here, 503 otherwise.
pub async fn serve_readiness(server: Rc<ClientServer>, listener: TcpListener) {
    serve(server, listener, "readiness", |server, path| match path {
        READINESS_PATH => Response::plain(if server.data_plane.is_ready() { 200 } else { 503 }),
        _ => Response::plain(404),
    })
    .await;
}

/// `GET /metrics`: this process's metrics as OpenMetrics text.
pub async fn serve_metrics(server: Rc<ClientServer>, listener: TcpListener) {
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

async fn serve(server: Rc<ClientServer>, listener: TcpListener, name: &'static str, respond: RespondFn) {
    // Counted by its references: one here, and one for each open connection.
    let open = Rc::new(());
    loop {
        match listener.accept().await {
            Ok((stream, _)) if Rc::strong_count(&open) <= MAX_CONNECTIONS => {
                let (server, open) = (server.clone(), open.clone());
                spawn_local(async move {
                    serve_connection(&server, stream, respond).await;
                    drop(open);
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
