//! The operators' commands. Each sends one call of the table in `admin::calls` and prints the response.
//!
//! Invariant: only a valid configuration is sent.

use super::arguments::argument;
use super::client::{Header, call_any, target_addresses};
use super::force_new_generation;
use crate::admin::calls::Call;
use crate::admin::configuration::{digest, hex, validate};
use crate::admin::voters::parse_node;
use crate::error::failure;
use crate::{ControlPlaneError, ControlPlaneResult};
use clap::ArgMatches;
use error_stack::ResultExt;
use std::io::{self, Write};
use std::net::Ipv4Addr;

/// Runs a command by its name.
pub(super) async fn run(name: &str, arguments: &ArgMatches) -> ControlPlaneResult<()> {
    match name {
        "check" => read_checked_file(arguments).map(drop),
        "apply" => {
            let text = read_checked_file(arguments)?;
            call_and_print(arguments, Call::ReplaceConfiguration, "", &text).await
        }
        "read" => read_configuration(arguments).await,
        "voters" => run_voters(arguments).await,
        "members" => call_and_print(arguments, Call::Members, "", b"").await,
        "hosts" => call_and_print(arguments, Call::Hosts, "", b"").await,
        "leases" => call_and_print(arguments, Call::Leases, "", b"").await,
        "quota" => call_and_print(arguments, Call::Quota, "", b"").await,
        "events" => call_and_print(arguments, Call::Events, "", b"").await,
        _ => evacuate(arguments).await,
    }
}

async fn call_and_print(
    arguments: &ArgMatches,
    call: Call,
    path_parameters: &str,
    body: &[u8],
) -> ControlPlaneResult<()> {
    let response = call_any(&target_addresses(arguments)?, call, path_parameters, body).await?;
    println!("{}", String::from_utf8_lossy(&response.body));
    Ok(())
}

async fn evacuate(arguments: &ArgMatches) -> ControlPlaneResult<()> {
    let (action, arguments) = arguments.subcommand().unwrap_or(("", arguments));
    let call = if action == "begin" { Call::BeginEvacuation } else { Call::FinishEvacuation };
    call_and_print(arguments, call, argument(arguments, "ZONE"), b"").await
}

/// Prints the configuration in force after checking its digest against the announced one.
async fn read_configuration(arguments: &ArgMatches) -> ControlPlaneResult<()> {
    let response = call_any(&target_addresses(arguments)?, Call::ReadConfiguration, "", b"").await?;
    let field = |header: Header| header.value_in(&response).unwrap_or("?");
    let (version, announced) = (field(Header::ConfigVersion), field(Header::ConfigDigest));
    let age = field(Header::ConfirmedSecondsAgo);
    let computed = hex(&digest(&response.body));
    if announced != computed {
        let reason =
            format!("the received text has digest {computed}, but the response announced {announced}");
        return Err(failure(ControlPlaneError::Call, reason));
    }
    eprintln!("version {version}, digest {computed}, confirmed by a quorum {age} s ago");
    // The bytes are written unchanged, so that a file saved from the output has the same digest.
    io::stdout().write_all(&response.body).change_context(ControlPlaneError::Call)
}

/// Reads and validates `FILE`, and prints a summary for the operator.
fn read_checked_file(arguments: &ArgMatches) -> ControlPlaneResult<Vec<u8>> {
    let file = argument(arguments, "FILE");
    let text =
        std::fs::read(file).change_context(ControlPlaneError::File).attach_with(|| file.to_string())?;
    let configuration =
        validate(&text).map_err(|reason| failure(ControlPlaneError::File, format!("{file}: {reason}")))?;
    let (routes, services, tenants) =
        (configuration.routes.len(), configuration.services.len(), configuration.tenants.len());
    let (version, digest) = (configuration.version, hex(&digest(&text)));
    eprintln!(
        "version {version:08x}, digest {digest}: {routes} routes, {services} services, {tenants} tenants"
    );
    Ok(text)
}

async fn run_voters(arguments: &ArgMatches) -> ControlPlaneResult<()> {
    match arguments.subcommand() {
        Some(("replace", arguments)) => {
            let path_parameters =
                [node_address(arguments, "OLD")?, node_address(arguments, "NEW")?].join("/");
            call_and_print(arguments, Call::ReplaceVoter, &path_parameters, b"").await
        }
        Some((_, arguments)) => force_new_generation::run(arguments).await,
        None => call_and_print(arguments, Call::Voters, "", b"").await,
    }
}

/// The node address in an argument, without its port.
fn node_address(arguments: &ArgMatches, name: &str) -> ControlPlaneResult<String> {
    let text = argument(arguments, name);
    let reason = || format!("{name}: {text:?} is not a node address such as 10.0.0.1");
    let node = parse_node(text).ok_or_else(|| failure(ControlPlaneError::Call, reason()))?;
    Ok(Ipv4Addr::from(node).to_string())
}
