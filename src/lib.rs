//! archlink: admission decisions for services sold by plan.
#![forbid(unsafe_code)]

pub mod again;
pub mod interface;
pub mod logic;
