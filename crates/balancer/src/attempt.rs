//! How an attempt at a host ended, and the load that the host reported with its answer.

/// How an attempt ended. Answers carry the host's load report, if there was one: requests running, requests waiting and
/// slots, see [`HostLoad`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptEnd {
    /// A complete answer.
    Answered(Option<(f64, f64, f64)>),
    /// A complete answer that is a failure of the host's own (5xx).
    Failed(Option<(f64, f64, f64)>),
    /// The host states that it did not run the request.
    Full(Option<(f64, f64, f64)>),
    /// Another host has the address (421).
    Misdirected,
    /// No connection was established, or the request was not written completely.
    ConnectFailed,
    /// The connection was reset, or the answer was cut short or malformed.
    Broken,
    /// No answer in time.
    TimedOut,
    /// The client disconnected before anything was sent.
    CancelledBeforeSend,
    /// Aborted because the client disconnected: all that is known is that the answer would have taken longer.
    CancelledAfterSend,
}

impl AttemptEnd {
    /// Whether the host answered, with whatever status.
    pub(crate) fn is_answer(self) -> bool {
        matches!(self, AttemptEnd::Answered(_) | AttemptEnd::Failed(_) | AttemptEnd::Full(_))
    }

    /// The load that the host reported.
    pub(crate) fn load(self) -> Option<HostLoad> {
        match self {
            AttemptEnd::Answered(load) | AttemptEnd::Failed(load) | AttemptEnd::Full(load) => {
                load.map(|(running, waiting, slots)| HostLoad { running, waiting, slots })
            }
            _ => None,
        }
    }
}

/// A host's load as it reported it, requests of all data nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostLoad {
    /// Requests running.
    pub running: f64,
    /// Requests waiting for a slot.
    pub waiting: f64,
    /// Requests that the host runs at a time.
    pub slots: f64,
}

impl HostLoad {
    /// Whether a request sent now would run at once.
    pub fn has_free_slot(&self) -> bool {
        self.waiting <= 0.0 && self.running < self.slots
    }
}
