//! The client codec: encodes requests and decodes responses.

use super::body_reader::BodyReader;
use super::head::{MAX_HEADERS, head_length};
use super::{HeaderValue, HostResponse, OutgoingRequest};
use crate::error::ProtocolError;
use crate::frame::{BodyLength, FramingHeaders, framing_headers, header};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use httparse::{EMPTY_HEADER, Header};
use std::cell::Cell;
use std::io::{self, Write};
use std::rc::Rc;
use tokio_util::codec::{Decoder, Encoder};

/// Bytes to reserve for the request line without its target, and for the framing headers.
const HEAD_CAPACITY: usize = 96;
/// Lowest status of a final response; interim responses that precede it are discarded.
const MIN_FINAL_STATUS: u16 = 200;

/// Encodes the requests of one connection and decodes their responses.
pub struct ClientCodec {
    wanted_headers: &'static [&'static str],
    body_reader: BodyReader,
    /// The response whose body is incomplete.
    partial: Option<(HostResponse, BodyLength)>,
    /// Whether the last request was `HEAD`: its response has no body, whatever its headers say.
    head_requested: bool,
}

impl ClientCodec {
    /// `available` is the number of bytes left for large bodies, shared by all connections; `max_body` is the largest
    /// accepted body in bytes.
    pub fn new(
        wanted_headers: &'static [&'static str],
        max_body: usize,
        available: Rc<Cell<usize>>,
    ) -> ClientCodec {
        ClientCodec {
            wanted_headers,
            body_reader: BodyReader::new(max_body, available),
            partial: None,
            head_requested: false,
        }
    }

    fn next_response(&mut self, from: &mut BytesMut, at_eof: bool) -> io::Result<Option<HostResponse>> {
        while self.partial.is_none() {
            if !self.read_head(from)? {
                return Ok(None);
            }
        }
        let Some((response, body)) = &mut self.partial else { return Ok(None) };
        let Some(body) = self.body_reader.read(body, &mut response.reserved, from, at_eof)? else {
            return Ok(None);
        };
        Ok(self.partial.take().map(|(response, _)| HostResponse { body, ..response }))
    }

    /// Reads the head of a response, and stores it in `partial` unless the response is an interim one; false if the
    /// head is incomplete.
    fn read_head(&mut self, from: &mut BytesMut) -> Result<bool, ProtocolError> {
        let mut headers = [EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        let parsed_length = head_length(head.parse(from), from.len());
        let Some(length) = parsed_length.map_err(|_| ProtocolError::ResponseHead)? else { return Ok(false) };
        let framing =
            framing_headers(head.headers, self.wanted_headers).ok_or(ProtocolError::ResponseFraming)?;
        let status = head.code.unwrap_or(0);
        if status >= MIN_FINAL_STATUS {
            let is_http_1_0 = head.version == Some(0);
            let body = self.body_length(status, &framing);
            let closes =
                framing.close || (is_http_1_0 && !framing.keep_alive) || matches!(body, BodyLength::ToEnd);
            let response = HostResponse {
                status,
                fields: HeaderValue::find_all(head.headers, self.wanted_headers),
                forwarded: framing.forwarded,
                body: Bytes::new(),
                reusable: !closes,
                idle_timeout: keep_alive_timeout(head.headers),
                reserved: None,
            };
            self.partial = Some((response, body));
        }
        from.advance(length);
        Ok(true)
    }

    fn body_length(&self, status: u16, framing: &FramingHeaders) -> BodyLength {
        match framing.length {
            _ if status == 204 || status == 304 || self.head_requested => BodyLength::Sized(0),
            _ if framing.chunked => BodyLength::chunked(),
            Some(length) => BodyLength::Sized(length),
            None => BodyLength::ToEnd,
        }
    }
}

/// Seconds for which the host keeps an idle connection, by its `Keep-Alive: timeout=`.
fn keep_alive_timeout(headers: &[Header]) -> Option<f64> {
    let mut parameters = header(headers, "keep-alive")?.split(',');
    let seconds = parameters.find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
    seconds.parse::<u32>().ok().map(f64::from)
}

impl Decoder for ClientCodec {
    type Item = HostResponse;
    type Error = io::Error;

    fn decode(&mut self, from: &mut BytesMut) -> io::Result<Option<HostResponse>> {
        if from.is_empty() && self.partial.is_none() {
            return Ok(None);
        }
        self.next_response(from, false)
    }

    fn decode_eof(&mut self, from: &mut BytesMut) -> io::Result<Option<HostResponse>> {
        if from.is_empty() && self.partial.is_none() {
            return Ok(None);
        }
        match self.next_response(from, true)? {
            Some(response) => Ok(Some(response)),
            None => Err(ProtocolError::Truncated.into()),
        }
    }
}

impl Encoder<OutgoingRequest<'_>> for ClientCodec {
    type Error = io::Error;

    fn encode(&mut self, request: OutgoingRequest, to: &mut BytesMut) -> io::Result<()> {
        let OutgoingRequest { method, target, host, header_lines: lines, body } = request;
        self.head_requested = method == "HEAD";
        to.reserve(HEAD_CAPACITY + target.len() + lines.len() + body.len());
        for part in [method, " ", target, " HTTP/1.1\r\nHost: ", host, "\r\n"] {
            to.extend_from_slice(part.as_bytes());
        }
        to.extend_from_slice(lines);
        if method != "GET" || !body.is_empty() {
            write!(to.writer(), "Content-Length: {}\r\n", body.len())?;
        }
        to.extend_from_slice(b"\r\n");
        to.extend_from_slice(body);
        Ok(())
    }
}
