//! Requests and responses as the codecs read and write them.

use super::HeaderValue;
use crate::frame::ReservedBytes;
use bytes::Bytes;
use std::io::Write;

/// A request as it was received.
#[derive(Debug)]
pub struct Request {
    /// The method as sent.
    pub method: String,
    /// The request target; always begins with `/`.
    pub target: String,
    /// The `Host` header.
    pub host: HeaderValue,
    /// The headers that the codec was asked for, in the order of their names.
    pub fields: Vec<HeaderValue>,
    /// The other header lines, without the hop-by-hop ones, each with its CRLF.
    pub forwarded: Vec<u8>,
    /// The complete body.
    pub body: Bytes,
    /// The client wants the connection closed after the response.
    pub close: bool,
    /// Memory reserved for the body.
    pub reserved: Option<ReservedBytes>,
}

/// A request, or the status with which it is rejected; after that the connection ends.
#[derive(Debug)]
pub enum Decoded {
    /// A complete request.
    Request(Box<Request>),
    /// Rejected with this 4xx.
    Rejected(u16),
}

/// A response to be sent.
#[derive(Debug, Default)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// Header lines but those about framing, each with its CRLF.
    pub header_lines: Vec<u8>,
    /// The body; not sent in response to `HEAD`.
    pub body: Bytes,
    /// Announces that the connection is closed after the response.
    pub close: bool,
}

impl Response {
    /// A response without headers and body.
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
        // Writing to a vector does not fail.
        write!(self.header_lines, "{name}: {value}\r\n").ok();
        self
    }
}

/// A request to be sent; the codec adds the framing.
#[derive(Debug)]
pub struct OutgoingRequest<'a> {
    /// The method.
    pub method: &'a str,
    /// The request target.
    pub target: &'a str,
    /// Value of the `Host` header.
    pub host: &'a str,
    /// Other header lines, each with its CRLF.
    pub header_lines: &'a [u8],
    /// The body.
    pub body: &'a [u8],
}

/// A complete response as it was received.
#[derive(Debug)]
pub struct HostResponse {
    /// The status code, 200 or above.
    pub status: u16,
    /// The headers that the codec was asked for, in the order of their names.
    pub fields: Vec<HeaderValue>,
    /// The other header lines, without the hop-by-hop ones, each with its CRLF.
    pub forwarded: Vec<u8>,
    /// The complete body.
    pub body: Bytes,
    /// The connection can be used for another request.
    pub reusable: bool,
    /// Seconds for which the host keeps an idle connection, where it said so (`Keep-Alive: timeout=`).
    pub idle_timeout: Option<f64>,
    /// Memory reserved for the body.
    pub reserved: Option<ReservedBytes>,
}
