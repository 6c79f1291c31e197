//! Bounds of what is written, what is on the disk, and what waits for it.

use super::counting_disk::{CountingDisk, SEGMENT_BYTES};
use super::simulated_disk::{DiskImage, FOLDER, SimulatedDisk};
use super::{accept, acceptor, folder, open, persist};
use crate::recovery::recover;
use crate::store::{MIN_CHECKPOINT_BYTES, Store};
use crate::writer::QUEUE_CAPACITY;
use crate::{StateChange, Storage};
use archlink_messages::Register;
use std::path::Path;
use std::sync::mpsc::channel;
use std::time::Duration;

/// Through ten thousand changes the disk contains at most two snapshots, the log at its longest with one change more, and
/// the file of the next log. A change costs few syncs and little more than its own bytes; a promise on a large value costs
/// some tens of bytes.
#[test]
fn disk_usage_and_write_cost_are_bounded() {
    for (value_bytes, changes) in [(1_000, 10_000), (200_000, 400), (1_000_000, 100)] {
        check_bounds(value_bytes, changes);
    }
}

fn check_bounds(value_bytes: usize, changes: u64) {
    let disk = CountingDisk::default();
    let mut store = Store::open(disk.clone(), Path::new(FOLDER), MIN_CHECKPOINT_BYTES).unwrap();
    let mut persist = |change| {
        let before = disk.counts();
        store.persist(change, Duration::ZERO);
        let bytes = disk.counts().bytes_written - before.bytes_written;
        store.checkpoint_if_due();
        bytes
    };
    for n in 1..=changes {
        persist(accept(n, value_bytes));
        let mut promise = acceptor(n, value_bytes);
        promise.promised.round += 1;
        let promise_bytes = persist(StateChange {
            acceptors: vec![(Register::Configuration, promise)],
            ..StateChange::default()
        });
        assert!(promise_bytes < 100, "{promise_bytes}");
    }
    let counts = disk.counts();
    let snapshot = value_bytes + 200;
    let log = SEGMENT_BYTES.max(MIN_CHECKPOINT_BYTES.max(4 * snapshot) + snapshot);
    assert!(
        counts.max_bytes_on_disk <= 2 * snapshot + log + SEGMENT_BYTES,
        "{value_bytes}: {}",
        counts.max_bytes_on_disk
    );
    let bytes_per_change = counts.bytes_written as f64 / changes as f64;
    let syncs_per_change = counts.syncs as f64 / (2 * changes) as f64;
    println!(
        "values of {value_bytes}: {bytes_per_change:.0} bytes for a value and a promise, \
         {syncs_per_change:.2} syncs a change"
    );
    // The value, a quarter of a snapshot, a part of the zeros that a log is preallocated with, the promise, and the start.
    let zeros = SEGMENT_BYTES as f64 * (snapshot as f64 / MIN_CHECKPOINT_BYTES as f64).min(0.25);
    let start = 2 * (SEGMENT_BYTES + snapshot);
    let max_bytes_per_change = 1.25 * snapshot as f64 + zeros + 600.0 + start as f64 / changes as f64;
    assert!(
        bytes_per_change < max_bytes_per_change,
        "{value_bytes}: {bytes_per_change}, {max_bytes_per_change}"
    );
    assert!(syncs_per_change < 2.0, "{value_bytes}: {syncs_per_change}");
}

/// On the file system.
#[test]
fn value_larger_than_a_log_file_is_durable() {
    let folder = folder("large");
    for round in 1..9 {
        let (storage, found) = open(&folder);
        assert_eq!(
            found.acceptors.get(&Register::Configuration),
            (round > 1).then(|| acceptor(round - 1, 1_000_000)).as_ref()
        );
        (0..=round % 3).for_each(|_| persist(&storage, accept(round, 1_000_000)));
    }
    std::fs::remove_dir_all(&folder).unwrap();
}

/// While the disk hangs, so many changes wait and no more. A rejected change leaves no trace.
#[test]
fn queued_changes_are_written_as_one_entry_and_a_rejected_change_is_not_written() {
    let disk = SimulatedDisk::new(DiskImage::empty());
    let (storage, _) = Storage::open_on(disk.clone(), Path::new(FOLDER), Duration::ZERO).unwrap();
    let number_before = recover(&disk, Path::new(FOLDER)).unwrap().sequence_number;
    let ((report_hang, hanging), (release, released)) = (channel(), channel::<()>());
    disk.observe(move |_, _| {
        report_hang.send(()).unwrap_or_default();
        released.recv().unwrap_or_default();
    });
    let (report_durable, durable) = channel();
    let enter = |n: u64| {
        let report_durable = report_durable.clone();
        storage.enqueue(accept(n, 9), move || report_durable.send(n).unwrap_or_default())
    };
    assert!(enter(0));
    hanging.recv().unwrap();
    let capacity = QUEUE_CAPACITY as u64;
    assert!((1..=capacity).all(enter));
    assert!(!enter(capacity + 1));
    drop(release);
    assert!((0..=capacity).all(|n| durable.recv().unwrap() == n));
    let found = recover(&disk, Path::new(FOLDER)).unwrap();
    assert_eq!(
        (found.sequence_number - number_before, &found.state.acceptors[&Register::Configuration]),
        (2, &acceptor(capacity, 9))
    );
}
