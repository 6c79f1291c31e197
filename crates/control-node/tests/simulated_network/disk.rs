//! A simulated disk with group commit: one sync covers everything that is queued when it begins, and makes it
//! durable when it ends.

use archlink_consensus::DurableRecord;
use archlink_messages::{AcceptorState, LeaseGrant, Message, NodeId, Register, SingletonRole, VoterSet};
use std::collections::BTreeMap;

/// A record, and the messages to send once it is durable.
type Write = (DurableRecord, Vec<(NodeId, Message)>);

#[derive(Default)]
pub struct Disk {
    pub registers: BTreeMap<Register, AcceptorState>,
    pub grants: BTreeMap<SingletonRole, LeaseGrant>,
    pub voter_set: VoterSet,
    queued: Vec<Write>,
    syncing: Vec<Write>,
    busy_until: f64,
}

impl Disk {
    pub fn queue(&mut self, record: DurableRecord, messages: Vec<(NodeId, Message)>) {
        self.queued.push((record, messages));
    }

    /// Discards everything that is not durable yet.
    pub fn power_fail(&mut self) {
        (self.queued, self.syncing) = (Vec::new(), Vec::new());
    }

    /// Ends the current sync when its time is over and begins the next one, which takes `sync` seconds. With
    /// `always_syncing` a sync is in progress at all times, on behalf of other writers of the disk. Returns
    /// the messages to send now.
    pub fn advance(&mut self, now: f64, sync: f64, always_syncing: bool) -> Vec<(NodeId, Message)> {
        if now < self.busy_until {
            return Vec::new();
        }
        let mut durable = std::mem::take(&mut self.syncing);
        self.syncing = std::mem::take(&mut self.queued);
        let writes = self.syncing.iter().any(|(record, _)| *record != DurableRecord::default());
        if always_syncing || writes {
            self.busy_until = now + sync;
        } else {
            durable.append(&mut self.syncing);
        }
        let mut released = Vec::new();
        for (record, messages) in durable {
            self.apply(record);
            released.extend(messages);
        }
        released
    }

    fn apply(&mut self, record: DurableRecord) {
        if let Some(voter_set) = record.voter_set {
            self.voter_set = voter_set;
        }
        self.registers.extend(record.acceptors);
        self.grants.extend(record.grants.into_iter().map(|grant| (grant.role, grant)));
    }
}
