//! Startup and graceful shutdown of one data node.

use crate::client_server::{ClientServer, ServingStage};
use crate::data_plane::DataPlane;
use crate::error::{DataPlaneError, DataPlaneResult};
use crate::protocol::response_header;
use crate::{control_session, counter_session, listener, status};
use archlink_config::Settings;
use archlink_http::codec::ClientCodec;
use archlink_http::connection_pool::ConnectionPool;
use archlink_runtime::{Clock, restart_on_panic};
use error_stack::{Report, ResultExt};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep};

/// Fraction of the file descriptors for client connections. Together with the fraction for hosts it leaves 15% for
/// connections to other nodes of the system, files and sockets that are closing.
const CLIENT_DESCRIPTOR_FRACTION: f64 = 0.5;
/// Fraction of the file descriptors for connections to hosts.
const HOST_DESCRIPTOR_FRACTION: f64 = 0.35;
/// Fraction of the memory for large bodies of requests and responses.
const BODY_MEMORY_FRACTION: f64 = 0.2;
/// Time in seconds for which hosts are assumed to keep an idle connection, unless they state another one.
const POOL_IDLE_TIMEOUT: f64 = 5.0;
/// Timeout in seconds for a new connection to a host.
const HOST_CONNECT_TIMEOUT: f64 = 0.25;
/// Maximum size of a host's response body in bytes.
const MAX_RESPONSE_BODY: usize = 8 << 20;
/// Interval in seconds of the summaries in the log: services whose load is being shed, and clients that disconnected.
const SUMMARY_INTERVAL: u64 = 5;
/// Fraction of the grace period for which connections are still accepted: load balancers in front of this node need time
/// to notice that it is no longer ready.
const ACCEPT_GRACE_FRACTION: f64 = 0.4;
/// Fraction of the grace period after which the process exits even with requests in flight. The rest is for the exit.
const EXIT_GRACE_FRACTION: f64 = 0.95;
/// Grace period in seconds if the settings name none.
const DEFAULT_GRACE_PERIOD: f64 = 6.0;
/// Interval at which the shutdown checks for requests in flight.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Reads and validates the settings file that `ARCHLINK_CONFIG` names.
///
/// # Errors
///
/// Returns [`DataPlaneError::Settings`] if the file can't be read or a key is invalid; the report names the file or the
/// key.
pub fn read_settings() -> DataPlaneResult<Settings> {
    let text = archlink_runtime::settings_text().change_context(DataPlaneError::Settings)?;
    Settings::read(&text).change_context(DataPlaneError::Settings)
}

/// Runs a data node on the current thread until `shutdown` resolves, and then drains it: connections are accepted for a
/// part of the grace period, and requests in flight are answered. Metrics are served on `metrics_port`, if there is one.
///
/// This function has to be called within a local runtime or a `LocalSet`.
///
/// # Errors
///
/// Returns [`DataPlaneError::Settings`] if an address is missing in the settings, or [`DataPlaneError::Start`] if an
/// address can't be bound.
pub async fn serve(
    settings: Settings,
    metrics_port: Option<u16>,
    shutdown: impl Future<Output = ()>,
) -> DataPlaneResult<()> {
    let clock = Clock::start();
    let (client_listener, readiness_listener) = (
        bind(settings.client_address, "Listen.Front").await?,
        bind(settings.readiness_address, "Listen.Ready").await?,
    );
    let (server, stage) = assemble(settings, clock);
    spawn_background_tasks(&server, readiness_listener, metrics_port);
    let (accepting, client_listener) = (server.clone(), Rc::new(client_listener));
    let accept = move || listener::listen(accepting.clone(), client_listener.clone());
    let listener_task = supervise(&server.data_plane, "client_listener", accept);
    log::info!(name = server.data_plane.settings.name.as_str(); "data node started");
    shutdown.await;
    drain(&server, &stage, async { drop(listener_task.await) }).await;
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

/// Creates the state of a data node with the limits from its settings.
fn assemble(settings: Settings, clock: Clock) -> (Rc<ClientServer>, watch::Sender<ServingStage>) {
    let descriptors = |fraction: f64| (settings.max_descriptors as f64 * fraction) as usize;
    let body_memory = Rc::new(Cell::new((settings.memory_bytes * BODY_MEMORY_FRACTION) as usize));
    let response_memory = body_memory.clone();
    let codec = move || ClientCodec::new(response_header::NAMES, MAX_RESPONSE_BODY, response_memory.clone());
    let pool = ConnectionPool::new(
        descriptors(HOST_DESCRIPTOR_FRACTION),
        POOL_IDLE_TIMEOUT,
        HOST_CONNECT_TIMEOUT,
        codec,
    );
    let max_connections = descriptors(CLIENT_DESCRIPTOR_FRACTION);
    let (stage, stages) = watch::channel(ServingStage::Serving);
    let data_plane = DataPlane::new(settings, clock, pool);
    (Rc::new(ClientServer::new(data_plane, stages, body_memory, max_connections)), stage)
}

/// Spawns the tasks that run for the lifetime of the process, besides those for client connections.
fn spawn_background_tasks(
    server: &Rc<ClientServer>,
    readiness_listener: TcpListener,
    metrics_port: Option<u16>,
) {
    let data_plane = &server.data_plane;
    let supervised = data_plane.clone();
    supervise(data_plane, "control_session", move || control_session::run(supervised.clone()));
    let supervised = data_plane.clone();
    supervise(data_plane, "quota_counting", move || counter_session::run(supervised.clone()));
    let supervised = data_plane.clone();
    supervise(data_plane, "housekeeping", move || housekeeping(supervised.clone()));
    let (supervised, listener) = (server.clone(), Rc::new(readiness_listener));
    let serve_readiness = move || status::serve_readiness(supervised.clone(), listener.clone());
    supervise(data_plane, "readiness", serve_readiness);
    if let Some(port) = metrics_port {
        let supervised = server.clone();
        supervise(data_plane, "metrics", move || serve_metrics(supervised.clone(), port));
    }
}

/// Spawns a task that is started again and counted whenever it panics, since requests wait for what it does.
fn supervise<F: Future<Output = ()> + 'static>(
    data_plane: &Rc<DataPlane>,
    name: &'static str,
    start_task: impl Fn() -> F + 'static,
) -> JoinHandle<()> {
    let data_plane = data_plane.clone();
    let count_restart = move |name| data_plane.metrics.task_restarted(name);
    spawn_local(restart_on_panic(name, count_restart, start_task))
}

/// Serves metrics at this port of the node's own address. If the port can't be bound, the node runs without them.
async fn serve_metrics(server: Rc<ClientServer>, port: u16) {
    let address = SocketAddr::new(server.data_plane.settings.ip.into(), port);
    match TcpListener::bind(address).await {
        Ok(listener) => status::serve_metrics(server, Rc::new(listener)).await,
        Err(e) => log::warn!(address:% = address, error:% = e; "metrics listener unavailable"),
    }
}

/// Closes pooled connections that were idle for too long every second, and logs the summaries every few seconds.
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
    let log_lines = data_plane.balancer.borrow().load_shedding_log_lines(data_plane.clock.now());
    for line in log_lines {
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

/// Shuts down gracefully, within the grace period.
async fn drain(
    server: &ClientServer,
    stage: &watch::Sender<ServingStage>,
    listener_closed: impl Future<Output = ()>,
) {
    let data_plane = &server.data_plane;
    let configured = data_plane.settings.timing_bounds.grace;
    let grace = if configured.is_finite() { configured } else { DEFAULT_GRACE_PERIOD };
    log::info!(grace_s = grace, in_flight = server.requests_in_flight.get(); "draining started");
    let started = Instant::now();
    data_plane.draining.set(true);
    data_plane.state_changed.notify_waiters();
    stage.send(ServingStage::Draining).ok();
    sleep(Duration::from_secs_f64(grace * ACCEPT_GRACE_FRACTION)).await;
    stage.send(ServingStage::Closed).ok();
    listener_closed.await;
    while server.requests_in_flight.get() > 0 && started.elapsed().as_secs_f64() < grace * EXIT_GRACE_FRACTION
    {
        sleep(SHUTDOWN_POLL_INTERVAL).await;
    }
    log::info!(
        elapsed_ms = started.elapsed().as_millis() as u64,
        in_flight = server.requests_in_flight.get();
        "drained"
    );
}
