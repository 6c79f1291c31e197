//! The control plane: the server of a control node ([`serve`]) and the operators' command line ([`cli`]).
//!
//! `server` connects the sans-I/O core (`archlink_control_node`) to sockets, disk and clock. `admin` is the HTTP interface for
//! operators and clients, and `cli` is a client of that interface. All protocol decisions are made in the core.
#![forbid(unsafe_code)]

mod admin;
pub mod cli;
mod error;
mod serve;
mod server;
mod settings;
#[cfg(test)]
mod tests;

pub use error::{ControlPlaneError, ControlPlaneResult};
pub use serve::serve;
pub use settings::read_settings;
