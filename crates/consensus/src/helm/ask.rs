//! Since when a majority has confirmed what is held here: the question which ballots the voters hold, and what follows
//! from their answers. Owns when it is asked. Must never count an answer for a time later than its question was asked, nor
//! one to a question of another life or epoch; nor must questions, however many are wanted, keep each other from being
//! answered.

use archlink_messages::{Ballot, Muster, Node, REGISTERS, Register};
use std::collections::{BTreeMap, VecDeque};

/// Between two questions whether what is held here is the newest.
const EVERY: f64 = 0.4;
/// The same while nothing is confirmed: after a start the links come up one by one, and nobody can be served before.
const AT_FIRST: f64 = 0.1;
/// While a reader waits and no majority has answered: a lost answer costs it no more, and slow disks are not asked oftener.
const AGAIN: f64 = 0.1;
/// A reader has given up by then (`LIFE` of a change is as long).
const READS: f64 = 0.9;
/// Questions that may still be answered, 16 bytes each: 25 s of them while a majority answers none, many times the slowest
/// answer from which a lease could follow.
const MOST_OUT: usize = 256;
/// An older answer counts no more: a voter that lost its disk since, and read from others, is back after more than this
/// (`voter::FORGET`), and what it had accepted may be accepted by another one only then.
const OLD: f64 = 2.0;
/// What a majority names and is not held here is fetched again after this.
const FETCH_AGAIN: f64 = 0.25;
/// Answers to questions asked longer ago are not put together with later ones to know what a majority holds: a voter that
/// answered may have lost its disk since, and be back (2.5 s later at the soonest) without what it had accepted.
const TOGETHER: f64 = 2.4;
/// So many times in a row a majority answered, each with something else: nobody is about to finish it.
const SPLIT: u32 = 2;

/// A voter's newest answer, by when its question was asked.
#[derive(Clone, Debug)]
struct Answer {
    at: f64,
    ballots: BTreeMap<Register, Ballot>,
}

#[derive(Clone, Debug)]
pub(super) struct Asking {
    /// By chance in each life: an answer to an earlier life's question fits none of this one.
    serial: u64,
    /// Serial and time of each question that may still be answered, the newest at the back.
    out: VecDeque<(u64, f64)>,
    answers: BTreeMap<Node, Answer>,
    confirmed: BTreeMap<Register, f64>,
    /// When the last reader came that is not served yet.
    wanted: Option<f64>,
    fetched: BTreeMap<Register, (Ballot, f64)>,
    split: BTreeMap<Register, u32>,
    judged: f64,
}

impl Asking {
    pub fn new(chance: u64) -> Asking {
        // Few bytes on the wire, and still no two lives alike.
        const BITS: u32 = 40;
        Asking {
            serial: chance >> (u64::BITS - BITS),
            out: VecDeque::new(),
            answers: BTreeMap::new(),
            confirmed: BTreeMap::new(),
            wanted: None,
            fetched: BTreeMap::new(),
            split: BTreeMap::new(),
            judged: f64::NEG_INFINITY,
        }
    }

    /// Another epoch: nothing that was answered in the one before counts.
    pub fn anew(&mut self) {
        self.out.clear();
        self.answers.clear();
        self.fetched.clear();
        self.split.clear();
    }

    pub fn confirmed(&self, register: Register) -> Option<f64> {
        self.confirmed.get(&register).copied()
    }

    /// A register is at another content than before, of which nothing is confirmed.
    pub fn doubt(&mut self, register: Register) {
        self.confirmed.remove(&register);
    }

    fn asked(&self) -> f64 {
        self.out.back().map_or(f64::NEG_INFINITY, |(_, at)| *at)
    }

    fn answered_since(&self, muster: &Muster, at: f64) -> bool {
        muster.enough(|node| self.answers.get(&node).is_some_and(|answer| answer.at >= at))
    }

    /// Somebody wants to know what holds from now on. All that come while a question is out share the next one.
    pub fn want(&mut self, now: f64) {
        if self.asked() < now {
            self.wanted = Some(now);
        }
    }

    /// Is it time for a question?
    pub fn due(&mut self, now: f64, muster: &Muster) -> bool {
        let confirmed = |at| REGISTERS.iter().all(|r| self.confirmed(*r).is_some_and(|c| c >= at));
        self.wanted = self.wanted.filter(|&at| now <= at + READS && !confirmed(at));
        let asked = self.asked();
        let every = match self.wanted {
            Some(at) if asked < at && self.answered_since(muster, asked) => return true,
            Some(_) => AGAIN,
            None => self.pace(),
        };
        now >= asked + every
    }

    fn pace(&self) -> f64 {
        if self.confirmed(Register::Chart).is_some() { EVERY } else { AT_FIRST }
    }

    /// The number of the next question.
    pub fn ask(&mut self, now: f64) -> u64 {
        self.serial += 1;
        self.out.push_back((self.serial, now));
        if self.out.len() > MOST_OUT {
            self.out.pop_front();
        }
        self.serial
    }

    /// Registers on which the voters stay apart; looked at before each question.
    pub fn apart(&mut self, now: f64, muster: &Muster) -> Vec<Register> {
        if now < self.judged + self.pace() || !self.answered_since(muster, self.judged) {
            return Vec::new();
        }
        self.judged = now;
        let mut apart = Vec::new();
        for register in REGISTERS {
            let mut named = self.answers.values().filter_map(|a| a.ballots.get(&register));
            if named.any(|ballot| self.names(now, muster, register, *ballot)) {
                self.split.remove(&register);
                continue;
            }
            let split = self.split.entry(register).or_default();
            *split += 1;
            if *split >= SPLIT {
                *split = 0;
                apart.push(register);
            }
        }
        apart
    }

    /// Answers that are too old to be counted with newer ones are dropped.
    pub fn forget(&mut self, now: f64) {
        self.answers.retain(|_, answer| now < answer.at + OLD);
    }

    /// Takes a voter's answer; false where it tells nothing new.
    pub fn answered(&mut self, from: Node, serial: u64, ballots: &[(Register, Ballot)]) -> bool {
        let Some(&(_, at)) = self.out.iter().find(|(number, _)| *number == serial) else { return false };
        if self.answers.get(&from).is_some_and(|known| known.at >= at) {
            return false;
        }
        self.answers.insert(from, Answer { at, ballots: ballots.iter().copied().collect() });
        true
    }

    /// Does a majority hold this ballot, by their newest answers?
    pub fn names(&self, now: f64, muster: &Muster, register: Register, ballot: Ballot) -> bool {
        let named = |answer: &Answer| answer.ballots.get(&register) == Some(&ballot);
        let fresh = |answer: &Answer| now < answer.at + TOGETHER && named(answer);
        muster.enough(|node| self.answers.get(&node).is_some_and(fresh))
    }

    /// `mine` is held here, and chosen. It is confirmed from the time on since which a majority was asked and named nothing
    /// greater, each voter to whichever question: had a newer one been chosen before that, one of them would have.
    pub fn confirm(&mut self, muster: &Muster, register: Register, mine: Ballot) {
        let since = |answer: &Answer| {
            let theirs = answer.ballots.get(&register)?;
            (*theirs <= mine).then_some(answer.at)
        };
        let mut times: Vec<f64> = self.answers.values().filter_map(since).collect();
        times.sort_by(|a, b| b.total_cmp(a));
        let known = |node, at| self.answers.get(&node).and_then(since).is_some_and(|since| since >= at);
        if let Some(at) = times.into_iter().find(|at| muster.enough(|node| known(node, *at))) {
            let confirmed = self.confirmed.entry(register).or_insert(at);
            *confirmed = confirmed.max(at);
        }
    }

    /// May this ballot's value be fetched now? Not over and over: it may be long on its way.
    pub fn fetches(&mut self, now: f64, register: Register, ballot: Ballot) -> bool {
        let again = |(b, at): &(Ballot, f64)| *b != ballot || now >= at + FETCH_AGAIN;
        let may = self.fetched.get(&register).is_none_or(again);
        if may {
            self.fetched.insert(register, (ballot, now));
        }
        may
    }
}
