//! Errors that end a watch of the host list.

use archlink_http::error::ProtocolError;
use std::{fmt, io};
use tokio::time::error::Elapsed;

/// Why a watch of the host list ended.
#[derive(Debug)]
pub enum WatchError {
    /// The connection failed, closed or timed out.
    Io(io::Error),
    /// The body is not a valid chunked body.
    Framing(ProtocolError),
    /// The response head is not HTTP, is too large or does not have status 200.
    UnexpectedResponse,
    /// The response body ended, or a line is too long.
    Ended,
    /// A line is not JSON.
    Json(serde_json::Error),
    /// A line has no host list version.
    MissingVersion,
}

impl fmt::Display for WatchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WatchError::Io(error) => error.fmt(f),
            WatchError::Framing(error) => error.fmt(f),
            WatchError::UnexpectedResponse => f.write_str("the response is not HTTP with status 200"),
            WatchError::Ended => f.write_str("the response body ended or a line is too long"),
            WatchError::Json(error) => error.fmt(f),
            WatchError::MissingVersion => f.write_str("a line has no host list version"),
        }
    }
}

impl std::error::Error for WatchError {}

impl From<io::Error> for WatchError {
    fn from(error: io::Error) -> WatchError {
        WatchError::Io(error)
    }
}

impl From<ProtocolError> for WatchError {
    fn from(error: ProtocolError) -> WatchError {
        WatchError::Framing(error)
    }
}

impl From<Elapsed> for WatchError {
    fn from(error: Elapsed) -> WatchError {
        WatchError::Io(error.into())
    }
}

impl From<serde_json::Error> for WatchError {
    fn from(error: serde_json::Error) -> WatchError {
        WatchError::Json(error)
    }
}
