//! How an HTTP/1.1 message is framed: its headers' lines, the length of its body and the chunked coding, decoded as bytes
//! arrive; and room for bodies larger than usual. Owns the rules by which a message ends. Must never hold a connection,
//! read a clock, or know a header that is not about framing.

use bytes::{Buf, Bytes, BytesMut};
use httparse::{Header, Status};
use std::cell::Cell;
use std::io;
use std::rc::Rc;

/// A part of the bytes set aside for large replies, from the first read until the client has the last; given back
/// when dropped.
#[derive(Debug)]
pub struct ReservedBytes {
    room: Rc<Cell<usize>>,
    pub bytes: usize,
}

impl ReservedBytes {
    pub fn reserve(room: &Rc<Cell<usize>>, bytes: usize) -> Option<ReservedBytes> {
        room.set(room.get().checked_sub(bytes)?);
        Some(ReservedBytes { room: room.clone(), bytes })
    }
}

impl Drop for ReservedBytes {
    fn drop(&mut self) {
        self.room.set(self.room.get() + self.bytes);
    }
}

/// A message that is none.
pub fn protocol_error(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

#[derive(Debug, Default)]
enum Part {
    #[default]
    Size,
    Data(u64),
    End,
    Trailer,
}

/// Chunked coding, taken off as bytes arrive.
#[derive(Debug, Default)]
pub struct ChunkedDecoder(Part);

impl ChunkedDecoder {
    /// Moves what is there from `from` to `to`; true once the last chunk is through.
    pub fn feed(&mut self, from: &mut BytesMut, to: &mut BytesMut) -> io::Result<bool> {
        const MOST_LINE: usize = 1024;
        loop {
            match self.0 {
                Part::Size => match httparse::parse_chunk_size(from) {
                    Ok(Status::Complete((length, size))) => {
                        from.advance(length);
                        self.0 = if size == 0 { Part::Trailer } else { Part::Data(size) };
                    }
                    Ok(Status::Partial) if from.len() < MOST_LINE => return Ok(false),
                    _ => return Err(protocol_error("chunk size")),
                },
                Part::Data(0) => self.0 = Part::End,
                Part::Data(left) => {
                    if from.is_empty() {
                        return Ok(false);
                    }
                    let taken = from.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                    to.extend_from_slice(&from.split_to(taken));
                    self.0 = Part::Data(left - taken as u64);
                }
                Part::End if from.len() < 2 => return Ok(false),
                Part::End if !from.starts_with(b"\r\n") => return Err(protocol_error("chunk end")),
                Part::End => {
                    from.advance(2);
                    self.0 = Part::Size;
                }
                Part::Trailer => match from.iter().position(|&b| b == b'\n') {
                    Some(at) => {
                        let last = from[..at].trim_ascii().is_empty();
                        from.advance(at + 1);
                        if last {
                            return Ok(true);
                        }
                    }
                    None if from.len() < MOST_LINE => return Ok(false),
                    None => return Err(protocol_error("trailer")),
                },
            }
        }
    }
}

/// How long a body is, and what of it has come.
#[derive(Debug)]
pub enum BodyLength {
    Sized(usize),
    Chunked(ChunkedDecoder, BytesMut),
    ToEnd,
}

pub enum BodyProgress {
    Whole(Bytes),
    Partial,
    TooLarge,
}

impl BodyLength {
    /// Bytes of it as far as known.
    pub fn known(&self, from: &BytesMut) -> usize {
        match self {
            BodyLength::Sized(size) => *size,
            BodyLength::Chunked(_, body) => body.len() + from.len(),
            BodyLength::ToEnd => from.len(),
        }
    }

    /// The body, once it is whole; `ended` is whether the connection has ended.
    pub fn take(&mut self, from: &mut BytesMut, ended: bool, most: usize) -> io::Result<BodyProgress> {
        match self {
            BodyLength::Sized(size) if *size > most => Ok(BodyProgress::TooLarge),
            BodyLength::Sized(size) if from.len() >= *size => {
                Ok(BodyProgress::Whole(from.split_to(*size).freeze()))
            }
            BodyLength::Sized(size) => {
                from.reserve(*size - from.len());
                Ok(BodyProgress::Partial)
            }
            BodyLength::Chunked(chunks, body) => {
                let whole = chunks.feed(from, body)?;
                if body.len() > most {
                    return Ok(BodyProgress::TooLarge);
                }
                Ok(if whole { BodyProgress::Whole(body.split().freeze()) } else { BodyProgress::Partial })
            }
            BodyLength::ToEnd if from.len() > most => Ok(BodyProgress::TooLarge),
            BodyLength::ToEnd if ended => Ok(BodyProgress::Whole(from.split().freeze())),
            BodyLength::ToEnd => Ok(BodyProgress::Partial),
        }
    }
}

/// What the headers say about framing, and the lines that are passed on.
pub struct FramingHeaders {
    pub length: Option<usize>,
    pub chunked: bool,
    pub close: bool,
    pub keep: bool,
    pub forwarded: Vec<u8>,
}

/// Headers that belong to one connection, and so are never passed on.
const HOP: [&str; 11] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "host",
    "expect",
];

/// Reads the framing; what is neither about the connection nor among `own` is passed on as it came. None where the
/// message cannot be framed without doubt.
pub fn framing_headers(headers: &[Header], own: &[&str]) -> Option<FramingHeaders> {
    // Room for the usual lines at once.
    let passed = Vec::with_capacity(256);
    let mut found =
        FramingHeaders { length: None, chunked: false, close: false, keep: false, forwarded: passed };
    for header in headers {
        let is = |name: &str| header.name.eq_ignore_ascii_case(name);
        if is("content-length") {
            let text = std::str::from_utf8(header.value).ok()?;
            let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
            let length = if digits { text.parse().unwrap_or(usize::MAX) } else { return None };
            if found.length.is_some_and(|before| before != length) {
                return None;
            }
            found.length = Some(length);
        } else if is("transfer-encoding") {
            if found.chunked || !header.value.eq_ignore_ascii_case(b"chunked") {
                return None;
            }
            found.chunked = true;
        } else if is("connection") {
            for word in header.value.split(|&b| b == b',') {
                found.close |= word.trim_ascii().eq_ignore_ascii_case(b"close");
                found.keep |= word.trim_ascii().eq_ignore_ascii_case(b"keep-alive");
            }
        } else if !HOP.iter().chain(own).any(|own| is(own)) {
            for part in [header.name.as_bytes(), b": ", header.value, b"\r\n"] {
                found.forwarded.extend_from_slice(part);
            }
        }
    }
    // Two lengths at once are how one message is smuggled inside another.
    if found.chunked && found.length.is_some() { None } else { Some(found) }
}

/// A header that stands there once: of two, nobody could say which one the next reader goes by.
pub fn header<'a>(headers: &'a [Header], name: &str) -> Option<&'a str> {
    let mut found = headers.iter().filter(|h| h.name.eq_ignore_ascii_case(name));
    let (first, None) = (found.next()?, found.next()) else { return None };
    std::str::from_utf8(first.value).ok().map(str::trim)
}
