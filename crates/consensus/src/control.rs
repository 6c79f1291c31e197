//! The whole life of one control gateway, free of I/O: messages, ticks and disk results in, acts out. Owns how the parts
//! stand to each other: the voter's disk comes before its word, what is chosen spreads by beats and pulls, sessions make
//! members. What is said of it to others is in `gossip`, and to people in `look`. Must never read a clock or touch a socket:
//! `harbourmaster` does that.

mod gossip;
mod look;

pub use look::{Member, Voters};

use crate::duties::{Duties, Term};
use crate::helm::{Change, Helm};
use crate::journal::{Event, Journal};
use crate::membership::{Membership, OWN_TOKENS, View};
use crate::pace::{HEARTBEAT, Pace};
use crate::roster::Roster;
use crate::voter::Voter;
use crate::{Act, Outcome, Record, Refusal, Reseat};
use archlink_messages::{
    Ballot, Duty, Held, Hosts, Keeper, Muster, Node, Poll, Post, REGISTERS, Register, Slot, Word,
};
use std::collections::BTreeMap;

/// Without a majority's answer for longer than this, what is known of other gateways' sessions is not passed on.
const CONTACT: f64 = 2.0;

/// By then all sessions were told of, here and by the other control gateways.
const KNOWS_PILOTS: f64 = 4.0;

/// What a control gateway starts from.
pub struct Start {
    pub keeper: Keeper,
    /// Who votes as the disk has it, at the very first start the seeds; not known where the disk is empty later.
    pub muster: Muster,
    /// So many seats are needed for what may be lost at once.
    pub needed: usize,
    /// `CatchUp`, in seconds: so long after a lost machine's return or its successor's start the next loss may come.
    pub catch_up: f64,
    /// Slots from the disk; none where the disk is empty though this is not the first start.
    pub slots: Option<BTreeMap<Register, Slot>>,
    /// Duties that it granted last, from the disk.
    pub posts: Vec<Post>,
    pub seed: u64,
}

pub struct Control {
    me: Node,
    muster: Muster,
    membership: Membership,
    pub voter: Voter,
    pub helm: Helm,
    pub duties: Duties,
    /// Who is there and which hosts: views of what happened.
    pub journal: Journal,
    /// The fleet's clock is the own steady one and this.
    ahead: f64,
    beat_at: f64,
    /// What the last heartbeats said: is this voter whole, and whom does this gateway miss?
    repair_told: (bool, Vec<Node>),
    began: f64,
    chance: oorandom::Rand64,
}

impl Control {
    pub fn new(now: f64, start: Start) -> Control {
        let Start { keeper, muster, needed, catch_up, slots, posts, seed } = start;
        let me = keeper.node;
        let mut chance = oorandom::Rand64::new(u128::from(seed.rotate_left(7)));
        let mut control = Control {
            me,
            muster: Muster::default(),
            membership: Membership::new(now, me, needed, Pace::within(catch_up)),
            voter: Voter::new(now, me, slots),
            helm: Helm::new(me, seed),
            duties: Duties::new(now, me, !seed, &posts),
            journal: Journal::new(Roster::new(keeper, seed)),
            ahead: 0.0,
            beat_at: f64::NEG_INFINITY,
            repair_told: (false, Vec::new()),
            began: now,
            chance: oorandom::Rand64::new(u128::from(chance.rand_u64())),
        };
        control.voter.set_serial(chance.rand_u64());
        control.stand(now, &muster);
        control
    }

    /// Another epoch begins here, unless this one or a later one has. It is on the disk before any word of it.
    fn stand(&mut self, now: f64, muster: &Muster) -> Vec<Act> {
        if muster.epoch <= self.muster.epoch || muster.seats.is_empty() {
            return Vec::new();
        }
        self.muster = muster.clone();
        self.voter.set_muster(muster);
        self.duties.set_muster(muster);
        let mut acts = self.keep_muster();
        acts.extend(self.helm.set_muster(now, muster));
        acts.extend(self.membership.stand(now, muster));
        acts
    }

    /// What follows from the acts of a part: the membership's own orders end with it, and a set that was chosen stands.
    fn follow(&mut self, now: f64, acts: Vec<Act>) -> Vec<Act> {
        let mut rest = Vec::new();
        for act in acts {
            match act {
                Act::Done(token, outcome) if token >= OWN_TOKENS => {
                    // Its order is about one register; the greatest ballot of all would do as well.
                    self.membership.done(now, token, outcome, |r| self.helm.chosen(r).map(|h| h.ballot));
                }
                other => rest.push(other),
            }
        }
        let chosen = self.helm.chosen(Register::Muster).filter(|held| held.stamp > self.muster.epoch);
        if let Some(muster) = chosen.and_then(|held| Muster::from_bytes(&held.value)) {
            rest.extend(self.stand(now, &muster));
            rest.extend(self.beat_all(now));
        }
        rest
    }

    /// Steers the change of voters.
    fn tick_membership(&mut self, now: f64) -> Vec<Act> {
        let keepers = self.journal.roster.keepers();
        let old = |r: &Register| self.helm.chosen(*r).is_some_and(|held| !self.stands(held));
        let view = View {
            keepers: &keepers,
            confirmed: self.helm.confirmed(Register::Muster),
            all: REGISTERS.iter().try_fold(f64::INFINITY, |all, r| Some(self.helm.confirmed(*r)?.min(all))),
            stale: REGISTERS.into_iter().filter(old).collect(),
            whole: self.voter.whole(),
            duties: !self.duties.posts(now).is_empty() || !self.duties.granted_posts().is_empty(),
        };
        let (mut acts, changes) = self.membership.tick(now, &view);
        for (token, change) in changes {
            let proposed = self.helm.propose_own(now, change, token);
            acts.extend(self.follow(now, proposed));
        }
        acts
    }

    /// Was it chosen under this founding? What was before it is not given out: it may be newer than what stands.
    fn stands(&self, held: &Held) -> bool {
        held.ballot.round > self.muster.least_round()
    }

    fn standing(&self, register: Register) -> Option<&Held> {
        self.helm.chosen(register).filter(|held| self.stands(held))
    }

    /// A disk that names who votes vouches for its slots: one that has forgotten them must not.
    fn keep_muster(&self) -> Vec<Act> {
        let muster = Some(self.muster.clone()).filter(|muster| muster.known() && self.voter.whole());
        let keep = |muster| Act::Store(Record { muster: Some(muster), ..Record::default() }, Vec::new());
        muster.map(keep).into_iter().collect()
    }

    pub fn muster(&self) -> &Muster {
        &self.muster
    }

    /// An order about who votes; ends as `Act::Done` under `token`, which is below `membership::OWN_TOKENS`. A replacement that ends
    /// as unclear goes on: sent again, the order waits for the same change, or is told that it has come.
    pub fn reseat(&mut self, now: f64, order: Reseat, token: u64) -> Vec<Act> {
        match order {
            Reseat::Replace { old, new } => {
                let ended = self.membership.replace(now, token, old, new);
                let mut acts: Vec<Act> = ended.into_iter().map(|outcome| Act::Done(token, outcome)).collect();
                acts.extend(self.tick_membership(now));
                acts
            }
            Reseat::Refound { epoch, seats } => match self.refound(now, epoch, &seats) {
                Ok(acts) => {
                    self.membership.found(now, token, seats);
                    acts
                }
                Err(refusal) => vec![Act::Done(token, Outcome::Refused(refusal))],
            },
        }
    }

    /// Founds anew with this gateway's seat alone, on what its disk holds; the others that are named are taken in from there,
    /// by agreement. Which set it is and under which ballot are on its disk at one time, before a word of it.
    fn refound(&mut self, now: f64, epoch: u64, seats: &[Node]) -> Result<Vec<Act>, Refusal> {
        match () {
            () if !self.muster.known() => return Err(Refusal::Unknown),
            () if !self.voter.whole() => return Err(Refusal::NotWhole),
            () if !seats.contains(&self.me) => return Err(Refusal::NoSeat),
            () if epoch != self.muster.epoch => return Err(Refusal::Epoch),
            () => {}
        }
        let muster = self.muster.refound(vec![self.me], self.chance.rand_u64() as u16);
        let nonce = self.chance.rand_u64() as u32;
        let ballot = Ballot { round: muster.least_round() + 1, node: self.me, nonce };
        let held = Held { ballot, stamp: muster.epoch, value: muster.to_bytes(), marks: Vec::new() };
        self.voter.found(held.clone());
        let record = Record { slots: self.voter.slots(), muster: Some(muster.clone()), ..Record::default() };
        let mut acts = vec![Act::Store(record, Vec::new())];
        acts.extend(self.helm.learn(Register::Muster, &held));
        acts.extend(self.stand(now, &muster));
        Ok(acts)
    }

    pub fn clock(&self, now: f64) -> f64 {
        now + self.ahead
    }

    /// The fleet's clock never goes back: the furthest one leads, a message's way behind.
    pub fn heard_clock(&mut self, now: f64, clock: f64) {
        if clock.is_finite() {
            self.ahead = self.ahead.max(clock - now);
        }
    }

    pub fn hosts(&self) -> &Hosts {
        &self.journal.hosts
    }

    /// Something happened; where it is news, the other control gateways hear of it at once.
    pub fn happened(&mut self, now: f64, event: Event) -> Vec<Act> {
        if self.journal.append(now, event) { self.beat_all(now) } else { Vec::new() }
    }

    /// The lookout's new list.
    pub fn list(&mut self, now: f64, hosts: Hosts) -> Vec<Act> {
        self.happened(now, Event::Listed(hosts))
    }

    /// Since when this gateway holds the counts, and in which term.
    pub fn tally(&self, now: f64) -> Option<Term> {
        self.duties.holds(now, Duty::Tally)
    }

    /// When a majority was asked that confirmed all that data gateways are given from registers.
    fn confirmed(&self) -> Option<f64> {
        let of = |register| self.helm.confirmed(register);
        Some(of(Register::Chart)?.min(of(Register::Evacuations)?))
    }

    /// Who has only started, or is cut off, or was a moment ago, may not know of all: too few would make shares too large.
    fn knows_pilots(&self, now: f64) -> bool {
        now > self.began + KNOWS_PILOTS
            && self.journal.roster.caught_up(now)
            && self.confirmed().is_some_and(|at| now < at + CONTACT)
    }

    /// A change of a register under a token below `membership::OWN_TOKENS`. While a first start still takes others in it is unclear
    /// at once, and nothing was begun.
    pub fn propose(&mut self, now: f64, change: Change, token: u64) -> Vec<Act> {
        if !self.membership.founded() {
            return vec![Act::Done(token, Outcome::Unclear)];
        }
        let acts = self.helm.propose(now, change, token);
        self.follow(now, acts)
    }

    pub fn tick(&mut self, now: f64) -> Vec<Act> {
        let mut acts = self.voter.tick(now);
        let helm = self.helm.tick(now);
        acts.extend(self.follow(now, helm));
        acts.extend(self.tick_membership(now));
        if self.membership.founded() {
            acts.extend(self.duties.tick(now));
        }
        let contact = self.muster.enough(|node| self.journal.roster.hears(now, node));
        let ended = self.journal.append(now, Event::Passed { contact });
        if ended || self.repair_turned(now) || now >= self.beat_at + HEARTBEAT {
            acts.extend(self.beat_all(now));
        }
        acts
    }

    /// Is there news on which a change of the voters waits: who is missed, and whether this voter is whole?
    fn repair_turned(&mut self, now: f64) -> bool {
        let told = (self.voter.whole(), self.membership.missing(now));
        let before = std::mem::replace(&mut self.repair_told, told);
        before != self.repair_told
    }

    /// What is said to voters and by them. An old epoch's word is answered by who votes now; a later epoch's sender is told of
    /// this one, and answers so in turn.
    fn poll(&mut self, now: f64, from: Node, epoch: u64, poll: Poll) -> Vec<Act> {
        if epoch != self.muster.epoch {
            return vec![Act::Send(from, Word::Muster(self.muster.clone()))];
        }
        match poll {
            // Who has forgotten its grants grants nothing.
            Poll::Bid(..) | Poll::Renew(..) if !self.voter.whole() || !self.membership.founded() => {
                Vec::new()
            }
            Poll::Bid(..)
            | Poll::Renew(..)
            | Poll::Kept(_)
            | Poll::Grant(..)
            | Poll::Deny(_)
            | Poll::Yield(..) => self.duties.hear(now, from, &poll),
            Poll::Recall(serial) if self.voter.whole() && self.muster.votes(self.me) => {
                let told = Poll::Recalled(serial, self.voter.slots(), self.duties.granted_posts());
                vec![Act::Store(Record::default(), vec![(from, self.muster.say(told))])]
            }
            Poll::Recall(_) => Vec::new(),
            // To one that votes it comes late: it must not take the place of what was granted since.
            Poll::Recalled(..) if self.voter.whole() => Vec::new(),
            Poll::Recalled(_, _, ref posts) => {
                posts.iter().for_each(|&post| self.duties.recall(now, post));
                let mut acts = self.voter.hear(from, &poll);
                // What was told and who votes go to the disk together: the one vouches for the other.
                if let Some(Act::Store(record, _)) = acts.first_mut() {
                    record.posts = self.duties.granted_posts();
                    record.muster = Some(self.muster.clone());
                    // While the set changes all registers are settled anyway.
                    let settles = self.muster.votes(self.me) && !self.muster.changing();
                    let read = if settles { self.voter.read() } else { Vec::new() };
                    for register in read {
                        let settled = self.helm.propose_own(now, Change::Settle(register), OWN_TOKENS);
                        acts.extend(self.follow(now, settled));
                    }
                }
                acts
            }
            Poll::Promise(..)
            | Poll::Accepted(..)
            | Poll::Refuse(..)
            | Poll::Answer(..)
            | Poll::Fetched(..) => {
                self.membership.presence.answered(now, from);
                match &poll {
                    Poll::Accepted(register, ballot) => self.membership.holds(from, *register, *ballot),
                    Poll::Answer(_, held) => {
                        held.iter().for_each(|(r, b)| self.membership.holds(from, *r, *b))
                    }
                    _ => {}
                }
                let acts = self.helm.hear(now, from, &poll);
                self.follow(now, acts)
            }
            Poll::Prepare(..) | Poll::Accept(..) | Poll::Ask(_) | Poll::Fetch(_) => {
                self.voter.hear(from, &poll)
            }
        }
    }

    /// A word of another control gateway, or of this one to itself.
    pub fn hear(&mut self, now: f64, from: Node, word: Word) -> Vec<Act> {
        self.membership.presence.heard(now, from);
        match word {
            Word::Greet { keeper, muster } => {
                self.voter.greeted(from);
                let mut acts = self.stand(now, &muster);
                acts.extend(self.happened(now, Event::Met(keeper)));
                acts
            }
            Word::Beat(beat) => {
                self.heard_clock(now, beat.clock);
                self.membership.presence.told(from, beat.whole, beat.muster.epoch, &beat.missing);
                let mut acts = self.stand(now, &beat.muster);
                let hears = beat.vector.sessions.iter().map(|(source, _, _)| *source).collect();
                self.journal.append(now, Event::Heard(from, hears));
                beat.posts.iter().for_each(|&post| self.duties.told(now, from, post));
                if self.lacks(now, from, &beat.vector) {
                    acts.push(Act::Send(from, Word::Pull(self.vector(now))));
                }
                acts
            }
            Word::Muster(muster) if muster.epoch < self.muster.epoch => {
                vec![Act::Send(from, Word::Muster(self.muster.clone()))]
            }
            Word::Muster(muster) => self.stand(now, &muster),
            Word::Poll(epoch, poll) => self.poll(now, from, epoch, poll),
            Word::Pull(theirs) => match self.lacking(now, &theirs, true) {
                pieces if pieces.is_empty() => Vec::new(),
                pieces => vec![Act::Send(from, Word::News(pieces))],
            },
            Word::News(pieces) => self.take(now, pieces),
            Word::Hail { .. } | Word::Adds { .. } | Word::Totals { .. } => Vec::new(),
        }
    }

    /// This gateway is told to end: it leaves its duties to the nearest other voter that is there, and asks for its seat to be
    /// given to another gateway. It goes on as before until `may_end`.
    pub fn leave(&mut self, now: f64) -> Vec<Act> {
        self.membership.leave();
        let presence = &self.membership.presence;
        let stays = |node: Node| self.muster.votes(node) && presence.here(now, node) && !presence.ends(node);
        let mut others = self.journal.roster.keepers();
        others.retain(|keeper| keeper.node != self.me && stays(keeper.node));
        others.sort_by_key(|keeper| (keeper.region != self.journal.roster.keeper.region, keeper.node));
        let mut acts = self.duties.leave(now, others.first().map(|keeper| keeper.node));
        acts.extend(self.beat_all(now));
        acts
    }

    /// May a gateway that was told to end do so, as far as its seat goes?
    pub fn may_end(&self, now: f64) -> bool {
        self.membership.may_end(now)
    }
}
