//! Small servers for those who look at a data gateway: the platform's question whether it is ready, and its figures for
//! operators. Owns their sockets and bounds. Must never touch a client's request.

use crate::front::Front;
use archlink_http::codec::{Decoded, Response, ServerCodec};
use futures_util::{SinkExt, StreamExt};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

const READINESS: &str = "/archlink/readiness";
const METRICS: &str = "/metrics";
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// A connection that asks nothing for so long is closed.
const IDLE: Duration = Duration::from_secs(30);
/// Connections at once; more are closed as they come.
const MOST_CONNECTIONS: usize = 256;

type Respond = fn(&Front, &str) -> Response;

/// `GET /archlink/readiness`: 200 while clients can be sent here.
pub async fn readiness(front: Rc<Front>, listener: TcpListener) {
    serve(front, listener, |front, path| match path {
        READINESS => Response::plain(if front.gateway.ready() { 200 } else { 503 }),
        _ => Response::plain(404),
    })
    .await;
}

/// `GET /metrics`: this process's figures as OpenMetrics text.
pub async fn metrics(front: Rc<Front>, listener: TcpListener) {
    serve(front, listener, |front, path| match path {
        METRICS => {
            let text = front.gateway.metrics.text(front.open.get(), front.at_work.get());
            let answer = Response { status: 200, body: text.into(), ..Response::default() };
            answer.with("Content-Type", METRICS_TYPE)
        }
        _ => Response::plain(404),
    })
    .await;
}

async fn serve(front: Rc<Front>, listener: TcpListener, respond: Respond) {
    let open = Rc::new(());
    loop {
        match listener.accept().await {
            Ok((stream, _)) if Rc::strong_count(&open) <= MOST_CONNECTIONS => {
                let (front, open) = (front.clone(), open.clone());
                spawn_local(async move {
                    converse(&front, stream, respond).await;
                    drop(open);
                });
            }
            Ok(_) => {}
            Err(e) => {
                log::warn!("accept: {e}");
                sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn converse(front: &Front, stream: TcpStream, respond: Respond) {
    let mut framed = Framed::new(stream, ServerCodec::new(&[], 0, front.room.clone()));
    while let Ok(Some(Ok(asked))) = timeout(IDLE, framed.next()).await {
        let (mut answer, close) = match asked {
            Decoded::Request(request) => {
                let path = request.target.split('?').next().unwrap_or("");
                (respond(front, path), request.close)
            }
            Decoded::Bad(status) => (Response::plain(status), true),
        };
        answer.close = close;
        if framed.send(answer).await.is_err() || close {
            return;
        }
    }
}
