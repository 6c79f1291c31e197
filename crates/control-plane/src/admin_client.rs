//! The operators' commands: each is one call of the table in `calls.rs`, sent to one control gateway after another until
//! one answers. Owns what is printed. Must never send a configuration that does not pass the check.

use crate::admin_commands::{digest, hex};
use crate::calls::Call;
use crate::disaster_recovery::{Told, Words, survey};
use crate::{ControlPlaneError, Outcome, admin_commands, read_settings, voter_admin};
use archlink_http::codec::{ClientCodec, HostResponse, OutgoingRequest};
use clap::ArgMatches;
use error_stack::{Report, ResultExt};
use futures_util::future::join_all;
use futures_util::{SinkExt, StreamExt};
use serde_json::{Value, json};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;

const MOST_BODY: usize = 64 << 20;
const WITHIN: Duration = Duration::from_secs(3);
/// Redirections that are followed.
const MOST_HOPS: usize = 2;
/// Control gateways that are asked where all are, and how often those that they name are asked as well.
const MOST_ASKED: usize = 64;
const MOST_ROUNDS: usize = 3;
/// Headers of replies, in the order of their fields.
const WANTED: &[&str] = &["location", "config-version", "config-digest", "confirmed-seconds-ago"];

async fn ask(to: SocketAddr, call: Call, names: &str, body: &[u8]) -> io::Result<HostResponse> {
    let (method, mut to, mut target) = (call.method(), to, format!("{}{names}", call.path()));
    for _ in 0..=MOST_HOPS {
        let stream = TcpStream::connect(to).await?;
        let mut framed =
            Framed::new(stream, ClientCodec::new(WANTED, MOST_BODY, Rc::new(Cell::new(MOST_BODY))));
        let lines = b"Content-Type: application/json\r\nConnection: close\r\n";
        framed.send(OutgoingRequest { method, target: &target, host: &to.to_string(), lines, body }).await?;
        let reply = framed.next().await.unwrap_or(Err(io::ErrorKind::UnexpectedEof.into()))?;
        let next = reply.fields[0].once().and_then(|text| text.strip_prefix("http://")?.split_once('/'));
        match next {
            Some((host, path)) if reply.status == 307 => {
                to = host.parse().map_err(|_| io::Error::other("a redirection to no address"))?;
                target = format!("/{path}");
            }
            _ => return Ok(reply),
        }
    }
    Err(io::Error::other("too many redirections"))
}

async fn ask_in_time(to: SocketAddr, call: Call, names: &str, body: &[u8]) -> io::Result<HostResponse> {
    let asked = timeout(WITHIN, ask(to, call, names, body)).await;
    asked.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

fn address(argument: &str, text: &str) -> Outcome<SocketAddr> {
    let read = text.parse().change_context(ControlPlaneError::Call);
    read.attach_with(|| format!("{argument}: {text:?} is no address with a port, as 10.0.0.1:8200"))
}

fn addresses(below: &ArgMatches) -> Outcome<Vec<SocketAddr>> {
    match below.get_many::<String>("to") {
        Some(texts) => texts.map(|text| address("--to", text)).collect(),
        None => Ok(read_settings()?.seeds.into_iter().map(SocketAddr::from).collect()),
    }
}

fn failed(kind: ControlPlaneError, why: String) -> Report<ControlPlaneError> {
    Report::new(kind).attach(why)
}

/// Why an order is refused, in words.
fn refusal(to: SocketAddr, body: &[u8]) -> String {
    let told: Value = serde_json::from_slice(body).unwrap_or_default();
    let word = |name: &str| told[name].as_str().unwrap_or("");
    let mut said = match word("Error") {
        "" => format!("{to} refuses: {}", String::from_utf8_lossy(body)),
        why => format!("{to} refuses: {why}"),
    };
    if !word("Digest").is_empty() {
        let (version, theirs, yours) = (word("ConfigVersion"), word("Digest"), word("YourDigest"));
        said += &format!("; under {version} stands the text of digest {theirs}, yours is of {yours}");
    }
    said
}

/// Sends a call to one control gateway after another until one answers for good.
async fn reply(to: &[SocketAddr], call: Call, names: &str, body: &[u8]) -> Outcome<HostResponse> {
    let mut last = failed(ControlPlaneError::Call, "no control gateway is named".into());
    for &to in to {
        match ask_in_time(to, call, names, body).await {
            Ok(reply) if reply.status == 200 => return Ok(reply),
            Ok(reply) if reply.status == 409 => {
                return Err(failed(ControlPlaneError::Refused, refusal(to, &reply.body)));
            }
            Ok(reply) => {
                let text = String::from_utf8_lossy(&reply.body);
                last = failed(ControlPlaneError::Call, format!("{to} answered {}: {text}", reply.status));
                if reply.status < 500 {
                    return Err(last);
                }
            }
            Err(e) => last = failed(ControlPlaneError::Call, format!("{to}: {e}")),
        }
    }
    Err(last)
}

async fn carry(below: &ArgMatches, call: Call, names: &str, body: &[u8]) -> Outcome<()> {
    let reply = reply(&addresses(below)?, call, names, body).await?;
    println!("{}", String::from_utf8_lossy(&reply.body));
    Ok(())
}

async fn read(below: &ArgMatches) -> Outcome<()> {
    let reply = reply(&addresses(below)?, Call::Read, "", b"").await?;
    let field = |n: usize| reply.fields[n].once().unwrap_or("?");
    let (version, told, ago) = (field(1), field(2), field(3));
    let own = hex(&digest(&reply.body));
    if told != own {
        return Err(failed(
            ControlPlaneError::Call,
            format!("the text that came has digest {own}, told was {told}"),
        ));
    }
    eprintln!("version {version}, digest {own}, confirmed by a majority {ago} s ago");
    // Byte for byte: kept in a file it has the same digest.
    io::stdout().write_all(&reply.body).change_context(ControlPlaneError::Call)
}

fn checked(below: &ArgMatches) -> Outcome<Vec<u8>> {
    let file = below.get_one::<String>("FILE").map_or("", String::as_str);
    let text =
        std::fs::read(file).change_context(ControlPlaneError::File).attach_with(|| file.to_string())?;
    let configuration = admin_commands::checked(&text)
        .map_err(|why| failed(ControlPlaneError::File, format!("{file}: {why}")))?;
    let (routes, services, tenants) =
        (configuration.routes.len(), configuration.services.len(), configuration.tenants.len());
    let (version, digest) = (configuration.version, hex(&digest(&text)));
    eprintln!(
        "version {version:08x}, digest {digest}: {routes} routes, {services} services, {tenants} tenants"
    );
    Ok(text)
}

/// What all control gateways that are reached hold, those asked first and those that they name.
async fn ask_all(first: Vec<SocketAddr>) -> Vec<(String, Told)> {
    let (mut told, mut next) = (BTreeMap::<SocketAddr, Told>::new(), first);
    for _ in 0..MOST_ROUNDS {
        next.retain(|to| !told.contains_key(to));
        next.truncate(MOST_ASKED.saturating_sub(told.len()));
        let asked = join_all(next.iter().map(|&to| ask_in_time(to, Call::Voters, "", b""))).await;
        let mut named: Vec<SocketAddr> = Vec::new();
        for (to, reply) in next.into_iter().zip(asked) {
            let read = reply.and_then(|reply| match reply.status {
                200 => serde_json::from_slice::<Value>(&reply.body).map_err(io::Error::other),
                status => Err(io::Error::other(format!("answered {status}"))),
            });
            let seats = read.iter().flat_map(|value| value["Members"].as_array()).flatten();
            named.extend(seats.filter_map(|seat| seat["Control"].as_str()?.parse::<SocketAddr>().ok()));
            told.insert(to, read.map_err(|e| e.to_string()));
        }
        next = named;
    }
    told.into_iter().map(|(to, told)| (to.to_string(), told)).collect()
}

/// Shows what is left; founds anew only where all that is shown for it is repeated.
async fn found_anew(below: &ArgMatches) -> Outcome<()> {
    let (said, shown) = survey(&ask_all(addresses(below)?).await);
    println!("{said}");
    let word = |name: &str| below.get_one::<String>(name).map_or("", String::as_str);
    let given = [("--at", word("at")), ("--epoch", word("epoch")), ("--lose", word("lose"))];
    if given.iter().all(|(_, word)| word.is_empty()) {
        return Ok(());
    }
    let Some(Words { at, epoch, lose }) = shown else {
        return Err(failed(
            ControlPlaneError::Refused,
            "there is nothing to found anew, as shown above".into(),
        ));
    };
    for ((argument, given), shown) in given.into_iter().zip([&at, &epoch, &lose]) {
        if given != shown {
            return Err(failed(
                ControlPlaneError::Call,
                format!("{argument}: found {given:?}, shown is {shown}"),
            ));
        }
    }
    let number = epoch.parse::<u64>().change_context(ControlPlaneError::Call)?;
    let body = json!({"Epoch": number, "Lose": lose.split(',').collect::<Vec<_>>()}).to_string();
    let reply = reply(&[address("--at", &at)?], Call::VotersRefound, "", body.as_bytes()).await?;
    println!("{}", String::from_utf8_lossy(&reply.body));
    Ok(())
}

async fn voters_command(below: &ArgMatches) -> Outcome<()> {
    match below.subcommand() {
        Some(("replace", below)) => {
            let mut names = Vec::new();
            for argument in ["OLD", "NEW"] {
                let text = below.get_one::<String>(argument).map_or("", String::as_str);
                let node = voter_admin::node(text);
                let why = || format!("{argument}: {text:?} is no address of a machine, as 10.0.0.1");
                names.push(
                    Ipv4Addr::from(node.ok_or_else(|| failed(ControlPlaneError::Call, why()))?).to_string(),
                );
            }
            carry(below, Call::VotersReplace, &names.join("/"), b"").await
        }
        Some((_, below)) => found_anew(below).await,
        None => carry(below, Call::Voters, "", b"").await,
    }
}

pub async fn command(name: &str, below: &ArgMatches) -> Outcome<()> {
    match name {
        "check" => checked(below).map(drop),
        "replace" => carry(below, Call::Replace, "", &checked(below)?).await,
        "read" => read(below).await,
        "voters" => voters_command(below).await,
        "members" => carry(below, Call::Members, "", b"").await,
        "hosts" => carry(below, Call::Hosts, "", b"").await,
        "duties" => carry(below, Call::Duties, "", b"").await,
        "quota" => carry(below, Call::Quota, "", b"").await,
        "journal" => carry(below, Call::Journal, "", b"").await,
        _ => {
            let (way, zone) = below.subcommand().unwrap_or(("", below));
            let call = if way == "begin" { Call::Begin } else { Call::Finish };
            let zone_name = zone.get_one::<String>("ZONE").map_or("", String::as_str);
            carry(zone, call, zone_name, b"").await
        }
    }
}
