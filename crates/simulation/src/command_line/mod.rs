//! The command line. The spellings of earlier versions (`--plan`, `--kind`, `--size grown`) are still accepted.

#[cfg(test)]
mod tests;

use crate::Batch;
use archlink_simulation::{Scenario, SimulationError, Size, Workload};
use clap::builder::PossibleValue;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use error_stack::Report;
use std::time::Duration;

/// Defines all subcommands and their arguments.
pub(crate) fn command() -> Command {
    Command::new("archlink-simulation")
        .about("Runs generated scenarios against the control plane's protocol code")
        .subcommand_required(true)
        .subcommand(run_command())
        .subcommand(replay_command())
}

fn run_command() -> Command {
    Command::new("run")
        .about("Run the scenarios of a range of seeds")
        .arg(Arg::new("seeds").long("seeds").default_value("0..1000").help("range of seeds A..B, without B"))
        .arg(size_argument())
        .arg(workload_argument())
        .arg(number("jobs").default_value("1").help("number of threads"))
        .arg(number("for").default_value("86400").help("seconds after which no further scenario starts"))
}

fn replay_command() -> Command {
    Command::new("replay")
        .about("Run one scenario and print its trace")
        .arg(number("seed").required_unless_present("scenario"))
        .arg(Arg::new("scenario").long("scenario").alias("plan").value_name("FILE"))
        .arg(Arg::new("shrink").long("shrink").action(ArgAction::SetTrue))
        .arg(size_argument())
        .arg(workload_argument())
}

fn size_argument() -> Arg {
    let sizes = [PossibleValue::new("small"), PossibleValue::new("large").alias("grown")];
    Arg::new("size").long("size").default_value("small").value_parser(sizes)
}

fn workload_argument() -> Arg {
    Arg::new("workload").long("workload").alias("kind").default_value("any").value_parser(["any", "losses"])
}

fn number(name: &'static str) -> Arg {
    Arg::new(name).long(name).value_parser(value_parser!(u64))
}

fn text<'a>(matches: &'a ArgMatches, name: &str) -> Option<&'a str> {
    matches.get_one::<String>(name).map(String::as_str)
}

fn workload(matches: &ArgMatches) -> Workload {
    match text(matches, "workload") {
        Some("losses") => Workload::Losses,
        _ => Workload::Any,
    }
}

fn size(matches: &ArgMatches) -> Size {
    match text(matches, "size") {
        Some("large" | "grown") => Size::Large,
        _ => Size::Small,
    }
}

/// The scenarios that `run` runs.
///
/// # Errors
///
/// [`SimulationError::Arguments`] if `--seeds` is not a range.
pub(crate) fn batch(matches: &ArgMatches) -> Result<Batch, Report<SimulationError>> {
    let seeds = text(matches, "seeds").unwrap_or_default();
    let invalid =
        || Report::new(SimulationError::Arguments).attach(format!("--seeds {seeds}: expected A..B"));
    let (start, end) = seeds.split_once("..").ok_or_else(invalid)?;
    let start: u64 = start.parse().map_err(|_| invalid())?;
    let end: u64 = end.parse().map_err(|_| invalid())?;
    let number = |name| matches.get_one::<u64>(name).copied().unwrap_or(1);
    Ok(Batch {
        seeds: start..end,
        workload: workload(matches),
        size: size(matches),
        jobs: number("jobs"),
        duration: Duration::from_secs(number("for")),
    })
}

/// The scenario file that `replay` reads, if one is named.
pub(crate) fn scenario_file(matches: &ArgMatches) -> Option<&str> {
    text(matches, "scenario")
}

/// The scenario that `replay` generates from its seed.
pub(crate) fn generated_scenario(matches: &ArgMatches) -> Scenario {
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or_default();
    Scenario::generate(workload(matches), seed, size(matches))
}
