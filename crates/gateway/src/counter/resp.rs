//! RESP2 codec for the commands `INCRTTL key amount milliseconds` and `PING` and their replies.

use super::calls::{Call, Command};
use super::error::CounterError;
use bytes::{Buf, BytesMut};
use std::fmt::Write;
use tokio_util::codec::{Decoder, Encoder};

/// Longest line or bulk string of a reply, in bytes.
const MAX_LINE_BYTES: usize = 512;
/// Bounds of a key's lifetime, in milliseconds.
const MIN_LIFETIME_MS: f64 = 1.0;
const MAX_LIFETIME_MS: f64 = 60_000.0;
const CRLF: &[u8] = b"\r\n";

/// A reply from the counter.
pub(super) enum Reply {
    /// The total after the addition.
    Total(f64),
    /// The counter did not execute the command.
    Rejected,
    /// Any other reply, such as that to a ping.
    Other,
}

/// Codec of connections to the counter.
pub(super) struct RespCodec;

impl Encoder<&Command> for RespCodec {
    type Error = CounterError;

    fn encode(&mut self, command: &Command, dst: &mut BytesMut) -> Result<(), CounterError> {
        match command {
            Command::Add(call) => encode_add(call, dst),
            Command::Ping => {
                dst.extend_from_slice(b"*1\r\n$4\r\nPING\r\n");
                Ok(())
            }
        }
    }
}

fn encode_add(call: &Call, dst: &mut BytesMut) -> Result<(), CounterError> {
    let lifetime = (call.lifetime * 1e3).round().clamp(MIN_LIFETIME_MS, MAX_LIFETIME_MS);
    write!(dst, "*4\r\n$7\r\nINCRTTL\r\n$16\r\n{:016x}\r\n", call.key)?;
    let mut text = String::with_capacity(32);
    for value in [call.amount, lifetime] {
        text.clear();
        write!(text, "{value}")?;
        write!(dst, "${}\r\n{text}\r\n", text.len())?;
    }
    Ok(())
}

impl Decoder for RespCodec {
    type Item = Reply;
    type Error = CounterError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Reply>, CounterError> {
        let Some(line_length) = src.windows(CRLF.len()).position(|pair| pair == CRLF) else {
            return if src.len() > MAX_LINE_BYTES { Err(CounterError::NotResp) } else { Ok(None) };
        };
        let line = std::str::from_utf8(&src[..line_length]).map_err(|_| CounterError::NotResp)?;
        let type_and_text = line.as_bytes().first().zip(line.get(1..));
        let (&type_byte, text) = type_and_text.ok_or(CounterError::NotResp)?;
        let line_end = line_length + CRLF.len();
        let (reply, length) = match type_byte {
            b'-' => (parse_error(text), line_end),
            b'+' | b':' => (parse_total(text), line_end),
            b'$' if text == "-1" => (Reply::Other, line_end),
            b'$' => match parse_bulk_string(src, line_end, text)? {
                Some(parsed) => parsed,
                None => return Ok(None),
            },
            _ => return Err(CounterError::NotResp),
        };
        src.advance(length);
        Ok(Some(reply))
    }
}

fn parse_total(text: &str) -> Reply {
    text.parse().ok().filter(|total: &f64| total.is_finite()).map_or(Reply::Other, Reply::Total)
}

fn parse_error(text: &str) -> Reply {
    if text.starts_with("BUSY") || text.starts_with("ERR") { Reply::Rejected } else { Reply::Other }
}

/// Parses the bulk string that begins at `start` and whose length is given by the text `length`. Returns the reply
/// and the total length of its bytes, or `None` if the reply is incomplete.
fn parse_bulk_string(src: &[u8], start: usize, length: &str) -> Result<Option<(Reply, usize)>, CounterError> {
    let length: usize =
        length.parse().ok().filter(|length| *length <= MAX_LINE_BYTES).ok_or(CounterError::NotResp)?;
    let end = start + length + CRLF.len();
    if src.len() < end {
        return Ok(None);
    }
    if !src[..end].ends_with(CRLF) {
        return Err(CounterError::NotResp);
    }
    let text = std::str::from_utf8(&src[start..start + length]);
    Ok(Some((text.map_or(Reply::Other, parse_total), end)))
}
