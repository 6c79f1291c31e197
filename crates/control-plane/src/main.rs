//! archlink-control-plane: the control plane's program, and the operators' command line to it. Owns the command line and
//! the signals. Must never take part in a decision.
#![forbid(unsafe_code)]

use archlink_control_plane::{ControlPlaneError, Outcome, admin_client, read_settings, serve};
use archlink_runtime::until_terminated;
use clap::{Arg, ArgAction, ArgMatches, Command};
use error_stack::ResultExt;
use tokio::runtime::LocalOptions;

/// SIGHUP has the settings read and checked again; what is in use stays until the next start.
fn read_again() {
    match read_settings() {
        Ok(read) => log::info!("settings read again: {} seeds; what is in use stays", read.seeds.len()),
        Err(e) => log::error!("settings: {}; what is in use stays", archlink_runtime::report_line(&e)),
    }
}

fn on_runtime<T>(work: impl Future<Output = Outcome<T>>) -> Outcome<T> {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime =
        builder.enable_all().build_local(LocalOptions::default()).change_context(ControlPlaneError::Start)?;
    runtime.block_on(work)
}

fn voters() -> Command {
    let word = |name: &'static str, help: &'static str| Arg::new(name).long(name).help(help);
    Command::new("voters")
        .about("Who votes, what one control gateway holds and whom it hears")
        .subcommand(
            Command::new("replace")
                .about("Give the seat of a machine to another one that is up")
                .arg(Arg::new("OLD").required(true).help("address of the machine that goes, as 10.0.0.1"))
                .arg(Arg::new("NEW").required(true).help("address of the one that comes")),
        )
        .subcommand(
            Command::new("found-anew")
                .about("With a majority of the voters gone for good: show what is left; with all three words, found anew")
                .arg(word("at", "the survivor to found from, as it was shown"))
                .arg(word("epoch", "its epoch, as it was shown"))
                .arg(word("lose", "the seats that are given up, as they were shown: ADDRESS,ADDRESS")),
        )
}

fn commands() -> Command {
    let file = || Arg::new("FILE").required(true).help("a configuration, as JSON");
    let zone = || Arg::new("ZONE").required(true);
    let to = Arg::new("to")
        .long("to")
        .global(true)
        .action(ArgAction::Append)
        .value_name("ADDRESS")
        .help("a control gateway, also several; else the seeds of the settings file");
    Command::new("archlink-control-plane")
        .version(env!("CARGO_PKG_VERSION"))
        .about("The control plane of archlink, and the operators' way to it")
        .arg(to)
        .subcommand(Command::new("run").about("Serve as a control gateway (also without a subcommand)"))
        .subcommand(Command::new("check").about("Check a configuration without sending it").arg(file()))
        .subcommand(Command::new("read").about("Print the configuration in force"))
        .subcommand(Command::new("replace").about("Put a configuration in force").arg(file()))
        .subcommand(
            Command::new("evacuate")
                .about("Send nothing more to a zone's hosts, or take it back")
                .subcommand_required(true)
                .subcommand(Command::new("begin").arg(zone()))
                .subcommand(Command::new("finish").arg(zone())),
        )
        .subcommand(voters())
        .subcommand(Command::new("members").about("Control and data gateways that are there"))
        .subcommand(Command::new("hosts").about("Hosts, and evacuated zones"))
        .subcommand(Command::new("duties").about("Who does what for all"))
        .subcommand(Command::new("quota").about("Tenants' quotas, and the counter"))
        .subcommand(Command::new("journal").about("What happened lately, as one control gateway saw it"))
}

fn begin_command(matches: &ArgMatches) -> Outcome<()> {
    match matches.subcommand() {
        None | Some(("run", _)) => {
            let settings = read_settings()?;
            let level = std::env::var("ARCHLINK_LOG").ok().and_then(|l| l.parse().ok());
            archlink_runtime::log_to_stderr(&settings.name, level.unwrap_or(log::LevelFilter::Info));
            on_runtime(async {
                serve(settings, until_terminated(read_again).change_context(ControlPlaneError::Start)?).await
            })
        }
        Some((name, below)) => on_runtime(admin_client::command(name, below)),
    }
}

fn main() {
    if let Err(e) = begin_command(&commands().get_matches()) {
        eprintln!("archlink-control-plane: {}", archlink_runtime::report_line(&e));
        // Refused because something else stands: another text under the number, or other voters.
        std::process::exit(if *e.current_context() == ControlPlaneError::Refused { 3 } else { 2 });
    }
}

#[cfg(test)]
mod tests {
    #[test]
    fn the_command_line_is_sound() {
        super::commands().debug_assert();
    }
}
