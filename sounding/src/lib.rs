//! Control gateways played against each other: the very cores of `harbour` on a made-up network, with made-up clocks and
//! disks, and what must hold looked at in every step. Owns nothing that is deployed. Must never read a clock, touch a
//! socket or sleep: the same seed plays the same story.
#![forbid(unsafe_code)]

pub mod checks;
pub mod disk;
mod orders;
pub mod world;

pub use checks::Order;
pub use world::Fleet;
