//! The control plane: the server of one control node ([`serve`]), and the operators' command line ([`cli`]).
//!
//! `server` connects the core (`archlink_control_node`) with sockets, disk and clock; `admin` is its HTTP interface for
//! operators and clients; `cli` sends that interface's calls. No decision of the protocol is made in this package.
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
