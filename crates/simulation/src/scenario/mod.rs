//! Scenarios: the operations and faults that a fleet undergoes, step by step. They are generated from a seed, and written as
//! text so that one that violates an invariant can be kept.
//!
//! Invariant: a generated scenario depends only on workload, seed and size.

mod file;
mod generate;
mod step;

pub use step::{Loss, Step};

use archlink_messages::NodeId;
use serde::{Deserialize, Serialize};

/// The number of nodes, and of disks that may be lost at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Size {
    /// Four nodes with three voters; one disk may be lost at a time.
    Small,
    /// Six nodes with five voters; two disks may be lost at a time.
    #[serde(rename = "Grown", alias = "Large")]
    Large,
}

impl Size {
    /// Number of nodes at the start.
    pub fn nodes(self) -> NodeId {
        match self {
            Size::Small => 4,
            Size::Large => 6,
        }
    }

    /// Number of disks that may be lost at once.
    pub fn tolerated_losses(self) -> usize {
        match self {
            Size::Small => 1,
            Size::Large => 2,
        }
    }

    /// `CatchUp` in seconds, as in the operators' deployments of this size.
    pub fn catch_up(self) -> f64 {
        match self {
            Size::Small => 4.0,
            Size::Large => 6.0,
        }
    }

    /// Number of voters required to tolerate those losses.
    pub fn required_voters(self) -> usize {
        2 * self.tolerated_losses() + 1
    }
}

/// The kind of steps that a scenario is generated from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Workload {
    /// Operations and all kinds of faults, with no more lost disks than tolerated.
    Any,
    /// Lost machines as the operators define them, each at the earliest time at which it is allowed.
    Losses,
}

fn catch_up_disabled() -> f64 {
    crate::fleet::CATCH_UP_DISABLED
}

/// The delay after the previous step, in seconds, and the step.
pub type DelayedStep = (f64, Step);

/// A fleet and the steps that it undergoes. The names in files are those of the first version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Scenario {
    /// Seed of the fleet's random number generator, and of the scenario itself if it was generated.
    pub seed: u64,
    /// Size of the fleet.
    pub size: Size,
    /// `CatchUp` in seconds. If it is omitted, no voter is replaced automatically.
    #[serde(default = "catch_up_disabled")]
    pub catch_up: f64,
    /// Rate of each machine's clock, starting with node 1; 1 is exact.
    #[serde(rename = "rates", alias = "clock_rates")]
    pub clock_rates: Vec<f64>,
    /// Duration of a sync on each machine's disk, in seconds.
    #[serde(rename = "syncs", alias = "sync_durations")]
    pub sync_durations: Vec<f64>,
    /// The steps in order.
    pub steps: Vec<DelayedStep>,
}
