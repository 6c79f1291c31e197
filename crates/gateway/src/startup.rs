//! Starts the gateway's components on one thread, in order of their dependencies, and shuts them down.

use crate::clock::Clock;
use crate::configuration::{self, ReloadedConfiguration, StartupConfiguration};
use crate::counter::{CallQueue, CounterClient};
use crate::discovery::DiscoveryClient;
use crate::dispatcher::Dispatcher;
use crate::driver::DriverOutputs;
use crate::error::StartupError;
use crate::http::HostCodec;
use crate::listener::{ClientListener, ServingState, accept_clients};
use crate::peers::Peers;
use crate::supervisor::restart_on_panic;
use crate::timer::Timer;
use crate::upstream::HostConnections;
use archlink_admission::interface::AdmissionSettings;
use archlink_admission_settings::ParsedSettings;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, watch};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep};

/// How long connections are still accepted after SIGTERM, because the clients' front ends go on sending for a while.
const ACCEPT_AFTER_SIGTERM: Duration = Duration::from_millis(800);
/// Seconds for which a shutdown waits beyond the longest client timeout.
const SHUTDOWN_MARGIN_SECONDS: f64 = 1.0;
/// Bounds of the longest client timeout, in seconds.
const MIN_CLIENT_TIMEOUT: f64 = 3.0;
const MAX_CLIENT_TIMEOUT: f64 = 600.0;
/// Interval at which a shutdown checks whether all client connections have closed.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Shares of the file descriptors for clients and for hosts; the rest is for the counter, discovery and the system.
const CLIENT_DESCRIPTOR_SHARE: f64 = 0.45;
const HOST_DESCRIPTOR_SHARE: f64 = 0.35;
/// Share of the memory for the buffers of client and host connections.
const BUFFER_MEMORY_SHARE: f64 = 0.6;
/// Maximum size of a connection's buffers, in bytes: a body and a head in both directions.
const MAX_CONNECTION_BUFFER_BYTES: f64 = 170.0 * 1024.0;
/// Share of the memory for all replies larger than the protocol's limit together.
const LARGE_REPLY_MEMORY_SHARE: f64 = 0.2;
/// Minimum number of connections to clients, and to hosts.
const MIN_CONNECTIONS: f64 = 4.0;
/// Bytes per megabyte in the configuration.
const BYTES_PER_MB: f64 = 1e6;

/// Interval at which pooled connections that have been idle too long are closed.
const POOL_CLEANUP_INTERVAL: Duration = Duration::from_secs(1);
/// Pause after a failed read of the timer, so that a persistent error does not cause a busy loop.
const TIMER_ERROR_PAUSE: Duration = Duration::from_millis(1);

/// Limits derived from the configured memory and file descriptors.
struct ResourceLimits {
    max_clients: usize,
    max_host_connections: usize,
    large_reply_bytes: usize,
}

impl ResourceLimits {
    fn new(max_sockets: usize, memory_mb: usize) -> ResourceLimits {
        let by_memory = memory_mb as f64 * BUFFER_MEMORY_SHARE * BYTES_PER_MB / MAX_CONNECTION_BUFFER_BYTES;
        let connection_limit = |share: f64| {
            let by_descriptors = max_sockets as f64 * share;
            by_descriptors
                .min(by_memory * share / (CLIENT_DESCRIPTOR_SHARE + HOST_DESCRIPTOR_SHARE))
                .max(MIN_CONNECTIONS) as usize
        };
        ResourceLimits {
            max_clients: connection_limit(CLIENT_DESCRIPTOR_SHARE),
            max_host_connections: connection_limit(HOST_DESCRIPTOR_SHARE),
            large_reply_bytes: (memory_mb as f64 * BYTES_PER_MB * LARGE_REPLY_MEMORY_SHARE) as usize,
        }
    }

    fn host_connections(&self, settings: &ParsedSettings) -> Rc<HostConnections> {
        let available = Rc::new(Cell::new(self.large_reply_bytes));
        let new_codec = move || HostCodec::new(available.clone());
        HostConnections::new(
            self.max_host_connections,
            settings.idle_close,
            settings.connect_timeout,
            new_codec,
        )
    }
}

/// Returns the longest timeout of any client, in seconds.
fn longest_client_timeout(settings: &AdmissionSettings) -> f64 {
    let timeouts = settings.classes.iter().map(|class| class.client_timeout);
    timeouts.fold(MIN_CLIENT_TIMEOUT, f64::max).min(MAX_CLIENT_TIMEOUT)
}

/// Sockets, signal handlers and the timer: the operating system's resources, whose opening may fail.
struct SystemResources {
    peers: Option<Rc<Peers>>,
    listener: TcpListener,
    terminate: Signal,
    hangup: Signal,
    timer: Rc<Timer>,
}

impl SystemResources {
    async fn open(configuration: &StartupConfiguration) -> Result<SystemResources, StartupError> {
        let io_error = |key| move |cause: io::Error| StartupError::Io { key, cause };
        Ok(SystemResources {
            peers: open_peers(configuration).await.map_err(io_error("peer_listen"))?,
            listener: TcpListener::bind(configuration.listen).await.map_err(io_error("listen"))?,
            terminate: signal(SignalKind::terminate()).map_err(io_error("SIGTERM"))?,
            hangup: signal(SignalKind::hangup()).map_err(io_error("SIGHUP"))?,
            timer: Rc::new(Timer::new().map_err(io_error("timer"))?),
        })
    }
}

/// Opens the socket for peer messages, if the configuration names its address and the settings allow such messages.
async fn open_peers(configuration: &StartupConfiguration) -> io::Result<Option<Rc<Peers>>> {
    let may_message_peers = configuration.settings.admission.may_message_peers;
    let Some(listen) = configuration.peer_listen.filter(|_| may_message_peers) else { return Ok(None) };
    let peers = Peers::open(listen, configuration.peers.clone(), configuration.peer_broadcast).await?;
    let peers = Rc::new(peers);
    let receiver = peers.clone();
    spawn_local(async move { receiver.discard_received().await });
    Ok(Some(peers))
}

/// State shared by the gateway's tasks.
struct Gateway {
    dispatcher: Rc<Dispatcher>,
    discovery: Rc<DiscoveryClient>,
    counter: Rc<CounterClient>,
    /// Notified when the admission module subscribes to host lists.
    subscribe_requested: Rc<Notify>,
    timer: Rc<Timer>,
}

impl Gateway {
    fn start(
        configuration: StartupConfiguration,
        clock: Clock,
        connections: Rc<HostConnections>,
        peers: Option<Rc<Peers>>,
        timer: Rc<Timer>,
    ) -> Gateway {
        let StartupConfiguration { settings, seed, .. } = configuration;
        let settings = Rc::new(settings);
        let counter_calls = CallQueue::new(settings.admission.count_timeout);
        let subscribe_requested = Rc::new(Notify::new());
        let outputs = DriverOutputs {
            counter_calls: counter_calls.clone(),
            peers,
            subscribe: subscribe_requested.clone(),
            timer: timer.clone(),
        };
        let dispatcher = Dispatcher::start(settings, seed, clock, connections, outputs);
        let cached_hosts = &configuration.cached_hosts;
        let discovery = DiscoveryClient::start(dispatcher.clone(), configuration.discovery, cached_hosts);
        // If the settings do not use a counter, no call is made and this placeholder address is not used.
        let address = configuration.counter.unwrap_or(configuration.listen);
        let counter = CounterClient::new(dispatcher.clone(), counter_calls, address);
        Gateway { dispatcher, discovery, counter, subscribe_requested, timer }
    }

    /// Spawns all tasks except the listener.
    fn spawn_tasks(&self, hangup: Signal) {
        let (discovery, subscribe_requested) = (self.discovery.clone(), self.subscribe_requested.clone());
        spawn_local(restart_on_panic("discovery", move || {
            discovery.clone().run(subscribe_requested.clone())
        }));
        let (dispatcher, counter, timer) =
            (self.dispatcher.clone(), self.counter.clone(), self.timer.clone());
        spawn_local(restart_on_panic("timer", move || {
            run_timer(dispatcher.clone(), counter.clone(), timer.clone())
        }));
        let settings = &self.dispatcher.settings;
        if settings.admission.may_count {
            let (counter, connect_timeout) = (self.counter.clone(), settings.connect_timeout);
            spawn_local(restart_on_panic("counter", move || counter.clone().run(connect_timeout)));
        }
        spawn_local(reload_on_hangup(hangup, self.discovery.clone(), self.counter.clone()));
        spawn_local(close_idle_connections(self.dispatcher.connections.clone()));
    }

    /// Spawns the listener; its task ends when `state` is [`ServingState::Closed`].
    fn listen(
        &self,
        socket: TcpListener,
        max_clients: usize,
        state: watch::Receiver<ServingState>,
    ) -> (Rc<ClientListener>, JoinHandle<()>) {
        let listener = Rc::new(ClientListener::new(self.dispatcher.clone(), state, max_clients));
        let (accepting, socket) = (listener.clone(), Rc::new(socket));
        let accept = restart_on_panic("listener", move || accept_clients(accepting.clone(), socket.clone()));
        (listener, spawn_local(accept))
    }
}

/// Reports expiries of the timer to the admission module; never returns. Counter calls that are due are expired first.
async fn run_timer(dispatcher: Rc<Dispatcher>, counter: Rc<CounterClient>, timer: Rc<Timer>) {
    loop {
        if let Err(error) = timer.fired().await {
            log::error!("timer: cannot read: {error}");
            sleep(TIMER_ERROR_PAUSE).await;
        }
        counter.expire_calls();
        dispatcher.call(|admission, now, driver| admission.timer_fired(now, driver));
    }
}

/// Reloads the configuration on each SIGHUP; never returns.
async fn reload_on_hangup(mut hangup: Signal, discovery: Rc<DiscoveryClient>, counter: Rc<CounterClient>) {
    while hangup.recv().await.is_some() {
        match configuration::reload() {
            Ok(reloaded) => apply_reloaded(reloaded, &discovery, &counter),
            Err(error) => log::error!("configuration not reloaded: {error}; the current one stays in use"),
        }
    }
}

fn apply_reloaded(reloaded: ReloadedConfiguration, discovery: &DiscoveryClient, counter: &CounterClient) {
    let ReloadedConfiguration { discovery: discovery_address, counter: counter_address, log_level } =
        reloaded;
    log::info!("configuration reloaded: discovery {discovery_address}, counter {counter_address:?}");
    log::set_max_level(log_level);
    discovery.set_address(discovery_address);
    if let Some(address) = counter_address {
        counter.set_address(address);
    }
}

/// Closes pooled connections that have been idle too long; never returns.
async fn close_idle_connections(connections: Rc<HostConnections>) {
    loop {
        sleep(POOL_CLEANUP_INTERVAL).await;
        connections.close_idle();
    }
}

/// Serves until SIGTERM, and then until all client connections are closed or the longest client timeout has passed.
pub async fn run(configuration: StartupConfiguration) -> Result<(), StartupError> {
    let clock = Clock::start();
    let limits = ResourceLimits::new(configuration.max_sockets, configuration.memory_mb);
    let connections = limits.host_connections(&configuration.settings);
    let SystemResources { peers, listener: socket, mut terminate, hangup, timer } =
        SystemResources::open(&configuration).await?;
    let client_timeout = longest_client_timeout(&configuration.settings.admission);
    let listen: SocketAddr = configuration.listen;
    let gateway = Gateway::start(configuration, clock, connections, peers, timer);
    gateway.spawn_tasks(hangup);
    let (state, state_changes) = watch::channel(ServingState::Serving);
    let (listener, accept_task) = gateway.listen(socket, limits.max_clients, state_changes);
    log::info!("listening on {listen}");

    terminate.recv().await;
    log::info!("draining");
    state.send(ServingState::Draining).ok();
    sleep(ACCEPT_AFTER_SIGTERM).await;
    state.send(ServingState::Closed).ok();
    accept_task.await.ok();
    let deadline = Instant::now() + Duration::from_secs_f64(client_timeout + SHUTDOWN_MARGIN_SECONDS);
    while listener.open_connections() > 0 && Instant::now() < deadline {
        sleep(SHUTDOWN_POLL_INTERVAL).await;
    }
    log::info!("drained");
    Ok(())
}
