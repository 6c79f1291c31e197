//! When a majority of the voters is gone for good: what the gateways that are left hold, which of it is newest, and what may
//! be lost. Owns the words in which a person is told. Must never order anything.

use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// What one control gateway answered to `voters`, or why it did not.
pub type Told = Result<Value, String>;

/// In the order in which survivors are compared.
const REGISTERS: [&str; 3] = ["Chart", "Evacuations", "Muster"];

/// A register as a survivor holds it: the ballot says which is newer.
type Newest = BTreeMap<String, (Vec<u64>, String, BTreeSet<String>)>;

fn text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_string)
}

fn texts(value: &Value) -> Vec<String> {
    value.as_array().map(|all| all.iter().map(text).collect()).unwrap_or_default()
}

fn or_none(names: &[String]) -> String {
    if names.is_empty() { "none".to_string() } else { names.join(",") }
}

/// What is held, as `Chart 0000000a`: the number that operators know, else the count of changes.
fn named(held: &Value) -> (String, Vec<u64>, String) {
    let proposal = held["Ballot"].as_array().map(|b| b.iter().filter_map(Value::as_u64).collect());
    let number = if held["ConfigVersion"].is_string() { &held["ConfigVersion"] } else { &held["Stamp"] };
    (text(&held["Register"]), proposal.unwrap_or_default(), text(number))
}

/// What a person has to repeat for a founding anew.
#[derive(Debug, PartialEq, Eq)]
pub struct Words {
    pub at: String,
    pub epoch: String,
    pub lose: String,
}

/// A voter that answered. The greatest is what to found from: by epoch, then by what its disk has.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Survivor {
    epoch: u64,
    whole: bool,
    proposals: Vec<Vec<u64>>,
    at: String,
    lost: Vec<String>,
}

/// One line of what a gateway told, and it as a survivor, if it votes.
fn look(at: &str, told: &Value, newest: &mut Newest) -> (String, Option<Survivor>) {
    let held: Vec<(String, Vec<u64>, String)> =
        told["Held"].as_array().into_iter().flatten().map(named).collect();
    for (register, proposal, number) in &held {
        let known = newest.entry(register.clone()).or_default();
        if *proposal > known.0 {
            *known = (proposal.clone(), number.clone(), BTreeSet::new());
        }
        if *proposal == known.0 {
            known.2.insert(text(&told["Here"]));
        }
    }
    let whole = told["DiskWhole"] == true;
    let voter = |m: &Value| m["Here"] == true && (m["Seat"] == true || m["Comes"] == true);
    let seated = told["Members"].as_array().into_iter().flatten().any(voter);
    let holds: Vec<String> =
        held.iter().map(|(register, _, number)| format!("{register} {number}")).collect();
    let (epoch, lost) = (told["Epoch"].as_u64().unwrap_or(0), texts(&told["Lost"]));
    let line = format!(
        "{at}: epoch {epoch}, {}, {}; holds {}; voters not heard of: {}",
        if seated { "votes" } else { "does not vote" },
        if whole { "disk whole" } else { "has forgotten" },
        if holds.is_empty() { "nothing".to_string() } else { holds.join(", ") },
        or_none(&lost),
    );
    let proposal = |register: &&str| held.iter().find(|(name, _, _)| name == register).map(|h| h.1.clone());
    let proposals = REGISTERS.iter().map(|register| proposal(register).unwrap_or_default()).collect();
    (line, seated.then(|| Survivor { epoch, whole, proposals, at: at.to_string(), lost }))
}

/// What was found, for people; and the command that founds anew, where that is the way out.
pub fn survey(asked: &[(String, Told)]) -> (String, Option<Words>) {
    let (mut said, mut newest, mut best) = (Vec::new(), Newest::new(), None);
    let (mut answering, mut silent) = (Vec::new(), Vec::new());
    for (at, told) in asked {
        match told {
            Err(e) => {
                silent.push(at.clone());
                said.push(format!("{at}: not reached: {e}"));
            }
            Ok(told) => {
                answering.extend((told["Contact"] == true).then(|| at.clone()));
                let (line, survivor) = look(at, told, &mut newest);
                said.push(line);
                best = best.max(survivor);
            }
        }
    }
    if !answering.is_empty() {
        let answers = answering.join(", ");
        said.push(format!("A majority answers {answers}: nothing is lost, and nothing is to be founded."));
        return (said.join("\n"), None);
    }
    let order = match best {
        Some(survivor) => advise(survivor, &newest, &silent, &mut said),
        None => {
            said.push("No voter was reached: bring one of them back first, with its disk.".to_string());
            None
        }
    };
    (said.join("\n"), order)
}

/// What may be lost with that survivor, and the command that founds from it.
fn advise(best: Survivor, newest: &Newest, silent: &[String], said: &mut Vec<String>) -> Option<Words> {
    let Survivor { epoch, whole, at, lost, .. } = best;
    for (register, (_, number, holders)) in newest {
        let holders: Vec<&str> = holders.iter().map(String::as_str).collect();
        said.push(format!("newest {register}: {number}, at {}", holders.join(", ")));
    }
    said.push(format!(
        "Founded anew is what {at} holds. May be lost: whatever only others hold, and whatever was acknowledged by a \
         majority of which nobody is left. Not reached: {}.",
        or_none(silent)
    ));
    if !whole {
        said.push(format!("{at} has forgotten what it held: founded from it, everything may be lost."));
    }
    if lost.is_empty() {
        said.push(format!("{at} hears all voters: wait, or look at their disks."));
        return None;
    }
    let words = Words { at, epoch: epoch.to_string(), lose: lost.join(",") };
    said.push("Only where the machines named here never come back, not even one of them:".to_string());
    said.push(format!("  voters found-anew --at {} --epoch {} --lose {}", words.at, words.epoch, words.lose));
    Some(words)
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    fn told(here: &str, epoch: u64, round: u64, contact: bool) -> (String, Told) {
        let seats: Vec<Value> = ["10.0.0.1", "10.0.0.2", "10.0.0.3"]
            .iter()
            .map(|a| json!({"Address": a, "Seat": true, "Here": *a == here}))
            .collect();
        let held = json!([{"Register": "Chart", "Stamp": round, "ConfigVersion": format!("{:08x}", round - 1),
            "Ballot": [round, 1, 1]}]);
        let told = json!({"Here": here, "Epoch": epoch, "Members": seats, "Lost": ["10.0.0.3"], "DiskWhole": true,
            "Held": held, "Contact": contact});
        (format!("{here}:8200"), Ok(told))
    }

    /// The newest survivor is proposed, by epoch before ballots; where a majority answers anybody nothing is.
    #[test]
    fn the_newest_survivor_is_proposed_and_only_where_no_majority_is_left() {
        let gone = ("10.0.0.3:8200".to_string(), Err("refused".to_string()));
        let asked = [told("10.0.0.1", 4, 9, false), told("10.0.0.2", 5, 7, false), gone];
        let (said, order) = survey(&asked);
        let words = Words { at: "10.0.0.2:8200".into(), epoch: "5".into(), lose: "10.0.0.3".into() };
        assert_eq!(order, Some(words));
        assert!(
            said.contains("newest Chart: 00000008, at 10.0.0.1")
                && said.contains("10.0.0.3:8200: not reached")
        );
        let (said, order) = survey(&[told("10.0.0.1", 4, 9, true), told("10.0.0.2", 5, 7, false)]);
        assert!(order.is_none() && said.contains("nothing is lost"), "{said}");
        assert!(survey(&[told("10.0.0.9", 4, 9, false)]).1.is_none());
    }
}
