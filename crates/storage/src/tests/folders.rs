//! Opening data folders after restarts, with torn logs, with corrupted files, of a later version, and in the legacy format.

use super::{accept_value, acceptor_state, nth_change, open, persist, temporary_folder};
use crate::disk::Log;
use crate::file_system::open_log;
use crate::{DurableState, StateChange, Storage, StorageError, legacy_format};
use archlink_messages::{Register, VoterSet};
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

/// The contents of files by path.
type Files = BTreeMap<PathBuf, Vec<u8>>;

/// Reads all files in a folder and its subfolders.
fn files_in(folder: &Path) -> Files {
    let entries = fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    entries
        .flat_map(|path| match path.is_dir() {
            true => files_in(&path).into_iter().collect::<Vec<_>>(),
            false => vec![(path.clone(), fs::read(&path).unwrap())],
        })
        .collect()
}

/// Replaces the contents of a folder by these files.
fn replace_contents(folder: &Path, files: &Files) {
    fs::remove_dir_all(folder).unwrap();
    for (path, bytes) in files {
        fs::create_dir_all(path.parent().unwrap()).unwrap();
        fs::write(path, bytes).unwrap();
    }
}

/// The path of the only segment file among the files.
fn log_file(files: &Files) -> PathBuf {
    files.keys().find(|path| path.ends_with("wal-1")).unwrap().clone()
}

/// The length without the trailing zeros.
fn used_length(bytes: &[u8]) -> usize {
    bytes.iter().rposition(|&byte| byte != 0).unwrap() + 1
}

/// Also checks that a log that grew long was replaced by a snapshot, and that only one handle at a time can open a folder.
#[test]
fn durable_changes_survive_restarts_and_checkpoints() {
    let folder = temporary_folder("restarts");
    let mut state = DurableState::default();
    for n in 0..4 {
        let (storage, found) = open(&folder);
        assert_eq!(found, state);
        assert_eq!(*Storage::open(&folder).err().unwrap().current_context(), StorageError::Disk);
        for round in 1..150 {
            let change = match round < 20 {
                true => nth_change(&state, n * 150 + round),
                false => accept_value(n * 150 + round, 3000),
            };
            state.apply(change.clone());
            persist(&storage, change);
        }
    }
    assert_eq!(open(&folder).1, state);
    let bytes: usize = files_in(&folder).values().map(Vec::len).sum();
    assert!(bytes < 600 * 1024, "{bytes}");
    fs::remove_dir_all(&folder).unwrap();
}

/// Guards against torn logs that prevent opening, or that are recovered as a state that never existed. At first, almost
/// every truncation point prevented opening.
#[test]
fn log_truncated_anywhere_opens_with_an_earlier_state() {
    let folder = temporary_folder("torn");
    let (storage, _) = open(&folder);
    let voter_set = Some(VoterSet::initial(&[1, 2, 3]));
    persist(&storage, StateChange { voter_set, ..StateChange::default() });
    (1..4).for_each(|round| persist(&storage, accept_value(round, 30)));
    drop(storage);
    let complete = files_in(&folder);
    let log = log_file(&complete);
    let mut last_round = 0;
    for cut in 0..=used_length(&complete[&log]) {
        let mut torn = complete.clone();
        torn.get_mut(&log).unwrap()[cut..].fill(0);
        replace_contents(&folder, &torn);
        let (_, found) = open(&folder);
        let configuration = found.acceptors.get(&Register::Configuration);
        let round = configuration.map_or(0, |acceptor| acceptor.promised.round);
        assert!(
            configuration.is_none_or(|found_acceptor| *found_acceptor == acceptor_state(round, 30)
                && found.voter_set.voters == [1, 2, 3]),
            "cut at {cut}"
        );
        assert!(round >= last_round, "cut at {cut}");
        last_round = round;
    }
    assert_eq!(last_round, 3);
    fs::remove_dir_all(&folder).unwrap();
}

/// Corrupts the files of a folder.
type Corruption = Box<dyn Fn(&mut Files)>;

fn set_byte(path: &Path, offset: usize, byte: u8) -> Corruption {
    let path = path.to_path_buf();
    Box::new(move |files| files.get_mut(&path).unwrap()[offset] = byte)
}

/// Sets a later format version in the entry at `offset` and updates the entry's checksum.
fn set_later_version_of_entry(path: &Path, offset: usize) -> Corruption {
    let path = path.to_path_buf();
    Box::new(move |files| {
        let log = files.get_mut(&path).unwrap();
        log[offset + 7] = 99;
        let length = u32::from_le_bytes(log[offset - 4..offset].try_into().unwrap()) as usize;
        let checksum = crc32c::crc32c(&log[offset..offset + length]);
        log[offset + length..offset + length + 4].copy_from_slice(&checksum.to_le_bytes());
    })
}

/// Creates a folder whose snapshot was written after several restarts and whose log has three entries.
fn write_three_entries_after_a_snapshot(folder: &Path) {
    let (storage, _) = open(folder);
    (1..4).for_each(|round| persist(&storage, accept_value(round, 30)));
    drop(storage);
    open(folder);
    let (storage, _) = open(folder);
    (4..7).for_each(|round| persist(&storage, accept_value(round, 30)));
    drop(storage);
    drop(open(folder).0);
    let (storage, _) = open(folder);
    (7..10).for_each(|round| persist(&storage, accept_value(round, 30)));
    drop(storage);
}

/// Guards against corrupted files, or files of a later version, that open as an empty or earlier state or are altered.
/// The error has to name the folder.
#[test]
fn corruption_and_later_versions_are_reported_and_left_unaltered() {
    let folder = temporary_folder("corrupted");
    write_three_entries_after_a_snapshot(&folder);
    let intact = files_in(&folder);
    let (log, snapshot) = (log_file(&intact), folder.join("snapshot"));
    let entries: Vec<usize> =
        (0..intact[&log].len()).filter(|&offset| intact[&log][offset..].starts_with(b"LOGLINE")).collect();
    assert_eq!(entries.len(), 3);
    let (removed, truncated) = (snapshot.clone(), snapshot.clone());
    let remove: Corruption = Box::new(move |files| drop(files.remove(&removed)));
    let truncate: Corruption = Box::new(move |files| files.get_mut(&truncated).unwrap().truncate(30));
    let cases: [(&str, StorageError, Corruption); 10] = [
        ("first entry", StorageError::Corrupted, set_byte(&log, entries[0] + 30, 255)),
        ("second entry", StorageError::Corrupted, set_byte(&log, entries[1] + 30, 255)),
        ("length of the second entry", StorageError::Corrupted, set_byte(&log, entries[1] - 2, 255)),
        ("header of the log", StorageError::Corrupted, set_byte(&log, 0, 255)),
        ("a byte of the snapshot", StorageError::Corrupted, set_byte(&snapshot, 40, 255)),
        ("magic of the snapshot", StorageError::Corrupted, set_byte(&snapshot, 0, 255)),
        ("snapshot truncated", StorageError::Corrupted, truncate),
        ("snapshot removed", StorageError::Corrupted, remove),
        (
            "entry of a later version",
            StorageError::UnsupportedVersion,
            set_later_version_of_entry(&log, entries[2]),
        ),
        ("snapshot of a later version", StorageError::UnsupportedVersion, set_byte(&snapshot, 7, 99)),
    ];
    for (what, expected, corrupt) in cases {
        let mut corrupted = intact.clone();
        corrupt(&mut corrupted);
        replace_contents(&folder, &corrupted);
        let error = Storage::open(&folder).err().unwrap_or_else(|| panic!("{what}: opened without an error"));
        assert_eq!(*error.current_context(), expected, "{what}");
        assert!(format!("{error:?}").contains(folder.to_str().unwrap()), "{what}: {error:?}");
        assert!(files_in(&folder) == corrupted, "{what}: files were altered");
    }
    fs::remove_dir_all(&folder).unwrap();
}

/// Guards against replaying the entries of an older log over a newer snapshot, as happened once. Such a log may
/// reappear after a power loss, or may never have been removed. An unfinished snapshot has to be ignored as well.
#[test]
fn older_log_beside_a_newer_snapshot_is_ignored() {
    let folder = temporary_folder("older");
    let (storage, _) = open(&folder);
    (1..4).for_each(|round| persist(&storage, accept_value(round, 30)));
    drop(storage);
    let older = files_in(&folder);
    let (storage, _) = open(&folder);
    (4..7).for_each(|round| persist(&storage, accept_value(round, 30)));
    drop(storage);
    drop(open(&folder));
    drop(open(&folder));
    let mut mixed = files_in(&folder);
    mixed.insert(log_file(&older), older[&log_file(&older)].clone());
    mixed.insert(folder.join("snapshot.new"), vec![7; 99]);
    replace_contents(&folder, &mixed);
    assert_eq!(open(&folder).1.acceptors[&Register::Configuration], acceptor_state(6, 30));
    fs::remove_dir_all(&folder).unwrap();
}

/// A legacy log entry in which the configuration register accepts a value of this round.
fn legacy_entry(round: u64) -> Vec<u8> {
    let archlink_messages::AcceptorState { promised, accepted } = acceptor_state(round, 300);
    let accepted = accepted.map(|accepted| legacy_format::AcceptedValue {
        proposal: accepted.proposal,
        revision: accepted.revision,
        value: accepted.value,
    });
    let first_voter_set_vote = legacy_format::AcceptorState { promised, accepted: None };
    let acceptors = vec![
        (Register::Configuration, legacy_format::AcceptorState { promised, accepted }),
        (Register::VoterSet, first_voter_set_vote),
    ];
    postcard::to_stdvec(&legacy_format::StateChange { acceptors, ..Default::default() }).unwrap()
}

/// The legacy log has a torn tail. The folder is read once and is in the present format from then on.
#[test]
fn legacy_folder_is_migrated_at_the_first_start() {
    let folder = temporary_folder("legacy");
    fs::create_dir_all(&folder).unwrap();
    let state = legacy_format::DurableState { voters: vec![1, 2, 3], ..Default::default() };
    fs::write(folder.join("snapshot"), postcard::to_stdvec(&state).unwrap()).unwrap();
    let mut log = open_log(&folder.join("log"), 4096).unwrap();
    (1..4).for_each(|round| log.append(&legacy_entry(round)).unwrap());
    drop(log);
    let mut torn = files_in(&folder);
    let bytes = torn.get_mut(&log_file(&torn.clone())).unwrap();
    let used = used_length(bytes);
    bytes[used - 100..].fill(0);
    replace_contents(&folder, &torn);
    for round in 3..6 {
        let (storage, found) = open(&folder);
        assert_eq!(
            (found.voter_set.voters, &found.acceptors[&Register::Configuration]),
            (vec![1, 2, 3], &acceptor_state(round - 1, 300))
        );
        assert!(!folder.join("log").exists());
        persist(&storage, accept_value(round, 300));
    }
    fs::remove_dir_all(&folder).unwrap();
}
