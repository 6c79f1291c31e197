//! Calls that change nothing, and the shape of their answers.
//!
//! Invariant: what this node knows does not pass for what a quorum holds; each answer has the age of the last contact.

use super::configuration::{digest, hex};
use super::response_names;
use super::responses::{error, unavailable};
use crate::server::node::{CLIENT_TIMEOUT, Node};
use archlink_control_node::event_log::Event;
use archlink_http::codec::Response;
use archlink_messages::{Register, decode_evacuated_zones, patch};
use serde_json::{Value, json};
use std::net::Ipv4Addr;

/// Addresses in one answer to a client.
const MAX_RESOLVED: usize = 64;
/// Seconds for which a client may use an answer, where `ttl_max` allows no less.
const RESOLUTION_TTL: f64 = 2.0;

/// Seconds as answers have them, to a thousandth.
pub fn round_to_milliseconds(seconds: f64) -> f64 {
    (seconds * 1e3).round() / 1e3
}

/// The newest configuration, byte for byte as it was sent; a linearizable read.
pub async fn read_configuration(node: &Node) -> Response {
    let Some(committed) = node.read(Register::Configuration, CLIENT_TIMEOUT).await else {
        return unavailable("no majority confirms what is held here");
    };
    let Some(accepted) = committed else { return error(404, "no configuration was ever taken") };
    match patch::decompress(&accepted.value, b"") {
        Ok(text) => {
            let (version, digest) = (accepted.revision.saturating_sub(1), hex(&digest(&text)));
            let age = format!("{:.3}", node.contact_age().unwrap_or(0.0));
            Response::json(200, text)
                .with("Config-Version", format_args!("{version:08x}"))
                .with("Config-Digest", digest)
                .with("Confirmed-Seconds-Ago", age)
        }
        Err(e) => error(500, e),
    }
}

/// Adds how long ago a quorum was known to answer this node, and whether that still counts.
pub fn with_contact(node: &Node, mut body: Value) -> Response {
    let age = node.contact_age();
    body["ConfirmedSecondsAgo"] = json!(age.map(round_to_milliseconds));
    body["Contact"] = json!(node.has_contact());
    Response::json(200, body.to_string())
}

/// Where a client should connect; an answer counts for its `Ttl`. Also without a quorum: a data node is named for 1.6 s
/// after its own last heartbeat here, 3 s after another control node's report, and calls itself ready only while a quorum
/// has confirmed its configuration (`Revoke`).
pub fn resolve(node: &Node, query: &str) -> Response {
    let field = |name| query.split('&').find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name));
    let text = |name| field(name).map_or("", |(_, value)| value);
    let turn = archlink_runtime::random_seed() as usize;
    let data_nodes = node.with_state(|state, now| {
        state.event_log.registry.resolve(now, text("Zone"), text("Region"), MAX_RESOLVED, turn)
    });
    if data_nodes.is_empty() {
        return unavailable("no data gateway is ready");
    }
    let addresses: Vec<String> =
        data_nodes.iter().map(|data_node| data_node.client_address.to_string()).collect();
    let ttl = format!("{}ms", (RESOLUTION_TTL.min(node.settings.timing_bounds.ttl_max) * 1e3).round());
    Response::json(200, json!({"Addresses": addresses, "Ttl": ttl}).to_string())
}

/// The control and data nodes that are known.
pub fn members(node: &Node) -> Value {
    node.with_state(|state, now| {
        let (voter_set, registry) = (state.voter_set(), &state.event_log.registry);
        let control_nodes: Vec<Value> = (registry.control_nodes().iter())
            .map(|control_node| {
                let votes = voter_set.contains(control_node.node);
                json!({"Control": control_node.operator_address, "Zone": control_node.zone, "Votes": votes})
            })
            .collect();
        let data_nodes: Vec<Value> = (registry.data_nodes(now).iter())
            .map(|data_node| {
                json!({"Front": data_node.client_address, "Zone": data_node.zone, "Ready": data_node.ready})
            })
            .collect();
        json!({"Control": control_nodes, "Edge": data_nodes, "EdgeCounted": registry.possibly_active().len(),
            "DiskWhole": state.acceptor.is_recovered()})
    })
}

/// The hosts, and the evacuated zones.
pub fn hosts(node: &Node) -> Value {
    node.with_state(|state, _| {
        let evacuations = state.proposer.committed(Register::Evacuations);
        let zones = evacuations.map(|accepted| decode_evacuated_zones(&accepted.value)).unwrap_or_default();
        let list = state.host_list();
        let hosts: Vec<Value> = (list.instances.iter())
            .map(|host| {
                json!({"InstanceId": host.id, "Service": host.service, "Address": host.address,
                    "Zone": host.zone, "Draining": host.draining, "ColdForS": host.warm_up_seconds})
            })
            .collect();
        json!({"Term": list.term, "Version": list.version, "Hosts": hosts, "EvacuatedZones": zones})
    })
}

/// The holders of the singleton roles' leases.
pub fn leases(node: &Node) -> Value {
    node.with_state(|state, now| {
        let grants: Vec<Value> = (state.leases.holders(now).iter())
            .map(|grant| {
                let holder = Ipv4Addr::from(grant.holder);
                json!({"Duty": response_names::role(grant.role), "Holder": holder, "Term": grant.term})
            })
            .collect();
        json!({"Duties": grants})
    })
}

/// The tenants' quotas, and the counter where this node holds its lease.
pub fn quota(node: &Node) -> Value {
    let configuration = node.configuration();
    let tenants: Vec<Value> = (configuration.iter().flat_map(|configuration| &configuration.tenants))
        .map(|tenant| json!({"Designation": tenant.name, "RatePerS": tenant.rate, "BurstSize": tenant.burst}))
        .collect();
    let term = node.with_state(|state, now| state.counter_lease(now)).map(|lease| lease.term);
    json!({"Tenants": tenants, "CounterTerm": term, "CounterNames": node.counter_key_count()})
}

/// The recent events, as this node saw them.
pub fn events(node: &Node) -> Value {
    node.with_state(|state, now| {
        let event = |(at, event): &(f64, Event)| json!({"SecondsAgo": now - at, "What": event.describe()});
        json!({"Events": state.event_log.recent().map(event).collect::<Vec<_>>()})
    })
}
