//! Tenant quotas over all data nodes.
//!
//! - [`counter`]: the counters that the holder of the quota counter's lease, a control node, keeps in memory.
//! - [`counter_client`]: the admission module at a data node, which sends one add per request to the counter.
//! - [`pending_calls`]: matches the counter's replies to the calls of a data node.
//! - [`local_share`]: what a data node admits by itself where the counter rejects or does not reply.
//!
//! The counter and the local shares together keep the quota's bound, also during a partition; [`local_share`] has the
//! formula. This package does no I/O and reads no clock.

pub mod counter;
pub mod counter_client;
pub mod local_share;
pub mod pending_calls;
