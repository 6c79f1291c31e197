//! Why a session ended, and the texts for it in the log.

use archlink_messages::NodeId;
use std::fmt;
use std::net::Ipv4Addr;

/// The end of a session, or a failed attempt to open one. Displays as `session with ADDRESS ended: REASON`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionEnded {
    /// The control node.
    pub peer: NodeId,
    /// Why the session ended.
    pub reason: EndReason,
}

/// Why a session ended. The on-call page lists the displayed texts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The control node answered no heartbeat within the timeout.
    AnswerTimeout,
    /// The control node had no quorum contact within the timeout.
    NoQuorum,
    /// The connection was lost or could not be opened, for this reason.
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
