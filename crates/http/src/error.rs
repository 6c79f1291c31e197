//! Why a message can't be read. `Decoder` requires an `io::Error`; its inner error is a [`ProtocolError`].

use std::fmt::{self, Display, Formatter};
use std::io;

/// A message that can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolError {
    /// The head of a response is not valid HTTP/1.x, or exceeds the limits of [`crate::codec`].
    ResponseHead,
    /// The headers of a response make its length ambiguous, such as by two different lengths.
    ResponseFraming,
    /// A chunk does not begin with its size.
    ChunkSize,
    /// A chunk's data does not end with CRLF.
    ChunkEnd,
    /// A line of the trailer section exceeds the limit.
    Trailer,
    /// The body exceeds the limit.
    BodyTooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// Too little of the memory for large bodies is left.
    OutOfMemory {
        /// Length of the body in bytes as far as known.
        needed: usize,
    },
    /// The connection was closed within a message.
    Truncated,
}

impl Display for ProtocolError {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self {
            ProtocolError::ResponseHead => f.write_str("response: head malformed or too large"),
            ProtocolError::ResponseFraming => f.write_str("response: headers make its length ambiguous"),
            ProtocolError::ChunkSize => f.write_str("chunked body: malformed chunk size"),
            ProtocolError::ChunkEnd => f.write_str("chunked body: no CRLF after a chunk"),
            ProtocolError::Trailer => f.write_str("chunked body: trailer line too long"),
            ProtocolError::BodyTooLarge { limit } => write!(f, "body: exceeds the limit of {limit} bytes"),
            ProtocolError::OutOfMemory { needed } => {
                write!(f, "body: too little memory left for large bodies, {needed} bytes needed")
            }
            ProtocolError::Truncated => f.write_str("message truncated: connection closed before its end"),
        }
    }
}

impl std::error::Error for ProtocolError {}

impl From<ProtocolError> for io::Error {
    fn from(error: ProtocolError) -> io::Error {
        let kind = match error {
            ProtocolError::Truncated => io::ErrorKind::UnexpectedEof,
            _ => io::ErrorKind::InvalidData,
        };
        io::Error::new(kind, error)
    }
}
