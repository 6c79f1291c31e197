//! HTTP/1.1 in both directions as two codecs: what clients ask and are answered, what hosts are sent and reply.
//! Owns every header name, path and limit of the client and host protocols; each message is decoded once into a
//! small typed value and encoded once. Must never hold a connection, read a clock, or judge an inquiry: it says
//! what a message is, or with which plain 4xx it is not one.

use archlink_admission::interface::{Effect, Load, Request};
use archlink_admission_settings::ParsedSettings;
pub use archlink_http::frame::ReservedBytes;
use archlink_http::frame::{
    BodyLength, BodyProgress, ChunkedDecoder, framing_headers, header, protocol_error,
};
use bytes::{Buf, Bytes, BytesMut};
use httparse::{EMPTY_HEADER, Status};
use std::cell::Cell;
use std::fmt::Write;
use std::io;
use std::rc::Rc;
use tokio_util::codec::{Decoder, Encoder};

/// Clients' bodies are bounded by the protocol; heads by what common servers take. Hosts' replies may be larger than
/// the protocol says: up to this, as long as there is room for all such at once.
const MOST_BODY: usize = 64 * 1024;
const MOST_REPLY: usize = 1 << 20;
const MOST_HEAD: usize = 16 * 1024;
const MOST_HEADERS: usize = 64;
const MOST_ID: usize = 256;

/// One inquiry as a client sent it, its number not given yet; `passed` are the header lines that go on to the host
/// as they came.
#[derive(Debug)]
pub struct Call {
    /// The client's own name for it, fresh on every inquiry.
    pub id: Rc<str>,
    pub inquiry: Request,
    pub verb: &'static str,
    pub target: String,
    pub passed: Vec<u8>,
    pub body: Bytes,
}

#[derive(Debug)]
pub enum What {
    Up,
    Inquiry(Box<Call>),
    Bad(u16),
}

#[derive(Debug)]
pub struct Asked {
    pub what: What,
    pub close: bool,
}

#[derive(Debug)]
pub enum Answer {
    Honoured { passed: Vec<u8>, body: Bytes, held: Option<ReservedBytes> },
    PushedBack { come_back_in: f64 },
    Terminated,
    Up(bool),
    Bad(u16),
}

/// What goes to a host: an inquiry with the time that is waited for it, or a probe.
pub enum Sending<'a> {
    HandOff { call: &'a Call, host: &'a str, wait: f64 },
    Probe { host: &'a str },
}

#[derive(Debug, Default)]
pub struct Reply {
    pub status: u16,
    /// The host says that it never ran.
    pub declined: bool,
    pub load: Load,
    /// What the inquiry really counted; 0 where the host says nothing of it.
    pub units: f64,
    pub passed: Vec<u8>,
    pub body: Bytes,
    pub held: Option<ReservedBytes>,
    pub keep: bool,
}

/// Headers of the protocol's own, which are not passed on.
const OWN: [&str; 4] = [REQ_DEADLINE, SRV_LOAD, SRV_UNITS, SRV_DECLINED];
const REQ_DEADLINE: &str = "req-deadline";
/// True units beyond this are taken for damage and cut to it.
const MOST_UNITS: f64 = 1e6;
const SRV_LOAD: &str = "srv-load";
const SRV_UNITS: &str = "srv-units";
const SRV_DECLINED: &str = "srv-declined";

fn number(text: &str) -> Option<f64> {
    text.parse().ok().filter(|n: &f64| n.is_finite() && *n >= 0.0)
}

fn query<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    let mut found = query.split('&').filter_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name));
    let (first, None) = (found.next()?, found.next()) else { return None };
    Some(first.1)
}

/// The values of a list such as `units=2,spread=3,first=1`.
fn listed<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    text.split(',').find_map(|pair| pair.trim().split_once('=').filter(|(k, _)| *k == name)).map(|(_, v)| v)
}

/// The client's side: decodes what is asked, encodes what is answered.
pub struct ClientSide {
    told: Rc<ParsedSettings>,
    head: Option<(Result<Call, u16>, BodyLength, bool)>,
    up: bool,
    failed: bool,
}

impl ClientSide {
    pub fn new(told: Rc<ParsedSettings>) -> ClientSide {
        ClientSide { told, head: None, up: false, failed: false }
    }

    /// Whatever does not parse as HTTP ends the connection: where the next message starts is not known.
    fn bad(&mut self, status: u16) -> io::Result<Option<Asked>> {
        self.failed = true;
        Ok(Some(Asked { what: What::Bad(status), close: true }))
    }

    fn call(&self, request: &httparse::Request, passed: Vec<u8>) -> Result<Call, u16> {
        let target = request.path.unwrap_or("/");
        let path = target.split('?').next().unwrap_or(target);
        let class = path.trim_start_matches('/').split('/').next().unwrap_or("");
        let lane =
            self.told.classes.iter().position(|name| name == class && !class.is_empty()).ok_or(404u16)?;
        let effect = self.told.admission.classes[lane].effect;
        let verb = match (effect, request.method) {
            (Effect::Pure, Some("GET")) => "GET",
            (Effect::Receipted | Effect::Effectful, Some("POST")) => "POST",
            _ => return Err(405),
        };
        let field = |name| header(request.headers, name);
        let named = |name: &str| field("X-Tariff").is_some_and(|plan| plan == name);
        let plan = self.told.plans.iter().position(|name| named(name)).ok_or(400u16)?;
        let customer = query(target, "customer").filter(|hex| hex.len() <= 16 && !hex.starts_with('+'));
        let customer = customer.and_then(|hex| u64::from_str_radix(hex, 16).ok()).filter(|c| *c < 1 << 33);
        let customer = customer.ok_or(400u16)?;
        let left = field("Req-Deadline").and_then(number).ok_or(400u16)?;
        let id = field("Req-Id").filter(|id| (1..=MOST_ID).contains(&id.len())).ok_or(400u16)?;
        if effect == Effect::Receipted && field("Idempotency-Key").is_none_or(str::is_empty) {
            return Err(400);
        }
        // Out of its range a figure would cost the customer named here what others ask for.
        let terms = &self.told.admission;
        let weight = match request.headers.iter().any(|h| h.name.eq_ignore_ascii_case("X-Weight")) {
            true => field("X-Weight").ok_or(400u16)?,
            false => "",
        };
        let units = listed(weight, "units").map_or(Some(1.0), number);
        let units = units.filter(|n| *n > 0.0 && *n <= terms.max_units.max(1.0)).ok_or(400u16)?;
        let whole = |name, absent: u32| listed(weight, name).map_or(Some(absent), |text| text.parse().ok());
        let spread = whole("spread", 1).filter(|n| (1..=terms.gateways).contains(n)).ok_or(400u16)?;
        let first = whole("first", 0).filter(|n| *n < terms.gateways).ok_or(400u16)?;
        let inquiry = Request {
            id: 0,
            class: lane,
            plan,
            customer,
            // No client waits a day; and a time must stay one that clocks can add.
            remaining: left.min(86_400.0),
            units,
            spread,
            first,
        };
        Ok(Call { id: id.into(), inquiry, verb, target: target.to_string(), passed, body: Bytes::new() })
    }
}

impl Decoder for ClientSide {
    type Item = Asked;
    type Error = io::Error;

    fn decode(&mut self, from: &mut BytesMut) -> io::Result<Option<Asked>> {
        if self.failed {
            from.clear();
            return Ok(None);
        }
        if self.head.is_none() {
            // Empty lines before a message are allowed for.
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
            let Some(lines) = framing_headers(request.headers, &OWN) else { return self.bad(400) };
            self.up = request.method == Some("GET") && request.path == Some("/up");
            let close = lines.close || (request.version == Some(0) && !lines.keep);
            let body = match lines.chunked {
                true => BodyLength::Chunked(ChunkedDecoder::default(), BytesMut::new()),
                false => BodyLength::Sized(lines.length.unwrap_or(0)),
            };
            let call = self.call(&request, lines.forwarded);
            from.advance(length);
            self.head = Some((call, body, close));
        }
        let Some((_, body, _)) = &mut self.head else { return Ok(None) };
        match body.take(from, false, MOST_BODY) {
            Err(_) => self.bad(400),
            Ok(BodyProgress::TooLarge) => self.bad(413),
            Ok(BodyProgress::Partial) => Ok(None),
            Ok(BodyProgress::Whole(body)) => Ok(self.head.take().map(|(call, _, close)| {
                let what = match call {
                    _ if self.up => What::Up,
                    Ok(call) => What::Inquiry(Box::new(Call { body, ..call })),
                    Err(status) => What::Bad(status),
                };
                Asked { what, close }
            })),
        }
    }
}

fn reason(status: u16) -> &'static str {
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

/// An answer, and whether the connection ends with it.
impl Encoder<(Answer, bool)> for ClientSide {
    type Error = io::Error;

    fn encode(&mut self, (answer, close): (Answer, bool), to: &mut BytesMut) -> io::Result<()> {
        let (status, passed, body, wait) = match answer {
            Answer::Honoured { passed, body, .. } => (200, passed, body, 0.0),
            Answer::PushedBack { come_back_in } => (429, Vec::new(), Bytes::new(), come_back_in),
            Answer::Terminated => (502, Vec::new(), Bytes::new(), 0.0),
            Answer::Up(well) => (if well { 200 } else { 503 }, Vec::new(), Bytes::new(), 0.0),
            Answer::Bad(status) => (status, Vec::new(), Bytes::from(reason(status)), 0.0),
        };
        to.reserve(128 + passed.len() + body.len());
        write!(to, "HTTP/1.1 {status} {}\r\nContent-Length: {}\r\n", reason(status), body.len())
            .map_err(io::Error::other)?;
        if wait > 0.0 {
            write!(to, "Retry-After: {wait:.3}\r\n").map_err(io::Error::other)?;
        }
        if close {
            to.extend_from_slice(b"Connection: close\r\n");
        }
        to.extend_from_slice(&passed);
        to.extend_from_slice(b"\r\n");
        to.extend_from_slice(&body);
        Ok(())
    }
}

/// The host's side: encodes what is sent, decodes what is replied.
#[derive(Default)]
pub struct HostSide {
    head: Option<(Reply, BodyLength)>,
    room: Rc<Cell<usize>>,
}

impl Encoder<Sending<'_>> for HostSide {
    type Error = io::Error;

    fn encode(&mut self, sending: Sending, to: &mut BytesMut) -> io::Result<()> {
        match sending {
            Sending::HandOff { call, host, wait } => {
                to.reserve(256 + call.target.len() + call.passed.len() + call.body.len());
                let (verb, target) = (call.verb, &call.target);
                write!(to, "{verb} {target} HTTP/1.1\r\nHost: {host}\r\nReq-Deadline: {wait:.3}\r\n")
                    .map_err(io::Error::other)?;
                to.extend_from_slice(&call.passed);
                if call.verb != "GET" || !call.body.is_empty() {
                    write!(to, "Content-Length: {}\r\n", call.body.len()).map_err(io::Error::other)?;
                }
                to.extend_from_slice(b"\r\n");
                to.extend_from_slice(&call.body);
            }
            Sending::Probe { host } => {
                write!(to, "GET /alive HTTP/1.1\r\nHost: {host}\r\n\r\n").map_err(io::Error::other)?
            }
        }
        Ok(())
    }
}

fn load(text: &str) -> Load {
    let mut load = Load::default();
    for (name, value) in text.split(',').filter_map(|pair| pair.trim().split_once('=')) {
        if let Some(value) = number(value) {
            archlink_admission_settings::set_load_field(&mut load, name, value);
        }
    }
    load
}

impl HostSide {
    /// `room`: the bytes left for large replies, of all connections together.
    pub fn new(room: Rc<Cell<usize>>) -> HostSide {
        HostSide { head: None, room }
    }

    /// The head of a reply is there, and its body is not.
    pub fn begun(&self) -> bool {
        self.head.is_some()
    }

    fn step(&mut self, from: &mut BytesMut, ended: bool) -> io::Result<Option<Reply>> {
        while self.head.is_none() {
            let mut headers = [EMPTY_HEADER; MOST_HEADERS];
            let mut response = httparse::Response::new(&mut headers);
            let length = match response.parse(from) {
                Ok(Status::Complete(length)) if length <= MOST_HEAD => length,
                Ok(Status::Partial) if from.len() < MOST_HEAD => return Ok(None),
                _ => return Err(protocol_error("reply head")),
            };
            let lines =
                framing_headers(response.headers, &OWN).ok_or_else(|| protocol_error("reply headers"))?;
            let status = response.code.unwrap_or(0);
            let body = match (lines.chunked, lines.length) {
                _ if status == 204 || status == 304 => BodyLength::Sized(0),
                (true, _) => BodyLength::Chunked(ChunkedDecoder::default(), BytesMut::new()),
                (false, Some(length)) => BodyLength::Sized(length),
                (false, None) => BodyLength::ToEnd,
            };
            let old = response.version == Some(0) && !lines.keep;
            let reply = Reply {
                status,
                declined: header(response.headers, SRV_DECLINED) == Some("1"),
                load: header(response.headers, SRV_LOAD).map_or(Load::default(), load),
                units: header(response.headers, SRV_UNITS)
                    .and_then(number)
                    .map_or(0.0, |n| n.min(MOST_UNITS)),
                passed: lines.forwarded,
                body: Bytes::new(),
                held: None,
                keep: !lines.close && !old && !matches!(body, BodyLength::ToEnd),
            };
            from.advance(length);
            // Interim replies come before the one that counts.
            if status >= 200 {
                self.head = Some((reply, body));
            }
        }
        let Some((reply, body)) = &mut self.head else { return Ok(None) };
        let known = body.known(from).min(MOST_REPLY + 1);
        if known > MOST_BODY && reply.held.as_ref().is_none_or(|held| held.bytes < known) {
            reply.held = None;
            reply.held = ReservedBytes::reserve(&self.room, known.next_power_of_two());
            if reply.held.is_none() {
                return Err(protocol_error("no room for a large reply"));
            }
        }
        match body.take(from, ended, MOST_REPLY)? {
            BodyProgress::TooLarge => Err(protocol_error("reply body too large")),
            BodyProgress::Partial => Ok(None),
            BodyProgress::Whole(body) => Ok(self.head.take().map(|(reply, _)| Reply { body, ..reply })),
        }
    }
}

impl Decoder for HostSide {
    type Item = Reply;
    type Error = io::Error;

    fn decode(&mut self, from: &mut BytesMut) -> io::Result<Option<Reply>> {
        self.step(from, false)
    }

    fn decode_eof(&mut self, from: &mut BytesMut) -> io::Result<Option<Reply>> {
        match self.step(from, true)? {
            None if self.head.is_some() || !from.is_empty() => Err(protocol_error("reply cut short")),
            reply => Ok(reply),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::{Gen, QuickCheck};

    fn told() -> Rc<ParsedSettings> {
        let lines = "classes.count=2\nclasses.0.name=look\nclasses.0.effect=pure\nclasses.0.on-time-us=1\n\
            classes.0.deadline-us=1\nclasses.1.name=file\nclasses.1.effect=token\nclasses.1.on-time-us=1\n\
            classes.1.deadline-us=1\ncontracts.count=1\ncontracts.0.name=team\npeers-total=1\n\
            limits.max-attempts=1\nobligations.drain-grace-us=0\nobligations.cold-from=1\n\
            obligations.warm-up-us=0\nobligations.tip-multiple=1\nobligations.overload-for-us=0\n";
        Rc::new(archlink_admission_settings::from_lines(lines).unwrap())
    }

    const ASKED: &[u8] = b"GET /look?customer=7 HTTP/1.1\r\nReq-Id: 1\r\nX-Tariff: team\r\nReq-Deadline: 1\r\n\r\n\
        POST /file?customer=8 HTTP/1.1\r\nReq-Id: 2\r\nX-Tariff: team\r\nReq-Deadline: 1\r\nIdempotency-Key: k\r\n\
        Transfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n1\r\nd\r\n0\r\nT: x\r\n\r\n\r\nGET /up HTTP/1.1\r\n\r\n\
        POST /look HTTP/1.1\r\nContent-Length: 5\r\n\r\nabcde";
    const REPLIED: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\nSrv-Load: util=0.5,x=1\r\nSrv-Units: 3\r\n\r\n\
        abcHTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n\
        Transfer-Encoding: chunked\r\n\r\n2\r\nde\r\n0\r\n\r\n";

    /// All that comes out when the bytes arrive in pieces of these lengths, until the messages end or break.
    fn decoded<D: Decoder<Error = io::Error>>(mut codec: D, bytes: &[u8], cuts: &[u8]) -> Vec<String>
    where
        D::Item: std::fmt::Debug,
    {
        let (mut buffer, mut items, mut rest, mut cuts) = (BytesMut::new(), Vec::new(), bytes, cuts.iter());
        loop {
            let length = cuts.next().map_or(rest.len(), |cut| rest.len().min(usize::from(*cut)));
            buffer.extend_from_slice(&rest[..length]);
            rest = &rest[length..];
            loop {
                match codec.decode(&mut buffer) {
                    Ok(Some(item)) => items.push(format!("{item:?}")),
                    Ok(None) => break,
                    Err(_) => return items,
                }
            }
            if rest.is_empty() {
                return items;
            }
        }
    }

    fn check(seed: u64, property: fn(Vec<u8>, Vec<(u16, u8)>) -> bool) {
        QuickCheck::new().rng(Gen::from_size_and_seed(120, seed)).tests(2000).quickcheck(property);
    }

    #[test]
    fn messages_are_the_same_however_they_arrive() {
        fn property(cuts: Vec<u8>, _: Vec<(u16, u8)>) -> bool {
            let asked = decoded(ClientSide::new(told()), ASKED, &cuts);
            let replied = decoded(HostSide::default(), REPLIED, &cuts);
            asked == decoded(ClientSide::new(told()), ASKED, &[])
                && replied == decoded(HostSide::default(), REPLIED, &[])
                && (asked.len(), replied.len()) == (4, 3)
        }
        check(1, property);
    }

    /// Damaged bytes give fewer or other messages, never a panic; and what was damaged arrives the same in pieces.
    #[test]
    fn damage_is_told_and_stops_nothing() {
        fn property(cuts: Vec<u8>, damage: Vec<(u16, u8)>) -> bool {
            let harm = |bytes: &[u8]| {
                let mut bytes = bytes.to_vec();
                for (at, byte) in &damage {
                    let at = usize::from(*at) % bytes.len();
                    bytes[at] = *byte;
                }
                bytes
            };
            let (asked, replied) = (harm(ASKED), harm(REPLIED));
            decoded(ClientSide::new(told()), &asked, &cuts) == decoded(ClientSide::new(told()), &asked, &[])
                && decoded(HostSide::default(), &replied, &cuts)
                    == decoded(HostSide::default(), &replied, &[])
        }
        check(2, property);
    }
}
