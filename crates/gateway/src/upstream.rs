//! One exchange with a host: writes a request or probe to a connection and reads the reply. Nothing is retried here;
//! the error of a failed exchange states whether the request may have run.

use crate::http::{HostCodec, HostMessage, HostReply, LARGE_BUFFER};
use archlink_admission::interface::HostId;
use archlink_http::connection_pool::{Connection, ConnectionPool};
use bytes::BytesMut;
use futures_util::{SinkExt, StreamExt};
use std::future::poll_fn;
use std::{fmt, io};

/// Pooled connections to hosts.
pub type HostConnections = ConnectionPool<HostCodec>;

/// How far an exchange had progressed when it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The request was not completely written, so the host cannot have started it.
    NotSent,
    /// The request's last byte was written, so it may have run.
    Sent,
}

/// The error of a failed exchange.
#[derive(Debug)]
pub struct ExchangeError {
    /// How far the exchange had progressed.
    pub progress: Progress,
    /// Why it failed.
    pub cause: io::Error,
}

impl ExchangeError {
    /// A failure before the request's last byte was written.
    pub fn not_sent(cause: io::Error) -> ExchangeError {
        ExchangeError { progress: Progress::NotSent, cause }
    }

    /// A failure after the request's last byte was written.
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

/// Writes the message and reads its reply. The connection returns to the pool if it can serve another exchange.
/// `reply_started` is called each time the reply is still incomplete after a part of it has arrived.
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
