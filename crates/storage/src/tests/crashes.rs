//! Recovery after a process crash or a power loss, at every disk operation of a run.

use super::simulated_disk::{DiskImage, FOLDER, SimulatedDisk, for_each_power_loss};
use super::{nth_change, state_after};
use crate::recovery::recover;
use crate::store::Store;
use crate::{DurableState, StorageError};
use oorandom::Rand64;
use std::ops::Range;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Small enough that a few changes make a checkpoint due.
const MIN_CHECKPOINT_BYTES: usize = 700;
/// The maximum number of power loss outcomes enumerated after one operation.
const MAX_POWER_LOSSES: u64 = 300;

/// All states of a run in order, and the index of the last one that was reported as durable.
#[derive(Clone, Default)]
struct History {
    states: Vec<DurableState>,
    durable: usize,
}

impl History {
    fn new() -> History {
        History::from(DurableState::default())
    }

    fn from(state: DurableState) -> History {
        History { states: vec![state], durable: 0 }
    }

    /// Recovers the state from a disk and returns its index in the history. It is an error if the state is not in the
    /// history, or precedes the last one that was reported as durable.
    fn recovered_index(&self, image: &DiskImage) -> Result<usize, String> {
        let found = recover(&SimulatedDisk::new(image.clone()), Path::new(FOLDER))
            .map_err(|error| format!("{error:#}"))?;
        match self.states.iter().rposition(|state| *state == found.state) {
            Some(index) if index >= self.durable => Ok(index),
            Some(index) => Err(format!("recovered state {index}, but state {} was durable", self.durable)),
            None => Err(format!(
                "recovered a state that never existed, with sequence number {}",
                found.sequence_number
            )),
        }
    }
}

/// Opens the data folder, and retries while the disk fails.
fn open(disk: &SimulatedDisk) -> Store<SimulatedDisk> {
    loop {
        match Store::open(disk.clone(), Path::new(FOLDER), MIN_CHECKPOINT_BYTES) {
            Err(error) if *error.current_context() == StorageError::Disk => {}
            store => return store.unwrap(),
        }
    }
}

/// Persists the n-th change and records it in the history.
fn persist(store: &mut Store<SimulatedDisk>, history: &Mutex<History>, n: u64) {
    let change = nth_change(store.state(), n);
    {
        let mut history = history.lock().unwrap();
        let next = state_after(history.states.last().unwrap(), change.clone());
        history.states.push(next);
    }
    store.persist(change, Duration::ZERO);
    let mut history = history.lock().unwrap();
    assert_eq!(store.state(), history.states.last().unwrap());
    history.durable = history.states.len() - 1;
    drop(history);
    store.checkpoint_if_due();
}

/// Selects the paths whose sync does nothing and reports success.
type OmittedSyncs = fn(&Path) -> bool;

/// The outcome of checking the disk images that crashes leave.
#[derive(Clone, Default)]
struct CrashReport {
    first_violation: Option<String>,
    images_checked: u64,
}

impl CrashReport {
    fn check(&mut self, history: &History, image: &DiskImage, crash: &str, operation: u64) {
        if self.first_violation.is_some() {
            return;
        }
        self.images_checked += 1;
        if let Err(violation) = history.recovered_index(image) {
            self.first_violation = Some(format!("{crash} after operation {operation}: {violation}"));
        }
    }
}

/// Runs `changes` changes. After each disk operation, checks what a kill of the process and power losses would leave.
fn check_crash_after_every_operation(
    changes: u64,
    failed_operations: Range<u64>,
    omitted_syncs: OmittedSyncs,
) -> CrashReport {
    let disk = SimulatedDisk::new(DiskImage::empty());
    disk.omit_syncs(omitted_syncs);
    disk.fail_operations(failed_operations, 3);
    let history = Arc::new(Mutex::new(History::new()));
    let report = Arc::new(Mutex::new(CrashReport::default()));
    let (observed_history, shared_report) = (history.clone(), report.clone());
    let mut rng = Rand64::new(11);
    disk.observe(move |image, operation| {
        let history = observed_history.lock().unwrap().clone();
        let report = &mut *shared_report.lock().unwrap();
        report.check(&history, image, "process killed", operation);
        for_each_power_loss(image, MAX_POWER_LOSSES, &mut rng, |image| {
            report.check(&history, &image, "power lost", operation);
        });
    });
    let mut store = open(&disk);
    (1..=changes).for_each(|n| persist(&mut store, &history, n));
    report.lock().unwrap().clone()
}

#[test]
fn durable_changes_survive_a_crash_after_any_operation() {
    let report = check_crash_after_every_operation(24, 0..0, |_| false);
    assert_eq!(report.first_violation, None);
    assert!(report.images_checked > 1000, "only {} disk images checked", report.images_checked);
}

/// All operations in a range fail, with different starts of the range. A failed operation may have taken effect
/// nevertheless, and data whose sync failed may be visible but not durable.
#[test]
fn durable_changes_survive_a_crash_while_the_disk_fails() {
    for start in (0..90).step_by(4) {
        let report = check_crash_after_every_operation(12, start..start + 17, |_| false);
        assert_eq!(report.first_violation, None, "failing from operation {start}");
    }
}

/// Checks that the crash tests detect a missing sync, and that each sync is needed: without it a change is lost, or a
/// state is recovered that never existed.
#[test]
fn omitting_any_sync_is_detected() {
    let omissions: [(&str, OmittedSyncs); 4] = [
        ("folder", |path| path == Path::new(FOLDER)),
        ("snapshot before its rename", |path| path.ends_with("snapshot.new")),
        ("folder of the log", |path| path.to_string_lossy().contains("log-") && !path.ends_with("wal-1")),
        ("entry", |path| path.ends_with("wal-1")),
    ];
    for (what, omitted_syncs) in omissions {
        let report = check_crash_after_every_operation(24, 0..0, omitted_syncs);
        assert!(report.first_violation.is_some(), "omitted sync not detected: {what}");
    }
}

/// Guards against a failed write that reverts the state in memory. Once, the write of round 3 failed while the log had
/// round 2: the log was replayed over the state in memory, and the next snapshot had the state of round 2.
#[test]
fn failed_write_never_reverts_the_state_in_memory() {
    for failures in 1..9 {
        let disk = SimulatedDisk::new(DiskImage::empty());
        let history = Mutex::new(History::new());
        let mut store = open(&disk);
        (1..3).for_each(|n| persist(&mut store, &history, n));
        let start = disk.operations();
        disk.fail_operations(start..start + failures, failures.into());
        (3..30).for_each(|n| persist(&mut store, &history, n));
        let history = history.into_inner().unwrap();
        assert_eq!(history.recovered_index(&disk.image()), Ok(29));
    }
}

/// Random changes, disk failures and crashes. Each run continues on the disk that the previous crash left. A change
/// that a crash lost must not reappear later.
#[test]
fn repeated_crashes_and_restarts_preserve_durable_changes() {
    for seed in 0..40 {
        crash_and_restart_repeatedly(seed);
    }
}

fn crash_and_restart_repeatedly(seed: u128) {
    const INCARNATIONS: usize = 8;
    let mut rng = Rand64::new(seed);
    let mut image = DiskImage::empty();
    let mut history = History::new();
    let mut changes = 0;
    for _ in 0..INCARNATIONS {
        let (image_at_crash, history_at_crash) =
            run_until_crash(seed, &mut rng, &image, &history, &mut changes);
        image = match rng.rand_range(0..3) {
            0 => image_at_crash,
            _ => image_at_crash.after_power_loss(&mut |n| rng.rand_range(0..n.into()) as u32),
        };
        history = history_at_crash;
        let index =
            history.recovered_index(&image).unwrap_or_else(|violation| panic!("seed {seed}: {violation}"));
        history.states.truncate(index + 1);
    }
}

/// Opens a disk and persists changes until a randomly drawn operation. Returns the disk and the history right after it.
fn run_until_crash(
    seed: u128,
    rng: &mut Rand64,
    image: &DiskImage,
    history: &History,
    changes: &mut u64,
) -> (DiskImage, History) {
    let disk = SimulatedDisk::new(image.clone());
    let history = Arc::new(Mutex::new(history.clone()));
    let at_crash = Arc::new(Mutex::new(None));
    let (observed_history, captured) = (history.clone(), at_crash.clone());
    let crash_operation = rng.rand_range(1..120);
    disk.observe(move |image, operation| {
        if operation == crash_operation {
            *captured.lock().unwrap() = Some((image.clone(), observed_history.lock().unwrap().clone()));
        }
    });
    let first_failure = rng.rand_range(0..160);
    disk.fail_operations(first_failure..first_failure + rng.rand_range(0..20), rng.rand_u64().into());
    let mut store = open(&disk);
    {
        // A node sends the state that it opened with to others, so that state must already be durable.
        let mut history = history.lock().unwrap();
        let index = history.states.iter().rposition(|state| state == store.state());
        history.durable =
            index.unwrap_or_else(|| panic!("seed {seed}: opened with a state that never existed"));
        let durable = history.durable;
        history.states.truncate(durable + 1);
    }
    while at_crash.lock().unwrap().is_none() {
        *changes += 1;
        persist(&mut store, &history, *changes);
    }
    at_crash.lock().unwrap().take().unwrap()
}

/// A disk that rejects the first write but still syncs can be opened, even if the previous process ended before its
/// last writes were synced. The opened state survives a power loss right after that, and changes succeed once there is
/// space.
#[test]
fn full_disk_does_not_prevent_opening() {
    let disk = SimulatedDisk::new(DiskImage::empty());
    let images = Arc::new(Mutex::new(Vec::new()));
    let observed_images = images.clone();
    disk.observe(move |image, _| observed_images.lock().unwrap().push(image.clone()));
    let history = Mutex::new(History::new());
    let mut store = open(&disk);
    (1..12).for_each(|n| persist(&mut store, &history, n));
    let mut rng = Rand64::new(5);
    for image in images.lock().unwrap().drain(..) {
        let disk = SimulatedDisk::new(image);
        // Fails the first write to the temporary snapshot.
        disk.fail_operations(0..1, 1);
        let mut store = open(&disk);
        let history = Mutex::new(History::from(store.state().clone()));
        for_each_power_loss(&disk.image(), MAX_POWER_LOSSES / 5, &mut rng, |image| {
            assert_eq!(history.lock().unwrap().recovered_index(&image), Ok(0));
        });
        (12..15).for_each(|n| persist(&mut store, &history, n));
        assert_eq!(history.into_inner().unwrap().recovered_index(&disk.image()), Ok(3));
    }
}
