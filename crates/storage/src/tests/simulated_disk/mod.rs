//! A simulated disk. On a power loss, what was written since the last sync survives or is lost, each file and each name by
//! itself, completely or in part. The disk can refuse operations, and omit syncs.

mod image;
mod log;
mod power_loss;

pub use image::DiskImage;
pub use power_loss::for_each_power_loss;

use crate::disk::Disk;
use image::{Inode, Write};
use log::SimulatedLog;
use oorandom::Rand64;
use std::io;
use std::ops::Range;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard};

/// The data folder on simulated disks.
pub const FOLDER: &str = "simulated";

type Observer = Box<dyn FnMut(&DiskImage, u64) + Send>;

struct Inner {
    image: DiskImage,
    /// Operations done so far: writes, syncs, changes of names.
    operations: u64,
    refused: Range<u64>,
    /// Decides whether a refused operation was done nevertheless.
    rng: Rand64,
    /// Paths whose sync reports success and does nothing: planted faults.
    is_sync_omitted: fn(&Path) -> bool,
    observer: Option<Observer>,
}

#[derive(Clone)]
pub struct SimulatedDisk {
    inner: Arc<Mutex<Inner>>,
}

impl SimulatedDisk {
    pub fn new(image: DiskImage) -> SimulatedDisk {
        let inner = Inner {
            image,
            operations: 0,
            refused: 0..0,
            rng: Rand64::new(7),
            is_sync_omitted: |_| false,
            observer: None,
        };
        SimulatedDisk { inner: Arc::new(Mutex::new(inner)) }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap()
    }

    pub fn image(&self) -> DiskImage {
        self.inner().image.clone()
    }

    pub fn operations(&self) -> u64 {
        self.inner().operations
    }

    /// Refuses all operations of these numbers.
    pub fn refuse(&self, refused: Range<u64>, seed: u128) {
        let mut inner = self.inner();
        (inner.refused, inner.rng) = (refused, Rand64::new(seed));
    }

    pub fn omit_syncs(&self, is_sync_omitted: fn(&Path) -> bool) {
        self.inner().is_sync_omitted = is_sync_omitted;
    }

    /// Calls `observer` after every operation with the contents of the disk and the operation's number.
    pub fn observe(&self, observer: impl FnMut(&DiskImage, u64) + Send + 'static) {
        self.inner().observer = Some(Box::new(observer));
    }

    fn perform(&self, operation: impl FnOnce(&mut DiskImage) -> io::Result<()>) -> io::Result<()> {
        let mut inner = self.inner();
        let number = inner.operations;
        inner.operations += 1;
        let is_refused = inner.refused.contains(&number);
        // A refused operation may have been done nevertheless.
        let mut result = Ok(());
        if !is_refused || inner.rng.rand_range(0..2) == 0 {
            result = operation(&mut inner.image);
        }
        let Inner { image, observer, .. } = &mut *inner;
        if let Some(observer) = observer {
            observer(image, number);
        }
        if is_refused { Err(io::ErrorKind::StorageFull.into()) } else { result }
    }
}

impl Disk for SimulatedDisk {
    type Log = SimulatedLog;

    fn lock(&mut self, _: &Path) -> io::Result<()> {
        Ok(())
    }

    fn list(&self, folder: &Path) -> io::Result<Vec<String>> {
        match self.inner().image.get(folder) {
            Some(Inode::Folder(folder)) => Ok(folder.visible.keys().cloned().collect()),
            Some(Inode::File { .. }) => Err(io::ErrorKind::NotADirectory.into()),
            None => Ok(Vec::new()),
        }
    }

    fn read(&self, file: &Path) -> io::Result<Option<Vec<u8>>> {
        match self.inner().image.get(file) {
            Some(Inode::File { visible, .. }) => Ok(Some(visible.clone())),
            Some(Inode::Folder(_)) => Err(io::ErrorKind::IsADirectory.into()),
            None => Ok(None),
        }
    }

    fn write(&self, file: &Path, bytes: &[u8]) -> io::Result<()> {
        let (first, second) = bytes.split_at(bytes.len() / 2);
        self.perform(|image| image.write(file, Write::Truncate))?;
        self.perform(|image| image.write(file, Write::Data { offset: 0, bytes: first.to_vec() }))?;
        self.perform(|image| image.write(file, Write::Data { offset: first.len(), bytes: second.to_vec() }))
    }

    fn sync(&self, path: &Path) -> io::Result<()> {
        let (is_refused, is_omitted) = {
            let inner = self.inner();
            (inner.refused.contains(&inner.operations), (inner.is_sync_omitted)(path))
        };
        if is_omitted {
            return self.perform(|_| Ok(()));
        }
        // Where the sync is refused, what was pending may stay visible without ever reaching the disk.
        let reaches_disk = !is_refused || self.inner().rng.rand_range(0..2) == 0;
        self.perform(|image| image.sync(path, reaches_disk))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.perform(|image| image.rename(from, to))
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        if self.inner().image.get(path).is_none() {
            return Ok(());
        }
        for name in self.list(path).unwrap_or_default() {
            self.perform(|image| image.remove(&path.join(&name)))?;
        }
        self.perform(|image| image.remove(path))
    }

    fn create_log(&self, folder: &Path) -> io::Result<SimulatedLog> {
        SimulatedLog::create(self.clone(), folder)
    }
}
