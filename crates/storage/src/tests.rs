//! Tests of the whole logbook: after crashes, on a disk that refuses, on damaged, older and committed folders, and its bounds.

mod bounds;
mod crashes;
mod fixtures;
mod folders;

use crate::{Entered, Logbook, LogbookError, State};
use archlink_messages::{Ballot, Duty, Held, Muster, Post, Register, Slot};
use std::path::{Path, PathBuf};
use std::sync::mpsc::channel;

fn slot(round: u64, size: usize) -> Slot {
    let ballot = Ballot { round, node: 1, nonce: 2 };
    Slot {
        promised: ballot,
        held: Some(Held { ballot, stamp: round, value: vec![round as u8; size].into(), marks: Vec::new() }),
    }
}

fn value(round: u64, size: usize) -> Entered {
    Entered { slots: vec![(Register::Chart, slot(round, size))], ..Entered::default() }
}

/// The n-th change on a state: voters, values, promises and posts in turn.
fn change(state: &State, n: u64) -> Entered {
    let mut entered = value(n, 40 + n as usize % 7 * 30);
    match n % 5 {
        0 => entered.muster = Some(Muster { epoch: n, ..Muster::first(&[n as u32, 2, 3]) }),
        1 => entered.slots.push((Register::Evacuations, slot(n, 3))),
        2 => entered.posts.push(Post { duty: Duty::Tally, holder: 3, term: n }),
        3 => {}
        _ => {
            let mut promised = state.slots.get(&Register::Chart).cloned().unwrap_or_default();
            promised.promised.round = n;
            entered.slots = vec![(Register::Chart, promised)];
        }
    }
    entered
}

fn after(state: &State, entered: Entered) -> State {
    let mut state = state.clone();
    state.enter(entered);
    state
}

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("logbook-{}-{name}", std::process::id()));
    std::fs::remove_dir_all(&folder).ok();
    folder
}

fn enter(book: &Logbook, entered: Entered) {
    let (sent, kept) = channel();
    assert!(book.enter(entered, move || sent.send(()).unwrap_or_default()));
    kept.recv().unwrap();
}

/// Opens once a logbook that was let go has left the folder.
fn open(folder: &Path) -> (Logbook, State) {
    loop {
        match Logbook::open(folder) {
            Err(e) if *e.current_context() == LogbookError::Disk => std::thread::yield_now(),
            opened => return opened.unwrap(),
        }
    }
}
