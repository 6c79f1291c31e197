//! What a process of the system is told: its settings file and the operator's configurations. Owns their names, their
//! checks and the look-ups in them. Must never open a file or a socket, nor decide what follows from a value.
#![forbid(unsafe_code)]

mod configuration;
mod settings;
mod words;

pub use configuration::{Chart, Route, Service, Share, Tenant, version_of};
pub use settings::{Bounds, Settings};
pub use words::{ChartError, seconds};
