//! archlink-control-plane: a control node, and the operators' command line.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    archlink_control_plane::cli::run()
}
