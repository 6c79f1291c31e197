//! How the set of voters changes: who begins a change, and what must be the case before it ends. From one set to another it
//! goes by a joint epoch in which a majority of each is needed; that ends only once every register was settled in it, each
//! newcomer has all of them on its disk, and no grant of a duty from before can still last. Then whoever missed all of it is
//! no majority with anybody. Owns when; which set should stand is in `plan`, and the set itself is a register, agreed on by
//! the helm. Must never end a joint epoch on what was seen in another one, nor begin a change while one is under way.

mod plan;

use crate::duties::SPAN;
use crate::helm::Change;
use crate::pace::Pace;
use crate::presence::{MOST_HEARD, Presence};
use crate::{Act, Outcome, Refusal};
use archlink_messages::{Ballot, Keeper, Muster, Node, REGISTERS, Register};
use std::collections::BTreeMap;

/// Orders of the membership itself are told of under tokens from here on; callers' tokens are below.
pub const OWN_TOKENS: u64 = 1 << 63;
/// A joint epoch lasts so long from when the first register was settled in it: enough of those that granted duties before are
/// in it then and grant nothing in the old epoch, and clocks may run apart by a quarter until the last such grant is over.
const GRANTS_END: f64 = 1.25 * SPAN;
/// A newcomer that has not taken all registers by then is left out, and the old set stands, also where nobody else could take
/// the seat. A large configuration over a narrow link onto a slow disk takes half of it.
const TAKES_IN: f64 = 10.0;
/// The same at the first start, where nothing is there to be taken over and everybody waits.
const TAKES_IN_FIRST: f64 = 3.0;
/// Between two settlings of the registers for a newcomer that can take them now and missed the one before.
const SETTLE_AGAIN: f64 = 0.3;
/// At the first start the seeds begin in turn, so far apart: two at once cost each other ballots.
const FIRST_TURN: f64 = 0.3;
/// At the first start the seeds wait so long for others to take in: a process is up within a second, links within another.
const FIRST_WAIT: f64 = 2.5;
/// What a person named at a founding anew is waited for so long; then those that are there are taken in.
const NAMED_WAIT: f64 = 5.0;
/// An order to replace ends as unclear by then: its caller waits hardly longer. The change goes on.
const ORDER_WAITS: f64 = 2.5;

/// What this gateway is trying to have chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Attempt {
    /// The value of a register as it stands, in this epoch.
    Settle(Register),
    /// The next epoch.
    Next,
}

#[derive(Clone, Debug)]
struct Order {
    token: u64,
    until: f64,
    seats: Vec<Node>,
}

/// How the last change ended, as this gateway saw it.
#[derive(Clone, Debug, PartialEq)]
pub enum Ended {
    /// The set that was to come stands.
    Came,
    /// The set from before stands: who was to come did not take all registers in time.
    TakenBack,
}

/// What the membership is decided by besides what it owns.
pub struct View<'a> {
    pub keepers: &'a [Keeper],
    /// When the question was asked to which enough answered who votes.
    pub confirmed: Option<f64>,
    /// The same of all registers.
    pub all: Option<f64>,
    /// Chosen under a founding before this one.
    pub stale: Vec<Register>,
    /// Is this gateway's voter whole?
    pub whole: bool,
    /// Somebody held a duty once, as far as is known.
    pub duties: bool,
}

pub struct Membership {
    me: Node,
    needed: usize,
    muster: Muster,
    began: f64,
    /// When this epoch began here.
    stood: f64,
    pub presence: Presence,
    pace: Pace,
    attempts: BTreeMap<u64, Attempt>,
    tokens: u64,
    /// Under which ballot each register was first settled in this epoch, by this gateway, and when the first one was.
    settled: BTreeMap<Register, Ballot>,
    settled_at: f64,
    again_at: f64,
    /// What newcomers said in this epoch that their disks hold.
    holds: BTreeMap<(Node, Register), Ballot>,
    /// Since when there is something to begin.
    due: Option<f64>,
    order: Option<Order>,
    /// Named at a founding anew, not taken in yet.
    named: Vec<Node>,
    named_at: f64,
    founding: Option<(u64, f64)>,
    last: Option<(f64, Ended)>,
    /// Newcomers that did not take all registers in time, and when: others are tried first.
    failed: BTreeMap<Node, f64>,
}

impl Membership {
    pub fn new(now: f64, me: Node, needed: usize, pace: Pace) -> Membership {
        Membership {
            me,
            needed,
            muster: Muster::default(),
            began: now,
            stood: now,
            presence: Presence::new(now, me, pace),
            pace,
            attempts: BTreeMap::new(),
            tokens: OWN_TOKENS,
            settled: BTreeMap::new(),
            settled_at: now,
            again_at: now,
            holds: BTreeMap::new(),
            due: None,
            order: None,
            named: Vec::new(),
            named_at: now,
            founding: None,
            last: None,
            failed: BTreeMap::new(),
        }
    }

    /// May orders be taken and duties be held? At a first start with fewer seeds than are needed only once the set has been
    /// changed: nothing is ever chosen by those few. Told by epochs alone, so that all are of one mind, after any restart too.
    pub fn founded(&self) -> bool {
        self.muster.epoch > 2 || self.needed <= self.muster.seats.len()
    }

    /// Another epoch begins here: what was seen in the one before counts for nothing.
    pub fn stand(&mut self, now: f64, muster: &Muster) -> Vec<Act> {
        let before = std::mem::replace(&mut self.muster, muster.clone());
        self.stood = now;
        self.attempts.clear();
        self.settled.clear();
        self.settled_at = now;
        self.again_at = now;
        self.holds.clear();
        self.due = None;
        if before.changing() && !muster.changing() {
            let ended = if before.coming == muster.seats { Ended::Came } else { Ended::TakenBack };
            if ended == Ended::TakenBack {
                let newcomers = before.coming.iter().filter(|node| !before.seats.contains(node));
                self.failed.extend(newcomers.map(|node| (*node, now)));
            }
            self.last = Some((now, ended));
        }
        self.named.retain(|node| !muster.votes(*node));
        let Some(order) = &self.order else { return Vec::new() };
        let outcome = match order.seats == muster.seats {
            true if !muster.changing() => Outcome::Chosen,
            _ if order.seats == muster.coming => return Vec::new(),
            // Another change came first, or this one was taken back.
            _ if muster.changing() => Outcome::Refused(Refusal::UnderWay),
            _ => Outcome::Unclear,
        };
        self.order.take().map(|order| Act::Done(order.token, outcome)).into_iter().collect()
    }

    /// A voter said in this epoch that its disk holds a register under that ballot.
    pub fn holds(&mut self, from: Node, register: Register, ballot: Ballot) {
        if self.muster.coming.contains(&from) {
            let held = self.holds.entry((from, register)).or_default();
            *held = ballot.max(*held);
        }
    }

    pub fn last(&self) -> Option<&(f64, Ended)> {
        self.last.as_ref()
    }

    /// Voters that are to be replaced, as far as this gateway can tell.
    pub fn missing(&self, now: f64) -> Vec<Node> {
        self.presence.missing(now, &self.muster)
    }

    /// This gateway is told to end: its seat goes to another one, and it takes none.
    pub fn leave(&mut self) {
        self.presence.leave();
    }

    /// May this gateway end, as far as its seat goes? Either nobody could take it and all other voters are sound, or it is gone
    /// and all others that are there know: one that alone could tell of the new set must not end with that.
    pub fn may_end(&self, now: f64) -> bool {
        if self.muster.votes(self.me) {
            let sound = |node: &Node| *node == self.me || self.presence.sound(now, *node);
            let nobody = self.presence.spares(now, &self.muster).is_empty();
            return nobody && !self.muster.changing() && self.muster.seats.iter().all(sound);
        }
        let here = self.muster.seats.iter().filter(|node| self.presence.here(now, **node));
        here.into_iter().all(|node| self.presence.stands(*node, self.muster.epoch))
    }

    /// An operator's order that `new` take the seat of `old`; what it ends with at once, if it does.
    pub fn replace(&mut self, now: f64, token: u64, old: Node, new: Node) -> Option<Outcome> {
        let refused = |refusal| Some(Outcome::Refused(refusal));
        let seats = &self.muster.seats;
        let mut next: Vec<Node> = seats.iter().filter(|node| **node != old).copied().collect();
        next.push(new);
        next.sort_unstable();
        if !self.muster.known() {
            return refused(Refusal::Unknown);
        }
        let same = self.muster.changing() && self.muster.coming == next;
        if self.order.is_some() || (self.muster.changing() && !same) || !self.founded() {
            return refused(Refusal::UnderWay);
        }
        match (seats.contains(&old), seats.contains(&new)) {
            // Sent again.
            (false, true) if !self.muster.changing() => return Some(Outcome::Chosen),
            (_, true) => return refused(Refusal::Seated),
            (false, _) => return refused(Refusal::NoSeat),
            _ => {}
        }
        if !self.presence.here(now, new) {
            return refused(Refusal::Absent);
        }
        if !self.can_change(now, &next) {
            return refused(Refusal::NotWhole);
        }
        self.order = Some(Order { token, until: now + ORDER_WAITS, seats: next });
        None
    }

    /// Those that a person named when founding anew, this gateway among them.
    /// The order ends once all registers stand under the new founding, which is after this gateway's disk has it.
    pub fn found(&mut self, now: f64, token: u64, seats: Vec<Node>) {
        self.founding = Some((token, now + ORDER_WAITS));
        self.named = seats;
        self.named.retain(|node| !self.muster.votes(*node));
        self.named.truncate(MOST_HEARD);
        self.named_at = now;
    }

    /// How an own order of the membership ended; `chosen` tells under which ballot a register is known to be chosen now.
    pub fn done(
        &mut self,
        now: f64,
        token: u64,
        outcome: Outcome,
        chosen: impl Fn(Register) -> Option<Ballot>,
    ) {
        let Some(Attempt::Settle(register)) = self.attempts.remove(&token) else { return };
        if outcome == Outcome::Chosen && !self.settled.contains_key(&register) {
            // The first one shows already that enough of the old set grant nothing in their old epoch any more.
            self.settled_at = if self.settled.is_empty() { now } else { self.settled_at };
            self.settled.insert(register, chosen(register).unwrap_or_default());
            self.again_at = now + SETTLE_AGAIN;
        }
    }

    fn propose(&mut self, what: Attempt, change: Change) -> Option<(u64, Change)> {
        if self.attempts.values().any(|busy| *busy == what) {
            return None;
        }
        self.tokens += 1;
        self.attempts.insert(self.tokens, what);
        Some((self.tokens, change))
    }

    fn settle(&mut self, register: Register) -> Option<(u64, Change)> {
        self.propose(Attempt::Settle(register), Change::Settle(register))
    }

    fn next(&mut self, muster: Muster) -> Vec<(u64, Change)> {
        self.propose(Attempt::Next, Change::Muster(muster)).into_iter().collect()
    }

    /// What is to be proposed now; called now and then. What comes of it is told to `done` and `stand`.
    pub fn tick(&mut self, now: f64, view: &View) -> (Vec<Act>, Vec<(u64, Change)>) {
        self.presence.look(now, &self.muster, view.whole);
        self.forget_failures(now);
        let late = self.order.take_if(|order| now > order.until);
        let mut acts: Vec<Act> =
            late.map(|order| Act::Done(order.token, Outcome::Unclear)).into_iter().collect();
        if let Some((token, until)) = self.founding {
            let stands = view.all.is_some_and(|at| at > self.stood) && view.stale.is_empty();
            if stands || now > until {
                self.founding = None;
                let outcome = if stands { Outcome::Chosen } else { Outcome::Unclear };
                acts.push(Act::Done(token, outcome));
            }
        }
        let changes = if !self.muster.known() {
            Vec::new()
        } else if self.muster.changing() {
            self.finish(now, view)
        } else if !self.founded() {
            self.begin_first(now, view)
        } else {
            self.look_after(now, view)
        };
        (acts, changes)
    }

    fn newcomers(&self) -> impl Iterator<Item = Node> {
        self.muster.coming.iter().copied().filter(|node| !self.muster.seats.contains(node))
    }

    /// Has that newcomer said that its disk holds all that was settled?
    fn taken_in(&self, node: Node) -> bool {
        let held = |register| self.holds.get(&(node, register)).copied().unwrap_or_default();
        self.settled.iter().all(|(register, ballot)| held(*register) >= *ballot)
    }

    /// Is a newcomer that has not taken all registers waited for no longer?
    fn given_up(&self, now: f64) -> bool {
        if self.muster.epoch == 2 && !self.founded() {
            return now >= self.stood + TAKES_IN_FIRST;
        }
        let gone = |node: Node| !self.presence.here(now, node) || self.presence.ends(node);
        let others = !self.presence.spares(now, &self.muster).is_empty();
        let most = if others { self.pace.take_in } else { TAKES_IN };
        let silent = now >= self.stood + self.pace.silent && self.newcomers().any(gone);
        silent || now >= self.stood + most
    }

    /// How long this gateway leaves the end of a change to others: the first voter of those heard of just now ends it, whoever
    /// began it. None where it has no part in it.
    fn end_turn(&self, now: f64) -> Option<f64> {
        let able = |node: &Node| self.presence.able(now, *node) && !self.presence.ends(*node);
        let voters: Vec<Node> = self.muster.voters().into_iter().filter(able).collect();
        let place = voters.iter().position(|&node| node == self.me)?;
        Some(self.pace.takeover * place as f64)
    }

    fn finish(&mut self, now: f64, view: &View) -> Vec<(u64, Change)> {
        if self.end_turn(now).is_none_or(|turn| now < self.stood + turn) {
            return Vec::new();
        }
        let open: Vec<Register> =
            REGISTERS.into_iter().filter(|register| !self.settled.contains_key(register)).collect();
        if !open.is_empty() {
            return open.into_iter().filter_map(|register| self.settle(register)).collect();
        }
        let lacking: Vec<Node> = self.newcomers().filter(|node| !self.taken_in(*node)).collect();
        let given_up = !lacking.is_empty() && self.given_up(now);
        if !lacking.is_empty() && !given_up {
            let ready = lacking.iter().any(|node| self.presence.whole(*node) == Some(true));
            if !ready || now < self.again_at {
                return Vec::new();
            }
            self.again_at = now + SETTLE_AGAIN;
            return REGISTERS.into_iter().filter_map(|register| self.settle(register)).collect();
        }
        if now < self.settled_at + self.grants_last(view) {
            return Vec::new();
        }
        let seats = if given_up { self.muster.seats.clone() } else { self.muster.coming.clone() };
        self.next(self.muster.end(&seats))
    }

    /// So long after the settling a grant of the epoch before may last. Before the first change nothing was granted where
    /// nothing could be, and enough of the old set say so.
    fn grants_last(&self, view: &View) -> f64 {
        let bare = |register| self.settled.get(&register) == Some(&Ballot::default());
        let nothing = !view.duties && bare(Register::Chart) && bare(Register::Evacuations);
        if self.muster.epoch == 2 && !self.founded() && nothing { 0.0 } else { GRANTS_END }
    }

    /// The first change, from the seeds to as many as are needed; or to the seeds, where no others come.
    fn begin_first(&mut self, now: f64, view: &View) -> Vec<(u64, Change)> {
        let others = self.presence.spares(now, &self.muster);
        let set = self.grown(&others, view.keepers).unwrap_or(self.muster.seats.clone());
        if set.len() < self.needed && now < self.began + FIRST_WAIT {
            return Vec::new();
        }
        let seats = self.muster.seats.clone();
        self.begin_in_turn(now, FIRST_TURN, &seats, set)
    }

    /// Begins a change to `set` once it is this gateway's turn among `proposers`.
    fn begin_in_turn(
        &mut self,
        now: f64,
        turn: f64,
        proposers: &[Node],
        set: Vec<Node>,
    ) -> Vec<(u64, Change)> {
        let Some(place) = proposers.iter().position(|&node| node == self.me) else { return Vec::new() };
        let due = *self.due.get_or_insert(now);
        if now < due + turn * place as f64 {
            return Vec::new();
        }
        self.next(self.muster.begin(set))
    }

    fn look_after(&mut self, now: f64, view: &View) -> Vec<(u64, Change)> {
        if let Some(order) = &self.order {
            let next = self.muster.begin(order.seats.clone());
            return self.next(next);
        }
        // In touch with a majority of this epoch.
        let sure = Presence::in_touch(now, view.confirmed, self.stood);
        if !sure || !self.muster.seats.contains(&self.me) {
            self.due = None;
            return Vec::new();
        }
        if !view.stale.is_empty() {
            return view.stale.iter().filter_map(|&register| self.settle(register)).collect();
        }
        let lost = self.presence.lost(now, &self.muster);
        let Some(set) = self.plan(now, &lost, view.keepers) else {
            self.due = None;
            return Vec::new();
        };
        let able = |node: &Node| !lost.contains(node) && self.presence.sound(now, *node);
        let proposers: Vec<Node> = self.muster.seats.iter().copied().filter(able).collect();
        self.begin_in_turn(now, self.pace.begin, &proposers, set)
    }
}
