//! What callers are told and nothing is altered by. Owns the shape of these answers. Must never let what this gateway knows
//! pass for what the fleet knows: each tells how old the last word of a majority is.

use crate::admin_commands::{digest, hex};
use crate::admin_server::{later, refused};
use crate::answer_names;
use crate::node::{Node, WITHIN};
use archlink_http::codec::Response;
use archlink_messages::{Register, decode_evacuated_zones, patch};
use serde_json::{Value, json};

/// The newest configuration, byte for byte as it was sent.
pub async fn read(port: &Node) -> Response {
    let Some(held) = port.read(Register::Configuration, WITHIN).await else {
        return later("no majority confirms what is held here");
    };
    let Some(held) = held else { return refused(404, "no configuration was ever taken") };
    match patch::decompress(&held.value, b"") {
        Ok(text) => {
            let (version, digest) = (held.revision.saturating_sub(1), hex(&digest(&text)));
            let ago = format!("{:.3}", port.contact().unwrap_or(0.0));
            Response::json(200, text)
                .with("Config-Version", format_args!("{version:08x}"))
                .with("Config-Digest", digest)
                .with("Confirmed-Seconds-Ago", ago)
        }
        Err(e) => refused(500, e),
    }
}

/// With how long ago a majority was known to answer this gateway, and whether that still counts.
pub fn aged(port: &Node, mut value: Value) -> Response {
    let ago = port.contact();
    value["ConfirmedSecondsAgo"] = json!(ago.map(|ago| (ago * 1e3).round() / 1e3));
    value["Contact"] = json!(port.fresh());
    Response::json(200, value.to_string())
}

/// Where a client should go; an answer counts for as long as it says. Also without a majority: a data gateway is named for
/// 1.6 s after its own last word here, 3 s after another control gateway's, and calls itself ready only while a majority has
/// vouched for its configuration (`Revoke`).
pub fn resolve(port: &Node, query: &str) -> Response {
    const MOST: usize = 64;
    const TTL: f64 = 2.0;
    let field = |name| query.split('&').find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name));
    let text = |name| field(name).map_or("", |(_, value)| value);
    let turn = archlink_runtime::random_seed() as usize;
    let data_nodes = port.look(|control, now| {
        control.event_log.registry.resolve(now, text("Zone"), text("Region"), MOST, turn)
    });
    if data_nodes.is_empty() {
        return later("no data gateway is ready");
    }
    let addresses: Vec<String> =
        data_nodes.iter().map(|data_node| data_node.client_address.to_string()).collect();
    let ttl = format!("{}ms", (TTL.min(port.settings.timing_bounds.ttl_max) * 1e3).round());
    Response::json(200, json!({"Addresses": addresses, "Ttl": ttl}).to_string())
}

pub fn members(port: &Node) -> Value {
    port.look(|control, now| {
        let voter_set = control.voter_set();
        let control_nodes: Vec<Value> = (control.event_log.registry.control_nodes().iter())
            .map(|k| json!({"Control": k.operator_address, "Zone": k.zone, "Votes": voter_set.contains(k.node)}))
            .collect();
        let data_nodes: Vec<Value> = (control.event_log.registry.data_nodes(now).iter())
            .map(|p| json!({"Front": p.client_address, "Zone": p.zone, "Ready": p.ready}))
            .collect();
        let whole = control.acceptor.is_recovered();
        json!({"Control": control_nodes, "Edge": data_nodes, "EdgeCounted": control.event_log.registry.possibly_active().len(), "DiskWhole": whole})
    })
}

pub fn hosts(port: &Node) -> Value {
    port.look(|control, _| {
        let held = control.proposer.chosen(Register::Evacuations);
        let zones = held.map(|held| decode_evacuated_zones(&held.value)).unwrap_or_default();
        let list = control.host_list();
        let lines: Vec<Value> = (list.instances.iter())
            .map(|h| {
                json!({"InstanceId": h.id, "Service": h.service, "Address": h.address, "Zone": h.zone,
                    "Draining": h.draining, "ColdForS": h.warm_up_seconds})
            })
            .collect();
        json!({"Term": list.term, "Version": list.version, "Hosts": lines, "EvacuatedZones": zones})
    })
}

pub fn roles(port: &Node) -> Value {
    port.look(|control, now| {
        let grants: Vec<Value> = (control.leases.holders(now).iter())
            .map(|grant| {
                let holder = std::net::Ipv4Addr::from(grant.holder);
                json!({"Duty": answer_names::role(grant.role), "Holder": holder, "Term": grant.term})
            })
            .collect();
        json!({"Duties": grants})
    })
}

pub fn quota(port: &Node) -> Value {
    let configuration = port.configuration();
    let tenants: Vec<Value> = (configuration.iter().flat_map(|configuration| &configuration.tenants))
        .map(|t| json!({"Designation": t.name, "RatePerS": t.rate, "BurstSize": t.burst}))
        .collect();
    let holds = port.look(|control, now| control.counter_lease(now)).map(|term| term.term);
    json!({"Tenants": tenants, "CounterTerm": holds, "CounterNames": port.names()})
}

pub fn journal(port: &Node) -> Value {
    port.look(|control, now| {
        let line = |(at, event): &(f64, archlink_control_node::event_log::Event)| json!({"SecondsAgo": now - at, "What": event.describe()});
        json!({"Events": control.event_log.recent().map(line).collect::<Vec<_>>()})
    })
}
