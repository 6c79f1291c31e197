//! Local replies: the responses that the data node generates itself, because it rejects a request or no host's response
//! can be relayed.

use crate::attempts::LocalOutcome;
use crate::protocol;
use archlink_http::codec::Response;

/// `Retry-After` in seconds while a configuration, or its confirmation, is expected at any moment.
const CONFIRMATION_RETRY_AFTER: f64 = 0.25;
/// Minimum `Retry-After` in seconds: the header has a resolution of milliseconds, and 0 would invite an immediate retry.
const MIN_RETRY_AFTER: f64 = 0.001;

/// Why a request is answered without a host's response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LocalReply {
    /// 400: a required header is missing, ambiguous or malformed.
    BadRequest,
    /// 401: the key is missing or belongs to no tenant.
    Unauthenticated,
    /// 404: no route matches the origin and path.
    NoRoute,
    /// 413: the body is larger than the configuration allows.
    BodyTooLarge,
    /// 429: the tenant's quota is used up.
    QuotaExceeded {
        /// Seconds after which the client may retry.
        retry_after: f64,
    },
    /// 503: no configuration is in force, or it is not confirmed.
    NotConfirmed,
    /// No host's response can be relayed: 503 if the request was not executed, 502 if it may have been.
    NoHostResponse(LocalOutcome),
}

impl LocalReply {
    /// The response to the client.
    pub fn into_response(self) -> Response {
        match self {
            LocalReply::BadRequest => Response::plain(400),
            LocalReply::Unauthenticated => Response::plain(401),
            LocalReply::NoRoute => Response::plain(404),
            LocalReply::BodyTooLarge => Response::plain(413),
            LocalReply::QuotaExceeded { retry_after } => retry_later(429, retry_after),
            LocalReply::NotConfirmed => retry_later(503, CONFIRMATION_RETRY_AFTER),
            LocalReply::NoHostResponse(LocalOutcome::NotExecuted { retry_after }) => {
                retry_later(503, retry_after)
            }
            LocalReply::NoHostResponse(LocalOutcome::MayHaveExecuted) => Response::plain(502),
        }
    }
}

fn retry_later(status: u16, after: f64) -> Response {
    let after = format_args!("{:.3}", after.max(MIN_RETRY_AFTER));
    Response::plain(status).with(protocol::RETRY_AFTER, after)
}
