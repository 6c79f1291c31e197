//! HTTP/1.1 over TCP sockets, for the programs of this workspace.
//!
//! - [`codec`]: server and client codecs for `tokio_util`'s `Framed`.
//! - [`frame`]: message framing: framing headers, bodies, the chunked coding; memory reserved for large bodies.
//! - [`connection_pool`]: idle connections to hosts, and the limit on open connections.
//! - [`disconnect`]: detects that a client has disconnected while its request is processed.
//! - [`error`]: why a message can't be read.
//!
//! Invariants: this crate knows no application headers, selects no hosts and sends nothing a second time.

pub mod codec;
pub mod connection_pool;
pub mod disconnect;
pub mod error;
pub mod frame;
