//! Framing of an HTTP/1.1 message (RFC 9112, sections 6 and 7): which headers say how long its body is, where the body ends,
//! and the chunked coding, decoded as bytes arrive.
//!
//! Invariants: a message that two readers could frame differently is not accepted. Nothing here holds a connection or reads
//! a clock, and no header is known that is not about framing or the connection.

mod body;
mod chunked;
mod headers;
mod reserved_bytes;

pub use body::{BodyLength, BodyProgress};
pub use chunked::ChunkedDecoder;
pub use headers::{FramingHeaders, framing_headers, header};
pub use reserved_bytes::ReservedBytes;
