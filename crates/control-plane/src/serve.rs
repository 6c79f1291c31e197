//! Starts a control node's listeners and tasks, and shuts the node down gracefully.

use crate::admin;
use crate::server::node::Node;
use crate::server::write_queue::StateWriter;
use crate::server::{host_discovery, peer_links, startup};
use crate::{ControlPlaneError, ControlPlaneResult};
use archlink_config::Settings;
use archlink_control_node::node::ControlNodeState;
use archlink_runtime::{Clock, restart_on_panic};
use error_stack::{Report, ResultExt};
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Interval between two ticks of the core, far shorter than any of its timeouts.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Wait after SIGTERM in which leases are passed on to successors and pending responses are sent.
const DRAIN_TIME: Duration = Duration::from_millis(500);
/// Maximum fraction of `Grace` for which a voter that shuts down waits to be replaced by another node.
const REPLACEMENT_FRACTION_OF_GRACE: f64 = 0.85;
/// Maximum wait for the replacement in seconds, which also applies if the operators set no `Grace`.
const MAX_REPLACEMENT_WAIT: f64 = 5.0;

async fn bind(address: Option<SocketAddr>, key: &'static str) -> ControlPlaneResult<TcpListener> {
    let address =
        address.ok_or_else(|| Report::new(ControlPlaneError::Settings).attach(format!("{key}: missing")))?;
    TcpListener::bind(address)
        .await
        .change_context(ControlPlaneError::Start)
        .attach_with(|| format!("{key}: {address}"))
}

/// Serves as a control node on this thread's runtime until `shutdown` completes, then hands over its leases and waits to be
/// replaced as a voter.
///
/// # Errors
///
/// If the settings or the data folder cannot be used, or a listener cannot be bound.
pub async fn serve(settings: Settings, shutdown: impl Future<Output = ()>) -> ControlPlaneResult<()> {
    let clock = Clock::start();
    let (state, storage) = startup::load(&settings, clock)?;
    let (durable, mut durable_messages) = mpsc::unbounded_channel();
    let admin_listeners = [
        bind(settings.operator_address, "Listen.Control").await?,
        bind(settings.directory_address, "Listen.Directory").await?,
    ];
    let peer_address = SocketAddrV4::new(settings.ip, settings.internal_port);
    let peer_listener = bind(Some(peer_address.into()), "InternalPorts").await?;
    let storage = storage.map(|storage| Box::new(storage) as Box<dyn StateWriter>);
    let node = Node::new(settings, clock, state, storage, durable);
    let writer = node.clone();
    spawn_local(async move {
        while let Some(messages) = durable_messages.recv().await {
            writer.on_durable(messages);
        }
    });
    spawn_tasks(&node, peer_listener, admin_listeners);
    log::info!(name = node.settings.name.as_str(); "control node started");
    shutdown.await;
    shut_down(&node).await;
    Ok(())
}

/// Spawns the tasks that run for the lifetime of the process. One that panics is started again, since others wait for what it
/// does.
fn spawn_tasks(node: &Rc<Node>, peer_listener: TcpListener, admin_listeners: [TcpListener; 2]) {
    let peer_listener = Rc::new(peer_listener);
    let listen = move |node| peer_links::incoming::listen(node, peer_listener.clone());
    supervise(node, "peer_listener", listen);
    supervise(node, "peer_links", peer_links::outgoing::maintain);
    supervise(node, "seed_reload", peer_links::outgoing::reload_seeds);
    for listener in admin_listeners.map(Rc::new) {
        supervise(node, "operator_listener", move |node| admin::server::listen(node, listener.clone()));
    }
    supervise(node, "host_discovery", host_discovery::run);
    supervise(node, "ticks", tick_periodically);
}

async fn tick_periodically(node: Rc<Node>) {
    loop {
        node.tick();
        sleep(TICK_INTERVAL).await;
    }
}

fn supervise<F: Future<Output = ()> + 'static>(
    node: &Rc<Node>,
    name: &'static str,
    start_task: impl Fn(Rc<Node>) -> F + 'static,
) {
    let node = node.clone();
    spawn_local(restart_on_panic(name, |_| (), move || start_task(node.clone())));
}

async fn shut_down(node: &Rc<Node>) {
    log::info!("control node draining");
    node.draining.set(true);
    node.step(|state, now| state.begin_shutdown(now));
    sleep(DRAIN_TIME).await;
    let limit = (REPLACEMENT_FRACTION_OF_GRACE * node.settings.timing_bounds.grace).min(MAX_REPLACEMENT_WAIT);
    let deadline = node.clock.now() + limit;
    while !node.with_state(ControlNodeState::may_shut_down) {
        if node.clock.now() >= deadline {
            log::warn!("shutting down as a voter: not replaced in time");
            return;
        }
        sleep(TICK_INTERVAL).await;
    }
    // Lets the connection tasks send the last messages.
    sleep(TICK_INTERVAL).await;
}
