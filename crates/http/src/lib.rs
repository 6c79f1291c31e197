//! HTTP/1.1 on sockets, for the programs of this workspace.
//!
//! - [`codec`]: the server's and the client's codec for `tokio_util`'s `Framed`.
//! - [`frame`]: where a message ends: framing headers, bodies, the chunked coding; memory reserved for large bodies.
//! - [`connection_pool`]: idle connections to hosts, and the limit of open ones.
//! - [`disconnect`]: notices that a client has disconnected while its request is processed.
//! - [`error`]: what can be wrong with a message.
//!
//! Invariants: no header name of an application is known here, no host is chosen, and nothing is sent a second time.

pub mod codec;
pub mod connection_pool;
pub mod disconnect;
pub mod error;
pub mod frame;
