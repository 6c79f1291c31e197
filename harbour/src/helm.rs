//! The writer's and reader's side of the registers. A change is one attempt after another, each with a ballot of its own:
//! a majority promises and tells what it holds, the change is made on the newest of that, a majority accepts the outcome.
//! No log, no leader: any control gateway may do it, and what is chosen once is what every later change starts from.
//! It also learns what is chosen, and knows since when a majority has confirmed that. Must never take for chosen what a
//! majority does not hold on disk under one ballot.

use crate::{Act, Outcome};
use bytes::Bytes;
use signal::{Ballot, Held, Muster, Node, Poll, REGISTERS, Register, evacuated, evacuations};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How long a change is tried: callers move on after a second of silence.
pub const LIFE: f64 = 0.9;
/// One attempt that has not come through by then is begun anew: two round trips of the widest pair of regions and four
/// slow syncs fit in.
const ATTEMPT: f64 = 0.35;
/// Between two questions whether what is held here is the newest.
const ASK_EVERY: f64 = 0.4;
/// The same while nothing is confirmed: after a start the links come up one by one, and nobody can be served before.
const ASK_AT_FIRST: f64 = 0.1;
/// Changes waiting for their turn on one register; a further one is refused at once.
const MOST_WAITING: usize = 64;

/// What is to become of a register.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The higher version stays.
    Chart {
        version: u64,
        text: Bytes,
    },
    Evacuate {
        zone: String,
        on: bool,
    },
    /// What a majority can't agree on is brought to one value.
    Settle(Register),
    /// The next epoch of the set of voters, if the epoch before it stands.
    Muster(Muster),
}

impl Change {
    pub fn register(&self) -> Register {
        match self {
            Change::Chart { .. } => Register::Chart,
            Change::Evacuate { .. } => Register::Evacuations,
            Change::Settle(register) => *register,
            Change::Muster(_) => Register::Muster,
        }
    }

    /// Stamp and value after the change; as before where it alters nothing, none where there is nothing at all.
    fn apply(&self, held: Option<&Held>) -> Option<(u64, Bytes)> {
        let before = held.map(|held| (held.stamp, held.value.clone()));
        match self {
            Change::Chart { version, text } if held.is_none_or(|held| held.stamp < version + 1) => {
                Some((version + 1, text.clone()))
            }
            Change::Evacuate { zone, on } => {
                let mut zones = held.map(|held| evacuated(&held.value)).unwrap_or_default();
                if *on == zones.contains(zone) && held.is_some() {
                    return before;
                }
                if *on {
                    zones.insert(zone.clone())
                } else {
                    zones.remove(zone)
                };
                Some((held.map_or(0, |held| held.stamp) + 1, evacuations(zones)))
            }
            // The first set is on no register: it stands until another is chosen.
            Change::Muster(next) if held.map_or(1, |held| held.stamp) + 1 == next.epoch => {
                Some((next.epoch, next.to_bytes()))
            }
            _ => before,
        }
    }
}

#[derive(Clone, Debug)]
struct Wish {
    change: Change,
    token: Option<u64>,
    until: f64,
}

#[derive(Clone, Debug)]
enum Phase {
    Waiting { from: f64 },
    Preparing(BTreeMap<Node, Option<Held>>),
    Accepting(Held, BTreeSet<Node>),
}

/// The change at work on a register.
#[derive(Clone, Debug)]
struct Work {
    wish: Wish,
    ballot: Ballot,
    began: f64,
    phase: Phase,
}

#[derive(Clone, Debug, Default)]
struct Question {
    serial: u64,
    at: f64,
    answers: BTreeMap<Node, BTreeMap<Register, Ballot>>,
    /// Questions in a row to which a majority answered, each with something else.
    split: BTreeMap<Register, u32>,
}

#[derive(Clone, Debug)]
pub struct Helm {
    me: Node,
    muster: Muster,
    chance: oorandom::Rand64,
    round: u64,
    work: BTreeMap<Register, Work>,
    waiting: BTreeMap<Register, VecDeque<Wish>>,
    chosen: BTreeMap<Register, Held>,
    confirmed: BTreeMap<Register, f64>,
    question: Question,
}

impl Helm {
    pub fn new(me: Node, seed: u64) -> Helm {
        Helm {
            me,
            muster: Muster::default(),
            chance: oorandom::Rand64::new(u128::from(seed)),
            round: 0,
            work: BTreeMap::new(),
            waiting: BTreeMap::new(),
            chosen: BTreeMap::new(),
            confirmed: BTreeMap::new(),
            question: Question { at: f64::NEG_INFINITY, ..Question::default() },
        }
    }

    /// Another epoch: what was answered in the one before counts for nothing, and is asked for anew.
    pub fn set_muster(&mut self, now: f64, muster: &Muster) -> Vec<Act> {
        self.muster = muster.clone();
        self.round = self.round.max(muster.least_round());
        self.question.answers.clear();
        self.question.split.clear();
        let busy: Vec<Register> = self.work.keys().copied().collect();
        busy.into_iter().flat_map(|register| self.prepare(now, register)).collect()
    }

    pub fn chosen(&self, register: Register) -> Option<&Held> {
        self.chosen.get(&register)
    }

    /// When the question was asked to which a majority answered that what is known here is the newest.
    pub fn confirmed(&self, register: Register) -> Option<f64> {
        self.confirmed.get(&register).copied()
    }

    fn to_all(&self, poll: Poll) -> Vec<Act> {
        let word = self.muster.say(poll);
        self.muster.voters().into_iter().map(|node| Act::Send(node, word.clone())).collect()
    }

    /// A change, to be told of under `token`; it ends as `Act::Done` within `LIFE`.
    pub fn propose(&mut self, now: f64, change: Change, token: u64) -> Vec<Act> {
        self.wish(now, Wish { change, token: Some(token), until: now + LIFE })
    }

    /// The caller is gone: what no voter was asked to accept yet is dropped, so that it can't undo what comes after it.
    pub fn withdraw(&mut self, token: u64) {
        for waiting in self.waiting.values_mut() {
            waiting.retain(|wish| wish.token != Some(token));
        }
        self.work
            .retain(|_, work| work.wish.token != Some(token) || matches!(work.phase, Phase::Accepting(..)));
    }

    /// Asks the voters at once which ballots they hold.
    pub fn ask_now(&mut self, now: f64) -> Vec<Act> {
        if self.muster.known() { self.ask(now) } else { Vec::new() }
    }

    fn wish(&mut self, now: f64, wish: Wish) -> Vec<Act> {
        let register = wish.change.register();
        let waiting = self.waiting.entry(register).or_default();
        if waiting.len() >= MOST_WAITING {
            return wish.token.map(|token| Act::Done(token, Outcome::Unclear)).into_iter().collect();
        }
        waiting.push_back(wish);
        self.next(now, register)
    }

    fn next(&mut self, now: f64, register: Register) -> Vec<Act> {
        if self.work.contains_key(&register) || !self.muster.known() {
            return Vec::new();
        }
        let Some(wish) = self.waiting.get_mut(&register).and_then(VecDeque::pop_front) else {
            return Vec::new();
        };
        let phase = Phase::Waiting { from: now };
        self.work.insert(register, Work { wish, ballot: Ballot::default(), began: now, phase });
        self.prepare(now, register)
    }

    fn prepare(&mut self, now: f64, register: Register) -> Vec<Act> {
        let Some(work) = self.work.get_mut(&register) else { return Vec::new() };
        self.round += 1;
        let nonce = self.chance.rand_u64() as u32;
        work.ballot = Ballot { round: self.round, node: self.me, nonce };
        work.began = now;
        work.phase = Phase::Preparing(BTreeMap::new());
        let prepare = Poll::Prepare(register, work.ballot);
        self.to_all(prepare)
    }

    fn end(&mut self, now: f64, register: Register, outcome: Outcome) -> Vec<Act> {
        let Some(work) = self.work.remove(&register) else { return Vec::new() };
        let mut acts: Vec<Act> = work.wish.token.map(|token| Act::Done(token, outcome)).into_iter().collect();
        acts.extend(self.next(now, register));
        acts
    }

    /// What is known to be chosen, from another gateway or from here.
    pub fn learn(&mut self, register: Register, held: &Held) -> Vec<Act> {
        self.round = self.round.max(held.ballot.round);
        if self.chosen.get(&register).is_some_and(|mine| mine.ballot >= held.ballot) {
            return Vec::new();
        }
        let newer = self.chosen.get(&register).is_none_or(|mine| mine.stamp != held.stamp);
        self.chosen.insert(register, held.clone());
        if newer { vec![Act::Learned(register)] } else { Vec::new() }
    }

    pub fn hear(&mut self, now: f64, from: Node, poll: &Poll) -> Vec<Act> {
        if !self.muster.votes(from) {
            return Vec::new();
        }
        match poll {
            Poll::Promise(register, ballot, held) => self.promised(now, from, *register, *ballot, held),
            Poll::Accepted(register, ballot) => self.accepted(now, from, *register, *ballot),
            Poll::Refuse(register, ballot, promised) => {
                self.round = self.round.max(promised.round);
                if let Some(work) = self.work.get_mut(register).filter(|work| work.ballot == *ballot) {
                    // Somebody else is at it: a wait by chance lets one of the two come through.
                    const LEAST: f64 = 0.01;
                    const MORE: f64 = 0.12;
                    work.phase = Phase::Waiting { from: now + LEAST + MORE * self.chance.rand_float() };
                    work.ballot = Ballot::default();
                }
                Vec::new()
            }
            Poll::Answer(serial, ballots) => self.answered(from, *serial, ballots),
            // From one voter alone it is no proof: it counts once a majority names its ballot.
            Poll::Fetched(register, held) if self.named(*register, held.ballot) => {
                self.learn(*register, held)
            }
            _ => Vec::new(),
        }
    }

    fn promised(
        &mut self,
        now: f64,
        from: Node,
        register: Register,
        ballot: Ballot,
        held: &Option<Held>,
    ) -> Vec<Act> {
        let muster = &self.muster;
        let Some(work) = self.work.get_mut(&register).filter(|work| work.ballot == ballot) else {
            return Vec::new();
        };
        let Phase::Preparing(promises) = &mut work.phase else { return Vec::new() };
        promises.insert(from, held.clone());
        // A machine that stood still may be here long after its time: what it was promised may be forgotten by now.
        if !muster.enough(|node| promises.contains_key(&node)) || now > work.wish.until {
            return Vec::new();
        }
        let newest = promises.values().flatten().max_by_key(|held| held.ballot);
        let Some((stamp, value)) = work.wish.change.apply(newest) else {
            return self.end(now, register, Outcome::Chosen);
        };
        let marks = newest.map(|held| held.marks.clone()).unwrap_or_default();
        let held = Held { ballot, stamp, value, marks };
        work.phase = Phase::Accepting(held.clone(), BTreeSet::new());
        self.to_all(Poll::Accept(register, held))
    }

    fn accepted(&mut self, now: f64, from: Node, register: Register, ballot: Ballot) -> Vec<Act> {
        let muster = &self.muster;
        let Some(work) = self.work.get_mut(&register).filter(|work| work.ballot == ballot) else {
            return Vec::new();
        };
        let Phase::Accepting(held, yes) = &mut work.phase else { return Vec::new() };
        yes.insert(from);
        if !muster.enough(|node| yes.contains(&node)) {
            return Vec::new();
        }
        let held = held.clone();
        let mut acts = self.learn(register, &held);
        acts.extend(self.end(now, register, Outcome::Chosen));
        acts
    }

    /// Does a majority of the last answers name this ballot?
    fn named(&self, register: Register, ballot: Ballot) -> bool {
        let same = |node| self.question.answers.get(&node).is_some_and(|a| a.get(&register) == Some(&ballot));
        self.muster.enough(same)
    }

    fn answered(&mut self, from: Node, serial: u64, ballots: &[(Register, Ballot)]) -> Vec<Act> {
        if serial != self.question.serial {
            return Vec::new();
        }
        self.question.answers.insert(from, ballots.iter().copied().collect());
        let mut acts = Vec::new();
        for register in REGISTERS {
            let mine = self.chosen.get(&register).map_or(Ballot::default(), |held| held.ballot);
            let Some(&theirs) = self.question.answers[&from].get(&register) else { continue };
            if !self.named(register, theirs) {
                continue;
            }
            self.question.split.remove(&register);
            if theirs == mine {
                self.confirmed.insert(register, self.question.at);
            } else if theirs > mine {
                acts.push(Act::Send(from, self.muster.say(Poll::Fetch(register))));
            }
        }
        acts
    }

    /// Attempts that hang are begun anew, changes whose time is up end, and the question is asked again.
    pub fn tick(&mut self, now: f64) -> Vec<Act> {
        let mut acts = self.tick_work(now);
        let known = self.confirmed(Register::Chart).is_some();
        let every = if known { ASK_EVERY } else { ASK_AT_FIRST };
        if now >= self.question.at + every && self.muster.known() {
            acts.extend(self.ask(now));
        }
        acts
    }

    /// The same without the question.
    pub fn tick_work(&mut self, now: f64) -> Vec<Act> {
        let mut acts = Vec::new();
        let busy: Vec<Register> = self.work.keys().chain(self.waiting.keys()).copied().collect();
        for register in busy {
            let Some(work) = self.work.get(&register) else {
                acts.extend(self.next(now, register));
                continue;
            };
            if now > work.wish.until {
                acts.extend(self.end(now, register, Outcome::Unclear));
            } else if match work.phase {
                Phase::Waiting { from } => now >= from,
                _ => now > work.began + ATTEMPT,
            } {
                acts.extend(self.prepare(now, register));
            }
        }
        acts
    }

    fn ask(&mut self, now: f64) -> Vec<Act> {
        // So many questions in a row without one answer of a majority: nobody is about to finish it.
        const SPLIT: u32 = 2;
        let mut acts = Vec::new();
        if self.muster.enough(|node| self.question.answers.contains_key(&node)) {
            for register in REGISTERS {
                let ballots: Vec<Ballot> =
                    self.question.answers.values().filter_map(|a| a.get(&register).copied()).collect();
                if ballots.iter().any(|&b| self.named(register, b)) {
                    continue;
                }
                let split = self.question.split.entry(register).or_default();
                *split += 1;
                if *split >= SPLIT && !self.work.contains_key(&register) {
                    *split = 0;
                    let wish = Wish { change: Change::Settle(register), token: None, until: now + LIFE };
                    acts.extend(self.wish(now, wish));
                }
            }
        }
        self.question.serial += 1;
        self.question.at = now;
        self.question.answers.clear();
        acts.extend(self.to_all(Poll::Ask(self.question.serial)));
        acts
    }
}
