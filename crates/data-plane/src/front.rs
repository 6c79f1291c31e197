//! Clients' connections, from the accept to the last byte of an answer, and whether their clients are still there. Owns the
//! listening socket and its bounds. Must never end a connection on which a request waits.

use crate::client::Client;
use crate::gateway::Gateway;
use crate::request;
use archlink_http::codec::{Decoded, Request, Response, ServerCodec};
use archlink_http::disconnect::{Disconnect, wait_for_disconnect};
use futures_util::{SinkExt, StreamExt};
use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

/// Serving; leaving: answers end their connections; closed: nothing new is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd)]
pub enum Stage {
    Serving,
    Leaving,
    Closed,
}

/// The largest body, whatever the configuration says: one of that size has to fit into the memory several times.
const MOST_BODY: usize = 8 << 20;
/// A client that does not read its answer is let go.
const UNREAD: Duration = Duration::from_secs(10);
/// Bytes that are read ahead of a client that sends its next request early: a head's worth.
const READ_AHEAD: usize = 16 * 1024;

pub struct Front {
    pub gateway: Rc<Gateway>,
    pub stage: watch::Receiver<Stage>,
    /// Bytes left for large bodies.
    pub room: Rc<Cell<usize>>,
    pub most: usize,
    /// Connections open, and requests at work.
    pub open: Cell<usize>,
    pub at_work: Cell<usize>,
}

/// Counts for as long as it lives.
struct Count<'a>(&'a Cell<usize>);

impl Count<'_> {
    fn of(cell: &Cell<usize>) -> Count<'_> {
        cell.set(cell.get() + 1);
        Count(cell)
    }
}

impl Drop for Count<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

pub async fn listen(front: Rc<Front>, listener: TcpListener) {
    let mut stage = front.stage.clone();
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            _ = stage.wait_for(|stage| *stage == Stage::Closed) => return,
        };
        match accepted {
            Ok((stream, _)) if front.open.get() < front.most => {
                drop(spawn_local(serve(front.clone(), stream)))
            }
            Ok(_) => log::warn!("a client too many is turned away"),
            Err(e) => {
                log::warn!("accept: {e}");
                sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

async fn serve(front: Rc<Front>, stream: TcpStream) {
    let _open = Count::of(&front.open);
    stream.set_nodelay(true).ok();
    let codec = ServerCodec::new(request::READ, MOST_BODY, front.room.clone());
    let mut framed = Framed::new(stream, codec);
    let mut stage = front.stage.clone();
    loop {
        let limits = front
            .gateway
            .configuration()
            .map_or((3.0, 15.0), |configuration| (configuration.header_timeout, configuration.idle_timeout));
        let idle = Duration::from_secs_f64((limits.0 + limits.1).clamp(1.0, 600.0));
        let asked = tokio::select! {
            biased;
            asked = framed.next() => asked,
            _ = stage.wait_for(|stage| *stage == Stage::Closed), if !framed.codec().is_partial() => return,
            _ = sleep(idle) => return,
        };
        let Some(Ok(asked)) = asked else { return };
        let _at_work = Count::of(&front.at_work);
        let attended = match asked {
            Decoded::Bad(status) => {
                Attended { answer: Response::plain(status), close: true, departure: None }
            }
            Decoded::Request(request) => attend(&front, &mut framed, *request).await,
        };
        let Attended { mut answer, close, departure } = attended;
        match departure {
            Some(Disconnect::Reset) => return,
            // One that only ended its sending still reads.
            Some(Disconnect::Closed) => answer.close = true,
            None => front.gateway.metrics.answered(answer.status),
        }
        answer.close |= close || answer.status == 400 || *front.stage.borrow() != Stage::Serving;
        let ends = answer.close;
        match timeout(UNREAD, framed.send(answer)).await {
            Ok(Ok(())) if !ends => {}
            _ => return,
        }
    }
}

/// What came of one request.
struct Attended {
    answer: Response,
    /// The client asked for the end of the connection, or what it sent leaves no other way.
    close: bool,
    /// How the client left before its answer.
    departure: Option<Disconnect>,
}

/// Answers one request, with an eye on its client.
async fn attend(front: &Front, framed: &mut Framed<TcpStream, ServerCodec>, request: Request) -> Attended {
    let (close, id) = (request.close, request.fields[request::ATTEMPT_ID].once().map(str::to_string));
    let client = Client::new();
    let mut respond = pin!(request::respond(&front.gateway, request, &client));
    let (answer, departure) = tokio::select! {
        biased;
        departure = wait_for_disconnect(framed, READ_AHEAD) => {
            client.depart();
            (respond.await, Some(departure))
        }
        answer = &mut respond => (answer, None),
    };
    let answer = match id.filter(|_| !answer.lines.starts_with(b"Attempt-Id")) {
        Some(id) => answer.with("Attempt-Id", id),
        None => answer,
    };
    Attended { answer, close, departure }
}
