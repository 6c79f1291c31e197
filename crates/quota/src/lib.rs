//! Tenant quotas over all data nodes.
//!
//! - [`counter`]: the counters that the control node with the quota counter's lease keeps in memory.
//! - [`counter_client`]: the decision module at a data node, which sends one add a request to the counter.
//! - [`pending_calls`]: matches the counter's replies to the calls of a data node.
//! - [`local_share`]: what a data node admits by itself where the counter denies or does not reply.
//!
//! The counter and the local shares together keep the quota's bound, also through a partition;
//! [`local_share`] has the formula. Nothing here does I/O or reads a clock.

pub mod counter;
pub mod counter_client;
pub mod local_share;
pub mod pending_calls;
