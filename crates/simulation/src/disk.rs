//! Made-up disks: what is kept, what is being written and what waits, as in the program's logbook: all that waits goes with
//! one sync, in order, and words that stand for it are sent after that. Must never keep half of what went together.

use crate::world::{Event, Fleet};
use archlink_consensus::Record;
use archlink_messages::{Duty, Muster, Node, Post, Register, Slot, Word};
use std::collections::{BTreeMap, VecDeque};

/// Writes that wait for a disk, as in the program; a further one is dropped with its words.
const QUEUE: usize = 256;
/// What is safely on a disk.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Kept {
    pub slots: BTreeMap<Register, Slot>,
    pub posts: BTreeMap<Duty, Post>,
    pub muster: Muster,
}

pub(crate) type Write = (Record, Vec<(Node, Word)>);

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
    pub(crate) fn keep(&mut self, record: Record) {
        if let Some(muster) = record.muster {
            self.kept.muster = muster;
        }
        self.kept.slots.extend(record.slots);
        self.kept.posts.extend(record.posts.into_iter().map(|post| (post.duty, post)));
    }
}

impl Fleet {
    pub(crate) fn store(&mut self, node: Node, record: Record, then: Vec<(Node, Word)>) {
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
    fn write(&mut self, node: Node) {
        let Some(disk) = self.disks.get_mut(&node).filter(|disk| !disk.waiting.is_empty()) else { return };
        disk.writing.extend(std::mem::take(&mut disk.waiting));
        let empty = disk.writing.iter().all(|(record, _)| *record == Record::default());
        disk.syncs += u64::from(!empty);
        let slots = disk.writing.iter().flat_map(|(record, _)| &record.slots);
        disk.bytes +=
            slots.map(|slot| postcard::to_stdvec(slot).map_or(0, |bytes| bytes.len())).sum::<usize>();
        let at = if empty { self.now } else { (self.now + disk.sync).max(disk.hangs_until) };
        let life = self.lives[&node];
        self.push(at, Event::Written(node, life));
    }

    pub(crate) fn written(&mut self, node: Node) {
        let Some(disk) = self.disks.get_mut(&node) else { return };
        let mut words = Vec::new();
        for (record, then) in std::mem::take(&mut disk.writing) {
            disk.keep(record);
            words.extend(then);
        }
        self.write(node);
        for (to, word) in words {
            if to == node {
                self.step(node, |control, now| control.hear(now, node, word));
            } else {
                self.send(node, to, word);
            }
        }
    }
}
