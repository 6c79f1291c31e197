//! Folders as they are found: many starts, torn, damaged, later and older ones.

use super::{change, enter, folder, open, slot, value};
use crate::disk::{Log, log_in};
use crate::{DurableState, StateChange, Storage, StorageError, legacy_format};
use archlink_messages::{Register, VoterSet};
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

fn files(folder: &Path) -> BTreeMap<PathBuf, Vec<u8>> {
    let entries = fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    entries
        .flat_map(|path| match path.is_dir() {
            true => files(&path).into_iter().collect::<Vec<_>>(),
            false => vec![(path.clone(), fs::read(&path).unwrap())],
        })
        .collect()
}

/// The folder with other files in it.
fn lay_out(folder: &Path, files: &BTreeMap<PathBuf, Vec<u8>>) {
    fs::remove_dir_all(folder).unwrap();
    for (path, bytes) in files {
        fs::create_dir_all(path.parent().unwrap()).unwrap();
        fs::write(path, bytes).unwrap();
    }
}

fn log_of(files: &BTreeMap<PathBuf, Vec<u8>>) -> PathBuf {
    files.keys().find(|path| path.ends_with("wal-1")).unwrap().clone()
}

/// What was said to be kept is there after each start, also once the log has been brought into the snapshot; and one folder
/// is one logbook's.
#[test]
fn what_was_kept_is_found_again_through_many_checkpoints() {
    let folder = folder("again");
    let mut state = DurableState::default();
    for n in 0..4 {
        let (book, found) = open(&folder);
        assert_eq!(found, state);
        assert_eq!(*Storage::open(&folder).err().unwrap().current_context(), StorageError::Disk);
        for round in 1..150 {
            let entered =
                if round < 20 { change(&state, n * 150 + round) } else { value(n * 150 + round, 3000) };
            state.enter(entered.clone());
            enter(&book, entered);
        }
    }
    assert_eq!(open(&folder).1, state);
    let bytes: usize = files(&folder).values().map(Vec::len).sum();
    assert!(bytes < 600 * 1024, "{bytes}");
    fs::remove_dir_all(&folder).unwrap();
}

/// A log that loses its tail at any byte opens all the same and gives back a state from before, never a mixed or invented
/// one. Before, nearly every cut refused the start.
#[test]
fn a_log_cut_anywhere_opens_with_an_earlier_state() {
    let folder = folder("torn");
    let (book, _) = open(&folder);
    enter(&book, StateChange { voter_set: Some(VoterSet::initial(&[1, 2, 3])), ..StateChange::default() });
    (1..4).for_each(|round| enter(&book, value(round, 30)));
    drop(book);
    let whole = files(&folder);
    let log = log_of(&whole);
    let used = whole[&log].iter().rposition(|&byte| byte != 0).unwrap() + 1;
    let mut last = 0;
    for cut in 0..=used {
        let mut torn = whole.clone();
        torn.get_mut(&log).unwrap()[cut..].fill(0);
        lay_out(&folder, &torn);
        let (_, found) = open(&folder);
        let held = found.acceptors.get(&Register::Configuration);
        let round = held.map_or(0, |held| held.promised.round);
        assert!(
            held.is_none_or(|held| *held == slot(round, 30) && found.voter_set.voters == [1, 2, 3]),
            "cut at {cut}"
        );
        assert!(round >= last, "cut at {cut}");
        last = round;
    }
    assert_eq!(last, 3);
    fs::remove_dir_all(&folder).unwrap();
}

/// Damage and a later version are errors that name the file, never an empty or an older logbook, and nothing is altered.
#[test]
fn damage_and_later_versions_are_named_and_left_alone() {
    let folder = folder("damaged");
    let (book, _) = open(&folder);
    (1..4).for_each(|round| enter(&book, value(round, 30)));
    drop(book);
    open(&folder);
    let (book, _) = open(&folder);
    (4..7).for_each(|round| enter(&book, value(round, 30)));
    drop(book);
    drop(open(&folder).0);
    let (book, _) = open(&folder);
    (7..10).for_each(|round| enter(&book, value(round, 30)));
    drop(book);
    let whole = files(&folder);
    let (log, snapshot) = (log_of(&whole), folder.join("snapshot"));
    let marks: Vec<usize> =
        (0..whole[&log].len()).filter(|&at| whole[&log][at..].starts_with(b"LOGLINE")).collect();
    assert_eq!(marks.len(), 3);
    type Harm = Box<dyn Fn(&mut BTreeMap<PathBuf, Vec<u8>>)>;
    let set = |path: &PathBuf, at: usize, byte: u8| -> Harm {
        let path = path.clone();
        Box::new(move |files| files.get_mut(&path).unwrap()[at] = byte)
    };
    let later = {
        let (log, at) = (log.clone(), marks[2]);
        move |files: &mut BTreeMap<PathBuf, Vec<u8>>| {
            let log = files.get_mut(&log).unwrap();
            log[at + 7] = 99;
            let length = u32::from_le_bytes(log[at - 4..at].try_into().unwrap()) as usize;
            let sum = crc32c::crc32c(&log[at..at + length]);
            log[at + length..at + length + 4].copy_from_slice(&sum.to_le_bytes());
        }
    };
    let (gone, cut) = (snapshot.clone(), snapshot.clone());
    let harms: [(&str, StorageError, Harm); 9] = [
        ("first entry", StorageError::Damaged, set(&log, marks[0] + 30, 255)),
        ("second entry", StorageError::Damaged, set(&log, marks[1] + 30, 255)),
        ("length of the second entry", StorageError::Damaged, set(&log, marks[1] - 2, 255)),
        ("head of the log", StorageError::Damaged, set(&log, 0, 255)),
        ("a byte of the snapshot", StorageError::Damaged, set(&snapshot, 40, 255)),
        ("mark of the snapshot", StorageError::Damaged, set(&snapshot, 0, 255)),
        ("snapshot cut", StorageError::Damaged, Box::new(move |f| f.get_mut(&cut).unwrap().truncate(30))),
        ("snapshot gone", StorageError::Damaged, Box::new(move |f| drop(f.remove(&gone)))),
        ("later entry", StorageError::UnsupportedVersion, Box::new(later)),
    ];
    let later_snapshot = ("later snapshot", StorageError::UnsupportedVersion, set(&snapshot, 7, 99));
    for (what, error, harm) in harms.into_iter().chain([later_snapshot]) {
        let mut harmed = whole.clone();
        harm(&mut harmed);
        lay_out(&folder, &harmed);
        let refused = Storage::open(&folder).err().unwrap_or_else(|| panic!("{what}: opened"));
        assert_eq!(*refused.current_context(), error, "{what}");
        assert!(format!("{refused:?}").contains(folder.to_str().unwrap()), "{what}: {refused:?}");
        assert!(files(&folder) == harmed, "{what}");
    }
    fs::remove_dir_all(&folder).unwrap();
}

/// A log from before the snapshot that came back, or was never removed, does not take the state back: before, its entries
/// were replayed over a newer snapshot. What is left aside counts for nothing.
#[test]
fn an_older_log_beside_a_newer_snapshot_is_passed_over() {
    let folder = folder("older");
    let (book, _) = open(&folder);
    (1..4).for_each(|round| enter(&book, value(round, 30)));
    drop(book);
    let older = files(&folder);
    let (book, _) = open(&folder);
    (4..7).for_each(|round| enter(&book, value(round, 30)));
    drop(book);
    drop(open(&folder));
    drop(open(&folder));
    let mut mixed = files(&folder);
    mixed.insert(log_of(&older), older[&log_of(&older)].clone());
    mixed.insert(folder.join("snapshot.new"), vec![7; 99]);
    lay_out(&folder, &mixed);
    assert_eq!(open(&folder).1.acceptors[&Register::Configuration], slot(6, 30));
    fs::remove_dir_all(&folder).unwrap();
}

/// A folder from before there were numbers, with its log torn at the end, is read once and is a new one from then on.
#[test]
fn a_folder_from_before_the_versions_opens() {
    let folder = folder("before");
    fs::create_dir_all(&folder).unwrap();
    let state = legacy_format::State { voters: vec![1, 2, 3], ..legacy_format::State::default() };
    fs::write(folder.join("snapshot"), postcard::to_stdvec(&state).unwrap()).unwrap();
    let mut log = log_in(&folder.join("log"), 4096).unwrap();
    for round in 1..4 {
        let archlink_messages::AcceptorState { promised, accepted: held } = slot(round, 300);
        let held = held.map(|held| legacy_format::Held {
            proposal: held.proposal,
            stamp: held.revision,
            value: held.value,
        });
        let founders = legacy_format::Slot { promised, held: None };
        let slots = vec![
            (Register::Configuration, legacy_format::Slot { promised, held }),
            (Register::VoterSet, founders),
        ];
        let entered = legacy_format::Entered { slots, ..legacy_format::Entered::default() };
        log.append(&postcard::to_stdvec(&entered).unwrap()).unwrap();
    }
    drop(log);
    let mut torn = files(&folder);
    let bytes = torn.get_mut(&log_of(&torn.clone())).unwrap();
    let used = bytes.iter().rposition(|&byte| byte != 0).unwrap() + 1;
    bytes[used - 100..].fill(0);
    lay_out(&folder, &torn);
    for round in 3..6 {
        let (book, found) = open(&folder);
        assert_eq!(
            (found.voter_set.voters, &found.acceptors[&Register::Configuration]),
            (vec![1, 2, 3], &slot(round - 1, 300))
        );
        assert!(!folder.join("log").exists());
        enter(&book, value(round, 300));
    }
    fs::remove_dir_all(&folder).unwrap();
}
