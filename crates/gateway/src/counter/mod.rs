//! Client of the shared counter: RESP2 on one pipelined connection, replies matched to calls in their order.
//!
//! Each call gets one reply within the time that the settings give; what arrives later is dropped. A call is never
//! repeated, and is reported as not added only where its last byte was never written or the counter rejected it.

mod calls;
mod client;
mod error;
mod resp;

pub use calls::CallQueue;
pub use client::CounterClient;
