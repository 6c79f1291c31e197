//! Codec of connections to hosts: encodes requests and probes, decodes replies.

use super::{HostMessage, HostReply, MAX_BODY, MAX_HEAD, MAX_HEADERS, parse_number, write_error};
use crate::protocol::{NOT_FORWARDED, PROBE_PATH, REQ_DEADLINE, SRV_DECLINED, SRV_LOAD, SRV_UNITS};
use archlink_admission::interface::Load;
use archlink_http::frame::{
    BodyLength, BodyProgress, ChunkedDecoder, FramingHeaders, ReservedBytes, framing_headers, header,
};
use bytes::{Buf, Bytes, BytesMut};
use httparse::{EMPTY_HEADER, Header, Status};
use std::cell::Cell;
use std::fmt::{self, Write};
use std::io;
use std::rc::Rc;
use tokio_util::codec::{Decoder, Encoder};

/// Largest body of a reply, in bytes. Hosts may exceed the protocol's limit as long as memory for all such replies
/// can be reserved.
const MAX_REPLY_BODY: usize = 1 << 20;
/// Limit of reported units; a larger value is assumed to be corrupt and is reduced to this.
const MAX_UNITS: f64 = 1e6;
/// Bytes reserved for the head of a request in addition to its target and forwarded lines.
const REQUEST_HEAD_BYTES: usize = 256;

/// Why a reply is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyError {
    /// The head is not HTTP or is too large.
    InvalidHead,
    /// The header lines do not define where the reply ends.
    InvalidHeaders,
    /// No memory is left to reserve for a large body.
    MemoryExhausted,
    /// The body is larger than any reply may be.
    TooLarge,
    /// The connection ended before the reply was complete.
    Truncated,
}

impl fmt::Display for ReplyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ReplyError::InvalidHead => "reply head is not HTTP or too large",
            ReplyError::InvalidHeaders => "reply headers with an invalid content length or transfer encoding",
            ReplyError::MemoryExhausted => "no memory left for a large reply",
            ReplyError::TooLarge => "reply body too large",
            ReplyError::Truncated => "reply truncated",
        })
    }
}

impl std::error::Error for ReplyError {}

impl From<ReplyError> for io::Error {
    fn from(error: ReplyError) -> io::Error {
        io::Error::new(io::ErrorKind::InvalidData, error)
    }
}

/// A reply whose head is decoded and whose body is incomplete.
struct PendingReply {
    reply: HostReply,
    body: BodyLength,
}

/// Codec of a connection to a host.
#[derive(Default)]
pub struct HostCodec {
    pending: Option<PendingReply>,
    /// Bytes left for large replies, shared by all connections.
    available_reply_bytes: Rc<Cell<usize>>,
}

impl Encoder<HostMessage<'_>> for HostCodec {
    type Error = io::Error;

    fn encode(&mut self, message: HostMessage, dst: &mut BytesMut) -> io::Result<()> {
        match message {
            HostMessage::Attempt { request, host_header, remaining } => {
                let (method, target, body) = (request.method, &request.target, &request.body);
                dst.reserve(REQUEST_HEAD_BYTES + target.len() + request.forwarded.len() + body.len());
                write!(
                    dst,
                    "{method} {target} HTTP/1.1\r\nHost: {host_header}\r\n{REQ_DEADLINE}: {remaining:.3}\r\n"
                )
                .map_err(write_error)?;
                dst.extend_from_slice(&request.forwarded);
                if method != "GET" || !body.is_empty() {
                    write!(dst, "Content-Length: {}\r\n", body.len()).map_err(write_error)?;
                }
                dst.extend_from_slice(b"\r\n");
                dst.extend_from_slice(body);
            }
            HostMessage::Probe { host_header } => {
                write!(dst, "GET {PROBE_PATH} HTTP/1.1\r\nHost: {host_header}\r\n\r\n")
                    .map_err(write_error)?
            }
        }
        Ok(())
    }
}

fn parse_load(text: &str) -> Load {
    let mut load = Load::default();
    for (name, value) in text.split(',').filter_map(|pair| pair.trim().split_once('=')) {
        if let Some(value) = parse_number(value) {
            archlink_admission_settings::set_load_field(&mut load, name, value);
        }
    }
    load
}

impl PendingReply {
    fn new(status: u16, is_http_1_0: bool, headers: &[Header], framing: FramingHeaders) -> PendingReply {
        let body = match (framing.chunked, framing.length) {
            _ if status == 204 || status == 304 => BodyLength::Sized(0),
            (true, _) => BodyLength::Chunked(ChunkedDecoder::default(), BytesMut::new()),
            (false, Some(length)) => BodyLength::Sized(length),
            (false, None) => BodyLength::ToEnd,
        };
        let must_close =
            framing.close || (is_http_1_0 && !framing.keep_alive) || matches!(body, BodyLength::ToEnd);
        let units = header(headers, SRV_UNITS).and_then(parse_number);
        let reply = HostReply {
            status,
            declined: header(headers, SRV_DECLINED) == Some("1"),
            load: header(headers, SRV_LOAD).map_or(Load::default(), parse_load),
            units: units.map_or(0.0, |units| units.min(MAX_UNITS)),
            forwarded: framing.forwarded,
            body: Bytes::new(),
            reserved: None,
            keep_alive: !must_close,
        };
        PendingReply { reply, body }
    }

    /// Reserves memory for a body beyond the protocol's limit; the reservation grows as more of the body becomes known.
    fn reserve(&mut self, src: &BytesMut, available: &Rc<Cell<usize>>) -> Result<(), ReplyError> {
        let known = self.body.known(src).min(MAX_REPLY_BODY + 1);
        let reserved = &mut self.reply.reserved;
        if known <= MAX_BODY || reserved.as_ref().is_some_and(|reserved| reserved.bytes >= known) {
            return Ok(());
        }
        *reserved = None;
        *reserved = ReservedBytes::reserve(available, known.next_power_of_two());
        if reserved.is_some() { Ok(()) } else { Err(ReplyError::MemoryExhausted) }
    }
}

impl HostCodec {
    /// Creates a codec; `available_reply_bytes` are the bytes left for the large replies of all connections together.
    pub fn new(available_reply_bytes: Rc<Cell<usize>>) -> HostCodec {
        HostCodec { pending: None, available_reply_bytes }
    }

    /// Returns whether the head of a reply is decoded and its body incomplete.
    pub fn reply_started(&self) -> bool {
        self.pending.is_some()
    }

    /// Decodes heads up to that of the final reply, skipping interim (1xx) replies. Returns false if the head is
    /// incomplete.
    fn decode_head(&mut self, src: &mut BytesMut) -> Result<bool, ReplyError> {
        while self.pending.is_none() {
            let mut headers = [EMPTY_HEADER; MAX_HEADERS];
            let mut head = httparse::Response::new(&mut headers);
            let length = match head.parse(src) {
                Ok(Status::Complete(length)) if length <= MAX_HEAD => length,
                Ok(Status::Partial) if src.len() < MAX_HEAD => return Ok(false),
                _ => return Err(ReplyError::InvalidHead),
            };
            let framing = framing_headers(head.headers, &NOT_FORWARDED).ok_or(ReplyError::InvalidHeaders)?;
            let status = head.code.unwrap_or(0);
            let pending = PendingReply::new(status, head.version == Some(0), head.headers, framing);
            src.advance(length);
            if status >= 200 {
                self.pending = Some(pending);
            }
        }
        Ok(true)
    }

    fn decode_reply(&mut self, src: &mut BytesMut, ended: bool) -> io::Result<Option<HostReply>> {
        if !self.decode_head(src)? {
            return Ok(None);
        }
        let Some(pending) = &mut self.pending else { return Ok(None) };
        pending.reserve(src, &self.available_reply_bytes)?;
        match pending.body.take(src, ended, MAX_REPLY_BODY)? {
            BodyProgress::TooLarge => Err(ReplyError::TooLarge.into()),
            BodyProgress::Partial => Ok(None),
            BodyProgress::Complete(body) => {
                Ok(self.pending.take().map(|pending| HostReply { body, ..pending.reply }))
            }
        }
    }
}

impl Decoder for HostCodec {
    type Item = HostReply;
    type Error = io::Error;

    fn decode(&mut self, src: &mut BytesMut) -> io::Result<Option<HostReply>> {
        self.decode_reply(src, false)
    }

    fn decode_eof(&mut self, src: &mut BytesMut) -> io::Result<Option<HostReply>> {
        match self.decode_reply(src, true)? {
            None if self.pending.is_some() || !src.is_empty() => Err(ReplyError::Truncated.into()),
            reply => Ok(reply),
        }
    }
}
