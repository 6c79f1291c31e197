//! archlink-data-plane: the data plane's program. Owns the command line and the signals. Must never look into a request or take
//! part in a decision.
#![forbid(unsafe_code)]

use archlink_data_plane::{DataPlaneError, Outcome, read_settings, serve};
use archlink_runtime::until_terminated;
use clap::{Arg, Command, value_parser};
use error_stack::ResultExt;
use tokio::runtime::LocalOptions;

/// SIGHUP has the settings read and checked again; what is in use stays until the next start.
fn read_again() {
    match read_settings() {
        Ok(read) => log::info!("settings read again: {} seeds; what is in use stays", read.seeds.len()),
        Err(e) => log::error!("settings: {}; what is in use stays", archlink_runtime::report_line(&e)),
    }
}

fn begin(metrics: Option<u16>) -> Outcome<()> {
    let settings = read_settings()?;
    let level = std::env::var("ARCHLINK_LOG").ok().and_then(|l| l.parse().ok());
    archlink_runtime::log_to_stderr(&settings.name, level.unwrap_or(log::LevelFilter::Info));
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime =
        builder.enable_all().build_local(LocalOptions::default()).change_context(DataPlaneError::Start)?;
    runtime.block_on(async {
        serve(settings, metrics, until_terminated(read_again).change_context(DataPlaneError::Start)?).await
    })?;
    std::process::exit(0)
}

fn main() {
    let about = "The data plane of archlink: reads the file that ARCHLINK_CONFIG names and serves clients";
    let metrics = Arg::new("metrics-port")
        .long("metrics-port")
        .value_name("PORT")
        .value_parser(value_parser!(u16).range(1..))
        .help("Tells own figures as OpenMetrics text at http://IpAddress:PORT/metrics");
    let command =
        Command::new("archlink-data-plane").version(env!("CARGO_PKG_VERSION")).about(about).arg(metrics);
    let given = command.get_matches();
    if let Err(e) = begin(given.get_one("metrics-port").copied()) {
        eprintln!("archlink-data-plane: {}", archlink_runtime::report_line(&e));
        std::process::exit(2);
    }
}
