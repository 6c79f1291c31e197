//! What a process of the system is told: its settings file and the operator's configurations. Owns their names, their
//! checks and the look-ups in them. Must never open a file or a socket, nor decide what follows from a value.
#![forbid(unsafe_code)]

mod configuration;
mod error;
mod settings;

pub use configuration::{Configuration, Route, Service, Tenant, WeightedService, version_of};
pub use error::{ConfigError, parse_seconds};
pub use settings::{Settings, TimingBounds};
