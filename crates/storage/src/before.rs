//! What folders hold from before there were numbers and versions: a snapshot without a head, and entries without one in
//! several files of okaywal's. Read once, at the first start of this version; must stay as it was then, whatever becomes of
//! the types of today.

use crate::disk::Disk;
use crate::keeper::{Found, list, read, segments};
use crate::{LogbookError, format};
use archlink_messages::{Ballot, Duty, Muster, Node, Post, Register};
use bytes::Bytes;
use error_stack::{Report, ResultExt, ensure};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;

#[derive(Serialize, Deserialize)]
pub struct Held {
    pub ballot: Ballot,
    pub stamp: u64,
    pub value: Bytes,
}

#[derive(Serialize, Deserialize)]
pub struct Slot {
    pub promised: Ballot,
    pub held: Option<Held>,
}

#[derive(Default, Serialize, Deserialize)]
pub struct State {
    pub voters: Vec<Node>,
    pub slots: BTreeMap<Register, Slot>,
    pub posts: BTreeMap<Duty, Post>,
}

#[derive(Default, Serialize, Deserialize)]
pub struct Entered {
    pub voters: Option<Vec<Node>>,
    pub slots: Vec<(Register, Slot)>,
    pub posts: Vec<Post>,
}

/// The set was agreed on once, by the seeds, and stood for good: it is the first epoch's.
fn muster(voters: &[Node]) -> Option<Muster> {
    Some(Muster::first(voters)).filter(|muster| !muster.seats.is_empty())
}

/// In the place of the register of today's musters the first set was voted on, which was on no disk.
fn slot((register, slot): (Register, Slot)) -> Option<(Register, archlink_messages::Slot)> {
    let held =
        |Held { ballot, stamp, value }| archlink_messages::Held { ballot, stamp, value, marks: Vec::new() };
    let slot = archlink_messages::Slot { promised: slot.promised, held: slot.held.map(held) };
    (register != Register::Muster).then_some((register, slot))
}

impl From<State> for crate::State {
    fn from(State { voters, slots, posts }: State) -> Self {
        let slots = slots.into_iter().filter_map(slot).collect();
        crate::State { muster: muster(&voters).unwrap_or_default(), slots, posts }
    }
}

impl From<Entered> for crate::Entered {
    fn from(Entered { voters, slots, posts }: Entered) -> Self {
        let muster = voters.and_then(|voters| muster(&voters));
        crate::Entered { muster, slots: slots.into_iter().filter_map(slot).collect(), posts }
    }
}

pub fn read_snapshot(bytes: &[u8]) -> Result<crate::State, Report<LogbookError>> {
    postcard::from_bytes::<State>(bytes).map(Into::into).change_context(LogbookError::Damaged)
}

/// Replays the log over the snapshot. Half an entry at the end was never said to be kept.
pub fn replay<D: Disk>(disk: &D, log: &Path, found: &mut Found) -> Result<(), Report<LogbookError>> {
    let mut torn = false;
    for (name, first) in segments(list(disk, log)?) {
        let path = log.join(name);
        let bytes = read(disk, &path)?.unwrap_or_default();
        let segment = format::segment(&bytes, first);
        ensure!(
            !torn || segment.entries.is_empty(),
            Report::new(LogbookError::Damaged)
                .attach(format!("{}: an entry before it can't be read", path.display()))
        );
        torn |= segment.torn;
        for entry in segment.entries {
            let entered: Entered = postcard::from_bytes(entry)
                .change_context(LogbookError::Damaged)
                .attach_with(|| path.display().to_string())?;
            found.state.enter(entered.into());
        }
        found.read.push(path);
    }
    found.read.push(log.to_path_buf());
    Ok(())
}
