//! What folders hold from before there were numbers and versions: a snapshot without a head, and entries without one in
//! several files of okaywal's. Read once, at the first start of this version; must stay as it was then, whatever becomes of
//! the types of today.

use crate::disk::Disk;
use crate::store::{Found, list, read, segments};
use crate::{StorageError, format};
use archlink_messages::{LeaseGrant, NodeId, ProposalNumber, Register, SingletonRole, VoterSet};
use bytes::Bytes;
use error_stack::{Report, ResultExt, ensure};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;

#[derive(Serialize, Deserialize)]
pub struct Held {
    pub proposal: ProposalNumber,
    pub stamp: u64,
    pub value: Bytes,
}

#[derive(Serialize, Deserialize)]
pub struct Slot {
    pub promised: ProposalNumber,
    pub held: Option<Held>,
}

#[derive(Default, Serialize, Deserialize)]
pub struct State {
    pub voters: Vec<NodeId>,
    pub slots: BTreeMap<Register, Slot>,
    pub grants: BTreeMap<SingletonRole, LeaseGrant>,
}

#[derive(Default, Serialize, Deserialize)]
pub struct Entered {
    pub voters: Option<Vec<NodeId>>,
    pub slots: Vec<(Register, Slot)>,
    pub grants: Vec<LeaseGrant>,
}

/// The set was agreed on once, by the seeds, and stood for good: it is the first epoch's.
fn voter_set(voters: &[NodeId]) -> Option<VoterSet> {
    Some(VoterSet::initial(voters)).filter(|voter_set| !voter_set.voters.is_empty())
}

/// In the place of the register of today's musters the first set was voted on, which was on no disk.
fn slot((register, slot): (Register, Slot)) -> Option<(Register, archlink_messages::AcceptorState)> {
    let held = |Held { proposal, stamp, value }| archlink_messages::AcceptedValue {
        proposal,
        revision: stamp,
        value,
        recent_versions: Vec::new(),
    };
    let slot = archlink_messages::AcceptorState { promised: slot.promised, accepted: slot.held.map(held) };
    (register != Register::VoterSet).then_some((register, slot))
}

impl From<State> for crate::DurableState {
    fn from(State { voters, slots, grants }: State) -> Self {
        let slots = slots.into_iter().filter_map(slot).collect();
        crate::DurableState { voter_set: voter_set(&voters).unwrap_or_default(), acceptors: slots, grants }
    }
}

impl From<Entered> for crate::StateChange {
    fn from(Entered { voters, slots, grants }: Entered) -> Self {
        let voter_set = voters.and_then(|voters| voter_set(&voters));
        crate::StateChange { voter_set, acceptors: slots.into_iter().filter_map(slot).collect(), grants }
    }
}

pub fn read_snapshot(bytes: &[u8]) -> Result<crate::DurableState, Report<StorageError>> {
    postcard::from_bytes::<State>(bytes).map(Into::into).change_context(StorageError::Damaged)
}

/// Replays the log over the snapshot. Half an entry at the end was never said to be kept.
pub fn replay<D: Disk>(disk: &D, log: &Path, found: &mut Found) -> Result<(), Report<StorageError>> {
    let mut torn = false;
    for (name, first) in segments(list(disk, log)?) {
        let path = log.join(name);
        let bytes = read(disk, &path)?.unwrap_or_default();
        let segment = format::segment(&bytes, first);
        ensure!(
            !torn || segment.entries.is_empty(),
            Report::new(StorageError::Damaged)
                .attach(format!("{}: an entry before it can't be read", path.display()))
        );
        torn |= segment.torn;
        for entry in segment.entries {
            let entered: Entered = postcard::from_bytes(entry)
                .change_context(StorageError::Damaged)
                .attach_with(|| path.display().to_string())?;
            found.state.enter(entered.into());
        }
        found.read.push(path);
    }
    found.read.push(log.to_path_buf());
    Ok(())
}
