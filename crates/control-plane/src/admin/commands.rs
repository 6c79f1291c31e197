//! Operators' commands that change the configuration or evacuations: the validation before anything is proposed, and the
//! response to each outcome.
//!
//! Invariants: only what a quorum holds is acknowledged. A rejection is permanent for the same text, because it depends on the
//! text alone, or on another text that was accepted under the same version and keeps it.
//!
//! The texts of errors are part of the operators' interface: scripts compare them, so they stay the same and keep older words.

use super::calls::{Call, Consistency};
use super::configuration::{digest, hex, validate};
use super::responses::{error, outcome_or_unavailable, rejected};
use crate::server::node::{Node, NotStarted, OperatorRequest};
use archlink_consensus::Outcome;
use archlink_consensus::proposer::Change;
use archlink_http::codec::Response;
use archlink_messages::{Register, VersionDigest, patch};
use bytes::Bytes;
use serde_json::{Value, json};

/// Maximum size of a compressed configuration in bytes. It has to fit into one frame between control nodes, with the rest of
/// its message.
const MAX_COMPRESSED: usize = 6 << 20;

/// Submits a request, unless its call requires quorum contact and there is none.
pub async fn submit(node: &Node, call: Call, request: OperatorRequest) -> Result<Outcome, NotStarted> {
    if call.consistency() == Consistency::QuorumContact
        && !node.recently_started()
        && !node.probe_quorum().await
    {
        log::warn!(call = call.path(); "operator request not started: no quorum contact");
        return Err(NotStarted::NoQuorum);
    }
    node.submit(request).await
}

/// Puts a configuration in force.
pub async fn replace_configuration(node: &Node, text: &Bytes) -> Response {
    let version = match validate(text) {
        Ok(configuration) => configuration.version,
        Err(reason) => {
            log::warn!(reason:% = reason; "configuration rejected");
            return error(400, reason);
        }
    };
    let compressed: Bytes = match patch::compress(text, b"") {
        Ok(compressed) if compressed.len() <= MAX_COMPRESSED => compressed.into(),
        Ok(_) => return error(413, "the configuration is too large to be sent between control gateways"),
        Err(e) => return error(413, e),
    };
    let sent = VersionDigest { version, digest: digest(text) };
    let change = Change::Configuration { version, digest: sent.digest, text: compressed };
    let outcome = submit(node, Call::ReplaceConfiguration, OperatorRequest::Change(change)).await;
    match outcome_or_unavailable(outcome) {
        Ok(Outcome::VersionConflict(accepted)) => version_conflict(sent, accepted),
        Ok(Outcome::Rejected(reason)) => rejected(reason),
        Ok(_) => acknowledged(node, sent),
        Err(response) => response,
    }
}

fn version_fields(version: VersionDigest) -> Value {
    json!({"ConfigVersion": format!("{:08x}", version.version), "Digest": hex(&version.digest)})
}

/// The version in force, as far as this node knows. A value that was stored before versions were recorded with it has no
/// digest; it is computed from the text.
fn version_in_force(node: &Node) -> Option<VersionDigest> {
    let accepted = node.with_state(|state, _| state.proposer.committed(Register::Configuration).cloned())?;
    let version = accepted.revision.saturating_sub(1);
    let recorded = accepted.recent_versions.last().copied().filter(|recent| recent.version == version);
    recorded.or_else(|| {
        let text = patch::decompress(&accepted.value, b"").ok()?;
        Some(VersionDigest { version, digest: digest(&text) })
    })
}

/// The response to an accepted configuration. `InForce` is the configuration in force, which has a higher version if this one
/// came too late.
fn acknowledged(node: &Node, sent: VersionDigest) -> Response {
    let mut body = version_fields(sent);
    body["InForce"] = version_fields(version_in_force(node).unwrap_or(sent));
    Response::json(200, body.to_string())
}

/// The response if another text was accepted under this version, which it keeps.
fn version_conflict(sent: VersionDigest, accepted: VersionDigest) -> Response {
    let version = format!("{:08x}", sent.version);
    let (accepted_digest, sent_digest) = (hex(&accepted.digest), hex(&sent.digest));
    log::warn!(
        version:% = version, accepted_digest:% = accepted_digest, sent_digest:% = sent_digest;
        "configuration rejected: version conflict"
    );
    let reason = "another text stands under this number: read it, and send yours under a higher one";
    let body = json!({"Error": reason, "ConfigVersion": version, "Digest": accepted_digest, "YourDigest": sent_digest});
    Response::json(409, body.to_string())
}

/// Begins or finishes the evacuation of a zone.
pub async fn evacuate(node: &Node, call: Call, zone: &str) -> Response {
    let on = call == Call::BeginEvacuation;
    if !node.settings.zones.contains_key(zone) {
        return error(404, format_args!("{zone:?} is no zone of this deployment"));
    }
    let change = Change::Evacuation { zone: zone.to_string(), on };
    let outcome = submit(node, call, OperatorRequest::Change(change)).await;
    match outcome_or_unavailable(outcome) {
        Ok(Outcome::Rejected(reason)) => rejected(reason),
        Ok(_) => Response::json(200, json!({"Zone": zone, "Evacuated": on}).to_string()),
        Err(response) => response,
    }
}
