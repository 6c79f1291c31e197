//! How much is written, held and left on the disk, and what waits for it.

use super::{folder, open, slot, value};
use crate::disk::{Disk, Log};
use crate::simulated_disk::{FOLDER, MadeUp, Platter};
use crate::store::{CHECKPOINT, Keeper, find};
use crate::{QUEUE, StateChange, Storage};
use archlink_messages::Register;
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What a log's file is at once.
const SEGMENT: usize = 256 * 1024;

/// Counts what is done.
#[derive(Clone, Default)]
struct Counted {
    files: Arc<Mutex<BTreeMap<PathBuf, Vec<u8>>>>,
    counts: Arc<Mutex<Counts>>,
}

#[derive(Clone, Copy, Default)]
struct Counts {
    bytes: usize,
    syncs: usize,
    most_on_disk: usize,
}

impl Counted {
    fn put(&self, file: &Path, bytes: &[u8], anew: bool) {
        let mut files = self.files.lock().unwrap();
        let file = files.entry(file.to_path_buf()).or_default();
        if anew {
            file.clear();
        }
        file.extend(bytes);
        let mut counts = self.counts.lock().unwrap();
        counts.bytes += bytes.len();
        counts.most_on_disk = counts.most_on_disk.max(files.values().map(Vec::len).sum());
    }
}

impl Disk for Counted {
    type Log = CountedLog;

    fn hold(&mut self, _: &Path) -> io::Result<()> {
        Ok(())
    }

    fn list(&self, folder: &Path) -> io::Result<Vec<String>> {
        let files = self.files.lock().unwrap();
        let first = files.keys().filter_map(|path| path.strip_prefix(folder).ok()?.iter().next());
        Ok(first.map(|name| name.to_string_lossy().into_owned()).collect())
    }

    fn read(&self, file: &Path) -> io::Result<Option<Vec<u8>>> {
        Ok(self.files.lock().unwrap().get(file).cloned())
    }

    fn write(&self, file: &Path, bytes: &[u8]) -> io::Result<()> {
        self.put(file, bytes, true);
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

    fn begin_log(&self, folder: &Path) -> io::Result<CountedLog> {
        self.put(&folder.join("wal-1"), &[0; SEGMENT], true);
        Ok(CountedLog { disk: self.clone(), file: folder.join("wal-1"), used: 0 })
    }
}

struct CountedLog {
    disk: Counted,
    file: PathBuf,
    used: usize,
}

impl Log for CountedLog {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let first = self.used == 0;
        // Mark and id, mark and length, checksum, mark.
        self.used += bytes.len() + 19;
        self.disk.counts.lock().unwrap().bytes += bytes.len() + 19;
        let longer = self.used.saturating_sub(self.disk.files.lock().unwrap()[&self.file].len());
        self.disk.put(&self.file, &vec![0; longer], false);
        let mut counts = self.disk.counts.lock().unwrap();
        counts.syncs += if first { 2 } else { 1 };
        // Counted twice above.
        counts.bytes -= longer;
        Ok(())
    }
}

/// Through ten thousand changes the disk holds at most two snapshots, the log at its longest with one change more, and the
/// file of the next log. A change costs few syncs and little more than its own bytes; a promise on a large value some tens.
#[test]
fn disk_and_costs_stay_bounded() {
    for (size, changes) in [(1_000, 10_000), (200_000, 400), (1_000_000, 100)] {
        let disk = Counted::default();
        let mut control_node = Keeper::open(disk.clone(), Path::new(FOLDER), CHECKPOINT).unwrap();
        let mut keep = |entered| {
            let before = *disk.counts.lock().unwrap();
            control_node.keep(entered, Duration::ZERO);
            let bytes = disk.counts.lock().unwrap().bytes - before.bytes;
            control_node.tidy();
            bytes
        };
        for n in 1..=changes {
            keep(value(n, size));
            let mut promised = slot(n, size);
            promised.promised.round += 1;
            let promise = keep(StateChange {
                acceptors: vec![(Register::Configuration, promised)],
                ..StateChange::default()
            });
            assert!(promise < 100, "{promise}");
        }
        let counts = *disk.counts.lock().unwrap();
        let whole = size + 200;
        let log = SEGMENT.max(CHECKPOINT.max(4 * whole) + whole);
        assert!(counts.most_on_disk <= 2 * whole + log + SEGMENT, "{size}: {}", counts.most_on_disk);
        let a_change = counts.bytes as f64 / changes as f64;
        let syncs = counts.syncs as f64 / (2 * changes) as f64;
        println!(
            "values of {size}: {a_change:.0} bytes for a value and a promise, {syncs:.2} syncs a change"
        );
        // The value, a quarter of a snapshot, a share of the zeros that a log begins with, and the promise; and the start.
        let zeros = SEGMENT as f64 * (whole as f64 / CHECKPOINT as f64).min(0.25);
        let start = 2 * (SEGMENT + whole);
        let most = 1.25 * whole as f64 + zeros + 600.0 + start as f64 / changes as f64;
        assert!(a_change < most, "{size}: {a_change}, {most}");
        assert!(syncs < 2.0, "{size}: {syncs}");
    }
}

/// Values larger than a file of the log, on the file system.
#[test]
fn a_value_larger_than_a_file_of_the_log_is_kept() {
    let folder = folder("large");
    for round in 1..9 {
        let (book, found) = open(&folder);
        assert_eq!(
            found.acceptors.get(&Register::Configuration),
            (round > 1).then(|| slot(round - 1, 1_000_000)).as_ref()
        );
        (0..=round % 3).for_each(|_| super::enter(&book, value(round, 1_000_000)));
    }
    std::fs::remove_dir_all(&folder).unwrap();
}

/// While the disk hangs, so many changes wait and no more; what waited is one entry. What found no room leaves no trace.
#[test]
fn what_waits_is_written_together_and_what_finds_no_room_is_not_written() {
    let disk = MadeUp::new(Platter::empty());
    let (book, _) = Storage::open_on(disk.clone(), Path::new(FOLDER), Duration::ZERO).unwrap();
    let before = find(&disk, Path::new(FOLDER)).unwrap().number;
    let ((hangs, hung), (go, gone)) = (channel(), channel::<()>());
    disk.watch(move |_, _| {
        hangs.send(()).unwrap_or_default();
        gone.recv().unwrap_or_default();
    });
    let (sent, kept) = channel();
    let enter = |n: u64| {
        let sent = sent.clone();
        book.enter(value(n, 9), move || sent.send(n).unwrap_or_default())
    };
    assert!(enter(0));
    hung.recv().unwrap();
    let waiting = QUEUE as u64;
    assert!((1..=waiting).all(enter));
    assert!(!enter(waiting + 1));
    drop(go);
    assert!((0..=waiting).all(|n| kept.recv().unwrap() == n));
    let found = find(&disk, Path::new(FOLDER)).unwrap();
    assert_eq!(
        (found.number - before, &found.state.acceptors[&Register::Configuration]),
        (2, &slot(waiting, 9))
    );
}
