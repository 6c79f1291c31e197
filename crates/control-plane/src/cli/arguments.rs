//! The definition of the command line. Former command names remain as hidden aliases.

use clap::{Arg, ArgAction, ArgMatches, Command};

fn voters() -> Command {
    let option = |name: &'static str, help: &'static str| Arg::new(name).long(name).help(help);
    Command::new("voters")
        .about("Show the voters, what one control node has accepted, and when it last heard from each voter")
        .subcommand(
            Command::new("replace")
                .about("Replace a voter by another control node that is running")
                .arg(Arg::new("OLD").required(true).help("address of the voter to remove, for example 10.0.0.1"))
                .arg(Arg::new("NEW").required(true).help("address of the control node to add")),
        )
        .subcommand(
            Command::new("force-new")
                .alias("found-anew")
                .about("After the permanent loss of a majority of the voters: show what is left; with all three options, force a new generation")
                .arg(option("at", "the survivor whose state is kept, as shown"))
                .arg(option("epoch", "its epoch, as shown"))
                .arg(option("lose", "the voters to give up, as shown: ADDRESS,ADDRESS")),
        )
}

fn evacuate() -> Command {
    let zone = || Arg::new("ZONE").required(true).help("a zone in the settings");
    Command::new("evacuate")
        .about("Stop or resume sending requests to a zone's hosts")
        .subcommand_required(true)
        .subcommand(Command::new("begin").about("Stop sending requests to the zone's hosts").arg(zone()))
        .subcommand(Command::new("finish").about("Resume sending requests to the zone's hosts").arg(zone()))
}

/// The whole command line.
pub(super) fn command_line() -> Command {
    let file = || Arg::new("FILE").required(true).help("a configuration file in JSON");
    let to = Arg::new("to")
        .long("to")
        .global(true)
        .action(ArgAction::Append)
        .value_name("ADDRESS")
        .help("address of a control node; may be repeated; defaults to the seeds in the settings file");
    Command::new("archlink-control-plane")
        .version(env!("CARGO_PKG_VERSION"))
        .about("The control plane of archlink, and its command line for operators")
        .arg(to)
        .subcommand(Command::new("run").about("Serve as a control node (the default without a subcommand)"))
        .subcommand(Command::new("check").about("Validate a configuration without sending it").arg(file()))
        .subcommand(Command::new("read").about("Print the configuration in force"))
        .subcommand(Command::new("apply").alias("replace").about("Put a configuration in force").arg(file()))
        .subcommand(evacuate())
        .subcommand(voters())
        .subcommand(Command::new("members").about("List control nodes and data nodes"))
        .subcommand(Command::new("hosts").about("List hosts and evacuated zones"))
        .subcommand(
            Command::new("leases").alias("duties").about("Show which control node holds which role's lease"),
        )
        .subcommand(Command::new("quota").about("Show tenants' quotas and the quota counter"))
        .subcommand(
            Command::new("events")
                .alias("journal")
                .about("List the recent events that one control node has seen"),
        )
}

/// The value of an argument, empty if it is absent.
pub(super) fn argument<'a>(arguments: &'a ArgMatches, name: &str) -> &'a str {
    arguments.get_one::<String>(name).map_or("", String::as_str)
}

#[cfg(test)]
mod tests;
