//! HTTP/1.1 codecs: [`ServerCodec`] decodes requests and encodes responses, [`ClientCodec`] does the reverse.
//!
//! The user of a codec names the headers that it wants to read; all others except the hop-by-hop ones are forwarded
//! unchanged. Bodies are buffered up to a limit; those larger than [`MAX_UNRESERVED_BODY`] reserve memory from a budget
//! that all connections share.
//!
//! Invariant: a message is rejected if two parsers could disagree about its end or its header lines.

mod body_reader;
mod client;
mod head;
mod header_value;
mod messages;
mod server;

pub use body_reader::MAX_UNRESERVED_BODY;
pub use client::ClientCodec;
pub use header_value::HeaderValue;
pub use messages::{Decoded, HostResponse, OutgoingRequest, Request, Response};
pub use server::ServerCodec;
