//! Fourth stage: one hand-off, or probe, on one connection to a host. Owns what is said on it; the connections between
//! hand-offs are the library's. Must never try twice, choose another host or wait longer than it was told: how far it
//! came is its result, and a connection that is called off is closed.

use crate::book::{Owed, OwedProbe};
use crate::http::{Call, HostSide, Reply, Sending};
use crate::take_in::LARGE;
use archlink_admission::interface::HostId;
use archlink_http::connection_pool::Connection;
use bytes::BytesMut;
use futures_util::{SinkExt, StreamExt};
use std::cell::Cell;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep_until, timeout};

/// How far a hand-off had come when it broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// Not written whole: the host has never begun.
    Unwritten,
    /// Its last byte was written: it may have run.
    Written,
}

#[derive(Debug)]
pub struct Broken {
    pub reach: Reach,
    pub cause: io::Error,
}

/// How a hand-off ended.
#[derive(Debug)]
pub enum Ending {
    Replied(Reply),
    Broken(Broken),
    TimeUp,
    CalledOff,
}

#[derive(Clone, Copy, Debug)]
pub struct Job {
    pub inquiry: u32,
    pub nth: u16,
    pub host: HostId,
    pub address: Option<SocketAddr>,
    pub until: f64,
    pub at: f64,
}

pub type Kept = archlink_http::connection_pool::ConnectionPool<HostSide>;

/// `began` is called where a reply has begun and the rest of it is waited for.
async fn exchange(
    kept: &Kept,
    host: HostId,
    mut line: Connection<HostSide>,
    what: Sending<'_>,
    mut began: impl FnMut(),
) -> Result<Reply, Broken> {
    line.framed.send(what).await.map_err(|cause| Broken { reach: Reach::Unwritten, cause })?;
    let reply = poll_fn(|context| {
        let polled = line.framed.poll_next_unpin(context);
        if polled.is_pending() && (line.framed.codec().begun() || !line.framed.read_buffer().is_empty()) {
            began();
        }
        polled
    });
    let reply = match reply.await {
        Some(reply) => reply,
        None => Err(io::ErrorKind::UnexpectedEof.into()),
    };
    let reply = reply.map_err(|cause| Broken { reach: Reach::Written, cause })?;
    if reply.keep && line.framed.read_buffer().is_empty() {
        if reply.body.len() > LARGE {
            *line.framed.read_buffer_mut() = BytesMut::new();
        }
        kept.put(host, line, None);
    }
    Ok(reply)
}

async fn deliver(owed: &Owed, call: &Call, begun: &Cell<bool>) -> Result<Reply, Broken> {
    let unwritten = |cause| Broken { reach: Reach::Unwritten, cause };
    let (hall, job) = (&owed.hall, owed.job);
    let Some(address) = job.address else { return Err(unwritten(io::ErrorKind::AddrNotAvailable.into())) };
    let line = match hall.kept.take(job.host, address) {
        Some(line) => line,
        None => hall.kept.open(address).await.map_err(unwritten)?,
    };
    let (host, wait) = (address.to_string(), (job.until - hall.clock.now()).max(0.001));
    let began = || {
        if !begun.replace(true) {
            hall.call(|module, now, hands| module.response_started(now, hands, job.inquiry, job.nth));
        }
    };
    exchange(&hall.kept, job.host, line, Sending::HandOff { call, host: &host, wait }, began).await
}

pub async fn hand_off(owed: Owed, call: Option<Rc<Call>>, cancelled: oneshot::Receiver<()>) {
    let until = owed.hall.clock.instant(owed.job.until);
    let Some(call) = call.filter(|_| until > Instant::now()) else { return owed.never() };
    let begun = Cell::new(false);
    // A reply that began and did not end is a spoilt one, whoever stopped waiting for it.
    let unless_begun = |ending| match begun.get() {
        true => Ending::Broken(Broken { reach: Reach::Written, cause: io::ErrorKind::UnexpectedEof.into() }),
        false => ending,
    };
    let ending = tokio::select! {
        biased;
        reply = deliver(&owed, &call, &begun) => match reply {
            Ok(reply) => Ending::Replied(reply),
            Err(broken) => Ending::Broken(broken),
        },
        _ = cancelled => unless_begun(Ending::CalledOff),
        _ = sleep_until(until) => unless_begun(Ending::TimeUp),
    };
    // Silent or gone: what else is kept to that host is no better.
    let lost = matches!(&ending, Ending::TimeUp | Ending::Broken(Broken { reach: Reach::Unwritten, .. }));
    if lost {
        owed.hall.kept.forget(owed.job.host);
    }
    owed.ended(ending);
}

/// On a connection of its own, so that it tells whether new ones come up; as long for the answer as for that.
pub async fn probe(owed: OwedProbe, address: Option<SocketAddr>) {
    let Some(address) = address else { return };
    let (kept, host, id) = (owed.hall.kept.clone(), address.to_string(), owed.host);
    let ask = async {
        let line = kept.open(address).await.map_err(|cause| Broken { reach: Reach::Unwritten, cause })?;
        exchange(&kept, id, line, Sending::Probe { host: &host }, || ()).await
    };
    let reply = timeout(kept.connect() * 2, ask).await;
    owed.ended(reply.ok().and_then(Result::ok));
}
