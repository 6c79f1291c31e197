//! Quorum reads: confirmation by a majority of what is known here. Read requests ask the voters which
//! proposal numbers they have accepted. Their role is that of the read index in Raft (Ongaro, section 6.4): a
//! read at time t is served once a majority has replied to a request that was sent at t or later.
//!
//! Invariants:
//!
//! - A reply counts from the time at which its request was sent, never later; a reply to a request of another
//!   incarnation or epoch doesn't count.
//! - Readers share requests: however many readers there are, a request is not evicted before it can be
//!   answered.

use archlink_messages::{NodeId, ProposalNumber, REGISTERS, Register, VoterSet};
use std::collections::{BTreeMap, VecDeque};

/// Seconds between two read requests while no reader waits.
const READ_INTERVAL: f64 = 0.4;
/// The same while nothing is confirmed: after a start the links are established one by one, and no reader is
/// served before that.
const STARTUP_READ_INTERVAL: f64 = 0.1;
/// The same while a reader waits and no majority has replied. It bounds the cost of a lost reply, and the
/// load on slow disks.
const READ_RETRY: f64 = 0.1;
/// Seconds after which a reader has given up; equal to [`super::PROPOSAL_TIMEOUT`].
const READER_TIMEOUT: f64 = 0.9;
/// The largest number of requests that may still be answered, 16 bytes each. At one every [`READ_RETRY`] they
/// cover 25 s, many times the slowest reply that a lease could depend on.
const MAX_OUTSTANDING: usize = 256;
/// Seconds after which a reply no longer counts. A voter that has lost its disk since and copied the state of
/// others returns later than this (`acceptor::state_transfer::LOST_DISK_SILENCE`), and only then may another
/// voter accept what it had accepted.
const REPLY_LIFETIME: f64 = 2.0;
/// Seconds until a value that a majority reports is fetched again.
const FETCH_RETRY: f64 = 0.25;
/// Seconds after its request during which a reply is combined with others to determine what a majority has
/// accepted. Later, the voter may have lost its disk and returned (after 2.5 s at the earliest) without what
/// it had accepted.
const AGREEMENT_WINDOW: f64 = 2.4;
/// After this many consecutive majorities of replies without a common number, no proposer is about to finish.
const MAX_DISAGREEMENTS: u32 = 2;
/// Random bits of a serial number: few bytes on the wire, and still no two incarnations alike.
const SERIAL_BITS: u32 = 40;

/// A request that may still be answered.
#[derive(Clone, Copy, Debug)]
struct ReadRequest {
    serial: u64,
    sent_at: f64,
}

/// The newest reply of a voter, with the time at which its request was sent.
#[derive(Clone, Debug)]
struct ReadReply {
    requested_at: f64,
    proposals: BTreeMap<Register, ProposalNumber>,
}

/// The last fetch of a register's value.
#[derive(Clone, Copy, Debug)]
struct Fetch {
    proposal: ProposalNumber,
    sent_at: f64,
}

/// The state of quorum reads: requests, replies, confirmations and fetches.
#[derive(Clone, Debug)]
pub(super) struct QuorumRead {
    /// Starts at a random number in each incarnation, so that a reply to an earlier incarnation's request
    /// matches no request of this one.
    serial: u64,
    /// The newest at the back.
    outstanding: VecDeque<ReadRequest>,
    replies: BTreeMap<NodeId, ReadReply>,
    confirmed: BTreeMap<Register, f64>,
    /// When the last reader arrived that is not served yet.
    reader_since: Option<f64>,
    fetches: BTreeMap<Register, Fetch>,
    disagreements: BTreeMap<Register, u32>,
    divergence_checked_at: f64,
}

impl QuorumRead {
    /// Creates the state of an incarnation, for which `random` was drawn.
    pub fn new(random: u64) -> QuorumRead {
        QuorumRead {
            serial: random >> (u64::BITS - SERIAL_BITS),
            outstanding: VecDeque::new(),
            replies: BTreeMap::new(),
            confirmed: BTreeMap::new(),
            reader_since: None,
            fetches: BTreeMap::new(),
            disagreements: BTreeMap::new(),
            divergence_checked_at: f64::NEG_INFINITY,
        }
    }

    /// Begins a new epoch: replies from the previous one don't count.
    pub fn reset_epoch(&mut self) {
        self.outstanding.clear();
        self.replies.clear();
        self.fetches.clear();
        self.disagreements.clear();
    }

    /// Returns the time as of which the value known here is confirmed to be the newest.
    pub fn confirmed(&self, register: Register) -> Option<f64> {
        self.confirmed.get(&register).copied()
    }

    /// Drops the confirmation of a register whose content was replaced by one that is not confirmed yet.
    pub fn invalidate(&mut self, register: Register) {
        self.confirmed.remove(&register);
    }

    fn last_request_at(&self) -> f64 {
        self.outstanding.back().map_or(f64::NEG_INFINITY, |request| request.sent_at)
    }

    fn quorum_replied_since(&self, voter_set: &VoterSet, at: f64) -> bool {
        voter_set.has_quorum(|node| self.replies.get(&node).is_some_and(|reply| reply.requested_at >= at))
    }

    /// Requests a confirmation as of `now` or later. All readers that arrive while a request is outstanding
    /// share the next one.
    pub fn request_confirmation(&mut self, now: f64) {
        if self.last_request_at() < now {
            self.reader_since = Some(now);
        }
    }

    /// Returns whether a request is due. While a reader waits, one is due once a majority has replied to the
    /// previous one, or after a short wait.
    pub fn is_request_due(&mut self, now: f64, voter_set: &VoterSet) -> bool {
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

    /// Records that a request is sent, and returns its serial number.
    pub fn next_request(&mut self, now: f64) -> u64 {
        self.serial += 1;
        self.outstanding.push_back(ReadRequest { serial: self.serial, sent_at: now });
        if self.outstanding.len() > MAX_OUTSTANDING {
            self.outstanding.pop_front();
        }
        self.serial
    }

    /// Returns the registers on which the voters stay diverged. Call it before each request.
    pub fn diverged_registers(&mut self, now: f64, voter_set: &VoterSet) -> Vec<Register> {
        if now < self.divergence_checked_at + self.interval()
            || !self.quorum_replied_since(voter_set, self.divergence_checked_at)
        {
            return Vec::new();
        }
        self.divergence_checked_at = now;
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

    /// Drops replies that are too old to be combined with newer ones.
    pub fn expire_replies(&mut self, now: f64) {
        self.replies.retain(|_, reply| now < reply.requested_at + REPLY_LIFETIME);
    }

    /// Records a voter's reply. Returns false if it matches no request or is not newer than the previous one.
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

    /// Returns whether a majority has accepted this number, by their newest replies.
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

    /// Confirms the committed value, whose number is `committed_number`, as of the latest time since which a
    /// majority was sent requests and reported nothing greater, each voter in any of its replies: had a newer
    /// value been chosen before that time, one of them would have reported it.
    pub fn confirm(&mut self, voter_set: &VoterSet, register: Register, committed_number: ProposalNumber) {
        let confirms_since = |reply: &ReadReply| {
            let reported_number = reply.proposals.get(&register)?;
            (*reported_number <= committed_number).then_some(reply.requested_at)
        };
        let mut times: Vec<f64> = self.replies.values().filter_map(confirms_since).collect();
        times.sort_by(|left, right| right.total_cmp(left));
        let confirms =
            |node, at| self.replies.get(&node).and_then(confirms_since).is_some_and(|since| since >= at);
        if let Some(at) = times.into_iter().find(|at| voter_set.has_quorum(|node| confirms(node, *at))) {
            let confirmed = self.confirmed.entry(register).or_insert(at);
            *confirmed = confirmed.max(at);
        }
    }

    /// Begins to fetch the value under this number, and returns true, unless an earlier fetch of it may still
    /// be answered.
    pub fn try_begin_fetch(&mut self, now: f64, register: Register, proposal: ProposalNumber) -> bool {
        let is_due = |last: &Fetch| last.proposal != proposal || now >= last.sent_at + FETCH_RETRY;
        let may_fetch = self.fetches.get(&register).is_none_or(is_due);
        if may_fetch {
            self.fetches.insert(register, Fetch { proposal, sent_at: now });
        }
        may_fetch
    }
}
