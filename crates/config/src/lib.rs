//! Settings file of a process and routing configurations sent by operators: parsing, validation and look-ups.
//!
//! - [`Settings`] is read from the settings file once, when a process starts.
//! - [`Configuration`] is a complete set of routes, services and tenants. Operators replace it as a whole at run time.
//!
//! Both are parsed from text into checked types in one step; an error names the key, the value found and the allowed
//! values ([`ConfigError`]). This package does no I/O: callers pass in the text.

mod configuration;
mod duration;
mod error;
mod settings;

pub use configuration::{Configuration, Route, Service, Tenant, WeightedService, parse_version};
pub use duration::parse_seconds;
pub use error::ConfigError;
pub use settings::{Settings, TimingBounds};
