//! Tests of the storage: after crashes, on a disk that refuses, on damaged, legacy and committed folders, and its bounds.

mod bounds;
mod counting_disk;
mod crashes;
mod fixtures;
mod folders;
mod simulated_disk;

use crate::{DurableState, StateChange, Storage, StorageError};
use archlink_messages::{
    AcceptedValue, AcceptorState, LeaseGrant, ProposalNumber, Register, SingletonRole, VoterSet,
};
use std::path::{Path, PathBuf};
use std::sync::mpsc::channel;

fn acceptor(round: u64, value_bytes: usize) -> AcceptorState {
    let proposal = ProposalNumber { round, node: 1, nonce: 2 };
    AcceptorState {
        promised: proposal,
        accepted: Some(AcceptedValue {
            proposal,
            revision: round,
            value: vec![round as u8; value_bytes].into(),
            recent_versions: Vec::new(),
        }),
    }
}

/// A change that accepts a value of the configuration.
fn accept(round: u64, value_bytes: usize) -> StateChange {
    StateChange {
        acceptors: vec![(Register::Configuration, acceptor(round, value_bytes))],
        ..StateChange::default()
    }
}

/// The n-th change on a state: voter sets, values, promises and grants in turn.
fn nth_change(state: &DurableState, n: u64) -> StateChange {
    let mut change = accept(n, 40 + n as usize % 7 * 30);
    match n % 5 {
        0 => change.voter_set = Some(VoterSet { epoch: n, ..VoterSet::initial(&[n as u32, 2, 3]) }),
        1 => change.acceptors.push((Register::Evacuations, acceptor(n, 3))),
        2 => change.grants.push(LeaseGrant { role: SingletonRole::QuotaCounter, holder: 3, term: n }),
        3 => {}
        _ => {
            let mut acceptor = state.acceptors.get(&Register::Configuration).cloned().unwrap_or_default();
            acceptor.promised.round = n;
            change.acceptors = vec![(Register::Configuration, acceptor)];
        }
    }
    change
}

fn state_after(state: &DurableState, change: StateChange) -> DurableState {
    let mut state = state.clone();
    state.apply(change);
    state
}

/// A path in the temporary folder, without anything there.
fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("archlink-storage-{}-{name}", std::process::id()));
    std::fs::remove_dir_all(&folder).ok();
    folder
}

/// Returns once the change is durable.
fn persist(storage: &Storage, change: StateChange) {
    let (sender, durable) = channel();
    assert!(storage.enqueue(change, move || sender.send(()).unwrap_or_default()));
    durable.recv().unwrap();
}

/// Opens the folder as soon as the writer of a dropped handle has unlocked it.
fn open(folder: &Path) -> (Storage, DurableState) {
    loop {
        match Storage::open(folder) {
            Err(error) if *error.current_context() == StorageError::Disk => std::thread::yield_now(),
            opened => return opened.unwrap(),
        }
    }
}
