//! Operators' calls about the voters: their status as this node sees it, and membership changes.
//!
//! Invariant: a new generation is not forced while there is contact with a quorum, and only voters that are not heard from and
//! were named by the operator are given up.
//!
//! The texts of errors are part of the operators' interface: scripts compare them, so they stay the same and keep older words.

use super::calls::Call;
use super::commands::submit;
use super::queries::round_to_milliseconds;
use super::response_names;
use super::responses::{error, outcome_or_unavailable, rejected};
use crate::server::node::{Node, OperatorRequest};
use archlink_consensus::membership::ChangeResult;
use archlink_consensus::{MembershipChange, Outcome};
use archlink_control_node::node::MemberStatus;
use archlink_http::codec::Response;
use archlink_messages::{ControlNode, NodeId, ProposalNumber, Register};
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};

/// Seconds of silence after which a voter may be given up. Heartbeats are sent three times a second, and links reconnect four
/// times a second.
const LOST_AFTER: f64 = 5.0;

/// The ID of the node at an IPv4 address, which may be followed by a port.
pub fn parse_node(text: &str) -> Option<NodeId> {
    let with_port = text.parse::<SocketAddrV4>().map(|address| *address.ip()).ok();
    with_port.or_else(|| text.parse::<Ipv4Addr>().ok()).map(archlink_runtime::node_id)
}

/// Voters that this node has not heard from for [`LOST_AFTER`] seconds.
fn lost_voters(node: &Node) -> BTreeSet<NodeId> {
    let members = node.with_state(|state, now| state.voter_set_status(now).members).into_iter();
    let timed_out = |member: &MemberStatus| member.last_message_age.is_none_or(|age| age > LOST_AFTER);
    members
        .filter(|member| (member.voter || member.incoming) && timed_out(member))
        .map(|member| member.node)
        .collect()
}

fn member_fields(member: MemberStatus, own_id: NodeId, control_nodes: &[ControlNode]) -> Value {
    let operator_address = control_nodes
        .iter()
        .find(|control_node| control_node.node == member.node)
        .map(|control_node| control_node.operator_address);
    json!({"Address": Ipv4Addr::from(member.node), "Control": operator_address, "Zone": member.zone,
        "Seat": member.voter, "Comes": member.incoming, "Here": member.node == own_id,
        "HeardSecondsAgo": member.last_message_age.map(round_to_milliseconds), "DiskWhole": member.recovered})
}

fn accepted_fields((register, revision, proposal): (Register, u64, ProposalNumber)) -> Value {
    let version =
        (register == Register::Configuration).then(|| format!("{:08x}", revision.saturating_sub(1)));
    json!({"Register": response_names::register(register), "Stamp": revision, "ConfigVersion": version,
        "Ballot": [proposal.round, u64::from(proposal.node), u64::from(proposal.nonce)]})
}

/// The voters, when this node last heard from each, and what it has accepted.
pub fn status(node: &Node) -> Value {
    let lost: Vec<Ipv4Addr> = lost_voters(node).into_iter().map(Ipv4Addr::from).collect();
    let (status, control_nodes, recovered) = node.with_state(|state, now| {
        (state.voter_set_status(now), state.event_log.registry.control_nodes(), state.acceptor.is_recovered())
    });
    let changing = status.voter_set.is_joint();
    let members: Vec<Value> =
        status.members.into_iter().map(|member| member_fields(member, node.id, &control_nodes)).collect();
    let last_change = status
        .last_change
        .map(|(age, result)| json!({"SecondsAgo": age, "Came": result == ChangeResult::Completed}));
    let accepted: Vec<Value> = status.accepted.into_iter().map(accepted_fields).collect();
    json!({"Here": Ipv4Addr::from(node.id), "Epoch": status.voter_set.epoch, "Founded": status.established,
        "Changing": changing, "Members": members, "Lost": lost, "DiskWhole": recovered,
        "LastChange": last_change, "Held": accepted})
}

fn parse_node_or_error(text: &str) -> Result<NodeId, Response> {
    parse_node(text)
        .ok_or_else(|| error(400, format_args!("{text:?} is no address of a machine, as 10.0.0.1")))
}

/// Replaces a voter by another node; the parameters are `OLD/NEW`.
pub async fn replace(node: &Node, path_parameters: &str) -> Response {
    let Some((old, new)) = path_parameters.split_once('/') else {
        return error(400, "two addresses are needed: OLD/NEW");
    };
    let (old, new) = match (parse_node_or_error(old), parse_node_or_error(new)) {
        (Ok(old), Ok(new)) => (old, new),
        (Err(response), _) | (_, Err(response)) => return response,
    };
    change_membership(node, Call::ReplaceVoter, MembershipChange::Replace { old, new }).await
}

async fn change_membership(node: &Node, call: Call, change: MembershipChange) -> Response {
    let outcome = submit(node, call, OperatorRequest::Membership(change)).await;
    match outcome_or_unavailable(outcome) {
        Ok(Outcome::Rejected(reason)) => rejected(reason),
        Ok(_) => Response::json(200, status(node).to_string()),
        Err(response) => response,
    }
}

/// What an operator has to confirm to force a new generation: the epoch that was shown, and the voters that are permanently
/// lost.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase", deny_unknown_fields)]
struct ForceNewGenerationBody {
    epoch: u64,
    lose: Vec<String>,
}

/// Continues with the remaining voters if a majority is permanently lost and the operator names exactly the lost ones.
pub async fn force_new_generation(node: &Node, body: &[u8]) -> Response {
    let ForceNewGenerationBody { epoch, lose } = match serde_json::from_slice(body) {
        Ok(body) => body,
        Err(e) => return error(400, format_args!("the body names Epoch and Lose: {e}")),
    };
    let given_up = match lose.iter().map(|text| parse_node_or_error(text)).collect() {
        Ok(nodes) => nodes,
        Err(response) => return response,
    };
    if let Err(response) = check_quorum_is_lost(node, &given_up).await {
        return response;
    }
    let voters = node.with_state(|state, _| state.voter_set().all_voters());
    let voters: Vec<NodeId> = voters.into_iter().filter(|voter| !given_up.contains(voter)).collect();
    log::warn!(epoch = epoch, given_up:% = lose.join(","); "forced new generation requested");
    let change = MembershipChange::ForceNewGeneration { epoch, voters };
    change_membership(node, Call::ForceNewGeneration, change).await
}

/// Checks that a new generation may be forced. The error response says why not: this node has just started, there is contact
/// with a quorum, or the lost voters are not those named.
async fn check_quorum_is_lost(node: &Node, given_up: &BTreeSet<NodeId>) -> Result<(), Response> {
    if node.recently_started() {
        return Err(error(
            409,
            "this gateway has only started and may not have reached the others: order again in 5 s",
        ));
    }
    if node.probe_quorum().await {
        return Err(error(
            409,
            "a majority answers here: nothing is lost; order `voters replace` for a machine that is gone",
        ));
    }
    let lost = lost_voters(node);
    if *given_up != lost {
        let list: Vec<String> = lost.into_iter().map(|node| Ipv4Addr::from(node).to_string()).collect();
        let reason =
            format!("the seats that nothing is heard of here are {}: name exactly these", list.join(","));
        return Err(error(409, reason));
    }
    Ok(())
}

#[cfg(test)]
mod tests;
