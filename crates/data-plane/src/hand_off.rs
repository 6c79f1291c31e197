//! One hand-off on one connection to a host, from the first byte to the last. Where its client leaves, nothing more is sent,
//! and a host at work on what may be repeated is let go by closing its connection; what may not be repeated is carried to
//! its end whoever still waits for it. Owns the host protocol's names. Must never try twice, nor take for an answer what does
//! not carry the request's own id, the host's seal and its whole body.

use crate::attempts::Came;
use crate::client::Client;
use crate::gateway::Gateway;
use crate::metrics::DepartedEnd;
use archlink_balancer::balancer::{AttemptEnd, SelectedHost};
use archlink_http::codec::{ClientCodec, HostResponse, OutgoingRequest, Request};
use archlink_http::connection_pool::Connection;
use futures_util::{SinkExt, StreamExt};
use std::io;
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

/// What is read of a host's answer; its other headers are passed on.
pub const READ: &[&str] = &["attempt-id", "server-seal", "not-executed", "server-load", "content-encoding"];
const ATTEMPT_ID: usize = 0;
const SERVER_SEAL: usize = 1;
const NOT_EXECUTED: usize = 2;
const SERVER_LOAD: usize = 3;
const CONTENT_ENCODING: usize = 4;

/// Surplus answers in the place of the one that is due, before the connection counts as lost.
const MOST_SURPLUS: usize = 4;

/// A client's request as it goes to hosts.
pub struct Outgoing {
    pub request: Request,
    pub id: String,
    /// Header lines beside those that differ from host to host.
    pub lines: Vec<u8>,
    pub origin: String,
    pub client: Client,
    /// It may run more than once, and so may be broken off.
    pub repeatable: bool,
}

/// One hand-off that was decided on.
pub struct HandOff {
    pub to: SelectedHost,
    /// The service whose host that is.
    pub service: String,
    /// When the request's time is up.
    pub until: Instant,
    pub outgoing: Rc<Outgoing>,
}

/// What came of a hand-off.
pub struct Outcome {
    pub came: Came,
    pub reply: Option<HostResponse>,
}

fn load(text: &str) -> Option<(f64, f64, f64)> {
    let mut parts = text.split(',').map(|part| part.trim().parse::<f64>().ok().filter(|n| n.is_finite()));
    Some((parts.next()??, parts.next()??, parts.next()??))
}

/// How far it came without an answer, and why.
type Broken = (Came, io::Error);

fn nowhere(why: io::ErrorKind) -> Broken {
    (Came::Nowhere, io::Error::from(why))
}

/// A connection to the host, kept or new.
async fn connect(
    gateway: &Gateway,
    to: &SelectedHost,
    client: &Client,
    until: Instant,
) -> Result<Connection<ClientCodec>, Broken> {
    if let Some(line) = gateway.kept.take(to.key, to.address.into()) {
        return Ok(line);
    }
    let opened = timeout_at(until, gateway.kept.open(to.address.into())).await;
    let line = opened.map_err(|_| nowhere(io::ErrorKind::TimedOut))?.map_err(|e| (Came::Nowhere, e))?;
    client.look_again().await;
    Ok(line)
}

async fn exchange(
    gateway: &Gateway,
    to: &SelectedHost,
    outgoing: &Outgoing,
    until: Instant,
) -> Result<HostResponse, Broken> {
    let Outgoing { client, .. } = outgoing;
    let left = |came: Came| (came, io::Error::other("its client has left"));
    let connected = client.unless_departed(connect(gateway, to, client, until)).await;
    let line = connected.unwrap_or_else(|| Err(left(Came::Withdrawn)))?;
    if client.has_departed() {
        gateway.kept.put_back(to.key, line);
        return Err(left(Came::Withdrawn));
    }
    // A new connection took its time: what is no longer allowed is not sent.
    if !gateway.balancer.borrow().is_listed(to.key) || Instant::now() >= until {
        return Err(nowhere(io::ErrorKind::Interrupted));
    }
    let remaining = (until - Instant::now()).as_millis().max(1);
    let mut lines = outgoing.lines.clone();
    let own = format!("Time-Remaining: {remaining}\r\nTarget-Instance: {}\r\n", to.id);
    lines.extend_from_slice(own.as_bytes());
    let Request { method, target, body, .. } = &outgoing.request;
    let sending = OutgoingRequest { method, target, host: &outgoing.origin, lines: &lines, body };
    let spoken = speak(gateway, to.key, line, sending, &outgoing.id);
    if outgoing.repeatable {
        let spoken = client.unless_departed(spoken).await;
        spoken.unwrap_or_else(|| Err(left(Came::Abandoned)))
    } else {
        spoken.await
    }
}

/// Sends all of it or says how far it came: a socket that took a byte may have passed it on, whatever it says later.
async fn send(line: &mut Connection<ClientCodec>, sending: OutgoingRequest<'_>) -> Result<(), Broken> {
    // Nothing is written yet: the buffer of a connection between two requests is empty.
    line.framed.feed(sending).await.map_err(|e| (Came::Untouched, e))?;
    let whole = line.framed.write_buffer().len();
    let flushed = SinkExt::<OutgoingRequest<'_>>::flush(&mut line.framed).await;
    let taken = whole - line.framed.write_buffer().len();
    flushed.map_err(|e| (if taken == 0 { Came::Untouched } else { Came::Halfway }, e))
}

/// One request and its answer. The connection is kept after its own whole answer alone, and only if nothing else came
/// before it or with it; in all other ends, and when nobody waits for it any more, it closes with this call.
async fn speak(
    gateway: &Gateway,
    key: u64,
    mut line: Connection<ClientCodec>,
    sending: OutgoingRequest<'_>,
    id: &str,
) -> Result<HostResponse, Broken> {
    send(&mut line, sending).await?;
    let lost = |cause: io::Error| (Came::Unanswered, cause);
    let unfit = |text: &str| lost(io::Error::new(io::ErrorKind::InvalidData, text.to_string()));
    for surplus in 0..MOST_SURPLUS {
        let reply = match line.framed.next().await {
            Some(reply) => reply.map_err(lost)?,
            None => return Err(lost(io::ErrorKind::UnexpectedEof.into())),
        };
        if reply.fields[ATTEMPT_ID].once() != Some(id) {
            // Somebody else's, come late: it is nobody's now. The own one may still follow.
            continue;
        }
        let whole = (200..300).contains(&reply.status);
        if reply.fields[CONTENT_ENCODING] != Default::default() {
            return Err(unfit("an encoded body is not the host's"));
        }
        if whole && reply.fields[SERVER_SEAL].once().is_none() {
            return Err(unfit("an answer without its seal"));
        }
        if reply.keep && surplus == 0 && line.framed.read_buffer().is_empty() {
            gateway.kept.put(key, line, reply.idle);
        }
        return Ok(reply);
    }
    Err(unfit("only other requests' answers"))
}

/// Carries one hand-off to its end, tells the berth, and whoever still waits.
pub async fn carry(gateway: Rc<Gateway>, order: HandOff, done: mpsc::Sender<Outcome>) {
    let HandOff { to, service, until, outgoing } = order;
    let began = gateway.clock.now();
    let ended = timeout_at(until, exchange(&gateway, &to, &outgoing, until)).await;
    let (came, end, reply) = match ended {
        Ok(Ok(reply)) => {
            let load = reply.fields[SERVER_LOAD].once().and_then(load);
            let declined = reply.fields[NOT_EXECUTED].once() == Some("1");
            let end = match reply.status {
                421 => AttemptEnd::Misdirected,
                _ if declined => AttemptEnd::Full(load),
                500.. => AttemptEnd::Failed(load),
                _ => AttemptEnd::Answered(load),
            };
            (Came::Answered { status: reply.status, declined }, end, Some(reply))
        }
        Ok(Err((came, cause))) => {
            log::debug!("host {}: {cause}", to.id);
            let end = match came {
                Came::Withdrawn => AttemptEnd::Withdrawn,
                Came::Abandoned => AttemptEnd::Abandoned,
                Came::Nowhere | Came::Untouched => AttemptEnd::ConnectFailed,
                _ => AttemptEnd::Broken,
            };
            (came, end, None)
        }
        Err(_) => (Came::TimeUp, AttemptEnd::TimedOut, None),
    };
    if end == AttemptEnd::ConnectFailed || end == AttemptEnd::TimedOut {
        gateway.kept.forget(to.key);
    }
    if let Some(after) = outgoing.client.gone_for() {
        let how = match came {
            Came::Withdrawn => DepartedEnd::Withdrawn,
            Came::Abandoned => DepartedEnd::BrokenOff,
            _ => DepartedEnd::Finished,
        };
        gateway.metrics.departed_hand_off(&service, how, after);
    }
    let now = gateway.clock.now();
    gateway.balancer.borrow_mut().attempt_ended(now, to.key, now - began, end);
    done.try_send(Outcome { came, reply }).ok();
}

/// The host's answer as the client gets it.
pub fn relayed(reply: HostResponse) -> archlink_http::codec::Response {
    let mut lines = Vec::with_capacity(reply.passed.len() + 96);
    for (name, field) in [("Attempt-Id", ATTEMPT_ID), ("Server-Seal", SERVER_SEAL)] {
        if let Some(text) = reply.fields[field].once() {
            lines.extend_from_slice(format!("{name}: {text}\r\n").as_bytes());
        }
    }
    lines.extend_from_slice(&reply.passed);
    archlink_http::codec::Response { status: reply.status, lines, body: reply.body, close: false }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_load_is_three_numbers() {
        assert_eq!(load("3, 0,8"), Some((3.0, 0.0, 8.0)));
        for bad in ["", "3", "3,0", "a,b,c", "inf,0,1"] {
            assert_eq!(load(bad), None, "{bad}");
        }
    }
}
