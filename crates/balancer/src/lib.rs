//! Load balancing at one data node: the hosts that it knows, and the selection of a host for each request.
//!
//! - [`balancer`]: the entry point, [`balancer::Balancer`].
//! - [`selection`]: which hosts are eligible, and the expected response time and cost of each.
//! - `subset`: the few hosts that a data node prefers.
//! - [`slow_start`]: how many requests a host that is warming up may get.
//! - `outlier`: ejection of unreachable hosts and avoidance of unhealthy ones.
//! - `probing`: tests of hosts that get no requests because they were slow.
//! - [`load_shedding`]: which requests are rejected early while hosts are full.
//! - [`attempt`], `host`, [`pool_stats`], [`service_time`]: how attempts end, and the statistics of each host and of each
//!   pool of hosts.
//! - [`retry_budget`]: whether a request may be retried.
//!
//! This crate does no I/O and reads no clock: callers pass all times, in seconds of the data node's monotonic clock.
//! `docs/system.md`, "Hosts", gives the reasons for the design and the alternatives that were rejected.

pub mod attempt;
pub mod balancer;
mod host;
pub mod load_shedding;
mod outlier;
pub mod pool_stats;
mod probing;
pub mod retry_budget;
pub mod selection;
pub mod service_time;
pub mod slow_start;
mod subset;
