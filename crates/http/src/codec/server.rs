//! The server's codec: requests in, responses out.

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

/// Bytes for the status line and framing headers of a response.
const USUAL_HEAD_BYTES: usize = 96;

/// Decodes the requests of one connection and encodes its responses.
pub struct ServerCodec {
    wanted_headers: &'static [&'static str],
    body_reader: BodyReader,
    /// A request whose body is not complete.
    partial: Option<(Request, BodyLength)>,
    /// The last request was `HEAD`: a body after it would be read as the next response.
    omit_body: bool,
    /// A request was rejected: nothing more is read.
    rejected: bool,
    out_of_memory: bool,
}

/// The status with which a request is rejected.
struct Rejection(u16);

const BAD_REQUEST: Rejection = Rejection(400);
const CONTENT_TOO_LARGE: Rejection = Rejection(413);
const HEADERS_TOO_LARGE: Rejection = Rejection(431);

impl ServerCodec {
    /// `available`: bytes left for large bodies, of all connections together; `max_body`: limit of one body in bytes.
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

    /// Whether the head of a request was read, and its body is not complete.
    pub fn is_partial(&self) -> bool {
        self.partial.is_some()
    }

    /// Whether the last 413 was for want of memory: the same body may find some later.
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

    /// Reads the head of a request into `partial`; false while it is not complete.
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
        if !is_plain_target(target) || has_bare_line_feed(&from[..length]) {
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
            close: framing.close || (is_http_1_0 && !framing.keep),
            reserved: None,
        };
        from.advance(length);
        self.omit_body = request.method == "HEAD";
        self.partial = Some((request, body));
        Ok(true)
    }
}

/// A path in printable ASCII: other forms of a target are for proxies.
fn is_plain_target(target: &str) -> bool {
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
        to.reserve(USUAL_HEAD_BYTES + lines.len() + sent_body.len());
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

/// 204 and 304 have no body, and no length of one.
fn has_content_length(status: u16) -> bool {
    status != 204 && status != 304
}

/// The reason phrase of a status. Readers go by the number; unusual ones share a phrase.
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
