//! Client of the platform's API: a paginated list of instances as JSON over HTTP.

use archlink_config::parse_seconds;
use archlink_http::codec::{ClientCodec, OutgoingRequest};
use archlink_http::connection_pool::{IdleState, idle_state};
use archlink_messages::HostInstance;
use futures_util::{SinkExt, StreamExt};
use serde::Deserialize;
use std::cell::Cell;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::{fmt, io};
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

/// Maximum size of one page in bytes.
const MAX_BODY: usize = 4 << 20;
/// Maximum number of pages of one list, so that an endless list is abandoned. The platform returns 50 instances per page.
pub(super) const MAX_PAGES: usize = 200;

/// Why a list could not be fetched.
#[derive(Debug)]
pub(super) enum PlatformError {
    /// The platform cannot be reached, or the connection failed.
    Connection(io::Error),
    /// The list was not complete in time.
    Timeout,
    /// The platform sent more bytes than the response, which may therefore belong to an earlier request.
    UnsolicitedBytes,
    /// The HTTP status of the response, if it is not 200.
    Status(u16),
    /// The body is not a valid page of instances.
    Body(serde_json::Error),
    /// The list has more than [`MAX_PAGES`] pages.
    TooManyPages,
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlatformError::Connection(e) => e.fmt(f),
            PlatformError::Timeout => f.write_str("timed out"),
            PlatformError::UnsolicitedBytes => f.write_str("the platform sent unsolicited bytes"),
            PlatformError::Status(status) => write!(f, "the platform responded with status {status}"),
            PlatformError::Body(e) => e.fmt(f),
            PlatformError::TooManyPages => write!(f, "the list has more than {MAX_PAGES} pages"),
        }
    }
}

impl std::error::Error for PlatformError {}

impl From<io::Error> for PlatformError {
    fn from(e: io::Error) -> PlatformError {
        PlatformError::Connection(e)
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Page {
    instances: Vec<Instance>,
    next_token: Option<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Instance {
    instance_id: String,
    service: String,
    address: SocketAddrV4,
    zone: String,
    capacity: Option<f64>,
    operating_state: String,
    /// The rest of the warm-up period, for example `1500ms`.
    cold_left: Option<String>,
}

impl From<Instance> for HostInstance {
    fn from(instance: Instance) -> HostInstance {
        HostInstance {
            id: instance.instance_id,
            service: instance.service,
            address: instance.address,
            zone: instance.zone,
            capacity: instance.capacity.unwrap_or(1.0).clamp(1.0, 1e6) as u32,
            draining: instance.operating_state != "available",
            warm_up_seconds: instance.cold_left.as_deref().and_then(parse_seconds).unwrap_or(0.0) as f32,
        }
    }
}

type Connection = Framed<TcpStream, ClientCodec>;

/// Client of the platform, which keeps one connection open between requests.
pub(super) struct PlatformClient {
    address: SocketAddr,
    connection: Option<Connection>,
}

impl PlatformClient {
    /// Creates a client, which connects on its first request.
    pub(super) fn new(address: SocketAddr) -> PlatformClient {
        PlatformClient { address, connection: None }
    }

    /// Closes the connection, if there is one.
    pub(super) fn disconnect(&mut self) {
        self.connection = None;
    }

    #[cfg(test)]
    pub(super) fn is_connected(&self) -> bool {
        self.connection.is_some()
    }

    async fn connect(&self) -> io::Result<Connection> {
        let stream = TcpStream::connect(self.address).await?;
        archlink_runtime::configure_stream(&stream);
        Ok(Framed::new(stream, ClientCodec::new(&[], MAX_BODY, Rc::new(Cell::new(MAX_BODY)))))
    }

    /// Requests one page. Responses are matched to requests by their order alone. A connection that was closed or received
    /// unsolicited bytes is therefore not reused, and a response that more bytes follow is rejected, because it may belong to
    /// an earlier request. Dropping this future drops the connection with the request.
    async fn page(&mut self, token: Option<&str>) -> Result<Page, PlatformError> {
        let reusable = self.connection.take().filter(|connection| idle_state(connection) == IdleState::Quiet);
        let mut connection = match reusable {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        let target = token.map_or("/instances".to_string(), |token| format!("/instances?PageToken={token}"));
        let host = self.address.to_string();
        let request =
            OutgoingRequest { method: "GET", target: &target, host: &host, header_lines: b"", body: b"" };
        connection.send(request).await?;
        let response = connection.next().await.unwrap_or(Err(io::ErrorKind::UnexpectedEof.into()))?;
        match idle_state(&connection) {
            IdleState::UnexpectedBytes => return Err(PlatformError::UnsolicitedBytes),
            IdleState::Quiet if response.reusable => self.connection = Some(connection),
            _ => {}
        }
        match response.status {
            200 => serde_json::from_slice(&response.body).map_err(PlatformError::Body),
            status => Err(PlatformError::Status(status)),
        }
    }

    /// All instances, sorted by ID.
    pub(super) async fn list_instances(&mut self) -> Result<Vec<HostInstance>, PlatformError> {
        let (mut instances, mut token) = (Vec::new(), None);
        for _ in 0..MAX_PAGES {
            let page = self.page(token.as_deref()).await?;
            instances.extend(page.instances.into_iter().map(HostInstance::from));
            token = page.next_token;
            if token.is_none() {
                return Ok(latest_by_id(instances));
            }
        }
        Err(PlatformError::TooManyPages)
    }
}

/// Sorts instances by ID and removes duplicates. An instance that moved between pages during the listing is kept as the later
/// page has it.
fn latest_by_id(mut instances: Vec<HostInstance>) -> Vec<HostInstance> {
    instances.reverse();
    instances.sort_by(|left, right| left.id.cmp(&right.id));
    instances.dedup_by(|duplicate, kept| duplicate.id == kept.id);
    instances
}
