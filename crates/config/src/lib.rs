//! Settings file of a process and routing configurations sent by operators: parsing, validation and look-ups.
//!
//! - [`Settings`] is read once, at the start of a process, from the settings file.
//! - [`Configuration`] is a complete set of routes, services and tenants. Operators replace it at run time as a whole.
//!
//! Both are parsed from text into checked types in one step; an error names the key, the value found and the allowed
//! values ([`ConfigError`]). This package does no I/O: callers hand it the text.

mod configuration;
mod duration;
mod error;
mod settings;

pub use configuration::{Configuration, Route, Service, Tenant, WeightedService, version_of};
pub use duration::parse_seconds;
pub use error::ConfigError;
pub use settings::{Settings, TimingBounds};
