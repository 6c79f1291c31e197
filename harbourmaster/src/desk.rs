//! The operators' commands: each is one call of the table in `office.rs`, sent to one control gateway after another until
//! one answers. Owns what is printed. Must never send a configuration that does not pass the check.

use crate::office::Call;
use crate::{MasterError, Outcome, read_settings};
use chart::Chart;
use clap::ArgMatches;
use error_stack::{Report, ResultExt};
use fairway::plain::{CallerSide, Reply, Sending};
use futures_util::{SinkExt, StreamExt};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;

const MOST_BODY: usize = 64 << 20;
const WITHIN: Duration = Duration::from_secs(3);
/// Redirections that are followed.
const MOST_HOPS: usize = 2;

async fn ask(to: SocketAddr, call: Call, name: &str, body: &[u8]) -> io::Result<Reply> {
    let (method, place) = call.place();
    let (mut to, mut target) = (to, format!("{place}{name}"));
    for _ in 0..=MOST_HOPS {
        let stream = TcpStream::connect(to).await?;
        let mut framed =
            Framed::new(stream, CallerSide::new(&["location"], MOST_BODY, Rc::new(Cell::new(MOST_BODY))));
        let lines = b"Content-Type: application/json\r\nConnection: close\r\n";
        framed.send(Sending { method, target: &target, host: &to.to_string(), lines, body }).await?;
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

fn addresses(below: &ArgMatches) -> Outcome<Vec<SocketAddr>> {
    match below.get_one::<String>("to") {
        Some(text) => {
            let address = text.parse().change_context(MasterError::Call);
            Ok(vec![address.attach_with(|| format!("--to: {text:?} is no address"))?])
        }
        None => Ok(read_settings()?.seeds.into_iter().map(SocketAddr::from).collect()),
    }
}

async fn carry(below: &ArgMatches, call: Call, name: &str, body: &[u8]) -> Outcome<()> {
    let mut last = Report::new(MasterError::Call).attach("no control gateway is named");
    for to in addresses(below)? {
        let asked = timeout(WITHIN, ask(to, call, name, body)).await;
        match asked.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())) {
            Ok(reply) if reply.status < 500 => {
                let text = String::from_utf8_lossy(&reply.body);
                if reply.status == 200 {
                    println!("{text}");
                    return Ok(());
                }
                return Err(
                    Report::new(MasterError::Call).attach(format!("{to} answered {}: {text}", reply.status))
                );
            }
            Ok(reply) => {
                last = Report::new(MasterError::Call).attach(format!("{to} answered {}", reply.status))
            }
            Err(e) => last = Report::new(MasterError::Call).attach(format!("{to}: {e}")),
        }
    }
    Err(last)
}

fn checked(below: &ArgMatches) -> Outcome<Vec<u8>> {
    let file = below.get_one::<String>("FILE").map_or("", String::as_str);
    let text = std::fs::read(file).change_context(MasterError::File).attach_with(|| file.to_string())?;
    let chart = Chart::read(&text).change_context(MasterError::File).attach_with(|| file.to_string())?;
    let (routes, services, tenants) = (chart.routes.len(), chart.services.len(), chart.tenants.len());
    eprintln!("version {:08x}: {routes} routes, {services} services, {tenants} tenants", chart.version);
    Ok(text)
}

pub async fn command(name: &str, below: &ArgMatches) -> Outcome<()> {
    match name {
        "check" => checked(below).map(drop),
        "replace" => carry(below, Call::Replace, "", &checked(below)?).await,
        "read" => carry(below, Call::Read, "", b"").await,
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
