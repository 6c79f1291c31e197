//! The names of the client's and the host's protocol, in one place.
//!
//! The codec compares header names in lower case and hands out the values that are read by position, so each list
//! below goes with the positions beside it. Everything that is read is withheld from the other side; all other headers
//! are passed on as they came.

/// The request's id: chosen by the client, passed to the host, and repeated by both responses.
pub const ATTEMPT_ID: &str = "Attempt-Id";
/// Milliseconds left for the request, to the host.
pub const TIME_REMAINING: &str = "Time-Remaining";
/// The name of the tenant whose key the request carried, to the host.
pub const SUBSCRIBER: &str = "Subscriber";
/// The id of the host instance that a request is meant for: another instance at its address responds with 421.
pub const TARGET_INSTANCE: &str = "Target-Instance";
/// The host's proof that a 2xx response is its own.
pub const SERVER_SEAL: &str = "Server-Seal";
/// Seconds, with three decimals, after which a rejected client may come back.
pub const RETRY_AFTER: &str = "Retry-After";
/// The media type of a body.
pub const CONTENT_TYPE: &str = "Content-Type";

/// The value of `Not-Executed` by which a host states that it did not execute the request.
pub const NOT_EXECUTED_TRUE: &str = "1";
/// The host at this address is not the instance that the request names: it did not execute it.
pub const STATUS_MISDIRECTED: u16 = 421;

/// Headers that are read of a client's request.
pub mod request_header {
    /// The names, in the order of the positions below.
    pub const NAMES: &[&str] = &["attempt-id", "time-remaining", "key", "subscriber", "target-instance"];
    /// Position of the request's id.
    pub const ATTEMPT_ID: usize = 0;
    /// Position of the milliseconds that the client waits.
    pub const TIME_REMAINING: usize = 1;
    /// Position of the tenant's key.
    pub const KEY: usize = 2;
}

/// Headers that are read of a host's response.
pub mod response_header {
    /// The names, in the order of the positions below.
    pub const NAMES: &[&str] =
        &["attempt-id", "server-seal", "not-executed", "server-load", "content-encoding"];
    /// Position of the id of the request that is responded to.
    pub const ATTEMPT_ID: usize = 0;
    /// Position of the host's seal.
    pub const SERVER_SEAL: usize = 1;
    /// Position of the statement that the request was not executed.
    pub const NOT_EXECUTED: usize = 2;
    /// Position of the host's load: running, queued, slots.
    pub const SERVER_LOAD: usize = 3;
    /// Position of the body's encoding: hosts encode none.
    pub const CONTENT_ENCODING: usize = 4;
}

/// Appends one header line.
pub fn append_header(lines: &mut Vec<u8>, name: &str, value: &str) {
    lines.reserve(name.len() + value.len() + 4);
    lines.extend_from_slice(name.as_bytes());
    lines.extend_from_slice(b": ");
    lines.extend_from_slice(value.as_bytes());
    lines.extend_from_slice(b"\r\n");
}

/// The running and queued requests and the slots of a `Server-Load` value; `None` unless it begins with three finite
/// numbers.
pub fn parse_server_load(text: &str) -> Option<(f64, f64, f64)> {
    let mut parts = text.split(',').map(|part| part.trim().parse::<f64>().ok().filter(|n| n.is_finite()));
    Some((parts.next()??, parts.next()??, parts.next()??))
}
