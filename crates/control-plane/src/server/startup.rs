//! The state that a control node starts with: the state on its disk, or at the first start of a cluster the seeds as voters.

use crate::{ControlPlaneError, ControlPlaneResult};
use archlink_config::Settings;
use archlink_control_node::node::{ControlNodeState, InitialState};
use archlink_messages::{ControlNode, VoterSet};
use archlink_runtime::Clock;
use archlink_storage::{DurableState, StateChange, Storage, StorageError};
use error_stack::{Report, ResultExt};
use std::net::SocketAddrV4;
use std::path::Path;
use std::time::Duration;

/// Maximum of `CatchUp` in seconds, and its value if the operators set none. A lost voter is replaced after a third of it.
const MAX_CATCH_UP: f64 = 60.0;
/// Attempts to open a data folder on a disk that is full or hangs. With the pauses in between they take 15 s.
const OPEN_ATTEMPTS: u32 = 60;
/// Pause between two attempts to open the data folder.
const OPEN_RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Opens the data folder. A disk that is full or hangs is retried, because exiting would only cause a restart; corrupted data
/// is an error at once.
fn open_with_retries(folder: &Path) -> ControlPlaneResult<(Storage, DurableState)> {
    for _ in 1..OPEN_ATTEMPTS {
        match Storage::open(folder) {
            Err(e) if *e.current_context() == StorageError::Disk => {
                log::warn!(error:% = format!("{e:#}"); "data folder cannot be opened; retrying");
            }
            opened => return opened.change_context(ControlPlaneError::Disk),
        }
        std::thread::sleep(OPEN_RETRY_PAUSE);
    }
    Storage::open(folder).change_context(ControlPlaneError::Disk)
}

/// The initial voter set at the first start of a cluster: the seeds, which are the same three on every node. It is durable
/// before any message is sent, so that a first start that crashes halfway resumes with the same voters.
fn bootstrap_voters(settings: &Settings, storage: Option<&Storage>) -> ControlPlaneResult<VoterSet> {
    let mut seeds = super::seeds::seed_nodes(settings);
    seeds.sort_unstable();
    let voter_set = VoterSet::initial(&seeds);
    if let Some(storage) = storage {
        let (sender, durable) = std::sync::mpsc::channel();
        let change = StateChange { voter_set: Some(voter_set.clone()), ..StateChange::default() };
        storage.enqueue(change, move || sender.send(()).unwrap_or_default());
        durable.recv().change_context(ControlPlaneError::Disk)?;
    }
    Ok(voter_set)
}

/// Restores the core from the data folder, if the settings name one, and returns it with the opened storage.
pub fn load(settings: &Settings, clock: Clock) -> ControlPlaneResult<(ControlNodeState, Option<Storage>)> {
    let operator_address = settings
        .operator_address
        .ok_or_else(|| Report::new(ControlPlaneError::Settings).attach("Listen.Control: missing"))?;
    let (storage, durable) = match &settings.data_dir {
        Some(folder) => open_with_retries(folder).map(|(storage, durable)| (Some(storage), durable))?,
        None => (None, DurableState::default()),
    };
    let mut voter_set = durable.voter_set;
    if !voter_set.is_known() && settings.first_start {
        voter_set = bootstrap_voters(settings, storage.as_ref())?;
    } else if !voter_set.is_known() {
        log::warn!("storage empty; not voting until a quorum has transferred its state");
    }
    let initial = InitialState {
        identity: ControlNode {
            node: archlink_runtime::node_id(settings.ip),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            operator_address: SocketAddrV4::new(settings.ip, operator_address.port()),
        },
        acceptors: voter_set.is_known().then_some(durable.acceptors),
        voter_set,
        // A majority of these remains when as many nodes as `Tolerance` allows are lost at once.
        required_voters: 2 * settings.tolerated_losses as usize + 1,
        catch_up: settings.timing_bounds.catch_up.min(MAX_CATCH_UP),
        grants: durable.grants.into_values().collect(),
        seed: archlink_runtime::random_seed(),
    };
    Ok((ControlNodeState::new(clock.now(), initial), storage))
}
