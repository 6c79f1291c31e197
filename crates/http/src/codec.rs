//! HTTP/1.1 codecs that know no protocol's names: a server's side that decodes requests and encodes answers, and a
//! caller's side that does the reverse. The user of a codec names the headers that it wants to see; all others are passed
//! on as they came. Must never let a message through whose end or whose header lines two readers could see differently.

use crate::frame::{
    BodyLength, BodyProgress, ChunkedDecoder, ReservedBytes, framing_headers, header, protocol_error,
};
use bytes::{Buf, Bytes, BytesMut};
use httparse::{EMPTY_HEADER, Header, Status};
use std::cell::Cell;
use std::io::{self, Write};
use std::rc::Rc;
use tokio_util::codec::{Decoder, Encoder};

/// Heads by what common servers take; bodies larger than `SMALL` need a part of the room set aside for such.
const MOST_HEAD: usize = 16 * 1024;
const MOST_HEADERS: usize = 64;
const SMALL: usize = 64 * 1024;

/// What stood under a wanted name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum HeaderValue {
    #[default]
    Absent,
    Once(String),
    /// Two lines of one name, or bytes that are no text: nobody could say what the next reader goes by.
    Ambiguous,
}

impl HeaderValue {
    pub fn once(&self) -> Option<&str> {
        if let HeaderValue::Once(text) = self { Some(text) } else { None }
    }
}

fn fields(headers: &[Header], wanted: &[&str]) -> Vec<HeaderValue> {
    let field = |name: &&str| match header(headers, name) {
        Some(text) => HeaderValue::Once(text.to_string()),
        None if headers.iter().any(|h| h.name.eq_ignore_ascii_case(name)) => HeaderValue::Ambiguous,
        None => HeaderValue::Absent,
    };
    wanted.iter().map(field).collect()
}

/// A bare LF ends a line for one reader and not for the next.
fn bare_ends(head: &[u8]) -> bool {
    head.iter().enumerate().any(|(n, &b)| b == b'\n' && (n == 0 || head[n - 1] != b'\r'))
}

/// Takes room for a body that is larger than usual; false where there is none.
fn has_room(held: &mut Option<ReservedBytes>, room: &Rc<Cell<usize>>, known: usize) -> bool {
    if known <= SMALL || held.as_ref().is_some_and(|held| held.bytes >= known) {
        return true;
    }
    *held = None;
    *held = ReservedBytes::reserve(room, known.next_power_of_two());
    held.is_some()
}

/// A request as it came; `fields` in the order of the wanted names.
#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub host: HeaderValue,
    pub fields: Vec<HeaderValue>,
    pub forwarded: Vec<u8>,
    pub body: Bytes,
    pub close: bool,
    pub held: Option<ReservedBytes>,
}

/// A request, or the 4xx that is its answer; after that the connection ends.
#[derive(Debug)]
pub enum Decoded {
    Request(Box<Request>),
    Bad(u16),
}

/// An answer: its status, the header lines beside those about framing, and its body.
#[derive(Debug, Default)]
pub struct Response {
    pub status: u16,
    pub lines: Vec<u8>,
    pub body: Bytes,
    pub close: bool,
}

impl Response {
    pub fn plain(status: u16) -> Response {
        Response { status, ..Response::default() }
    }

    pub fn json(status: u16, body: impl Into<Bytes>) -> Response {
        Response {
            status,
            lines: b"Content-Type: application/json\r\n".to_vec(),
            body: body.into(),
            close: false,
        }
    }

    /// Adds a header line.
    pub fn with(mut self, name: &str, value: impl std::fmt::Display) -> Response {
        write!(self.lines, "{name}: {value}\r\n").ok();
        self
    }
}

pub struct ServerCodec {
    wanted: &'static [&'static str],
    most_body: usize,
    room: Rc<Cell<usize>>,
    head: Option<(Request, BodyLength)>,
    /// The last request asked for a head alone: a body after it would be read as the next answer.
    bodiless: bool,
    failed: bool,
    full: bool,
}

impl ServerCodec {
    /// `room`: bytes left for large bodies, of all connections together.
    pub fn new(wanted: &'static [&'static str], most_body: usize, room: Rc<Cell<usize>>) -> ServerCodec {
        ServerCodec { wanted, most_body, room, head: None, bodiless: false, failed: false, full: false }
    }

    /// A request has begun and is not whole.
    pub fn is_partial(&self) -> bool {
        self.head.is_some()
    }

    /// The last 413 is one for want of room: the same body may find some later.
    pub fn out_of_memory(&self) -> bool {
        self.full
    }

    fn bad(&mut self, status: u16) -> io::Result<Option<Decoded>> {
        self.failed = true;
        Ok(Some(Decoded::Bad(status)))
    }
}

impl Decoder for ServerCodec {
    type Item = Decoded;
    type Error = io::Error;

    fn decode(&mut self, from: &mut BytesMut) -> io::Result<Option<Decoded>> {
        if self.failed {
            from.clear();
            return Ok(None);
        }
        if self.head.is_none() {
            while from.starts_with(b"\r\n") {
                from.advance(2);
            }
            if from.is_empty() {
                return Ok(None);
            }
            let mut headers = [EMPTY_HEADER; MOST_HEADERS];
            let mut request = httparse::Request::new(&mut headers);
            let length = match request.parse(from) {
                Ok(Status::Complete(length)) if length <= MOST_HEAD => length,
                Ok(Status::Partial) if from.len() < MOST_HEAD => return Ok(None),
                Ok(_) | Err(httparse::Error::TooManyHeaders) => return self.bad(431),
                Err(_) => return self.bad(400),
            };
            let target = request.path.unwrap_or("");
            let plain = target.starts_with('/') && target.bytes().all(|b| (0x21..0x7f).contains(&b));
            let framed = framing_headers(request.headers, self.wanted);
            let (Some(framed), true, false) = (framed, plain, bare_ends(&from[..length])) else {
                return self.bad(400);
            };
            let read = Request {
                method: request.method.unwrap_or("").to_string(),
                target: target.to_string(),
                host: fields(request.headers, &["host"]).remove(0),
                fields: fields(request.headers, self.wanted),
                forwarded: framed.forwarded,
                body: Bytes::new(),
                close: framed.close || (request.version == Some(0) && !framed.keep),
                held: None,
            };
            let body = match framed.chunked {
                true if request.version == Some(0) => return self.bad(400),
                true => BodyLength::Chunked(ChunkedDecoder::default(), BytesMut::new()),
                false => BodyLength::Sized(framed.length.unwrap_or(0)),
            };
            from.advance(length);
            self.bodiless = read.method == "HEAD";
            self.head = Some((read, body));
        }
        let Some((request, body)) = &mut self.head else { return Ok(None) };
        let known = body.known(from);
        self.full = known <= self.most_body && !has_room(&mut request.held, &self.room, known);
        if known > self.most_body || self.full {
            return self.bad(413);
        }
        match body.take(from, false, self.most_body) {
            Err(_) => self.bad(400),
            Ok(BodyProgress::TooLarge) => self.bad(413),
            Ok(BodyProgress::Partial) => Ok(None),
            Ok(BodyProgress::Whole(body)) => {
                let whole = self.head.take();
                Ok(whole.map(|(request, _)| Decoded::Request(Box::new(Request { body, ..request }))))
            }
        }
    }
}

/// The phrase of a status; a reader goes by the number.
fn phrase(status: u16) -> &'static str {
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

impl Encoder<Response> for ServerCodec {
    type Error = io::Error;

    fn encode(&mut self, answer: Response, to: &mut BytesMut) -> io::Result<()> {
        let Response { status, lines, body, close } = answer;
        let mut head = Vec::with_capacity(96 + lines.len());
        write!(head, "HTTP/1.1 {status} {}\r\n", phrase(status))?;
        if status != 204 && status != 304 {
            write!(head, "Content-Length: {}\r\n", body.len())?;
        }
        if close {
            head.extend_from_slice(b"Connection: close\r\n");
        }
        head.extend_from_slice(&lines);
        head.extend_from_slice(b"\r\n");
        to.reserve(head.len() + body.len());
        to.extend_from_slice(&head);
        if !self.bodiless {
            to.extend_from_slice(&body);
        }
        Ok(())
    }
}

/// A request to be sent; the framing is the codec's.
#[derive(Debug)]
pub struct OutgoingRequest<'a> {
    pub method: &'a str,
    pub target: &'a str,
    pub host: &'a str,
    pub lines: &'a [u8],
    pub body: &'a [u8],
}

/// A whole reply; `idle` is how long the other end keeps the connection, where it said so.
#[derive(Debug)]
pub struct HostResponse {
    pub status: u16,
    pub fields: Vec<HeaderValue>,
    pub passed: Vec<u8>,
    pub body: Bytes,
    pub keep: bool,
    pub idle: Option<f64>,
    pub held: Option<ReservedBytes>,
}

pub struct ClientCodec {
    wanted: &'static [&'static str],
    most_body: usize,
    room: Rc<Cell<usize>>,
    head: Option<(HostResponse, BodyLength)>,
    /// The request that is out asks for a head alone.
    bodiless: bool,
}

impl ClientCodec {
    pub fn new(wanted: &'static [&'static str], most_body: usize, room: Rc<Cell<usize>>) -> ClientCodec {
        ClientCodec { wanted, most_body, room, head: None, bodiless: false }
    }

    fn step(&mut self, from: &mut BytesMut, ended: bool) -> io::Result<Option<HostResponse>> {
        while self.head.is_none() {
            let mut headers = [EMPTY_HEADER; MOST_HEADERS];
            let mut response = httparse::Response::new(&mut headers);
            let length = match response.parse(from) {
                Ok(Status::Complete(length)) if length <= MOST_HEAD => length,
                Ok(Status::Partial) if from.len() < MOST_HEAD => return Ok(None),
                _ => return Err(protocol_error("reply head")),
            };
            let framed = framing_headers(response.headers, self.wanted)
                .ok_or_else(|| protocol_error("reply headers"))?;
            let status = response.code.unwrap_or(0);
            let body = match (framed.chunked, framed.length) {
                _ if status == 204 || status == 304 || self.bodiless => BodyLength::Sized(0),
                (true, _) => BodyLength::Chunked(ChunkedDecoder::default(), BytesMut::new()),
                (false, Some(length)) => BodyLength::Sized(length),
                (false, None) => BodyLength::ToEnd,
            };
            let old = response.version == Some(0) && !framed.keep;
            let idle = header(response.headers, "keep-alive").and_then(|text| {
                let part = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
                part.and_then(|seconds| seconds.parse::<u32>().ok()).map(f64::from)
            });
            let reply = HostResponse {
                status,
                fields: fields(response.headers, self.wanted),
                passed: framed.forwarded,
                body: Bytes::new(),
                keep: !framed.close && !old && !matches!(body, BodyLength::ToEnd),
                idle,
                held: None,
            };
            from.advance(length);
            // Interim replies come before the one that counts.
            if status >= 200 {
                self.head = Some((reply, body));
            }
        }
        let Some((reply, body)) = &mut self.head else { return Ok(None) };
        let known = body.known(from);
        if known > self.most_body || !has_room(&mut reply.held, &self.room, known) {
            return Err(protocol_error("no room for a large reply"));
        }
        match body.take(from, ended, self.most_body)? {
            BodyProgress::TooLarge => Err(protocol_error("reply too large")),
            BodyProgress::Partial => Ok(None),
            BodyProgress::Whole(body) => {
                Ok(self.head.take().map(|(reply, _)| HostResponse { body, ..reply }))
            }
        }
    }
}

impl Decoder for ClientCodec {
    type Item = HostResponse;
    type Error = io::Error;

    fn decode(&mut self, from: &mut BytesMut) -> io::Result<Option<HostResponse>> {
        if from.is_empty() && self.head.is_none() { Ok(None) } else { self.step(from, false) }
    }

    fn decode_eof(&mut self, from: &mut BytesMut) -> io::Result<Option<HostResponse>> {
        if from.is_empty() && self.head.is_none() {
            return Ok(None);
        }
        let reply = self.step(from, true)?;
        if reply.is_none() { Err(io::ErrorKind::UnexpectedEof.into()) } else { Ok(reply) }
    }
}

impl Encoder<OutgoingRequest<'_>> for ClientCodec {
    type Error = io::Error;

    fn encode(&mut self, sending: OutgoingRequest, to: &mut BytesMut) -> io::Result<()> {
        let OutgoingRequest { method, target, host, lines, body } = sending;
        self.bodiless = method == "HEAD";
        to.reserve(96 + target.len() + lines.len() + body.len());
        for part in [method, " ", target, " HTTP/1.1\r\nHost: ", host, "\r\n"] {
            to.extend_from_slice(part.as_bytes());
        }
        to.extend_from_slice(lines);
        if method != "GET" || !body.is_empty() {
            to.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
        }
        to.extend_from_slice(b"\r\n");
        to.extend_from_slice(body);
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn asked(bytes: &[u8]) -> Vec<String> {
        let mut codec = ServerCodec::new(&["key"], 100, Rc::new(Cell::new(1000)));
        let mut buffer = BytesMut::from(bytes);
        let mut found = Vec::new();
        while let Ok(Some(asked)) = codec.decode(&mut buffer) {
            found.push(match asked {
                Decoded::Bad(status) => status.to_string(),
                Decoded::Request(r) => {
                    format!("{} {} {:?} {:?}", r.method, r.target, r.fields[0].once(), r.body)
                }
            });
        }
        found
    }

    /// What two readers could see differently never becomes a request.
    #[test]
    fn smuggling_is_a_plain_400_and_nothing_after_it_is_read() {
        let next = "GET /inner HTTP/1.1\r\n\r\n";
        for head in [
            "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
            "POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\nabc",
            "POST / HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n",
            "GET / HTTP/1.1\nHost: a\r\n\r\n",
            "GET / HTTP/1.1\r\nA: b\rc\r\n\r\n",
            "GET / HTTP/1.1\r\nA : b\r\n\r\n",
            "GET / HTTP/1.1\r\nA: b\r\n c: d\r\n\r\n",
            "GET http://a/ HTTP/1.1\r\n\r\n",
        ] {
            assert_eq!(asked(format!("{head}{next}").as_bytes()), ["400"], "{head:?}");
        }
    }

    #[test]
    fn a_doubled_field_is_unclear_and_large_bodies_need_room() {
        assert_eq!(asked(b"GET /a HTTP/1.1\r\nKey: a\r\nkey: b\r\n\r\n"), ["GET /a None b\"\""]);
        assert_eq!(asked(b"POST /a HTTP/1.1\r\nContent-Length: 101\r\n\r\n"), ["413"]);
        // For want of room it may find some later, and says so.
        let full = |length: usize| {
            let mut codec = ServerCodec::new(&[], SMALL * 4, Rc::new(Cell::new(SMALL)));
            let head = format!("POST /a HTTP/1.1\r\nContent-Length: {length}\r\n\r\n");
            let decoded = codec.decode(&mut BytesMut::from(head.as_bytes()));
            (matches!(decoded, Ok(Some(Decoded::Bad(413)))), codec.out_of_memory())
        };
        assert_eq!((full(SMALL * 5), full(SMALL * 2)), ((true, false), (true, true)));
        let two = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2;x\r\nab\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n";
        assert_eq!(asked(two), ["POST /a None b\"ab\"", "GET /b None b\"\""]);
    }

    /// The body of an answer to HEAD would be the next request's answer to its reader; and none is waited for.
    #[test]
    fn an_answer_to_head_has_no_body() {
        let mut server = ServerCodec::new(&[], 100, Rc::new(Cell::new(1000)));
        let (mut asked, mut said) = (BytesMut::from(&b"HEAD /a HTTP/1.1\r\n\r\n"[..]), BytesMut::new());
        assert!(matches!(server.decode(&mut asked), Ok(Some(Decoded::Request(_)))));
        server.encode(Response::json(405, "{}"), &mut said).unwrap();
        assert!(said.ends_with(b"\r\n\r\n"), "{said:?}");
        let mut caller = ClientCodec::new(&[], 100, Rc::new(Cell::new(1000)));
        let head = OutgoingRequest { method: "HEAD", target: "/a", host: "a", lines: b"", body: b"" };
        caller.encode(head, &mut asked).unwrap();
        assert!(
            matches!(caller.decode(&mut said), Ok(Some(HostResponse { status: 405, .. }))) && said.is_empty()
        );
    }

    /// Whatever bytes come: no panic, and never a body that the head did not announce.
    #[test]
    fn any_bytes_are_requests_or_refused() {
        bolero::check!().with_iterations(20_000).for_each(|bytes: &[u8]| {
            asked(bytes);
            let mut codec = ClientCodec::new(&["key"], 100, Rc::new(Cell::new(1000)));
            let mut buffer = BytesMut::from(&b"HTTP/1.1 200 OK\r\n"[..]);
            buffer.extend_from_slice(bytes);
            while let Ok(Some(_)) = codec.decode(&mut buffer) {}
        });
    }
}
