//! What a control gateway has on disk: the set of voters and its slots. A log of slots as they change, and a snapshot that
//! stands for all that was in the log before it. Owns the folder. Must never say that something is kept before it is
//! synced, nor give back a state that mixes two moments: what cannot be read whole counts as lost.
#![forbid(unsafe_code)]

use error_stack::{Report, ResultExt};
use okaywal::{Configuration, Entry, EntryId, LogManager, SegmentReader, WriteAheadLog};
use serde::{Deserialize, Serialize};
use signal::{Duty, Muster, Post, Register, Slot};
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use std::{fmt, thread};

/// Files of the log grow to this and are then brought into the snapshot; a few of them stay small beside any disk.
const SEGMENT: u32 = 256 * 1024;
const CHECKPOINT: u64 = 192 * 1024;
/// Writes that wait for the disk; a voter that finds the queue full stays silent, which is what a hanging disk means.
const QUEUE: usize = 256;
/// A disk that refused is tried again after this.
const AGAIN: Duration = Duration::from_millis(200);

const SNAPSHOT: &str = "snapshot";
const LOG: &str = "log";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogbookError {
    /// The folder can't be made, read or written.
    Disk,
    /// What is there is not a logbook's, or is damaged.
    Damaged,
}

impl fmt::Display for LogbookError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            LogbookError::Disk => "the data folder can't be used",
            LogbookError::Damaged => "the data folder holds something damaged",
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

#[derive(Debug)]
struct Manager {
    folder: PathBuf,
    state: Arc<Mutex<State>>,
}

fn locked(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl LogManager for Manager {
    fn recover(&mut self, entry: &mut Entry<'_>) -> io::Result<()> {
        // An entry that is not whole was never said to be kept.
        let Some(chunks) = entry.read_all_chunks()? else { return Ok(()) };
        for chunk in chunks {
            let entered =
                postcard::from_bytes(&chunk).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
            locked(&self.state).enter(entered);
        }
        Ok(())
    }

    fn checkpoint_to(&mut self, _: EntryId, _: &mut SegmentReader, _: &WriteAheadLog) -> io::Result<()> {
        let state = locked(&self.state).clone();
        write_snapshot(&self.folder, &state)
    }
}

/// Written aside, synced, renamed, and the folder synced: the old one or the new one is there, whole.
fn write_snapshot(folder: &Path, state: &State) -> io::Result<()> {
    let aside = folder.join("snapshot.new");
    let bytes = postcard::to_stdvec(state).map_err(io::Error::other)?;
    let mut file = File::create(&aside)?;
    file.write_all(&bytes)?;
    file.sync_all()?;
    fs::rename(&aside, folder.join(SNAPSHOT))?;
    File::open(folder)?.sync_all()
}

fn open(folder: &Path, state: &Arc<Mutex<State>>) -> io::Result<WriteAheadLog> {
    let manager = Manager { folder: folder.to_path_buf(), state: state.clone() };
    Configuration::default_for(folder.join(LOG))
        .preallocate_bytes(SEGMENT)
        .checkpoint_after_bytes(CHECKPOINT)
        .open(manager)
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
    pub fn open(folder: &Path) -> Result<(Logbook, State), Report<LogbookError>> {
        fs::create_dir_all(folder).change_context(LogbookError::Disk)?;
        let snapshot = match fs::read(folder.join(SNAPSHOT)) {
            Ok(bytes) => postcard::from_bytes(&bytes).change_context(LogbookError::Damaged)?,
            Err(e) if e.kind() == io::ErrorKind::NotFound => State::default(),
            Err(e) => return Err(Report::new(e).change_context(LogbookError::Disk)),
        };
        let state = Arc::new(Mutex::new(snapshot));
        let log = open(folder, &state).change_context(LogbookError::Disk)?;
        let found = locked(&state).clone();
        let (jobs, queue) = sync_channel(QUEUE);
        let folder = folder.to_path_buf();
        thread::Builder::new()
            .name("logbook".into())
            .spawn(move || keep(&folder, &state, Some(log), &queue))
            .change_context(LogbookError::Disk)?;
        Ok((Logbook { jobs }, found))
    }

    /// Has something kept, and `kept` called from the writing thread once it is, in the order of the calls. False where
    /// too much is waiting already.
    pub fn enter(&self, entered: Entered, kept: impl FnOnce() + Send + 'static) -> bool {
        self.jobs.try_send(Job { entered, kept: Box::new(kept) }).is_ok()
    }
}

fn keep(folder: &Path, state: &Arc<Mutex<State>>, mut log: Option<WriteAheadLog>, queue: &Receiver<Job>) {
    while let Ok(job) = queue.recv() {
        // What waits goes to disk together: one sync for all.
        let jobs: Vec<Job> = std::iter::once(job).chain(queue.try_iter()).collect();
        let mut all = Entered::default();
        for job in &jobs {
            all.muster = job.entered.muster.clone().or(all.muster);
            for (register, slot) in &job.entered.slots {
                all.slots.retain(|(r, _)| r != register);
                all.slots.push((*register, slot.clone()));
            }
            all.posts.extend(&job.entered.posts);
        }
        if all.muster.is_some() || !all.slots.is_empty() || !all.posts.is_empty() {
            // Before the commit: a checkpoint may run the moment that it is in the log.
            locked(state).enter(all.clone());
            while !write(&mut log, &all) {
                thread::sleep(AGAIN);
                log = log.or_else(|| open(folder, state).ok());
            }
        }
        jobs.into_iter().for_each(|job| (job.kept)());
    }
}

/// One entry, synced; a log that failed is dropped and opened anew.
fn write(log: &mut Option<WriteAheadLog>, entered: &Entered) -> bool {
    let Some(open) = log.take() else { return false };
    let attempt = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
        let bytes = postcard::to_stdvec(entered).map_err(io::Error::other)?;
        let mut entry = open.begin_entry()?;
        entry.write_chunk(&bytes)?;
        entry.commit().map(|_| open)
    }));
    match attempt {
        Ok(Ok(open)) => {
            *log = Some(open);
            true
        }
        Ok(Err(e)) => {
            log::warn!("disk refused: {e}");
            false
        }
        // The library panics where it can't take back half an entry.
        Err(_) => {
            log::warn!("disk refused: an entry could not be taken back");
            false
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use signal::{Ballot, Held};
    use std::sync::mpsc::channel;

    fn slot(round: u64) -> Slot {
        let ballot = Ballot { round, node: 1, nonce: 2 };
        Slot {
            promised: ballot,
            held: Some(Held {
                ballot,
                stamp: round,
                value: vec![round as u8; 3000].into(),
                marks: Vec::new(),
            }),
        }
    }

    fn folder(name: &str) -> PathBuf {
        let folder = std::env::temp_dir().join(format!("logbook-{}-{name}", std::process::id()));
        fs::remove_dir_all(&folder).ok();
        folder
    }

    fn enter(book: &Logbook, entered: Entered) {
        let (sent, kept) = channel();
        assert!(book.enter(entered, move || sent.send(()).unwrap_or_default()));
        kept.recv().unwrap();
    }

    /// What was said to be kept is there after each start, also once the log has been brought into the snapshot.
    #[test]
    fn what_was_kept_is_found_again_through_many_checkpoints() {
        let folder = folder("again");
        let (book, found) = Logbook::open(&folder).unwrap();
        assert_eq!(found, State::default());
        enter(
            &book,
            Entered { muster: Some(Muster::first(&[1, 2, 3])), slots: Vec::new(), posts: Vec::new() },
        );
        for round in 1..400 {
            enter(
                &book,
                Entered { muster: None, slots: vec![(Register::Chart, slot(round))], posts: Vec::new() },
            );
        }
        drop(book);
        let (_, found) = Logbook::open(&folder).unwrap();
        assert_eq!((found.muster.seats, &found.slots[&Register::Chart]), (vec![1, 2, 3], &slot(399)));
        let bytes: u64 =
            fs::read_dir(folder.join(LOG)).unwrap().map(|f| f.unwrap().metadata().unwrap().len()).sum();
        assert!(bytes < 8 * u64::from(SEGMENT), "{bytes}");
        fs::remove_dir_all(&folder).unwrap();
    }

    /// A file that loses its tail at any byte gives back a state from before, never a mixed or invented one.
    #[test]
    fn a_log_cut_anywhere_gives_back_an_earlier_state() {
        let whole = folder("whole");
        let (book, _) = Logbook::open(&whole).unwrap();
        enter(
            &book,
            Entered { muster: Some(Muster::first(&[1, 2, 3])), slots: Vec::new(), posts: Vec::new() },
        );
        for round in 1..4 {
            enter(
                &book,
                Entered { muster: None, slots: vec![(Register::Chart, slot(round))], posts: Vec::new() },
            );
        }
        let log = fs::read_dir(whole.join(LOG)).unwrap().next().unwrap().unwrap().path();
        let bytes = fs::read(&log).unwrap();
        let used = bytes.iter().rposition(|&b| b != 0).unwrap() + 1;
        for cut in (0..used).step_by(97) {
            let torn = folder("torn");
            fs::create_dir_all(torn.join(LOG)).unwrap();
            let mut rest = bytes[..cut].to_vec();
            rest.resize(bytes.len(), 0);
            fs::write(torn.join(LOG).join(log.file_name().unwrap()), rest).unwrap();
            if let Ok((_, found)) = Logbook::open(&torn) {
                let held = found.slots.get(&Register::Chart);
                assert!(held.is_none_or(|held| (1..4).any(|round| *held == slot(round))), "cut at {cut}");
                assert!(held.is_none() || found.muster.seats == [1, 2, 3], "cut at {cut}");
            }
            fs::remove_dir_all(&torn).unwrap();
        }
        fs::remove_dir_all(&whole).unwrap();
    }

    #[test]
    fn a_damaged_snapshot_is_an_error_and_not_an_empty_logbook() {
        let folder = folder("damaged");
        fs::create_dir_all(&folder).unwrap();
        fs::write(folder.join(SNAPSHOT), [255; 9]).unwrap();
        assert_eq!(*Logbook::open(&folder).err().unwrap().current_context(), LogbookError::Damaged);
        fs::remove_dir_all(&folder).unwrap();
    }
}
