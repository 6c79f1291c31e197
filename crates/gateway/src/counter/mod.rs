//! The client of the shared counter: RESP2 on one pipelined connection, with replies matched to calls by their order.
//!
//! One result is reported for each call within the timeout of the settings; later replies are dropped. A call is never
//! repeated. It is reported as not added only if its last byte was never written or the counter rejected it.

mod calls;
mod client;
mod error;
mod resp;

pub use calls::CallQueue;
pub use client::CounterClient;
