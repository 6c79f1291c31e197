//! `voters force-new`: shows what is left of the voters, and forces a new generation if the operator repeats what was shown.
//!
//! Invariant: nothing is sent unless all three options match a new survey.

use super::arguments::argument;
use super::client::{CallError, call_any, call_one, parse_address, target_addresses};
use super::disaster_recovery::{Confirmation, SurveyedNode, survey};
use crate::admin::calls::Call;
use crate::error::failure;
use crate::{ControlPlaneError, ControlPlaneResult};
use clap::ArgMatches;
use error_stack::ResultExt;
use futures_util::future::join_all;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Maximum number of control nodes that are surveyed.
const MAX_SURVEYED: usize = 64;
/// Rounds of the survey. The first asks the given nodes; each further one asks the nodes that responses have newly named.
const SURVEY_ROUNDS: usize = 3;

async fn voters_status(address: SocketAddr) -> Result<Value, CallError> {
    let response = call_one(address, Call::Voters, "", b"").await?;
    match response.status {
        200 => serde_json::from_slice(&response.body).map_err(CallError::Body),
        status => Err(CallError::Status(status)),
    }
}

/// The operators' addresses of the members in a response.
fn named_members(status: &Value) -> impl Iterator<Item = SocketAddr> {
    let members = status["Members"].as_array().into_iter().flatten();
    members.filter_map(|member| member["Control"].as_str()?.parse::<SocketAddr>().ok())
}

/// Asks the given control nodes, and those that their responses name, for the status of the voters.
async fn survey_nodes(first: Vec<SocketAddr>) -> Vec<SurveyedNode> {
    let (mut responses, mut next) = (BTreeMap::new(), first);
    for _ in 0..SURVEY_ROUNDS {
        next.retain(|address| !responses.contains_key(address));
        next.truncate(MAX_SURVEYED.saturating_sub(responses.len()));
        let statuses = join_all(next.iter().map(|&address| voters_status(address))).await;
        let named: Vec<SocketAddr> = statuses.iter().flatten().flat_map(named_members).collect();
        responses.extend(next.into_iter().zip(statuses));
        next = named;
    }
    let surveyed = responses.into_iter();
    surveyed.map(|(address, status)| SurveyedNode { address: address.to_string(), status }).collect()
}

/// Prints the survey. With all three options, compares them with the survey and sends the call.
pub(super) async fn run(arguments: &ArgMatches) -> ControlPlaneResult<()> {
    let (text, confirmation) = survey(&survey_nodes(target_addresses(arguments)?).await);
    println!("{text}");
    let given = ["at", "epoch", "lose"].map(|name| argument(arguments, name));
    if given.iter().all(|text| text.is_empty()) {
        return Ok(());
    }
    let Some(Confirmation { at, epoch, lose }) = confirmation else {
        let reason = "there is no new generation to force, as shown above".into();
        return Err(failure(ControlPlaneError::Rejected, reason));
    };
    for ((option, given), shown) in ["--at", "--epoch", "--lose"].iter().zip(given).zip([&at, &epoch, &lose])
    {
        if given != shown {
            let reason = format!("{option}: found {given:?}, expected {shown}");
            return Err(failure(ControlPlaneError::Call, reason));
        }
    }
    let number = epoch.parse::<u64>().change_context(ControlPlaneError::Call)?;
    let body = json!({"Epoch": number, "Lose": lose.split(',').collect::<Vec<_>>()}).to_string();
    let survivor = [parse_address("--at", &at)?];
    let response = call_any(&survivor, Call::ForceNewGeneration, "", body.as_bytes()).await?;
    println!("{}", String::from_utf8_lossy(&response.body));
    Ok(())
}
