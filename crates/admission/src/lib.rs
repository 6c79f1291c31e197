//! archlink: admission decisions for services sold by plan.
#![forbid(unsafe_code)]

pub mod admission;
mod attempts;
pub mod backoff;
mod counter_keys;
mod hosts;
pub mod interface;
pub mod quota;
mod state;
mod timers;
