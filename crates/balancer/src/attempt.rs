//! How an attempt at a host ended, and the load that the host reported with its response.

/// How an attempt ended. Variants with a response carry the host's load report, if there was one: requests running,
/// requests waiting and slots, see [`HostLoad`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptEnd {
    /// The response was complete and no failure of the host.
    Answered(Option<(f64, f64, f64)>),
    /// The response was complete and a failure of the host itself (5xx).
    Failed(Option<(f64, f64, f64)>),
    /// The host was full: its response states that it did not execute the request.
    Full(Option<(f64, f64, f64)>),
    /// Another host instance has the address now (421).
    Misdirected,
    /// No connection was established, or the request was not written completely.
    ConnectFailed,
    /// The connection was reset, or the response was truncated or malformed.
    Broken,
    /// No response arrived in time.
    TimedOut,
    /// The client disconnected before anything was sent.
    CancelledBeforeSend,
    /// The attempt was aborted because the client disconnected: the response would have taken longer.
    CancelledAfterSend,
}

impl AttemptEnd {
    /// Whether the host responded, with whatever status.
    pub(crate) fn is_response(self) -> bool {
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

/// A host's load as it reported it, over the requests of all data nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostLoad {
    /// Requests running.
    pub running: f64,
    /// Requests waiting for a slot.
    pub waiting: f64,
    /// Requests that the host runs concurrently.
    pub slots: f64,
}

impl HostLoad {
    /// Whether a request sent now would run at once.
    pub fn has_free_slot(&self) -> bool {
        self.waiting <= 0.0 && self.running < self.slots
    }
}
