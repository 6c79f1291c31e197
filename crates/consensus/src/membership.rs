//! How the set of voters changes: who begins a change, and what must be the case before it ends. From one set to another it
//! goes by a joint epoch in which a majority of each is needed; that ends only once every register was settled in it, each
//! newcomer has all of them on its disk, and no grant of a duty from before can still last. Then whoever missed all of it is
//! no majority with anybody. Owns when; which set should stand is in `plan`, and the set itself is a register, agreed on by
//! the helm. Must never end a joint epoch on what was seen in another one, nor begin a change while one is under way.

mod plan;

use crate::failure_detector::{FailureDetector, MAX_PEERS};
use crate::leases::LEASE_DURATION;
use crate::proposer::Change;
use crate::repair_timing::RepairTiming;
use crate::{Effect, MembershipError, Outcome};
use archlink_messages::{ControlNode, NodeId, ProposalNumber, REGISTERS, Register, VoterSet};
use std::collections::BTreeMap;

/// Orders of the membership itself are told of under tokens from here on; callers' tokens are below.
pub const FIRST_INTERNAL_TOKEN: u64 = 1 << 63;
/// A joint epoch lasts so long from when the first register was settled in it: enough of those that granted duties before are
/// in it then and grant nothing in the old epoch, and clocks may run apart by a quarter until the last such grant is over.
const GRANTS_END: f64 = 1.25 * LEASE_DURATION;
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
    Commit(Register),
    /// The next epoch.
    NextVoterSet,
}

#[derive(Clone, Debug)]
struct ReplaceRequest {
    token: u64,
    until: f64,
    seats: Vec<NodeId>,
}

/// How the last change ended, as this gateway saw it.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeResult {
    /// The set that was to come stands.
    Committed,
    /// The set from before stands: who was to come did not take all registers in time.
    RolledBack,
}

/// What the membership is decided by besides what it owns.
pub struct MembershipContext<'a> {
    pub control_nodes: &'a [ControlNode],
    /// When the question was asked to which enough answered who votes.
    pub confirmed: Option<f64>,
    /// The same of all registers.
    pub all_confirmed: Option<f64>,
    /// Chosen under a founding before this one.
    pub stale: Vec<Register>,
    /// Is this gateway's voter whole?
    pub recovered: bool,
    /// Somebody held a duty once, as far as is known.
    pub leases_known: bool,
}

pub struct Membership {
    id: NodeId,
    needed: usize,
    voter_set: VoterSet,
    began: f64,
    /// When this epoch began here.
    epoch_started: f64,
    pub failure_detector: FailureDetector,
    timing: RepairTiming,
    attempts: BTreeMap<u64, Attempt>,
    tokens: u64,
    /// Under which ballot each register was first settled in this epoch, by this gateway, and when the first one was.
    committed: BTreeMap<Register, ProposalNumber>,
    first_commit_at: f64,
    again_at: f64,
    /// What newcomers said in this epoch that their disks hold.
    holds: BTreeMap<(NodeId, Register), ProposalNumber>,
    /// Since when there is something to begin.
    due: Option<f64>,
    order: Option<ReplaceRequest>,
    /// Named at a founding anew, not taken in yet.
    named: Vec<NodeId>,
    named_at: f64,
    founding: Option<(u64, f64)>,
    last: Option<(f64, ChangeResult)>,
    /// Newcomers that did not take all registers in time, and when: others are tried first.
    failed: BTreeMap<NodeId, f64>,
}

impl Membership {
    pub fn new(now: f64, id: NodeId, needed: usize, timing: RepairTiming) -> Membership {
        Membership {
            id,
            needed,
            voter_set: VoterSet::default(),
            began: now,
            epoch_started: now,
            failure_detector: FailureDetector::new(now, id, timing),
            timing,
            attempts: BTreeMap::new(),
            tokens: FIRST_INTERNAL_TOKEN,
            committed: BTreeMap::new(),
            first_commit_at: now,
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
    pub fn is_established(&self) -> bool {
        self.voter_set.epoch > 2 || self.needed <= self.voter_set.voters.len()
    }

    /// Another epoch begins here: what was seen in the one before counts for nothing.
    pub fn epoch_adopted(&mut self, now: f64, voter_set: &VoterSet) -> Vec<Effect> {
        let before = std::mem::replace(&mut self.voter_set, voter_set.clone());
        self.epoch_started = now;
        self.attempts.clear();
        self.committed.clear();
        self.first_commit_at = now;
        self.again_at = now;
        self.holds.clear();
        self.due = None;
        if before.is_joint() && !voter_set.is_joint() {
            let ended = if before.incoming == voter_set.voters {
                ChangeResult::Committed
            } else {
                ChangeResult::RolledBack
            };
            if ended == ChangeResult::RolledBack {
                let newcomers = before.incoming.iter().filter(|node| !before.voters.contains(node));
                self.failed.extend(newcomers.map(|node| (*node, now)));
            }
            self.last = Some((now, ended));
        }
        self.named.retain(|node| !voter_set.contains(*node));
        let Some(order) = &self.order else { return Vec::new() };
        let outcome = match order.seats == voter_set.voters {
            true if !voter_set.is_joint() => Outcome::Chosen,
            _ if order.seats == voter_set.incoming => return Vec::new(),
            // Another change came first, or this one was taken back.
            _ if voter_set.is_joint() => Outcome::Rejected(MembershipError::ChangeInProgress),
            _ => Outcome::Unknown,
        };
        self.order.take().map(|order| Effect::ProposalResolved(order.token, outcome)).into_iter().collect()
    }

    /// A voter said in this epoch that its disk holds a register under that ballot.
    pub fn record_accepted(&mut self, from: NodeId, register: Register, proposal: ProposalNumber) {
        if self.voter_set.incoming.contains(&from) {
            let held = self.holds.entry((from, register)).or_default();
            *held = proposal.max(*held);
        }
    }

    pub fn last_change(&self) -> Option<&(f64, ChangeResult)> {
        self.last.as_ref()
    }

    /// Voters that are to be replaced, as far as this gateway can tell.
    pub fn suspected(&self, now: f64) -> Vec<NodeId> {
        self.failure_detector.suspected(now, &self.voter_set)
    }

    /// This gateway is told to end: its seat goes to another one, and it takes none.
    pub fn leave(&mut self) {
        self.failure_detector.leave();
    }

    /// May this gateway end, as far as its seat goes? Either nobody could take it and all other voters are sound, or it is gone
    /// and all others that are there know: one that alone could tell of the new set must not end with that.
    pub fn may_shut_down(&self, now: f64) -> bool {
        if self.voter_set.contains(self.id) {
            let sound = |node: &NodeId| *node == self.id || self.failure_detector.is_healthy(now, *node);
            let nobody = self.failure_detector.spare_nodes(now, &self.voter_set).is_empty();
            return nobody && !self.voter_set.is_joint() && self.voter_set.voters.iter().all(sound);
        }
        let here =
            self.voter_set.voters.iter().filter(|node| self.failure_detector.is_reachable(now, **node));
        here.into_iter().all(|node| self.failure_detector.has_reached_epoch(*node, self.voter_set.epoch))
    }

    /// An operator's order that `new` take the seat of `old`; what it ends with at once, if it does.
    pub fn replace(&mut self, now: f64, token: u64, old: NodeId, new: NodeId) -> Option<Outcome> {
        let refused = |refusal| Some(Outcome::Rejected(refusal));
        let seats = &self.voter_set.voters;
        let mut next: Vec<NodeId> = seats.iter().filter(|node| **node != old).copied().collect();
        next.push(new);
        next.sort_unstable();
        if !self.voter_set.is_known() {
            return refused(MembershipError::Unknown);
        }
        let same = self.voter_set.is_joint() && self.voter_set.incoming == next;
        if self.order.is_some() || (self.voter_set.is_joint() && !same) || !self.is_established() {
            return refused(MembershipError::ChangeInProgress);
        }
        match (seats.contains(&old), seats.contains(&new)) {
            // Sent again.
            (false, true) if !self.voter_set.is_joint() => return Some(Outcome::Chosen),
            (_, true) => return refused(MembershipError::AlreadyAVoter),
            (false, _) => return refused(MembershipError::NotAVoter),
            _ => {}
        }
        if !self.failure_detector.is_reachable(now, new) {
            return refused(MembershipError::Unreachable);
        }
        if !self.can_change(now, &next) {
            return refused(MembershipError::NotRecovered);
        }
        self.order = Some(ReplaceRequest { token, until: now + ORDER_WAITS, seats: next });
        None
    }

    /// Those that a person named when founding anew, this gateway among them.
    /// The order ends once all registers stand under the new founding, which is after this gateway's disk has it.
    pub fn generation_forced(&mut self, now: f64, token: u64, seats: Vec<NodeId>) {
        self.founding = Some((token, now + ORDER_WAITS));
        self.named = seats;
        self.named.retain(|node| !self.voter_set.contains(*node));
        self.named.truncate(MAX_PEERS);
        self.named_at = now;
    }

    /// How an own order of the membership ended; `chosen` tells under which ballot a register is known to be chosen now.
    pub fn proposal_resolved(
        &mut self,
        now: f64,
        token: u64,
        outcome: Outcome,
        chosen: impl Fn(Register) -> Option<ProposalNumber>,
    ) {
        let Some(Attempt::Commit(register)) = self.attempts.remove(&token) else { return };
        if outcome == Outcome::Chosen && !self.committed.contains_key(&register) {
            // The first one shows already that enough of the old set grant nothing in their old epoch any more.
            self.first_commit_at = if self.committed.is_empty() { now } else { self.first_commit_at };
            self.committed.insert(register, chosen(register).unwrap_or_default());
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
        self.propose(Attempt::Commit(register), Change::Commit(register))
    }

    fn next(&mut self, voter_set: VoterSet) -> Vec<(u64, Change)> {
        self.propose(Attempt::NextVoterSet, Change::VoterSet(voter_set)).into_iter().collect()
    }

    /// What is to be proposed now; called now and then. What comes of it is told to `done` and `stand`.
    pub fn tick(&mut self, now: f64, view: &MembershipContext) -> (Vec<Effect>, Vec<(u64, Change)>) {
        self.failure_detector.check(now, &self.voter_set, view.recovered);
        self.forget_failures(now);
        let late = self.order.take_if(|order| now > order.until);
        let mut effects: Vec<Effect> =
            late.map(|order| Effect::ProposalResolved(order.token, Outcome::Unknown)).into_iter().collect();
        if let Some((token, until)) = self.founding {
            let stands =
                view.all_confirmed.is_some_and(|at| at > self.epoch_started) && view.stale.is_empty();
            if stands || now > until {
                self.founding = None;
                let outcome = if stands { Outcome::Chosen } else { Outcome::Unknown };
                effects.push(Effect::ProposalResolved(token, outcome));
            }
        }
        let changes = if !self.voter_set.is_known() {
            Vec::new()
        } else if self.voter_set.is_joint() {
            self.finish(now, view)
        } else if !self.is_established() {
            self.begin_first(now, view)
        } else {
            self.look_after(now, view)
        };
        (effects, changes)
    }

    fn newcomers(&self) -> impl Iterator<Item = NodeId> {
        self.voter_set.incoming.iter().copied().filter(|node| !self.voter_set.voters.contains(node))
    }

    /// Has that newcomer said that its disk holds all that was settled?
    fn taken_in(&self, node: NodeId) -> bool {
        let held = |register| self.holds.get(&(node, register)).copied().unwrap_or_default();
        self.committed.iter().all(|(register, proposal)| held(*register) >= *proposal)
    }

    /// Is a newcomer that has not taken all registers waited for no longer?
    fn given_up(&self, now: f64) -> bool {
        if self.voter_set.epoch == 2 && !self.is_established() {
            return now >= self.epoch_started + TAKES_IN_FIRST;
        }
        let gone = |node: NodeId| {
            !self.failure_detector.is_reachable(now, node) || self.failure_detector.is_leaving(node)
        };
        let others = !self.failure_detector.spare_nodes(now, &self.voter_set).is_empty();
        let most = if others { self.timing.joining_timeout } else { TAKES_IN };
        let silent = now >= self.epoch_started + self.timing.silence_timeout && self.newcomers().any(gone);
        silent || now >= self.epoch_started + most
    }

    /// How long this gateway leaves the end of a change to others: the first voter of those heard of just now ends it, whoever
    /// began it. None where it has no part in it.
    fn end_turn(&self, now: f64) -> Option<f64> {
        let able = |node: &NodeId| {
            self.failure_detector.is_active(now, *node) && !self.failure_detector.is_leaving(*node)
        };
        let voters: Vec<NodeId> = self.voter_set.all_voters().into_iter().filter(able).collect();
        let place = voters.iter().position(|&node| node == self.id)?;
        Some(self.timing.finish_stagger * place as f64)
    }

    fn finish(&mut self, now: f64, view: &MembershipContext) -> Vec<(u64, Change)> {
        if self.end_turn(now).is_none_or(|turn| now < self.epoch_started + turn) {
            return Vec::new();
        }
        let open: Vec<Register> =
            REGISTERS.into_iter().filter(|register| !self.committed.contains_key(register)).collect();
        if !open.is_empty() {
            return open.into_iter().filter_map(|register| self.settle(register)).collect();
        }
        let lacking: Vec<NodeId> = self.newcomers().filter(|node| !self.taken_in(*node)).collect();
        let given_up = !lacking.is_empty() && self.given_up(now);
        if !lacking.is_empty() && !given_up {
            let ready = lacking.iter().any(|node| self.failure_detector.is_recovered(*node) == Some(true));
            if !ready || now < self.again_at {
                return Vec::new();
            }
            self.again_at = now + SETTLE_AGAIN;
            return REGISTERS.into_iter().filter_map(|register| self.settle(register)).collect();
        }
        if now < self.first_commit_at + self.grants_last(view) {
            return Vec::new();
        }
        let seats = if given_up { self.voter_set.voters.clone() } else { self.voter_set.incoming.clone() };
        self.next(self.voter_set.leave_joint(&seats))
    }

    /// So long after the settling a grant of the epoch before may last. Before the first change nothing was granted where
    /// nothing could be, and enough of the old set say so.
    fn grants_last(&self, view: &MembershipContext) -> f64 {
        let bare = |register| self.committed.get(&register) == Some(&ProposalNumber::default());
        let nothing = !view.leases_known && bare(Register::Configuration) && bare(Register::Evacuations);
        if self.voter_set.epoch == 2 && !self.is_established() && nothing { 0.0 } else { GRANTS_END }
    }

    /// The first change, from the seeds to as many as are needed; or to the seeds, where no others come.
    fn begin_first(&mut self, now: f64, view: &MembershipContext) -> Vec<(u64, Change)> {
        let others = self.failure_detector.spare_nodes(now, &self.voter_set);
        let set = self.grown(&others, view.control_nodes).unwrap_or(self.voter_set.voters.clone());
        if set.len() < self.needed && now < self.began + FIRST_WAIT {
            return Vec::new();
        }
        let seats = self.voter_set.voters.clone();
        self.begin_in_turn(now, FIRST_TURN, &seats, set)
    }

    /// Begins a change to `set` once it is this gateway's turn among `proposers`.
    fn begin_in_turn(
        &mut self,
        now: f64,
        turn: f64,
        proposers: &[NodeId],
        set: Vec<NodeId>,
    ) -> Vec<(u64, Change)> {
        let Some(place) = proposers.iter().position(|&node| node == self.id) else { return Vec::new() };
        let due = *self.due.get_or_insert(now);
        if now < due + turn * place as f64 {
            return Vec::new();
        }
        self.next(self.voter_set.enter_joint(set))
    }

    fn look_after(&mut self, now: f64, view: &MembershipContext) -> Vec<(u64, Change)> {
        if let Some(order) = &self.order {
            let next = self.voter_set.enter_joint(order.seats.clone());
            return self.next(next);
        }
        // In touch with a majority of this epoch.
        let sure = FailureDetector::has_quorum_contact(now, view.confirmed, self.epoch_started);
        if !sure || !self.voter_set.voters.contains(&self.id) {
            self.due = None;
            return Vec::new();
        }
        if !view.stale.is_empty() {
            return view.stale.iter().filter_map(|&register| self.settle(register)).collect();
        }
        let lost = self.failure_detector.failed_voters(now, &self.voter_set);
        let Some(set) = self.plan(now, &lost, view.control_nodes) else {
            self.due = None;
            return Vec::new();
        };
        let able = |node: &NodeId| !lost.contains(node) && self.failure_detector.is_healthy(now, *node);
        let proposers: Vec<NodeId> = self.voter_set.voters.iter().copied().filter(able).collect();
        self.begin_in_turn(now, self.timing.begin_stagger, &proposers, set)
    }
}
