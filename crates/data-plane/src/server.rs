//! Start and graceful shutdown of one data node.

use crate::client_server::{ClientServer, ServingStage};
use crate::data_plane::DataPlane;
use crate::error::{DataPlaneError, DataPlaneResult};
use crate::protocol::response_header;
use crate::{control_session, counter_session, listener, status};
use archlink_config::Settings;
use archlink_http::codec::ClientCodec;
use archlink_http::connection_pool::ConnectionPool;
use archlink_runtime::Clock;
use error_stack::{Report, ResultExt};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// Fraction of the process's descriptors for clients' connections. With the hosts' fraction it leaves 15% for the
/// system's own connections, files and sockets that are closing.
const CLIENT_DESCRIPTORS: f64 = 0.5;
/// Fraction of the process's descriptors for pooled connections to hosts.
const HOST_DESCRIPTORS: f64 = 0.35;
/// Fraction of the process's memory for large bodies of requests and responses.
const BODY_MEMORY: f64 = 0.2;
/// Seconds that an idle connection is pooled for a host that names no time of its own.
const POOL_IDLE_TIMEOUT: f64 = 5.0;
/// Seconds to wait for a new connection to a host.
const HOST_CONNECT_TIMEOUT: f64 = 0.25;
/// The largest body of a host's response, in bytes.
const MAX_RESPONSE_BODY: usize = 8 << 20;
/// Seconds between two summaries in the log: services with limited admission, and clients that disconnected.
const SUMMARY_INTERVAL: u64 = 5;
/// Fraction of the grace period during which clients that still connect are served: load balancers before this node
/// need that long to see that it is not ready.
const ACCEPT_FRACTION: f64 = 0.4;
/// Fraction of the grace period after which the process ends even with requests in flight; the rest is for its exit.
const END_FRACTION: f64 = 0.95;
/// Grace period in seconds where the settings name none.
const DEFAULT_GRACE: f64 = 6.0;
/// Time between two looks at the requests in flight during shutdown.
const SHUTDOWN_POLL: Duration = Duration::from_millis(5);

/// The settings file that `ARCHLINK_CONFIG` names, validated.
///
/// # Errors
/// [`DataPlaneError::Settings`] where it can't be read or a key is wrong; the report names the file or the key.
pub fn read_settings() -> DataPlaneResult<Settings> {
    let text = archlink_runtime::settings_text().change_context(DataPlaneError::Settings)?;
    Settings::read(&text).change_context(DataPlaneError::Settings)
}

/// Serves as a data node on the current thread until `until` resolves; then drains: clients are accepted for a part of
/// the grace period, and requests in flight are answered. `metrics_port` is the port for operators' metrics, if they
/// are wanted. Has to run within a local runtime or task set.
///
/// # Errors
/// [`DataPlaneError::Settings`] where an address is missing, [`DataPlaneError::Start`] where one can't be listened on.
pub async fn serve(
    settings: Settings,
    metrics_port: Option<u16>,
    until: impl Future<Output = ()>,
) -> DataPlaneResult<()> {
    let clock = Clock::start();
    let (client_listener, readiness_listener) = (
        bind(settings.client_address, "Listen.Front").await?,
        bind(settings.readiness_address, "Listen.Ready").await?,
    );
    let (server, stage) = assemble(settings, clock);
    spawn_drivers(&server, readiness_listener, metrics_port);
    let listening = spawn_local(listener::listen(server.clone(), client_listener));
    spawn_local(housekeeping(server.data_plane.clone()));
    log::info!(name = server.data_plane.settings.name.as_str(); "data node started");
    until.await;
    drain(&server, &stage, async { drop(listening.await) }).await;
    Ok(())
}

async fn bind(address: Option<SocketAddr>, key: &'static str) -> DataPlaneResult<TcpListener> {
    let address =
        address.ok_or_else(|| Report::new(DataPlaneError::Settings).attach(format!("{key}: missing")))?;
    TcpListener::bind(address)
        .await
        .change_context(DataPlaneError::Start)
        .attach_with(|| format!("{key}: {address}"))
}

/// The state of a data node with the bounds that its settings give.
fn assemble(settings: Settings, clock: Clock) -> (Rc<ClientServer>, watch::Sender<ServingStage>) {
    let descriptors = |fraction: f64| (settings.max_descriptors as f64 * fraction) as usize;
    let body_memory = Rc::new(Cell::new((settings.memory_bytes * BODY_MEMORY) as usize));
    let response_memory = body_memory.clone();
    let codec = move || ClientCodec::new(response_header::NAMES, MAX_RESPONSE_BODY, response_memory.clone());
    let pool =
        ConnectionPool::new(descriptors(HOST_DESCRIPTORS), POOL_IDLE_TIMEOUT, HOST_CONNECT_TIMEOUT, codec);
    let max_connections = descriptors(CLIENT_DESCRIPTORS);
    let (stage, stages) = watch::channel(ServingStage::Serving);
    let data_plane = DataPlane::new(settings, clock, pool);
    (Rc::new(ClientServer::new(data_plane, stages, body_memory, max_connections)), stage)
}

/// Starts what runs beside the clients' connections for as long as the process lives.
fn spawn_drivers(server: &Rc<ClientServer>, readiness_listener: TcpListener, metrics_port: Option<u16>) {
    let data_plane = &server.data_plane;
    spawn_local(control_session::run(data_plane.clone()));
    spawn_local(counter_session::run(data_plane.clone()));
    let timed = data_plane.clone();
    spawn_local(async move { timed.run_quota_timer().await });
    spawn_local(status::serve_readiness(server.clone(), readiness_listener));
    if let Some(port) = metrics_port {
        spawn_local(serve_metrics(server.clone(), port));
    }
}

/// Operators' metrics at that port of the node's own address. A port that is taken costs the metrics and nothing else.
async fn serve_metrics(server: Rc<ClientServer>, port: u16) {
    let address = SocketAddr::new(server.data_plane.settings.ip.into(), port);
    match TcpListener::bind(address).await {
        Ok(listener) => status::serve_metrics(server, listener).await,
        Err(e) => log::warn!(address:% = address, error:% = e; "metrics listener unavailable"),
    }
}

/// Each second closes pooled connections that were idle for too long; every few seconds logs the summaries.
async fn housekeeping(data_plane: Rc<DataPlane>) {
    for second in 1_u64.. {
        sleep(Duration::from_secs(1)).await;
        data_plane.pool.close_idle();
        if second % SUMMARY_INTERVAL == 0 {
            log_summaries(&data_plane);
        }
    }
}

fn log_summaries(data_plane: &DataPlane) {
    let limited = data_plane.balancer.borrow().load_shedding_log_lines(data_plane.clock.now());
    for line in limited {
        log::info!(detail = line.as_str(); "admission limited");
    }
    for (service, summary) in data_plane.metrics.take_disconnect_summaries() {
        log::info!(
            service = service.as_str(),
            clients = summary.clients,
            withdrawn = summary.cancelled_before_send,
            broken_off = summary.cancelled_after_send,
            finished = summary.finished,
            max_elapsed_ms = summary.max_elapsed.as_millis() as u64;
            "clients disconnected"
        );
    }
}

/// Graceful shutdown, bounded by the grace period.
async fn drain(
    server: &ClientServer,
    stage: &watch::Sender<ServingStage>,
    listener_closed: impl Future<Output = ()>,
) {
    let data_plane = &server.data_plane;
    let configured = data_plane.settings.timing_bounds.grace;
    let grace = if configured.is_finite() { configured } else { DEFAULT_GRACE };
    log::info!(grace_s = grace, in_flight = server.requests_in_flight.get(); "draining started");
    let started = Instant::now();
    data_plane.draining.set(true);
    data_plane.state_changed.notify_waiters();
    stage.send(ServingStage::Draining).ok();
    sleep(Duration::from_secs_f64(grace * ACCEPT_FRACTION)).await;
    stage.send(ServingStage::Closed).ok();
    listener_closed.await;
    while server.requests_in_flight.get() > 0 && started.elapsed().as_secs_f64() < grace * END_FRACTION {
        sleep(SHUTDOWN_POLL).await;
    }
    log::info!(
        elapsed_ms = started.elapsed().as_millis() as u64,
        in_flight = server.requests_in_flight.get();
        "drained"
    );
}
