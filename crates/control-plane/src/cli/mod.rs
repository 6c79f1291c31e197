//! The program's command line, which serves as a control node or runs one operator's command.
//!
//! Exit statuses: 0 success, 2 failure, 3 the request conflicts with the current state.

mod arguments;
mod client;
mod commands;
mod disaster_recovery;
mod force_new_generation;

use crate::{ControlPlaneError, ControlPlaneResult, read_settings, serve};
use archlink_runtime::until_terminated;
use clap::ArgMatches;
use error_stack::ResultExt;
use std::process::ExitCode;
use tokio::runtime::LocalOptions;

/// Exit status if the request conflicts with the current state: another text has that version, or the voters are others.
const EXIT_REJECTED: u8 = 3;
/// Exit status of every other failure. It is also clap's exit status for an invalid command line.
const EXIT_FAILED: u8 = 2;

/// Runs the program with the process's arguments.
pub fn run() -> ExitCode {
    match run_command(&arguments::command_line().get_matches()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("archlink-control-plane: {}", archlink_runtime::report_line(&e));
            let rejected = *e.current_context() == ControlPlaneError::Rejected;
            ExitCode::from(if rejected { EXIT_REJECTED } else { EXIT_FAILED })
        }
    }
}

fn run_command(matches: &ArgMatches) -> ControlPlaneResult<()> {
    match matches.subcommand() {
        None | Some(("run", _)) => run_server(),
        Some((name, arguments)) => on_runtime(commands::run(name, arguments)),
    }
}

fn run_server() -> ControlPlaneResult<()> {
    let settings = read_settings()?;
    let level = std::env::var("ARCHLINK_LOG").ok().and_then(|level| level.parse().ok());
    archlink_runtime::log_to_stderr(&settings.name, level.unwrap_or(log::LevelFilter::Info));
    on_runtime(async {
        let terminated = until_terminated(check_settings_file).change_context(ControlPlaneError::Start)?;
        serve(settings, terminated).await
    })
}

/// Validates the settings file on SIGHUP. The settings in use stay until the next start.
fn check_settings_file() {
    match read_settings() {
        Ok(settings) => {
            log::info!(seeds = settings.seeds.len(); "settings file valid; in use from the next start");
        }
        Err(e) => log::error!(error:% = archlink_runtime::report_line(&e); "settings file rejected"),
    }
}

fn on_runtime<T>(work: impl Future<Output = ControlPlaneResult<T>>) -> ControlPlaneResult<T> {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime =
        builder.enable_all().build_local(LocalOptions::default()).change_context(ControlPlaneError::Start)?;
    runtime.block_on(work)
}
