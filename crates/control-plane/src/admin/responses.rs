//! Responses that several calls share. Their texts are part of the operators' interface.

use super::response_names;
use crate::server::node::NotStarted;
use archlink_consensus::{MembershipError, Outcome};
use archlink_http::codec::Response;
use serde_json::json;
use std::fmt;

/// `Retry-After` in seconds, in a response that is not final.
const RETRY_AFTER: &str = "0.3";

/// An error response with this status, and the reason as `Error`.
pub fn error(status: u16, reason: impl fmt::Display) -> Response {
    Response::json(status, json!({"Error": reason.to_string()}).to_string())
}

/// A response that is not final: the same call may succeed when it is retried.
pub fn unavailable(reason: &str) -> Response {
    error(503, reason).with("Retry-After", RETRY_AFTER)
}

/// The outcome of a request. If it has none or was not started, the response that says so.
pub fn outcome_or_unavailable(result: Result<Outcome, NotStarted>) -> Result<Outcome, Response> {
    match result {
        Ok(Outcome::Unknown) => Err(unavailable(
            "no quorum has confirmed the request yet: it may or may not take effect; send the same request again to learn its outcome",
        )),
        Ok(outcome) => Ok(outcome),
        Err(NotStarted::NoQuorum) => Err(unavailable(
            "request not started: this control node has no contact with a quorum; nothing was or will be changed",
        )),
        Err(NotStarted::NotBootstrapped) => Err(unavailable(
            "request not started: the first start has not found the required number of voters yet",
        )),
        Err(NotStarted::TooManyPending) => Err(unavailable(
            "request not started: too many requests are pending; nothing was or will be changed",
        )),
    }
}

/// Why a change was rejected, and what the operator can do about it.
fn rejection_message(reason: MembershipError) -> &'static str {
    match reason {
        MembershipError::Unknown => {
            "this control node does not know the voters yet: retry once it has reached another control node, or ask another one"
        }
        MembershipError::ChangeInProgress => {
            "another change of the voters is in progress: see `voters`, and retry once it has ended"
        }
        MembershipError::NotAVoter => {
            "the node to be removed is not a voter: see `voters` for the current voters"
        }
        MembershipError::AlreadyAVoter => "the node to be added is already a voter: see `voters`",
        MembershipError::Unreachable => {
            "the node to be added cannot be reached: start it, and retry once `members` lists it"
        }
        MembershipError::NotRecovered => {
            "too few voters are reachable and have recovered their state: see `voters`, and restore the others first"
        }
        MembershipError::WrongEpoch => {
            "the epoch given is not the current one: see `voters` for the current epoch"
        }
    }
}

/// The response to a change that the core rejects in its current state. Nothing was started.
pub fn rejected(reason: MembershipError) -> Response {
    log::warn!(reason:? = reason; "operator request rejected");
    let body = json!({"Error": rejection_message(reason), "Reason": response_names::rejection_code(reason)});
    Response::json(409, body.to_string())
}
