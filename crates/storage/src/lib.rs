//! What a control gateway has on disk: the set of voters and its slots. A log of slots as they change, and a snapshot that
//! stands for all that was in the log before it. Owns the folder. Must never say that something is kept before it is
//! synced, nor give back a state that mixes two moments: what cannot be read whole counts as lost.
#![forbid(unsafe_code)]

mod before;
mod disk;
mod format;
mod keeper;

use archlink_messages::{Duty, Muster, Post, Register, Slot};
use disk::{Disk, Files};
use error_stack::{Report, ResultExt};
use keeper::Keeper;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;
use std::{fmt, thread};

/// Writes that wait for the disk; a voter that finds the queue full stays silent, which is what a hanging disk means.
const QUEUE: usize = 256;
/// A disk that refused is tried again after this.
const AGAIN: Duration = Duration::from_millis(200);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogbookError {
    /// The folder can't be made, read or written.
    Disk,
    /// What is there is not a logbook's, or is damaged.
    Damaged,
    /// A later version of this program wrote it.
    Later,
}

impl fmt::Display for LogbookError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            LogbookError::Disk => "the data folder can't be used",
            LogbookError::Damaged => "the data folder holds something damaged",
            LogbookError::Later => "the data folder is a later version's",
        })
    }
}

impl std::error::Error for LogbookError {}

/// All that is kept. A muster that isn't known: nothing has ever been kept here.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Who votes. A disk that names it vouches for the slots beside it.
    pub muster: Muster,
    pub slots: BTreeMap<Register, Slot>,
    /// The last grant of each duty.
    pub posts: BTreeMap<Duty, Post>,
}

/// What is added: nothing named stays as it was.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Entered {
    pub muster: Option<Muster>,
    pub slots: Vec<(Register, Slot)>,
    pub posts: Vec<Post>,
}

impl State {
    fn enter(&mut self, entered: Entered) {
        if let Some(muster) = entered.muster {
            self.muster = muster;
        }
        self.slots.extend(entered.slots);
        self.posts.extend(entered.posts.into_iter().map(|post| (post.duty, post)));
    }
}

struct Job {
    entered: Entered,
    kept: Box<dyn FnOnce() + Send>,
}

/// The way to the disk; a thread of its own does the writing.
#[derive(Clone)]
pub struct Logbook {
    jobs: SyncSender<Job>,
}

impl Logbook {
    /// Opens the folder and gives back what was kept there.
    ///
    /// # Errors
    /// `Disk` where the folder can't be used now, also where another process has it; the others name the file, and nothing
    /// in the folder has been altered.
    pub fn open(folder: &Path) -> Result<(Logbook, State), Report<LogbookError>> {
        Logbook::open_on(Files::default(), folder, AGAIN)
    }

    fn open_on(
        disk: impl Disk<Log: Send> + Send + 'static,
        folder: &Path,
        again: Duration,
    ) -> Result<(Logbook, State), Report<LogbookError>> {
        let keeper = Keeper::open(disk, folder, keeper::CHECKPOINT)?;
        let found = keeper.state().clone();
        let (jobs, queue) = sync_channel(QUEUE);
        thread::Builder::new()
            .name("logbook".into())
            .spawn(move || keep(keeper, &queue, again))
            .change_context(LogbookError::Disk)?;
        Ok((Logbook { jobs }, found))
    }

    /// Has something kept, and `kept` called from the writing thread once it is, in the order of the calls. False where
    /// too much is waiting already.
    pub fn enter(&self, entered: Entered, kept: impl FnOnce() + Send + 'static) -> bool {
        self.jobs.try_send(Job { entered, kept: Box::new(kept) }).is_ok()
    }
}

/// What waits goes to disk together: one sync for all. The last word on each thing is what is kept.
fn together(jobs: &[Job]) -> Entered {
    let mut all = Entered::default();
    for job in jobs {
        all.muster = job.entered.muster.clone().or(all.muster);
        for (register, slot) in &job.entered.slots {
            all.slots.retain(|(r, _)| r != register);
            all.slots.push((*register, slot.clone()));
        }
        for post in &job.entered.posts {
            all.posts.retain(|p| p.duty != post.duty);
            all.posts.push(*post);
        }
    }
    all
}

fn keep<D: Disk>(mut keeper: Keeper<D>, queue: &Receiver<Job>, again: Duration) {
    while let Ok(job) = queue.recv() {
        let jobs: Vec<Job> = std::iter::once(job).chain(queue.try_iter().take(QUEUE)).collect();
        let all = together(&jobs);
        if all.muster.is_some() || !all.slots.is_empty() || !all.posts.is_empty() {
            keeper.keep(all, again);
        }
        jobs.into_iter().for_each(|job| (job.kept)());
        // Nobody waits for this but what comes next.
        keeper.tidy();
    }
}

#[cfg(test)]
mod made_up;
#[cfg(test)]
mod tests;
