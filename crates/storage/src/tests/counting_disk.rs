//! An in-memory disk that counts the bytes written, the syncs and the bytes in use.

use crate::disk::{Disk, Log};
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

/// Preallocated length of a segment file, as on the file system.
pub const SEGMENT_BYTES: usize = 256 * 1024;

/// Bytes that `okaywal` adds to an entry: marker and id, chunk marker and length, checksum, end marker.
const ENTRY_OVERHEAD_BYTES: usize = 19;

#[derive(Clone, Default)]
pub struct CountingDisk {
    files: Arc<Mutex<BTreeMap<PathBuf, Vec<u8>>>>,
    counts: Arc<Mutex<Counts>>,
}

#[derive(Clone, Copy, Default)]
pub struct Counts {
    pub bytes_written: usize,
    pub syncs: usize,
    pub max_bytes_on_disk: usize,
}

impl CountingDisk {
    pub fn counts(&self) -> Counts {
        *self.counts.lock().unwrap()
    }

    fn append(&self, file: &Path, bytes: &[u8], truncate: bool) {
        let mut files = self.files.lock().unwrap();
        let file = files.entry(file.to_path_buf()).or_default();
        if truncate {
            file.clear();
        }
        file.extend(bytes);
        let mut counts = self.counts.lock().unwrap();
        counts.bytes_written += bytes.len();
        counts.max_bytes_on_disk = counts.max_bytes_on_disk.max(files.values().map(Vec::len).sum());
    }
}

impl Disk for CountingDisk {
    type Log = CountingLog;

    fn lock(&mut self, _: &Path) -> io::Result<()> {
        Ok(())
    }

    fn list(&self, folder: &Path) -> io::Result<Vec<String>> {
        let files = self.files.lock().unwrap();
        let names = files.keys().filter_map(|path| path.strip_prefix(folder).ok()?.iter().next());
        Ok(names.map(|name| name.to_string_lossy().into_owned()).collect())
    }

    fn read(&self, file: &Path) -> io::Result<Option<Vec<u8>>> {
        Ok(self.files.lock().unwrap().get(file).cloned())
    }

    fn write(&self, file: &Path, bytes: &[u8]) -> io::Result<()> {
        self.append(file, bytes, true);
        Ok(())
    }

    fn sync(&self, _: &Path) -> io::Result<()> {
        self.counts.lock().unwrap().syncs += 1;
        Ok(())
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        let mut files = self.files.lock().unwrap();
        let file = files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        files.insert(to.to_path_buf(), file);
        Ok(())
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        self.files.lock().unwrap().retain(|file, _| !file.starts_with(path));
        Ok(())
    }

    fn create_log(&self, folder: &Path) -> io::Result<CountingLog> {
        let file = folder.join("wal-1");
        self.append(&file, &[0; SEGMENT_BYTES], true);
        Ok(CountingLog { disk: self.clone(), file, used_bytes: 0 })
    }
}

pub struct CountingLog {
    disk: CountingDisk,
    file: PathBuf,
    used_bytes: usize,
}

impl Log for CountingLog {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let is_first = self.used_bytes == 0;
        let entry_bytes = bytes.len() + ENTRY_OVERHEAD_BYTES;
        self.used_bytes += entry_bytes;
        self.disk.counts.lock().unwrap().bytes_written += entry_bytes;
        let growth = self.used_bytes.saturating_sub(self.disk.files.lock().unwrap()[&self.file].len());
        self.disk.append(&self.file, &vec![0; growth], false);
        let mut counts = self.disk.counts.lock().unwrap();
        counts.syncs += if is_first { 2 } else { 1 };
        // `entry_bytes` already includes them.
        counts.bytes_written -= growth;
        Ok(())
    }
}
