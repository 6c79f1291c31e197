//! Why a session ended, as the log says it.

use archlink_messages::NodeId;
use std::fmt;
use std::net::Ipv4Addr;

/// A session ended, or a call for one failed. Displays as `session with ADDRESS ended: REASON`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionEnded {
    /// The control node.
    pub peer: NodeId,
    /// Why the session ended.
    pub reason: EndReason,
}

/// Why a session ended. Operators find the texts in the on-call page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The control node answered no heartbeat for too long.
    AnswerTimeout,
    /// No quorum answered the control node for too long.
    NoQuorum,
    /// The connection failed or was not opened, for this reason.
    Connection(String),
}

impl fmt::Display for SessionEnded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "session with {} ended: {}", Ipv4Addr::from(self.peer), self.reason)
    }
}

impl fmt::Display for EndReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EndReason::AnswerTimeout => f.write_str("no answer in time"),
            EndReason::NoQuorum => f.write_str("no quorum answers it"),
            EndReason::Connection(reason) => f.write_str(reason),
        }
    }
}
