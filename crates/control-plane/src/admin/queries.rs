//! Read-only calls and the fields of their responses.
//!
//! Invariant: this node's local state is not presented as confirmed by a quorum. Each response that is based on it has the age
//! of the last quorum contact.
//!
//! The texts of errors are part of the operators' interface: scripts compare them, so they stay the same and keep older words.

use super::configuration::{digest, hex};
use super::response_names;
use super::responses::{error, unavailable};
use crate::server::node::{CLIENT_TIMEOUT, Node};
use archlink_control_node::event_log::Event;
use archlink_http::codec::Response;
use archlink_messages::{Register, decode_evacuated_zones, patch};
use serde_json::{Value, json};
use std::net::Ipv4Addr;

/// Maximum number of addresses in one response to a client.
const MAX_RESOLVED: usize = 64;
/// Seconds for which a client may use a response, unless `ttl_max` is lower.
const RESOLUTION_TTL: f64 = 2.0;

/// Rounds seconds to milliseconds, the precision of responses.
pub fn round_to_milliseconds(seconds: f64) -> f64 {
    (seconds * 1e3).round() / 1e3
}

/// The configuration in force, byte for byte as it was sent. This is a linearizable read.
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

/// The response with this body, to which it adds the age of the last quorum contact and whether it is still recent enough.
pub fn with_contact(node: &Node, mut body: Value) -> Response {
    let age = node.contact_age();
    body["ConfirmedSecondsAgo"] = json!(age.map(round_to_milliseconds));
    body["Contact"] = json!(node.has_contact());
    Response::json(200, body.to_string())
}

/// The data nodes that a client should connect to, valid for the `Ttl` of the response. It needs no quorum: a data node is
/// returned for 1.6 s after its last heartbeat here, or for 3 s after the last heartbeat of a control node that reports it,
/// and reports itself ready only while a quorum has recently confirmed its configuration (`Revoke`).
pub fn resolve(node: &Node, query: &str) -> Response {
    let pair = |name| query.split('&').find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name));
    let parameter = |name| pair(name).map_or("", |(_, value)| value);
    let rotation = archlink_runtime::random_seed() as usize;
    let data_nodes = node.with_state(|state, now| {
        state.event_log.registry.resolve(now, parameter("Zone"), parameter("Region"), MAX_RESOLVED, rotation)
    });
    if data_nodes.is_empty() {
        return unavailable("no data gateway is ready");
    }
    let addresses: Vec<String> =
        data_nodes.iter().map(|data_node| data_node.client_address.to_string()).collect();
    let ttl = format!("{}ms", (RESOLUTION_TTL.min(node.settings.timing_bounds.ttl_max) * 1e3).round());
    Response::json(200, json!({"Addresses": addresses, "Ttl": ttl}).to_string())
}

/// The known control nodes and data nodes.
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

/// The lease holders of the singleton roles.
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

/// The tenants' quotas, and the term of the quota counter if this node holds its lease.
pub fn quota(node: &Node) -> Value {
    let configuration = node.configuration();
    let tenants: Vec<Value> = (configuration.iter().flat_map(|configuration| &configuration.tenants))
        .map(|tenant| json!({"Designation": tenant.name, "RatePerS": tenant.rate, "BurstSize": tenant.burst}))
        .collect();
    let term = node.with_state(|state, now| state.counter_lease(now)).map(|lease| lease.term);
    json!({"Tenants": tenants, "CounterTerm": term, "CounterNames": node.counter_key_count()})
}

/// The recent events that this node has seen.
pub fn events(node: &Node) -> Value {
    node.with_state(|state, now| {
        let event = |(at, event): &(f64, Event)| json!({"SecondsAgo": now - at, "What": event.describe()});
        json!({"Events": state.event_log.recent().map(event).collect::<Vec<_>>()})
    })
}
