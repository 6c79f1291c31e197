//! archlink-harbourmaster, the deprecated former name of archlink-control-plane. It is the same program, kept for scripts and
//! units that still start it by this name.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    archlink_control_plane::cli::run()
}
