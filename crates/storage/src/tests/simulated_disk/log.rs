//! Logs on a simulated disk. `okaywal` writes each log to a scratch folder on the file system. Its writes are copied to
//! the simulated disk in the order in which it writes and syncs: the entry, a sync of the file, and, the first time, a
//! sync of the folder.

use super::SimulatedDisk;
use super::image::Write;
use crate::disk::{Disk, Log};
use crate::file_system::open_log;
use okaywal::WriteAheadLog;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

/// Preallocated length of a segment file in the scratch folder.
const SEGMENT_BYTES: u32 = 2048;

const FILE_NAME: &str = "wal-1";

pub struct SimulatedLog {
    disk: SimulatedDisk,
    file: PathBuf,
    log: WriteAheadLog,
    scratch_folder: PathBuf,
    /// The contents of the segment file when it was last copied.
    copied: Vec<u8>,
    is_folder_synced: bool,
}

impl SimulatedLog {
    pub fn create(disk: SimulatedDisk, folder: &Path) -> io::Result<SimulatedLog> {
        let scratch_folder = new_scratch_folder();
        disk.perform(|image| image.create_folder(folder))?;
        let mut log = SimulatedLog {
            disk,
            file: folder.join(FILE_NAME),
            log: open_log(&scratch_folder, SEGMENT_BYTES)?,
            scratch_folder,
            copied: Vec::new(),
            is_folder_synced: false,
        };
        log.copy_changes()?;
        Ok(log)
    }

    /// Copies the bytes of the segment file that changed since the last copy to the simulated disk.
    fn copy_changes(&mut self) -> io::Result<()> {
        let contents = fs::read(self.scratch_folder.join(FILE_NAME))?;
        let start = contents.iter().zip(&self.copied).take_while(|(new, old)| new == old).count();
        let end = contents.iter().rposition(|&byte| byte != 0).map_or(0, |last| last + 1).max(start);
        let write = Write::Data { offset: start, bytes: contents[start..end].to_vec() };
        self.copied = contents;
        self.disk.perform(|image| image.write(&self.file, write))
    }
}

fn new_scratch_folder() -> PathBuf {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("archlink-storage-scratch-{}-{number}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    fs::remove_dir_all(&folder).ok();
    folder
}

impl Log for SimulatedLog {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.log.append(bytes)?;
        self.copy_changes()?;
        self.disk.sync(&self.file)?;
        if !self.is_folder_synced {
            self.disk.sync(self.file.parent().unwrap())?;
            self.is_folder_synced = true;
        }
        Ok(())
    }
}

impl Drop for SimulatedLog {
    fn drop(&mut self) {
        fs::remove_dir_all(&self.scratch_folder).ok();
    }
}
