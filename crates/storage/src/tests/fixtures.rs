//! Data folders committed as bytes under `logbook/fixtures`, one for each format version that is still read: they open with
//! every field, and the same values are still written as the same bytes. The write-ahead logs are committed without the
//! zeros at their ends. A change of format adds a folder beside these; the files of a folder that is there stay as they are.

use super::{enter, folder, open};
use crate::disk::{Log, log_in};
use crate::format::{self, Change};
use crate::{DurableState, StateChange, Storage, legacy_format};
use archlink_messages::{
    AcceptedValue, AcceptorState, LeaseGrant, ProposalNumber, Register, SingletonRole, VersionDigest,
    VoterSet,
};
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

const FIXTURES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/fixtures");
const VERSION_1: &str = "version-1";
const BEFORE_VERSIONS: &str = "before-versions";

/// The number of the last change in the snapshot of version 1. Its bytes differ, so that their order is seen.
const SNAPSHOT_NUMBER: u64 = 0x0102_0304_0506_0708;

/// The files in a folder by their paths from it, in order, without the zeros at the ends of write-ahead logs.
fn contents(folder: &Path) -> BTreeMap<String, Vec<u8>> {
    let mut found = BTreeMap::new();
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_str().unwrap().to_string();
        if path.is_dir() {
            found
                .extend(contents(&path).into_iter().map(|(inner, bytes)| (format!("{name}/{inner}"), bytes)));
            continue;
        }
        let mut bytes = fs::read(&path).unwrap();
        if name.starts_with("wal-") {
            bytes.truncate(bytes.iter().rposition(|&byte| byte != 0).map_or(0, |last| last + 1));
        }
        found.insert(name, bytes);
    }
    found
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

/// The acceptor state in the snapshot of the fixture of version 1.
fn version_1_snapshot() -> DurableState {
    DurableState {
        voter_set: VoterSet {
            epoch: 0x1_0002_0003,
            voters: vec![0x0a00_0001, 0x0a00_0102, 0x0a01_0203],
            incoming: vec![0x0a00_0001, 0x0a02_0304],
        },
        acceptors: BTreeMap::from([
            (
                Register::Configuration,
                AcceptorState {
                    promised: proposal(0x100_0000_0009, 0x0a00_0102, 0xdead_beef),
                    accepted: Some(AcceptedValue {
                        proposal: proposal(0x100_0000_0008, 0x0a00_0001, 77),
                        revision: 300,
                        value: "services: [one]\n".into(),
                        recent_versions: vec![
                            VersionDigest { version: 41, digest: *b"0123456789abcdef" },
                            VersionDigest { version: 70_000, digest: *b"fedcba9876543210" },
                        ],
                    }),
                },
            ),
            (
                Register::Evacuations,
                AcceptorState {
                    promised: proposal(0x100_0000_0002, 0x0a01_0203, 5),
                    accepted: Some(AcceptedValue {
                        proposal: proposal(0x100_0000_0001, 0x0a00_0102, 6),
                        revision: 2,
                        value: "zone-a\nzone-b".into(),
                        recent_versions: vec![],
                    }),
                },
            ),
            (
                Register::VoterSet,
                AcceptorState { promised: proposal(0x100_0000_0003, 0x0a00_0001, 8), accepted: None },
            ),
        ]),
        grants: BTreeMap::from([
            (
                SingletonRole::HostDiscovery,
                LeaseGrant { role: SingletonRole::HostDiscovery, holder: 0x0a00_0001, term: 12 },
            ),
            (
                SingletonRole::QuotaCounter,
                LeaseGrant { role: SingletonRole::QuotaCounter, holder: 0x0a00_0102, term: 1300 },
            ),
        ]),
    }
}

/// What the log of the fixture of version 1 adds: a voter set, a slot with its value, a slot of which the promise alone
/// changed (with and without a value that stands), a post, and all of these in one entry.
fn version_1_changes() -> [StateChange; 6] {
    let snapshot = version_1_snapshot();
    let promise = |register: Register, promised: ProposalNumber| {
        (register, AcceptorState { promised, accepted: snapshot.acceptors[&register].accepted.clone() })
    };
    let chart = AcceptedValue {
        proposal: proposal(0x100_0000_000b, 0x0a01_0203, 78),
        revision: 301,
        value: "services: [one, two]\n".into(),
        recent_versions: vec![
            VersionDigest { version: 70_000, digest: *b"fedcba9876543210" },
            VersionDigest { version: 70_001, digest: *b"ABCDEFGHIJKLMNOP" },
        ],
    };
    let chart_slot =
        AcceptorState { promised: proposal(0x100_0000_000b, 0x0a01_0203, 78), accepted: Some(chart.clone()) };
    let chart_promise =
        AcceptorState { promised: proposal(0x100_0000_000d, 0x0a00_0102, 81), accepted: Some(chart) };
    let muster_slot = AcceptorState {
        promised: proposal(0x100_0000_000c, 0x0a02_0304, 80),
        accepted: Some(AcceptedValue {
            proposal: proposal(0x100_0000_000c, 0x0a02_0304, 80),
            revision: 4,
            value: "voter set".into(),
            recent_versions: vec![],
        }),
    };
    [
        StateChange {
            voter_set: Some(VoterSet {
                epoch: 0x1_0002_0004,
                voters: vec![0x0a00_0001, 0x0a02_0304],
                incoming: vec![],
            }),
            ..StateChange::default()
        },
        StateChange { acceptors: vec![(Register::Configuration, chart_slot)], ..StateChange::default() },
        StateChange {
            acceptors: vec![promise(Register::Evacuations, proposal(0x100_0000_0004, 0x0a00_0001, 79))],
            ..StateChange::default()
        },
        StateChange {
            acceptors: vec![promise(Register::VoterSet, proposal(0x100_0000_0005, 0x0a00_0001, 90))],
            ..StateChange::default()
        },
        StateChange {
            grants: vec![LeaseGrant { role: SingletonRole::HostDiscovery, holder: 0x0a02_0304, term: 13 }],
            ..StateChange::default()
        },
        StateChange {
            voter_set: Some(VoterSet {
                epoch: 0x1_0002_0005,
                voters: vec![0x0a00_0001, 0x0a02_0304],
                incoming: vec![0x0a00_0001, 0x0a02_0304, 0x0a03_0405],
            }),
            acceptors: vec![(Register::VoterSet, muster_slot), (Register::Configuration, chart_promise)],
            grants: vec![LeaseGrant { role: SingletonRole::QuotaCounter, holder: 0x0a00_0001, term: 1301 }],
        },
    ]
}

/// Writes a data folder of version 1: the snapshot, and the changes behind it in a log of its own. The empty folder gives
/// that log a number of two digits.
fn write_version_1(folder: &Path) {
    fs::create_dir_all(folder.join("log-11")).unwrap();
    let snapshot = format::snapshot(SNAPSHOT_NUMBER, &version_1_snapshot()).unwrap();
    fs::write(folder.join("snapshot"), snapshot).unwrap();
    let (book, _) = open(folder);
    version_1_changes().into_iter().for_each(|entered| enter(&book, entered));
}

/// The acceptor state in the snapshot of the fixture of before the versions.
fn before_versions_snapshot() -> legacy_format::State {
    legacy_format::State {
        voters: vec![0x0a00_0001, 0x0a00_0102],
        slots: BTreeMap::from([
            (
                Register::Configuration,
                legacy_format::Slot {
                    promised: proposal(300, 0x0a00_0001, 0xdead_beef),
                    held: Some(legacy_format::Held {
                        proposal: proposal(299, 0x0a00_0102, 7),
                        stamp: 150,
                        value: "services: [one]\n".into(),
                    }),
                },
            ),
            (
                Register::Evacuations,
                legacy_format::Slot {
                    promised: proposal(4, 0x0a00_0102, 9),
                    held: Some(legacy_format::Held {
                        proposal: proposal(3, 0x0a00_0001, 10),
                        stamp: 2,
                        value: "zone-a".into(),
                    }),
                },
            ),
            (Register::VoterSet, legacy_format::Slot { promised: proposal(1, 0x0a00_0001, 11), held: None }),
        ]),
        grants: BTreeMap::from([
            (
                SingletonRole::HostDiscovery,
                LeaseGrant { role: SingletonRole::HostDiscovery, holder: 0x0a00_0001, term: 12 },
            ),
            (
                SingletonRole::QuotaCounter,
                LeaseGrant { role: SingletonRole::QuotaCounter, holder: 0x0a00_0102, term: 1300 },
            ),
        ]),
    }
}

/// What the log of the fixture of before the versions adds: voters, slots with and without a value, and posts.
fn before_versions_changes() -> [legacy_format::Entered; 4] {
    let chart = legacy_format::Slot {
        promised: proposal(302, 0x0a00_0102, 12),
        held: Some(legacy_format::Held {
            proposal: proposal(301, 0x0a01_0203, 13),
            stamp: 151,
            value: "services: [one, two]\n".into(),
        }),
    };
    let first_voters = legacy_format::Slot {
        promised: proposal(2, 0x0a00_0102, 14),
        held: Some(legacy_format::Held {
            proposal: proposal(2, 0x0a00_0102, 14),
            stamp: 1,
            value: "first voters".into(),
        }),
    };
    let evacuations = legacy_format::Slot { promised: proposal(6, 0x0a01_0203, 15), held: None };
    [
        legacy_format::Entered {
            voters: Some(vec![0x0a01_0203, 0x0a00_0102, 0x0a00_0001]),
            ..legacy_format::Entered::default()
        },
        legacy_format::Entered {
            slots: vec![(Register::Configuration, chart), (Register::VoterSet, first_voters)],
            ..legacy_format::Entered::default()
        },
        legacy_format::Entered {
            slots: vec![(Register::Evacuations, evacuations)],
            ..legacy_format::Entered::default()
        },
        legacy_format::Entered {
            grants: vec![LeaseGrant { role: SingletonRole::QuotaCounter, holder: 0x0a01_0203, term: 1301 }],
            ..legacy_format::Entered::default()
        },
    ]
}

/// Writes a data folder as it was before the versions: a snapshot and entries without heads, in a log without a number.
fn write_before_versions(folder: &Path) {
    fs::create_dir_all(folder).unwrap();
    let snapshot = postcard::to_stdvec(&before_versions_snapshot()).unwrap();
    fs::write(folder.join("snapshot"), snapshot).unwrap();
    let mut log = log_in(&folder.join("log"), 4096).unwrap();
    for entered in before_versions_changes() {
        log.append(&postcard::to_stdvec(&entered).unwrap()).unwrap();
    }
}

/// The snapshot and the log behind it together give this acceptor state; what the open leaves is a snapshot of it under the
/// number of the last entry, and an empty log of the next number.
#[test]
fn data_folder_of_version_1_opens_with_every_field() {
    let folder = copy_of_fixture(VERSION_1, "fixture-version-1");
    assert_eq!(names(&folder), ["log-12/wal-1", "snapshot"]);
    let (_book, found) = Storage::open(&folder).unwrap();
    let expected = DurableState {
        voter_set: VoterSet {
            epoch: 0x1_0002_0005,
            voters: vec![0x0a00_0001, 0x0a02_0304],
            incoming: vec![0x0a00_0001, 0x0a02_0304, 0x0a03_0405],
        },
        acceptors: BTreeMap::from([
            (
                Register::Configuration,
                AcceptorState {
                    promised: proposal(0x100_0000_000d, 0x0a00_0102, 81),
                    accepted: Some(AcceptedValue {
                        proposal: proposal(0x100_0000_000b, 0x0a01_0203, 78),
                        revision: 301,
                        value: "services: [one, two]\n".into(),
                        recent_versions: vec![
                            VersionDigest { version: 70_000, digest: *b"fedcba9876543210" },
                            VersionDigest { version: 70_001, digest: *b"ABCDEFGHIJKLMNOP" },
                        ],
                    }),
                },
            ),
            (
                Register::Evacuations,
                AcceptorState {
                    promised: proposal(0x100_0000_0004, 0x0a00_0001, 79),
                    accepted: Some(AcceptedValue {
                        proposal: proposal(0x100_0000_0001, 0x0a00_0102, 6),
                        revision: 2,
                        value: "zone-a\nzone-b".into(),
                        recent_versions: vec![],
                    }),
                },
            ),
            (
                Register::VoterSet,
                AcceptorState {
                    promised: proposal(0x100_0000_000c, 0x0a02_0304, 80),
                    accepted: Some(AcceptedValue {
                        proposal: proposal(0x100_0000_000c, 0x0a02_0304, 80),
                        revision: 4,
                        value: "voter set".into(),
                        recent_versions: vec![],
                    }),
                },
            ),
        ]),
        grants: BTreeMap::from([
            (
                SingletonRole::HostDiscovery,
                LeaseGrant { role: SingletonRole::HostDiscovery, holder: 0x0a02_0304, term: 13 },
            ),
            (
                SingletonRole::QuotaCounter,
                LeaseGrant { role: SingletonRole::QuotaCounter, holder: 0x0a00_0001, term: 1301 },
            ),
        ]),
    };
    assert_eq!(found, expected);
    assert_eq!(names(&folder), ["log-13/wal-1", "snapshot"]);
    let left = contents(&folder);
    assert_eq!(format::read_snapshot(&left["snapshot"]).unwrap(), (0x0102_0304_0506_070e, expected));
    assert!(format::segment(&left["log-13/wal-1"], 1).entries.is_empty());
    fs::remove_dir_all(&folder).unwrap();
}

/// The snapshot alone, without the log behind it.
#[test]
fn snapshot_of_version_1_is_read_with_every_field() {
    let committed = &contents(&fixture(VERSION_1))["snapshot"];
    assert_eq!(format::read_snapshot(committed).unwrap(), (SNAPSHOT_NUMBER, version_1_snapshot()));
}

#[test]
fn snapshot_and_entries_are_encoded_as_the_committed_bytes_of_version_1() {
    let committed = contents(&fixture(VERSION_1));
    let mut state = version_1_snapshot();
    assert_eq!(format::snapshot(SNAPSHOT_NUMBER, &state).unwrap(), committed["snapshot"]);
    let mut entries = Vec::new();
    for (number, entered) in (SNAPSHOT_NUMBER + 1..).zip(version_1_changes()) {
        let change = Change::of(&state, entered);
        entries.push(format::entry(number, &change).unwrap());
        change.enter_into(&mut state);
    }
    let segment = format::segment(&committed["log-12/wal-1"], 1);
    assert_eq!(segment.entries, entries);
    assert_eq!((segment.end, segment.torn), (committed["log-12/wal-1"].len(), false));
}

/// Names and bytes of all files, the frames of the write-ahead log among them.
#[test]
fn data_folder_is_written_as_the_committed_files_of_version_1() {
    let folder = folder("fixture-write-version-1");
    write_version_1(&folder);
    assert_eq!(contents(&folder), contents(&fixture(VERSION_1)));
    fs::remove_dir_all(&folder).unwrap();
}

/// The voters are the voter set of the first epoch, in order; what stood in the place of today's register of voter sets is
/// left out; values have no marks. What the open leaves is a snapshot with a head, and an empty log with a number.
#[test]
fn data_folder_of_before_the_versions_opens_with_every_field() {
    let folder = copy_of_fixture(BEFORE_VERSIONS, "fixture-before-versions");
    assert_eq!(names(&folder), ["log/wal-1", "snapshot"]);
    let (_book, found) = Storage::open(&folder).unwrap();
    let expected = DurableState {
        voter_set: VoterSet {
            epoch: 1,
            voters: vec![0x0a00_0001, 0x0a00_0102, 0x0a01_0203],
            incoming: vec![],
        },
        acceptors: BTreeMap::from([
            (
                Register::Configuration,
                AcceptorState {
                    promised: proposal(302, 0x0a00_0102, 12),
                    accepted: Some(AcceptedValue {
                        proposal: proposal(301, 0x0a01_0203, 13),
                        revision: 151,
                        value: "services: [one, two]\n".into(),
                        recent_versions: vec![],
                    }),
                },
            ),
            (Register::Evacuations, AcceptorState { promised: proposal(6, 0x0a01_0203, 15), accepted: None }),
        ]),
        grants: BTreeMap::from([
            (
                SingletonRole::HostDiscovery,
                LeaseGrant { role: SingletonRole::HostDiscovery, holder: 0x0a00_0001, term: 12 },
            ),
            (
                SingletonRole::QuotaCounter,
                LeaseGrant { role: SingletonRole::QuotaCounter, holder: 0x0a01_0203, term: 1301 },
            ),
        ]),
    };
    assert_eq!(found, expected);
    assert_eq!(names(&folder), ["log-1/wal-1", "snapshot"]);
    let left = contents(&folder);
    assert_eq!(format::read_snapshot(&left["snapshot"]).unwrap(), (0, expected));
    assert!(format::segment(&left["log-1/wal-1"], 1).entries.is_empty());
    fs::remove_dir_all(&folder).unwrap();
}

/// The snapshot alone, without the log behind it.
#[test]
fn snapshot_of_before_the_versions_is_read_with_every_field() {
    let expected = DurableState {
        voter_set: VoterSet { epoch: 1, voters: vec![0x0a00_0001, 0x0a00_0102], incoming: vec![] },
        acceptors: BTreeMap::from([
            (
                Register::Configuration,
                AcceptorState {
                    promised: proposal(300, 0x0a00_0001, 0xdead_beef),
                    accepted: Some(AcceptedValue {
                        proposal: proposal(299, 0x0a00_0102, 7),
                        revision: 150,
                        value: "services: [one]\n".into(),
                        recent_versions: vec![],
                    }),
                },
            ),
            (
                Register::Evacuations,
                AcceptorState {
                    promised: proposal(4, 0x0a00_0102, 9),
                    accepted: Some(AcceptedValue {
                        proposal: proposal(3, 0x0a00_0001, 10),
                        revision: 2,
                        value: "zone-a".into(),
                        recent_versions: vec![],
                    }),
                },
            ),
        ]),
        grants: BTreeMap::from([
            (
                SingletonRole::HostDiscovery,
                LeaseGrant { role: SingletonRole::HostDiscovery, holder: 0x0a00_0001, term: 12 },
            ),
            (
                SingletonRole::QuotaCounter,
                LeaseGrant { role: SingletonRole::QuotaCounter, holder: 0x0a00_0102, term: 1300 },
            ),
        ]),
    };
    let committed = &contents(&fixture(BEFORE_VERSIONS))["snapshot"];
    assert_eq!(format::read_snapshot(committed).unwrap(), (0, expected));
}

/// The types of before the versions stand for the bytes of then, whatever becomes of the types of today.
#[test]
fn types_of_before_the_versions_are_encoded_as_the_committed_files() {
    let folder = folder("fixture-write-before-versions");
    write_before_versions(&folder);
    assert_eq!(contents(&folder), contents(&fixture(BEFORE_VERSIONS)));
    fs::remove_dir_all(&folder).unwrap();
}
