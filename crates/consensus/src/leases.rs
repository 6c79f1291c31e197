//! Leases for singleton roles: which control node has a role, and until when (Gray and Cheriton, section 2;
//! here a majority of the voters takes the place of the server).
//!
//! A node requests a lease for a new term from all voters, and holds it once a majority has granted it. It
//! renews the lease in time, names a successor when it shuts down, and stops relying on the lease, by its own
//! clock, before the voters' grants expire. A voter persists a new term before it grants it. Renewals are not
//! persisted: a voter that restarts assumes that its last grant was made just now, and so knows which node
//! may still rely on it. Terms only grow, and serve as fencing tokens.
//!
//! Submodules: `granting` (the voter's side), `requesting` (the holder's side).
//!
//! Invariant: no role has two holders at one time.

mod granting;
mod requesting;

use crate::Effect;
use archlink_messages::{ConsensusMessage, LeaseGrant, NodeId, SINGLETON_ROLES, SingletonRole, VoterSet};
use granting::GrantedLease;
use requesting::{LeaseRequest, RequestKind};
use std::collections::BTreeMap;

/// Seconds for which a grant is valid. Four renewals fit in, so that lost messages don't cost the lease. The
/// role of a failed holder is vacant for about as long; requests that need its counter are decided by local
/// shares meanwhile.
pub const LEASE_DURATION: f64 = 0.8;

/// Not the id of any node: in a release, it means that there is no successor because the term was not won.
const NO_SUCCESSOR: NodeId = 0;

/// A lease held by this node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lease {
    /// The term in which it was granted; the fencing token.
    pub term: u64,
    /// When a majority first granted this term, in seconds of the local monotonic clock.
    pub since: f64,
    /// Valid until at least then, in seconds of the local monotonic clock.
    pub valid_until: f64,
}

/// The holder of a role as last reported to this node.
#[derive(Clone, Copy)]
struct KnownHolder {
    grant: LeaseGrant,
    reported_at: f64,
}

/// The leases of one control node, both as a voter that grants them and as a node that holds them.
pub struct Leases {
    id: NodeId,
    voter_set: VoterSet,
    rng: oorandom::Rand64,
    /// As a voter: the last grant for each role.
    granted: BTreeMap<SingletonRole, GrantedLease>,
    requests: BTreeMap<SingletonRole, LeaseRequest>,
    leases: BTreeMap<SingletonRole, Lease>,
    known_holders: BTreeMap<SingletonRole, KnownHolder>,
    /// The highest term that any voter is known to have granted, or that this node gave back.
    highest_terms: BTreeMap<SingletonRole, u64>,
    /// Terms up to this one were released by their holders: messages that name them as current are late.
    released_terms: BTreeMap<SingletonRole, u64>,
    /// The time before which no lease is requested for a role.
    retry_at: BTreeMap<SingletonRole, f64>,
    request_serial: u64,
    leaving: bool,
}

impl Leases {
    /// Creates the leases of a new incarnation. `grants` are the last grants of this node's earlier
    /// incarnation, from its disk. `seed` must differ between incarnations.
    pub fn new(now: f64, id: NodeId, seed: u64, grants: &[LeaseGrant]) -> Leases {
        // Random, so that a grant for an earlier incarnation's request matches no request of this one.
        let serial = oorandom::Rand64::new(u128::from(seed.rotate_left(1))).rand_u64();
        let mut leases = Leases {
            id,
            voter_set: VoterSet::default(),
            rng: oorandom::Rand64::new(u128::from(seed)),
            granted: BTreeMap::new(),
            requests: BTreeMap::new(),
            leases: BTreeMap::new(),
            known_holders: BTreeMap::new(),
            highest_terms: BTreeMap::new(),
            released_terms: BTreeMap::new(),
            retry_at: BTreeMap::new(),
            request_serial: serial,
            leaving: false,
        };
        grants.iter().for_each(|&grant| leases.restore_grant(now, grant));
        leases
    }

    /// Adopts the voter set of a new epoch. Requests of the previous epoch don't count; leases stay valid
    /// until they expire.
    pub fn set_voter_set(&mut self, voter_set: &VoterSet) {
        self.voter_set = voter_set.clone();
        self.requests.clear();
    }

    /// Returns the lease that this node holds for a role, if it is valid now.
    pub fn held_lease(&self, now: f64, role: SingletonRole) -> Option<Lease> {
        self.leases.get(&role).copied().filter(|lease| now < lease.valid_until)
    }

    /// Returns the holder of each role as far as it is known. Leases held by this node take precedence over
    /// reports from other nodes.
    pub fn holders(&self, now: f64) -> Vec<LeaseGrant> {
        let own_grant = |role| {
            self.held_lease(now, role).map(|lease| LeaseGrant { role, holder: self.id, term: lease.term })
        };
        SINGLETON_ROLES
            .into_iter()
            .filter_map(|role| own_grant(role).or(self.known_holders.get(&role).map(|known| known.grant)))
            .collect()
    }

    /// Records a report of a role's holder, to which a majority has granted the lease. A report from the
    /// holder itself also shows that it is alive.
    pub fn learn_holder(&mut self, now: f64, from: NodeId, grant: LeaseGrant) {
        if self.is_released(&grant) {
            return;
        }
        let is_newer = |known: &KnownHolder| {
            known.grant.term < grant.term || (known.grant.term == grant.term && from == grant.holder)
        };
        if self.known_holders.get(&grant.role).is_none_or(is_newer) {
            self.known_holders.insert(grant.role, KnownHolder { grant, reported_at: now });
        }
    }

    fn is_released(&self, grant: &LeaseGrant) -> bool {
        self.released_terms.get(&grant.role).is_some_and(|released| grant.term <= *released)
    }

    /// Renews leases, abandons requests that have timed out, and requests leases for vacant roles. Call it at
    /// short intervals.
    pub fn tick(&mut self, now: f64) -> Vec<Effect> {
        if self.leaving || !self.voter_set.is_known() {
            return Vec::new();
        }
        SINGLETON_ROLES.into_iter().flat_map(|role| self.tick_role(now, role)).collect()
    }

    /// Handles a message about leases in the current epoch. Other messages are ignored.
    pub fn step(&mut self, now: f64, from: NodeId, message: &ConsensusMessage) -> Vec<Effect> {
        match message {
            ConsensusMessage::LeaseRequest(grant, serial) => {
                self.receive_request(now, from, *grant, *serial, RequestKind::NewTerm)
            }
            ConsensusMessage::LeaseRenewal(grant, serial) => {
                self.receive_request(now, from, *grant, *serial, RequestKind::Renewal)
            }
            ConsensusMessage::GrantPersisted(grant) => {
                self.receive_persisted(from, *grant);
                Vec::new()
            }
            ConsensusMessage::LeaseGranted(grant, serial) => {
                self.receive_grant(now, from, *grant, *serial);
                Vec::new()
            }
            ConsensusMessage::LeaseDenied(grant) => self.receive_denial(now, *grant),
            ConsensusMessage::LeaseReleased(grant, successor) => {
                self.receive_release(now, from, *grant, *successor)
            }
            _ => Vec::new(),
        }
    }

    /// Handles the release of a lease by its holder, or of grants of a term that was not won
    /// ([`NO_SUCCESSOR`]).
    fn receive_release(
        &mut self,
        now: f64,
        from: NodeId,
        grant: LeaseGrant,
        successor: NodeId,
    ) -> Vec<Effect> {
        if from != grant.holder {
            return Vec::new();
        }
        self.end_grant(now, &grant);
        // A term that was not won has never been reported as held.
        if successor != NO_SUCCESSOR {
            let released = self.released_terms.entry(grant.role).or_default();
            *released = grant.term.max(*released);
        }
        if self.known_holders.get(&grant.role).is_some_and(|known| known.grant.holder == from) {
            self.known_holders.remove(&grant.role);
        }
        if successor == NO_SUCCESSOR {
            return Vec::new();
        }
        self.hand_over(now, &grant, successor)
    }
}
