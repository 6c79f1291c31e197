//! Decodes the response to a watch: an endless chunked body with one line per host list.

use super::error::WatchError;
use archlink_http::frame::ChunkedDecoder;
use bytes::{Buf, BytesMut};
use httparse::{EMPTY_HEADER, Status};
use tokio_util::codec::Decoder;

/// Longest line, in bytes. A line holds at most the complete list of thousands of hosts.
const MAX_LINE_BYTES: usize = 4 << 20;
/// Largest head of the response, in bytes and in header lines.
const MAX_HEAD_BYTES: usize = 16 * 1024;
const MAX_HEADERS: usize = 32;

/// Codec of a watch connection.
#[derive(Default)]
pub struct WatchCodec {
    /// `None` until the head is decoded.
    body: Option<ChunkedDecoder>,
    /// Body bytes that have not been returned as lines yet.
    undelivered: BytesMut,
}

/// Returns the length of the response head, or `None` if it is incomplete.
fn head_length(src: &[u8]) -> Result<Option<usize>, WatchError> {
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    match head.parse(src) {
        Ok(Status::Complete(length)) if head.code == Some(200) => Ok(Some(length)),
        Ok(Status::Partial) if src.len() < MAX_HEAD_BYTES => Ok(None),
        _ => Err(WatchError::UnexpectedResponse),
    }
}

impl Decoder for WatchCodec {
    /// A line without its line feed.
    type Item = BytesMut;
    type Error = WatchError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<BytesMut>, WatchError> {
        if self.body.is_none() {
            let Some(length) = head_length(src)? else { return Ok(None) };
            src.advance(length);
        }
        let ended = self.body.get_or_insert_default().feed(src, &mut self.undelivered)?;
        if let Some(length) = self.undelivered.iter().position(|&byte| byte == b'\n') {
            let line = self.undelivered.split_to(length);
            self.undelivered.advance(1);
            return Ok(Some(line));
        }
        if ended || self.undelivered.len() > MAX_LINE_BYTES {
            return Err(WatchError::Ended);
        }
        Ok(None)
    }
}
