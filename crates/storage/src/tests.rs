//! Tests of the whole logbook: after crashes, on a disk that refuses, on damaged, older and committed folders, and its bounds.

mod bounds;
mod crashes;
mod fixtures;
mod folders;

use crate::{DurableState, StateChange, Storage, StorageError};
use archlink_messages::{
    AcceptedValue, AcceptorState, LeaseGrant, ProposalNumber, Register, SingletonRole, VoterSet,
};
use std::path::{Path, PathBuf};
use std::sync::mpsc::channel;

fn slot(round: u64, size: usize) -> AcceptorState {
    let proposal = ProposalNumber { round, node: 1, nonce: 2 };
    AcceptorState {
        promised: proposal,
        accepted: Some(AcceptedValue {
            proposal,
            revision: round,
            value: vec![round as u8; size].into(),
            recent_versions: Vec::new(),
        }),
    }
}

fn value(round: u64, size: usize) -> StateChange {
    StateChange { acceptors: vec![(Register::Configuration, slot(round, size))], ..StateChange::default() }
}

/// The n-th change on a state: voters, values, promises and posts in turn.
fn change(state: &DurableState, n: u64) -> StateChange {
    let mut entered = value(n, 40 + n as usize % 7 * 30);
    match n % 5 {
        0 => entered.voter_set = Some(VoterSet { epoch: n, ..VoterSet::initial(&[n as u32, 2, 3]) }),
        1 => entered.acceptors.push((Register::Evacuations, slot(n, 3))),
        2 => entered.grants.push(LeaseGrant { role: SingletonRole::QuotaCounter, holder: 3, term: n }),
        3 => {}
        _ => {
            let mut promised = state.acceptors.get(&Register::Configuration).cloned().unwrap_or_default();
            promised.promised.round = n;
            entered.acceptors = vec![(Register::Configuration, promised)];
        }
    }
    entered
}

fn after(state: &DurableState, entered: StateChange) -> DurableState {
    let mut state = state.clone();
    state.enter(entered);
    state
}

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("logbook-{}-{name}", std::process::id()));
    std::fs::remove_dir_all(&folder).ok();
    folder
}

fn enter(book: &Storage, entered: StateChange) {
    let (sent, kept) = channel();
    assert!(book.enter(entered, move || sent.send(()).unwrap_or_default()));
    kept.recv().unwrap();
}

/// Opens once a logbook that was let go has left the folder.
fn open(folder: &Path) -> (Storage, DurableState) {
    loop {
        match Storage::open(folder) {
            Err(e) if *e.current_context() == StorageError::Disk => std::thread::yield_now(),
            opened => return opened.unwrap(),
        }
    }
}
