//! Since when a majority has confirmed what is known here: read requests ask the voters which proposal
//! numbers they have accepted. The role is that of the read index (Ongaro, section 6.4): a read at time t is
//! served once a majority has replied to a request that was sent at t or later.
//!
//! Invariants:
//!
//! - A reply counts from the time at which its request was sent, never later; a reply to a request of another
//!   incarnation or epoch doesn't count.
//! - Readers share requests: however many there are, a request is not displaced before it can be answered.

use archlink_messages::{NodeId, ProposalNumber, REGISTERS, Register, VoterSet};
use std::collections::{BTreeMap, VecDeque};

/// Seconds between two read requests while no reader waits.
const READ_INTERVAL: f64 = 0.4;
/// The same while nothing is confirmed: after a start the links are set up one by one, and nobody is served
/// before.
const STARTUP_READ_INTERVAL: f64 = 0.1;
/// The same while a reader waits and no majority has replied: it bounds the cost of a lost reply, and the
/// load on slow disks.
const READ_RETRY: f64 = 0.1;
/// Seconds after which a reader has given up; as long as [`super::PROPOSAL_TIMEOUT`].
const READER_TIMEOUT: f64 = 0.9;
/// Requests that may still be answered, 16 bytes each. At one every [`READ_RETRY`] it is 25 s of them, many
/// times the slowest reply that a lease could depend on.
const MAX_OUTSTANDING: usize = 256;
/// Seconds after which a reply no longer counts. A voter that lost its disk since, and copied the state of
/// others, is back after more than this (`acceptor::state_transfer::LOST_DISK_SILENCE`), and only then may
/// another voter accept what it had accepted.
const REPLY_LIFETIME: f64 = 2.0;
/// Seconds until a value that a majority reports is fetched again.
const FETCH_RETRY: f64 = 0.25;
/// Replies to requests sent longer ago, in seconds, are not combined with later ones to see what a majority
/// has accepted: a voter that replied may have lost its disk since, and be back (after 2.5 s at the soonest)
/// without what it had accepted.
const AGREEMENT_WINDOW: f64 = 2.4;
/// After so many majorities of replies in a row without a common number, no proposer is about to finish.
const MAX_DISAGREEMENTS: u32 = 2;
/// Bits of a serial number that are drawn: few bytes on the wire, and still no two incarnations alike.
const SERIAL_BITS: u32 = 40;

/// A request that may still be answered.
#[derive(Clone, Copy, Debug)]
struct ReadRequest {
    serial: u64,
    sent_at: f64,
}

/// A voter's newest reply, with the time at which its request was sent.
#[derive(Clone, Debug)]
struct ReadReply {
    requested_at: f64,
    proposals: BTreeMap<Register, ProposalNumber>,
}

/// The last value that was fetched from a voter.
#[derive(Clone, Copy, Debug)]
struct Fetch {
    proposal: ProposalNumber,
    sent_at: f64,
}

/// Read requests, the replies to them, and what follows.
#[derive(Clone, Debug)]
pub(super) struct QuorumRead {
    /// Starts at random in each incarnation: a reply to an earlier one's request matches no request of this
    /// one.
    serial: u64,
    /// The newest at the back.
    outstanding: VecDeque<ReadRequest>,
    replies: BTreeMap<NodeId, ReadReply>,
    confirmed: BTreeMap<Register, f64>,
    /// When the last reader came that is not served yet.
    reader_since: Option<f64>,
    fetches: BTreeMap<Register, Fetch>,
    disagreements: BTreeMap<Register, u32>,
    checked_at: f64,
}

impl QuorumRead {
    /// `random` is a number drawn for this incarnation.
    pub fn new(random: u64) -> QuorumRead {
        QuorumRead {
            serial: random >> (u64::BITS - SERIAL_BITS),
            outstanding: VecDeque::new(),
            replies: BTreeMap::new(),
            confirmed: BTreeMap::new(),
            reader_since: None,
            fetches: BTreeMap::new(),
            disagreements: BTreeMap::new(),
            checked_at: f64::NEG_INFINITY,
        }
    }

    /// A new epoch has begun: replies of the one before don't count.
    pub fn reset_epoch(&mut self) {
        self.outstanding.clear();
        self.replies.clear();
        self.fetches.clear();
        self.disagreements.clear();
    }

    /// Since when the value known here is confirmed to be the newest.
    pub fn confirmed(&self, register: Register) -> Option<f64> {
        self.confirmed.get(&register).copied()
    }

    /// The register has other content than before, which is not confirmed yet.
    pub fn invalidate(&mut self, register: Register) {
        self.confirmed.remove(&register);
    }

    fn last_request_at(&self) -> f64 {
        self.outstanding.back().map_or(f64::NEG_INFINITY, |request| request.sent_at)
    }

    fn quorum_replied_since(&self, voter_set: &VoterSet, at: f64) -> bool {
        voter_set.has_quorum(|node| self.replies.get(&node).is_some_and(|reply| reply.requested_at >= at))
    }

    /// A reader needs a confirmation at `now` or later. All that come while a request is out share the next
    /// one.
    pub fn request_confirmation(&mut self, now: f64) {
        if self.last_request_at() < now {
            self.reader_since = Some(now);
        }
    }

    /// Is it time for a request? With a reader waiting: once a majority has replied to the one before, or
    /// after a short wait.
    pub fn due(&mut self, now: f64, voter_set: &VoterSet) -> bool {
        let all_confirmed =
            |at| REGISTERS.iter().all(|register| self.confirmed(*register).is_some_and(|since| since >= at));
        self.reader_since = self.reader_since.filter(|&at| now <= at + READER_TIMEOUT && !all_confirmed(at));
        let last = self.last_request_at();
        let interval = match self.reader_since {
            Some(at) if last < at && self.quorum_replied_since(voter_set, last) => return true,
            Some(_) => READ_RETRY,
            None => self.interval(),
        };
        now >= last + interval
    }

    fn interval(&self) -> f64 {
        if self.confirmed(Register::Configuration).is_some() { READ_INTERVAL } else { STARTUP_READ_INTERVAL }
    }

    /// Notes that a request is sent, and returns its serial number.
    pub fn next_request(&mut self, now: f64) -> u64 {
        self.serial += 1;
        self.outstanding.push_back(ReadRequest { serial: self.serial, sent_at: now });
        if self.outstanding.len() > MAX_OUTSTANDING {
            self.outstanding.pop_front();
        }
        self.serial
    }

    /// Registers on which the voters stay diverged; to be called before each request.
    pub fn diverged_registers(&mut self, now: f64, voter_set: &VoterSet) -> Vec<Register> {
        if now < self.checked_at + self.interval() || !self.quorum_replied_since(voter_set, self.checked_at) {
            return Vec::new();
        }
        self.checked_at = now;
        let mut diverged = Vec::new();
        for register in REGISTERS {
            let mut reported = self.replies.values().filter_map(|reply| reply.proposals.get(&register));
            if reported.any(|proposal| self.quorum_accepted(now, voter_set, register, *proposal)) {
                self.disagreements.remove(&register);
                continue;
            }
            let disagreements = self.disagreements.entry(register).or_default();
            *disagreements += 1;
            if *disagreements >= MAX_DISAGREEMENTS {
                *disagreements = 0;
                diverged.push(register);
            }
        }
        diverged
    }

    /// Drops replies that are too old to be counted with newer ones.
    pub fn expire_replies(&mut self, now: f64) {
        self.replies.retain(|_, reply| now < reply.requested_at + REPLY_LIFETIME);
    }

    /// Takes a voter's reply; false where it matches no request or is not newer than the one before.
    pub fn receive_reply(
        &mut self,
        from: NodeId,
        serial: u64,
        proposals: &[(Register, ProposalNumber)],
    ) -> bool {
        let Some(request) = self.outstanding.iter().find(|request| request.serial == serial) else {
            return false;
        };
        let requested_at = request.sent_at;
        if self.replies.get(&from).is_some_and(|known| known.requested_at >= requested_at) {
            return false;
        }
        self.replies.insert(from, ReadReply { requested_at, proposals: proposals.iter().copied().collect() });
        true
    }

    /// Has a majority accepted this number, by their newest replies?
    pub fn quorum_accepted(
        &self,
        now: f64,
        voter_set: &VoterSet,
        register: Register,
        proposal: ProposalNumber,
    ) -> bool {
        let reports = |reply: &ReadReply| {
            now < reply.requested_at + AGREEMENT_WINDOW && reply.proposals.get(&register) == Some(&proposal)
        };
        voter_set.has_quorum(|node| self.replies.get(&node).is_some_and(reports))
    }

    /// `ours` is the number of the chosen value known here. It is confirmed from the latest time since which
    /// a majority was sent requests and reported nothing greater, each voter in whichever reply: had a newer
    /// value been chosen before that time, one of them would have reported it.
    pub fn confirm(&mut self, voter_set: &VoterSet, register: Register, ours: ProposalNumber) {
        let confirms_since = |reply: &ReadReply| {
            let theirs = reply.proposals.get(&register)?;
            (*theirs <= ours).then_some(reply.requested_at)
        };
        let mut times: Vec<f64> = self.replies.values().filter_map(confirms_since).collect();
        times.sort_by(|a, b| b.total_cmp(a));
        let confirms =
            |node, at| self.replies.get(&node).and_then(confirms_since).is_some_and(|since| since >= at);
        if let Some(at) = times.into_iter().find(|at| voter_set.has_quorum(|node| confirms(node, *at))) {
            let confirmed = self.confirmed.entry(register).or_insert(at);
            *confirmed = confirmed.max(at);
        }
    }

    /// May the value under this number be fetched now? Not while it may still be on its way.
    pub fn may_fetch(&mut self, now: f64, register: Register, proposal: ProposalNumber) -> bool {
        let is_due = |last: &Fetch| last.proposal != proposal || now >= last.sent_at + FETCH_RETRY;
        let may_fetch = self.fetches.get(&register).is_none_or(is_due);
        if may_fetch {
            self.fetches.insert(register, Fetch { proposal, sent_at: now });
        }
        may_fetch
    }
}
