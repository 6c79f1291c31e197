//! Clients' connections, from the accept to the last byte of an answer, and the platform's question whether this gateway is
//! ready. Owns the listening sockets and their bounds. Must never end a connection on which a request waits.

use crate::deck::Deck;
use crate::request;
use fairway::plain::{Answer, Asked, ServerSide};
use futures_util::{SinkExt, StreamExt};
use std::cell::Cell;
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
const READY_IDLE: Duration = Duration::from_secs(30);

pub struct Front {
    pub deck: Rc<Deck>,
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
    let codec = ServerSide::new(request::READ, MOST_BODY, front.room.clone());
    let mut framed = Framed::new(stream, codec);
    let mut stage = front.stage.clone();
    loop {
        let limits =
            front.deck.chart().map_or((3.0, 15.0), |chart| (chart.header_timeout, chart.idle_timeout));
        let idle = Duration::from_secs_f64((limits.0 + limits.1).clamp(1.0, 600.0));
        let asked = tokio::select! {
            biased;
            asked = framed.next() => asked,
            _ = stage.wait_for(|stage| *stage == Stage::Closed), if !framed.codec().begun() => return,
            _ = sleep(idle) => return,
        };
        let Some(Ok(asked)) = asked else { return };
        let _at_work = Count::of(&front.at_work);
        let (mut answer, close) = match asked {
            Asked::Bad(status) => (Answer::plain(status), true),
            Asked::Request(request) => {
                let (close, id) = (request.close, request.fields[0].once().map(str::to_string));
                let mut answer = request::respond(&front.deck, *request).await;
                if let Some(id) = id.filter(|_| !answer.lines.starts_with(b"Attempt-Id")) {
                    answer = answer.with("Attempt-Id", id);
                }
                (answer, close)
            }
        };
        answer.close = close || answer.status == 400 || *front.stage.borrow() != Stage::Serving;
        let ends = answer.close;
        match timeout(UNREAD, framed.send(answer)).await {
            Ok(Ok(())) if !ends => {}
            _ => return,
        }
    }
}

/// `GET /archlink/readiness`.
pub async fn ready(front: Rc<Front>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        let front = front.clone();
        spawn_local(async move {
            let mut framed = Framed::new(stream, ServerSide::new(&[], 0, front.room.clone()));
            while let Ok(Some(Ok(asked))) = timeout(READY_IDLE, framed.next()).await {
                let status = match asked {
                    Asked::Request(r) if r.target.split('?').next() == Some("/archlink/readiness") => {
                        if front.deck.ready() { 200 } else { 503 }
                    }
                    Asked::Request(_) => 404,
                    Asked::Bad(status) => status,
                };
                if framed.send(Answer::plain(status)).await.is_err() {
                    return;
                }
            }
        });
    }
}
