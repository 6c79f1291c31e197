//! How far one attempt came, and what that says of whether the host executed the request. Without I/O.

use crate::protocol::STATUS_MISDIRECTED;

/// How far one attempt came, as its connection and its response tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptProgress {
    /// No connection in time, refused, or what allowed the attempt was over before its first byte.
    NotConnected,
    /// The connection, new or pooled, broke before the socket took a byte.
    NothingSent,
    /// It broke after the socket had taken some bytes and not all.
    PartiallySent,
    /// The socket had taken all, and the connection broke, closed, or carried nothing that is this request's own
    /// complete response.
    NoResponse,
    /// The deadline passed, wherever the attempt was.
    TimedOut,
    /// The client disconnected before the first byte.
    CancelledBeforeSend,
    /// The client disconnected, and the attempt was cancelled after the socket had taken some bytes or all.
    CancelledAfterSend,
    /// A complete response under the request's own id; `not_executed` is the host's own statement.
    Responded {
        /// The response's status.
        status: u16,
        /// The host states that it did not execute the request.
        not_executed: bool,
    },
}

/// How one attempt ended, as far as the decision on the next step goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptClass {
    /// A complete response of the host's own that the client may have.
    Success,
    /// A complete response, but a failure (5xx): it was executed.
    Failure,
    /// The host states that it did not execute it: full, late, or another instance.
    NotExecuted,
    /// No byte of it was sent: it was not executed, and the host never saw it.
    NotSent,
    /// Bytes were sent, and there is no response that can be used: it may have been executed.
    MayHaveExecuted,
}

impl AttemptProgress {
    /// What that says of the request. The protocol has two statements of "not executed": `Not-Executed` and 421. All
    /// else depends on the bytes, of which a socket tells only what it took, not what arrived:
    ///
    /// | progress | idempotent | not idempotent | why |
    /// | --- | --- | --- | --- |
    /// | not connected, nothing sent | another host, 503 | another host, 503 | no byte left this machine |
    /// | partially sent | another host, 502 | 502 | a host may start at the head; only a complete request is sure to be executed, but none that a byte left of is sure not to be |
    /// | no response | another host, 502 | 502 | all may have arrived; a pooled connection that the host closed at that moment looks the same |
    /// | timed out | 502 | 502 | as no response, and nobody waits any more |
    /// | cancelled before send | 503 | 503 | no byte left this machine; no further host either, as nobody waits any more |
    /// | cancelled after send | 502 | carried on | all may have arrived; what is not idempotent is never cancelled |
    /// | not executed, 421 | another host, 503 | another host, 503 | the host's statement |
    /// | 408, 429, 503 | as they are, 503 after another host | 502 | to a client these say that it was not executed; the host did not say that |
    /// | other 5xx | another host, as it is | as it is | it was executed, and that is its response |
    /// | all else | as it is | as it is | its response |
    pub fn classify(self, idempotent: bool) -> AttemptClass {
        use AttemptProgress::*;
        match self {
            NotConnected | NothingSent | CancelledBeforeSend => AttemptClass::NotSent,
            PartiallySent | NoResponse | TimedOut | CancelledAfterSend => AttemptClass::MayHaveExecuted,
            Responded { not_executed: true, .. } | Responded { status: STATUS_MISDIRECTED, .. } => {
                AttemptClass::NotExecuted
            }
            Responded { status: 408 | 429 | 503, .. } if !idempotent => AttemptClass::MayHaveExecuted,
            Responded { status: 500.., .. } => AttemptClass::Failure,
            Responded { .. } => AttemptClass::Success,
        }
    }
}
