//! Since when a majority has confirmed what is held here: the question which ballots the voters hold, and what follows
//! from their answers. Owns when it is asked. Must never count an answer for a time later than its question was asked, nor
//! one to a question of another life or epoch; nor must questions, however many are wanted, keep each other from being
//! answered.

use archlink_messages::{NodeId, ProposalNumber, REGISTERS, Register, VoterSet};
use std::collections::{BTreeMap, VecDeque};

/// Between two questions whether what is held here is the newest.
const READ_INTERVAL: f64 = 0.4;
/// The same while nothing is confirmed: after a start the links come up one by one, and nobody can be served before.
const STARTUP_READ_INTERVAL: f64 = 0.1;
/// While a reader waits and no majority has answered: a lost answer costs it no more, and slow disks are not asked oftener.
const READ_RETRY: f64 = 0.1;
/// A reader has given up by then (`LIFE` of a change is as long).
const READER_TIMEOUT: f64 = 0.9;
/// Questions that may still be answered, 16 bytes each: 25 s of them while a majority answers none, many times the slowest
/// answer from which a lease could follow.
const MAX_OUTSTANDING: usize = 256;
/// An older answer counts no more: a voter that lost its disk since, and read from others, is back after more than this
/// (`voter::FORGET`), and what it had accepted may be accepted by another one only then.
const REPLY_LIFETIME: f64 = 2.0;
/// What a majority names and is not held here is fetched again after this.
const FETCH_RETRY: f64 = 0.25;
/// Answers to questions asked longer ago are not put together with later ones to know what a majority holds: a voter that
/// answered may have lost its disk since, and be back (2.5 s later at the soonest) without what it had accepted.
const AGREEMENT_WINDOW: f64 = 2.4;
/// So many times in a row a majority answered, each with something else: nobody is about to finish it.
const MAX_DISAGREEMENTS: u32 = 2;

/// A voter's newest answer, by when its question was asked.
#[derive(Clone, Debug)]
struct ReadReply {
    at: f64,
    proposals: BTreeMap<Register, ProposalNumber>,
}

#[derive(Clone, Debug)]
pub(super) struct QuorumRead {
    /// By chance in each life: an answer to an earlier life's question fits none of this one.
    serial: u64,
    /// Serial and time of each question that may still be answered, the newest at the back.
    outstanding: VecDeque<(u64, f64)>,
    replies: BTreeMap<NodeId, ReadReply>,
    confirmed: BTreeMap<Register, f64>,
    /// When the last reader came that is not served yet.
    reader_since: Option<f64>,
    fetched: BTreeMap<Register, (ProposalNumber, f64)>,
    disagreements: BTreeMap<Register, u32>,
    checked_at: f64,
}

impl QuorumRead {
    pub fn new(chance: u64) -> QuorumRead {
        // Few bytes on the wire, and still no two lives alike.
        const BITS: u32 = 40;
        QuorumRead {
            serial: chance >> (u64::BITS - BITS),
            outstanding: VecDeque::new(),
            replies: BTreeMap::new(),
            confirmed: BTreeMap::new(),
            reader_since: None,
            fetched: BTreeMap::new(),
            disagreements: BTreeMap::new(),
            checked_at: f64::NEG_INFINITY,
        }
    }

    /// Another epoch: nothing that was answered in the one before counts.
    pub fn reset_epoch(&mut self) {
        self.outstanding.clear();
        self.replies.clear();
        self.fetched.clear();
        self.disagreements.clear();
    }

    pub fn confirmed(&self, register: Register) -> Option<f64> {
        self.confirmed.get(&register).copied()
    }

    /// A register is at another content than before, of which nothing is confirmed.
    pub fn invalidate(&mut self, register: Register) {
        self.confirmed.remove(&register);
    }

    fn last_request_at(&self) -> f64 {
        self.outstanding.back().map_or(f64::NEG_INFINITY, |(_, at)| *at)
    }

    fn quorum_replied_since(&self, voter_set: &VoterSet, at: f64) -> bool {
        voter_set.has_quorum(|node| self.replies.get(&node).is_some_and(|answer| answer.at >= at))
    }

    /// Somebody wants to know what holds from now on. All that come while a question is out share the next one.
    pub fn request_confirmation(&mut self, now: f64) {
        if self.last_request_at() < now {
            self.reader_since = Some(now);
        }
    }

    /// Is it time for a question?
    pub fn due(&mut self, now: f64, voter_set: &VoterSet) -> bool {
        let confirmed = |at| REGISTERS.iter().all(|r| self.confirmed(*r).is_some_and(|c| c >= at));
        self.reader_since = self.reader_since.filter(|&at| now <= at + READER_TIMEOUT && !confirmed(at));
        let asked = self.last_request_at();
        let every = match self.reader_since {
            Some(at) if asked < at && self.quorum_replied_since(voter_set, asked) => return true,
            Some(_) => READ_RETRY,
            None => self.interval(),
        };
        now >= asked + every
    }

    fn interval(&self) -> f64 {
        if self.confirmed(Register::Configuration).is_some() { READ_INTERVAL } else { STARTUP_READ_INTERVAL }
    }

    /// The number of the next question.
    pub fn next_request(&mut self, now: f64) -> u64 {
        self.serial += 1;
        self.outstanding.push_back((self.serial, now));
        if self.outstanding.len() > MAX_OUTSTANDING {
            self.outstanding.pop_front();
        }
        self.serial
    }

    /// Registers on which the voters stay apart; looked at before each question.
    pub fn diverged_registers(&mut self, now: f64, voter_set: &VoterSet) -> Vec<Register> {
        if now < self.checked_at + self.interval() || !self.quorum_replied_since(voter_set, self.checked_at) {
            return Vec::new();
        }
        self.checked_at = now;
        let mut apart = Vec::new();
        for register in REGISTERS {
            let mut named = self.replies.values().filter_map(|a| a.proposals.get(&register));
            if named.any(|proposal| self.quorum_holds(now, voter_set, register, *proposal)) {
                self.disagreements.remove(&register);
                continue;
            }
            let split = self.disagreements.entry(register).or_default();
            *split += 1;
            if *split >= MAX_DISAGREEMENTS {
                *split = 0;
                apart.push(register);
            }
        }
        apart
    }

    /// Answers that are too old to be counted with newer ones are dropped.
    pub fn expire_replies(&mut self, now: f64) {
        self.replies.retain(|_, answer| now < answer.at + REPLY_LIFETIME);
    }

    /// Takes a voter's answer; false where it tells nothing new.
    pub fn receive_reply(
        &mut self,
        from: NodeId,
        serial: u64,
        proposals: &[(Register, ProposalNumber)],
    ) -> bool {
        let Some(&(_, at)) = self.outstanding.iter().find(|(number, _)| *number == serial) else {
            return false;
        };
        if self.replies.get(&from).is_some_and(|known| known.at >= at) {
            return false;
        }
        self.replies.insert(from, ReadReply { at, proposals: proposals.iter().copied().collect() });
        true
    }

    /// Does a majority hold this ballot, by their newest answers?
    pub fn quorum_holds(
        &self,
        now: f64,
        voter_set: &VoterSet,
        register: Register,
        proposal: ProposalNumber,
    ) -> bool {
        let named = |answer: &ReadReply| answer.proposals.get(&register) == Some(&proposal);
        let fresh = |answer: &ReadReply| now < answer.at + AGREEMENT_WINDOW && named(answer);
        voter_set.has_quorum(|node| self.replies.get(&node).is_some_and(fresh))
    }

    /// `mine` is held here, and chosen. It is confirmed from the time on since which a majority was asked and named nothing
    /// greater, each voter to whichever question: had a newer one been chosen before that, one of them would have.
    pub fn confirm(&mut self, voter_set: &VoterSet, register: Register, mine: ProposalNumber) {
        let since = |answer: &ReadReply| {
            let theirs = answer.proposals.get(&register)?;
            (*theirs <= mine).then_some(answer.at)
        };
        let mut times: Vec<f64> = self.replies.values().filter_map(since).collect();
        times.sort_by(|a, b| b.total_cmp(a));
        let known = |node, at| self.replies.get(&node).and_then(since).is_some_and(|since| since >= at);
        if let Some(at) = times.into_iter().find(|at| voter_set.has_quorum(|node| known(node, *at))) {
            let confirmed = self.confirmed.entry(register).or_insert(at);
            *confirmed = confirmed.max(at);
        }
    }

    /// May this ballot's value be fetched now? Not over and over: it may be long on its way.
    pub fn may_fetch(&mut self, now: f64, register: Register, proposal: ProposalNumber) -> bool {
        let again = |(b, at): &(ProposalNumber, f64)| *b != proposal || now >= at + FETCH_RETRY;
        let may = self.fetched.get(&register).is_none_or(again);
        if may {
            self.fetched.insert(register, (proposal, now));
        }
        may
    }
}
