//! Errors that end a connection to the counter.

use std::{fmt, io};

/// Why a connection to the counter ended.
#[derive(Debug)]
pub enum CounterError {
    /// The connection failed, closed or timed out.
    Io(io::Error),
    /// A call could not be formatted into the connection's write buffer.
    Format(fmt::Error),
    /// The received bytes are not RESP2.
    NotResp,
    /// A reply neither contains a number nor rejects the call.
    NoNumber,
    /// The limit of unanswered calls is reached.
    TooManyCalls,
    /// The counter's address has changed.
    AddressChanged,
}

impl fmt::Display for CounterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CounterError::Io(error) => error.fmt(f),
            CounterError::Format(error) => error.fmt(f),
            CounterError::NotResp => f.write_str("reply is not RESP2"),
            CounterError::NoNumber => f.write_str("reply contains no number"),
            CounterError::TooManyCalls => f.write_str("too many unanswered calls"),
            CounterError::AddressChanged => f.write_str("address changed"),
        }
    }
}

impl std::error::Error for CounterError {}

impl From<io::Error> for CounterError {
    fn from(error: io::Error) -> CounterError {
        CounterError::Io(error)
    }
}

impl From<io::ErrorKind> for CounterError {
    fn from(kind: io::ErrorKind) -> CounterError {
        CounterError::Io(kind.into())
    }
}

impl From<fmt::Error> for CounterError {
    fn from(error: fmt::Error) -> CounterError {
        CounterError::Format(error)
    }
}
