//! HTTP client of the operators' interface, which tries one control node after another until one gives a final response.

use crate::admin::calls::Call;
use crate::error::failure;
use crate::{ControlPlaneError, ControlPlaneResult, read_settings};
use archlink_http::codec::{ClientCodec, HostResponse, OutgoingRequest};
use clap::ArgMatches;
use error_stack::ResultExt;
use futures_util::{SinkExt, StreamExt};
use serde_json::Value;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::{fmt, io};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// Maximum size of a response body in bytes.
const MAX_BODY: usize = 64 << 20;
/// Time limit for one call to one control node, redirects included.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of redirects that are followed.
const MAX_REDIRECTS: usize = 2;
/// Response headers that are read, in the order of the variants of [`Header`].
const HEADERS: &[&str] = &["location", "config-version", "config-digest", "confirmed-seconds-ago"];

/// A response header, by its index in [`HEADERS`].
#[derive(Clone, Copy)]
pub(super) enum Header {
    /// The target of a redirect.
    Location = 0,
    /// The version of the configuration.
    ConfigVersion = 1,
    /// The digest of the configuration's text.
    ConfigDigest = 2,
    /// The age of the last quorum contact in seconds.
    ConfirmedSecondsAgo = 3,
}

impl Header {
    /// The header's value, if the response has it exactly once.
    pub(super) fn value_in(self, response: &HostResponse) -> Option<&str> {
        response.fields.get(self as usize)?.once()
    }
}

/// Why a call to a control node failed.
#[derive(Debug)]
pub(super) enum CallError {
    /// The control node cannot be reached, or the connection failed.
    Connection(io::Error),
    /// There was no response in time.
    Timeout,
    /// A redirect without a valid address.
    InvalidRedirect,
    /// More redirects than [`MAX_REDIRECTS`].
    TooManyRedirects,
    /// The HTTP status of a response that had to be 200.
    Status(u16),
    /// The body is not JSON.
    Body(serde_json::Error),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::Connection(e) => e.fmt(f),
            CallError::Timeout => f.write_str("timed out"),
            CallError::InvalidRedirect => f.write_str("redirect without a valid address"),
            CallError::TooManyRedirects => f.write_str("too many redirects"),
            CallError::Status(status) => write!(f, "HTTP status {status}"),
            CallError::Body(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for CallError {}

impl From<io::Error> for CallError {
    fn from(e: io::Error) -> CallError {
        CallError::Connection(e)
    }
}

/// Sends one request on a new connection.
async fn request(to: SocketAddr, method: &str, target: &str, body: &[u8]) -> Result<HostResponse, io::Error> {
    let stream = TcpStream::connect(to).await?;
    let codec = ClientCodec::new(HEADERS, MAX_BODY, Rc::new(Cell::new(MAX_BODY)));
    let mut framed = Framed::new(stream, codec);
    let lines = b"Content-Type: application/json\r\nConnection: close\r\n";
    framed.send(OutgoingRequest { method, target, host: &to.to_string(), header_lines: lines, body }).await?;
    framed.next().await.unwrap_or(Err(io::ErrorKind::UnexpectedEof.into()))
}

async fn call_following_redirects(
    mut to: SocketAddr,
    call: Call,
    path_parameters: &str,
    body: &[u8],
) -> Result<HostResponse, CallError> {
    let mut target = format!("{}{path_parameters}", call.path());
    for _ in 0..=MAX_REDIRECTS {
        let response = request(to, call.method(), &target, body).await?;
        let location = Header::Location
            .value_in(&response)
            .and_then(|text| text.strip_prefix("http://")?.split_once('/'));
        match location {
            Some((host, path)) if response.status == 307 => {
                to = host.parse().map_err(|_| CallError::InvalidRedirect)?;
                target = format!("/{path}");
            }
            _ => return Ok(response),
        }
    }
    Err(CallError::TooManyRedirects)
}

/// Sends a call to one control node. The path parameters are appended to the call's path.
pub(super) async fn call_one(
    to: SocketAddr,
    call: Call,
    path_parameters: &str,
    body: &[u8],
) -> Result<HostResponse, CallError> {
    let surveyed_node =
        timeout(CALL_TIMEOUT, call_following_redirects(to, call, path_parameters, body)).await;
    surveyed_node.unwrap_or(Err(CallError::Timeout))
}

/// Parses an argument that is an address with a port.
pub(super) fn parse_address(argument: &str, text: &str) -> ControlPlaneResult<SocketAddr> {
    let address = text.parse().change_context(ControlPlaneError::Call);
    address
        .attach_with(|| format!("{argument}: {text:?} is not an address with a port such as 10.0.0.1:8200"))
}

/// The control nodes given with `--to`, or else the seeds in the settings file.
pub(super) fn target_addresses(arguments: &ArgMatches) -> ControlPlaneResult<Vec<SocketAddr>> {
    match arguments.get_many::<String>("to") {
        Some(texts) => texts.map(|text| parse_address("--to", text)).collect(),
        None => Ok(read_settings()?.seeds.into_iter().map(SocketAddr::from).collect()),
    }
}

/// Describes to the operator why a request was rejected.
fn rejection_text(from: SocketAddr, body: &[u8]) -> String {
    let response: Value = serde_json::from_slice(body).unwrap_or_default();
    let field = |name: &str| response[name].as_str().unwrap_or("");
    let mut text = match field("Error") {
        "" => format!("{from}: {}", String::from_utf8_lossy(body)),
        reason => format!("{from}: {reason}"),
    };
    if !field("Digest").is_empty() {
        let (version, accepted_digest, sent_digest) =
            (field("ConfigVersion"), field("Digest"), field("YourDigest"));
        text += &format!("; version {version} has digest {accepted_digest}, yours has digest {sent_digest}");
    }
    text
}

/// Sends a call to one control node after another until one gives a final response: 200, 409 or another status below 500.
pub(super) async fn call_any(
    targets: &[SocketAddr],
    call: Call,
    path_parameters: &str,
    body: &[u8],
) -> ControlPlaneResult<HostResponse> {
    let mut last_failure = failure(ControlPlaneError::Call, "no control node is given".into());
    for &to in targets {
        match call_one(to, call, path_parameters, body).await {
            Ok(response) if response.status == 200 => return Ok(response),
            Ok(response) if response.status == 409 => {
                return Err(failure(ControlPlaneError::Rejected, rejection_text(to, &response.body)));
            }
            Ok(response) => {
                let text = String::from_utf8_lossy(&response.body);
                let reason = format!("{to}: HTTP status {}: {text}", response.status);
                last_failure = failure(ControlPlaneError::Call, reason);
                if response.status < 500 {
                    return Err(last_failure);
                }
            }
            Err(e) => last_failure = failure(ControlPlaneError::Call, format!("{to}: {e}")),
        }
    }
    Err(last_failure)
}
