//! The control plane: one control gateway as a whole, and the operators' command line to it. Owns the order of start and
//! end. Must never take part in a decision.
#![forbid(unsafe_code)]

pub mod admin_client;
mod admin_commands;
mod admin_queries;
mod admin_server;
mod answer_names;
mod calls;
mod disaster_recovery;
mod host_discovery;
mod node;
mod peer_identity;
mod peer_links;
#[cfg(test)]
mod simulated_cluster;
mod state_change_log;
#[cfg(test)]
mod tests;
mod voter_admin;
mod write_queue;

use archlink_config::Settings;
use archlink_control_node::node::{ControlNodeState, InitialState};
use archlink_messages::{ControlNode, VoterSet};
use archlink_runtime::Clock;
use archlink_storage::{StateChange, Storage, StorageError};
use error_stack::{Report, ResultExt};
use node::Node;
use std::fmt;
use std::net::{SocketAddr, SocketAddrV4};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::sleep;
use write_queue::Disk;

/// The core's ticks: far shorter than anything it waits for.
const TICK: Duration = Duration::from_millis(50);
/// `CatchUp` where the operators name none, in seconds: a lost machine's seat is given away after a third of it.
const MOST_CATCH_UP: f64 = 60.0;
/// After SIGTERM: time for successors to be named and answers to leave.
const LEAVE: Duration = Duration::from_millis(500);
/// A voter that is told to end waits for its seat to be handed over for this part of `Grace` at most.
const HAND_OVER: f64 = 0.85;
/// The same where the operators name no `Grace`, in seconds.
const MOST_HAND_OVER: f64 = 5.0;

/// Why the program does not start, or a command does not come through.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlPlaneError {
    /// The settings file can't be read or is wrong.
    Settings,
    /// The data folder can't be used.
    Disk,
    /// An address can't be listened on, or the system refuses what a server needs.
    Start,
    /// A command's file can't be read, or is no configuration.
    File,
    /// No control gateway was reached, or none answered for good.
    Call,
    /// An order is refused because something else stands.
    Refused,
}

impl fmt::Display for ControlPlaneError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ControlPlaneError::Settings => "the settings file can't be used",
            ControlPlaneError::Disk => "the data folder can't be used",
            ControlPlaneError::Start => "the control gateway can't start",
            ControlPlaneError::File => "the file can't be used",
            ControlPlaneError::Call => "the call did not come through",
            ControlPlaneError::Refused => "the order is refused",
        })
    }
}

impl std::error::Error for ControlPlaneError {}

pub type Outcome<T> = Result<T, Report<ControlPlaneError>>;

/// The settings file that `ARCHLINK_CONFIG` names, checked.
pub fn read_settings() -> Outcome<Settings> {
    let text = archlink_runtime::settings_text().change_context(ControlPlaneError::Settings)?;
    Settings::read(&text).change_context(ControlPlaneError::Settings)
}

async fn bind(address: Option<SocketAddr>, key: &'static str) -> Outcome<TcpListener> {
    let address =
        address.ok_or_else(|| Report::new(ControlPlaneError::Settings).attach(format!("{key}: missing")))?;
    TcpListener::bind(address)
        .await
        .change_context(ControlPlaneError::Start)
        .attach_with(|| format!("{key}: {address}"))
}

/// A disk that is full or hangs at the very moment of a start is waited for: to end would only be to start again. What is
/// damaged stays so.
fn open_patiently(folder: &Path) -> Outcome<(Storage, archlink_storage::DurableState)> {
    const TRIES: u32 = 60;
    const AGAIN: Duration = Duration::from_millis(250);
    for _ in 1..TRIES {
        match Storage::open(folder) {
            Err(e) if *e.current_context() == StorageError::Disk => log::warn!("{e:#}; tried again"),
            opened => return opened.change_context(ControlPlaneError::Disk),
        }
        std::thread::sleep(AGAIN);
    }
    Storage::open(folder).change_context(ControlPlaneError::Disk)
}

/// What the disk says of this gateway's past: the voters and slots that it had, if any of it is left.
fn begin(settings: &Settings, clock: Clock) -> Outcome<(ControlNodeState, Option<Storage>)> {
    let control = settings
        .operator_address
        .ok_or_else(|| Report::new(ControlPlaneError::Settings).attach("Listen.Control: missing"))?;
    let me = archlink_runtime::node_id(settings.ip);
    let mut seeds: Vec<u32> =
        settings.seeds.iter().map(|seed| archlink_runtime::node_id(*seed.ip())).collect();
    seeds.sort_unstable();
    let (logbook, state) = match &settings.data_dir {
        Some(folder) => open_patiently(folder).map(|(book, state)| (Some(book), state))?,
        None => (None, archlink_storage::DurableState::default()),
    };
    let mut voter_set = state.voter_set;
    let remembers = voter_set.is_known();
    if !remembers && settings.first_start {
        // The seeds are the same three everywhere at the very first start, and only then. They are on the disk before a word
        // is said: a first start that dies halfway goes on where it was.
        voter_set = VoterSet::initial(&seeds);
        if let Some(logbook) = &logbook {
            let (told, kept) = std::sync::mpsc::channel();
            let entered = StateChange { voter_set: Some(voter_set.clone()), ..StateChange::default() };
            logbook.enter(entered, move || told.send(()).unwrap_or_default());
            kept.recv().change_context(ControlPlaneError::Disk)?;
        }
    } else if !remembers {
        log::warn!("the disk is empty: silent as a voter until a majority has told what it holds");
    }
    let start = InitialState {
        identity: ControlNode {
            node: me,
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            operator_address: SocketAddrV4::new(settings.ip, control.port()),
        },
        acceptors: voter_set.is_known().then_some(state.acceptors),
        voter_set,
        // A majority is left of so many when as many as `Tolerance` names are lost at once.
        required_voters: 2 * settings.tolerated_losses as usize + 1,
        catch_up: settings.timing_bounds.catch_up.min(MOST_CATCH_UP),
        grants: state.grants.into_values().collect(),
        seed: archlink_runtime::random_seed(),
    };
    Ok((ControlNodeState::new(clock.now(), start), logbook))
}

/// Serves as a control gateway on a runtime of its own thread, until `until` ends; then leaves its duties in order.
pub async fn serve(settings: Settings, until: impl Future<Output = ()>) -> Outcome<()> {
    let clock = Clock::start();
    let (control, logbook) = begin(&settings, clock)?;
    let (kept, mut words) = mpsc::unbounded_channel();
    let offices = [
        bind(settings.operator_address, "Listen.Control").await?,
        bind(settings.directory_address, "Listen.Directory").await?,
    ];
    let inner =
        bind(Some(SocketAddrV4::new(settings.ip, settings.internal_port).into()), "InternalPorts").await?;
    let disk = logbook.map(|logbook| Box::new(logbook) as Box<dyn Disk>);
    let port = Node::new(settings, clock, control, disk, kept);
    let on_disk = port.clone();
    spawn_local(async move {
        while let Some(then) = words.recv().await {
            on_disk.kept(then);
        }
    });
    spawn_local(peer_links::listen(port.clone(), inner));
    spawn_local(peer_links::keep(port.clone()));
    spawn_local(peer_links::follow_seeds(port.clone()));
    for office in offices {
        spawn_local(admin_server::listen(port.clone(), office));
    }
    spawn_local(host_discovery::watch(port.clone()));
    let ticked = port.clone();
    spawn_local(async move {
        loop {
            ticked.tick();
            sleep(TICK).await;
        }
    });
    log::info!("control gateway {} is up", port.settings.name);
    until.await;
    leave(&port).await;
    Ok(())
}

async fn leave(port: &Rc<Node>) {
    log::info!("leaving");
    port.leaving.set(true);
    port.step(|control, now| control.leave(now));
    sleep(LEAVE).await;
    let until = port.clock.now() + (HAND_OVER * port.settings.timing_bounds.grace).min(MOST_HAND_OVER);
    while !port.look(archlink_control_node::node::ControlNodeState::may_shut_down) {
        if port.clock.now() >= until {
            log::warn!("ending with a seat: nobody has taken it in time");
            return;
        }
        sleep(TICK).await;
    }
    // What was said last is still to leave.
    sleep(TICK).await;
}
