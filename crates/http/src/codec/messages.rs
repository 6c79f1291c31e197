//! The requests and responses that the codecs decode and encode.

use super::HeaderValue;
use crate::frame::ReservedBytes;
use bytes::Bytes;
use std::io::Write;

/// A received request.
#[derive(Debug)]
pub struct Request {
    /// The method.
    pub method: String,
    /// The request target; always begins with `/`.
    pub target: String,
    /// The `Host` header.
    pub host: HeaderValue,
    /// The values of the codec's wanted headers, in the same order.
    pub fields: Vec<HeaderValue>,
    /// The other header lines except the hop-by-hop ones, each with its CRLF.
    pub forwarded: Vec<u8>,
    /// The complete body.
    pub body: Bytes,
    /// Whether the client wants the connection closed after the response.
    pub close: bool,
    /// Memory reserved for the body.
    pub reserved: Option<ReservedBytes>,
}

/// The result of decoding a request. After a rejection the connection has to be closed.
#[derive(Debug)]
pub enum Decoded {
    /// A complete request.
    Request(Box<Request>),
    /// The request is rejected with this 4xx status.
    Rejected(u16),
}

/// A response to send.
#[derive(Debug, Default)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// Header lines except those that concern framing, each with its CRLF.
    pub header_lines: Vec<u8>,
    /// The body; not sent in response to `HEAD`.
    pub body: Bytes,
    /// Whether to announce that the connection is closed after the response.
    pub close: bool,
}

impl Response {
    /// A response with a status only, without headers and body.
    pub fn plain(status: u16) -> Response {
        Response { status, ..Response::default() }
    }

    /// A response with a JSON body.
    pub fn json(status: u16, body: impl Into<Bytes>) -> Response {
        Response {
            status,
            header_lines: b"Content-Type: application/json\r\n".to_vec(),
            body: body.into(),
            close: false,
        }
    }

    /// Adds a header line.
    pub fn with(mut self, name: &str, value: impl std::fmt::Display) -> Response {
        // Writing to a `Vec` never fails.
        write!(self.header_lines, "{name}: {value}\r\n").ok();
        self
    }
}

/// A request to send; the codec adds the framing headers.
#[derive(Debug)]
pub struct OutgoingRequest<'a> {
    /// The method.
    pub method: &'a str,
    /// The request target.
    pub target: &'a str,
    /// The value of the `Host` header.
    pub host: &'a str,
    /// Other header lines, each with its CRLF.
    pub header_lines: &'a [u8],
    /// The body.
    pub body: &'a [u8],
}

/// A complete response received from a host.
#[derive(Debug)]
pub struct HostResponse {
    /// The status code, 200 or above.
    pub status: u16,
    /// The values of the codec's wanted headers, in the same order.
    pub fields: Vec<HeaderValue>,
    /// The other header lines except the hop-by-hop ones, each with its CRLF.
    pub forwarded: Vec<u8>,
    /// The complete body.
    pub body: Bytes,
    /// Whether the connection can be used for another request.
    pub reusable: bool,
    /// Seconds for which the host keeps an idle connection, if it said so (`Keep-Alive: timeout=`).
    pub idle_timeout: Option<f64>,
    /// Memory reserved for the body.
    pub reserved: Option<ReservedBytes>,
}
