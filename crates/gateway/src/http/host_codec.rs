//! The host's side of HTTP: encodes requests and probes, decodes replies.

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

/// Largest body of a reply, in bytes. Hosts may send more than the protocol's limit, as long as the reservations of all
/// such replies fit.
const MAX_REPLY: usize = 1 << 20;
/// Reported units beyond this are taken for damage and cut to it.
const MAX_UNITS: f64 = 1e6;
/// Room for the head of a request beside its target and forwarded lines, in bytes.
const REQUEST_HEAD: usize = 256;

/// Why a reply is not one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyError {
    /// The head is not HTTP, or too large.
    Head,
    /// The header lines do not say where the reply ends.
    Headers,
    /// No bytes are left to reserve for a large body.
    NoRoom,
    /// The body is larger than any reply may be.
    TooLarge,
    /// The connection ended before the reply did.
    Truncated,
}

impl fmt::Display for ReplyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ReplyError::Head => "reply head",
            ReplyError::Headers => "reply headers",
            ReplyError::NoRoom => "no room for a large reply",
            ReplyError::TooLarge => "reply body too large",
            ReplyError::Truncated => "reply cut short",
        })
    }
}

impl std::error::Error for ReplyError {}

impl From<ReplyError> for io::Error {
    fn from(error: ReplyError) -> io::Error {
        io::Error::new(io::ErrorKind::InvalidData, error)
    }
}

/// A reply whose head is decoded and whose body is awaited.
struct PendingReply {
    reply: HostReply,
    body: BodyLength,
}

/// Codec of a connection to a host.
#[derive(Default)]
pub struct HostCodec {
    pending: Option<PendingReply>,
    large_reply_room: Rc<Cell<usize>>,
}

impl Encoder<HostMessage<'_>> for HostCodec {
    type Error = io::Error;

    fn encode(&mut self, message: HostMessage, to: &mut BytesMut) -> io::Result<()> {
        match message {
            HostMessage::Attempt { request, host_header, remaining } => {
                let (method, target, body) = (request.method, &request.target, &request.body);
                to.reserve(REQUEST_HEAD + target.len() + request.forwarded.len() + body.len());
                write!(
                    to,
                    "{method} {target} HTTP/1.1\r\nHost: {host_header}\r\n{REQ_DEADLINE}: {remaining:.3}\r\n"
                )
                .map_err(write_error)?;
                to.extend_from_slice(&request.forwarded);
                if method != "GET" || !body.is_empty() {
                    write!(to, "Content-Length: {}\r\n", body.len()).map_err(write_error)?;
                }
                to.extend_from_slice(b"\r\n");
                to.extend_from_slice(body);
            }
            HostMessage::Probe { host_header } => {
                write!(to, "GET {PROBE_PATH} HTTP/1.1\r\nHost: {host_header}\r\n\r\n").map_err(write_error)?
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
    fn new(status: u16, old_version: bool, headers: &[Header], framing: FramingHeaders) -> PendingReply {
        let body = match (framing.chunked, framing.length) {
            _ if status == 204 || status == 304 => BodyLength::Sized(0),
            (true, _) => BodyLength::Chunked(ChunkedDecoder::default(), BytesMut::new()),
            (false, Some(length)) => BodyLength::Sized(length),
            (false, None) => BodyLength::ToEnd,
        };
        let closes = framing.close || (old_version && !framing.keep) || matches!(body, BodyLength::ToEnd);
        let units = header(headers, SRV_UNITS).and_then(parse_number);
        let reply = HostReply {
            status,
            declined: header(headers, SRV_DECLINED) == Some("1"),
            load: header(headers, SRV_LOAD).map_or(Load::default(), parse_load),
            units: units.map_or(0.0, |units| units.min(MAX_UNITS)),
            forwarded: framing.forwarded,
            body: Bytes::new(),
            reserved: None,
            keep_alive: !closes,
        };
        PendingReply { reply, body }
    }

    /// Reserves bytes for a body beyond the protocol's limit; what is reserved grows with what is known of the body.
    fn reserve(&mut self, from: &BytesMut, room: &Rc<Cell<usize>>) -> Result<(), ReplyError> {
        let known = self.body.known(from).min(MAX_REPLY + 1);
        let reserved = &mut self.reply.reserved;
        if known <= MAX_BODY || reserved.as_ref().is_some_and(|reserved| reserved.bytes >= known) {
            return Ok(());
        }
        *reserved = None;
        *reserved = ReservedBytes::reserve(room, known.next_power_of_two());
        if reserved.is_some() { Ok(()) } else { Err(ReplyError::NoRoom) }
    }
}

impl HostCodec {
    /// `large_reply_room`: bytes left for large replies, of all connections together.
    pub fn new(large_reply_room: Rc<Cell<usize>>) -> HostCodec {
        HostCodec { pending: None, large_reply_room }
    }

    /// The head of a reply is decoded, and its body is awaited.
    pub fn reply_started(&self) -> bool {
        self.pending.is_some()
    }

    /// Decodes heads up to the final one; interim replies (1xx) come before it. False where the head is incomplete.
    fn decode_head(&mut self, from: &mut BytesMut) -> Result<bool, ReplyError> {
        while self.pending.is_none() {
            let mut headers = [EMPTY_HEADER; MAX_HEADERS];
            let mut head = httparse::Response::new(&mut headers);
            let length = match head.parse(from) {
                Ok(Status::Complete(length)) if length <= MAX_HEAD => length,
                Ok(Status::Partial) if from.len() < MAX_HEAD => return Ok(false),
                _ => return Err(ReplyError::Head),
            };
            let framing = framing_headers(head.headers, &NOT_FORWARDED).ok_or(ReplyError::Headers)?;
            let status = head.code.unwrap_or(0);
            let pending = PendingReply::new(status, head.version == Some(0), head.headers, framing);
            from.advance(length);
            if status >= 200 {
                self.pending = Some(pending);
            }
        }
        Ok(true)
    }

    fn decode_reply(&mut self, from: &mut BytesMut, ended: bool) -> io::Result<Option<HostReply>> {
        if !self.decode_head(from)? {
            return Ok(None);
        }
        let Some(pending) = &mut self.pending else { return Ok(None) };
        pending.reserve(from, &self.large_reply_room)?;
        match pending.body.take(from, ended, MAX_REPLY)? {
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

    fn decode(&mut self, from: &mut BytesMut) -> io::Result<Option<HostReply>> {
        self.decode_reply(from, false)
    }

    fn decode_eof(&mut self, from: &mut BytesMut) -> io::Result<Option<HostReply>> {
        match self.decode_reply(from, true)? {
            None if self.pending.is_some() || !from.is_empty() => Err(ReplyError::Truncated.into()),
            reply => Ok(reply),
        }
    }
}
