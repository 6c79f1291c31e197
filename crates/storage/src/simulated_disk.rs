//! A made-up disk. What was written since the last sync is kept or lost by a loss of power, each file and each name by
//! itself, whole or in part; and it refuses when told to. The logs on it are okaywal's: it writes to a scratch folder, and
//! what it wrote is taken over from there, in the order in which it writes and syncs (entry, sync of the file, and the first
//! time sync of the folder).

use crate::disk::{Disk, Log, log_in};
use okaywal::WriteAheadLog;
use oorandom::Rand64;
use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

pub const FOLDER: &str = "made-up";
/// Of the logs in the scratch folder.
const SEGMENT: u32 = 2048;
const SECTOR: usize = 512;

#[derive(Clone)]
enum Write {
    Cut,
    At(usize, Vec<u8>),
}

#[derive(Clone)]
enum Naming {
    Set(String, usize),
    Gone(String),
    Moved(String, String, usize),
}

/// A file or a folder: what a loss of power leaves for sure, what can be seen, and what lies between.
#[derive(Clone)]
enum Thing {
    File { durable: Vec<u8>, seen: Vec<u8>, waiting: Vec<Write> },
    Folder { durable: BTreeMap<String, usize>, seen: BTreeMap<String, usize>, waiting: Vec<Naming> },
}

fn write(bytes: &mut Vec<u8>, write: &Write) {
    match write {
        Write::Cut => bytes.clear(),
        Write::At(at, new) => {
            bytes.resize(bytes.len().max(at + new.len()), 0);
            bytes[*at..at + new.len()].copy_from_slice(new);
        }
    }
}

fn name(names: &mut BTreeMap<String, usize>, naming: &Naming) {
    match naming {
        Naming::Set(name, id) => {
            names.insert(name.clone(), *id);
        }
        Naming::Gone(name) => {
            names.remove(name);
        }
        Naming::Moved(from, to, id) => {
            names.remove(from);
            names.insert(to.clone(), *id);
        }
    }
}

#[derive(Clone)]
pub struct Platter {
    things: Vec<Thing>,
}

impl Platter {
    pub fn empty() -> Platter {
        Platter { things: vec![Self::folder()] }
    }

    fn folder() -> Thing {
        Thing::Folder { durable: BTreeMap::new(), seen: BTreeMap::new(), waiting: Vec::new() }
    }

    fn find(&self, path: &Path) -> Option<usize> {
        path.iter().skip(1).try_fold(0, |id, part| match &self.things[id] {
            Thing::Folder { seen, .. } => seen.get(part.to_str()?).copied(),
            Thing::File { .. } => None,
        })
    }

    fn existing(&self, path: &Path) -> io::Result<usize> {
        self.find(path).ok_or(io::ErrorKind::NotFound.into())
    }

    fn rename_in(&mut self, path: &Path, naming: Naming) -> io::Result<()> {
        let id = self.existing(path.parent().unwrap())?;
        let Thing::Folder { seen, waiting, .. } = &mut self.things[id] else { panic!("not a folder") };
        name(seen, &naming);
        waiting.push(naming);
        Ok(())
    }

    fn add(&mut self, path: &Path, thing: Thing) -> io::Result<usize> {
        self.things.push(thing);
        let id = self.things.len() - 1;
        self.rename_in(path, Naming::Set(last(path), id)).map(|()| id)
    }

    fn write(&mut self, path: &Path, new: Write) -> io::Result<()> {
        let id = match self.find(path) {
            Some(id) => id,
            None => {
                let file = Thing::File { durable: Vec::new(), seen: Vec::new(), waiting: Vec::new() };
                self.add(path, file)?
            }
        };
        let Thing::File { seen, waiting, .. } = &mut self.things[id] else { panic!("not a file") };
        write(seen, &new);
        waiting.push(new);
        Ok(())
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        let id = self.existing(from)?;
        self.rename_in(from, Naming::Moved(last(from), last(to), id))
    }

    /// `truly` false: what waited is seen as before and never gets to the disk by a later sync either.
    fn sync(&mut self, path: &Path, truly: bool) -> io::Result<()> {
        let id = self.existing(path)?;
        match &mut self.things[id] {
            Thing::File { durable, waiting, .. } => {
                waiting.drain(..).filter(|_| truly).for_each(|new| write(durable, &new));
            }
            Thing::Folder { durable, waiting, .. } => {
                waiting.drain(..).filter(|_| truly).for_each(|new| name(durable, &new));
            }
        }
        Ok(())
    }

    fn remove(&mut self, path: &Path) -> io::Result<()> {
        self.existing(path).and_then(|_| self.rename_in(path, Naming::Gone(last(path))))
    }

    /// What a loss of power may leave. `choose` gives one of so many ways.
    pub fn lose(&self, choose: &mut dyn FnMut(u32) -> u32) -> Platter {
        let mut left = self.clone();
        left.lose_within(0, choose);
        left
    }

    fn lose_within(&mut self, id: usize, choose: &mut dyn FnMut(u32) -> u32) {
        match &mut self.things[id] {
            Thing::File { durable, seen, waiting } => {
                for new in waiting.drain(..) {
                    if let Some(new) = torn(new, choose) {
                        write(durable, &new);
                    }
                }
                seen.clone_from(durable);
            }
            Thing::Folder { durable, seen, waiting } => {
                for new in waiting.drain(..) {
                    if choose(2) == 0 {
                        name(durable, &new);
                    }
                }
                seen.clone_from(durable);
                for id in durable.clone().into_values() {
                    self.lose_within(id, choose);
                }
            }
        }
    }
}

/// A write is kept, lost, or kept up to a sector, up to a byte, or but for its first sector.
fn torn(new: Write, choose: &mut dyn FnMut(u32) -> u32) -> Option<Write> {
    let Write::At(at, mut bytes) = new else { return (choose(2) == 0).then_some(Write::Cut) };
    let sector = (SECTOR - at % SECTOR).min(bytes.len());
    match choose(5) {
        0 => Some(Write::At(at, bytes)),
        1 => None,
        2 => Some(Write::At(at + sector, bytes.split_off(sector))),
        3 => {
            bytes.truncate(sector);
            Some(Write::At(at, bytes))
        }
        _ => {
            bytes.truncate(bytes.len() / 2);
            Some(Write::At(at, bytes))
        }
    }
}

fn last(path: &Path) -> String {
    path.file_name().unwrap().to_str().unwrap().to_string()
}

/// Every disk that a loss of power may leave at a moment, where they are no more than `most`; otherwise so many of them and
/// so many drawn ones.
pub fn each_loss(platter: &Platter, most: u64, chance: &mut Rand64, mut check: impl FnMut(Platter)) {
    let mut digits: Vec<(u32, u32)> = Vec::new();
    for _ in 0..most {
        let mut at = 0;
        check(platter.lose(&mut |n| {
            if at == digits.len() {
                digits.push((0, n));
            }
            at += 1;
            digits[at - 1].0
        }));
        while digits.last().is_some_and(|(digit, n)| digit + 1 == *n) {
            digits.pop();
        }
        let Some((digit, _)) = digits.last_mut() else { return };
        *digit += 1;
    }
    for _ in 0..most {
        check(platter.lose(&mut |n| chance.rand_range(0..n.into()) as u32));
    }
}

type Watch = Box<dyn FnMut(&Platter, u64) + Send>;

struct Inner {
    platter: Platter,
    /// Done so far: writes, syncs, names.
    effects: u64,
    refused: Range<u64>,
    /// Draws what a refused act has done nevertheless.
    chance: Rand64,
    /// Paths whose sync says yes and does nothing: planted faults.
    idle: fn(&Path) -> bool,
    watch: Option<Watch>,
}

#[derive(Clone)]
pub struct MadeUp {
    inner: Arc<Mutex<Inner>>,
}

impl MadeUp {
    pub fn new(platter: Platter) -> MadeUp {
        let chance = Rand64::new(7);
        let inner = Inner { platter, effects: 0, refused: 0..0, chance, idle: |_| false, watch: None };
        MadeUp { inner: Arc::new(Mutex::new(inner)) }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap()
    }

    pub fn platter(&self) -> Platter {
        self.inner().platter.clone()
    }

    pub fn effects(&self) -> u64 {
        self.inner().effects
    }

    /// Refuses all writes, syncs and names of these numbers.
    pub fn refuse(&self, refused: Range<u64>, seed: u128) {
        let mut inner = self.inner();
        (inner.refused, inner.chance) = (refused, Rand64::new(seed));
    }

    pub fn idle(&self, idle: fn(&Path) -> bool) {
        self.inner().idle = idle;
    }

    /// Called after every act with what is there then and its number.
    pub fn watch(&self, watch: impl FnMut(&Platter, u64) + Send + 'static) {
        self.inner().watch = Some(Box::new(watch));
    }

    fn effect(&self, effect: impl FnOnce(&mut Platter) -> io::Result<()>) -> io::Result<()> {
        let mut inner = self.inner();
        let number = inner.effects;
        inner.effects += 1;
        let refused = inner.refused.contains(&number);
        // A refused act may have been done all the same.
        let mut result = Ok(());
        if !refused || inner.chance.rand_range(0..2) == 0 {
            result = effect(&mut inner.platter);
        }
        let Inner { platter, watch, .. } = &mut *inner;
        if let Some(watch) = watch {
            watch(platter, number);
        }
        if refused { Err(io::ErrorKind::StorageFull.into()) } else { result }
    }

    fn sync_as(&self, path: &Path) -> io::Result<()> {
        let (refused, idle) = {
            let inner = self.inner();
            (inner.refused.contains(&inner.effects), (inner.idle)(path))
        };
        match (refused, idle) {
            (_, true) => self.effect(|_| Ok(())),
            // Where it is refused, what waited may be there for the eye alone.
            (true, _) => {
                let truly = self.inner().chance.rand_range(0..2) == 0;
                self.effect(|platter| platter.sync(path, truly))
            }
            _ => self.effect(|platter| platter.sync(path, true)),
        }
    }
}

impl Disk for MadeUp {
    type Log = MadeUpLog;

    fn hold(&mut self, _: &Path) -> io::Result<()> {
        Ok(())
    }

    fn list(&self, folder: &Path) -> io::Result<Vec<String>> {
        let inner = self.inner();
        let Some(id) = inner.platter.find(folder) else { return Ok(Vec::new()) };
        match &inner.platter.things[id] {
            Thing::Folder { seen, .. } => Ok(seen.keys().cloned().collect()),
            Thing::File { .. } => Err(io::ErrorKind::NotADirectory.into()),
        }
    }

    fn read(&self, file: &Path) -> io::Result<Option<Vec<u8>>> {
        let inner = self.inner();
        match inner.platter.find(file).map(|id| &inner.platter.things[id]) {
            Some(Thing::File { seen, .. }) => Ok(Some(seen.clone())),
            Some(Thing::Folder { .. }) => Err(io::ErrorKind::IsADirectory.into()),
            None => Ok(None),
        }
    }

    fn write(&self, file: &Path, bytes: &[u8]) -> io::Result<()> {
        self.effect(|platter| platter.write(file, Write::Cut))?;
        let (half, rest) = bytes.split_at(bytes.len() / 2);
        self.effect(|platter| platter.write(file, Write::At(0, half.to_vec())))?;
        self.effect(|platter| platter.write(file, Write::At(half.len(), rest.to_vec())))
    }

    fn sync(&self, path: &Path) -> io::Result<()> {
        self.sync_as(path)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.effect(|platter| platter.rename(from, to))
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        if self.inner().platter.find(path).is_none() {
            return Ok(());
        }
        for name in self.list(path).unwrap_or_default() {
            self.effect(|platter| platter.remove(&path.join(&name)))?;
        }
        self.effect(|platter| platter.remove(path))
    }

    fn begin_log(&self, folder: &Path) -> io::Result<MadeUpLog> {
        static SCRATCH: AtomicU64 = AtomicU64::new(0);
        let scratch = SCRATCH.fetch_add(1, Ordering::Relaxed);
        let scratch = std::env::temp_dir().join(format!("logbook-scratch-{}-{scratch}", std::process::id()));
        fs::remove_dir_all(&scratch).ok();
        self.effect(|platter| platter.add(folder, Platter::folder()).map(drop))?;
        let log = log_in(&scratch, SEGMENT)?;
        let mut log = MadeUpLog {
            disk: self.clone(),
            file: folder.join("wal-1"),
            log,
            scratch,
            taken: Vec::new(),
            named: false,
        };
        log.take_over()?;
        Ok(log)
    }
}

pub struct MadeUpLog {
    disk: MadeUp,
    file: PathBuf,
    log: WriteAheadLog,
    scratch: PathBuf,
    /// What the file held when it was read last.
    taken: Vec<u8>,
    named: bool,
}

impl MadeUpLog {
    fn take_over(&mut self) -> io::Result<()> {
        let new = fs::read(self.scratch.join("wal-1"))?;
        let first = new.iter().zip(&self.taken).take_while(|(new, old)| new == old).count();
        let last = new.iter().rposition(|&byte| byte != 0).map_or(0, |last| last + 1).max(first);
        let written = Write::At(first, new[first..last].to_vec());
        self.taken = new;
        self.disk.effect(|platter| platter.write(&self.file, written))
    }
}

impl Log for MadeUpLog {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.log.append(bytes)?;
        self.take_over()?;
        self.disk.sync(&self.file)?;
        if !self.named {
            self.disk.sync(self.file.parent().unwrap())?;
            self.named = true;
        }
        Ok(())
    }
}

impl Drop for MadeUpLog {
    fn drop(&mut self) {
        fs::remove_dir_all(&self.scratch).ok();
    }
}
