//! First stage: clients' connections, from the accept to the last byte of an answer. Owns the listening socket and the
//! bound on clients' connections. Must never hold an inquiry longer than the module does, end a connection that one
//! waits on, or touch what is asked and answered.

use crate::admit::admit;
use crate::http::{Answer, Asked, ClientSide, What};
use crate::route::Hall;
use archlink_http::disconnect::wait_for_disconnect;
use bytes::BytesMut;
use futures_util::{SinkExt, StreamExt};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

/// A connection without a whole message for this long is closed, said it nothing or half a message: within the 3 s
/// that such a client is owed, and longer than usual clients' connections rest. Unread answers are waited on likewise.
const SILENT: Duration = Duration::from_millis(2500);
const UNREAD: Duration = Duration::from_secs(3);
/// Bytes that are read ahead of a client that sends its next inquiry early: a head's worth.
const READ_AHEAD: usize = 16 * 1024;
/// Larger buffers than this are given back after use.
pub const LARGE: usize = 32 * 1024;

/// Leaving: answers end their connections. Left: nothing new is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd)]
pub enum Stage {
    Serving,
    Leaving,
    Left,
}

pub struct Door {
    pub hall: Rc<Hall>,
    pub stage: watch::Receiver<Stage>,
    /// Connections open now, and most of them.
    pub open: Cell<usize>,
    pub most: usize,
    /// Connections that have never asked anything, and are waited on.
    pub strangers: Cell<usize>,
    /// Asks the stranger, or the other connection, that has been idle longest to close.
    pub make_room: [Notify; 2],
}

impl Door {
    fn stage(&self) -> Stage {
        *self.stage.borrow()
    }
    /// Strangers go first: hundreds that only connect must not cost the connections of those who ask.
    fn make_room(&self) {
        let known = usize::from(self.strangers.get() == 0);
        self.make_room[known].notify_one();
    }
    /// Can serve: there is a host to send to.
    fn up(&self) -> bool {
        self.stage() == Stage::Serving && self.hall.call(|_, _, hands| !hands.hosts.is_empty())
    }
}

/// Counts a connection among the strangers for as long as it is waited on as one.
struct Stranger<'a>(&'a Door);

impl Stranger<'_> {
    fn count(door: &Door) -> Stranger<'_> {
        door.strangers.set(door.strangers.get() + 1);
        Stranger(door)
    }
}

impl Drop for Stranger<'_> {
    fn drop(&mut self) {
        self.0.strangers.set(self.0.strangers.get() - 1);
    }
}

struct Seat(Rc<Door>);

impl Seat {
    fn take(door: &Rc<Door>) -> Seat {
        door.open.set(door.open.get() + 1);
        Seat(door.clone())
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// Accepts until nothing new is taken any more, and then what the system had accepted by then.
pub async fn listen(door: Rc<Door>, listener: Rc<TcpListener>) {
    let mut stage = door.stage.clone();
    loop {
        let stream = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            _ = stage.wait_for(|stage| *stage == Stage::Left) => return,
        };
        match stream {
            Ok((stream, _)) => drop(spawn_local(serve(Seat::take(&door), stream))),
            Err(e) => {
                log::warn!("accept: {e}");
                sleep(Duration::from_millis(10)).await;
            }
        }
        while door.open.get() >= door.most {
            door.make_room();
            sleep(Duration::from_millis(1)).await;
        }
    }
}

async fn serve(seat: Seat, stream: TcpStream) {
    let door = seat.0.clone();
    stream.set_nodelay(true).ok();
    let mut framed = Framed::new(stream, ClientSide::new(door.hall.told.clone()));
    let mut stage = door.stage.clone();
    let mut known = false;
    loop {
        let stranger = (!known).then(|| Stranger::count(&door));
        let asked = tokio::select! {
            biased;
            asked = framed.next() => match asked {
                Some(Ok(asked)) => asked,
                _ => return,
            },
            _ = door.make_room[usize::from(known)].notified() => return,
            _ = stage.wait_for(|stage| *stage == Stage::Left) => return,
            _ = sleep(SILENT) => return,
        };
        drop(stranger);
        known = true;
        let Asked { what, close } = asked;
        let admitted = match what {
            What::Up => Err(Answer::Up(door.up())),
            What::Bad(status) => Err(Answer::Bad(status)),
            What::Inquiry(call) => admit(&door.hall, *call).ok_or(Answer::Bad(409)),
        };
        let mut answer = match admitted {
            Err(answer) => answer,
            Ok(mut admitted) => tokio::select! {
                biased;
                answer = &mut admitted.answer => match answer {
                    Ok(answer) => answer,
                    Err(_) => return,
                },
                // Its inquiry, and with it what hosts do for it, is dropped here.
                _ = wait_for_disconnect(&mut framed, READ_AHEAD) => return,
            },
        };
        // An inquiry that was sent early is answered before its connection ends.
        let early = !framed.read_buffer().is_empty();
        // Bad input ends its connection, whatever else was sent on it: floods of it cost one answer a connection.
        let bad = matches!(answer, Answer::Bad(_));
        let close = bad || !early && (close || door.stage() != Stage::Serving);
        let _held = if let Answer::Honoured { held, .. } = &mut answer { held.take() } else { None };
        match timeout(UNREAD, framed.send((answer, close))).await {
            // A large answer's buffer is not kept for as long as the connection.
            Ok(Ok(())) if !close && framed.write_buffer().capacity() > LARGE => {
                *framed.write_buffer_mut() = BytesMut::new();
            }
            Ok(Ok(())) if !close => {}
            Ok(Ok(())) if bad => return linger(framed.into_inner()).await,
            _ => return,
        }
    }
}

/// Reads on for a moment after the last answer: closing with bytes unread would take the answer back.
async fn linger(mut stream: TcpStream) {
    const MOST: usize = 1 << 20;
    let read_on = async {
        stream.shutdown().await?;
        let (mut buffer, mut seen) = ([0; 4096], 0);
        while seen < MOST {
            match stream.read(&mut buffer).await? {
                0 => break,
                read => seen += read,
            }
        }
        std::io::Result::Ok(())
    };
    timeout(Duration::from_secs(1), read_on).await.ok();
}
