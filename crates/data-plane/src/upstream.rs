//! One exchange with a host on one connection, from the first byte of the request to the last of the response.
//!
//! Where its client disconnects, nothing more is sent, and a host that executes an idempotent request is released by
//! closing its connection; what is not idempotent is carried to its end whoever still waits.
//!
//! Invariants: a request is sent once; a response counts only if it carries the request's own id, the host's seal where
//! it is a 2xx, and its complete body.

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

/// Unmatched responses in the place of the one that is due, before the connection counts as broken.
const MAX_UNMATCHED_RESPONSES: usize = 4;

/// A client's request as it goes to hosts.
pub struct UpstreamRequest {
    /// As it came from the client.
    pub request: Request,
    /// Its `Attempt-Id`, which the response has to carry.
    pub id: String,
    /// Header lines, without those that differ from host to host.
    pub header_lines: Vec<u8>,
    /// The value of its `Host` header.
    pub origin: String,
    /// Whether its client still waits.
    pub client: ClientPresence,
    /// It may be executed more than once, and so may be cancelled.
    pub idempotent: bool,
}

/// An attempt without a usable response.
#[derive(Debug)]
pub struct AttemptFailure {
    /// How far it came.
    pub progress: AttemptProgress,
    /// Why it came no further.
    pub cause: FailureCause,
}

/// Why an attempt has no usable response.
#[derive(Debug)]
pub enum FailureCause {
    /// The client disconnected.
    ClientDisconnected,
    /// The deadline passed before a connection was open.
    DeadlineExceeded,
    /// The host was removed from the list, or the deadline passed, while a connection opened.
    NoLongerAllowed,
    /// The connection failed, or was closed before a complete response.
    Io(io::Error),
    /// The response's body is encoded: hosts encode none.
    EncodedBody,
    /// A 2xx response without the host's seal.
    MissingSeal,
    /// Only responses to other requests came.
    UnmatchedResponses,
}

impl fmt::Display for FailureCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            FailureCause::ClientDisconnected => "the client disconnected",
            FailureCause::DeadlineExceeded => "no connection before the deadline",
            FailureCause::NoLongerAllowed => "host removed or deadline passed before the request was sent",
            FailureCause::Io(e) => return e.fmt(f),
            FailureCause::EncodedBody => "the response has a Content-Encoding",
            FailureCause::MissingSeal => "a 2xx response without Server-Seal",
            FailureCause::UnmatchedResponses => "only responses with other requests' Attempt-Id",
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

/// Connects, sends the request and receives its response.
///
/// # Errors
/// How far it came without one, and why.
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
    // A new connection took its time: what is no longer allowed is not sent.
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

/// A connection to the host, pooled or new.
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
    client.recheck().await;
    Ok(connection)
}

/// One request and its response. The connection is pooled after its own complete response alone, and only if nothing
/// else came before or with it; in all other ends, and when this future is dropped, it is closed.
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
            // A late response to another request, of use to nobody now. The own one may still follow.
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

/// Sends the whole request or says how far it came: a socket that took a byte may have passed it on, whatever it reports
/// later.
async fn send(
    connection: &mut Connection<ClientCodec>,
    request: OutgoingRequest<'_>,
) -> Result<(), AttemptFailure> {
    // Nothing is written yet: the buffer of a connection between two requests is empty.
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

/// Whether a response under the request's own id is the host's.
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
