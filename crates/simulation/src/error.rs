//! Why a command of the simulation fails.

use std::fmt;

/// Why nothing was simulated, or that a simulation found a violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SimulationError {
    /// A scenario file cannot be read, or is not a scenario.
    Scenario,
    /// An argument of the command line has no meaning.
    Arguments,
    /// At least one scenario violated an invariant.
    Violation,
}

impl fmt::Display for SimulationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            SimulationError::Scenario => "the scenario can't be read",
            SimulationError::Arguments => "the command line can't be followed",
            SimulationError::Violation => "an invariant was violated",
        })
    }
}

impl std::error::Error for SimulationError {}
