//! Responses that several calls share.
//!
//! The texts of errors are part of the operators' interface: scripts compare them, so they stay the same and keep older words,
//! such as "gateway" for a node and "order" for a request.

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
            "no majority has taken it yet: it may or may not come to be; the same order sent again tells",
        )),
        Ok(outcome) => Ok(outcome),
        Err(NotStarted::NoQuorum) => {
            Err(unavailable("not begun: no majority answers this gateway; nothing was altered, nor will be"))
        }
        Err(NotStarted::NotBootstrapped) => {
            Err(unavailable("not begun: the first start has not taken in as many voters as are needed"))
        }
        Err(NotStarted::TooManyPending) => {
            Err(unavailable("not begun: too many orders wait; nothing was altered, nor will be"))
        }
    }
}

/// Why a change was rejected, and what the operator can do about it.
fn rejection_message(reason: MembershipError) -> &'static str {
    match reason {
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

/// The response to a change that the core rejects in its current state. Nothing was started.
pub fn rejected(reason: MembershipError) -> Response {
    log::warn!(reason:? = reason; "operator request rejected");
    let body = json!({"Error": rejection_message(reason), "Reason": response_names::rejection_code(reason)});
    Response::json(409, body.to_string())
}
