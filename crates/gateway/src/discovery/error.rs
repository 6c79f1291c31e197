//! Why a watch of the host list ended.

use archlink_http::error::ProtocolError;
use std::{fmt, io};
use tokio::time::error::Elapsed;

/// Why a watch of the host list ended.
#[derive(Debug)]
pub enum WatchError {
    /// The connection failed, closed or timed out.
    Io(io::Error),
    /// The body is not chunked as HTTP/1.1 says.
    Framing(ProtocolError),
    /// The answer does not start a watch: not HTTP, or not status 200.
    Refused,
    /// The body ended, or a line is too long.
    Ended,
    /// A line is not JSON.
    Json(serde_json::Error),
    /// A line is no host list.
    NoVersion,
}

impl fmt::Display for WatchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WatchError::Io(error) => error.fmt(f),
            WatchError::Framing(error) => error.fmt(f),
            WatchError::Refused => f.write_str("no watch"),
            WatchError::Ended => f.write_str("watch ended"),
            WatchError::Json(error) => error.fmt(f),
            WatchError::NoVersion => f.write_str("a line without a version"),
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
