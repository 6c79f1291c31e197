//! One exchange with a host: sends the request on a connection and receives the response.
//!
//! If the client disconnects before anything is sent, nothing is sent. Later, the exchange of an idempotent request is
//! cancelled by closing the connection, so that the host can stop working on it; any other exchange runs to its end.
//!
//! Invariants: a request is sent once; a response is used only if it is complete and has the request's own id and, with a
//! 2xx status, the host's seal.

use crate::attempt_progress::AttemptProgress;
use crate::client_presence::ClientPresence;
use crate::data_plane::DataPlane;
use crate::deadline::remaining_millis;
use crate::protocol::{self, append_header, response_header};
use archlink_balancer::balancer::SelectedHost;
use archlink_http::codec::{ClientCodec, HeaderValue, HostResponse, OutgoingRequest, Request};
use archlink_http::connection_pool::Connection;
use futures_util::{SinkExt, StreamExt};
use std::fmt;
use std::io;
use tokio::time::{Instant, timeout_at};

/// Maximum number of responses read for one request; if all of them belong to other requests, the attempt fails.
const MAX_UNMATCHED_RESPONSES: usize = 4;

/// A client's request to be sent to hosts.
pub struct UpstreamRequest {
    /// The request as received from the client.
    pub request: Request,
    /// The request's `Attempt-Id`, which the response has to repeat.
    pub id: String,
    /// Header lines that are the same for all attempts.
    pub header_lines: Vec<u8>,
    /// The value of the `Host` header.
    pub origin: String,
    /// Whether the client is still connected.
    pub client: ClientPresence,
    /// Whether the request may be executed more than once, and so its attempts may be cancelled.
    pub idempotent: bool,
}

/// An attempt without a usable response.
#[derive(Debug)]
pub struct AttemptFailure {
    /// How far the attempt progressed.
    pub progress: AttemptProgress,
    /// Why it failed.
    pub cause: FailureCause,
}

/// Why an attempt failed without a usable response.
#[derive(Debug)]
pub enum FailureCause {
    /// The client disconnected.
    ClientDisconnected,
    /// The deadline passed before a connection was established.
    DeadlineExceeded,
    /// While the connection was being established, the host became unavailable or the deadline passed.
    NoLongerAllowed,
    /// The connection failed or was closed before a complete response.
    Io(io::Error),
    /// The response has a `Content-Encoding`, which hosts never use.
    EncodedBody,
    /// A 2xx response lacks the host's seal.
    MissingSeal,
    /// Only responses to other requests were received.
    UnmatchedResponses,
}

impl fmt::Display for FailureCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            FailureCause::ClientDisconnected => "the client disconnected",
            FailureCause::DeadlineExceeded => "no connection established before the deadline",
            FailureCause::NoLongerAllowed => {
                "host became unavailable or deadline passed before the request was sent"
            }
            FailureCause::Io(e) => return e.fmt(f),
            FailureCause::EncodedBody => "the response has a Content-Encoding",
            FailureCause::MissingSeal => "the 2xx response has no Server-Seal",
            FailureCause::UnmatchedResponses => "only responses with the Attempt-Id of other requests",
        })
    }
}

impl std::error::Error for FailureCause {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            FailureCause::Io(e) => Some(e),
            _ => None,
        }
    }
}

impl AttemptProgress {
    fn with_cause(self, cause: FailureCause) -> AttemptFailure {
        AttemptFailure { progress: self, cause }
    }
}

/// Connects to the host, sends the request and receives the response.
///
/// # Errors
///
/// Returns how far the attempt progressed and why it failed, if there is no usable response.
pub async fn exchange(
    data_plane: &DataPlane,
    host: &SelectedHost,
    outgoing: &UpstreamRequest,
    deadline: Instant,
) -> Result<HostResponse, AttemptFailure> {
    let client = &outgoing.client;
    let cancelled_before_send =
        || AttemptProgress::CancelledBeforeSend.with_cause(FailureCause::ClientDisconnected);
    let connected = client.unless_disconnected(connect(data_plane, host, client, deadline)).await;
    let connection = connected.unwrap_or_else(|| Err(cancelled_before_send()))?;
    if client.is_disconnected() {
        data_plane.pool.put_back(host.key, connection);
        return Err(cancelled_before_send());
    }
    // Checked again, because it may have taken a while to open a new connection.
    if !data_plane.balancer.borrow().is_available(host.key) || Instant::now() >= deadline {
        return Err(AttemptProgress::NotConnected.with_cause(FailureCause::NoLongerAllowed));
    }
    let mut header_lines = outgoing.header_lines.clone();
    append_header(&mut header_lines, protocol::TIME_REMAINING, &remaining_millis(deadline).to_string());
    append_header(&mut header_lines, protocol::TARGET_INSTANCE, &host.id);
    let Request { method, target, body, .. } = &outgoing.request;
    let request =
        OutgoingRequest { method, target, host: &outgoing.origin, header_lines: &header_lines, body };
    let round_trip = round_trip(data_plane, host.key, connection, request, &outgoing.id);
    if !outgoing.idempotent {
        return round_trip.await;
    }
    let finished = client.unless_disconnected(round_trip).await;
    let cancelled_after_send =
        || AttemptProgress::CancelledAfterSend.with_cause(FailureCause::ClientDisconnected);
    finished.unwrap_or_else(|| Err(cancelled_after_send()))
}

/// Takes a pooled connection to the host or opens a new one.
async fn connect(
    data_plane: &DataPlane,
    host: &SelectedHost,
    client: &ClientPresence,
    deadline: Instant,
) -> Result<Connection<ClientCodec>, AttemptFailure> {
    if let Some(connection) = data_plane.pool.take(host.key, host.address.into()) {
        return Ok(connection);
    }
    let not_connected = |cause| AttemptProgress::NotConnected.with_cause(cause);
    let opened = timeout_at(deadline, data_plane.pool.open(host.address.into())).await;
    let connection = opened
        .map_err(|_| not_connected(FailureCause::DeadlineExceeded))?
        .map_err(|e| not_connected(FailureCause::Io(e)))?;
    client.refresh().await;
    Ok(connection)
}

/// Sends the request and receives its response. The connection is returned to the pool only after a complete response with
/// the request's own id, and only if nothing else was received before or after that response. Otherwise, also if this
/// future is dropped, the connection is closed.
async fn round_trip(
    data_plane: &DataPlane,
    host_key: u64,
    mut connection: Connection<ClientCodec>,
    request: OutgoingRequest<'_>,
    id: &str,
) -> Result<HostResponse, AttemptFailure> {
    send(&mut connection, request).await?;
    let no_response = |cause| AttemptProgress::NoResponse.with_cause(cause);
    let broken = |e: io::Error| no_response(FailureCause::Io(e));
    for unmatched in 0..MAX_UNMATCHED_RESPONSES {
        let response = match connection.framed.next().await {
            Some(response) => response.map_err(broken)?,
            None => return Err(broken(io::ErrorKind::UnexpectedEof.into())),
        };
        if response.fields[response_header::ATTEMPT_ID].once() != Some(id) {
            // A late response to an earlier request. The response to this one may still follow.
            continue;
        }
        validate(&response).map_err(no_response)?;
        if response.reusable && unmatched == 0 && connection.framed.read_buffer().is_empty() {
            data_plane.pool.put(host_key, connection, response.idle_timeout);
        }
        return Ok(response);
    }
    Err(no_response(FailureCause::UnmatchedResponses))
}

/// Sends the whole request. An error tells whether the socket had accepted any byte: that byte may have been delivered,
/// whatever the socket reports later.
async fn send(
    connection: &mut Connection<ClientCodec>,
    request: OutgoingRequest<'_>,
) -> Result<(), AttemptFailure> {
    // Writes nothing to the socket yet: the write buffer is empty between requests, so this only fills it.
    let fed = connection.framed.feed(request).await;
    fed.map_err(|e| AttemptProgress::NothingSent.with_cause(FailureCause::Io(e)))?;
    let total = connection.framed.write_buffer().len();
    let flushed = SinkExt::<OutgoingRequest<'_>>::flush(&mut connection.framed).await;
    let sent = total - connection.framed.write_buffer().len();
    flushed.map_err(|e| {
        let progress = if sent == 0 { AttemptProgress::NothingSent } else { AttemptProgress::PartiallySent };
        progress.with_cause(FailureCause::Io(e))
    })
}

/// Validates a response that has the request's own id.
fn validate(response: &HostResponse) -> Result<(), FailureCause> {
    if response.fields[response_header::CONTENT_ENCODING] != HeaderValue::Absent {
        return Err(FailureCause::EncodedBody);
    }
    let success = (200..300).contains(&response.status);
    if success && response.fields[response_header::SERVER_SEAL].once().is_none() {
        return Err(FailureCause::MissingSeal);
    }
    Ok(())
}
