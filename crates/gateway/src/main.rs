//! The api gateway on sockets: starts its parts on one thread, and ends them. Owns the order of both. Must never look
//! into a message or take part in a decision.
#![forbid(unsafe_code)]

mod admit;
mod book;
mod configuration;
mod counter;
mod discovery;
mod http;
mod logger;
mod peers;
mod relay;
mod route;
mod send;
mod take_in;

use configuration::{Again, Start};
use counter::Counter;
use discovery::Discovery;
use http::HostSide;
use peers::Peers;
use route::{Around, Clock, Hall};
use send::Kept;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use take_in::{Door, Stage};
use tokio::net::TcpListener;
use tokio::runtime::LocalOptions;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// After SIGTERM clients' fronts go on sending for a while; and nothing is waited for longer than an inquiry lives.
const ACCEPT_ON: Duration = Duration::from_millis(800);
const END_MARGIN: f64 = 1.0;

/// Parts of the descriptors for clients and for hosts; the rest is for the counter, discovery and the system. And a
/// part of the memory for their buffers, each connection with a body and a head both ways at the most.
const CLIENTS: f64 = 0.45;
const HOSTS: f64 = 0.35;
const BUFFERS: f64 = 0.6;
const CONNECTION: f64 = 170.0 * 1024.0;
/// Part of the memory for replies that are larger than the protocol says, all at once.
const LARGE_REPLIES: f64 = 0.2;

/// Starts a part anew where it panicked, so that it costs what it had in hand and not the gateway.
async fn steadily<F: Future<Output = ()> + 'static>(part: &'static str, make: impl Fn() -> F) {
    while spawn_local(make()).await.is_err() {
        log::error!("{part} is started anew");
        sleep(Duration::from_millis(10)).await;
    }
}

async fn run(start: Start) -> Result<(), String> {
    let failed = |key: &'static str| move |e: std::io::Error| format!("{key}: {e}");
    let clock = Clock::start();
    let Start { told, seed, .. } = start;
    let told = Rc::new(told);
    let by_memory = start.memory as f64 * BUFFERS * 1e6 / CONNECTION;
    let places =
        |part: f64| (start.sockets as f64 * part).min(by_memory * part / (CLIENTS + HOSTS)).max(4.0) as usize;
    // Without a counter in the settings no call is ever made, and the address is not used.
    let counter = Counter::new(told.admission.count_timeout, start.counter.unwrap_or(start.listen));
    let room = (start.memory as f64 * 1e6 * LARGE_REPLIES) as usize;
    let room = Rc::new(Cell::new(room));
    let codec = move || HostSide::new(room.clone());
    let kept = Kept::new(places(HOSTS), told.idle_close, told.connect_timeout, codec);
    let peers = match start.peer_listen.filter(|_| told.admission.may_message_peers) {
        Some(own) => {
            let peers =
                Peers::open(own, start.peers, start.peers_all).await.map_err(failed("peer_listen"))?;
            let peers = Rc::new(peers);
            let drained = peers.clone();
            spawn_local(async move { drained.drain().await });
            Some(peers)
        }
        None => None,
    };
    let listener = TcpListener::bind(start.listen).await.map_err(failed("listen"))?;
    let mut term = signal(SignalKind::terminate()).map_err(failed("SIGTERM"))?;
    let mut read_again = signal(SignalKind::hangup()).map_err(failed("SIGHUP"))?;
    let asked = Rc::new(Notify::new());
    let around = Around { kept: kept.clone(), counter: counter.clone(), peers, watch: asked.clone() };
    let connect = told.connect_timeout;
    let longest =
        told.admission.classes.iter().map(|lane| lane.client_timeout).fold(3.0, f64::max).min(600.0);
    let hall = Hall::start(told, seed, clock, around).map_err(failed("timer"))?;
    let discovery = Discovery::start(hall.clone(), start.discovery, &start.known);
    let watching = discovery.clone();
    spawn_local(steadily("discovery", move || watching.clone().run(asked.clone())));
    let ticked = hall.clone();
    spawn_local(steadily("timer", move || route::tick(ticked.clone())));
    if hall.told.admission.may_count {
        let (hall, counter) = (hall.clone(), counter.clone());
        spawn_local(steadily("counter", move || counter.clone().run(hall.clone(), connect)));
    }
    spawn_local(async move {
        while read_again.recv().await.is_some() {
            match configuration::read_again() {
                Ok(Again { discovery: address, counter: other, log }) => {
                    log::info!("configuration read again: discovery {address}, counter {other:?}");
                    log::set_max_level(log);
                    discovery.move_to(address);
                    other.into_iter().for_each(|other| counter.move_to(other));
                }
                Err(line) => log::error!("configuration: {line}; the one in use is kept"),
            }
        }
    });
    spawn_local(async move {
        loop {
            sleep(Duration::from_secs(1)).await;
            kept.close_idle();
        }
    });
    let (stage, stages) = watch::channel(Stage::Serving);
    let (open, strangers, make_room) = (Cell::new(0), Cell::new(0), [Notify::new(), Notify::new()]);
    let door = Rc::new(Door { hall, stage: stages, open, most: places(CLIENTS), strangers, make_room });
    let (taking, listener) = (door.clone(), Rc::new(listener));
    let listening =
        spawn_local(steadily("listener", move || take_in::listen(taking.clone(), listener.clone())));
    log::info!("listening on {}", start.listen);

    term.recv().await;
    log::info!("leaving");
    stage.send(Stage::Leaving).ok();
    sleep(ACCEPT_ON).await;
    stage.send(Stage::Left).ok();
    listening.await.ok();
    let last = Instant::now() + Duration::from_secs_f64(longest + END_MARGIN);
    while door.open.get() > 0 && Instant::now() < last {
        sleep(Duration::from_millis(5)).await;
    }
    log::info!("all answered");
    Ok(())
}

fn begin() -> Result<(), String> {
    let start = configuration::read()?;
    logger::start(&start.name, start.log)?;
    let mut builder = tokio::runtime::Builder::new_current_thread();
    // Not a `LocalSet`: that wakes itself through a descriptor for every task, two system calls each.
    let runtime =
        builder.enable_all().build_local(LocalOptions::default()).map_err(|e| format!("runtime: {e}"))?;
    runtime.block_on(run(start))?;
    // Not by dropping the runtime: what it still holds, copies called off at the most, would be told to a module
    // that could start new ones.
    log::logger().flush();
    std::process::exit(0)
}

fn main() {
    if let Err(line) = begin() {
        eprintln!("archlink-gateway: {line}");
        std::process::exit(2);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_part_that_panics_is_started_anew() {
        let mut builder = tokio::runtime::Builder::new_current_thread();
        let runtime = builder.enable_all().build_local(LocalOptions::default()).unwrap();
        let starts = Rc::new(Cell::new(0));
        let counted = starts.clone();
        let part = move || {
            counted.set(counted.get() + 1);
            let nth = counted.get();
            async move { assert!(nth == 3, "a part fails on purpose") }
        };
        runtime.block_on(steadily("test", part));
        assert_eq!(starts.get(), 3);
    }
}
