//! archlink-harbourmaster, the former name of archlink-control-plane. Deprecated: the same program, for scripts and units
//! that still start it by this name.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    archlink_control_plane::cli::run()
}
