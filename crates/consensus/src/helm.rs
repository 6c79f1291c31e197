//! The writer's and reader's side of the registers. A change is one attempt after another, each with a ballot of its own:
//! a majority promises and tells what it holds, the change is made on the newest of that, a majority accepts the outcome.
//! No log, no leader: any control gateway may do it, and what is chosen once is what every later change starts from.
//! It also learns what is chosen, and knows since when a majority has confirmed that. Must never take for chosen what a
//! majority does not hold on disk under one ballot.

mod ask;
mod change;

pub use change::{Change, MARKS};

use crate::{Act, Outcome};
use archlink_messages::{Ballot, Held, Muster, Node, Poll, Register};
use ask::Asking;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How long a change is tried: callers move on after a second of silence.
pub const LIFE: f64 = 0.9;
/// The same of this gateway's own changes, for which no caller waits: an emptied voter is silent for longer (`voter::FORGET`).
const OWN_LIFE: f64 = 1.9;
/// Voters that have not answered by then are asked again under the same ballot: the word may be lost, and where it is the
/// disk that is slow, the answer to the first one counts.
const ASK_AGAIN: f64 = 0.35;
/// Changes waiting for their turn on one register; a further one is refused at once.
const MOST_WAITING: usize = 64;

#[derive(Clone, Debug)]
struct Wish {
    change: Change,
    token: Option<u64>,
    until: f64,
    /// This gateway's own, for which no caller waits.
    own: bool,
}

#[derive(Clone, Debug)]
enum Phase {
    Waiting {
        from: f64,
    },
    Preparing(BTreeMap<Node, Option<Held>>),
    /// With what the caller is told once it is chosen.
    Accepting(Held, Outcome, BTreeSet<Node>),
}

/// The change at work on a register.
#[derive(Clone, Debug)]
struct Work {
    wish: Wish,
    ballot: Ballot,
    began: f64,
    phase: Phase,
    /// How often another attempt came in between.
    refused: u32,
    /// Its caller is gone: what was sent out may come to be, but nothing is tried again.
    last: bool,
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
    asking: Asking,
}

impl Helm {
    pub fn new(me: Node, seed: u64) -> Helm {
        let mut chance = oorandom::Rand64::new(u128::from(seed));
        Helm {
            me,
            muster: Muster::default(),
            asking: Asking::new(chance.rand_u64()),
            chance,
            round: 0,
            work: BTreeMap::new(),
            waiting: BTreeMap::new(),
            chosen: BTreeMap::new(),
        }
    }

    /// Another epoch: what was answered in the one before counts for nothing, and is asked for anew.
    pub fn set_muster(&mut self, now: f64, muster: &Muster) -> Vec<Act> {
        self.muster = muster.clone();
        self.round = self.round.max(muster.least_round());
        self.asking.anew();
        let busy: Vec<Register> = self.work.keys().copied().collect();
        busy.into_iter().flat_map(|register| self.prepare(now, register)).collect()
    }

    pub fn chosen(&self, register: Register) -> Option<&Held> {
        self.chosen.get(&register)
    }

    /// When the question was asked to which a majority answered that what is known here is the newest.
    pub fn confirmed(&self, register: Register) -> Option<f64> {
        self.asking.confirmed(register)
    }

    fn to_all(&self, poll: Poll) -> Vec<Act> {
        let word = self.muster.say(poll);
        self.muster.voters().into_iter().map(|node| Act::Send(node, word.clone())).collect()
    }

    /// A change, to be told of under `token`; it ends as `Act::Done` within `LIFE`.
    pub fn propose(&mut self, now: f64, change: Change, token: u64) -> Vec<Act> {
        self.wish(now, Wish { change, token: Some(token), until: now + LIFE, own: false })
    }

    /// The same of a change of this gateway's own, which has longer and goes before all orders that wait: a change of the voters
    /// must come through however many there are. Its caller has one at a time on each register.
    pub fn propose_own(&mut self, now: f64, change: Change, token: u64) -> Vec<Act> {
        let register = change.register();
        let wish = Wish { change, token: Some(token), until: now + OWN_LIFE, own: true };
        self.waiting.entry(register).or_default().push_front(wish);
        self.next(now, register)
    }

    /// The caller is gone: what no voter was asked to accept yet is dropped, and nothing is tried anew, so that it can't
    /// undo what comes after it.
    pub fn withdraw(&mut self, token: u64) {
        for waiting in self.waiting.values_mut() {
            waiting.retain(|wish| wish.token != Some(token));
        }
        self.work.retain(|_, work| {
            let gone = work.wish.token == Some(token);
            work.last |= gone;
            !gone || matches!(work.phase, Phase::Accepting(..))
        });
    }

    /// Somebody wants to know what holds from now on: the voters are asked which ballots they hold, at once or as soon as a
    /// majority has answered the question before. Any number of calls costs one question a round trip.
    pub fn ask_now(&mut self, now: f64) -> Vec<Act> {
        self.asking.want(now);
        self.ask(now)
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
        let mut acts = Vec::new();
        while let Some(wish) = self.waiting.get_mut(&register).and_then(VecDeque::pop_front) {
            if now > wish.until {
                acts.extend(wish.token.map(|token| Act::Done(token, Outcome::Unclear)));
                continue;
            }
            let phase = Phase::Waiting { from: now };
            self.work.insert(
                register,
                Work { wish, ballot: Ballot::default(), began: now, phase, refused: 0, last: false },
            );
            acts.extend(self.prepare(now, register));
            break;
        }
        acts
    }

    fn prepare(&mut self, now: f64, register: Register) -> Vec<Act> {
        let Some(work) = self.work.get_mut(&register) else { return Vec::new() };
        if work.last || now > work.wish.until {
            return self.end(now, register, Outcome::Unclear);
        }
        self.round += 1;
        let nonce = self.chance.rand_u64() as u32;
        work.ballot = Ballot { round: self.round, node: self.me, nonce };
        work.began = now;
        work.phase = Phase::Preparing(BTreeMap::new());
        let prepare = Poll::Prepare(register, work.ballot);
        self.to_all(prepare)
    }

    /// Asks those again that have not answered the half that is under way. Where the caller is gone nothing is.
    fn ask_again(&mut self, now: f64, register: Register) -> Vec<Act> {
        let Some(work) = self.work.get_mut(&register) else { return Vec::new() };
        if work.last {
            return self.end(now, register, Outcome::Unclear);
        }
        work.began = now;
        let (poll, answered): (Poll, Vec<Node>) = match &work.phase {
            Phase::Waiting { .. } => return Vec::new(),
            Phase::Preparing(promises) => {
                (Poll::Prepare(register, work.ballot), promises.keys().copied().collect())
            }
            Phase::Accepting(held, _, yes) => {
                (Poll::Accept(register, held.clone()), yes.iter().copied().collect())
            }
        };
        let word = self.muster.say(poll);
        let silent = self.muster.voters().into_iter().filter(|node| !answered.contains(node));
        silent.map(|node| Act::Send(node, word.clone())).collect()
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
        let mine = self.chosen.get(&register);
        if mine.is_some_and(|mine| mine.ballot >= held.ballot) {
            return Vec::new();
        }
        // Under one stamp there may be two contents, and the stamp may go back, where a person founded anew between them.
        let newer = mine.is_none_or(|mine| mine.order() != held.order() || mine.value != held.value);
        if mine.is_some_and(|mine| mine.founding() != held.founding()) {
            self.asking.doubt(register);
        }
        self.chosen.insert(register, held.clone());
        self.asking.confirm(&self.muster, register, held.ballot);
        if newer { vec![Act::Learned(register)] } else { Vec::new() }
    }

    pub fn hear(&mut self, now: f64, from: Node, poll: &Poll) -> Vec<Act> {
        if !self.muster.votes(from) {
            return Vec::new();
        }
        self.asking.forget(now);
        match poll {
            Poll::Promise(register, ballot, held) => self.promised(now, from, *register, *ballot, held),
            Poll::Accepted(register, ballot) => self.accepted(now, from, *register, *ballot),
            Poll::Refuse(register, ballot, promised) => {
                self.round = self.round.max(promised.round);
                if let Some(work) = self.work.get_mut(register).filter(|work| work.ballot == *ballot) {
                    // Somebody else is at it: a wait by chance lets one of the two come through. Orders wait longer each time, for
                    // slow disks, and own changes hardly: else orders without a pause would hold up a change of the voters.
                    const LEAST: f64 = 0.01;
                    const MORE: f64 = 0.12;
                    const OWN_MORE: f64 = 0.03;
                    const MOST_DOUBLED: u32 = 2;
                    let doubled = f64::from(1_u32 << work.refused.min(MOST_DOUBLED));
                    let more = if work.wish.own { OWN_MORE } else { MORE * doubled };
                    work.refused += 1;
                    work.phase = Phase::Waiting { from: now + LEAST + more * self.chance.rand_float() };
                    work.ballot = Ballot::default();
                }
                Vec::new()
            }
            Poll::Answer(serial, ballots) => self.answered(now, from, *serial, ballots),
            // From one voter alone it is no proof: it counts once a majority names its ballot.
            Poll::Fetched(register, held) if self.asking.names(now, &self.muster, *register, held.ballot) => {
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
        let Some((held, outcome)) = work.wish.change.apply(newest, ballot) else {
            return self.end(now, register, Outcome::Chosen);
        };
        work.phase = Phase::Accepting(held.clone(), outcome, BTreeSet::new());
        work.began = now;
        self.to_all(Poll::Accept(register, held))
    }

    fn accepted(&mut self, now: f64, from: Node, register: Register, ballot: Ballot) -> Vec<Act> {
        let muster = &self.muster;
        let Some(work) = self.work.get_mut(&register).filter(|work| work.ballot == ballot) else {
            return Vec::new();
        };
        let Phase::Accepting(held, outcome, yes) = &mut work.phase else { return Vec::new() };
        yes.insert(from);
        // After its time one that had accepted may have forgotten it, as above.
        if !muster.enough(|node| yes.contains(&node)) || now > work.wish.until {
            return Vec::new();
        }
        let (held, outcome) = (held.clone(), *outcome);
        let mut acts = self.learn(register, &held);
        acts.extend(self.end(now, register, outcome));
        acts
    }

    fn answered(&mut self, now: f64, from: Node, serial: u64, ballots: &[(Register, Ballot)]) -> Vec<Act> {
        if !self.asking.answered(from, serial, ballots) {
            return Vec::new();
        }
        let mut acts = Vec::new();
        for &(register, theirs) in ballots {
            let mine = self.chosen.get(&register).map_or(Ballot::default(), |held| held.ballot);
            if theirs <= mine {
                self.asking.confirm(&self.muster, register, mine);
            } else if self.asking.names(now, &self.muster, register, theirs)
                && self.asking.fetches(now, register, theirs)
            {
                acts.push(Act::Send(from, self.muster.say(Poll::Fetch(register))));
            }
        }
        // A reader that came meanwhile may be waiting for the next question.
        acts.extend(self.ask(now));
        acts
    }

    /// Attempts that hang are asked for again, changes whose time is up end, and the question is asked again.
    pub fn tick(&mut self, now: f64) -> Vec<Act> {
        let mut acts = Vec::new();
        let busy: Vec<Register> = self.work.keys().chain(self.waiting.keys()).copied().collect();
        for register in busy {
            let Some(work) = self.work.get(&register) else {
                acts.extend(self.next(now, register));
                continue;
            };
            match work.phase {
                _ if now > work.wish.until => acts.extend(self.end(now, register, Outcome::Unclear)),
                Phase::Waiting { from } if now >= from => acts.extend(self.prepare(now, register)),
                Phase::Waiting { .. } => {}
                _ if now > work.began + ASK_AGAIN => acts.extend(self.ask_again(now, register)),
                _ => {}
            }
        }
        acts.extend(self.ask(now));
        acts
    }

    /// Asks the voters which ballots they hold, where it is time.
    fn ask(&mut self, now: f64) -> Vec<Act> {
        if !self.muster.known() || !self.asking.due(now, &self.muster) {
            return Vec::new();
        }
        let mut acts = Vec::new();
        for register in self.asking.apart(now, &self.muster) {
            if !self.work.contains_key(&register) {
                let wish =
                    Wish { change: Change::Settle(register), token: None, until: now + LIFE, own: false };
                acts.extend(self.wish(now, wish));
            }
        }
        let serial = self.asking.ask(now);
        acts.extend(self.to_all(Poll::Ask(serial)));
        acts
    }
}
