//! Control gateways played against each other: the very cores of `harbour` on a made-up network, with made-up clocks and
//! disks, and what must hold looked at in every step. Owns nothing that is deployed. Must never read a clock, touch a
//! socket or sleep: the same seed plays the same story.
#![forbid(unsafe_code)]

pub mod checks;
pub mod disk;
pub mod network;
mod orders;
pub mod runner;
pub mod scenario;
pub mod shrink;

pub use checks::Order;
pub use network::Fleet;
pub use orders::digest;
pub use runner::play;
pub use scenario::{Kind, Plan, Size};
use std::fmt;

/// Why nothing is played.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoundingError {
    /// A plan's file can't be read, or is no plan.
    Plan,
    /// The command line asks for something that is not there.
    Asked,
    /// Plays ended with a fault.
    Fault,
}

impl fmt::Display for SoundingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            SoundingError::Plan => "the plan can't be read",
            SoundingError::Asked => "the command can't be followed",
            SoundingError::Fault => "something did not hold",
        })
    }
}

impl std::error::Error for SoundingError {}
