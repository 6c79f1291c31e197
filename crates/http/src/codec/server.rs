//! The server codec: decodes requests and encodes responses.

use super::body_reader::BodyReader;
use super::head::{HeadError, MAX_HEADERS, has_bare_line_feed, head_length};
use super::{Decoded, HeaderValue, Request, Response};
use crate::error::ProtocolError;
use crate::frame::{BodyLength, framing_headers};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use httparse::EMPTY_HEADER;
use std::cell::Cell;
use std::io::{self, Write};
use std::rc::Rc;
use tokio_util::codec::{Decoder, Encoder};

/// Bytes to reserve for the status line and the framing headers of a response.
const HEAD_CAPACITY: usize = 96;

/// Decodes the requests of one connection and encodes its responses.
pub struct ServerCodec {
    wanted_headers: &'static [&'static str],
    body_reader: BodyReader,
    /// The request whose body is incomplete.
    partial: Option<(Request, BodyLength)>,
    /// Whether the last request was `HEAD`: the client would read a body as the next response.
    omit_body: bool,
    /// Whether a request was rejected, after which nothing more is read.
    rejected: bool,
    out_of_memory: bool,
}

/// Rejection of a request with this status.
struct Rejection(u16);

const BAD_REQUEST: Rejection = Rejection(400);
const CONTENT_TOO_LARGE: Rejection = Rejection(413);
const HEADERS_TOO_LARGE: Rejection = Rejection(431);

impl ServerCodec {
    /// `available` is the number of bytes left for large bodies, shared by all connections; `max_body` is the largest
    /// accepted body in bytes.
    pub fn new(
        wanted_headers: &'static [&'static str],
        max_body: usize,
        available: Rc<Cell<usize>>,
    ) -> ServerCodec {
        ServerCodec {
            wanted_headers,
            body_reader: BodyReader::new(max_body, available),
            partial: None,
            omit_body: false,
            rejected: false,
            out_of_memory: false,
        }
    }

    /// Whether the head of a request has been read and its body is incomplete.
    pub fn is_partial(&self) -> bool {
        self.partial.is_some()
    }

    /// Whether the last 413 was caused by a lack of memory: the same body may be accepted later.
    pub fn out_of_memory(&self) -> bool {
        self.out_of_memory
    }

    fn next_request(&mut self, from: &mut BytesMut) -> Result<Option<Box<Request>>, Rejection> {
        if self.partial.is_none() {
            while from.starts_with(b"\r\n") {
                from.advance(2);
            }
            if from.is_empty() || !self.read_head(from)? {
                return Ok(None);
            }
        }
        let Some((request, body)) = &mut self.partial else { return Ok(None) };
        let read = self.body_reader.read(body, &mut request.reserved, from, false);
        self.out_of_memory = matches!(read, Err(ProtocolError::OutOfMemory { .. }));
        match read {
            Ok(Some(body)) => {
                Ok(self.partial.take().map(|(request, _)| Box::new(Request { body, ..request })))
            }
            Ok(None) => Ok(None),
            Err(ProtocolError::BodyTooLarge { .. } | ProtocolError::OutOfMemory { .. }) => {
                Err(CONTENT_TOO_LARGE)
            }
            Err(_) => Err(BAD_REQUEST),
        }
    }

    /// Reads the head of a request into `partial`; false if it is incomplete.
    fn read_head(&mut self, from: &mut BytesMut) -> Result<bool, Rejection> {
        let mut headers = [EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Request::new(&mut headers);
        let length = match head_length(head.parse(from), from.len()) {
            Ok(Some(length)) => length,
            Ok(None) => return Ok(false),
            Err(HeadError::TooLarge) => return Err(HEADERS_TOO_LARGE),
            Err(HeadError::Malformed) => return Err(BAD_REQUEST),
        };
        let target = head.path.unwrap_or("");
        let is_http_1_0 = head.version == Some(0);
        let framing = framing_headers(head.headers, self.wanted_headers).ok_or(BAD_REQUEST)?;
        if !is_origin_form(target) || has_bare_line_feed(&from[..length]) {
            return Err(BAD_REQUEST);
        }
        let body = match framing.chunked {
            true if is_http_1_0 => return Err(BAD_REQUEST),
            true => BodyLength::chunked(),
            false => BodyLength::Sized(framing.length.unwrap_or(0)),
        };
        let request = Request {
            method: head.method.unwrap_or("").to_string(),
            target: target.to_string(),
            host: HeaderValue::find(head.headers, "host"),
            fields: HeaderValue::find_all(head.headers, self.wanted_headers),
            forwarded: framing.forwarded,
            body: Bytes::new(),
            close: framing.close || (is_http_1_0 && !framing.keep_alive),
            reserved: None,
        };
        from.advance(length);
        self.omit_body = request.method == "HEAD";
        self.partial = Some((request, body));
        Ok(true)
    }
}

/// Whether the target is a path in printable ASCII (origin form); other forms are for proxies.
fn is_origin_form(target: &str) -> bool {
    target.starts_with('/') && target.bytes().all(|byte| byte.is_ascii_graphic())
}

impl Decoder for ServerCodec {
    type Item = Decoded;
    type Error = io::Error;

    fn decode(&mut self, from: &mut BytesMut) -> io::Result<Option<Decoded>> {
        if self.rejected {
            from.clear();
            return Ok(None);
        }
        match self.next_request(from) {
            Ok(request) => Ok(request.map(Decoded::Request)),
            Err(Rejection(status)) => {
                self.rejected = true;
                Ok(Some(Decoded::Rejected(status)))
            }
        }
    }
}

impl Encoder<Response> for ServerCodec {
    type Error = io::Error;

    fn encode(&mut self, response: Response, to: &mut BytesMut) -> io::Result<()> {
        let Response { status, header_lines: lines, body, close } = response;
        let sent_body = if self.omit_body { &[] } else { &body[..] };
        to.reserve(HEAD_CAPACITY + lines.len() + sent_body.len());
        write!(to.writer(), "HTTP/1.1 {status} {}\r\n", reason_phrase(status))?;
        if has_content_length(status) {
            write!(to.writer(), "Content-Length: {}\r\n", body.len())?;
        }
        if close {
            to.extend_from_slice(b"Connection: close\r\n");
        }
        to.extend_from_slice(&lines);
        to.extend_from_slice(b"\r\n");
        to.extend_from_slice(sent_body);
        Ok(())
    }
}

/// Responses 204 and 304 have no body and no `Content-Length`.
fn has_content_length(status: u16) -> bool {
    status != 204 && status != 304
}

/// The reason phrase of a status. Clients go by the number; uncommon statuses share a phrase.
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        307 => "Temporary Redirect",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        409 => "Conflict",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Other",
    }
}
