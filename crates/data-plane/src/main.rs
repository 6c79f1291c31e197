//! `archlink-data-plane`: the command line and signal handling of the data plane.

use archlink_data_plane::{DataPlaneError, DataPlaneResult, read_settings, serve};
use archlink_runtime::until_terminated;
use clap::{Arg, Command, value_parser};
use error_stack::ResultExt;
use tokio::runtime::LocalOptions;

/// Exit status if the program fails to start.
const EXIT_NOT_STARTED: i32 = 2;

/// Reads and validates the settings file on SIGHUP. The settings in use stay the same until the next start.
fn validate_settings() {
    match read_settings() {
        Ok(settings) => {
            log::info!(seeds = settings.seeds.len(); "settings file valid; in use from the next start");
        }
        Err(e) => {
            let error = archlink_runtime::report_line(&e);
            log::error!(error = error.as_str(); "settings file rejected");
        }
    }
}

fn run(metrics_port: Option<u16>) -> DataPlaneResult<()> {
    let settings = read_settings()?;
    let level = std::env::var("ARCHLINK_LOG").ok().and_then(|level| level.parse().ok());
    archlink_runtime::log_to_stderr(&settings.name, level.unwrap_or(log::LevelFilter::Info));
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime =
        builder.enable_all().build_local(LocalOptions::default()).change_context(DataPlaneError::Start)?;
    runtime.block_on(async {
        let terminated = until_terminated(validate_settings).change_context(DataPlaneError::Start)?;
        serve(settings, metrics_port, terminated).await
    })?;
    std::process::exit(0)
}

fn main() {
    let about = "Run a data node of archlink with the settings file that ARCHLINK_CONFIG names";
    let metrics_port = Arg::new("metrics-port")
        .long("metrics-port")
        .value_name("PORT")
        .value_parser(value_parser!(u16).range(1..))
        .help("Serve this process's metrics as OpenMetrics text at http://IpAddress:PORT/metrics");
    let command =
        Command::new("archlink-data-plane").version(env!("CARGO_PKG_VERSION")).about(about).arg(metrics_port);
    let arguments = command.get_matches();
    if let Err(e) = run(arguments.get_one("metrics-port").copied()) {
        eprintln!("archlink-data-plane: {}", archlink_runtime::report_line(&e));
        std::process::exit(EXIT_NOT_STARTED);
    }
}
