//! Compatibility with the data folders committed under `fixtures`, one for each format version that can still be read.
//! They open with every field, and the same values are still written as the same bytes. The segment files are committed
//! without their trailing zeros. A change to the format adds a folder; committed files are never changed.

mod legacy;
mod version_1;

use super::{open, persist, temporary_folder};
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
use version_1::SNAPSHOT_SEQUENCE_NUMBER;

const FIXTURES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/fixtures");
const VERSION_1: &str = "version-1";
const LEGACY: &str = "before-versions";

/// The files in a folder by their relative paths. Segment files are without their trailing zeros.
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

/// The relative paths of the files in a folder.
fn paths(folder: &Path) -> Vec<String> {
    contents(folder).into_keys().collect()
}

/// The path of a committed data folder.
fn fixture(name: &str) -> PathBuf {
    Path::new(FIXTURES).join(name)
}

/// Copies a fixture to a temporary folder with the given name.
fn copy_of_fixture(fixture_name: &str, copy_name: &str) -> PathBuf {
    let copy = temporary_folder(copy_name);
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

/// Writes a data folder of version 1: the snapshot, and a log with the changes after it. The empty folder `log-11` is
/// there so that the log gets a two-digit number.
fn write_version_1(folder: &Path) {
    fs::create_dir_all(folder.join("log-11")).unwrap();
    let snapshot = format::encode_snapshot(SNAPSHOT_SEQUENCE_NUMBER, &version_1::snapshot()).unwrap();
    fs::write(folder.join("snapshot"), snapshot).unwrap();
    let (storage, _) = open(folder);
    version_1::changes().into_iter().for_each(|change| persist(&storage, change));
}

/// Writes a legacy data folder: a snapshot, and a log without a number whose entries have no headers.
fn write_legacy(folder: &Path) {
    fs::create_dir_all(folder).unwrap();
    let snapshot = postcard::to_stdvec(&legacy::snapshot()).unwrap();
    fs::write(folder.join("snapshot"), snapshot).unwrap();
    let mut log = open_log(&folder.join("log"), 4096).unwrap();
    for change in legacy::changes() {
        log.append(&postcard::to_stdvec(&change).unwrap()).unwrap();
    }
}

/// The state is recovered from the snapshot and the log. Opening writes a snapshot of it with the sequence number of
/// the last entry, and creates an empty log with the next log number.
#[test]
fn version_1_folder_opens_with_every_field() {
    let folder = copy_of_fixture(VERSION_1, "fixture-version-1");
    assert_eq!(paths(&folder), ["log-12/wal-1", "snapshot"]);
    let (_storage, found) = Storage::open(&folder).unwrap();
    assert_eq!(found, version_1::state());
    assert_eq!(paths(&folder), ["log-13/wal-1", "snapshot"]);
    let files = contents(&folder);
    assert_eq!(decode_snapshot(&files["snapshot"]).unwrap(), (0x0102_0304_0506_070e, version_1::state()));
    assert!(read_segment(&files["log-13/wal-1"], 1).entries.is_empty());
    fs::remove_dir_all(&folder).unwrap();
}

/// Decodes the snapshot alone, without the log.
#[test]
fn version_1_snapshot_decodes_with_every_field() {
    let committed = &contents(&fixture(VERSION_1))["snapshot"];
    assert_eq!(decode_snapshot(committed).unwrap(), (SNAPSHOT_SEQUENCE_NUMBER, version_1::snapshot()));
}

#[test]
fn version_1_snapshot_and_entries_encode_to_the_committed_bytes() {
    let committed = contents(&fixture(VERSION_1));
    let mut state = version_1::snapshot();
    assert_eq!(format::encode_snapshot(SNAPSHOT_SEQUENCE_NUMBER, &state).unwrap(), committed["snapshot"]);
    let mut entries = Vec::new();
    for (sequence_number, change) in (SNAPSHOT_SEQUENCE_NUMBER + 1..).zip(version_1::changes()) {
        let record = ChangeRecord::new(&state, change);
        entries.push(format::encode_entry(sequence_number, &record).unwrap());
        record.apply_to(&mut state);
    }
    let segment = read_segment(&committed["log-12/wal-1"], 1);
    assert_eq!(segment.entries, entries);
    assert_eq!((segment.end, segment.is_torn), (committed["log-12/wal-1"].len(), false));
}

/// Compares the names and bytes of all files, including the framing of the write-ahead log.
#[test]
fn version_1_folder_is_written_as_the_committed_files() {
    let folder = temporary_folder("fixture-write-version-1");
    write_version_1(&folder);
    assert_eq!(contents(&folder), contents(&fixture(VERSION_1)));
    fs::remove_dir_all(&folder).unwrap();
}

/// The voters become the voter set of the first epoch, in ascending order; the register in the position of the present
/// voter set register is left out; values have no recent versions. Opening writes a snapshot with a header, and creates
/// an empty log with a number.
#[test]
fn legacy_folder_opens_with_every_field() {
    let folder = copy_of_fixture(LEGACY, "fixture-legacy");
    assert_eq!(paths(&folder), ["log/wal-1", "snapshot"]);
    let (_storage, found) = Storage::open(&folder).unwrap();
    assert_eq!(found, legacy::migrated_state());
    assert_eq!(paths(&folder), ["log-1/wal-1", "snapshot"]);
    let files = contents(&folder);
    assert_eq!(decode_snapshot(&files["snapshot"]).unwrap(), (0, legacy::migrated_state()));
    assert!(read_segment(&files["log-1/wal-1"], 1).entries.is_empty());
    fs::remove_dir_all(&folder).unwrap();
}

/// Decodes the snapshot alone, without the log.
#[test]
fn legacy_snapshot_decodes_with_every_field() {
    let committed = &contents(&fixture(LEGACY))["snapshot"];
    assert_eq!(decode_snapshot(committed).unwrap(), (0, legacy::migrated_snapshot()));
}

/// Guards against a change to the layout of the legacy types.
#[test]
fn legacy_types_encode_to_the_committed_files() {
    let folder = temporary_folder("fixture-write-legacy");
    write_legacy(&folder);
    assert_eq!(contents(&folder), contents(&fixture(LEGACY)));
    fs::remove_dir_all(&folder).unwrap();
}
