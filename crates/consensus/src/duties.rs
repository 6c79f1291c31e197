//! Duties that one control gateway does for all: who holds which, and until when. A majority of the voters grants a term
//! for a span; the holder renews it in time, names its successor when it leaves, and stops by its own clock before the
//! voters' grants end. A new term is on a voter's disk before it is granted, renewals are not: a voter that started anew
//! takes the last grant for fresh, and so knows who alone may still rely on it. Terms only ever grow. Must never let two
//! gateways hold one duty at a moment.

use crate::{Act, Record};
use archlink_messages::{DUTIES, Duty, Muster, Node, Poll, Post};
use std::collections::{BTreeMap, BTreeSet};

/// How long a grant lasts. Four renewals fit in, so that lost messages cost no duty; a dead holder's duty stands still
/// for at most as long, and every request without a counter is one decided by shares alone.
pub const SPAN: f64 = 0.8;
const RENEW_EVERY: f64 = 0.2;
/// A holder stops this part of the span early: its clock and the voters' may run apart by far less.
const SAFE: f64 = 0.95;
/// A bid that has no majority by then has lost: two ways between the widest pair of regions and a slow sync fit in.
const BID_LASTS: f64 = 0.12;
/// The wait before the next bid of one gateway for a duty that nobody holds; chance spreads them so that one wins.
const BID_SPREAD: f64 = 0.25;
/// Voters bid for a duty that has just become free in turn, this far apart, another one first in each term: two at once split
/// the grants and both lose, which costs more than waiting for one that is gone as well.
const BID_STEP: f64 = 0.07;

/// No node has this number; a grant given back names no successor.
const NOBODY: Node = 0;

#[derive(Clone, Copy)]
struct Given {
    holder: Node,
    term: u64,
    until: f64,
    /// The disk has it: a renewal needs not wait for that.
    kept: bool,
}

#[derive(Default)]
struct Bidding {
    term: u64,
    /// A grant counts for the very bid that it answers: a late one of an earlier bid ends sooner.
    serial: u64,
    at: f64,
    yes: BTreeSet<Node>,
    /// Of a successor that was named: a voter that denies has only not heard of it yet, and is asked once more.
    again: bool,
}

/// A term that this gateway holds: since when, and until when at least.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Term {
    pub term: u64,
    pub since: f64,
    pub until: f64,
}

pub struct Duties {
    me: Node,
    muster: Muster,
    chance: oorandom::Rand64,
    given: BTreeMap<Duty, Given>,
    bidding: BTreeMap<Duty, Bidding>,
    held: BTreeMap<Duty, Term>,
    /// Who was last heard to hold it, and when.
    known: BTreeMap<Duty, (Post, f64)>,
    /// The greatest term that anybody granted, as far as known.
    seen: BTreeMap<Duty, u64>,
    /// Terms up to this one were given up by their holder: word of them that is still about is old.
    over: BTreeMap<Duty, u64>,
    try_at: BTreeMap<Duty, f64>,
    serial: u64,
    leaving: bool,
}

impl Duties {
    /// `posts`: what this gateway granted last in its life before, from its disk.
    pub fn new(now: f64, me: Node, seed: u64, posts: &[Post]) -> Duties {
        // By chance, so that no grant to an earlier life's bid is taken for one to this life's.
        let serial = oorandom::Rand64::new(u128::from(seed.rotate_left(1))).rand_u64();
        let mut duties = Duties {
            me,
            muster: Muster::default(),
            chance: oorandom::Rand64::new(u128::from(seed)),
            given: BTreeMap::new(),
            bidding: BTreeMap::new(),
            held: BTreeMap::new(),
            known: BTreeMap::new(),
            seen: BTreeMap::new(),
            over: BTreeMap::new(),
            try_at: BTreeMap::new(),
            serial,
            leaving: false,
        };
        posts.iter().for_each(|&post| duties.recall(now, post));
        duties
    }

    /// A grant from before this life, or one that others tell of: it may still last its whole span.
    pub fn recall(&mut self, now: f64, post: Post) {
        let Post { duty, holder, term } = post;
        if self.given.get(&duty).is_none_or(|given| given.term < term) {
            self.given.insert(duty, Given { holder, term, until: now + SPAN, kept: true });
            // What it held itself is over with the life before: nobody else may have it sooner.
            if holder == self.me {
                self.try_at.insert(duty, now);
            }
        }
    }

    /// The last grant of each duty.
    pub fn granted_posts(&self) -> Vec<Post> {
        self.given.iter().map(|(&duty, g)| Post { duty, holder: g.holder, term: g.term }).collect()
    }

    /// Another epoch: bids of the one before count for nothing. What is held stands until its grants end.
    pub fn set_muster(&mut self, muster: &Muster) {
        self.muster = muster.clone();
        self.bidding.clear();
    }

    /// The term in which this gateway holds a duty now.
    pub fn holds(&self, now: f64, duty: Duty) -> Option<Term> {
        self.held.get(&duty).copied().filter(|term| now < term.until)
    }

    /// Holders as far as known, the own terms first.
    pub fn posts(&self, now: f64) -> Vec<Post> {
        let own = |duty| self.holds(now, duty).map(|t| Post { duty, holder: self.me, term: t.term });
        DUTIES.into_iter().filter_map(|duty| own(duty).or(self.known.get(&duty).map(|k| k.0))).collect()
    }

    /// Word of who holds a duty, from a majority's grant; `from` the holder itself it is a sign of life.
    pub fn told(&mut self, now: f64, from: Node, post: Post) {
        let known = self.known.get(&post.duty);
        if self.over.get(&post.duty).is_some_and(|over| post.term <= *over) {
            return;
        }
        if known.is_none_or(|(k, _)| k.term < post.term || (k.term == post.term && from == post.holder)) {
            self.known.insert(post.duty, (post, now));
        }
    }

    /// This gateway's turn to bid after a holder that is gone; a fraction of a turn lets all grants of its end first.
    fn turn(&self, gone: &Post) -> f64 {
        const ENDS: f64 = 0.4;
        let rest: Vec<Node> = self.muster.voters().into_iter().filter(|&node| node != gone.holder).collect();
        let first = gone.term as usize % rest.len().max(1);
        let place = rest.iter().position(|&node| node == self.me);
        ENDS + place.map_or(rest.len(), |place| (place + rest.len() - first) % rest.len()) as f64
    }

    fn next_term(&self, duty: Duty) -> u64 {
        let given = self.given.get(&duty).map_or(0, |g| g.term);
        given
            .max(self.seen.get(&duty).copied().unwrap_or(0))
            .max(self.known.get(&duty).map_or(0, |(k, _)| k.term))
            + 1
    }

    /// `again`: for a term that this gateway holds, or has just bid for; another life's bid is never taken for such a one.
    fn bid(&mut self, now: f64, duty: Duty, term: u64, again: bool) -> Vec<Act> {
        self.serial = self.serial.wrapping_add(1);
        let serial = self.serial;
        let yes = BTreeSet::new();
        self.bidding.insert(duty, Bidding { term, serial, at: now, yes, again: false });
        let post = Post { duty, holder: self.me, term };
        let word = self.muster.say(if again { Poll::Renew(post, serial) } else { Poll::Bid(post, serial) });
        self.muster.voters().into_iter().map(|node| Act::Send(node, word.clone())).collect()
    }

    fn give_back(&mut self, duty: Duty) -> Vec<Act> {
        let Some(Bidding { term, yes, .. }) = self.bidding.remove(&duty) else { return Vec::new() };
        let post = Post { duty, holder: self.me, term };
        // Never bid for again: this word, should it come late, must not free a grant that was won.
        let seen = self.seen.entry(duty).or_default();
        *seen = term.max(*seen);
        let word = self.muster.say(Poll::Yield(post, NOBODY));
        yes.into_iter().map(|node| Act::Send(node, word.clone())).collect()
    }

    pub fn tick(&mut self, now: f64) -> Vec<Act> {
        let mut acts = Vec::new();
        if self.leaving || !self.muster.known() {
            return acts;
        }
        for duty in DUTIES {
            if let Some(term) = self.holds(now, duty) {
                if self.bidding.get(&duty).is_none_or(|b| now >= b.at + RENEW_EVERY) {
                    acts.extend(self.bid(now, duty, term.term, true));
                }
                continue;
            }
            // Who has not won gives back what was granted: each voter granting itself again and again, none would win.
            if self.bidding.get(&duty).is_some_and(|b| now >= b.at + BID_LASTS) {
                acts.extend(self.give_back(duty));
                self.try_at.insert(duty, now + BID_SPREAD * self.chance.rand_float());
            }
            // A holder that was heard of lately is left alone; after that the voters bid in turn.
            let granted = self.given.get(&duty).map_or(f64::NEG_INFINITY, |g| g.until - SPAN);
            let alive = self.known.get(&duty).is_some_and(|(k, at)| {
                k.holder != self.me && now < at.max(granted) + SPAN + BID_STEP * self.turn(k)
            });
            let try_at = *self.try_at.entry(duty).or_insert(now + BID_SPREAD * self.chance.rand_float());
            if alive || now < try_at || self.bidding.contains_key(&duty) {
                continue;
            }
            let term = self.next_term(duty);
            acts.extend(self.bid(now, duty, term, false));
        }
        acts
    }

    pub fn hear(&mut self, now: f64, from: Node, poll: &Poll) -> Vec<Act> {
        match poll {
            Poll::Bid(post, serial) if self.muster.votes(self.me) => {
                self.asked(now, from, *post, *serial, false)
            }
            Poll::Kept(post) if from == self.me => {
                if let Some(given) = self.given.get_mut(&post.duty).filter(|g| g.term == post.term) {
                    given.kept |= given.holder == post.holder;
                }
                Vec::new()
            }
            Poll::Renew(post, serial) if self.muster.votes(self.me) => {
                self.asked(now, from, *post, *serial, true)
            }
            Poll::Grant(post, serial) => self.granted(now, from, *post, *serial),
            // What one voter granted is no word of a holder: it may have lost. Only its term counts, to bid above it.
            Poll::Deny(post) => {
                let seen = self.seen.entry(post.duty).or_default();
                *seen = post.term.max(*seen);
                let over = self.over.get(&post.duty).is_some_and(|over| post.term <= *over);
                match self.bidding.get_mut(&post.duty) {
                    Some(Bidding { term, again: true, .. }) if over => {
                        let term = *term;
                        self.bid(now, post.duty, term, true)
                    }
                    _ => Vec::new(),
                }
            }
            Poll::Yield(post, successor) => self.yielded(now, from, *post, *successor),
            _ => Vec::new(),
        }
    }

    fn asked(&mut self, now: f64, from: Node, post: Post, serial: u64, again: bool) -> Vec<Act> {
        let Post { duty, holder, term } = post;
        if holder != from {
            return Vec::new();
        }
        let before = self.given.get(&duty).copied();
        // Another's grant is waited out; a new term is above all terms before it. Who bids for a new term of its own has
        // given up the one before, or has lost it with its life.
        let renewed = again && before.is_some_and(|g| g.holder == from && g.term == term);
        let free = before.is_none_or(|g| term > g.term && (g.holder == from || now >= g.until));
        if renewed || free {
            let kept = renewed && before.is_some_and(|g| g.kept);
            self.given.insert(duty, Given { holder, term, until: now + SPAN, kept });
            let grant = self.muster.say(Poll::Grant(post, serial));
            // A renewal that counts before the term is on the disk would be forgotten with it, and another would be granted.
            return match renewed {
                true if kept => vec![Act::Send(from, grant)],
                true => vec![Act::Store(Record::default(), vec![(from, grant)])],
                false => {
                    let then = vec![(from, grant), (self.me, self.muster.say(Poll::Kept(post)))];
                    vec![Act::Store(Record { posts: vec![post], ..Record::default() }, then)]
                }
            };
        }
        let Some(Given { holder, term, .. }) = before else { return Vec::new() };
        vec![Act::Send(from, self.muster.say(Poll::Deny(Post { duty, holder, term })))]
    }

    fn granted(&mut self, now: f64, from: Node, post: Post, serial: u64) -> Vec<Act> {
        let mine = |bidding: &&mut Bidding| (bidding.serial, bidding.term) == (serial, post.term);
        let Some(bidding) = self.bidding.get_mut(&post.duty).filter(mine) else { return Vec::new() };
        if post.holder != self.me || !self.muster.votes(from) || self.leaving {
            return Vec::new();
        }
        bidding.yes.insert(from);
        if !self.muster.enough(|node| bidding.yes.contains(&node)) {
            return Vec::new();
        }
        // From before the question was sent: no voter's grant ends sooner.
        let until = bidding.at + SPAN * SAFE;
        let since = self.held.get(&post.duty).filter(|t| t.term == post.term).map_or(now, |t| t.since);
        self.held.insert(post.duty, Term { term: post.term, since, until });
        self.known.insert(post.duty, (post, now));
        Vec::new()
    }

    /// Leaves all duties to `successor`, which may begin at once.
    pub fn leave(&mut self, now: f64, successor: Option<Node>) -> Vec<Act> {
        self.leaving = true;
        let held: Vec<Duty> = DUTIES.into_iter().filter(|&duty| self.holds(now, duty).is_some()).collect();
        let mut acts = Vec::new();
        for duty in held {
            let Some(term) = self.held.remove(&duty) else { continue };
            let (Some(successor), post) = (successor, Post { duty, holder: self.me, term: term.term }) else {
                continue;
            };
            let word = self.muster.say(Poll::Yield(post, successor));
            let voters = self.muster.voters().into_iter().filter(|&node| node != successor);
            acts.extend(voters.chain([successor]).map(|node| Act::Send(node, word.clone())));
        }
        acts
    }

    fn yielded(&mut self, now: f64, from: Node, post: Post, successor: Node) -> Vec<Act> {
        if from != post.holder {
            return Vec::new();
        }
        if let Some(given) =
            self.given.get_mut(&post.duty).filter(|g| (g.holder, g.term) == (from, post.term))
        {
            given.until = now;
        }
        // Of a term that was only given back, as it was not won, there is no word to be told.
        if successor != NOBODY {
            let over = self.over.entry(post.duty).or_default();
            *over = post.term.max(*over);
        }
        let known = self.known.get(&post.duty).is_some_and(|(k, _)| k.holder == from);
        if known {
            self.known.remove(&post.duty);
        }
        if successor == NOBODY {
            return Vec::new();
        }
        if successor != self.me {
            // Time for the one that was named.
            self.try_at.insert(post.duty, now + BID_LASTS + BID_SPREAD * self.chance.rand_float());
            return Vec::new();
        }
        let acts = self.bid(now, post.duty, post.term + 1, false);
        self.bidding.entry(post.duty).and_modify(|bidding| bidding.again = true);
        acts
    }
}
