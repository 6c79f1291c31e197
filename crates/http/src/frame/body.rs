//! The body of a message: its length, and how much of it has arrived.

use super::ChunkedDecoder;
use crate::error::ProtocolError;
use bytes::{Bytes, BytesMut};

/// How the length of a body is determined, and the state of its decoding.
#[derive(Debug)]
pub enum BodyLength {
    /// The number of bytes in `Content-Length`.
    Sized(usize),
    /// The chunked coding; with the data decoded so far.
    Chunked(ChunkedDecoder, BytesMut),
    /// Until the connection is closed; for responses only.
    ToEnd,
}

/// The progress of reading a body.
pub enum BodyProgress {
    /// The body is complete.
    Complete(Bytes),
    /// More bytes have to arrive.
    Partial,
    /// The body exceeds the limit.
    TooLarge,
}

impl BodyLength {
    /// A chunked body of which nothing has been read.
    pub(crate) fn chunked() -> BodyLength {
        BodyLength::Chunked(ChunkedDecoder::default(), BytesMut::new())
    }

    /// Length of the body in bytes as far as known; `from` is the read buffer.
    pub fn known(&self, from: &BytesMut) -> usize {
        match self {
            BodyLength::Sized(size) => *size,
            BodyLength::Chunked(_, body) => body.len() + from.len(),
            BodyLength::ToEnd => from.len(),
        }
    }

    /// Takes the body from the read buffer `from` once it is complete. `at_eof` is whether the peer has closed the
    /// connection, `limit` the longest accepted body in bytes.
    ///
    /// # Errors
    ///
    /// The errors of [`ChunkedDecoder::feed`].
    pub fn take(
        &mut self,
        from: &mut BytesMut,
        at_eof: bool,
        limit: usize,
    ) -> Result<BodyProgress, ProtocolError> {
        match self {
            BodyLength::Sized(size) if *size > limit => Ok(BodyProgress::TooLarge),
            BodyLength::Sized(size) if from.len() >= *size => {
                Ok(BodyProgress::Complete(from.split_to(*size).freeze()))
            }
            BodyLength::Sized(size) => {
                from.reserve(*size - from.len());
                Ok(BodyProgress::Partial)
            }
            BodyLength::Chunked(decoder, body) => {
                let complete = decoder.feed(from, body)?;
                if body.len() > limit {
                    return Ok(BodyProgress::TooLarge);
                }
                Ok(if complete {
                    BodyProgress::Complete(body.split().freeze())
                } else {
                    BodyProgress::Partial
                })
            }
            BodyLength::ToEnd if from.len() > limit => Ok(BodyProgress::TooLarge),
            BodyLength::ToEnd if at_eof => Ok(BodyProgress::Complete(from.split().freeze())),
            BodyLength::ToEnd => Ok(BodyProgress::Partial),
        }
    }
}
