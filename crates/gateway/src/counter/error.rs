//! Why a connection to the counter ended.

use std::{fmt, io};

/// Why a connection to the counter ended.
#[derive(Debug)]
pub enum CounterError {
    /// The connection failed, closed or timed out.
    Io(io::Error),
    /// A call could not be written into the connection's buffer.
    Format(fmt::Error),
    /// What arrived is not RESP2.
    NotResp,
    /// A reply that neither has a number nor rejects the call.
    NoNumber,
    /// More calls are unanswered than are allowed.
    TooManyCalls,
    /// The counter has another address now.
    AddressChanged,
}

impl fmt::Display for CounterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CounterError::Io(error) => error.fmt(f),
            CounterError::Format(error) => error.fmt(f),
            CounterError::NotResp => f.write_str("not RESP2"),
            CounterError::NoNumber => f.write_str("reply without a number"),
            CounterError::TooManyCalls => f.write_str("too many calls unanswered"),
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
