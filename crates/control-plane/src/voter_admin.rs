//! Operators' calls about who votes: what this gateway holds and hears, and orders to change it. Owns how seats are named.
//! Must never found anew where a majority answers, nor give up a seat that is heard of or was not named.

use crate::admin_commands::{not_so, settled};
use crate::admin_server::refused;
use crate::answer_names;
use crate::calls::Call;
use crate::node::{Node, Order};
use archlink_consensus::membership::ChangeResult;
use archlink_consensus::{MembershipChange, Outcome};
use archlink_control_node::node::MemberStatus;
use archlink_http::codec::Response;
use archlink_messages::{ControlNode, NodeId, ProposalNumber, Register};
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};

/// A seat of which nothing was heard for so long is one that may be given up: signs of life come three times a second, and
/// links are called again four times.
const LOST: f64 = 5.0;

/// A machine's address, also with a port behind it.
pub fn node(text: &str) -> Option<NodeId> {
    let bare = || text.parse::<Ipv4Addr>().ok();
    text.parse::<SocketAddrV4>()
        .map(|address| *address.ip())
        .ok()
        .or_else(bare)
        .map(archlink_runtime::node_id)
}

fn address(node: NodeId) -> Ipv4Addr {
    Ipv4Addr::from(node)
}

/// Voters of which nothing is heard here.
fn lost(port: &Node) -> BTreeSet<NodeId> {
    let members = port.look(|control, now| control.voter_set_status(now).members).into_iter();
    let silent = |member: &MemberStatus| member.last_heard_age.is_none_or(|ago| ago > LOST);
    members.filter(|m| (m.voter || m.incoming) && silent(m)).map(|m| m.node).collect()
}

fn member(member: MemberStatus, me: NodeId, control_nodes: &[ControlNode]) -> Value {
    let MemberStatus { node, zone, voter: seat, incoming: comes, last_heard_age: heard, recovered: whole } =
        member;
    let control = control_nodes
        .iter()
        .find(|control_node| control_node.node == node)
        .map(|control_node| control_node.operator_address);
    json!({"Address": address(node), "Control": control, "Zone": zone, "Seat": seat, "Comes": comes,
        "Here": node == me, "HeardSecondsAgo": heard.map(|ago| (ago * 1e3).round() / 1e3), "DiskWhole": whole})
}

fn held((register, stamp, proposal): (Register, u64, ProposalNumber)) -> Value {
    let version = (register == Register::Configuration).then(|| format!("{:08x}", stamp.saturating_sub(1)));
    json!({"Register": answer_names::register(register), "Stamp": stamp, "ConfigVersion": version,
        "Ballot": [proposal.round, u64::from(proposal.node), u64::from(proposal.nonce)]})
}

pub fn look(port: &Node) -> Value {
    let lost: Vec<Ipv4Addr> = lost(port).into_iter().map(address).collect();
    let (voters, control_nodes, whole) = port.look(|control, now| {
        (
            control.voter_set_status(now),
            control.event_log.registry.control_nodes(),
            control.acceptor.is_recovered(),
        )
    });
    let changing = voters.voter_set.is_joint();
    let members: Vec<Value> =
        voters.members.into_iter().map(|m| member(m, port.me, &control_nodes)).collect();
    let last = voters
        .last_change
        .map(|(ago, ended)| json!({"SecondsAgo": ago, "Came": ended == ChangeResult::Committed}));
    json!({"Here": address(port.me), "Epoch": voters.voter_set.epoch, "Founded": voters.established, "Changing": changing,
        "Members": members, "Lost": lost, "DiskWhole": whole, "LastChange": last,
        "Held": voters.accepted.into_iter().map(held).collect::<Vec<_>>()})
}

fn named(text: &str) -> Result<NodeId, Response> {
    node(text).ok_or_else(|| refused(400, format_args!("{text:?} is no address of a machine, as 10.0.0.1")))
}

/// `OLD/NEW`: a seat passes to another machine.
pub async fn replace(port: &Node, names: &str) -> Response {
    let Some((old, new)) = names.split_once('/') else {
        return refused(400, "two addresses are needed: OLD/NEW");
    };
    let (old, new) = match (named(old), named(new)) {
        (Ok(old), Ok(new)) => (old, new),
        (Err(answer), _) | (_, Err(answer)) => return answer,
    };
    reseat(port, Call::VotersReplace, MembershipChange::Replace { old, new }).await
}

async fn reseat(port: &Node, call: Call, order: MembershipChange) -> Response {
    match settled(port.order(call, Order::Reseat(order)).await) {
        Ok(Outcome::Rejected(why)) => not_so(why),
        Ok(_) => Response::json(200, look(port).to_string()),
        Err(answer) => answer,
    }
}

/// What a person repeats by name: the epoch that was shown, and the seats that are gone for good.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase", deny_unknown_fields)]
struct Refounding {
    epoch: u64,
    lose: Vec<String>,
}

pub async fn refound(port: &Node, body: &[u8]) -> Response {
    let Refounding { epoch, lose } = match serde_json::from_slice(body) {
        Ok(read) => read,
        Err(e) => return refused(400, format_args!("the body names Epoch and Lose: {e}")),
    };
    let mut given_up = BTreeSet::new();
    for text in &lose {
        match named(text) {
            Ok(node) => {
                given_up.insert(node);
            }
            Err(answer) => return answer,
        }
    }
    if port.young() {
        return refused(
            409,
            "this gateway has only started and may not have reached the others: order again in 5 s",
        );
    }
    if port.asked().await {
        return refused(
            409,
            "a majority answers here: nothing is lost; order `voters replace` for a machine that is gone",
        );
    }
    let unheard = lost(port);
    if given_up != unheard {
        let list: Vec<String> = unheard.into_iter().map(|node| address(node).to_string()).collect();
        let why =
            format!("the seats that nothing is heard of here are {}: name exactly these", list.join(","));
        return refused(409, why);
    }
    let voters = port.look(|control, _| control.voter_set().all_voters());
    let seats: Vec<NodeId> = voters.into_iter().filter(|node| !given_up.contains(node)).collect();
    log::warn!("founding anew beyond epoch {epoch}; given up: {}", lose.join(","));
    reseat(port, Call::VotersRefound, MembershipChange::ForceNewGeneration { epoch, voters: seats }).await
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_machine_is_named_by_its_address() {
        let one = Some(0x0a00_0001);
        assert_eq!((node("10.0.0.1"), node("10.0.0.1:8200")), (one, one));
        assert_eq!((node("control-1"), node("10.0.0.1:"), node("")), (None, None, None));
    }
}
