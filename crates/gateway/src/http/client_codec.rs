//! Codec of client connections: decodes requests, encodes answers.

use super::request_parsing::parse_request;
use super::{
    Answer, ClientMessage, ClientRequest, InvalidRequest, MAX_BODY, MAX_HEAD, MAX_HEADERS, Received,
    write_error,
};
use crate::protocol::{NOT_FORWARDED, READINESS_PATH};
use archlink_admission_settings::ParsedSettings;
use archlink_http::frame::{BodyLength, BodyProgress, ChunkedDecoder, framing_headers};
use bytes::{Buf, Bytes, BytesMut};
use httparse::{EMPTY_HEADER, Status};
use std::fmt::Write;
use std::io;
use std::rc::Rc;
use tokio_util::codec::{Decoder, Encoder};

/// Bytes reserved for the head of an answer in addition to the forwarded lines.
const ANSWER_HEAD_BYTES: usize = 128;

/// A request whose head is decoded and whose body is incomplete.
struct PendingRequest {
    request: Result<ClientRequest, InvalidRequest>,
    is_readiness_check: bool,
    body: BodyLength,
    close: bool,
}

/// Codec of a client's connection.
pub struct ClientCodec {
    settings: Rc<ParsedSettings>,
    pending: Option<PendingRequest>,
    /// Set by the first message that cannot be framed; further input is discarded.
    failed: bool,
}

impl ClientCodec {
    /// Creates the codec of a new connection.
    pub fn new(settings: Rc<ParsedSettings>) -> ClientCodec {
        ClientCodec { settings, pending: None, failed: false }
    }

    /// Fails the connection: after input that does not parse as HTTP, the start of the next message is unknown.
    fn fail(&mut self, reason: InvalidRequest) -> Option<Received> {
        self.failed = true;
        Some(Received { message: ClientMessage::Invalid(reason), close: true })
    }

    /// Decodes the head of the next message; returns `None` if it is incomplete.
    fn decode_head(&self, src: &mut BytesMut) -> Result<Option<PendingRequest>, InvalidRequest> {
        // Empty lines before a message are allowed.
        while src.starts_with(b"\r\n") {
            src.advance(2);
        }
        if src.is_empty() {
            return Ok(None);
        }
        let mut headers = [EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Request::new(&mut headers);
        let length = match head.parse(src) {
            Ok(Status::Complete(length)) if length <= MAX_HEAD => length,
            Ok(Status::Partial) if src.len() < MAX_HEAD => return Ok(None),
            Ok(_) | Err(httparse::Error::TooManyHeaders) => {
                return Err(InvalidRequest::HeadTooLarge);
            }
            Err(_) => return Err(InvalidRequest::Malformed),
        };
        let Some(framing) = framing_headers(head.headers, &NOT_FORWARDED) else {
            return Err(InvalidRequest::Malformed);
        };
        let is_readiness_check = head.method == Some("GET") && head.path == Some(READINESS_PATH);
        let close = framing.close || (head.version == Some(0) && !framing.keep_alive);
        let body = match framing.chunked {
            true => BodyLength::Chunked(ChunkedDecoder::default(), BytesMut::new()),
            false => BodyLength::Sized(framing.length.unwrap_or(0)),
        };
        let request = parse_request(&self.settings, &head, framing.forwarded);
        src.advance(length);
        Ok(Some(PendingRequest { request, is_readiness_check, body, close }))
    }
}

impl PendingRequest {
    fn complete(self, body: Bytes) -> Received {
        let message = match self.request {
            _ if self.is_readiness_check => ClientMessage::ReadinessCheck,
            Ok(request) => ClientMessage::Request(Box::new(ClientRequest { body, ..request })),
            Err(reason) => ClientMessage::Invalid(reason),
        };
        Received { message, close: self.close }
    }
}

impl Decoder for ClientCodec {
    type Item = Received;
    type Error = io::Error;

    fn decode(&mut self, src: &mut BytesMut) -> io::Result<Option<Received>> {
        if self.failed {
            src.clear();
            return Ok(None);
        }
        if self.pending.is_none() {
            match self.decode_head(src) {
                Ok(Some(pending)) => self.pending = Some(pending),
                Ok(None) => return Ok(None),
                Err(reason) => return Ok(self.fail(reason)),
            }
        }
        let Some(pending) = &mut self.pending else { return Ok(None) };
        Ok(match pending.body.take(src, false, MAX_BODY) {
            Err(_) => self.fail(InvalidRequest::Malformed),
            Ok(BodyProgress::TooLarge) => self.fail(InvalidRequest::BodyTooLarge),
            Ok(BodyProgress::Partial) => None,
            Ok(BodyProgress::Complete(body)) => self.pending.take().map(|pending| pending.complete(body)),
        })
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        _ => "Other",
    }
}

/// Encodes an answer; the second element is whether the connection is closed after it.
impl Encoder<(Answer, bool)> for ClientCodec {
    type Error = io::Error;

    fn encode(&mut self, (answer, close): (Answer, bool), dst: &mut BytesMut) -> io::Result<()> {
        let (status, forwarded, body, retry_after) = match answer {
            Answer::Answered { forwarded, body, .. } => (200, forwarded, body, 0.0),
            Answer::Rejected { retry_after } => (429, Vec::new(), Bytes::new(), retry_after),
            Answer::Aborted => (502, Vec::new(), Bytes::new(), 0.0),
            Answer::Readiness(ready) => (if ready { 200 } else { 503 }, Vec::new(), Bytes::new(), 0.0),
            Answer::Invalid(reason) => {
                let status = reason.status();
                (status, Vec::new(), Bytes::from(reason_phrase(status)), 0.0)
            }
        };
        dst.reserve(ANSWER_HEAD_BYTES + forwarded.len() + body.len());
        write!(dst, "HTTP/1.1 {status} {}\r\nContent-Length: {}\r\n", reason_phrase(status), body.len())
            .map_err(write_error)?;
        if retry_after > 0.0 {
            write!(dst, "Retry-After: {retry_after:.3}\r\n").map_err(write_error)?;
        }
        if close {
            dst.extend_from_slice(b"Connection: close\r\n");
        }
        dst.extend_from_slice(&forwarded);
        dst.extend_from_slice(b"\r\n");
        dst.extend_from_slice(&body);
        Ok(())
    }
}
