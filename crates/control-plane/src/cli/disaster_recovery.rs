//! Report for operators after the permanent loss of a majority of the voters: what the remaining control nodes hold, which of
//! it is newest, and what may be lost. Nothing is sent from here.

use super::client::CallError;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Names of the registers in responses, in the order in which survivors are compared.
const REGISTERS: [&str; 3] = ["Chart", "Evacuations", "Muster"];

/// A control node's response to `voters`.
#[derive(Debug)]
pub(super) struct SurveyedNode {
    /// Its address for operators.
    pub address: String,
    /// The response, or why there is none.
    pub status: Result<Value, CallError>,
}

/// The options that an operator has to repeat to force a new generation.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Confirmation {
    /// The survivor whose state is kept.
    pub at: String,
    /// Its epoch.
    pub epoch: String,
    /// The voters that are given up, separated by commas.
    pub lose: String,
}

/// The accepted value of a register at one node.
struct AcceptedRegister {
    register: String,
    /// The parts of the proposal number. The greater one is newer.
    proposal: Vec<u64>,
    /// The number that is shown to operators: the version of a configuration, or else the revision.
    number: String,
}

/// The newest accepted value of a register, and the nodes that hold it.
#[derive(Default)]
struct NewestValue {
    proposal: Vec<u64>,
    number: String,
    holders: BTreeSet<String>,
}

type NewestValues = BTreeMap<String, NewestValue>;

/// A voter that responded. The greatest one has the state to keep. The order of the fields is the order of comparison: epoch,
/// then the state of its disk, then its accepted proposals.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Survivor {
    epoch: u64,
    recovered: bool,
    proposals: Vec<Vec<u64>>,
    address: String,
    lost: Vec<String>,
}

fn display_text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_string)
}

fn display_texts(value: &Value) -> Vec<String> {
    value.as_array().map(|items| items.iter().map(display_text).collect()).unwrap_or_default()
}

fn list_or_none(names: &[String]) -> String {
    if names.is_empty() { "none".to_string() } else { names.join(",") }
}

impl AcceptedRegister {
    fn read(fields: &Value) -> AcceptedRegister {
        let proposal = fields["Ballot"].as_array();
        let version = &fields["ConfigVersion"];
        AcceptedRegister {
            register: display_text(&fields["Register"]),
            proposal: proposal.into_iter().flatten().filter_map(Value::as_u64).collect(),
            number: display_text(if version.is_string() { version } else { &fields["Stamp"] }),
        }
    }
}

fn record_newest(newest: &mut NewestValues, accepted: &AcceptedRegister, holder: String) {
    let known = newest.entry(accepted.register.clone()).or_default();
    if accepted.proposal > known.proposal {
        known.proposal.clone_from(&accepted.proposal);
        known.number.clone_from(&accepted.number);
        known.holders.clear();
    }
    if accepted.proposal == known.proposal {
        known.holders.insert(holder);
    }
}

fn is_voter(status: &Value) -> bool {
    let is_own_vote =
        |member: &Value| member["Here"] == true && (member["Seat"] == true || member["Comes"] == true);
    status["Members"].as_array().into_iter().flatten().any(is_own_vote)
}

/// Describes a node on one line. Also returns it as a survivor if it is a voter.
fn describe_node(address: &str, status: &Value, newest: &mut NewestValues) -> (String, Option<Survivor>) {
    let accepted: Vec<AcceptedRegister> =
        status["Held"].as_array().into_iter().flatten().map(AcceptedRegister::read).collect();
    for value in &accepted {
        record_newest(newest, value, display_text(&status["Here"]));
    }
    let (votes, recovered) = (is_voter(status), status["DiskWhole"] == true);
    let holds: Vec<String> =
        accepted.iter().map(|value| format!("{} {}", value.register, value.number)).collect();
    let (epoch, lost) = (status["Epoch"].as_u64().unwrap_or(0), display_texts(&status["Lost"]));
    let line = format!(
        "{address}: epoch {epoch}, {}, {}; holds {}; voters not heard from: {}",
        if votes { "voter" } else { "not a voter" },
        if recovered { "state complete" } else { "state incomplete" },
        if holds.is_empty() { "nothing".to_string() } else { holds.join(", ") },
        list_or_none(&lost),
    );
    let proposal = |register: &&str| {
        accepted.iter().find(|value| value.register == *register).map(|value| value.proposal.clone())
    };
    let proposals = REGISTERS.iter().map(|register| proposal(register).unwrap_or_default()).collect();
    let address = address.to_string();
    (line, votes.then_some(Survivor { epoch, recovered, proposals, address, lost }))
}

/// Describes the nodes to the operator. Also returns what has to be repeated to force a new generation, if that is the remedy.
pub(super) fn survey(nodes: &[SurveyedNode]) -> (String, Option<Confirmation>) {
    let (mut lines, mut newest, mut best) = (Vec::new(), NewestValues::new(), None);
    let (mut with_quorum, mut unreachable) = (Vec::new(), Vec::new());
    for SurveyedNode { address, status } in nodes {
        match status {
            Err(e) => {
                unreachable.push(address.clone());
                lines.push(format!("{address}: unreachable: {e}"));
            }
            Ok(status) => {
                with_quorum.extend((status["Contact"] == true).then(|| address.clone()));
                let (line, survivor) = describe_node(address, status, &mut newest);
                lines.push(line);
                best = best.max(survivor);
            }
        }
    }
    if !with_quorum.is_empty() {
        let nodes = with_quorum.join(", ");
        lines.push(format!("In contact with a quorum: {nodes}. No new generation is needed."));
        return (lines.join("\n"), None);
    }
    let confirmation = match best {
        Some(survivor) => describe_recovery(survivor, &newest, &unreachable, &mut lines),
        None => {
            lines.push("No voter could be reached: restore one of them first, with its disk.".to_string());
            None
        }
    };
    (lines.join("\n"), confirmation)
}

/// Describes what may be lost if this survivor's state is kept, and the command that forces a new generation from it.
fn describe_recovery(
    best: Survivor,
    newest: &NewestValues,
    unreachable: &[String],
    lines: &mut Vec<String>,
) -> Option<Confirmation> {
    let Survivor { epoch, recovered, address: at, lost, .. } = best;
    for (register, NewestValue { number, holders, .. }) in newest {
        let holders: Vec<&str> = holders.iter().map(String::as_str).collect();
        lines.push(format!("newest {register}: {number}, at {}", holders.join(", ")));
    }
    lines.push(format!(
        "A forced new generation keeps what {at} holds. It may lose whatever only other nodes hold, and whatever was \
         acknowledged by a majority of which no node is left. Unreachable: {}.",
        list_or_none(unreachable)
    ));
    if !recovered {
        lines.push(format!(
            "The state of {at} is incomplete: a new generation forced from it may lose everything."
        ));
    }
    if lost.is_empty() {
        lines.push(format!("{at} hears from all voters: wait, or check their disks."));
        return None;
    }
    let shown = Confirmation { at, epoch: epoch.to_string(), lose: lost.join(",") };
    lines.push("Run this only if none of the voters after --lose will ever come back:".to_string());
    let Confirmation { at, epoch, lose } = &shown;
    // Scripts compare this line, so it has the former name `found-anew` of the command `force-new`.
    lines.push(format!("  voters found-anew --at {at} --epoch {epoch} --lose {lose}"));
    Some(shown)
}

#[cfg(test)]
mod tests;
