//! Operators' calls about who votes: what this gateway holds and hears, and orders to change it. Owns how seats are named.
//! Must never found anew where a majority answers, nor give up a seat that is heard of or was not named.

use crate::calls::Call;
use crate::office::refused;
use crate::orders::{not_so, settled};
use crate::port::{Order, Port};
use archlink_consensus::control::Member;
use archlink_consensus::membership::Ended;
use archlink_consensus::{Outcome, Reseat};
use archlink_http::plain::Answer;
use archlink_messages::{Ballot, Keeper, Node, Register};
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};

/// A seat of which nothing was heard for so long is one that may be given up: signs of life come three times a second, and
/// links are called again four times.
const LOST: f64 = 5.0;

/// A machine's address, also with a port behind it.
pub fn node(text: &str) -> Option<Node> {
    let bare = || text.parse::<Ipv4Addr>().ok();
    text.parse::<SocketAddrV4>()
        .map(|address| *address.ip())
        .ok()
        .or_else(bare)
        .map(archlink_runtime::node_of)
}

fn address(node: Node) -> Ipv4Addr {
    Ipv4Addr::from(node)
}

/// Voters of which nothing is heard here.
fn lost(port: &Port) -> BTreeSet<Node> {
    let members = port.look(|control, now| control.voters(now).members).into_iter();
    let silent = |member: &Member| member.heard.is_none_or(|ago| ago > LOST);
    members.filter(|m| (m.seat || m.comes) && silent(m)).map(|m| m.node).collect()
}

fn member(member: Member, me: Node, keepers: &[Keeper]) -> Value {
    let Member { node, zone, seat, comes, heard, whole } = member;
    let control = keepers.iter().find(|keeper| keeper.node == node).map(|keeper| keeper.control);
    json!({"Address": address(node), "Control": control, "Zone": zone, "Seat": seat, "Comes": comes,
        "Here": node == me, "HeardSecondsAgo": heard.map(|ago| (ago * 1e3).round() / 1e3), "DiskWhole": whole})
}

fn held((register, stamp, ballot): (Register, u64, Ballot)) -> Value {
    let version = (register == Register::Chart).then(|| format!("{:08x}", stamp.saturating_sub(1)));
    json!({"Register": format!("{register:?}"), "Stamp": stamp, "ConfigVersion": version,
        "Ballot": [ballot.round, u64::from(ballot.node), u64::from(ballot.nonce)]})
}

pub fn look(port: &Port) -> Value {
    let lost: Vec<Ipv4Addr> = lost(port).into_iter().map(address).collect();
    let (voters, keepers, whole) = port
        .look(|control, now| (control.voters(now), control.journal.roster.keepers(), control.voter.whole()));
    let changing = voters.muster.changing();
    let members: Vec<Value> = voters.members.into_iter().map(|m| member(m, port.me, &keepers)).collect();
    let last = voters.last.map(|(ago, ended)| json!({"SecondsAgo": ago, "Came": ended == Ended::Came}));
    json!({"Here": address(port.me), "Epoch": voters.muster.epoch, "Founded": voters.founded, "Changing": changing,
        "Members": members, "Lost": lost, "DiskWhole": whole, "LastChange": last,
        "Held": voters.holds.into_iter().map(held).collect::<Vec<_>>()})
}

fn named(text: &str) -> Result<Node, Answer> {
    node(text).ok_or_else(|| refused(400, format_args!("{text:?} is no address of a machine, as 10.0.0.1")))
}

/// `OLD/NEW`: a seat passes to another machine.
pub async fn replace(port: &Port, names: &str) -> Answer {
    let Some((old, new)) = names.split_once('/') else {
        return refused(400, "two addresses are needed: OLD/NEW");
    };
    let (old, new) = match (named(old), named(new)) {
        (Ok(old), Ok(new)) => (old, new),
        (Err(answer), _) | (_, Err(answer)) => return answer,
    };
    reseat(port, Call::VotersReplace, Reseat::Replace { old, new }).await
}

async fn reseat(port: &Port, call: Call, order: Reseat) -> Answer {
    match settled(port.order(call, Order::Reseat(order)).await) {
        Ok(Outcome::Refused(why)) => not_so(why),
        Ok(_) => Answer::json(200, look(port).to_string()),
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

pub async fn refound(port: &Port, body: &[u8]) -> Answer {
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
    let voters = port.look(|control, _| control.muster().voters());
    let seats: Vec<Node> = voters.into_iter().filter(|node| !given_up.contains(node)).collect();
    log::warn!("founding anew beyond epoch {epoch}; given up: {}", lose.join(","));
    reseat(port, Call::VotersRefound, Reseat::Refound { epoch, seats }).await
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
