//! The voter's side: which leases it has granted, and until when.

use super::{LEASE_DURATION, Leases, RequestKind};
use crate::{DurableRecord, Effect};
use archlink_messages::{ConsensusMessage, LeaseGrant, NodeId, SingletonRole};

/// The last grant for a role.
#[derive(Clone, Copy)]
pub(super) struct GrantedLease {
    /// The node to which it was granted.
    pub holder: NodeId,
    /// The term in which it was granted.
    pub term: u64,
    /// The time, by the local clock, before which no other node is granted a lease.
    pub expires_at: f64,
    /// Whether the term is on disk, so that a renewal doesn't have to wait for it.
    persisted: bool,
}

impl Leases {
    /// Restores a grant of an earlier incarnation, or one that other voters report: it may still be valid for
    /// its full duration.
    pub fn restore_grant(&mut self, now: f64, grant: LeaseGrant) {
        let LeaseGrant { role, holder, term } = grant;
        if self.granted.get(&role).is_none_or(|last| last.term < term) {
            self.granted.insert(
                role,
                GrantedLease { holder, term, expires_at: now + LEASE_DURATION, persisted: true },
            );
            // A lease of this node ended with its earlier incarnation: no other node can obtain one sooner
            // than this one.
            if holder == self.id {
                self.retry_at.insert(role, now);
            }
        }
    }

    /// Returns the last grant for each role.
    pub fn grants(&self) -> Vec<LeaseGrant> {
        let to_grant = |(&role, last): (&SingletonRole, &GrantedLease)| LeaseGrant {
            role,
            holder: last.holder,
            term: last.term,
        };
        self.granted.iter().map(to_grant).collect()
    }

    /// Grants, renews or denies a lease. Another node's grant has to expire first, and a new term has to be
    /// above all earlier ones. A node that requests a new term while it holds a grant has released its lease,
    /// or lost it with an earlier incarnation.
    pub(super) fn receive_request(
        &mut self,
        now: f64,
        from: NodeId,
        grant: LeaseGrant,
        serial: u64,
        kind: RequestKind,
    ) -> Vec<Effect> {
        let LeaseGrant { role, holder, term } = grant;
        if !self.voter_set.contains(self.id) || holder != from {
            return Vec::new();
        }
        let Some(last) = self.granted.get(&role).copied() else { return self.grant(now, grant, serial) };
        if kind == RequestKind::Renewal && last.holder == from && last.term == term {
            return self.renew(now, grant, serial);
        }
        if term > last.term && (last.holder == from || now >= last.expires_at) {
            return self.grant(now, grant, serial);
        }
        let last = LeaseGrant { role, holder: last.holder, term: last.term };
        vec![Effect::Send(from, self.voter_set.message(ConsensusMessage::LeaseDenied(last)))]
    }

    /// Grants a new term. The reply is sent once the term is on disk.
    fn grant(&mut self, now: f64, grant: LeaseGrant, serial: u64) -> Vec<Effect> {
        let LeaseGrant { role, holder, term } = grant;
        self.granted
            .insert(role, GrantedLease { holder, term, expires_at: now + LEASE_DURATION, persisted: false });
        let granted = self.voter_set.message(ConsensusMessage::LeaseGranted(grant, serial));
        let persisted = self.voter_set.message(ConsensusMessage::GrantPersisted(grant));
        let record = DurableRecord { grants: vec![grant], ..DurableRecord::default() };
        vec![Effect::Store(record, vec![(holder, granted), (self.id, persisted)])]
    }

    /// Renews a grant. The reply waits until the term is on disk: otherwise the term could be forgotten after
    /// the renewal was counted, and another node be granted the next term.
    fn renew(&mut self, now: f64, grant: LeaseGrant, serial: u64) -> Vec<Effect> {
        let granted = self.voter_set.message(ConsensusMessage::LeaseGranted(grant, serial));
        let Some(last) = self.granted.get_mut(&grant.role) else { return Vec::new() };
        last.expires_at = now + LEASE_DURATION;
        if last.persisted {
            vec![Effect::Send(grant.holder, granted)]
        } else {
            vec![Effect::Store(DurableRecord::default(), vec![(grant.holder, granted)])]
        }
    }

    /// Records that this node's disk has the term that it granted. A node sends this message only to itself.
    pub(super) fn receive_persisted(&mut self, from: NodeId, grant: LeaseGrant) {
        if from != self.id {
            return;
        }
        if let Some(last) = self.granted.get_mut(&grant.role).filter(|last| last.term == grant.term) {
            last.persisted |= last.holder == grant.holder;
        }
    }

    /// Ends a grant that its holder no longer needs.
    pub(super) fn end_grant(&mut self, now: f64, grant: &LeaseGrant) {
        let is_same = |last: &&mut GrantedLease| (last.holder, last.term) == (grant.holder, grant.term);
        if let Some(last) = self.granted.get_mut(&grant.role).filter(is_same) {
            last.expires_at = now;
        }
    }
}
