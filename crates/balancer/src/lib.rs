//! Hosts as one data node sees them: which there are, and which of them gets the next request.
//!
//! - [`balancer`]: the whole of it, [`balancer::Balancer`].
//! - [`selection`]: eligible hosts and the expected time and cost of each.
//! - `subset`: the few hosts that a data node prefers.
//! - [`slow_start`]: how many requests a host that is warming up may get.
//! - `outlier`: ejection of unreachable hosts and avoidance of unhealthy ones.
//! - [`admission_queue`]: which requests are rejected early where hosts are full.
//! - [`attempt`], `host`, [`pool_stats`]: how attempts end, and what is learned of a host and of all hosts of a service.
//! - [`retry_budget`]: whether a request may be retried.
//!
//! Nothing here does I/O or reads a clock: all times are seconds on the data node's steady clock, handed in.
//! `docs/system.md`, "Hosts", has the reasons and the ways not taken.

pub mod admission_queue;
pub mod attempt;
pub mod balancer;
mod host;
mod outlier;
pub mod pool_stats;
pub mod retry_budget;
pub mod selection;
pub mod slow_start;
mod subset;
