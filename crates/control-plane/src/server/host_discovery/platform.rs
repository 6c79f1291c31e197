//! The platform's protocol: pages of instances as JSON over HTTP.

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

/// Bytes of one page.
const MAX_BODY: usize = 4 << 20;
/// Pages of one list, so that a list without end is given up; the platform has fifty instances a page.
pub(super) const MAX_PAGES: usize = 200;

/// Why there is no list.
#[derive(Debug)]
pub(super) enum PlatformError {
    /// The platform can't be reached, or the connection failed.
    Connection(io::Error),
    /// No complete list came in time.
    Timeout,
    /// More bytes came than were asked for: the answer may be an earlier request's.
    UnsolicitedBytes,
    /// The platform's HTTP status, other than 200.
    Status(u16),
    /// The body is not a page of instances.
    Body(serde_json::Error),
    /// More pages than [`MAX_PAGES`].
    TooManyPages,
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlatformError::Connection(e) => e.fmt(f),
            PlatformError::Timeout => f.write_str("timed out"),
            PlatformError::UnsolicitedBytes => f.write_str("the platform sent more than was asked for"),
            PlatformError::Status(status) => write!(f, "the platform answered {status}"),
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
    /// What is left of the warm-up period, as `1500ms`.
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

/// Asks the platform, on one connection that is kept while it is in order.
pub(super) struct PlatformClient {
    address: SocketAddr,
    connection: Option<Connection>,
}

impl PlatformClient {
    /// A client without a connection.
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

    /// Requests one page. Nothing but their order ties an answer to its request: a connection that closed or sent anything
    /// unasked is not used again, and an answer that more bytes follow may itself be an earlier request's. A caller that
    /// stops waiting drops the connection with the request.
    async fn page(&mut self, token: Option<&str>) -> Result<Page, PlatformError> {
        let kept = self.connection.take().filter(|connection| idle_state(connection) == IdleState::Quiet);
        let mut connection = match kept {
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

    /// All instances, sorted by their ids.
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

/// An instance that moved from page to page during the listing is there twice: as the later page has it.
fn latest_by_id(mut instances: Vec<HostInstance>) -> Vec<HostInstance> {
    instances.reverse();
    instances.sort_by(|a, b| a.id.cmp(&b.id));
    instances.dedup_by(|a, b| a.id == b.id);
    instances
}
