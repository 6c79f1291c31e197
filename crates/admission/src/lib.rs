//! Admission of requests against plans: quotas across all gateways, host selection, retries. The decisions of
//! `archlink-gateway` and of the bench adapter; the quota package uses them as the client of its counter. See
//! [`admission`].

mod accounting;
pub mod admission;
mod attempts;
pub mod backoff;
mod counter_health;
mod counter_keys;
mod host_health;
mod host_list;
mod host_selection;
pub mod interface;
mod marks;
pub mod quota;
mod state;
mod tiers;
mod timers;
mod windows;
