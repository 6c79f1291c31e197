//! The words of the command line. Earlier spellings go on working as hidden aliases.

use clap::{Arg, ArgAction, ArgMatches, Command};

fn voters() -> Command {
    let option = |name: &'static str, help: &'static str| Arg::new(name).long(name).help(help);
    Command::new("voters")
        .about("Show the voter set, what one control node holds, and whom it hears")
        .subcommand(
            Command::new("replace")
                .about("Give a voter's seat to another control node that is up")
                .arg(Arg::new("OLD").required(true).help("address of the voter that leaves, as 10.0.0.1"))
                .arg(Arg::new("NEW").required(true).help("address of the control node that joins")),
        )
        .subcommand(
            Command::new("force-new")
                .alias("found-anew")
                .about("With a majority of the voters lost for good: show what is left; with all three options, force a new generation")
                .arg(option("at", "the survivor whose state is kept, as it was shown"))
                .arg(option("epoch", "its epoch, as it was shown"))
                .arg(option("lose", "the voters that are given up, as they were shown: ADDRESS,ADDRESS")),
        )
}

fn evacuate() -> Command {
    let zone = || Arg::new("ZONE").required(true).help("a zone of the settings");
    Command::new("evacuate")
        .about("Send no more requests to a zone's hosts, or send them again")
        .subcommand_required(true)
        .subcommand(Command::new("begin").about("Send no more requests to the zone's hosts").arg(zone()))
        .subcommand(Command::new("finish").about("Send requests to the zone's hosts again").arg(zone()))
}

/// The whole command line.
pub(super) fn command_line() -> Command {
    let file = || Arg::new("FILE").required(true).help("a configuration, as JSON");
    let to = Arg::new("to")
        .long("to")
        .global(true)
        .action(ArgAction::Append)
        .value_name("ADDRESS")
        .help("a control node, may be repeated; by default the seeds of the settings file");
    Command::new("archlink-control-plane")
        .version(env!("CARGO_PKG_VERSION"))
        .about("The control plane of archlink, and its command line for operators")
        .arg(to)
        .subcommand(Command::new("run").about("Serve as a control node (also without a subcommand)"))
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
            Command::new("events").alias("journal").about("List recent events, as one control node saw them"),
        )
}

/// An argument's text; empty where it is absent.
pub(super) fn argument<'a>(arguments: &'a ArgMatches, name: &str) -> &'a str {
    arguments.get_one::<String>(name).map_or("", String::as_str)
}

#[cfg(test)]
mod tests;
