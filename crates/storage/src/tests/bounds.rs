//! Bounds on the bytes written, the bytes on disk and the changes waiting to be written.

use super::counting_disk::{CountingDisk, SEGMENT_BYTES};
use super::simulated_disk::{DiskImage, FOLDER, SimulatedDisk};
use super::{accept_value, acceptor_state, open, persist, temporary_folder};
use crate::recovery::recover;
use crate::store::{MIN_CHECKPOINT_BYTES, Store};
use crate::writer::QUEUE_CAPACITY;
use crate::{StateChange, Storage};
use archlink_messages::Register;
use std::path::Path;
use std::sync::mpsc::channel;
use std::time::Duration;

/// At any time the disk contains at most two snapshots, a log of maximum length plus one change, and the preallocated
/// file of the next log. A change costs few syncs and little more than its own bytes; a promise costs some tens of
/// bytes even if the accepted value is large.
#[test]
fn disk_usage_and_write_cost_are_bounded() {
    for (value_bytes, changes) in [(1_000, 10_000), (200_000, 400), (1_000_000, 100)] {
        check_disk_usage_and_write_cost(value_bytes, changes);
    }
}

/// Persists `changes` pairs of an accepted value and a promise, and checks the bounds.
fn check_disk_usage_and_write_cost(value_bytes: usize, changes: u64) {
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
        persist(accept_value(n, value_bytes));
        let mut promise = acceptor_state(n, value_bytes);
        promise.promised.round += 1;
        let promise_bytes = persist(StateChange {
            acceptors: vec![(Register::Configuration, promise)],
            ..StateChange::default()
        });
        assert!(promise_bytes < 100, "a promise took {promise_bytes} bytes");
    }
    let counts = disk.counts();
    let max_snapshot_bytes = value_bytes + 200;
    let max_log_bytes =
        SEGMENT_BYTES.max(MIN_CHECKPOINT_BYTES.max(4 * max_snapshot_bytes) + max_snapshot_bytes);
    assert!(
        counts.max_bytes_on_disk <= 2 * max_snapshot_bytes + max_log_bytes + SEGMENT_BYTES,
        "values of {value_bytes} bytes: {} bytes on disk",
        counts.max_bytes_on_disk
    );
    let bytes_per_change = counts.bytes_written as f64 / changes as f64;
    let syncs_per_change = counts.syncs as f64 / (2 * changes) as f64;
    println!(
        "values of {value_bytes} bytes: {bytes_per_change:.0} bytes written per value and promise, \
         {syncs_per_change:.2} syncs per change"
    );
    // The value, a quarter of a snapshot, a share of a log's preallocated zeros, the promise, and the cost of opening.
    let preallocated_bytes =
        SEGMENT_BYTES as f64 * (max_snapshot_bytes as f64 / MIN_CHECKPOINT_BYTES as f64).min(0.25);
    let startup_bytes = 2 * (SEGMENT_BYTES + max_snapshot_bytes);
    let max_bytes_per_change =
        1.25 * max_snapshot_bytes as f64 + preallocated_bytes + 600.0 + startup_bytes as f64 / changes as f64;
    assert!(
        bytes_per_change < max_bytes_per_change,
        "values of {value_bytes} bytes: {bytes_per_change} bytes per change, at most {max_bytes_per_change} expected"
    );
    assert!(syncs_per_change < 2.0, "values of {value_bytes} bytes: {syncs_per_change} syncs per change");
}

/// Runs on the file system. Values of 1 MB do not fit into a preallocated segment file.
#[test]
fn value_larger_than_a_log_file_is_durable() {
    let folder = temporary_folder("large");
    for round in 1..9 {
        let (storage, found) = open(&folder);
        assert_eq!(
            found.acceptors.get(&Register::Configuration),
            (round > 1).then(|| acceptor_state(round - 1, 1_000_000)).as_ref()
        );
        (0..=round % 3).for_each(|_| persist(&storage, accept_value(round, 1_000_000)));
    }
    std::fs::remove_dir_all(&folder).unwrap();
}

/// While the disk hangs, `QUEUE_CAPACITY` changes can wait; one more is rejected and never written. The waiting changes are
/// written as one entry.
#[test]
fn queued_changes_are_written_as_one_entry_and_a_rejected_change_is_not_written() {
    let disk = SimulatedDisk::new(DiskImage::empty());
    let (storage, _) = Storage::open_on(disk.clone(), Path::new(FOLDER), Duration::ZERO).unwrap();
    let sequence_number_before = recover(&disk, Path::new(FOLDER)).unwrap().sequence_number;
    let ((report_hang, disk_hangs), (release, released)) = (channel(), channel::<()>());
    disk.observe(move |_, _| {
        report_hang.send(()).unwrap_or_default();
        released.recv().unwrap_or_default();
    });
    let (report_durable, durable) = channel();
    let enqueue = |n: u64| {
        let report_durable = report_durable.clone();
        storage.enqueue(accept_value(n, 9), move || report_durable.send(n).unwrap_or_default())
    };
    assert!(enqueue(0));
    disk_hangs.recv().unwrap();
    let capacity = QUEUE_CAPACITY as u64;
    assert!((1..=capacity).all(enqueue));
    assert!(!enqueue(capacity + 1));
    drop(release);
    assert!((0..=capacity).all(|n| durable.recv().unwrap() == n));
    let found = recover(&disk, Path::new(FOLDER)).unwrap();
    assert_eq!(
        (found.sequence_number - sequence_number_before, &found.state.acceptors[&Register::Configuration]),
        (2, &acceptor_state(capacity, 9))
    );
}
