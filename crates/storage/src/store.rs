//! What stands on disk and how it goes on from there. Every change has a number; a snapshot stands for all changes up to its
//! own, and a log holds those that follow, one after the other. Owns the order of writes; must never let memory be another
//! state than the one that has been kept last, nor remove what no later snapshot stands for.
//!
//! - A change is in memory once it is kept, not before: nothing on disk is ever read back over memory.
//! - A change that the log refused may be in it or not. The log is left as it is, and the change goes to disk as a snapshot
//!   under the same number: found in the one or in the other, it is the same change.
//! - A snapshot is synced before it is renamed, and its folder before the first entry of the new log. Older logs are removed
//!   after that; whichever of their files are kept or lost, their entries are not above the snapshot's number.

use crate::disk::{Disk, Log};
use crate::format::{self, Change};
use crate::{DurableState, StateChange, StorageError, legacy_format};
use error_stack::{Report, ResultExt, bail, ensure};
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// A log of this length is brought into a snapshot: some thousand promises, and small beside any disk.
pub const CHECKPOINT: usize = 192 * 1024;
/// But no sooner than at so many times the snapshot's own length, so that large values are written a quarter more often and
/// not twice.
const SNAPSHOTS: usize = 4;

const SNAPSHOT: &str = "snapshot";
const ASIDE: &str = "snapshot.new";
/// The log's folder before there were numbers.
const BEFORE: &str = "log";
/// Before the number of a log's folder.
const LOG: &str = "log-";

pub struct Keeper<D: Disk> {
    disk: D,
    folder: PathBuf,
    state: DurableState,
    /// Of the last change in `state`.
    number: u64,
    /// None: the next change goes into a snapshot.
    log: Option<D::Log>,
    /// Of the folder that the next log gets; the log in use has the one below.
    next: u64,
    /// Bytes in the log, and how many there may be.
    used: usize,
    room: usize,
    /// The least `room`.
    checkpoint: usize,
}

/// What a folder holds, and where it was read.
pub struct Found {
    pub number: u64,
    pub state: DurableState,
    pub read: Vec<PathBuf>,
    next: u64,
}

impl<D: Disk> Keeper<D> {
    /// Reads what is there and has it outlast a loss of power from here on. Nothing is altered where that can't be read.
    pub fn open(mut disk: D, folder: &Path, checkpoint: usize) -> Result<Keeper<D>, Report<StorageError>> {
        disk.hold(folder).change_context(StorageError::Disk)?;
        let found = find(&disk, folder)?;
        let folder = folder.to_path_buf();
        let (number, state, next) = (found.number, found.state, found.next);
        let mut control_node =
            Keeper { disk, folder, state, number, log: None, next, used: 0, room: 0, checkpoint };
        if let Err(e) = control_node.checkpoint(number, &control_node.state.clone()) {
            log::warn!("disk refused: {e}; goes on from what is there");
            // A disk that is full may still sync.
            let synced = found.read.iter().try_for_each(|path| control_node.disk.sync(path));
            synced.change_context(StorageError::Disk)?;
        }
        Ok(control_node)
    }

    pub fn state(&self) -> &DurableState {
        &self.state
    }

    /// Has something kept, however long the disk refuses; tries again after `again`.
    pub fn keep(&mut self, entered: StateChange, again: Duration) {
        let change = Change::of(&self.state, entered);
        let number = self.number + 1;
        let mut state = self.state.clone();
        change.clone().enter_into(&mut state);
        if let Err(e) = self.append(number, &change) {
            log::warn!("disk refused: {e}");
            // The log is done with: nothing is appended to it before there is a new one.
            while let Err(e) = self.checkpoint(number, &state) {
                log::warn!("disk refused: {e}");
                std::thread::sleep(again);
            }
        }
        (self.number, self.state) = (number, state);
    }

    /// Brings a log that has grown long into a snapshot. Where that is refused the log stays in use.
    pub fn tidy(&mut self) {
        if self.used > self.room
            && let Err(e) = self.checkpoint(self.number, &self.state.clone())
        {
            log::warn!("disk refused a snapshot: {e}");
            self.room = self.used + self.checkpoint;
        }
    }

    fn append(&mut self, number: u64, change: &Change) -> io::Result<()> {
        let Some(log) = &mut self.log else { return Err(io::Error::other("no log could be begun")) };
        let bytes = format::entry(number, change).map_err(io::Error::other)?;
        log.append(&bytes)?;
        self.used += bytes.len();
        Ok(())
    }

    /// Written aside, synced, renamed, and the folder synced: the old snapshot or the new one is there, whole. The same sync
    /// of the folder is for the name of the new log.
    fn checkpoint(&mut self, number: u64, state: &DurableState) -> io::Result<()> {
        let bytes = format::snapshot(number, state).map_err(io::Error::other)?;
        let log = self.folder.join(format!("{LOG}{}", self.next));
        let begun = self.put_aside(&bytes).and_then(|()| {
            // One from a try before; nothing was ever said to be in it.
            self.disk.remove(&log)?;
            let begun = self.disk.begin_log(&log).inspect_err(|e| log::warn!("disk refused a log: {e}")).ok();
            self.disk.rename(&self.folder.join(ASIDE), &self.folder.join(SNAPSHOT))?;
            self.disk.sync(&self.folder)?;
            Ok(begun)
        });
        match begun {
            Ok(begun) => {
                self.log = begun;
                self.next += 1;
                self.used = 0;
                self.room = self.checkpoint.max(SNAPSHOTS * bytes.len());
                self.sweep();
                Ok(())
            }
            Err(e) => {
                // A full disk has other uses for the room.
                for path in [log, self.folder.join(ASIDE)] {
                    self.disk.remove(&path).ok();
                }
                Err(e)
            }
        }
    }

    fn put_aside(&self, bytes: &[u8]) -> io::Result<()> {
        let aside = self.folder.join(ASIDE);
        self.disk.write(&aside, bytes)?;
        self.disk.sync(&aside)
    }

    /// Removes the logs that the snapshot stands for; one that stays is removed the next time.
    fn sweep(&self) {
        for name in self.disk.list(&self.folder).unwrap_or_default() {
            if name == BEFORE || log_of(&name).is_some_and(|log| log + 1 != self.next) {
                self.disk.remove(&self.folder.join(name)).ok();
            }
        }
    }
}

fn log_of(name: &str) -> Option<u64> {
    name.strip_prefix(LOG)?.parse().ok()
}

pub fn read<D: Disk>(disk: &D, file: &Path) -> Result<Option<Vec<u8>>, Report<StorageError>> {
    disk.read(file).change_context(StorageError::Disk).attach_with(|| file.display().to_string())
}

pub fn list<D: Disk>(disk: &D, folder: &Path) -> Result<Vec<String>, Report<StorageError>> {
    disk.list(folder).change_context(StorageError::Disk).attach_with(|| folder.display().to_string())
}

pub fn find<D: Disk>(disk: &D, folder: &Path) -> Result<Found, Report<StorageError>> {
    let mut found =
        Found { number: 0, state: DurableState::default(), read: vec![folder.to_path_buf()], next: 1 };
    let path = folder.join(SNAPSHOT);
    if let Some(bytes) = read(disk, &path)? {
        (found.number, found.state) =
            format::read_snapshot(&bytes).attach_with(|| path.display().to_string())?;
        found.read.push(path);
    }
    let names = list(disk, folder)?;
    if found.number == 0 && names.iter().any(|name| name == BEFORE) {
        legacy_format::replay(disk, &folder.join(BEFORE), &mut found)?;
    }
    let mut changes = BTreeMap::new();
    for log in names.iter().filter_map(|name| log_of(name)) {
        found.next = found.next.max(log + 1);
        let path = folder.join(format!("{LOG}{log}"));
        for (name, _) in segments(list(disk, &path)?) {
            changes.extend(read_log(disk, &path.join(&name), found.number)?);
            found.read.push(path.join(name));
        }
        found.read.push(path);
    }
    for (number, change) in changes {
        ensure!(
            number == found.number + 1,
            Report::new(StorageError::Damaged).attach(format!(
                "{}: entry {number} is there, but nothing of {}",
                folder.display(),
                found.number + 1
            ))
        );
        found.number = number;
        change.enter_into(&mut found.state);
    }
    Ok(found)
}

/// okaywal's files that are in use, by their first entry's id.
pub fn segments(names: Vec<String>) -> Vec<(String, u64)> {
    let id = |name: &str| name.strip_prefix("wal-")?.parse().ok();
    let mut files: Vec<(String, u64)> =
        names.into_iter().filter_map(|name| id(&name).map(|id| (name, id))).collect();
    files.sort_by_key(|(_, id)| *id);
    files
}

/// Entries above a number. An entry at the end that is not whole was never said to be kept; one with whole ones behind it
/// was, and has been damaged since.
fn read_log<D: Disk>(disk: &D, path: &Path, above: u64) -> Result<Vec<(u64, Change)>, Report<StorageError>> {
    let named = || path.display().to_string();
    let bytes = read(disk, path)?.unwrap_or_default();
    let segment = format::segment(&bytes, 1);
    let mut changes = Vec::new();
    for entry in &segment.entries {
        changes.push(format::read_entry(entry).attach_with(named)?);
    }
    let last = changes.last().map_or(above, |(number, _)| *number);
    let used = bytes.iter().rposition(|&byte| byte != 0).map_or(0, |last| last + 1);
    let rest = &bytes[segment.end.min(used)..used];
    if let Some(later) = format::whole_entry_within(rest).find(|number| *number > last.max(above) + 1) {
        bail!(Report::new(StorageError::Damaged).attach(format!(
            "{}: what comes after entry {last} can't be read, but {later} is there",
            named()
        )));
    }
    changes.retain(|(number, _)| *number > above);
    Ok(changes)
}
