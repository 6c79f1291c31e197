//! How the set of voters changes: who begins a change, and what must be the case before it ends. From one set to another it
//! goes by a joint epoch in which a majority of each is needed; that ends only once every register was settled in it, each
//! newcomer has all of them on its disk, and no grant of a duty from before can still last. Then whoever missed all of it is
//! no majority with anybody. Owns when; the set itself is a register, agreed on by the helm. Must never end a joint epoch on
//! what was seen in another one, nor begin a change while one is under way.

use crate::duties::SPAN;
use crate::helm::Change;
use crate::watch::{MOST_HEARD, Watch};
use crate::{Act, Outcome, Refusal};
use signal::{Ballot, Keeper, Muster, Node, REGISTERS, Register};
use std::collections::BTreeMap;

/// Orders of the crew itself are told of under tokens from here on; callers' tokens are below.
pub const OWN_TOKENS: u64 = 1 << 63;
/// A joint epoch lasts so long from when all registers were settled in it: whoever granted a duty before grants in the old
/// epoch no more, and clocks may run apart by a quarter until the last such grant is over.
const GRANTS_END: f64 = 1.25 * SPAN;
/// A newcomer that has not taken all registers by then is left out, and the old set stands. A large configuration over a
/// narrow link onto a slow disk takes half of it.
const TAKES_IN: f64 = 10.0;
/// The same at the first start, where nothing is there to be taken over and everybody waits.
const TAKES_IN_FIRST: f64 = 3.0;
/// Registers are settled again for a newcomer that missed it.
const SETTLE_AGAIN: f64 = 1.0;
/// Who began a change ends it; after that long the others try in turn, which costs nothing but ballots.
const TURN: f64 = 2.0;
/// At the first start the seeds begin in turn, and wait so long for others to take in: a process is up within a second, links
/// within another.
const FIRST_TURN: f64 = 0.3;
const FIRST_WAIT: f64 = 2.5;
/// What a person named at a founding anew is waited for so long; then those that are there are taken in.
const NAMED_WAIT: f64 = 5.0;
/// An order to replace ends as unclear by then: its caller waits hardly longer. The change goes on.
const ORDER_WAITS: f64 = 2.5;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Try {
    Settle(Register),
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

/// What the crew looks at from beside it.
pub struct Sight<'a> {
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

pub struct Crew {
    me: Node,
    needed: usize,
    muster: Muster,
    began: f64,
    /// When this epoch began here.
    stood: f64,
    pub watch: Watch,
    tries: BTreeMap<u64, Try>,
    tokens: u64,
    /// Under which ballot each register was first settled in this epoch, by this gateway, and when the last one was.
    settled: BTreeMap<Register, Ballot>,
    settled_at: f64,
    again_at: f64,
    /// What newcomers said in this epoch that their disks hold.
    holds: BTreeMap<(Node, Register), Ballot>,
    /// The set that this gateway last proposed to come: it ends what it began.
    proposed: Option<Vec<Node>>,
    /// Since when there is something to begin.
    due: Option<f64>,
    order: Option<Order>,
    /// Named at a founding anew, not taken in yet.
    named: Vec<Node>,
    named_at: f64,
    founding: Option<(u64, f64)>,
    last: Option<(f64, Ended)>,
}

impl Crew {
    pub fn new(now: f64, me: Node, needed: usize) -> Crew {
        Crew {
            me,
            needed,
            muster: Muster::default(),
            began: now,
            stood: now,
            watch: Watch::new(now, me),
            tries: BTreeMap::new(),
            tokens: OWN_TOKENS,
            settled: BTreeMap::new(),
            settled_at: now,
            again_at: now,
            holds: BTreeMap::new(),
            proposed: None,
            due: None,
            order: None,
            named: Vec::new(),
            named_at: now,
            founding: None,
            last: None,
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
        self.tries.clear();
        self.settled.clear();
        self.settled_at = now;
        self.again_at = now;
        self.holds.clear();
        self.due = None;
        self.proposed.take_if(|proposed| *proposed != muster.coming);
        if before.changing() && !muster.changing() {
            let ended = if before.coming == muster.seats { Ended::Came } else { Ended::TakenBack };
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

    /// Voters that were not heard of for very long.
    pub fn missing(&self, now: f64) -> Vec<Node> {
        self.watch.missing(now, &self.muster)
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
        if !self.watch.here(now, new) {
            return refused(Refusal::Absent);
        }
        if !self.can_change(now, &next) {
            return refused(Refusal::NotWhole);
        }
        self.order = Some(Order { token, until: now + ORDER_WAITS, seats: next });
        None
    }

    /// Is there a majority of both sets, whole but for those that come?
    fn can_change(&self, now: f64, next: &[Node]) -> bool {
        let joint = self.muster.begin(next.to_vec());
        let comes = |node| !self.muster.seats.contains(&node) && self.watch.here(now, node);
        joint.enough(|node| comes(node) || self.watch.sound(now, node))
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

    /// How an own order of the crew ended; `chosen` tells under which ballot a register is known to be chosen now.
    pub fn done(
        &mut self,
        now: f64,
        token: u64,
        outcome: Outcome,
        chosen: impl Fn(Register) -> Option<Ballot>,
    ) {
        let Some(Try::Settle(register)) = self.tries.remove(&token) else { return };
        if outcome == Outcome::Chosen && !self.settled.contains_key(&register) {
            self.settled.insert(register, chosen(register).unwrap_or_default());
            self.settled_at = now;
            self.again_at = now + SETTLE_AGAIN;
        }
    }

    fn propose(&mut self, what: Try, change: Change) -> Option<(u64, Change)> {
        if self.tries.values().any(|busy| *busy == what) {
            return None;
        }
        self.tokens += 1;
        self.tries.insert(self.tokens, what);
        Some((self.tokens, change))
    }

    fn settle(&mut self, register: Register) -> Option<(u64, Change)> {
        self.propose(Try::Settle(register), Change::Settle(register))
    }

    fn next(&mut self, muster: Muster) -> Vec<(u64, Change)> {
        let coming = muster.coming.clone();
        let proposed = self.propose(Try::Next, Change::Muster(muster));
        if proposed.is_some() && !coming.is_empty() {
            self.proposed = Some(coming);
        }
        proposed.into_iter().collect()
    }

    fn place(&self, set: &[Node]) -> Option<usize> {
        set.iter().position(|&node| node == self.me)
    }

    /// What is to be proposed now; called now and then. What comes of it is told to `done` and `stand`.
    pub fn tick(&mut self, now: f64, sight: &Sight) -> (Vec<Act>, Vec<(u64, Change)>) {
        self.watch.look(now, sight.confirmed, sight.whole);
        let late = self.order.take_if(|order| now > order.until);
        let mut acts: Vec<Act> =
            late.map(|order| Act::Done(order.token, Outcome::Unclear)).into_iter().collect();
        if let Some((token, until)) = self.founding {
            let stands = sight.all.is_some_and(|at| at > self.stood) && sight.stale.is_empty();
            if stands || now > until {
                self.founding = None;
                let outcome = if stands { Outcome::Chosen } else { Outcome::Unclear };
                acts.push(Act::Done(token, outcome));
            }
        }
        let changes = if !self.muster.known() {
            Vec::new()
        } else if self.muster.changing() {
            self.finish(now, sight)
        } else if !self.founded() {
            self.begin_first(now, sight)
        } else {
            self.look_after(now, sight)
        };
        (acts, changes)
    }

    /// Has every newcomer said that its disk holds all that was settled?
    fn taken_in(&self) -> bool {
        let newcomers = self.muster.coming.iter().filter(|node| !self.muster.seats.contains(node));
        let takes = |node: &Node, register: Register, ballot: Ballot| {
            self.holds.get(&(*node, register)).copied().unwrap_or_default() >= ballot
        };
        newcomers.into_iter().all(|node| self.settled.iter().all(|(r, ballot)| takes(node, *r, *ballot)))
    }

    fn finish(&mut self, now: f64, sight: &Sight) -> Vec<(u64, Change)> {
        let began = self.proposed.as_ref() == Some(&self.muster.coming);
        let turn = match self.place(&self.muster.voters()) {
            _ if began => 0.0,
            Some(place) => TURN * (place + 1) as f64,
            None => return Vec::new(),
        };
        if now < self.stood + turn {
            return Vec::new();
        }
        let open: Vec<Register> =
            REGISTERS.into_iter().filter(|register| !self.settled.contains_key(register)).collect();
        if !open.is_empty() {
            return open.into_iter().filter_map(|register| self.settle(register)).collect();
        }
        let (first, taken_in) = (self.muster.epoch == 2, self.taken_in());
        let most = if first && !self.founded() { TAKES_IN_FIRST } else { TAKES_IN };
        if !taken_in && now >= self.again_at && now < self.stood + most {
            self.again_at = now + SETTLE_AGAIN;
            return REGISTERS.into_iter().filter_map(|register| self.settle(register)).collect();
        }
        // Before the first change nothing was granted where nothing could be, and enough of the old set say so.
        let bare = |register| self.settled.get(&register) == Some(&Ballot::default());
        let nothing = !sight.duties && bare(Register::Chart) && bare(Register::Evacuations);
        let wait = if first && !self.founded() && nothing { 0.0 } else { GRANTS_END };
        if now < self.settled_at + wait {
            return Vec::new();
        }
        let seats = match taken_in {
            true => self.muster.coming.clone(),
            false if now >= self.stood + most => self.muster.seats.clone(),
            false => return Vec::new(),
        };
        self.next(self.muster.end(&seats))
    }

    /// `set` and others of those that there are, from as many zones as can be, up to `most`.
    fn filled(set: &[Node], others: &[Node], keepers: &[Keeper], most: usize) -> Vec<Node> {
        let mut set = set.to_vec();
        let zone = |node: Node| keepers.iter().find(|k| k.node == node).map(|k| k.zone.as_str());
        while set.len() < most {
            let crowd = |node: Node| set.iter().filter(|&&seat| zone(seat) == zone(node)).count();
            let free = others.iter().copied().filter(|node| !set.contains(node));
            let Some(next) = free.min_by_key(|&node| (crowd(node), node)) else { break };
            set.push(next);
        }
        set.sort_unstable();
        set
    }

    /// The seats and more of `others`, where more losses can be borne then.
    fn grown(&self, others: &[Node], keepers: &[Keeper]) -> Option<Vec<Node>> {
        let seats = &self.muster.seats;
        let most = self.needed.min(seats.len() + others.len());
        let odd = most - usize::from(most.is_multiple_of(2));
        (odd > seats.len()).then(|| Crew::filled(seats, others, keepers, odd))
    }

    /// The first change, from the seeds to as many as are needed; or to the seeds, where no others come.
    fn begin_first(&mut self, now: f64, sight: &Sight) -> Vec<(u64, Change)> {
        let Some(place) = self.place(&self.muster.seats) else { return Vec::new() };
        let others = self.watch.others(now, &self.muster, false);
        let set = self.grown(&others, sight.keepers).unwrap_or(self.muster.seats.clone());
        if set.len() < self.needed && now < self.began + FIRST_WAIT {
            return Vec::new();
        }
        let due = *self.due.get_or_insert(now);
        if now < due + FIRST_TURN * place as f64 {
            return Vec::new();
        }
        self.next(self.muster.begin(set))
    }

    fn look_after(&mut self, now: f64, sight: &Sight) -> Vec<(u64, Change)> {
        if let Some(order) = &self.order {
            let next = self.muster.begin(order.seats.clone());
            return self.next(next);
        }
        // In touch with a majority of this epoch.
        let place = self.place(&self.muster.seats);
        let sure = Watch::in_touch(now, sight.confirmed, self.stood);
        let (Some(place), true) = (place, sure) else {
            self.due = None;
            return Vec::new();
        };
        if !sight.stale.is_empty() {
            return sight.stale.iter().filter_map(|&register| self.settle(register)).collect();
        }
        let Some(set) = self.plan(now, sight) else {
            self.due = None;
            return Vec::new();
        };
        let due = *self.due.get_or_insert(now);
        if now < due + TURN * place as f64 {
            return Vec::new();
        }
        self.next(self.muster.begin(set))
    }

    /// The set that should be, where that is another one than stands.
    fn plan(&self, now: f64, sight: &Sight) -> Option<Vec<Node>> {
        let seats = &self.muster.seats;
        let can = |set: &Vec<Node>| self.can_change(now, set);
        if !self.named.is_empty() {
            let there: Vec<Node> =
                self.named.iter().copied().filter(|&node| self.watch.here(now, node)).collect();
            let waited = there.len() == self.named.len() || now > self.named_at + NAMED_WAIT;
            let all = Crew::filled(seats, &there, sight.keepers, seats.len() + there.len());
            return Some(all).filter(|all| waited && all.len() > seats.len() && can(all));
        }
        let spare = self.watch.others(now, &self.muster, true);
        // Nothing is begun unasked but by a set that is all there, or all but the one that is to be replaced.
        let gone = self.missing(now);
        let rest: Vec<Node> = seats.iter().copied().filter(|node| !gone.contains(node)).collect();
        if !rest.iter().all(|&node| self.watch.sound(now, node)) {
            return None;
        }
        if gone.is_empty() {
            return self.grown(&spare, sight.keepers).filter(can);
        }
        let old = gone
            .into_iter()
            .find(|&old| self.muster.enough(|node| node != old && self.watch.says_missing(node, old)))?;
        let left: Vec<Node> = seats.iter().copied().filter(|node| *node != old).collect();
        let set = Crew::filled(&left, &spare, sight.keepers, seats.len());
        Some(set).filter(|set| set.len() == seats.len() && set != seats && can(set))
    }
}
