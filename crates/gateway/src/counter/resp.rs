//! RESP2: the commands `INCRTTL key amount milliseconds` and `PING`, and their replies.

use super::calls::{Call, Command};
use super::error::CounterError;
use bytes::{Buf, BytesMut};
use std::fmt::Write;
use tokio_util::codec::{Decoder, Encoder};

/// Longest line or bulk string of a reply, in bytes.
const MAX_LINE: usize = 512;
/// Bounds of a key's lifetime, in milliseconds.
const MIN_LIFETIME_MS: f64 = 1.0;
const MAX_LIFETIME_MS: f64 = 60_000.0;
const LINE_END: &[u8] = b"\r\n";

/// A reply of the counter.
pub(super) enum Reply {
    /// The total after the add.
    Total(f64),
    /// The command was not carried out.
    Rejected,
    /// Neither.
    Other,
}

/// Codec of a connection to the counter.
pub(super) struct RespCodec;

impl Encoder<&Command> for RespCodec {
    type Error = CounterError;

    fn encode(&mut self, command: &Command, to: &mut BytesMut) -> Result<(), CounterError> {
        match command {
            Command::Add(call) => encode_add(call, to),
            Command::Ping => {
                to.extend_from_slice(b"*1\r\n$4\r\nPING\r\n");
                Ok(())
            }
        }
    }
}

fn encode_add(call: &Call, to: &mut BytesMut) -> Result<(), CounterError> {
    let lifetime = (call.lifetime * 1e3).round().clamp(MIN_LIFETIME_MS, MAX_LIFETIME_MS);
    write!(to, "*4\r\n$7\r\nINCRTTL\r\n$16\r\n{:016x}\r\n", call.key)?;
    let mut text = String::with_capacity(32);
    for value in [call.amount, lifetime] {
        text.clear();
        write!(text, "{value}")?;
        write!(to, "${}\r\n{text}\r\n", text.len())?;
    }
    Ok(())
}

impl Decoder for RespCodec {
    type Item = Reply;
    type Error = CounterError;

    fn decode(&mut self, from: &mut BytesMut) -> Result<Option<Reply>, CounterError> {
        let Some(line_length) = from.windows(LINE_END.len()).position(|pair| pair == LINE_END) else {
            return if from.len() > MAX_LINE { Err(CounterError::NotResp) } else { Ok(None) };
        };
        let line = std::str::from_utf8(&from[..line_length]).map_err(|_| CounterError::NotResp)?;
        let kind_and_text = line.as_bytes().first().zip(line.get(1..));
        let (&kind, text) = kind_and_text.ok_or(CounterError::NotResp)?;
        let line_end = line_length + LINE_END.len();
        let (reply, length) = match kind {
            b'-' => (parse_error(text), line_end),
            b'+' | b':' => (parse_total(text), line_end),
            b'$' if text == "-1" => (Reply::Other, line_end),
            b'$' => match parse_bulk_string(from, line_end, text)? {
                Some(parsed) => parsed,
                None => return Ok(None),
            },
            _ => return Err(CounterError::NotResp),
        };
        from.advance(length);
        Ok(Some(reply))
    }
}

fn parse_total(text: &str) -> Reply {
    text.parse().ok().filter(|total: &f64| total.is_finite()).map_or(Reply::Other, Reply::Total)
}

fn parse_error(text: &str) -> Reply {
    if text.starts_with("BUSY") || text.starts_with("ERR") { Reply::Rejected } else { Reply::Other }
}

/// The string after `start` and the length of the reply with it; `None` where it is incomplete. `length` is the text of the
/// string's length.
fn parse_bulk_string(
    from: &[u8],
    start: usize,
    length: &str,
) -> Result<Option<(Reply, usize)>, CounterError> {
    let length: usize = length.parse().ok().filter(|n| *n <= MAX_LINE).ok_or(CounterError::NotResp)?;
    let end = start + length + LINE_END.len();
    if from.len() < end {
        return Ok(None);
    }
    if !from[..end].ends_with(LINE_END) {
        return Err(CounterError::NotResp);
    }
    let text = std::str::from_utf8(&from[start..start + length]);
    Ok(Some((text.map_or(Reply::Other, parse_total), end)))
}
