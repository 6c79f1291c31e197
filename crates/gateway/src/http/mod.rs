//! Two HTTP/1.1 codecs: [`ClientCodec`] decodes client requests and encodes answers, [`HostCodec`] encodes requests
//! to hosts and decodes their replies. Each message is decoded once into a typed value and encoded once. Nothing here
//! holds a connection, reads a clock or makes decisions about a request.
//!
//! The framing (header lines, lengths, chunked coding) is [`archlink_http::frame`]'s. The codecs of
//! [`archlink_http::codec`] are not used: they reject head lines that end without CR, which this program accepts, and
//! they return header fields as owned text, whereas the codecs here parse them in place.

mod client_codec;
mod host_codec;
mod request_parsing;
#[cfg(test)]
mod tests;

pub use client_codec::ClientCodec;
pub use host_codec::HostCodec;

use archlink_admission::interface::{Load, Request};
use archlink_http::frame::ReservedBytes;
use bytes::Bytes;
use std::fmt;
use std::io;
use std::rc::Rc;

/// Largest body of the client protocol, in bytes. A host's reply may be larger if memory can be reserved for it.
const MAX_BODY: usize = 64 * 1024;
/// Largest head, in bytes; common servers have the same limit.
const MAX_HEAD: usize = 16 * 1024;
/// Maximum number of header lines in a head.
const MAX_HEADERS: usize = 64;
/// A connection's buffer that has grown beyond this many bytes is released after use.
pub const LARGE_BUFFER: usize = 32 * 1024;

/// A client's request.
#[derive(Debug)]
pub struct ClientRequest {
    /// The client's identifier of the request.
    pub id: Rc<str>,
    /// The request as the admission module takes it, without its number.
    pub request: Request,
    /// `GET` or `POST`.
    pub method: &'static str,
    /// Path and query, as received.
    pub target: String,
    /// Header lines to forward to the host, as received.
    pub forwarded: Vec<u8>,
    /// The body.
    pub body: Bytes,
}

/// Why this gateway answers a client's message with a 4xx status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidRequest {
    /// The message is not HTTP, or a field is missing or out of range.
    Malformed,
    /// No request class has this path.
    UnknownClass,
    /// The request class requires another method.
    WrongMethod,
    /// A request with this identifier is open or was closed a moment ago.
    DuplicateId,
    /// The body is too large.
    BodyTooLarge,
    /// The head is too large or has too many lines.
    HeadTooLarge,
}

impl InvalidRequest {
    /// Returns the status of the answer.
    pub fn status(self) -> u16 {
        match self {
            InvalidRequest::Malformed => 400,
            InvalidRequest::UnknownClass => 404,
            InvalidRequest::WrongMethod => 405,
            InvalidRequest::DuplicateId => 409,
            InvalidRequest::BodyTooLarge => 413,
            InvalidRequest::HeadTooLarge => 431,
        }
    }
}

/// A message from a client.
#[derive(Debug)]
pub enum ClientMessage {
    /// A check whether this gateway is ready.
    ReadinessCheck,
    /// A request.
    Request(Box<ClientRequest>),
    /// An invalid message, which is answered with a 4xx status.
    Invalid(InvalidRequest),
}

/// A decoded message, and whether its connection is closed after the answer.
#[derive(Debug)]
pub struct Received {
    /// The message.
    pub message: ClientMessage,
    /// Whether the client asked to close the connection after the answer, or the message requires it.
    pub close: bool,
}

/// An answer to a client.
#[derive(Debug)]
pub enum Answer {
    /// A host's reply, unchanged.
    Answered {
        /// The host's header lines, as received.
        forwarded: Vec<u8>,
        /// The body.
        body: Bytes,
        /// The memory reservation of a large body, held until the client has received the body.
        reserved: Option<ReservedBytes>,
    },
    /// The request was rejected and did not run.
    Rejected {
        /// Seconds after which the client may retry; 0 sends no `Retry-After`.
        retry_after: f64,
    },
    /// The request failed and may have run.
    Aborted,
    /// Whether this gateway is ready.
    Readiness(bool),
    /// The message was invalid.
    Invalid(InvalidRequest),
}

/// A message to a host.
pub enum HostMessage<'a> {
    /// A client's request.
    Attempt {
        /// The request.
        request: &'a ClientRequest,
        /// Value of the header field `Host`: the host's address.
        host_header: &'a str,
        /// Seconds for which the gateway waits for the reply.
        remaining: f64,
    },
    /// A health probe of the host.
    Probe {
        /// Value of the header field `Host`: the host's address.
        host_header: &'a str,
    },
}

/// A host's reply.
#[derive(Debug, Default)]
pub struct HostReply {
    /// The status code.
    pub status: u16,
    /// Whether the host states that it did not run the request.
    pub declined: bool,
    /// The host's load report.
    pub load: Load,
    /// Units that the request actually used; 0 if the host does not report them.
    pub units: f64,
    /// Header lines to forward to the client, as received.
    pub forwarded: Vec<u8>,
    /// The body.
    pub body: Bytes,
    /// The memory reservation of a large body.
    pub reserved: Option<ReservedBytes>,
    /// Whether the connection can serve another exchange.
    pub keep_alive: bool,
}

/// Parses a finite number of at least 0.
fn parse_number(text: &str) -> Option<f64> {
    text.parse().ok().filter(|number: &f64| number.is_finite() && *number >= 0.0)
}

/// Converts a failure to format a message into a buffer.
fn write_error(error: fmt::Error) -> io::Error {
    io::Error::other(error)
}
