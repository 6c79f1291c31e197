//! The holder's side: requesting, renewing and releasing leases.

use super::{KnownHolder, LEASE_DURATION, Lease, Leases, NO_SUCCESSOR};
use crate::Effect;
use archlink_messages::{ConsensusMessage, LeaseGrant, NodeId, SINGLETON_ROLES, SingletonRole};
use std::collections::BTreeSet;

/// Seconds between two renewals.
const RENEWAL_INTERVAL: f64 = 0.2;
/// The fraction of the lease duration for which the holder relies on it: the rates of its clock and the
/// voters' differ by far less than the remainder.
const HOLDER_SAFETY_FACTOR: f64 = 0.95;
/// Seconds after which a request without a majority has failed: two message delays between the most distant
/// regions and a slow sync fit in.
const REQUEST_TIMEOUT: f64 = 0.12;
/// The longest wait, in seconds, before a node's next request for a vacant role. The wait is random, so that
/// one of several nodes wins.
const REQUEST_JITTER: f64 = 0.25;
/// Seconds between the voters' turns to request a role that has just become vacant; another voter is first in
/// each term. Two requests at once split the grants and both fail, which costs more than the turn of a voter
/// that has failed as well.
const TURN_INTERVAL: f64 = 0.07;
/// The fraction of a turn before the first one, in which all grants for the failed holder expire.
const FIRST_TURN_DELAY: f64 = 0.4;

/// The kind of a lease request.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestKind {
    /// A term that was not granted to this node before.
    NewTerm,
    /// The term of a lease that this incarnation of the node holds, or has just requested.
    Renewal,
}

/// The last request for a role.
pub(super) struct LeaseRequest {
    term: u64,
    /// A grant counts only for the request that it answers: a late grant for an earlier request expires
    /// sooner.
    serial: u64,
    sent_at: f64,
    granted_by: BTreeSet<NodeId>,
    /// Whether this node was named as successor. A voter that denies such a request may not have received the
    /// release yet, and is sent the request once more.
    named_successor: bool,
}

impl Leases {
    /// Sends the renewal or request that is due for one role.
    pub(super) fn tick_role(&mut self, now: f64, role: SingletonRole) -> Vec<Effect> {
        if let Some(lease) = self.held_lease(now, role) {
            let is_due = |request: &LeaseRequest| now >= request.sent_at + RENEWAL_INTERVAL;
            return match self.requests.get(&role).is_none_or(is_due) {
                true => self.request_lease(now, role, lease.term, RequestKind::Renewal),
                false => Vec::new(),
            };
        }
        let mut effects = self.abandon_timed_out_request(now, role);
        let holder_may_be_alive = self.holder_may_be_alive(now, role);
        // Drawn at every tick, even if the time is set already: seeded runs depend on the number of draws.
        let first_attempt_at = now + REQUEST_JITTER * self.rng.rand_float();
        let retry_at = *self.retry_at.entry(role).or_insert(first_attempt_at);
        if holder_may_be_alive || now < retry_at || self.requests.contains_key(&role) {
            return effects;
        }
        let term = self.next_term(role);
        effects.extend(self.request_lease(now, role, term, RequestKind::NewTerm));
        effects
    }

    /// Releases the grants of a request that has timed out without a majority: if each voter kept granting to
    /// itself, none would win.
    fn abandon_timed_out_request(&mut self, now: f64, role: SingletonRole) -> Vec<Effect> {
        if !self.requests.get(&role).is_some_and(|request| now >= request.sent_at + REQUEST_TIMEOUT) {
            return Vec::new();
        }
        let effects = self.release_grants(role);
        self.retry_at.insert(role, now + REQUEST_JITTER * self.rng.rand_float());
        effects
    }

    /// Returns whether the holder was heard from lately, or it is not yet this node's turn to succeed it.
    fn holder_may_be_alive(&self, now: f64, role: SingletonRole) -> bool {
        let granted_at =
            self.granted.get(&role).map_or(f64::NEG_INFINITY, |last| last.expires_at - LEASE_DURATION);
        self.known_holders.get(&role).is_some_and(|known| {
            known.grant.holder != self.id
                && now
                    < known.reported_at.max(granted_at)
                        + LEASE_DURATION
                        + TURN_INTERVAL * self.turns_to_wait(&known.grant)
        })
    }

    /// Returns the number of turns after which this node may request the role of a failed holder.
    fn turns_to_wait(&self, failed: &LeaseGrant) -> f64 {
        let candidates: Vec<NodeId> =
            self.voter_set.all_voters().into_iter().filter(|&node| node != failed.holder).collect();
        let first = failed.term as usize % candidates.len().max(1);
        let position = candidates.iter().position(|&node| node == self.id);
        let turns = position
            .map_or(candidates.len(), |position| (position + candidates.len() - first) % candidates.len());
        FIRST_TURN_DELAY + turns as f64
    }

    fn next_term(&self, role: SingletonRole) -> u64 {
        let granted = self.granted.get(&role).map_or(0, |last| last.term);
        let highest = self.highest_terms.get(&role).copied().unwrap_or(0);
        let known = self.known_holders.get(&role).map_or(0, |known| known.grant.term);
        granted.max(highest).max(known) + 1
    }

    fn request_lease(&mut self, now: f64, role: SingletonRole, term: u64, kind: RequestKind) -> Vec<Effect> {
        self.request_serial = self.request_serial.wrapping_add(1);
        let serial = self.request_serial;
        let granted_by = BTreeSet::new();
        self.requests
            .insert(role, LeaseRequest { term, serial, sent_at: now, granted_by, named_successor: false });
        let grant = LeaseGrant { role, holder: self.id, term };
        let message = self.voter_set.message(match kind {
            RequestKind::NewTerm => ConsensusMessage::LeaseRequest(grant, serial),
            RequestKind::Renewal => ConsensusMessage::LeaseRenewal(grant, serial),
        });
        self.voter_set.all_voters().into_iter().map(|node| Effect::Send(node, message.clone())).collect()
    }

    /// Releases the grants of a term that was not won. Invariant: that term is never requested again, since
    /// this release, should it arrive late, would end a grant that was won.
    fn release_grants(&mut self, role: SingletonRole) -> Vec<Effect> {
        let Some(LeaseRequest { term, granted_by, .. }) = self.requests.remove(&role) else {
            return Vec::new();
        };
        self.raise_highest_term(role, term);
        let grant = LeaseGrant { role, holder: self.id, term };
        let release = self.voter_set.message(ConsensusMessage::LeaseReleased(grant, NO_SUCCESSOR));
        granted_by.into_iter().map(|node| Effect::Send(node, release.clone())).collect()
    }

    fn raise_highest_term(&mut self, role: SingletonRole, term: u64) {
        let highest = self.highest_terms.entry(role).or_default();
        *highest = term.max(*highest);
    }

    /// Counts a voter's grant; a majority of grants makes a lease.
    pub(super) fn receive_grant(&mut self, now: f64, from: NodeId, grant: LeaseGrant, serial: u64) {
        let matches = |request: &&mut LeaseRequest| (request.serial, request.term) == (serial, grant.term);
        let Some(request) = self.requests.get_mut(&grant.role).filter(matches) else { return };
        if grant.holder != self.id || !self.voter_set.contains(from) || self.leaving {
            return;
        }
        request.granted_by.insert(from);
        if !self.voter_set.has_quorum(|node| request.granted_by.contains(&node)) {
            return;
        }
        // Counted from the time at which the request was sent: no voter's grant expires sooner.
        let valid_until = request.sent_at + LEASE_DURATION * HOLDER_SAFETY_FACTOR;
        let renewed = self.leases.get(&grant.role).filter(|lease| lease.term == grant.term);
        let since = renewed.map_or(now, |lease| lease.since);
        self.leases.insert(grant.role, Lease { term: grant.term, since, valid_until });
        self.known_holders.insert(grant.role, KnownHolder { grant, reported_at: now });
    }

    /// Records the term of a denial, so that the next request is above it. One voter's grant doesn't tell who
    /// the holder is, as that node may not have won a majority.
    pub(super) fn receive_denial(&mut self, now: f64, grant: LeaseGrant) -> Vec<Effect> {
        self.raise_highest_term(grant.role, grant.term);
        match self.requests.get(&grant.role) {
            Some(LeaseRequest { term, named_successor: true, .. }) if self.is_released(&grant) => {
                self.request_lease(now, grant.role, *term, RequestKind::Renewal)
            }
            _ => Vec::new(),
        }
    }

    /// Releases all leases of this node, which is shutting down. `successor` may request them at once.
    pub fn leave(&mut self, now: f64, successor: Option<NodeId>) -> Vec<Effect> {
        self.leaving = true;
        let is_held = |role: &SingletonRole| self.held_lease(now, *role).is_some();
        let held: Vec<SingletonRole> = SINGLETON_ROLES.into_iter().filter(is_held).collect();
        let mut effects = Vec::new();
        for role in held {
            let (Some(lease), Some(successor)) = (self.leases.remove(&role), successor) else { continue };
            let grant = LeaseGrant { role, holder: self.id, term: lease.term };
            let release = self.voter_set.message(ConsensusMessage::LeaseReleased(grant, successor));
            // The successor is sent the release last: when it requests the lease, the release is on its way
            // to all others.
            let voters = self.voter_set.all_voters().into_iter().filter(|&node| node != successor);
            effects.extend(voters.chain([successor]).map(|node| Effect::Send(node, release.clone())));
        }
        effects
    }

    /// Requests a released lease if this node is the named successor; otherwise leaves the successor time to
    /// do so.
    pub(super) fn hand_over(&mut self, now: f64, released: &LeaseGrant, successor: NodeId) -> Vec<Effect> {
        let role = released.role;
        if successor != self.id {
            let jitter = REQUEST_JITTER * self.rng.rand_float();
            self.retry_at.insert(role, now + REQUEST_TIMEOUT + jitter);
            return Vec::new();
        }
        let effects = self.request_lease(now, role, released.term + 1, RequestKind::NewTerm);
        self.requests.entry(role).and_modify(|request| request.named_successor = true);
        effects
    }
}
