//! Decodes a watch: an HTTP answer with a chunked body that does not end, a line for each list.

use super::error::WatchError;
use archlink_http::frame::ChunkedDecoder;
use bytes::{Buf, BytesMut};
use httparse::{EMPTY_HEADER, Status};
use tokio_util::codec::Decoder;

/// Longest line in bytes. It holds at most the complete list: thousands of hosts.
const MAX_LINE: usize = 4 << 20;
/// Largest head of the answer, in bytes and in lines.
const MAX_HEAD: usize = 16 * 1024;
const MAX_HEADERS: usize = 32;

/// Codec of a watch.
#[derive(Default)]
pub struct WatchCodec {
    /// `None` until the head is decoded.
    body: Option<ChunkedDecoder>,
    /// Decoded bytes of lines that are not complete yet.
    unread: BytesMut,
}

/// The length of the answer's head; `None` where it is incomplete.
fn head_length(from: &[u8]) -> Result<Option<usize>, WatchError> {
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    match head.parse(from) {
        Ok(Status::Complete(length)) if head.code == Some(200) => Ok(Some(length)),
        Ok(Status::Partial) if from.len() < MAX_HEAD => Ok(None),
        _ => Err(WatchError::Refused),
    }
}

impl Decoder for WatchCodec {
    /// A line, without its end.
    type Item = BytesMut;
    type Error = WatchError;

    fn decode(&mut self, from: &mut BytesMut) -> Result<Option<BytesMut>, WatchError> {
        if self.body.is_none() {
            let Some(length) = head_length(from)? else { return Ok(None) };
            from.advance(length);
        }
        let ended = self.body.get_or_insert_default().feed(from, &mut self.unread)?;
        if let Some(length) = self.unread.iter().position(|&b| b == b'\n') {
            let line = self.unread.split_to(length);
            self.unread.advance(1);
            return Ok(Some(line));
        }
        if ended || self.unread.len() > MAX_LINE {
            return Err(WatchError::Ended);
        }
        Ok(None)
    }
}
