//! Scenarios: what befalls a fleet, step by step, drawn from a seed and written as text so that a violation can be kept.
//!
//! Invariant: a drawn scenario depends on nothing but workload, seed and size.

mod draw;
mod file;
mod step;

pub use step::{Loss, Step};

use archlink_messages::NodeId;
use serde::{Deserialize, Serialize};

/// How many nodes there are, and how many disks may be lost at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Size {
    /// Four nodes, three of which vote; one disk may be lost at a time.
    Small,
    /// Six nodes, five of which vote; two disks may be lost at a time.
    #[serde(rename = "Grown", alias = "Large")]
    Large,
}

impl Size {
    /// Nodes at the beginning.
    pub fn nodes(self) -> NodeId {
        match self {
            Size::Small => 4,
            Size::Large => 6,
        }
    }

    /// Disks that may be lost at once.
    pub fn tolerated_losses(self) -> usize {
        match self {
            Size::Small => 1,
            Size::Large => 2,
        }
    }

    /// `CatchUp` in seconds, as the operators' deployments of that size have it.
    pub fn catch_up(self) -> f64 {
        match self {
            Size::Small => 4.0,
            Size::Large => 6.0,
        }
    }

    /// Voters that it takes to tolerate those losses.
    pub fn required_voters(self) -> usize {
        2 * self.tolerated_losses() + 1
    }
}

/// What the steps of a scenario are drawn from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Workload {
    /// All kinds of faults at once, with lost disks within what is tolerated.
    Any,
    /// Lost machines as the operators define them, each in the very moment from which on it is allowed.
    Losses,
}

fn catch_up_disabled() -> f64 {
    crate::fleet::CATCH_UP_DISABLED
}

/// A step, and how many seconds it comes after the one before.
pub type DelayedStep = (f64, Step);

/// A fleet, and what befalls it. The names in files are those of the first version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Scenario {
    /// Seed of the fleet's random draws, and of the scenario's own where it was drawn.
    pub seed: u64,
    /// The fleet's size.
    pub size: Size,
    /// `CatchUp` in seconds; where it is left out no voter is replaced unasked.
    #[serde(default = "catch_up_disabled")]
    pub catch_up: f64,
    /// The rate of each machine's clock, from node 1 on; 1 is exact.
    #[serde(rename = "rates", alias = "clock_rates")]
    pub clock_rates: Vec<f64>,
    /// Seconds that a sync takes on each machine's disk.
    #[serde(rename = "syncs", alias = "sync_durations")]
    pub sync_durations: Vec<f64>,
    /// The steps in order.
    pub steps: Vec<DelayedStep>,
}
