//! Simulated disks with group commit, as in the `storage` package: one sync makes all queued writes durable in order, and the
//! messages that depend on a write are sent only after it.
//!
//! Invariant: a write is durable as a whole or not at all.

use super::Fleet;
use super::event_queue::Event;
use archlink_consensus::DurableRecord;
use archlink_messages::{AcceptorState, LeaseGrant, Message, NodeId, Register, SingletonRole, VoterSet};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of queued writes, as in the deployed program. A further write is dropped together with its messages.
const QUEUE_CAPACITY: usize = 256;

/// The durable content of a disk.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DurableState {
    /// Acceptor state by register.
    pub acceptors: BTreeMap<Register, AcceptorState>,
    /// Lease grants by role.
    pub grants: BTreeMap<SingletonRole, LeaseGrant>,
    /// The newest voter set.
    pub voter_set: VoterSet,
}

/// A write, and the messages to send once it is durable.
#[derive(Clone, Debug)]
pub(crate) struct Write {
    pub(crate) record: DurableRecord,
    pub(crate) then_send: Vec<(NodeId, Message)>,
}

/// One machine's disk.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    /// Its durable content.
    pub durable: DurableState,
    /// Duration of a sync, in seconds.
    pub sync: f64,
    /// Simulated time, in seconds, before which no write becomes durable.
    pub hangs_until: f64,
    /// Number of syncs so far, except those whose writes changed nothing.
    pub syncs: u64,
    /// Bytes of acceptor state written so far.
    pub bytes: usize,
    pub(crate) writing: Vec<Write>,
    pub(crate) queued: VecDeque<Write>,
}

impl Disk {
    /// Makes a record durable.
    pub(crate) fn apply(&mut self, record: DurableRecord) {
        if let Some(voter_set) = record.voter_set {
            self.durable.voter_set = voter_set;
        }
        self.durable.acceptors.extend(record.acceptors);
        self.durable.grants.extend(record.grants.into_iter().map(|grant| (grant.role, grant)));
    }
}

impl Fleet {
    /// Sets the duration of each further sync on a node's disk.
    pub fn set_sync(&mut self, node: NodeId, seconds: f64) {
        self.disks.entry(node).or_default().sync = seconds;
    }

    /// Hangs a node's disk for `seconds`: meanwhile no write becomes durable.
    pub fn hang(&mut self, node: NodeId, seconds: f64) {
        self.trace(|_| format!("disk of node {node} hangs for {seconds:.3} s"));
        let until = self.now + seconds;
        self.disks.entry(node).or_default().hangs_until = until;
    }

    pub(super) fn store(&mut self, node: NodeId, record: DurableRecord, then_send: Vec<(NodeId, Message)>) {
        let Some(disk) = self.disks.get_mut(&node) else { return };
        if disk.queued.len() >= QUEUE_CAPACITY {
            return;
        }
        disk.queued.push_back(Write { record, then_send });
        if disk.writing.is_empty() {
            self.begin_sync(node);
        }
    }

    /// Begins one sync of all queued writes. If none of them changes anything, it completes at once and is not counted.
    fn begin_sync(&mut self, node: NodeId) {
        let Some(disk) = self.disks.get_mut(&node).filter(|disk| !disk.queued.is_empty()) else { return };
        disk.writing.extend(std::mem::take(&mut disk.queued));
        let changes_nothing = disk.writing.iter().all(|write| write.record == DurableRecord::default());
        disk.syncs += u64::from(!changes_nothing);
        let acceptors = disk.writing.iter().flat_map(|write| &write.record.acceptors);
        let sizes = acceptors.map(|state| postcard::to_stdvec(state).map_or(0, |bytes| bytes.len()));
        disk.bytes += sizes.sum::<usize>();
        let at = if changes_nothing { self.now } else { (self.now + disk.sync).max(disk.hangs_until) };
        let incarnation = self.incarnations[&node];
        self.events.push(at, Event::SyncCompleted { node, incarnation });
    }

    /// Completes the sync in progress: applies its writes, begins the next sync and sends the waiting messages.
    pub(super) fn complete_sync(&mut self, node: NodeId) {
        let Some(disk) = self.disks.get_mut(&node) else { return };
        let mut messages = Vec::new();
        for write in std::mem::take(&mut disk.writing) {
            disk.apply(write.record);
            messages.extend(write.then_send);
        }
        self.begin_sync(node);
        for (to, message) in messages {
            if to == node {
                self.step(node, |control, now| control.step(now, node, message));
            } else {
                self.send(node, to, message);
            }
        }
    }
}
