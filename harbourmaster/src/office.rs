//! Calls of the operator and of clients that ask where to go, declared in one table. Owns their paths, their bodies and
//! what their statuses mean. Must never acknowledge what a majority does not hold, nor say a refusal that would change if
//! the same text came again.

use crate::port::Port;
use bytes::Bytes;
use chart::Chart;
use fairway::plain::{Answer, Asked, Request, ServerSide};
use futures_util::{SinkExt, StreamExt};
use harbour::Outcome;
use harbour::helm::Change;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use signal::{Register, evacuated, pack};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use strum::{EnumIter, IntoEnumIterator};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

/// The largest configuration, and all bodies at once as a part of the memory.
const MOST_BODY: usize = 16 << 20;
const BODIES: f64 = 0.25;
const IDLE: Duration = Duration::from_secs(20);
const MOST_CONNECTIONS: usize = 1500;
/// A caller moves on after a second of silence.
const WITHIN: f64 = 0.9;
/// When to come back after an answer that settles nothing.
const COME_BACK: &str = "0.3";

/// The table of calls: method, path and what is behind it. A path that ends in a slash is followed by a name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter)]
pub enum Call {
    Replace,
    Read,
    Begin,
    Finish,
    Resolution,
    Members,
    Hosts,
    Duties,
    Quota,
    Journal,
}

impl Call {
    pub fn place(self) -> (&'static str, &'static str) {
        match self {
            Call::Replace => ("POST", "/archlink/Configuration.Replace"),
            Call::Read => ("GET", "/archlink/Configuration.Read"),
            Call::Begin => ("POST", "/archlink/Evacuation.Begin/"),
            Call::Finish => ("POST", "/archlink/Evacuation.Finish/"),
            Call::Resolution => ("GET", "/archlink/resolution"),
            Call::Members => ("GET", "/archlink/members"),
            Call::Hosts => ("GET", "/archlink/hosts"),
            Call::Duties => ("GET", "/archlink/duties"),
            Call::Quota => ("GET", "/archlink/quota"),
            Call::Journal => ("GET", "/archlink/journal"),
        }
    }

    /// The call at a path, and the name that follows it.
    fn at(path: &str) -> Option<(Call, &str)> {
        Call::iter().find_map(|call| {
            let (_, place) = call.place();
            let rest = path.strip_prefix(place)?;
            (rest.is_empty() != place.ends_with('/')).then_some((call, rest))
        })
    }
}

pub async fn listen(port: Rc<Port>, listener: TcpListener) {
    let open = Rc::new(());
    let room = Rc::new(Cell::new((port.settings.memory * BODIES) as usize));
    loop {
        match listener.accept().await {
            Ok((stream, _)) if Rc::strong_count(&open) <= MOST_CONNECTIONS => {
                stream.set_nodelay(true).ok();
                spawn_local(serve(port.clone(), stream, room.clone(), open.clone()));
            }
            Ok(_) => log::warn!("a caller too many is turned away"),
            Err(e) => {
                log::warn!("accept: {e}");
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn serve(port: Rc<Port>, stream: TcpStream, room: Rc<Cell<usize>>, _open: Rc<()>) {
    let mut framed = Framed::new(stream, ServerSide::new(&[], MOST_BODY, room));
    while let Ok(Some(Ok(asked))) = timeout(IDLE, framed.next()).await {
        let (mut answer, close) = match asked {
            Asked::Bad(status) => (Answer::plain(status), true),
            Asked::Request(request) => {
                let close = request.close;
                let answer = tokio::select! {
                    biased;
                    answer = respond(&port, *request) => answer,
                    // Gone, or not waiting for its answer: an order must not come to be after its caller moved on.
                    _ = framed.next() => return,
                };
                (answer, close)
            }
        };
        answer.close = close || port.leaving.get();
        let ends = answer.close;
        if framed.send(answer).await.is_err() || ends {
            return;
        }
    }
}

fn refused(status: u16, why: impl std::fmt::Display) -> Answer {
    Answer::json(status, json!({"Error": why.to_string()}).to_string())
}

fn later(why: &str) -> Answer {
    refused(503, why).with("Retry-After", COME_BACK)
}

async fn respond(port: &Port, request: Request) -> Answer {
    let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
    let Some((call, name)) = Call::at(path) else { return refused(404, "no such call") };
    if call.place().0 != request.method {
        return refused(405, format_args!("{} is the method of this call", call.place().0));
    }
    match call {
        Call::Replace => replace(port, request.body).await,
        Call::Read => match port.read(Register::Chart, WITHIN).await {
            Some(Some(packed)) => match pack::unpack(&packed, b"") {
                Ok(text) => Answer::json(200, text),
                Err(e) => refused(500, e),
            },
            Some(None) => refused(404, "no configuration was ever taken"),
            None => later("no majority confirms what is held here"),
        },
        Call::Begin | Call::Finish => evacuate(port, name, call == Call::Begin).await,
        Call::Resolution => resolve(port, query),
        Call::Members => Answer::json(200, members(port).to_string()),
        Call::Hosts => Answer::json(200, hosts(port).to_string()),
        Call::Duties => Answer::json(200, duties(port).to_string()),
        Call::Quota => Answer::json(200, quota(port).to_string()),
        Call::Journal => Answer::json(200, journal(port).to_string()),
    }
}

async fn replace(port: &Port, text: Bytes) -> Answer {
    let version = match Chart::read(&text) {
        Ok(chart) => chart.version,
        Err(e) => {
            log::warn!("a configuration is refused: {e}");
            return refused(400, e.current_context());
        }
    };
    // Of the operator's own bytes: packed ones may differ where the text doesn't.
    let mut digest = [0; 16];
    digest.copy_from_slice(&Sha256::digest(&text)[..16]);
    let text = match pack::pack(&text, b"") {
        Ok(packed) => packed.into(),
        Err(e) => return refused(413, e),
    };
    match port.change(Change::Chart { version, digest, text }).await {
        Outcome::Chosen => Answer::json(200, json!({"ConfigVersion": format!("{version:08x}")}).to_string()),
        Outcome::Stands(mark) => {
            let digest: String = mark.digest.iter().map(|byte| format!("{byte:02x}")).collect();
            refused(409, format_args!("another text stands under {version:08x}: sha256 {digest}..."))
        }
        _ => later("no majority has taken it yet"),
    }
}

async fn evacuate(port: &Port, zone: &str, on: bool) -> Answer {
    if !port.settings.zones.contains_key(zone) {
        return refused(404, format_args!("{zone:?} is no zone of this deployment"));
    }
    match port.change(Change::Evacuate { zone: zone.to_string(), on }).await == Outcome::Chosen {
        true => Answer::json(200, json!({"Zone": zone, "Evacuated": on}).to_string()),
        false => later("no majority has taken it yet"),
    }
}

/// Where a client should go; an answer counts for as long as it says.
fn resolve(port: &Port, query: &str) -> Answer {
    const MOST: usize = 64;
    const TTL: f64 = 2.0;
    let field = |name| query.split('&').find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name));
    let text = |name| field(name).map_or("", |(_, value)| value);
    let turn = mooring::chance() as usize;
    let pilots = port
        .look(|control, now| control.journal.roster.resolve(now, text("Zone"), text("Region"), MOST, turn));
    if pilots.is_empty() {
        return later("no data gateway is ready");
    }
    let addresses: Vec<String> = pilots.iter().map(|pilot| pilot.front.to_string()).collect();
    let ttl = format!("{}ms", (TTL.min(port.settings.bounds.ttl_max) * 1e3).round());
    Answer::json(200, json!({"Addresses": addresses, "Ttl": ttl}).to_string())
}

fn members(port: &Port) -> Value {
    port.look(|control, now| {
        let muster = control.muster();
        let keepers: Vec<Value> = (control.journal.roster.keepers().iter())
            .map(|k| json!({"Control": k.control, "Zone": k.zone, "Votes": muster.votes(k.node)}))
            .collect();
        let pilots: Vec<Value> = (control.journal.roster.pilots(now).iter())
            .map(|p| json!({"Front": p.front, "Zone": p.zone, "Ready": p.ready}))
            .collect();
        let whole = control.voter.whole();
        json!({"Control": keepers, "Edge": pilots, "EdgeCounted": control.journal.roster.counted().len(), "DiskWhole": whole})
    })
}

fn hosts(port: &Port) -> Value {
    port.look(|control, _| {
        let held = control.helm.chosen(Register::Evacuations);
        let zones = held.map(|held| evacuated(&held.value)).unwrap_or_default();
        let list = control.hosts();
        let lines: Vec<Value> = (list.lines.iter())
            .map(|h| {
                json!({"InstanceId": h.id, "Service": h.service, "Address": h.address, "Zone": h.zone,
                    "Draining": h.draining, "ColdForS": h.cold_for})
            })
            .collect();
        json!({"Term": list.term, "Version": list.version, "Hosts": lines, "EvacuatedZones": zones})
    })
}

fn duties(port: &Port) -> Value {
    port.look(|control, now| {
        let posts: Vec<Value> = (control.duties.posts(now).iter())
            .map(|post| {
                let holder = std::net::Ipv4Addr::from(post.holder);
                json!({"Duty": format!("{:?}", post.duty), "Holder": holder, "Term": post.term})
            })
            .collect();
        let confirmed = control.helm.confirmed(Register::Chart).map(|at| now - at);
        json!({"Duties": posts, "ConfirmedSecondsAgo": confirmed})
    })
}

fn quota(port: &Port) -> Value {
    let chart = port.chart();
    let tenants: Vec<Value> = (chart.iter().flat_map(|chart| &chart.tenants))
        .map(|t| json!({"Designation": t.name, "RatePerS": t.rate, "BurstSize": t.burst}))
        .collect();
    let holds = port.look(|control, now| control.tally(now)).map(|term| term.term);
    json!({"Tenants": tenants, "CounterTerm": holds, "CounterNames": port.names()})
}

fn journal(port: &Port) -> Value {
    port.look(|control, now| {
        let line = |(at, event): &(f64, harbour::journal::Event)| json!({"SecondsAgo": now - at, "What": event.line()});
        json!({"Events": control.journal.recent().map(line).collect::<Vec<_>>()})
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_call_is_found_at_its_place_and_nowhere_else() {
        for call in Call::iter() {
            let (_, place) = call.place();
            let path = if place.ends_with('/') { format!("{place}zone") } else { place.to_string() };
            assert_eq!(Call::at(&path).map(|found| found.0), Some(call));
            assert_eq!(Call::at(&format!("/x{path}")), None);
        }
        assert_eq!(Call::at("/archlink/Evacuation.Begin/"), None);
        assert_eq!(Call::at("/archlink/Configuration.ReadX"), None);
    }
}
