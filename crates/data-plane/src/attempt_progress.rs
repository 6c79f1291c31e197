//! How far an attempt progressed, and whether the host may therefore have executed the request. This module does no I/O.

use crate::protocol::STATUS_MISDIRECTED;

/// How far an attempt progressed, as observed on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptProgress {
    /// No connection was established in time, or the host was removed or the deadline passed before the first byte.
    NotConnected,
    /// The connection, new or pooled, broke before the socket accepted a byte.
    NothingSent,
    /// The connection broke after the socket had accepted a part of the request.
    PartiallySent,
    /// The socket had accepted the whole request, and the connection broke, was closed, or carried no complete and valid
    /// response to this request.
    NoResponse,
    /// The deadline passed at any point of the attempt.
    TimedOut,
    /// The client disconnected before the first byte was sent.
    CancelledBeforeSend,
    /// The attempt was cancelled because the client disconnected, when the request may have been sent in part or whole.
    CancelledAfterSend,
    /// A complete response with the request's own id was received.
    Responded {
        /// Status of the response.
        status: u16,
        /// Whether the host states that it did not execute the request.
        not_executed: bool,
    },
}

/// The end of an attempt, classified for the decision on the next step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptClass {
    /// A complete response that can be relayed.
    Success,
    /// A complete response with a failure status (5xx): the request was executed.
    Failure,
    /// The host states that it did not execute the request: it is full, too late, or another instance.
    NotExecuted,
    /// No byte was sent: the host never saw the request and did not execute it.
    NotSent,
    /// Bytes were sent, and there is no usable response: the request may have been executed.
    MayHaveExecuted,
}

impl AttemptProgress {
    /// Classifies the end of an attempt. Hosts have two ways to state that they did not execute a request:
    /// `Not-Executed` and 421. Otherwise the class depends on what was sent, and a socket reports only the bytes that it
    /// accepted, not those that arrived.
    ///
    /// The columns for idempotent and other requests name what follows: a retry, then the status of the response if
    /// there is no retry.
    ///
    /// | progress | idempotent | not idempotent | reason |
    /// | --- | --- | --- | --- |
    /// | not connected, nothing sent | retry, 503 | retry, 503 | no byte left this machine |
    /// | partially sent | retry, 502 | 502 | a host may start to execute after the head, so once a byte is sent execution can't be ruled out |
    /// | no response | retry, 502 | 502 | the whole request may have arrived; a pooled connection that the host closed at that moment looks the same |
    /// | timed out | 502 | 502 | as for no response, but the client no longer waits |
    /// | cancelled before send | 503 | 503 | no byte left this machine; no retry, because the client no longer waits |
    /// | cancelled after send | 502 | not cancelled | the whole request may have arrived |
    /// | not executed, 421 | retry, 503 | retry, 503 | the host states that it did not execute the request |
    /// | 408, 429, 503 | relayed, but 503 is retried first | 502 | clients take these as "not executed", which the host did not state |
    /// | other 5xx | retry, relayed | relayed | the request was executed, and this is its response |
    /// | other | relayed | relayed | this is the response |
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
