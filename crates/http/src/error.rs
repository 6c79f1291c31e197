//! What can be wrong with a message. `Decoder` wants an `io::Error`: these are its inner error there.

use std::fmt::{self, Display, Formatter};
use std::io;

/// A message that can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolError {
    /// The head of a response is no HTTP/1.x, or over the limits of [`crate::codec`].
    ResponseHead,
    /// The headers of a response leave its length in doubt, such as two different lengths.
    ResponseFraming,
    /// A chunk does not begin with its size.
    ChunkSize,
    /// A chunk's data does not end with CRLF.
    ChunkEnd,
    /// A line of the trailer is longer than the limit.
    Trailer,
    /// The body is longer than it may be.
    BodyTooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// There is not enough memory left among that set aside for large bodies.
    OutOfMemory {
        /// Bytes of the body as far as known.
        needed: usize,
    },
    /// The connection ended within a message.
    Truncated,
}

impl Display for ProtocolError {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self {
            ProtocolError::ResponseHead => f.write_str("response: head malformed or too large"),
            ProtocolError::ResponseFraming => f.write_str("response: headers leave its length in doubt"),
            ProtocolError::ChunkSize => f.write_str("chunked body: malformed chunk size"),
            ProtocolError::ChunkEnd => f.write_str("chunked body: no CRLF after a chunk"),
            ProtocolError::Trailer => f.write_str("chunked body: trailer line too long"),
            ProtocolError::BodyTooLarge { limit } => write!(f, "body: more than the {limit} bytes allowed"),
            ProtocolError::OutOfMemory { needed } => {
                write!(f, "body: no memory left for {needed} bytes among that set aside for large bodies")
            }
            ProtocolError::Truncated => f.write_str("message cut short by the end of its connection"),
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
