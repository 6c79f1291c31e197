//! Made-up disks: what is kept, what is being written and what waits, as in the program's logbook: all that waits goes with
//! one sync, in order, and words that stand for it are sent after that. Must never keep half of what went together.

use crate::network::{Event, Fleet};
use archlink_consensus::DurableRecord;
use archlink_messages::{AcceptorState, LeaseGrant, Message, NodeId, Register, SingletonRole, VoterSet};
use std::collections::{BTreeMap, VecDeque};

/// Writes that wait for a disk, as in the program; a further one is dropped with its words.
const QUEUE: usize = 256;
/// What is safely on a disk.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Kept {
    pub slots: BTreeMap<Register, AcceptorState>,
    pub grants: BTreeMap<SingletonRole, LeaseGrant>,
    pub voter_set: VoterSet,
}

pub(crate) type Write = (DurableRecord, Vec<(NodeId, Message)>);

/// One gateway's disk.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    pub kept: Kept,
    /// Seconds that a sync takes; all that waits goes with one.
    pub sync: f64,
    /// Nothing ends before that moment of made-up time.
    pub hangs_until: f64,
    /// Syncs so far, of writes that changed something, and bytes of the slots in them.
    pub syncs: u64,
    pub bytes: usize,
    pub(crate) writing: Vec<Write>,
    pub(crate) waiting: VecDeque<Write>,
}

impl Disk {
    pub(crate) fn keep(&mut self, record: DurableRecord) {
        if let Some(voter_set) = record.voter_set {
            self.kept.voter_set = voter_set;
        }
        self.kept.slots.extend(record.acceptors);
        self.kept.grants.extend(record.grants.into_iter().map(|grant| (grant.role, grant)));
    }
}

impl Fleet {
    pub(crate) fn store(&mut self, node: NodeId, record: DurableRecord, then: Vec<(NodeId, Message)>) {
        let Some(disk) = self.disks.get_mut(&node) else { return };
        if disk.waiting.len() >= QUEUE {
            return;
        }
        disk.waiting.push_back((record, then));
        if disk.writing.is_empty() {
            self.write(node);
        }
    }

    /// All that waits goes to the disk together.
    fn write(&mut self, node: NodeId) {
        let Some(disk) = self.disks.get_mut(&node).filter(|disk| !disk.waiting.is_empty()) else { return };
        disk.writing.extend(std::mem::take(&mut disk.waiting));
        let empty = disk.writing.iter().all(|(record, _)| *record == DurableRecord::default());
        disk.syncs += u64::from(!empty);
        let slots = disk.writing.iter().flat_map(|(record, _)| &record.acceptors);
        disk.bytes +=
            slots.map(|slot| postcard::to_stdvec(slot).map_or(0, |bytes| bytes.len())).sum::<usize>();
        let at = if empty { self.now } else { (self.now + disk.sync).max(disk.hangs_until) };
        let life = self.lives[&node];
        self.push(at, Event::Written(node, life));
    }

    pub(crate) fn written(&mut self, node: NodeId) {
        let Some(disk) = self.disks.get_mut(&node) else { return };
        let mut words = Vec::new();
        for (record, then) in std::mem::take(&mut disk.writing) {
            disk.keep(record);
            words.extend(then);
        }
        self.write(node);
        for (to, word) in words {
            if to == node {
                self.step(node, |control, now| control.step(now, node, word));
            } else {
                self.send(node, to, word);
            }
        }
    }
}
