//! What the data planes share on sockets: HTTP/1.1 framing in both directions, the connections kept to hosts, and whether a
//! client is still there. Must never know a protocol's own header names, choose a host, or send anything a second time.
#![forbid(unsafe_code)]

pub mod codec;
pub mod connection_pool;
pub mod disconnect;
pub mod frame;
