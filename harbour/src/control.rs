//! The whole life of one control gateway, free of I/O: messages, ticks and disk results in, acts out. Owns how the parts
//! stand to each other: the voter's disk comes before its word, what is chosen spreads by beats and pulls, sessions make
//! members. Must never read a clock or touch a socket: `harbourmaster` does that.

use crate::duties::{Duties, Term};
use crate::founding::{self, Founding};
use crate::helm::{Change, Helm};
use crate::journal::{Event, Journal};
use crate::roster::Roster;
use crate::voter::Voter;
use crate::{Act, Record};
use signal::{Beat, Duty, Hosts, Keeper, Node, Piece, Post, Register, Slot, Vector, Word};
use std::collections::BTreeMap;

/// Between two signs of life to the other control gateways.
const BEAT_EVERY: f64 = 0.3;

/// By then all sessions were told of, here and by the other control gateways.
const KNOWS_PILOTS: f64 = 4.0;

/// What a control gateway starts from.
pub struct Start {
    pub keeper: Keeper,
    /// The set of voters as the disk has it; empty where it has none.
    pub voters: Vec<Node>,
    /// At the very first start of the whole system: the seeds, and how many disks are needed.
    pub founding: Option<(Vec<Node>, usize)>,
    /// Slots from the disk; none where the disk is empty though this is not the first start.
    pub slots: Option<BTreeMap<Register, Slot>>,
    /// Duties that it granted last, from the disk.
    pub posts: Vec<Post>,
    pub seed: u64,
}

pub struct Control {
    me: Node,
    voters: Vec<Node>,
    pub voter: Voter,
    pub helm: Helm,
    pub duties: Duties,
    /// Who is there and which hosts: views of what happened.
    pub journal: Journal,
    /// The fleet's clock is the own steady one and this.
    ahead: f64,
    beat_at: f64,
    began: f64,
    founding: Option<Founding>,
}

impl Control {
    pub fn new(now: f64, start: Start) -> Control {
        let Start { keeper, voters, founding, slots, posts, seed } = start;
        let me = keeper.node;
        let mut control = Control {
            me,
            voters: Vec::new(),
            voter: Voter::new(now, me, slots),
            helm: Helm::new(me, seed),
            duties: Duties::new(now, me, !seed, &posts),
            journal: Journal::new(Roster::new(keeper, seed)),
            ahead: 0.0,
            beat_at: f64::NEG_INFINITY,
            began: now,
            founding: None,
        };
        match founding {
            Some((seeds, needed)) if needed > seeds.len() => {
                control.founding = Some(Founding::new(now, me, &seeds, needed, seed.rotate_left(17)));
            }
            Some((seeds, _)) => control.set_voters(&seeds),
            None => control.set_voters(&voters),
        }
        control
    }

    fn set_voters(&mut self, voters: &[Node]) {
        self.founding = None;
        self.voters = voters.to_vec();
        self.voter.set_voters(voters);
        self.helm.set_voters(voters);
        self.duties.set_voters(voters);
    }

    pub fn voters(&self) -> &[Node] {
        &self.voters
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

    pub fn greeting(&self) -> Word {
        Word::Greet { keeper: self.journal.roster.keeper.clone(), voters: self.voters.clone() }
    }

    fn knows_pilots(&self, now: f64) -> bool {
        now > self.began + KNOWS_PILOTS
    }

    pub fn vector(&self, now: f64) -> Vector {
        let stamp = |register| self.helm.chosen(register).map_or(0, |held| held.stamp);
        Vector {
            chart: stamp(Register::Chart),
            evacuations: stamp(Register::Evacuations),
            hosts: (self.journal.hosts.term, self.journal.hosts.version),
            keepers: self.journal.roster.keepers_stamp(),
            // Who has only started does not know of all: too few would make shares too large.
            pilots: if self.knows_pilots(now) { self.journal.roster.counted_stamp() } else { 0 },
            sessions: self.journal.roster.vector(),
        }
    }

    /// A sign of life; `serial` is the hail that it answers.
    pub fn beat(&self, now: f64, serial: u64) -> Word {
        Word::Beat(Beat {
            serial,
            clock: self.clock(now),
            confirmed: self.helm.confirmed(Register::Chart).map(|at| now - at),
            vector: self.vector(now),
            posts: self.duties.posts(now),
            voters: self.voters.clone(),
        })
    }

    /// What somebody with that vector lacks of what is held here.
    pub fn lacking(&self, now: f64, theirs: &Vector, sessions: bool) -> Vec<Piece> {
        let mut pieces = Vec::new();
        for (register, stamp) in
            [(Register::Chart, theirs.chart), (Register::Evacuations, theirs.evacuations)]
        {
            pieces.extend(
                self.helm
                    .chosen(register)
                    .filter(|h| h.stamp > stamp)
                    .map(|h| Piece::Chosen(register, h.clone())),
            );
        }
        if (self.journal.hosts.term, self.journal.hosts.version) > theirs.hosts {
            pieces.push(Piece::Hosts(self.journal.hosts.clone()));
        }
        if self.journal.roster.keepers_stamp() != theirs.keepers {
            pieces.push(Piece::Keepers(self.journal.roster.keepers()));
        }
        // Data gateways hear who else there is, control gateways of sessions.
        if !sessions && self.knows_pilots(now) && self.journal.roster.counted_stamp() != theirs.pilots {
            pieces.push(Piece::Pilots(self.journal.roster.counted()));
        }
        let own = self.journal.roster.sessions();
        if sessions && !theirs.sessions.contains(&(own.source, own.boot, own.version)) {
            pieces.push(Piece::Sessions(own));
        }
        pieces
    }

    /// Does that vector, of `from`, name anything that is not held here?
    fn lacks(&self, now: f64, from: Node, theirs: &Vector) -> bool {
        let mine = self.vector(now);
        let theirs_own = theirs.sessions.iter().find(|(node, _, _)| *node == from);
        theirs.chart > mine.chart
            || theirs.evacuations > mine.evacuations
            || theirs.hosts > mine.hosts
            || theirs.keepers != mine.keepers
            || theirs_own.is_some_and(|own| !mine.sessions.contains(own))
    }

    pub fn take(&mut self, now: f64, pieces: Vec<Piece>) -> Vec<Act> {
        let mut acts = Vec::new();
        for piece in pieces {
            match piece {
                Piece::Chosen(register, held) => acts.extend(self.helm.learn(register, &held)),
                Piece::Hosts(hosts) => drop(self.journal.append(now, Event::Listed(hosts))),
                Piece::Keepers(keepers) => {
                    for keeper in keepers {
                        self.journal.append(now, Event::Met(keeper));
                    }
                }
                Piece::Sessions(sessions) => drop(self.journal.append(now, Event::Told(sessions))),
                // For data gateways alone.
                Piece::Chart { .. } | Piece::HostsPatch { .. } | Piece::Pilots(_) => {}
            }
        }
        acts
    }

    pub fn propose(&mut self, now: f64, change: Change, token: u64) -> Vec<Act> {
        self.helm.propose(now, change, token)
    }

    fn others(&self) -> impl Iterator<Item = Node> {
        self.journal.roster.keepers().into_iter().map(|k| k.node).filter(|&node| node != self.me)
    }

    /// Signs of life to all other control gateways at once, as something is new here.
    pub fn beat_all(&mut self, now: f64) -> Vec<Act> {
        self.beat_at = now;
        let beat = self.beat(now, 0);
        self.others().map(|node| Act::Send(node, beat.clone())).collect()
    }

    pub fn tick(&mut self, now: f64) -> Vec<Act> {
        let mut acts = self.voter.tick(now);
        if let Some(founding) = &mut self.founding {
            acts.extend(founding.tick(now, &self.journal.roster.keepers()));
        }
        acts.extend(self.helm.tick(now));
        acts.extend(self.duties.tick(now));
        if self.journal.append(now, Event::Passed) || now >= self.beat_at + BEAT_EVERY {
            acts.extend(self.beat_all(now));
        }
        acts
    }

    fn told_voters(&mut self, voters: &[Node]) {
        if self.voters.is_empty() && !voters.is_empty() {
            self.set_voters(voters);
        }
    }

    fn found(&mut self, now: f64, from: Node, word: &Word) -> Vec<Act> {
        let Some(founding) = &mut self.founding else { return Vec::new() };
        let acts = founding.hear(now, from, word);
        if let Some(voters) = founding.decided() {
            self.set_voters(&voters);
        }
        acts
    }

    /// A word of another control gateway, or of this one to itself.
    pub fn hear(&mut self, now: f64, from: Node, word: Word) -> Vec<Act> {
        match word {
            ref word if founding::concerns(word) => self.found(now, from, word),
            Word::Greet { keeper, voters } => {
                self.told_voters(&voters);
                self.happened(now, Event::Met(keeper))
            }
            Word::Beat(beat) => {
                self.heard_clock(now, beat.clock);
                self.told_voters(&beat.voters);
                self.journal.append(now, Event::Heard(from));
                beat.posts.iter().for_each(|&post| self.duties.told(now, from, post));
                match self.lacks(now, from, &beat.vector) {
                    true => vec![Act::Send(from, Word::Pull(self.vector(now)))],
                    false => Vec::new(),
                }
            }
            Word::Pull(theirs) => match self.lacking(now, &theirs, true) {
                pieces if pieces.is_empty() => Vec::new(),
                pieces => vec![Act::Send(from, Word::News(pieces))],
            },
            Word::News(pieces) => self.take(now, pieces),
            // Who has forgotten its grants grants nothing.
            Word::Bid(..) if !self.voter.whole() => Vec::new(),
            Word::Bid(..) | Word::Grant(..) | Word::Deny(_) | Word::Yield(..) => {
                self.duties.hear(now, from, &word)
            }
            Word::Recall(serial) if self.voter.whole() && self.voters.contains(&self.me) => {
                let word = Word::Recalled(serial, self.voter.slots(), self.duties.granted_posts());
                vec![Act::Store(Record::default(), vec![(from, word)])]
            }
            Word::Recall(_) => Vec::new(),
            Word::Recalled(_, _, ref posts) => {
                posts.iter().for_each(|&post| self.duties.recall(now, post));
                let mut acts = self.voter.hear(from, &word);
                if !acts.is_empty() {
                    let posts = self.duties.granted_posts();
                    acts.push(Act::Store(Record { slots: Vec::new(), posts }, Vec::new()));
                }
                acts
            }
            Word::Promise(..)
            | Word::Accepted(..)
            | Word::Refuse(..)
            | Word::Answer(..)
            | Word::Fetched(..) => self.helm.hear(now, from, &word),
            Word::Prepare(..) | Word::Accept(..) | Word::Ask(_) | Word::Fetch(_) => {
                self.voter.hear(from, &word)
            }
            Word::Hail { .. } | Word::Adds { .. } | Word::Totals { .. } => Vec::new(),
        }
    }

    /// Leaves the duties to the nearest other control gateway that was heard of.
    pub fn leave(&mut self, now: f64) -> Vec<Act> {
        let mut others = self.journal.roster.keepers();
        others.retain(|k| k.node != self.me && self.voters.contains(&k.node));
        others.sort_by_key(|k| (k.region != self.journal.roster.keeper.region, k.node));
        self.duties.leave(now, others.first().map(|k| k.node))
    }
}
