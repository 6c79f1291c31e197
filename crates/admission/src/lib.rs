//! archlink: admission decisions for services sold by plan.
#![forbid(unsafe_code)]

pub mod again;
mod hand_offs;
mod hosts;
pub mod interface;
pub mod logic;
mod names;
pub mod quota;
mod state;
mod timing;
