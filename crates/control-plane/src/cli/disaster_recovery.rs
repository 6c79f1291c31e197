//! When a majority of the voters is lost for good: what the remaining control nodes hold, which of it is newest, and what
//! may be lost. The texts are for operators; nothing is sent from here.

use super::client::CallError;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Registers by their names in answers, in the order in which survivors are compared.
const REGISTERS: [&str; 3] = ["Chart", "Evacuations", "Muster"];

/// One control node's answer to `voters`.
#[derive(Debug)]
pub(super) struct SurveyedNode {
    /// Its operators' address.
    pub address: String,
    /// The answer, or why there is none.
    pub status: Result<Value, CallError>,
}

/// What an operator has to repeat to force a new generation.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Confirmation {
    /// The survivor whose state is kept.
    pub at: String,
    /// Its epoch.
    pub epoch: String,
    /// The voters that are given up, separated by commas.
    pub lose: String,
}

/// A register's accepted value at one node.
struct AcceptedRegister {
    register: String,
    /// The parts of the proposal number; the greater one is newer.
    proposal: Vec<u64>,
    /// The number that operators know: a configuration's version, else the revision.
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

/// A voter that answered. The greatest is the one whose state to keep: by epoch, then by what its disk has. The order of the
/// fields is the order of comparison.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Survivor {
    epoch: u64,
    recovered: bool,
    proposals: Vec<Vec<u64>>,
    address: String,
    lost: Vec<String>,
}

fn text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_string)
}

fn texts(value: &Value) -> Vec<String> {
    value.as_array().map(|items| items.iter().map(text).collect()).unwrap_or_default()
}

fn list_or_none(names: &[String]) -> String {
    if names.is_empty() { "none".to_string() } else { names.join(",") }
}

impl AcceptedRegister {
    fn read(fields: &Value) -> AcceptedRegister {
        let proposal = fields["Ballot"].as_array();
        let version = &fields["ConfigVersion"];
        AcceptedRegister {
            register: text(&fields["Register"]),
            proposal: proposal.into_iter().flatten().filter_map(Value::as_u64).collect(),
            number: text(if version.is_string() { version } else { &fields["Stamp"] }),
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
    let is_own_seat =
        |member: &Value| member["Here"] == true && (member["Seat"] == true || member["Comes"] == true);
    status["Members"].as_array().into_iter().flatten().any(is_own_seat)
}

/// One line about a node, and the node as a survivor where it votes.
fn describe_node(address: &str, status: &Value, newest: &mut NewestValues) -> (String, Option<Survivor>) {
    let accepted: Vec<AcceptedRegister> =
        status["Held"].as_array().into_iter().flatten().map(AcceptedRegister::read).collect();
    for value in &accepted {
        record_newest(newest, value, text(&status["Here"]));
    }
    let (votes, recovered) = (is_voter(status), status["DiskWhole"] == true);
    let holds: Vec<String> =
        accepted.iter().map(|value| format!("{} {}", value.register, value.number)).collect();
    let (epoch, lost) = (status["Epoch"].as_u64().unwrap_or(0), texts(&status["Lost"]));
    let line = format!(
        "{address}: epoch {epoch}, {}, {}; holds {}; voters not heard of: {}",
        if votes { "votes" } else { "does not vote" },
        if recovered { "disk whole" } else { "has forgotten" },
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

/// What was found, for the operator; and what has to be repeated to force a new generation, where that is the way out.
pub(super) fn survey(nodes: &[SurveyedNode]) -> (String, Option<Confirmation>) {
    let (mut lines, mut newest, mut best) = (Vec::new(), NewestValues::new(), None);
    let (mut with_quorum, mut unreachable) = (Vec::new(), Vec::new());
    for SurveyedNode { address, status } in nodes {
        match status {
            Err(e) => {
                unreachable.push(address.clone());
                lines.push(format!("{address}: not reached: {e}"));
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
        lines.push(format!("A majority answers {nodes}: nothing is lost, and nothing is to be founded."));
        return (lines.join("\n"), None);
    }
    let confirmation = match best {
        Some(survivor) => describe_recovery(survivor, &newest, &unreachable, &mut lines),
        None => {
            lines.push("No voter was reached: bring one of them back first, with its disk.".to_string());
            None
        }
    };
    (lines.join("\n"), confirmation)
}

/// What may be lost with that survivor, and the command that keeps its state.
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
        "Founded anew is what {at} holds. May be lost: whatever only others hold, and whatever was acknowledged by a \
         majority of which nobody is left. Not reached: {}.",
        list_or_none(unreachable)
    ));
    if !recovered {
        lines.push(format!("{at} has forgotten what it held: founded from it, everything may be lost."));
    }
    if lost.is_empty() {
        lines.push(format!("{at} hears all voters: wait, or look at their disks."));
        return None;
    }
    let shown = Confirmation { at, epoch: epoch.to_string(), lose: lost.join(",") };
    lines.push("Only where the machines named here never come back, not even one of them:".to_string());
    let Confirmation { at, epoch, lose } = &shown;
    // The earlier spelling: scripts compare this line. `force-new` and `found-anew` are the same command.
    lines.push(format!("  voters found-anew --at {at} --epoch {epoch} --lose {lose}"));
    Some(shown)
}

#[cfg(test)]
mod tests;
