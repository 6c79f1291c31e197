//! A simulated disk. On a power loss, the writes since the last sync survive or are lost, independently for each file and
//! directory entry, and completely or in part. The disk can be made to fail operations and to omit syncs.

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

/// Called after each operation with the contents of the disk and the operation's number.
type Observer = Box<dyn FnMut(&DiskImage, u64) + Send>;

struct Inner {
    image: DiskImage,
    /// The number of operations so far: writes, syncs and changes to directory entries.
    operations: u64,
    /// The numbers of the operations that fail.
    failed_operations: Range<u64>,
    /// Decides whether a failed operation takes effect nevertheless.
    rng: Rand64,
    /// Selects the paths whose sync does nothing and reports success: an injected fault.
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
            failed_operations: 0..0,
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

    /// Fails all operations with these numbers. `seed` decides which of them take effect nevertheless.
    pub fn fail_operations(&self, failed_operations: Range<u64>, seed: u128) {
        let mut inner = self.inner();
        (inner.failed_operations, inner.rng) = (failed_operations, Rand64::new(seed));
    }

    /// Turns the sync of the selected paths into an operation that does nothing and reports success.
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
        let fails = inner.failed_operations.contains(&number);
        // A failed operation may take effect nevertheless.
        let mut result = Ok(());
        if !fails || inner.rng.rand_range(0..2) == 0 {
            result = operation(&mut inner.image);
        }
        let Inner { image, observer, .. } = &mut *inner;
        if let Some(observer) = observer {
            observer(image, number);
        }
        if fails { Err(io::ErrorKind::StorageFull.into()) } else { result }
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
        let (fails, is_omitted) = {
            let inner = self.inner();
            (inner.failed_operations.contains(&inner.operations), (inner.is_sync_omitted)(path))
        };
        if is_omitted {
            return self.perform(|_| Ok(()));
        }
        // After a failed sync, pending changes may stay visible without ever becoming durable.
        let reaches_disk = !fails || self.inner().rng.rand_range(0..2) == 0;
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
