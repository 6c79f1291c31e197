//! Names and values of the HTTP headers that clients and hosts exchange with the data plane.
//!
//! The codec matches header names in lower case and returns the values of wanted headers by position, so each list of
//! names comes with its positions. Wanted headers are not forwarded; all others are forwarded unchanged.

/// The request's id: chosen by the client, sent to the host, and repeated in the responses of the host and the data node.
pub const ATTEMPT_ID: &str = "Attempt-Id";
/// Sent to the host: the milliseconds until the request's deadline.
pub const TIME_REMAINING: &str = "Time-Remaining";
/// Sent to the host: the name of the tenant that the request's key belongs to.
pub const SUBSCRIBER: &str = "Subscriber";
/// Sent to the host: the id of the host instance that the request is for. Another instance at its address responds with
/// 421.
pub const TARGET_INSTANCE: &str = "Target-Instance";
/// The host's proof that it sent a 2xx response.
pub const SERVER_SEAL: &str = "Server-Seal";
/// Seconds, with three decimals, after which the client may retry.
pub const RETRY_AFTER: &str = "Retry-After";
/// The media type of a body.
pub const CONTENT_TYPE: &str = "Content-Type";

/// The value of `Not-Executed` with which a host states that it did not execute the request.
pub const NOT_EXECUTED_TRUE: &str = "1";
/// The status with which a host states that it is not the instance that the request names, and did not execute it.
pub const STATUS_MISDIRECTED: u16 = 421;

/// Headers that are read from a client's request.
pub mod request_header {
    /// The names, in the order of the positions below.
    pub const NAMES: &[&str] = &["attempt-id", "time-remaining", "key", "subscriber", "target-instance"];
    /// Position of the request's id.
    pub const ATTEMPT_ID: usize = 0;
    /// Position of the client's timeout in milliseconds.
    pub const TIME_REMAINING: usize = 1;
    /// Position of the tenant's key.
    pub const KEY: usize = 2;
}

/// Headers that are read from a host's response.
pub mod response_header {
    /// The names, in the order of the positions below.
    pub const NAMES: &[&str] =
        &["attempt-id", "server-seal", "not-executed", "server-load", "content-encoding"];
    /// Position of the id of the request that the response belongs to.
    pub const ATTEMPT_ID: usize = 0;
    /// Position of the host's seal.
    pub const SERVER_SEAL: usize = 1;
    /// Position of the host's statement that it did not execute the request.
    pub const NOT_EXECUTED: usize = 2;
    /// Position of the host's load: requests running, requests waiting, slots.
    pub const SERVER_LOAD: usize = 3;
    /// Position of the encoding of the body, which has to be absent.
    pub const CONTENT_ENCODING: usize = 4;
}

/// Appends a header line with its CRLF.
pub fn append_header(lines: &mut Vec<u8>, name: &str, value: &str) {
    lines.reserve(name.len() + value.len() + 4);
    lines.extend_from_slice(name.as_bytes());
    lines.extend_from_slice(b": ");
    lines.extend_from_slice(value.as_bytes());
    lines.extend_from_slice(b"\r\n");
}

/// Parses a `Server-Load` value: requests running, requests waiting and slots. `None` unless the value begins with three
/// finite numbers.
pub fn parse_server_load(text: &str) -> Option<(f64, f64, f64)> {
    let mut parts = text.split(',').map(|part| part.trim().parse::<f64>().ok().filter(|n| n.is_finite()));
    Some((parts.next()??, parts.next()??, parts.next()??))
}
