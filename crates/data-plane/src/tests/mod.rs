//! Tests of a data node with scripted hosts on loopback. No test sleeps: a host waits until the client has its response,
//! and an attempt at a host that does not respond ends at the request's deadline.

mod attempts;
mod control_session;
mod disconnects;
mod protocol;
mod quota;
mod responses;
mod scripted_hosts;
mod session_connections;
mod status;

use crate::client_presence::ClientPresence;
use crate::client_server::{ClientServer, ServingStage};
use crate::data_plane::DataPlane;
use crate::protocol::response_header;
use crate::{listener, request};
use archlink_config::Settings;
use archlink_control_client::fleet_view::Event;
use archlink_http::codec::{ClientCodec, HeaderValue, Request, Response};
use archlink_http::connection_pool::ConnectionPool;
use archlink_messages::{Heartbeat, HostInstance, HostList, StateUpdate, VersionVector, VoterSet, patch};
use archlink_runtime::Clock;
use scripted_hosts::{BEHAVIORS, HostBehavior, ScriptedHosts};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local, yield_now};

/// A configuration with an idempotent and a non-idempotent route and no tenants.
const PUBLIC_CONFIGURATION: &str = r#"{"ConfigVersion": "00000001",
    "RouteTable": {"ColumnNames": ["Designation", "Origin", "PathPrefix", "Category", "MaxAttempts", "Service"],
        "Records": [["r", "o", "/read", "idempotent", 2, "s"], ["w", "o", "/write", "non_idempotent", 2, "s"]]},
    "ServiceTable": {"ColumnNames": ["Designation"], "Records": [["s"]]}}"#;

const SETTINGS: &str = r#"{"NodeName": "a", "IpAddress": "127.0.0.1", "Zone": "west", "Region": "coast",
    "Zones": {"west": "coast"}, "Listen": {}, "InternalPorts": [7600], "SeedNodes": [], "FirstStart": false,
    "Limits": {"MemoryMb": 256, "FileDescriptors": 1024}, "Cloud": {"RatePerS": 1},
    "TimingBounds": ["RetryBudgetRatio=100,RetryBudgetSlack=100"]}"#;

/// Creates a data node with a confirmed configuration, these hosts, and deposits in its retry budget.
fn new_data_plane(hosts: &[SocketAddr], configuration: &str) -> Rc<DataPlane> {
    let body_memory = Rc::new(Cell::new(64 << 20));
    let codec = move || ClientCodec::new(response_header::NAMES, 1 << 20, body_memory.clone());
    let pool = ConnectionPool::new(64, 5.0, 5.0, codec);
    let data_plane = DataPlane::new(Settings::read(SETTINGS).unwrap(), Clock::start(), pool);
    let instances = hosts.iter().enumerate().map(host_instance).collect();
    let compressed = patch::compress(configuration.as_bytes(), b"").unwrap().into();
    for update in [
        StateUpdate::ConfigurationPatch { ordering_key: 1, base: 0, patch: compressed },
        StateUpdate::DataNodes(vec![archlink_runtime::node_id([127, 0, 0, 1].into())]),
        StateUpdate::HostList(HostList { term: 1, version: 1, instances }),
    ] {
        let now = data_plane.clock.now();
        let changes = data_plane.fleet_view.borrow_mut().apply(now, Event::Update(update));
        data_plane.apply_view_changes(changes);
    }
    // A configuration is in force only once a quorum has confirmed it.
    let now = data_plane.clock.now();
    let event = Event::Heartbeat { heartbeat: confirming_heartbeat(), requested_at: Some(now) };
    let changes = data_plane.fleet_view.borrow_mut().apply(now, event);
    data_plane.apply_view_changes(changes);
    (0..2).for_each(|_| data_plane.retry_budget.borrow_mut().deposit(&data_plane.retry_bound(), "s", 1));
    data_plane
}

fn host_instance((index, address): (usize, &SocketAddr)) -> HostInstance {
    HostInstance {
        id: format!("host-{index}"),
        service: "s".into(),
        address: address.to_string().parse().unwrap(),
        zone: "west".into(),
        capacity: 4,
        draining: false,
        warm_up_seconds: 0.0,
    }
}

fn confirming_heartbeat() -> Heartbeat {
    Heartbeat {
        serial: 1,
        cluster_clock: 0.0,
        confirmed_age: Some(0.0),
        versions: VersionVector { configuration: 1, ..VersionVector::default() },
        leases: Vec::new(),
        voter_set: VoterSet::default(),
        recovered: true,
        suspected: Vec::new(),
    }
}

/// Processes a request as if it had arrived on a client connection, and returns the response. The request's deadline is
/// `timeout_millis` from now.
async fn respond(
    data_plane: &Rc<DataPlane>,
    target: &str,
    id: &str,
    timeout_millis: u32,
    body_length: usize,
) -> Response {
    respond_to(data_plane, target, id, timeout_millis, body_length, &ClientPresence::new()).await
}

/// Like [`respond`], for a client whose presence the test controls.
async fn respond_to(
    data_plane: &Rc<DataPlane>,
    target: &str,
    id: &str,
    timeout_millis: u32,
    body_length: usize,
    client: &ClientPresence,
) -> Response {
    let once = |text: &str| HeaderValue::Once(text.into());
    let fields = vec![
        once(id),
        once(&timeout_millis.to_string()),
        HeaderValue::Absent,
        HeaderValue::Absent,
        HeaderValue::Absent,
    ];
    let (method, target, host) = ("POST".into(), target.into(), once("o"));
    let body = vec![b'x'; body_length].into();
    let request =
        Request { method, target, host, fields, forwarded: vec![], body, close: false, reserved: None };
    request::respond(data_plane, request, client).await
}

/// Starts two hosts that follow `script`, and a data node that knows them.
fn setup(script: &[HostBehavior]) -> (Rc<ScriptedHosts>, Rc<DataPlane>) {
    setup_with_configuration(script, PUBLIC_CONFIGURATION)
}

fn setup_with_configuration(
    script: &[HostBehavior],
    configuration: &str,
) -> (Rc<ScriptedHosts>, Rc<DataPlane>) {
    let (hosts, addresses) = ScriptedHosts::start(script);
    (hosts, new_data_plane(&addresses, configuration))
}

/// Runs all scenarios, `max_concurrent` at a time.
fn run_scenarios<F: Future<Output = ()> + 'static>(
    scenarios: impl IntoIterator<Item = F>,
    max_concurrent: usize,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let mut scenarios = scenarios.into_iter().peekable();
    while scenarios.peek().is_some() {
        LocalSet::new().block_on(&runtime, async {
            let running: Vec<_> = scenarios.by_ref().take(max_concurrent).map(spawn_local).collect();
            for scenario in running {
                scenario.await.unwrap();
            }
        });
    }
}

/// Listens for clients of the data node on an unused port, until the sender is dropped.
async fn listen(data_plane: Rc<DataPlane>) -> (Rc<ClientServer>, SocketAddr, watch::Sender<ServingStage>) {
    let (stage, stages) = watch::channel(ServingStage::Serving);
    let server = Rc::new(ClientServer::new(data_plane, stages, Rc::new(Cell::new(1 << 20)), 8));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(listener::listen(server.clone(), Rc::new(listener)));
    (server, address, stage)
}
