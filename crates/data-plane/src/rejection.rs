//! The responses of the data node's own: rejections before any attempt, and the end of a request without a host's response.

use crate::attempts::LocalOutcome;
use crate::protocol;
use archlink_http::codec::Response;

/// Seconds after which a client comes back where a configuration, or its confirmation, is due any moment.
const CONFIRMATION_RETRY_AFTER: f64 = 0.25;
/// The least `Retry-After`, in seconds: the header has milliseconds, and 0 would invite a retry at once.
const MIN_RETRY_AFTER: f64 = 0.001;

/// Why a request ends without a host's response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rejection {
    /// 400: a header that is needed is missing, ambiguous or malformed.
    BadRequest,
    /// 401: no tenant has this key.
    Unauthenticated,
    /// 404: no route for this origin and path.
    NoRoute,
    /// 413: the body is larger than the configuration allows.
    BodyTooLarge,
    /// 429: the tenant's quota is used up.
    QuotaExceeded {
        /// Seconds after which it may come back.
        retry_after: f64,
    },
    /// 503: no configuration in force, or none that is confirmed.
    NotConfirmed,
    /// 503 where it was not executed, 502 where it may have been.
    NoResponse(LocalOutcome),
}

impl Rejection {
    /// The response that the client gets.
    pub fn response(self) -> Response {
        match self {
            Rejection::BadRequest => Response::plain(400),
            Rejection::Unauthenticated => Response::plain(401),
            Rejection::NoRoute => Response::plain(404),
            Rejection::BodyTooLarge => Response::plain(413),
            Rejection::QuotaExceeded { retry_after } => retry_later(429, retry_after),
            Rejection::NotConfirmed => retry_later(503, CONFIRMATION_RETRY_AFTER),
            Rejection::NoResponse(LocalOutcome::NotExecuted { retry_after }) => retry_later(503, retry_after),
            Rejection::NoResponse(LocalOutcome::MayHaveExecuted) => Response::plain(502),
        }
    }
}

fn retry_later(status: u16, after: f64) -> Response {
    let after = format_args!("{:.3}", after.max(MIN_RETRY_AFTER));
    Response::plain(status).with(protocol::RETRY_AFTER, after)
}
