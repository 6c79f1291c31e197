//! How the set of voters changes: who begins a change, and what must be the case before it ends. From one set to another it
//! goes by a joint epoch in which a majority of each is needed; that ends only once every register was settled in it, each
//! newcomer has all of them on its disk, and no grant of a duty from before can still last. Then whoever missed all of it is
//! no majority with anybody. Owns when; the set itself is a register, agreed on by the helm. Must never end a joint epoch on
//! what was seen in another one, nor begin a change while one is under way.

use crate::duties::SPAN;
use crate::helm::Change;
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
/// Heard of lately: several beats are due in that time.
const LATELY: f64 = 2.0;
/// A longer silence ends a steady presence.
const GAP: f64 = 5.0;
/// A gateway is taken in unasked only after so long a steady presence: it is no process that starts again and again.
const STEADY: f64 = 30.0;
/// A voter that was not heard of for so long is replaced unasked: rolls, reboots, wiped disks (4 to 6 s to come back) and cuts of
/// links are over by then, and every one of them is borne meanwhile. Being wrong costs one change back, no data.
const ABSENT: f64 = 300.0;
/// Gateways whose presence is kept in mind; the roster knows no more either.
const MOST_HEARD: usize = 64;
/// What a person named at a founding anew is waited for so long; then those that are there are taken in.
const NAMED_WAIT: f64 = 5.0;
/// An order to replace ends as unclear by then: its caller waits hardly longer. The change goes on.
const ORDER_WAITS: f64 = 2.5;

/// What is known of another control gateway's presence.
#[derive(Clone, Debug)]
struct Heard {
    since: f64,
    last: f64,
    whole: bool,
    missing: Vec<Node>,
}

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
    /// Since when enough have confirmed who votes, without a gap; and when this was looked at last.
    steady: f64,
    looked: f64,
    heard: BTreeMap<Node, Heard>,
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
            steady: now,
            looked: now,
            heard: BTreeMap::new(),
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

    /// A word came from that gateway.
    pub fn heard(&mut self, now: f64, from: Node) {
        if from == self.me || (self.heard.len() >= MOST_HEARD && !self.heard.contains_key(&from)) {
            return;
        }
        let fresh = Heard { since: now, last: now, whole: false, missing: Vec::new() };
        let heard = self.heard.entry(from).or_insert(fresh);
        if now > heard.last + GAP {
            heard.since = now;
        }
        heard.last = now;
    }

    /// What a beat says about its sender.
    pub fn told(&mut self, from: Node, whole: bool, missing: &[Node]) {
        if let Some(heard) = self.heard.get_mut(&from) {
            heard.whole = whole;
            heard.missing = missing.iter().take(MOST_HEARD).copied().collect();
        }
    }

    /// A voter said in this epoch that its disk holds a register under that ballot.
    pub fn holds(&mut self, from: Node, register: Register, ballot: Ballot) {
        if self.muster.coming.contains(&from) {
            let held = self.holds.entry((from, register)).or_default();
            *held = ballot.max(*held);
        }
    }

    pub fn seen(&self, now: f64, node: Node) -> Option<f64> {
        if node == self.me { Some(0.0) } else { self.heard.get(&node).map(|heard| now - heard.last) }
    }

    pub fn is_whole(&self, node: Node) -> Option<bool> {
        self.heard.get(&node).map(|heard| heard.whole)
    }

    pub fn last(&self) -> Option<&(f64, Ended)> {
        self.last.as_ref()
    }

    fn here(&self, now: f64, node: Node) -> bool {
        self.seen(now, node).is_some_and(|ago| ago < LATELY)
    }

    /// There, and with all that its disk ever promised; of this gateway as `whole` says.
    fn sound(&self, now: f64, node: Node, whole: bool) -> bool {
        self.here(now, node) && if node == self.me { whole } else { self.is_whole(node) == Some(true) }
    }

    /// Voters that were not heard of for very long, while a majority was.
    pub fn missing(&self, now: f64) -> Vec<Node> {
        let last = |node: &Node| self.heard.get(node).map_or(self.began, |heard| heard.last);
        let absent = |node: &Node| *node != self.me && now > last(node).max(self.steady) + ABSENT;
        self.muster.voters().into_iter().filter(absent).collect()
    }

    /// An operator's order that `new` take the seat of `old`; what it ends with at once, if it does.
    pub fn replace(&mut self, now: f64, token: u64, old: Node, new: Node, whole: bool) -> Option<Outcome> {
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
        if !self.here(now, new) {
            return refused(Refusal::Absent);
        }
        if !self.can_change(now, &next, whole) {
            return refused(Refusal::NotWhole);
        }
        self.order = Some(Order { token, until: now + ORDER_WAITS, seats: next });
        None
    }

    /// Is there a majority of both sets, whole but for those that come?
    fn can_change(&self, now: f64, next: &[Node], whole: bool) -> bool {
        let joint = self.muster.begin(next.to_vec());
        let comes = |node| !self.muster.seats.contains(&node) && self.here(now, node);
        joint.enough(|node| comes(node) || self.sound(now, node, whole))
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
    pub fn tick(&mut self, now: f64, sight: &Sight, whole: bool) -> (Vec<Act>, Vec<(u64, Change)>) {
        // Who stood still, or was alone, has not missed the others: they have missed it.
        let confirmed = sight.confirmed.is_some_and(|at| at > now - GAP);
        if !confirmed || now > self.looked + GAP {
            self.steady = now;
        }
        self.looked = now;
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
            self.look_after(now, sight, whole)
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
        let others = self.others(|node| self.here(now, node));
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

    /// Gateways without a vote of which that holds.
    fn others(&self, holds: impl Fn(Node) -> bool) -> Vec<Node> {
        self.heard.keys().copied().filter(|&node| !self.muster.votes(node) && holds(node)).collect()
    }

    fn look_after(&mut self, now: f64, sight: &Sight, whole: bool) -> Vec<(u64, Change)> {
        if let Some(order) = &self.order {
            let next = self.muster.begin(order.seats.clone());
            return self.next(next);
        }
        // In touch with a majority of this epoch.
        let place = self.place(&self.muster.seats);
        let sure = sight.confirmed.is_some_and(|at| at > self.stood.max(now - LATELY));
        let (Some(place), true) = (place, sure) else {
            self.due = None;
            return Vec::new();
        };
        if !sight.stale.is_empty() {
            return sight.stale.iter().filter_map(|&register| self.settle(register)).collect();
        }
        let Some(set) = self.plan(now, sight, whole) else {
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
    fn plan(&self, now: f64, sight: &Sight, whole: bool) -> Option<Vec<Node>> {
        let seats = &self.muster.seats;
        let can = |set: &Vec<Node>| self.can_change(now, set, whole);
        if !self.named.is_empty() {
            let there: Vec<Node> = self.named.iter().copied().filter(|&node| self.here(now, node)).collect();
            let waited = there.len() == self.named.len() || now > self.named_at + NAMED_WAIT;
            let all = Crew::filled(seats, &there, sight.keepers, seats.len() + there.len());
            return Some(all).filter(|all| waited && all.len() > seats.len() && can(all));
        }
        let steady = |node: Node| {
            self.here(now, node) && self.heard.get(&node).is_some_and(|h| now > h.since + STEADY)
        };
        let spare = self.others(steady);
        // Nothing is begun unasked but by a set that is all there, or all but the one that is to be replaced.
        let gone = self.missing(now);
        let rest: Vec<Node> = seats.iter().copied().filter(|node| !gone.contains(node)).collect();
        if !rest.iter().all(|&node| self.sound(now, node, whole)) {
            return None;
        }
        if gone.is_empty() {
            return self.grown(&spare, sight.keepers).filter(can);
        }
        let says = |node: Node, old: Node| {
            node == self.me || self.heard.get(&node).is_some_and(|h| h.missing.contains(&old))
        };
        let old = gone.into_iter().find(|&old| self.muster.enough(|node| node != old && says(node, old)))?;
        let left: Vec<Node> = seats.iter().copied().filter(|node| *node != old).collect();
        let set = Crew::filled(&left, &spare, sight.keepers, seats.len());
        Some(set).filter(|set| set.len() == seats.len() && set != seats && can(set))
    }
}
