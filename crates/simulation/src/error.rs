//! The errors of the simulation's commands.

use std::fmt;

/// Why a command failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SimulationError {
    /// A scenario file cannot be read or does not contain a valid scenario.
    Scenario,
    /// A command-line argument is invalid.
    Arguments,
    /// At least one scenario violated an invariant.
    Violation,
}

impl fmt::Display for SimulationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            SimulationError::Scenario => "the scenario can't be read",
            SimulationError::Arguments => "the command line is invalid",
            SimulationError::Violation => "an invariant was violated",
        })
    }
}

impl std::error::Error for SimulationError {}
