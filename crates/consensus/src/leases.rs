//! Duties that one control gateway does for all: who holds which, and until when. A majority of the voters grants a term
//! for a span; the holder renews it in time, names its successor when it leaves, and stops by its own clock before the
//! voters' grants end. A new term is on a voter's disk before it is granted, renewals are not: a voter that started anew
//! takes the last grant for fresh, and so knows who alone may still rely on it. Terms only ever grow. Must never let two
//! gateways hold one duty at a moment.

use crate::{DurableRecord, Effect};
use archlink_messages::{ConsensusMessage, LeaseGrant, NodeId, SINGLETON_ROLES, SingletonRole, VoterSet};
use std::collections::{BTreeMap, BTreeSet};

/// How long a grant lasts. Four renewals fit in, so that lost messages cost no duty; a dead holder's duty stands still
/// for at most as long, and every request without a counter is one decided by shares alone.
pub const LEASE_DURATION: f64 = 0.8;
const RENEWAL_INTERVAL: f64 = 0.2;
/// A holder stops this part of the span early: its clock and the voters' may run apart by far less.
const HOLDER_SAFETY_FACTOR: f64 = 0.95;
/// A bid that has no majority by then has lost: two ways between the widest pair of regions and a slow sync fit in.
const REQUEST_TIMEOUT: f64 = 0.12;
/// The wait before the next bid of one gateway for a duty that nobody holds; chance spreads them so that one wins.
const REQUEST_JITTER: f64 = 0.25;
/// Voters bid for a duty that has just become free in turn, this far apart, another one first in each term: two at once split
/// the grants and both lose, which costs more than waiting for one that is gone as well.
const TURN_INTERVAL: f64 = 0.07;

/// No node has this number; a grant given back names no successor.
const NO_SUCCESSOR: NodeId = 0;

#[derive(Clone, Copy)]
struct GrantedLease {
    holder: NodeId,
    term: u64,
    until: f64,
    /// The disk has it: a renewal needs not wait for that.
    persisted: bool,
}

#[derive(Default)]
struct LeaseRequest {
    term: u64,
    /// A grant counts for the very bid that it answers: a late one of an earlier bid ends sooner.
    serial: u64,
    at: f64,
    granted_by: BTreeSet<NodeId>,
    /// Of a successor that was named: a voter that denies has only not heard of it yet, and is asked once more.
    named_successor: bool,
}

/// A term that this gateway holds: since when, and until when at least.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lease {
    pub term: u64,
    pub since: f64,
    pub valid_until: f64,
}

pub struct Leases {
    id: NodeId,
    voter_set: VoterSet,
    rng: oorandom::Rand64,
    granted: BTreeMap<SingletonRole, GrantedLease>,
    requests: BTreeMap<SingletonRole, LeaseRequest>,
    held: BTreeMap<SingletonRole, Lease>,
    /// Who was last heard to hold it, and when.
    known_holders: BTreeMap<SingletonRole, (LeaseGrant, f64)>,
    /// The greatest term that anybody granted, as far as known.
    highest_terms: BTreeMap<SingletonRole, u64>,
    /// Terms up to this one were given up by their holder: word of them that is still about is old.
    released_terms: BTreeMap<SingletonRole, u64>,
    retry_at: BTreeMap<SingletonRole, f64>,
    serial: u64,
    leaving: bool,
}

impl Leases {
    /// `posts`: what this gateway granted last in its life before, from its disk.
    pub fn new(now: f64, me: NodeId, seed: u64, grants: &[LeaseGrant]) -> Leases {
        // By chance, so that no grant to an earlier life's bid is taken for one to this life's.
        let serial = oorandom::Rand64::new(u128::from(seed.rotate_left(1))).rand_u64();
        let mut roles = Leases {
            id: me,
            voter_set: VoterSet::default(),
            rng: oorandom::Rand64::new(u128::from(seed)),
            granted: BTreeMap::new(),
            requests: BTreeMap::new(),
            held: BTreeMap::new(),
            known_holders: BTreeMap::new(),
            highest_terms: BTreeMap::new(),
            released_terms: BTreeMap::new(),
            retry_at: BTreeMap::new(),
            serial,
            leaving: false,
        };
        grants.iter().for_each(|&post| roles.restore_grant(now, post));
        roles
    }

    /// A grant from before this life, or one that others tell of: it may still last its whole span.
    pub fn restore_grant(&mut self, now: f64, post: LeaseGrant) {
        let LeaseGrant { role, holder, term } = post;
        if self.granted.get(&role).is_none_or(|given| given.term < term) {
            self.granted
                .insert(role, GrantedLease { holder, term, until: now + LEASE_DURATION, persisted: true });
            // What it held itself is over with the life before: nobody else may have it sooner.
            if holder == self.id {
                self.retry_at.insert(role, now);
            }
        }
    }

    /// The last grant of each duty.
    pub fn grants(&self) -> Vec<LeaseGrant> {
        self.granted.iter().map(|(&role, g)| LeaseGrant { role, holder: g.holder, term: g.term }).collect()
    }

    /// Another epoch: bids of the one before count for nothing. What is held stands until its grants end.
    pub fn set_voter_set(&mut self, voter_set: &VoterSet) {
        self.voter_set = voter_set.clone();
        self.requests.clear();
    }

    /// The term in which this gateway holds a duty now.
    pub fn held_lease(&self, now: f64, role: SingletonRole) -> Option<Lease> {
        self.held.get(&role).copied().filter(|term| now < term.valid_until)
    }

    /// Holders as far as known, the own terms first.
    pub fn holders(&self, now: f64) -> Vec<LeaseGrant> {
        let own =
            |role| self.held_lease(now, role).map(|t| LeaseGrant { role, holder: self.id, term: t.term });
        SINGLETON_ROLES
            .into_iter()
            .filter_map(|role| own(role).or(self.known_holders.get(&role).map(|k| k.0)))
            .collect()
    }

    /// Word of who holds a duty, from a majority's grant; `from` the holder itself it is a sign of life.
    pub fn learn_holder(&mut self, now: f64, from: NodeId, post: LeaseGrant) {
        let known = self.known_holders.get(&post.role);
        if self.released_terms.get(&post.role).is_some_and(|over| post.term <= *over) {
            return;
        }
        if known.is_none_or(|(k, _)| k.term < post.term || (k.term == post.term && from == post.holder)) {
            self.known_holders.insert(post.role, (post, now));
        }
    }

    /// This gateway's turn to bid after a holder that is gone; a fraction of a turn lets all grants of its end first.
    fn turn(&self, gone: &LeaseGrant) -> f64 {
        const ENDS: f64 = 0.4;
        let rest: Vec<NodeId> =
            self.voter_set.all_voters().into_iter().filter(|&node| node != gone.holder).collect();
        let first = gone.term as usize % rest.len().max(1);
        let place = rest.iter().position(|&node| node == self.id);
        ENDS + place.map_or(rest.len(), |place| (place + rest.len() - first) % rest.len()) as f64
    }

    fn next_term(&self, role: SingletonRole) -> u64 {
        let given = self.granted.get(&role).map_or(0, |g| g.term);
        given
            .max(self.highest_terms.get(&role).copied().unwrap_or(0))
            .max(self.known_holders.get(&role).map_or(0, |(k, _)| k.term))
            + 1
    }

    /// `again`: for a term that this gateway holds, or has just bid for; another life's bid is never taken for such a one.
    fn request_lease(&mut self, now: f64, role: SingletonRole, term: u64, again: bool) -> Vec<Effect> {
        self.serial = self.serial.wrapping_add(1);
        let serial = self.serial;
        let yes = BTreeSet::new();
        self.requests
            .insert(role, LeaseRequest { term, serial, at: now, granted_by: yes, named_successor: false });
        let post = LeaseGrant { role, holder: self.id, term };
        let word = self.voter_set.message(if again {
            ConsensusMessage::LeaseRenewal(post, serial)
        } else {
            ConsensusMessage::LeaseRequest(post, serial)
        });
        self.voter_set.all_voters().into_iter().map(|node| Effect::Send(node, word.clone())).collect()
    }

    fn release_grants(&mut self, role: SingletonRole) -> Vec<Effect> {
        let Some(LeaseRequest { term, granted_by: yes, .. }) = self.requests.remove(&role) else {
            return Vec::new();
        };
        let post = LeaseGrant { role, holder: self.id, term };
        // Never bid for again: this word, should it come late, must not free a grant that was won.
        let seen = self.highest_terms.entry(role).or_default();
        *seen = term.max(*seen);
        let word = self.voter_set.message(ConsensusMessage::LeaseReleased(post, NO_SUCCESSOR));
        yes.into_iter().map(|node| Effect::Send(node, word.clone())).collect()
    }

    pub fn tick(&mut self, now: f64) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.leaving || !self.voter_set.is_known() {
            return effects;
        }
        for role in SINGLETON_ROLES {
            if let Some(term) = self.held_lease(now, role) {
                if self.requests.get(&role).is_none_or(|b| now >= b.at + RENEWAL_INTERVAL) {
                    effects.extend(self.request_lease(now, role, term.term, true));
                }
                continue;
            }
            // Who has not won gives back what was granted: each voter granting itself again and again, none would win.
            if self.requests.get(&role).is_some_and(|b| now >= b.at + REQUEST_TIMEOUT) {
                effects.extend(self.release_grants(role));
                self.retry_at.insert(role, now + REQUEST_JITTER * self.rng.rand_float());
            }
            // A holder that was heard of lately is left alone; after that the voters bid in turn.
            let granted = self.granted.get(&role).map_or(f64::NEG_INFINITY, |g| g.until - LEASE_DURATION);
            let alive = self.known_holders.get(&role).is_some_and(|(k, at)| {
                k.holder != self.id && now < at.max(granted) + LEASE_DURATION + TURN_INTERVAL * self.turn(k)
            });
            let try_at = *self.retry_at.entry(role).or_insert(now + REQUEST_JITTER * self.rng.rand_float());
            if alive || now < try_at || self.requests.contains_key(&role) {
                continue;
            }
            let term = self.next_term(role);
            effects.extend(self.request_lease(now, role, term, false));
        }
        effects
    }

    pub fn step(&mut self, now: f64, from: NodeId, poll: &ConsensusMessage) -> Vec<Effect> {
        match poll {
            ConsensusMessage::LeaseRequest(post, serial) if self.voter_set.contains(self.id) => {
                self.receive_request(now, from, *post, *serial, false)
            }
            ConsensusMessage::GrantPersisted(post) if from == self.id => {
                if let Some(given) = self.granted.get_mut(&post.role).filter(|g| g.term == post.term) {
                    given.persisted |= given.holder == post.holder;
                }
                Vec::new()
            }
            ConsensusMessage::LeaseRenewal(post, serial) if self.voter_set.contains(self.id) => {
                self.receive_request(now, from, *post, *serial, true)
            }
            ConsensusMessage::LeaseGranted(post, serial) => self.receive_grant(now, from, *post, *serial),
            // What one voter granted is no word of a holder: it may have lost. Only its term counts, to bid above it.
            ConsensusMessage::LeaseDenied(post) => {
                let seen = self.highest_terms.entry(post.role).or_default();
                *seen = post.term.max(*seen);
                let over = self.released_terms.get(&post.role).is_some_and(|over| post.term <= *over);
                match self.requests.get_mut(&post.role) {
                    Some(LeaseRequest { term, named_successor: true, .. }) if over => {
                        let term = *term;
                        self.request_lease(now, post.role, term, true)
                    }
                    _ => Vec::new(),
                }
            }
            ConsensusMessage::LeaseReleased(post, successor) => {
                self.receive_release(now, from, *post, *successor)
            }
            _ => Vec::new(),
        }
    }

    fn receive_request(
        &mut self,
        now: f64,
        from: NodeId,
        post: LeaseGrant,
        serial: u64,
        again: bool,
    ) -> Vec<Effect> {
        let LeaseGrant { role, holder, term } = post;
        if holder != from {
            return Vec::new();
        }
        let before = self.granted.get(&role).copied();
        // Another's grant is waited out; a new term is above all terms before it. Who bids for a new term of its own has
        // given up the one before, or has lost it with its life.
        let renewed = again && before.is_some_and(|g| g.holder == from && g.term == term);
        let free = before.is_none_or(|g| term > g.term && (g.holder == from || now >= g.until));
        if renewed || free {
            let kept = renewed && before.is_some_and(|g| g.persisted);
            self.granted
                .insert(role, GrantedLease { holder, term, until: now + LEASE_DURATION, persisted: kept });
            let grant = self.voter_set.message(ConsensusMessage::LeaseGranted(post, serial));
            // A renewal that counts before the term is on the disk would be forgotten with it, and another would be granted.
            return match renewed {
                true if kept => vec![Effect::Send(from, grant)],
                true => vec![Effect::Store(DurableRecord::default(), vec![(from, grant)])],
                false => {
                    let then = vec![
                        (from, grant),
                        (self.id, self.voter_set.message(ConsensusMessage::GrantPersisted(post))),
                    ];
                    vec![Effect::Store(
                        DurableRecord { grants: vec![post], ..DurableRecord::default() },
                        then,
                    )]
                }
            };
        }
        let Some(GrantedLease { holder, term, .. }) = before else { return Vec::new() };
        vec![Effect::Send(
            from,
            self.voter_set.message(ConsensusMessage::LeaseDenied(LeaseGrant { role, holder, term })),
        )]
    }

    fn receive_grant(&mut self, now: f64, from: NodeId, post: LeaseGrant, serial: u64) -> Vec<Effect> {
        let mine = |bidding: &&mut LeaseRequest| (bidding.serial, bidding.term) == (serial, post.term);
        let Some(bidding) = self.requests.get_mut(&post.role).filter(mine) else { return Vec::new() };
        if post.holder != self.id || !self.voter_set.contains(from) || self.leaving {
            return Vec::new();
        }
        bidding.granted_by.insert(from);
        if !self.voter_set.has_quorum(|node| bidding.granted_by.contains(&node)) {
            return Vec::new();
        }
        // From before the question was sent: no voter's grant ends sooner.
        let until = bidding.at + LEASE_DURATION * HOLDER_SAFETY_FACTOR;
        let since = self.held.get(&post.role).filter(|t| t.term == post.term).map_or(now, |t| t.since);
        self.held.insert(post.role, Lease { term: post.term, since, valid_until: until });
        self.known_holders.insert(post.role, (post, now));
        Vec::new()
    }

    /// Leaves all duties to `successor`, which may begin at once.
    pub fn leave(&mut self, now: f64, successor: Option<NodeId>) -> Vec<Effect> {
        self.leaving = true;
        let held: Vec<SingletonRole> =
            SINGLETON_ROLES.into_iter().filter(|&role| self.held_lease(now, role).is_some()).collect();
        let mut effects = Vec::new();
        for role in held {
            let Some(term) = self.held.remove(&role) else { continue };
            let (Some(successor), post) = (successor, LeaseGrant { role, holder: self.id, term: term.term })
            else {
                continue;
            };
            let word = self.voter_set.message(ConsensusMessage::LeaseReleased(post, successor));
            let voters = self.voter_set.all_voters().into_iter().filter(|&node| node != successor);
            effects.extend(voters.chain([successor]).map(|node| Effect::Send(node, word.clone())));
        }
        effects
    }

    fn receive_release(
        &mut self,
        now: f64,
        from: NodeId,
        post: LeaseGrant,
        successor: NodeId,
    ) -> Vec<Effect> {
        if from != post.holder {
            return Vec::new();
        }
        if let Some(given) =
            self.granted.get_mut(&post.role).filter(|g| (g.holder, g.term) == (from, post.term))
        {
            given.until = now;
        }
        // Of a term that was only given back, as it was not won, there is no word to be told.
        if successor != NO_SUCCESSOR {
            let over = self.released_terms.entry(post.role).or_default();
            *over = post.term.max(*over);
        }
        let known = self.known_holders.get(&post.role).is_some_and(|(k, _)| k.holder == from);
        if known {
            self.known_holders.remove(&post.role);
        }
        if successor == NO_SUCCESSOR {
            return Vec::new();
        }
        if successor != self.id {
            // Time for the one that was named.
            self.retry_at.insert(post.role, now + REQUEST_TIMEOUT + REQUEST_JITTER * self.rng.rand_float());
            return Vec::new();
        }
        let effects = self.request_lease(now, post.role, post.term + 1, false);
        self.requests.entry(post.role).and_modify(|bidding| bidding.named_successor = true);
        effects
    }
}
