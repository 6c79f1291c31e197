//! Operators' orders about configurations and evacuations: what is checked before anything is begun, and what each end of
//! an order is answered with. Must never acknowledge what a majority does not hold, nor say a refusal that would change if
//! the same text came again: that rests on the text alone, or on another that stands under its number for good.

use crate::admin_server::{later, refused};
use crate::answer_names;
use crate::calls::Call;
use crate::node::{Node, Order, Unbegun};
use archlink_config::Configuration;
use archlink_consensus::proposer::Change;
use archlink_consensus::{MembershipError, Outcome};
use archlink_http::codec::Response;
use archlink_messages::{Register, VersionDigest, patch};
use bytes::Bytes;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

/// A packed configuration goes in one frame between control gateways, with the words about it.
const MOST_PACKED: usize = 6 << 20;

/// What an operator's text is told by: of its bytes as they were sent.
pub fn digest(text: &[u8]) -> [u8; 16] {
    let mut digest = [0; 16];
    digest.copy_from_slice(&Sha256::digest(text)[..16]);
    digest
}

pub fn hex(digest: &[u8]) -> String {
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The end of an order; else the answer that it has none, or was not begun.
pub fn settled(ended: Result<Outcome, Unbegun>) -> Result<Outcome, Response> {
    match ended {
        Ok(Outcome::Unknown) => Err(later(
            "no majority has taken it yet: it may or may not come to be; the same order sent again tells",
        )),
        Ok(outcome) => Ok(outcome),
        Err(Unbegun::Contact) => {
            Err(later("not begun: no majority answers this gateway; nothing was altered, nor will be"))
        }
        Err(Unbegun::Founding) => {
            Err(later("not begun: the first start has not taken in as many voters as are needed"))
        }
        Err(Unbegun::Many) => Err(later("not begun: too many orders wait; nothing was altered, nor will be")),
    }
}

/// The number of a configuration and the count of foundings share 64 bits where gateways compare what they hold.
const MOST_VERSION: u64 = (1 << 40) - 2;

/// A configuration that may be sent; else the refusal, which rests on the text alone.
pub fn checked(text: &[u8]) -> Result<Configuration, String> {
    let configuration = Configuration::read(text).map_err(|e| e.current_context().to_string())?;
    match configuration.version {
        ..=MOST_VERSION => Ok(configuration),
        version => Err(format!("ConfigVersion: found {version:x}, allowed is {MOST_VERSION:x} at most")),
    }
}

pub async fn replace(port: &Node, text: &Bytes) -> Response {
    let version = match checked(text) {
        Ok(configuration) => configuration.version,
        Err(why) => {
            log::warn!("a configuration is refused: {why}");
            return refused(400, why);
        }
    };
    let packed: Bytes = match patch::compress(text, b"") {
        Ok(packed) if packed.len() <= MOST_PACKED => packed.into(),
        Ok(_) => return refused(413, "the configuration is too large to be sent between control gateways"),
        Err(e) => return refused(413, e),
    };
    let own = VersionDigest { version, digest: digest(text) };
    let change = Change::Configuration { version, digest: own.digest, text: packed };
    match settled(port.order(Call::Replace, Order::Change(change)).await) {
        Ok(Outcome::VersionConflict(mark)) => stands(own, mark),
        Ok(Outcome::Rejected(why)) => not_so(why),
        Ok(_) => taken(port, own),
        Err(answer) => answer,
    }
}

fn marked(mark: VersionDigest) -> Value {
    json!({"ConfigVersion": format!("{:08x}", mark.version), "Digest": hex(&mark.digest)})
}

/// The configuration in force, as far as is known here. One of before there were marks is read.
fn in_force(port: &Node) -> Option<VersionDigest> {
    let held = port.look(|control, _| control.proposer.chosen(Register::Configuration).cloned())?;
    let version = held.revision.saturating_sub(1);
    let known = held.recent_versions.last().copied().filter(|mark| mark.version == version);
    known.or_else(|| {
        Some(VersionDigest { version, digest: digest(&patch::decompress(&held.value, b"").ok()?) })
    })
}

/// Acknowledged; `InForce` names the configuration that stands, which has a higher number where this one came too late.
fn taken(port: &Node, own: VersionDigest) -> Response {
    let mut told = marked(own);
    told["InForce"] = marked(in_force(port).unwrap_or(own));
    Response::json(200, told.to_string())
}

/// Another text stands under this number, for good.
fn stands(own: VersionDigest, mark: VersionDigest) -> Response {
    let (theirs, yours) = (hex(&mark.digest), hex(&own.digest));
    log::warn!("configuration {:08x} is refused: {theirs} stands under it, {yours} was sent", own.version);
    let why = "another text stands under this number: read it, and send yours under a higher one";
    let told = json!({"Error": why, "ConfigVersion": format!("{:08x}", own.version), "Digest": theirs,
        "YourDigest": yours});
    Response::json(409, told.to_string())
}

pub async fn evacuate(port: &Node, call: Call, zone: &str) -> Response {
    let on = call == Call::Begin;
    if !port.settings.zones.contains_key(zone) {
        return refused(404, format_args!("{zone:?} is no zone of this deployment"));
    }
    let order = Order::Change(Change::Evacuation { zone: zone.to_string(), on });
    match settled(port.order(call, order).await) {
        Ok(Outcome::Rejected(why)) => not_so(why),
        Ok(_) => Response::json(200, json!({"Zone": zone, "Evacuated": on}).to_string()),
        Err(answer) => answer,
    }
}

/// What to do about a refusal.
pub fn sentence(why: MembershipError) -> &'static str {
    match why {
        MembershipError::Unknown => {
            "who votes is not known here yet: ask again once this gateway has reached another, or ask another"
        }
        MembershipError::ChangeInProgress => {
            "another change of the voters is under way: see `voters`, and order again once it has ended"
        }
        MembershipError::NotAVoter => "the one that is to go has no seat: see `voters` for those that have",
        MembershipError::AlreadyAVoter => "the one that is to come has a seat already: see `voters`",
        MembershipError::Unreachable => {
            "the one that is to come is not heard of: start it, and order again once `members` names it"
        }
        MembershipError::NotRecovered => {
            "too many voters are not there or have not read back their disks: see `voters`, and bring those back first"
        }
        MembershipError::WrongEpoch => {
            "the epoch that was named is not the one that stands: see `voters`, and name that"
        }
    }
}

/// Refused for good as things stand; nothing was begun.
pub fn not_so(why: MembershipError) -> Response {
    log::warn!("an order is refused: {}", sentence(why));
    Response::json(409, json!({"Error": sentence(why), "Reason": answer_names::rejection(why)}).to_string())
}
