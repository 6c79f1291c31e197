//! What callers are told and nothing is altered by. Owns the shape of these answers. Must never let what this gateway knows
//! pass for what the fleet knows: each tells how old the last word of a majority is.

use crate::office::{later, refused};
use crate::orders::{digest, hex};
use crate::port::{Port, WITHIN};
use archlink_http::plain::Answer;
use archlink_messages::{Register, evacuated, pack};
use serde_json::{Value, json};

/// The newest configuration, byte for byte as it was sent.
pub async fn read(port: &Port) -> Answer {
    let Some(held) = port.read(Register::Chart, WITHIN).await else {
        return later("no majority confirms what is held here");
    };
    let Some(held) = held else { return refused(404, "no configuration was ever taken") };
    match pack::unpack(&held.value, b"") {
        Ok(text) => {
            let (version, digest) = (held.stamp.saturating_sub(1), hex(&digest(&text)));
            let ago = format!("{:.3}", port.contact().unwrap_or(0.0));
            Answer::json(200, text)
                .with("Config-Version", format_args!("{version:08x}"))
                .with("Config-Digest", digest)
                .with("Confirmed-Seconds-Ago", ago)
        }
        Err(e) => refused(500, e),
    }
}

/// With how long ago a majority was known to answer this gateway, and whether that still counts.
pub fn aged(port: &Port, mut value: Value) -> Answer {
    let ago = port.contact();
    value["ConfirmedSecondsAgo"] = json!(ago.map(|ago| (ago * 1e3).round() / 1e3));
    value["Contact"] = json!(port.fresh());
    Answer::json(200, value.to_string())
}

/// Where a client should go; an answer counts for as long as it says. Also without a majority: a data gateway is named for
/// 1.6 s after its own last word here, 3 s after another control gateway's, and calls itself ready only while a majority has
/// vouched for its configuration (`Revoke`).
pub fn resolve(port: &Port, query: &str) -> Answer {
    const MOST: usize = 64;
    const TTL: f64 = 2.0;
    let field = |name| query.split('&').find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name));
    let text = |name| field(name).map_or("", |(_, value)| value);
    let turn = archlink_runtime::chance() as usize;
    let pilots = port
        .look(|control, now| control.journal.roster.resolve(now, text("Zone"), text("Region"), MOST, turn));
    if pilots.is_empty() {
        return later("no data gateway is ready");
    }
    let addresses: Vec<String> = pilots.iter().map(|pilot| pilot.front.to_string()).collect();
    let ttl = format!("{}ms", (TTL.min(port.settings.bounds.ttl_max) * 1e3).round());
    Answer::json(200, json!({"Addresses": addresses, "Ttl": ttl}).to_string())
}

pub fn members(port: &Port) -> Value {
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

pub fn hosts(port: &Port) -> Value {
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

pub fn duties(port: &Port) -> Value {
    port.look(|control, now| {
        let posts: Vec<Value> = (control.duties.posts(now).iter())
            .map(|post| {
                let holder = std::net::Ipv4Addr::from(post.holder);
                json!({"Duty": format!("{:?}", post.duty), "Holder": holder, "Term": post.term})
            })
            .collect();
        json!({"Duties": posts})
    })
}

pub fn quota(port: &Port) -> Value {
    let chart = port.chart();
    let tenants: Vec<Value> = (chart.iter().flat_map(|chart| &chart.tenants))
        .map(|t| json!({"Designation": t.name, "RatePerS": t.rate, "BurstSize": t.burst}))
        .collect();
    let holds = port.look(|control, now| control.tally(now)).map(|term| term.term);
    json!({"Tenants": tenants, "CounterTerm": holds, "CounterNames": port.names()})
}

pub fn journal(port: &Port) -> Value {
    port.look(|control, now| {
        let line = |(at, event): &(f64, archlink_consensus::journal::Event)| json!({"SecondsAgo": now - at, "What": event.line()});
        json!({"Events": control.journal.recent().map(line).collect::<Vec<_>>()})
    })
}
