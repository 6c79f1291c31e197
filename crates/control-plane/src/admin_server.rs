//! Callers' connections: operators, and clients that ask where to go. Owns the sockets, their bounds and who is still
//! waiting at the other end. Must never begin an order whose caller is known to be gone.

use crate::calls::Call;
use crate::node::Node;
use crate::{admin_commands, admin_queries, voter_admin};
use archlink_http::codec::{Decoded, Request, Response, ServerCodec};
use archlink_http::disconnect::wait_for_disconnect;
use futures_util::{SinkExt, StreamExt};
use serde_json::json;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

/// The largest configuration, and all bodies at once as a part of the memory.
const MOST_BODY: usize = 16 << 20;
const BODIES: f64 = 0.25;
const IDLE: Duration = Duration::from_secs(20);
/// Bytes that are read ahead of a caller that sends its next call early: a head's worth.
const READ_AHEAD: usize = 16 * 1024;
const MOST_CONNECTIONS: usize = 1500;
/// When to come back after an answer that settles nothing.
const COME_BACK: &str = "0.3";

pub async fn listen(port: Rc<Node>, listener: TcpListener) {
    let open = Rc::new(());
    let room = Rc::new(Cell::new((port.settings.memory_bytes * BODIES) as usize));
    loop {
        match listener.accept().await {
            Ok((stream, _)) if Rc::strong_count(&open) <= MOST_CONNECTIONS => {
                stream.set_nodelay(true).ok();
                spawn_local(serve(port.clone(), stream, room.clone(), open.clone()));
            }
            Ok(_) => log::warn!("a caller too many is turned away"),
            Err(e) => {
                log::warn!("accept: {e}");
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

pub async fn serve(port: Rc<Node>, stream: TcpStream, room: Rc<Cell<usize>>, _open: Rc<()>) {
    let mut framed = Framed::new(stream, ServerCodec::new(&[], MOST_BODY, room));
    while let Ok(Some(Ok(asked))) = timeout(IDLE, framed.next()).await {
        let (mut answer, close) = match asked {
            Decoded::Bad(status) => (bad(status, framed.codec().out_of_memory()), true),
            Decoded::Request(request) => {
                let close = request.close;
                let answer = match find(&request) {
                    Err(answer) => answer,
                    Ok((call, _)) => tokio::select! {
                        biased;
                        // Looked at first, each time: what a caller that is gone asked for is not begun, and an order
                        // withdrawn where it was.
                        _ = wait_for_disconnect(&mut framed, READ_AHEAD) => return,
                        answer = respond(&port, call, &request) => answer,
                    },
                };
                (answer, close)
            }
        };
        answer.close = close || port.leaving.get();
        let ends = answer.close;
        if framed.send(answer).await.is_err() || ends {
            return;
        }
    }
}

/// A body for which there is no room now is no refusal: the same text may be taken in a moment.
fn bad(status: u16, full: bool) -> Response {
    if full { later("too much is being sent at once") } else { Response::plain(status) }
}

pub fn refused(status: u16, why: impl std::fmt::Display) -> Response {
    Response::json(status, json!({"Error": why.to_string()}).to_string())
}

/// Nothing is settled by this answer.
pub fn later(why: &str) -> Response {
    refused(503, why).with("Retry-After", COME_BACK)
}

fn split(target: &str) -> (&str, &str) {
    target.split_once('?').unwrap_or((target, ""))
}

/// The call that is asked for and the names behind it; else the answer that there is none.
fn find(request: &Request) -> Result<(Call, &str), Response> {
    let found = Call::at(split(&request.target).0).ok_or_else(|| refused(404, "no such call"))?;
    let method = found.0.method();
    if method != request.method {
        return Err(refused(405, format_args!("{method} is the method of this call")));
    }
    Ok(found)
}

pub async fn respond(port: &Node, call: Call, request: &Request) -> Response {
    // What came while this process stood still is known of before anything is answered or begun.
    port.awake().await;
    let (path, query) = split(&request.target);
    let names = &path[call.path().len()..];
    match call {
        Call::Replace => admin_commands::replace(port, &request.body).await,
        Call::Begin | Call::Finish => admin_commands::evacuate(port, call, names).await,
        Call::Read => admin_queries::read(port).await,
        Call::Voters => admin_queries::aged(port, voter_admin::look(port)),
        Call::VotersReplace => voter_admin::replace(port, names).await,
        Call::VotersRefound => voter_admin::refound(port, &request.body).await,
        Call::Resolution => admin_queries::resolve(port, query),
        Call::Members => admin_queries::aged(port, admin_queries::members(port)),
        Call::Hosts => admin_queries::aged(port, admin_queries::hosts(port)),
        Call::Duties => admin_queries::aged(port, admin_queries::roles(port)),
        Call::Quota => admin_queries::aged(port, admin_queries::quota(port)),
        Call::Journal => admin_queries::aged(port, admin_queries::journal(port)),
    }
}
