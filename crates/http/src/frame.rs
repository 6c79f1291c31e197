//! Framing of HTTP/1.1 messages (RFC 9112, sections 6 and 7): the headers that define the length of the body, where the
//! body ends, and an incremental decoder of the chunked coding.
//!
//! Invariants: a message that two parsers could frame differently is rejected. This module holds no connection, reads
//! no clock and knows only the headers that concern framing or the connection.

mod body;
mod chunked;
mod headers;
mod reserved_bytes;

pub use body::{BodyLength, BodyProgress};
pub use chunked::ChunkedDecoder;
pub use headers::{FramingHeaders, framing_headers, header};
pub use reserved_bytes::ReservedBytes;
