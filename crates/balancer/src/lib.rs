//! Hosts as one data gateway sees them: which there are, who gets the next request, how many a cold one may get, and
//! whether a further try is within the budget. `choice.rs` shows the whole of it. Does no I/O and reads no clock.
#![forbid(unsafe_code)]

pub mod balancer;
pub mod pool_stats;
pub mod retry_budget;
