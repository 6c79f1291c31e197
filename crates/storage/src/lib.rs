//! What a control gateway has on disk: the set of voters and its slots. A log of slots as they change, and a snapshot that
//! stands for all that was in the log before it. Owns the folder. Must never say that something is kept before it is
//! synced, nor give back a state that mixes two moments: what cannot be read whole counts as lost.
#![forbid(unsafe_code)]

mod disk;
mod format;
mod legacy_format;
mod store;

use archlink_messages::{AcceptorState, LeaseGrant, Register, SingletonRole, VoterSet};
use disk::{Disk, Files};
use error_stack::{Report, ResultExt};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;
use std::{fmt, thread};
use store::Keeper;

/// Writes that wait for the disk; a voter that finds the queue full stays silent, which is what a hanging disk means.
const QUEUE: usize = 256;
/// A disk that refused is tried again after this.
const AGAIN: Duration = Duration::from_millis(200);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StorageError {
    /// The folder can't be made, read or written.
    Disk,
    /// What is there is not a logbook's, or is damaged.
    Damaged,
    /// A later version of this program wrote it.
    UnsupportedVersion,
}

impl fmt::Display for StorageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StorageError::Disk => "the data folder can't be used",
            StorageError::Damaged => "the data folder holds something damaged",
            StorageError::UnsupportedVersion => "the data folder is a later version's",
        })
    }
}

impl std::error::Error for StorageError {}

/// All that is kept. A muster that isn't known: nothing has ever been kept here.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DurableState {
    /// Who votes. A disk that names it vouches for the slots beside it.
    pub voter_set: VoterSet,
    pub acceptors: BTreeMap<Register, AcceptorState>,
    /// The last grant of each duty.
    pub grants: BTreeMap<SingletonRole, LeaseGrant>,
}

/// What is added: nothing named stays as it was.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct StateChange {
    pub voter_set: Option<VoterSet>,
    pub acceptors: Vec<(Register, AcceptorState)>,
    pub grants: Vec<LeaseGrant>,
}

impl DurableState {
    fn enter(&mut self, entered: StateChange) {
        if let Some(voter_set) = entered.voter_set {
            self.voter_set = voter_set;
        }
        self.acceptors.extend(entered.acceptors);
        self.grants.extend(entered.grants.into_iter().map(|grant| (grant.role, grant)));
    }
}

struct Job {
    entered: StateChange,
    kept: Box<dyn FnOnce() + Send>,
}

/// The way to the disk; a thread of its own does the writing.
#[derive(Clone)]
pub struct Storage {
    jobs: SyncSender<Job>,
}

impl Storage {
    /// Opens the folder and gives back what was kept there.
    ///
    /// # Errors
    /// `Disk` where the folder can't be used now, also where another process has it; the others name the file, and nothing
    /// in the folder has been altered.
    pub fn open(folder: &Path) -> Result<(Storage, DurableState), Report<StorageError>> {
        Storage::open_on(Files::default(), folder, AGAIN)
    }

    fn open_on(
        disk: impl Disk<Log: Send> + Send + 'static,
        folder: &Path,
        again: Duration,
    ) -> Result<(Storage, DurableState), Report<StorageError>> {
        let control_node = Keeper::open(disk, folder, store::CHECKPOINT)?;
        let found = control_node.state().clone();
        let (jobs, queue) = sync_channel(QUEUE);
        thread::Builder::new()
            .name("logbook".into())
            .spawn(move || keep(control_node, &queue, again))
            .change_context(StorageError::Disk)?;
        Ok((Storage { jobs }, found))
    }

    /// Has something kept, and `kept` called from the writing thread once it is, in the order of the calls. False where
    /// too much is waiting already.
    pub fn enter(&self, entered: StateChange, kept: impl FnOnce() + Send + 'static) -> bool {
        self.jobs.try_send(Job { entered, kept: Box::new(kept) }).is_ok()
    }
}

/// What waits goes to disk together: one sync for all. The last word on each thing is what is kept.
fn together(jobs: &[Job]) -> StateChange {
    let mut all = StateChange::default();
    for job in jobs {
        all.voter_set = job.entered.voter_set.clone().or(all.voter_set);
        for (register, slot) in &job.entered.acceptors {
            all.acceptors.retain(|(r, _)| r != register);
            all.acceptors.push((*register, slot.clone()));
        }
        for grant in &job.entered.grants {
            all.grants.retain(|p| p.role != grant.role);
            all.grants.push(*grant);
        }
    }
    all
}

fn keep<D: Disk>(mut control_node: Keeper<D>, queue: &Receiver<Job>, again: Duration) {
    while let Ok(job) = queue.recv() {
        let jobs: Vec<Job> = std::iter::once(job).chain(queue.try_iter().take(QUEUE)).collect();
        let all = together(&jobs);
        if all.voter_set.is_some() || !all.acceptors.is_empty() || !all.grants.is_empty() {
            control_node.keep(all, again);
        }
        jobs.into_iter().for_each(|job| (job.kept)());
        // Nobody waits for this but what comes next.
        control_node.tidy();
    }
}

#[cfg(test)]
mod simulated_disk;
#[cfg(test)]
mod tests;
