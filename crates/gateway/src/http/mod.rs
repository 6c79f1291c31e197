//! HTTP/1.1 in both directions as two codecs: client requests and answers, host requests and replies. Each message is
//! decoded once into a typed value and encoded once. Nothing here holds a connection, reads a clock or decides about a
//! request.
//!
//! The framing (header lines, lengths, chunked coding) is [`archlink_http::frame`]'s. The codecs of
//! [`archlink_http::codec`] are not used: they reject head lines that end without CR, which this program accepts, and
//! they return header fields as owned text, where these parse them in place.

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

/// Largest body of the client protocol, in bytes; larger replies need a reservation.
const MAX_BODY: usize = 64 * 1024;
/// Largest head in bytes, as common servers accept it.
const MAX_HEAD: usize = 16 * 1024;
/// Most header lines in a head.
const MAX_HEADERS: usize = 64;
/// A connection's buffer that has grown beyond this many bytes is given back after use.
pub const LARGE_BUFFER: usize = 32 * 1024;

/// A client's request.
#[derive(Debug)]
pub struct ClientRequest {
    /// The client's identifier of it.
    pub id: Rc<str>,
    /// The request in the admission module's terms, without its number.
    pub request: Request,
    /// `GET` or `POST`.
    pub method: &'static str,
    /// Path and query, as they came.
    pub target: String,
    /// Header lines that go on to the host, as they came.
    pub forwarded: Vec<u8>,
    /// The body.
    pub body: Bytes,
}

/// Why a client's message is answered with a 4xx by this gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidRequest {
    /// Not HTTP, or a field is missing or out of range.
    Malformed,
    /// No request class has this path.
    UnknownClass,
    /// The class takes another method.
    WrongMethod,
    /// A request with this identifier is open.
    DuplicateId,
    /// The body is too large.
    BodyTooLarge,
    /// The head is too large, or has too many lines.
    HeadTooLarge,
}

impl InvalidRequest {
    /// The status of the answer.
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

/// What a client sent.
#[derive(Debug)]
pub enum ClientMessage {
    /// The question whether this gateway is ready.
    ReadinessCheck,
    /// A request.
    Request(Box<ClientRequest>),
    /// A message that is answered with a 4xx.
    Invalid(InvalidRequest),
}

/// A decoded message, and whether its connection ends after the answer.
#[derive(Debug)]
pub struct Received {
    /// The message.
    pub message: ClientMessage,
    /// The client wants the connection closed after the answer, or it has to be.
    pub close: bool,
}

/// An answer to a client.
#[derive(Debug)]
pub enum Answer {
    /// A host's reply, unchanged.
    Answered {
        /// The host's header lines, as they came.
        forwarded: Vec<u8>,
        /// The body.
        body: Bytes,
        /// The reservation of a large body, kept until the client has it.
        reserved: Option<ReservedBytes>,
    },
    /// Nothing ran.
    Rejected {
        /// Seconds after which the client may retry; 0: no advice.
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
        /// Seconds for which the reply is waited for.
        remaining: f64,
    },
    /// The question whether the host's process runs.
    Probe {
        /// Value of the header field `Host`: the host's address.
        host_header: &'a str,
    },
}

/// A host's reply.
#[derive(Debug, Default)]
pub struct HostReply {
    /// The status.
    pub status: u16,
    /// The host states that it did not run the request.
    pub declined: bool,
    /// The host's load report.
    pub load: Load,
    /// Units that the request really used; 0 where the host does not say.
    pub units: f64,
    /// Header lines that go on to the client, as they came.
    pub forwarded: Vec<u8>,
    /// The body.
    pub body: Bytes,
    /// The reservation of a large body.
    pub reserved: Option<ReservedBytes>,
    /// The connection can serve another exchange.
    pub keep_alive: bool,
}

/// A finite number from 0 on.
fn parse_number(text: &str) -> Option<f64> {
    text.parse().ok().filter(|number: &f64| number.is_finite() && *number >= 0.0)
}

/// The error of a message that could not be written into a buffer.
fn write_error(error: fmt::Error) -> io::Error {
    io::Error::other(error)
}
