//! The body of a message: how long it is, and what of it has arrived.

use super::ChunkedDecoder;
use crate::error::ProtocolError;
use bytes::{Bytes, BytesMut};

/// How the length of a body is known, and what of it was decoded.
#[derive(Debug)]
pub enum BodyLength {
    /// As many bytes as `Content-Length` says.
    Sized(usize),
    /// Chunked; with the data of the chunks so far.
    Chunked(ChunkedDecoder, BytesMut),
    /// To the end of the connection, for responses only.
    ToEnd,
}

/// What there is of a body.
pub enum BodyProgress {
    /// All of it.
    Complete(Bytes),
    /// More has to arrive.
    Partial,
    /// It is longer than it may be.
    TooLarge,
}

impl BodyLength {
    /// A chunked body of which nothing was read.
    pub(crate) fn chunked() -> BodyLength {
        BodyLength::Chunked(ChunkedDecoder::default(), BytesMut::new())
    }

    /// Bytes of the body as far as known; `from` is the read buffer.
    pub fn known(&self, from: &BytesMut) -> usize {
        match self {
            BodyLength::Sized(size) => *size,
            BodyLength::Chunked(_, body) => body.len() + from.len(),
            BodyLength::ToEnd => from.len(),
        }
    }

    /// Takes the body from the read buffer once all of it is there. `ended` is whether the connection has ended, `limit`
    /// that of the body in bytes.
    ///
    /// # Errors
    ///
    /// Those of [`ChunkedDecoder::feed`].
    pub fn take(
        &mut self,
        from: &mut BytesMut,
        ended: bool,
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
            BodyLength::ToEnd if ended => Ok(BodyProgress::Complete(from.split().freeze())),
            BodyLength::ToEnd => Ok(BodyProgress::Partial),
        }
    }
}
