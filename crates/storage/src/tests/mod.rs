//! Tests of the storage: crashes, failing disks, corrupted, legacy and committed data folders, and bounds on disk usage.

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

/// An acceptor state whose promise and accepted value are of the same round.
fn acceptor_state(round: u64, value_bytes: usize) -> AcceptorState {
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

/// A change in which the configuration register accepts a value of this round.
fn accept_value(round: u64, value_bytes: usize) -> StateChange {
    StateChange {
        acceptors: vec![(Register::Configuration, acceptor_state(round, value_bytes))],
        ..StateChange::default()
    }
}

/// The n-th change to a state: a voter set, a second register, a grant, a value alone or a promise alone, in turn.
fn nth_change(state: &DurableState, n: u64) -> StateChange {
    let mut change = accept_value(n, 40 + n as usize % 7 * 30);
    match n % 5 {
        0 => change.voter_set = Some(VoterSet { epoch: n, ..VoterSet::initial(&[n as u32, 2, 3]) }),
        1 => change.acceptors.push((Register::Evacuations, acceptor_state(n, 3))),
        2 => change.grants.push(LeaseGrant { role: SingletonRole::QuotaCounter, holder: 3, term: n }),
        3 => {}
        _ => {
            let mut promise = state.acceptors.get(&Register::Configuration).cloned().unwrap_or_default();
            promise.promised.round = n;
            change.acceptors = vec![(Register::Configuration, promise)];
        }
    }
    change
}

/// The state that a change leads to.
fn state_after(state: &DurableState, change: StateChange) -> DurableState {
    let mut next = state.clone();
    next.apply(change);
    next
}

/// A path in the system's temporary folder, with nothing at it.
fn temporary_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("archlink-storage-{}-{name}", std::process::id()));
    std::fs::remove_dir_all(&folder).ok();
    folder
}

/// Persists a change and returns once it is durable.
fn persist(storage: &Storage, change: StateChange) {
    let (sender, durable) = channel();
    assert!(storage.enqueue(change, move || sender.send(()).unwrap_or_default()));
    durable.recv().unwrap();
}

/// Opens the folder, once the writer thread of a dropped handle has released its lock.
fn open(folder: &Path) -> (Storage, DurableState) {
    loop {
        match Storage::open(folder) {
            Err(error) if *error.current_context() == StorageError::Disk => std::thread::yield_now(),
            opened => return opened.unwrap(),
        }
    }
}
