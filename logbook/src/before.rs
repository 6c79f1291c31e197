//! What folders held before they named a version: a list of voters where the muster is now, and slots without marks. Reads
//! it as what it is today. Must never be written again.

use crate::{Entered, State};
use bytes::Bytes;
use serde::Deserialize;
use signal::{Ballot, Duty, Muster, Node, Post, Register};
use std::collections::BTreeMap;

#[derive(Deserialize)]
struct Held {
    ballot: Ballot,
    stamp: u64,
    value: Bytes,
}

#[derive(Deserialize)]
struct Slot {
    promised: Ballot,
    held: Option<Held>,
}

#[derive(Deserialize)]
struct OldState {
    voters: Vec<Node>,
    slots: BTreeMap<Register, Slot>,
    posts: BTreeMap<Duty, Post>,
}

#[derive(Deserialize)]
struct OldEntered {
    voters: Option<Vec<Node>>,
    slots: Vec<(Register, Slot)>,
    posts: Vec<Post>,
}

/// The set was agreed on once, by the seeds, and stood for good: it is the first epoch's.
fn muster(voters: &[Node]) -> Option<Muster> {
    Some(Muster::first(voters)).filter(|muster| !muster.seats.is_empty())
}

/// In the place of the register of today's musters the set was voted on then, on no disk.
fn slot((register, slot): (Register, Slot)) -> Option<(Register, signal::Slot)> {
    let held = slot.held.map(|Held { ballot, stamp, value }| {
        let marks = Vec::new();
        signal::Held { ballot, stamp, value, marks }
    });
    (register != Register::Muster).then_some((register, signal::Slot { promised: slot.promised, held }))
}

pub fn state(bytes: &[u8]) -> Result<State, postcard::Error> {
    let old: OldState = postcard::from_bytes(bytes)?;
    let slots = old.slots.into_iter().filter_map(slot).collect();
    Ok(State { muster: muster(&old.voters).unwrap_or_default(), slots, posts: old.posts })
}

pub fn entered(bytes: &[u8]) -> Result<Entered, postcard::Error> {
    let old: OldEntered = postcard::from_bytes(bytes)?;
    let muster = old.voters.and_then(|voters| muster(&voters));
    Ok(Entered { muster, slots: old.slots.into_iter().filter_map(slot).collect(), posts: old.posts })
}
