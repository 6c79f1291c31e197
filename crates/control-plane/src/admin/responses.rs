//! The forms of answers that several calls share. Texts are part of the operators' interface.

use super::response_names;
use crate::server::node::NotStarted;
use archlink_consensus::{MembershipError, Outcome};
use archlink_http::codec::Response;
use serde_json::json;
use std::fmt;

/// `Retry-After` in seconds, of an answer that decides nothing.
const RETRY_AFTER: &str = "0.3";

/// An error answer: the status, and the reason as `Error`.
pub fn error(status: u16, reason: impl fmt::Display) -> Response {
    Response::json(status, json!({"Error": reason.to_string()}).to_string())
}

/// An answer that decides nothing: the same call may succeed a moment later.
pub fn unavailable(reason: &str) -> Response {
    error(503, reason).with("Retry-After", RETRY_AFTER)
}

/// The outcome of a request; else the answer that there is none, or that the request was not started.
pub fn outcome_or_unavailable(ended: Result<Outcome, NotStarted>) -> Result<Outcome, Response> {
    match ended {
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

/// What an operator does about a rejected change.
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

/// A change that the core rejects as things are; nothing was started.
pub fn rejected(reason: MembershipError) -> Response {
    log::warn!(reason:? = reason; "operator request rejected");
    let body = json!({"Error": rejection_message(reason), "Reason": response_names::rejection_code(reason)});
    Response::json(409, body.to_string())
}
