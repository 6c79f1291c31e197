//! Data folders committed under `fixtures`, one for each version of the format that is still read: they open with every
//! field, and the same values are still written as the same bytes. The write-ahead logs are committed without the zeros at
//! their ends. A change of the format adds a folder; committed files are never changed.

mod legacy;
mod version_1;

use super::{folder, open, persist};
use crate::Storage;
use crate::disk::Log;
use crate::file_system::open_log;
use crate::format::{self, ChangeRecord};
use crate::recovery::decode_snapshot;
use crate::wal_segment::read_segment;
use archlink_messages::ProposalNumber;
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use version_1::SNAPSHOT_NUMBER;

const FIXTURES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/fixtures");
const VERSION_1: &str = "version-1";
const LEGACY: &str = "before-versions";

/// The files in a folder by their paths from it, in order, without the zeros at the ends of write-ahead logs.
fn contents(folder: &Path) -> BTreeMap<String, Vec<u8>> {
    let mut files = BTreeMap::new();
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_str().unwrap().to_string();
        if path.is_dir() {
            files
                .extend(contents(&path).into_iter().map(|(inner, bytes)| (format!("{name}/{inner}"), bytes)));
            continue;
        }
        let mut bytes = fs::read(&path).unwrap();
        if name.starts_with("wal-") {
            bytes.truncate(bytes.iter().rposition(|&byte| byte != 0).map_or(0, |last| last + 1));
        }
        files.insert(name, bytes);
    }
    files
}

fn names(folder: &Path) -> Vec<String> {
    contents(folder).into_keys().collect()
}

fn fixture(name: &str) -> PathBuf {
    Path::new(FIXTURES).join(name)
}

/// A copy of a fixture in a temporary folder of the given name.
fn copy_of_fixture(fixture_name: &str, copy_name: &str) -> PathBuf {
    let copy = folder(copy_name);
    for (name, bytes) in contents(&fixture(fixture_name)) {
        let path = copy.join(name);
        fs::create_dir_all(path.parent().unwrap()).unwrap();
        fs::write(path, bytes).unwrap();
    }
    copy
}

fn proposal(round: u64, node: u32, nonce: u32) -> ProposalNumber {
    ProposalNumber { round, node, nonce }
}

/// Writes a data folder of version 1: the snapshot, and a log with the changes after it. The empty folder gives that log a
/// number of two digits.
fn write_version_1(folder: &Path) {
    fs::create_dir_all(folder.join("log-11")).unwrap();
    let snapshot = format::encode_snapshot(SNAPSHOT_NUMBER, &version_1::snapshot()).unwrap();
    fs::write(folder.join("snapshot"), snapshot).unwrap();
    let (storage, _) = open(folder);
    version_1::changes().into_iter().for_each(|change| persist(&storage, change));
}

/// Writes a legacy data folder: a snapshot and entries without heads, in a log without a number.
fn write_legacy(folder: &Path) {
    fs::create_dir_all(folder).unwrap();
    let snapshot = postcard::to_stdvec(&legacy::snapshot()).unwrap();
    fs::write(folder.join("snapshot"), snapshot).unwrap();
    let mut log = open_log(&folder.join("log"), 4096).unwrap();
    for change in legacy::changes() {
        log.append(&postcard::to_stdvec(&change).unwrap()).unwrap();
    }
}

/// The snapshot and the log together give the state; the start leaves a snapshot of it under the number of the last entry,
/// and an empty log of the next number.
#[test]
fn version_1_folder_opens_with_every_field() {
    let folder = copy_of_fixture(VERSION_1, "fixture-version-1");
    assert_eq!(names(&folder), ["log-12/wal-1", "snapshot"]);
    let (_storage, found) = Storage::open(&folder).unwrap();
    assert_eq!(found, version_1::state());
    assert_eq!(names(&folder), ["log-13/wal-1", "snapshot"]);
    let files = contents(&folder);
    assert_eq!(decode_snapshot(&files["snapshot"]).unwrap(), (0x0102_0304_0506_070e, version_1::state()));
    assert!(read_segment(&files["log-13/wal-1"], 1).entries.is_empty());
    fs::remove_dir_all(&folder).unwrap();
}

/// The snapshot alone, without the log after it.
#[test]
fn version_1_snapshot_decodes_with_every_field() {
    let committed = &contents(&fixture(VERSION_1))["snapshot"];
    assert_eq!(decode_snapshot(committed).unwrap(), (SNAPSHOT_NUMBER, version_1::snapshot()));
}

#[test]
fn version_1_snapshot_and_entries_encode_to_the_committed_bytes() {
    let committed = contents(&fixture(VERSION_1));
    let mut state = version_1::snapshot();
    assert_eq!(format::encode_snapshot(SNAPSHOT_NUMBER, &state).unwrap(), committed["snapshot"]);
    let mut entries = Vec::new();
    for (number, change) in (SNAPSHOT_NUMBER + 1..).zip(version_1::changes()) {
        let record = ChangeRecord::new(&state, change);
        entries.push(format::encode_entry(number, &record).unwrap());
        record.apply_to(&mut state);
    }
    let segment = read_segment(&committed["log-12/wal-1"], 1);
    assert_eq!(segment.entries, entries);
    assert_eq!((segment.end, segment.is_torn), (committed["log-12/wal-1"].len(), false));
}

/// Names and bytes of all files, the framing of the write-ahead log included.
#[test]
fn version_1_folder_is_written_as_the_committed_files() {
    let folder = folder("fixture-write-version-1");
    write_version_1(&folder);
    assert_eq!(contents(&folder), contents(&fixture(VERSION_1)));
    fs::remove_dir_all(&folder).unwrap();
}

/// The voters are the voter set of the first epoch, in order; what is in the place of the present register of voter sets is
/// left out; values have no recent versions. The start leaves a snapshot with a head, and an empty log with a number.
#[test]
fn legacy_folder_opens_with_every_field() {
    let folder = copy_of_fixture(LEGACY, "fixture-legacy");
    assert_eq!(names(&folder), ["log/wal-1", "snapshot"]);
    let (_storage, found) = Storage::open(&folder).unwrap();
    assert_eq!(found, legacy::migrated_state());
    assert_eq!(names(&folder), ["log-1/wal-1", "snapshot"]);
    let files = contents(&folder);
    assert_eq!(decode_snapshot(&files["snapshot"]).unwrap(), (0, legacy::migrated_state()));
    assert!(read_segment(&files["log-1/wal-1"], 1).entries.is_empty());
    fs::remove_dir_all(&folder).unwrap();
}

/// The snapshot alone, without the log after it.
#[test]
fn legacy_snapshot_decodes_with_every_field() {
    let committed = &contents(&fixture(LEGACY))["snapshot"];
    assert_eq!(decode_snapshot(committed).unwrap(), (0, legacy::migrated_snapshot()));
}

/// The legacy types keep the layout of then, whatever becomes of the present ones.
#[test]
fn legacy_types_encode_to_the_committed_files() {
    let folder = folder("fixture-write-legacy");
    write_legacy(&folder);
    assert_eq!(contents(&folder), contents(&fixture(LEGACY)));
    fs::remove_dir_all(&folder).unwrap();
}
