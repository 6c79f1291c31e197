//! One exchange with a host: a request or probe written to a connection, and the reply read from it. Nothing is sent a
//! second time here; how far a failed exchange came is part of its error.

use crate::http::{HostCodec, HostMessage, HostReply, LARGE_BUFFER};
use archlink_admission::interface::HostId;
use archlink_http::connection_pool::{Connection, ConnectionPool};
use bytes::BytesMut;
use futures_util::{SinkExt, StreamExt};
use std::future::poll_fn;
use std::{fmt, io};

/// Pooled connections to hosts.
pub type HostConnections = ConnectionPool<HostCodec>;

/// How far an exchange came before it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The request was not written completely: the host cannot have begun it.
    NotSent,
    /// Its last byte was written: it may have run.
    Sent,
}

/// A failed exchange.
#[derive(Debug)]
pub struct ExchangeError {
    /// How far it came.
    pub progress: Progress,
    /// Why it failed.
    pub cause: io::Error,
}

impl ExchangeError {
    /// Failed before the last byte was written.
    pub fn not_sent(cause: io::Error) -> ExchangeError {
        ExchangeError { progress: Progress::NotSent, cause }
    }

    /// Failed after that.
    pub fn sent(cause: io::Error) -> ExchangeError {
        ExchangeError { progress: Progress::Sent, cause }
    }
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.cause.fmt(f)
    }
}

impl std::error::Error for ExchangeError {}

/// Writes the message and reads its reply; the connection goes back to the pool if it can serve another exchange.
/// `reply_started` is called whenever a part of a reply has arrived and the rest is waited for.
pub async fn exchange(
    connections: &HostConnections,
    host: HostId,
    mut connection: Connection<HostCodec>,
    message: HostMessage<'_>,
    mut reply_started: impl FnMut(),
) -> Result<HostReply, ExchangeError> {
    connection.framed.send(message).await.map_err(ExchangeError::not_sent)?;
    let reply = poll_fn(|context| {
        let polled = connection.framed.poll_next_unpin(context);
        let started =
            connection.framed.codec().reply_started() || !connection.framed.read_buffer().is_empty();
        if polled.is_pending() && started {
            reply_started();
        }
        polled
    });
    let reply = match reply.await {
        Some(reply) => reply,
        None => Err(io::ErrorKind::UnexpectedEof.into()),
    };
    let reply = reply.map_err(ExchangeError::sent)?;
    if reply.keep_alive && connection.framed.read_buffer().is_empty() {
        if reply.body.len() > LARGE_BUFFER {
            *connection.framed.read_buffer_mut() = BytesMut::new();
        }
        connections.put(host, connection, None);
    }
    Ok(reply)
}
