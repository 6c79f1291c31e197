//! The data plane: one data gateway as a whole. Owns the order of start and end. Must never look into a request or take
//! part in a decision.
#![forbid(unsafe_code)]

mod attempts;
mod client;
mod front;
mod gateway;
mod hand_off;
mod metrics;
mod request;
mod session;
mod status;
#[cfg(test)]
mod tests;

use archlink_config::Settings;
use archlink_http::codec::ClientCodec;
use archlink_http::connection_pool::ConnectionPool;
use archlink_runtime::Clock;
use error_stack::{Report, ResultExt};
use front::{Front, Stage};
use gateway::Gateway;
use std::cell::Cell;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// Parts of the descriptors for clients and for hosts, and of the memory for large bodies.
const CLIENTS: f64 = 0.5;
const HOSTS: f64 = 0.35;
const BODIES: f64 = 0.2;
/// What is kept to a host that names no time of its own, and the wait for a new connection.
const HOST_IDLE: f64 = 5.0;
const HOST_CONNECT: f64 = 0.25;
/// The largest answer of a host.
const MOST_REPLY: usize = 8 << 20;
/// Seconds between two lines on services that not all requests are let in to, or whose clients leave.
const LINES_EVERY: u64 = 5;
/// After SIGTERM: part of the grace in which clients that still come are served, and the part by which all ends.
const TAKE_ON: f64 = 0.4;
const END_BY: f64 = 0.95;
/// Where the settings name no grace.
const GRACE: f64 = 6.0;

/// Why the program does not start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DataPlaneError {
    /// The settings file can't be read or is wrong.
    Settings,
    /// An address can't be listened on, or the system refuses what a server needs.
    Start,
}

impl fmt::Display for DataPlaneError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DataPlaneError::Settings => "the settings file can't be used",
            DataPlaneError::Start => "the data gateway can't start",
        })
    }
}

impl std::error::Error for DataPlaneError {}

pub type Outcome<T> = Result<T, Report<DataPlaneError>>;

/// The settings file that `ARCHLINK_CONFIG` names, checked.
pub fn read_settings() -> Outcome<Settings> {
    let text = archlink_runtime::settings_text().change_context(DataPlaneError::Settings)?;
    Settings::read(&text).change_context(DataPlaneError::Settings)
}

async fn bind(address: Option<SocketAddr>, key: &'static str) -> Outcome<TcpListener> {
    let address =
        address.ok_or_else(|| Report::new(DataPlaneError::Settings).attach(format!("{key}: missing")))?;
    TcpListener::bind(address)
        .await
        .change_context(DataPlaneError::Start)
        .attach_with(|| format!("{key}: {address}"))
}

/// Figures for operators at that port of the machine's own address. A port that is taken costs the figures and nothing else.
async fn tell_metrics(front: Rc<Front>, port: u16) {
    let address = SocketAddr::new(front.gateway.settings.ip.into(), port);
    match TcpListener::bind(address).await {
        Ok(listener) => status::metrics(front, listener).await,
        Err(e) => log::warn!("no metrics at {address}: {e}"),
    }
}

/// Serves as a data gateway on a runtime of its own thread, until `until` ends; then answers all that was taken.
/// `metrics` is the port for operators' figures, if they want any.
pub async fn serve(settings: Settings, metrics: Option<u16>, until: impl Future<Output = ()>) -> Outcome<()> {
    let clock = Clock::start();
    let (clients, ready) = (
        bind(settings.client_address, "Listen.Front").await?,
        bind(settings.readiness_address, "Listen.Ready").await?,
    );
    let places = |part: f64| (settings.max_descriptors as f64 * part) as usize;
    let room = Rc::new(Cell::new((settings.memory_bytes * BODIES) as usize));
    let replies = room.clone();
    let codec = move || ClientCodec::new(hand_off::READ, MOST_REPLY, replies.clone());
    let kept = ConnectionPool::new(places(HOSTS), HOST_IDLE, HOST_CONNECT, codec);
    let grace = if settings.timing_bounds.grace.is_finite() { settings.timing_bounds.grace } else { GRACE };
    let (stage, stages) = watch::channel(Stage::Serving);
    let most = places(CLIENTS);
    let gateway = Gateway::new(settings, clock, kept.clone());
    let (open, at_work) = (Cell::new(0), Cell::new(0));
    let front = Rc::new(Front { gateway: gateway.clone(), stage: stages, room, most, open, at_work });
    spawn_local(session::keep(gateway.clone()));
    spawn_local(session::count(gateway.clone()));
    let waking = gateway.clone();
    spawn_local(async move { waking.keep_waking().await });
    spawn_local(status::readiness(front.clone(), ready));
    if let Some(port) = metrics {
        spawn_local(tell_metrics(front.clone(), port));
    }
    let listening = spawn_local(front::listen(front.clone(), clients));
    let swept = gateway.clone();
    spawn_local(async move {
        for second in 1_u64.. {
            sleep(Duration::from_secs(1)).await;
            kept.close_idle();
            if second % LINES_EVERY == 0 {
                let doors = swept.balancer.borrow().admission_log_lines(swept.clock.now());
                let lines = doors.into_iter().chain(swept.metrics.departure_lines());
                lines.for_each(|line| log::info!("{line}"));
            }
        }
    });
    log::info!("data gateway {} is up", gateway.settings.name);
    until.await;
    log::info!("leaving");
    let began = Instant::now();
    gateway.leaving.set(true);
    gateway.turned.notify_waiters();
    stage.send(Stage::Leaving).ok();
    sleep(Duration::from_secs_f64(grace * TAKE_ON)).await;
    stage.send(Stage::Closed).ok();
    listening.await.ok();
    while front.at_work.get() > 0 && began.elapsed().as_secs_f64() < grace * END_BY {
        sleep(Duration::from_millis(5)).await;
    }
    log::info!("all answered");
    Ok(())
}
