//! Deterministic simulation of control nodes, in the manner of FoundationDB and TigerBeetle: the deployed protocol code runs
//! on a simulated network with simulated clocks and disks, a [`Scenario`] generated from a seed injects faults, and the
//! [`invariants`] are checked after every step.
//!
//! Invariant: no code here reads a clock, opens a socket or sleeps, so a seed runs the same schedule on every machine. This
//! package is not deployed.

pub mod error;
pub mod fleet;
pub mod invariants;
pub mod runner;
pub mod scenario;
pub mod shrink;

pub use error::SimulationError;
pub use fleet::Fleet;
pub use fleet::operators::digest;
pub use invariants::{Operation, Violation};
pub use runner::{RunReport, run_scenario};
pub use scenario::{Scenario, Size, Workload};
