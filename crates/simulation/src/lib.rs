//! Deterministic simulation of control nodes, after FoundationDB's and TigerBeetle's: the protocol code that is deployed
//! runs on a simulated network with simulated clocks and disks, a [`Scenario`] drawn from a seed befalls it, and after every
//! step the [`invariants`] are checked.
//!
//! Invariant: nothing here reads a clock, opens a socket or sleeps. The same seed runs the same schedule on every machine.
//! Nothing of this package is deployed.

pub mod error;
pub mod fleet;
pub mod invariants;
pub mod runner;
pub mod scenario;
pub mod shrink;

/// Earlier path of [`invariants`], which the tests of `control-node` still name.
pub mod checks {
    pub use crate::invariants::Invariants as Checks;
}

pub use error::SimulationError;
pub use fleet::Fleet;
pub use fleet::operators::digest;
pub use invariants::{Operation, Violation};
pub use runner::{RunReport, run_scenario};
pub use scenario::{Scenario, Size, Workload};
