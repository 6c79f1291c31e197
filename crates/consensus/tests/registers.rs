//! The rule by which who votes may change, as an abstract model that is gone through to its end: voters with an epoch and a
//! promised and an accepted ballot for each of two registers, one of which is the set of voters itself; attempts of any
//! number of writers, whose words come late, twice or never and who may stop at any step; one lost disk. No times, no texts:
//! a value is the line of attempts that wrote it. `model.rs` and `sounding` put the very code to the same questions.

use stateright::{Checker, Model, Property};

/// Voters, as bits: seats of the first set, and the set that may come.
type Set = u8;
const NODES: usize = 4;
const SEATS: Set = 0b0111;
const COMING: Set = 0b1011;
const AGAIN: Set = 0b1101;

/// Registers: values, and who votes.
const VALUE: usize = 0;
const MUSTER: usize = 1;
/// Attempts on each; 0 is none.
const TRIES: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Muster {
    seats: Set,
    coming: Set,
}

impl Muster {
    fn enough(self, yes: Set) -> bool {
        let half = |set: Set| 2 * (set & yes).count_ones() > set.count_ones();
        half(self.seats) && (self.coming == 0 || half(self.coming))
    }

    fn votes(self, node: usize) -> bool {
        (self.seats | self.coming) >> node & 1 == 1
    }

    fn newcomers(self) -> Set {
        self.coming & !self.seats
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Slot {
    promised: u8,
    accepted: u8,
}

impl Slot {
    fn merge(self, other: Slot) -> Slot {
        Slot { promised: self.promised.max(other.promised), accepted: self.accepted.max(other.accepted) }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Memory {
    Whole,
    Joining,
    Forgotten,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Voter {
    /// 0: not known.
    epoch: u8,
    memory: Memory,
    slots: [Slot; 2],
    told: Set,
    read: [Slot; 2],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wish {
    Write,
    Settle,
    Begin,
    Come,
    Back,
}

const WISHES: [Wish; 5] = [Wish::Write, Wish::Settle, Wish::Begin, Wish::Come, Wish::Back];

/// An attempt goes on the moment that enough have promised: a promise that is not counted only binds its voter, and whatever
/// may happen then may happen without it too. So what it is for is decided then, and of promises the newest value is enough.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Attempt {
    Unused,
    Preparing {
        epoch: u8,
        promises: Set,
        newest: u8,
    },
    Issued {
        epoch: u8,
        value: u16,
        accepts: Set,
        chosen: bool,
    },
    /// Nobody goes on with it.
    Over,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct State {
    voters: [Voter; NODES],
    attempts: [[Attempt; TRIES]; 2],
    /// Chosen sets: of epoch 1, 2 and so on.
    line: Vec<Muster>,
    wiped: Option<u8>,
    broken: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    Promise(usize, usize, usize, Wish),
    Accept(usize, usize, usize),
    Learn(usize, u8),
    Wipe(usize),
    Tell(usize, usize),
    /// The next set is chosen at once, where its register is not looked at itself.
    Next(Muster),
}

/// What is planted. Each has to be found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// The joint epoch ends before anything was settled in it.
    EarlyEnd,
    /// Voters answer to polls of any epoch.
    NoEpochs,
    /// An emptied voter takes itself for whole.
    EmptiedCounts,
    /// A newcomer is counted as having accepted what it has not.
    NewcomerCounts,
    /// What an emptied voter read counts as accepted, also below what the tellers promised since.
    ReadCounts,
}

struct Change {
    fault: Fault,
    /// Attempts on each register. Without any on the second one its values are chosen by nobody in particular, in a line; that
    /// they are in a line is what is shown by itself, without attempts on the first one.
    tries: [usize; 2],
    /// Changes one after the other.
    changes: usize,
    /// May a disk be lost, may the change be taken back?
    wipes: bool,
    back: bool,
}

fn bits(set: Set) -> impl Iterator<Item = usize> {
    (0..NODES).filter(move |node| set >> node & 1 == 1)
}

/// Is one line of attempts the beginning of the other? Attempts are digits, the last one the lowest.
fn begins(before: u16, mut after: u16) -> bool {
    while after > before {
        after /= 8;
    }
    before == after
}

impl State {
    fn voter_set(&self, epoch: u8) -> Option<Muster> {
        self.line.get(usize::from(epoch).checked_sub(1)?).copied()
    }

    fn value(&self, register: usize, attempt: u8) -> u16 {
        match attempt.checked_sub(1).map(|n| &self.attempts[register][usize::from(n)]) {
            Some(Attempt::Issued { value, .. }) => *value,
            _ => 0,
        }
    }

    /// The greatest attempt chosen in an epoch.
    fn settled(&self, register: usize, in_epoch: u8) -> Option<u8> {
        let chosen = |attempt: &Attempt| matches!(attempt, Attempt::Issued { epoch, chosen: true, .. } if *epoch == in_epoch);
        self.attempts[register].iter().rposition(chosen).map(|n| n as u8 + 1)
    }

    /// May a writer of that epoch ask for that?
    fn may(&self, change: &Change, register: usize, wish: Wish, epoch: u8) -> bool {
        let Some(voter_set) = self.voter_set(epoch) else { return false };
        let joint = voter_set.coming != 0;
        let early = change.fault == Fault::EarlyEnd;
        let settled = |register| self.settled(register, epoch);
        let looked = || [VALUE, MUSTER].into_iter().filter(|&r| change.tries[r] > 0);
        let ready = || early || looked().all(|r| settled(r).is_some());
        let holds = |node: usize, r| {
            settled(r).is_none_or(|a| self.value(r, a) == 0 || self.voters[node].slots[r].accepted >= a)
        };
        let taken = |node| looked().all(|r| holds(node, r));
        match (register, wish) {
            (VALUE, Wish::Write) => true,
            (VALUE, Wish::Settle) | (MUSTER, Wish::Settle) => joint || change.wipes,
            (MUSTER, Wish::Begin) => epoch == 1,
            (MUSTER, Wish::Come) => {
                joint
                    && ready()
                    && (early
                        || bits(voter_set.newcomers()).all(taken)
                        || change.fault == Fault::NewcomerCounts)
            }
            (MUSTER, Wish::Back) => change.back && joint && ready(),
            _ => false,
        }
    }

    /// The value of an attempt on top of what a majority held.
    fn made(&self, register: usize, attempt: u8, wish: Wish, epoch: u8, newest: u8) -> u16 {
        let before = self.value(register, newest);
        let Some(voter_set) = self.voter_set(epoch) else { return before };
        match wish {
            Wish::Write => before * 8 + u16::from(attempt),
            Wish::Settle => before,
            // The set is a line as well: begun, and then come or taken back.
            Wish::Begin if before == 0 => 1,
            Wish::Come if before == 1 && voter_set.coming != 0 => 8 + 2,
            Wish::Back if before == 1 && voter_set.coming != 0 => 8 + 3,
            _ => before,
        }
    }

    /// Counts an attempt as chosen where enough have accepted it.
    fn count(&mut self, change: &Change, register: usize, n: usize) {
        let Attempt::Issued { epoch, value, accepts, chosen: false } = self.attempts[register][n] else {
            return;
        };
        let Some(voter_set) = self.voter_set(epoch) else { return };
        let counted = if change.fault == Fault::NewcomerCounts { voter_set.newcomers() } else { 0 };
        if value != 0 && !voter_set.enough(accepts | counted) {
            return;
        }
        if let Attempt::Issued { chosen, .. } = &mut self.attempts[register][n] {
            *chosen = true;
        }
        let all = self.attempts[register].iter().filter_map(|attempt| match attempt {
            Attempt::Issued { value, chosen: true, .. } if *value != 0 => Some(*value),
            _ => None,
        });
        let all: Vec<u16> = all.collect();
        self.broken |= !all.windows(2).all(|two| begins(two[0], two[1]));
        if register == MUSTER {
            let next = match value {
                1 => (2, Muster { seats: SEATS, coming: COMING }),
                10 => (3, Muster { seats: COMING, coming: 0 }),
                11 => (3, Muster { seats: SEATS, coming: 0 }),
                _ => return,
            };
            if self.line.len() + 1 == next.0 {
                self.line.push(next.1);
            }
        }
    }

    /// Can that voter answer a poll of that epoch?
    fn answers(&self, change: &Change, node: usize, epoch: u8) -> bool {
        let voter = &self.voters[node];
        let there = voter.epoch == epoch || (change.fault == Fault::NoEpochs && voter.epoch != 0);
        there && voter.memory == Memory::Whole && self.voter_set(epoch).is_some_and(|m| m.votes(node))
    }

    /// The first two voters are alike: one order of them stands for both.
    fn canonical(mut self) -> State {
        let mut other = self.clone();
        other.voters.swap(0, 1);
        let swap = |set: Set| (set & !3) | (set & 1) << 1 | (set >> 1) & 1;
        for voter in &mut other.voters {
            voter.told = swap(voter.told);
        }
        other.wiped = other.wiped.map(|node| if node < 2 { 1 - node } else { node });
        for attempt in other.attempts.iter_mut().flatten() {
            match attempt {
                Attempt::Preparing { promises: set, .. } | Attempt::Issued { accepts: set, .. } => {
                    *set = swap(*set)
                }
                Attempt::Unused | Attempt::Over => {}
            }
        }
        if other < self {
            self = other;
        }
        self
    }

    fn effect(&mut self, change: &Change, action: Action) {
        match action {
            Action::Promise(node, register, n, wish) => {
                let slot = &mut self.voters[node].slots[register];
                let (before, epoch) = (slot.accepted, self.voters[node].epoch);
                slot.promised = n as u8 + 1;
                let (epoch, promises, newest) = match self.attempts[register][n] {
                    Attempt::Preparing { epoch, promises, newest } => {
                        (epoch, promises | 1 << node, newest.max(before))
                    }
                    _ => (epoch, 1 << node, before),
                };
                self.attempts[register][n] = Attempt::Preparing { epoch, promises, newest };
                if self.voter_set(epoch).is_some_and(|voter_set| voter_set.enough(promises)) {
                    let value = self.made(register, n as u8 + 1, wish, epoch, newest);
                    self.attempts[register][n] = Attempt::Issued { epoch, value, accepts: 0, chosen: false };
                    self.count(change, register, n);
                }
            }
            Action::Accept(node, register, n) => {
                self.voters[node].slots[register] = Slot { promised: n as u8 + 1, accepted: n as u8 + 1 };
                self.holds(change, node, register, n as u8 + 1);
            }
            Action::Learn(node, epoch) => {
                let Some(voter_set) = self.voter_set(epoch) else { return };
                let voter = &mut self.voters[node];
                voter.epoch = epoch;
                voter.told = 0;
                voter.read = Default::default();
                voter.memory = match voter.memory {
                    Memory::Forgotten => Memory::Forgotten,
                    _ if voter_set.newcomers() >> node & 1 == 1 => Memory::Joining,
                    _ => Memory::Whole,
                };
            }
            Action::Wipe(node) => {
                self.wiped = Some(node as u8);
                let memory =
                    if change.fault == Fault::EmptiedCounts { Memory::Whole } else { Memory::Forgotten };
                let epoch = if memory == Memory::Whole { self.voters[node].epoch } else { 0 };
                self.voters[node] =
                    Voter { epoch, memory, slots: Default::default(), told: 0, read: Default::default() };
            }
            Action::Tell(node, teller) => self.tell(change, node, teller),
            Action::Next(voter_set) => self.line.push(voter_set),
        }
    }

    fn holds(&mut self, change: &Change, node: usize, register: usize, attempt: u8) {
        let Some(n) = attempt.checked_sub(1).map(usize::from) else { return };
        if let Attempt::Issued { accepts, .. } = &mut self.attempts[register][n] {
            *accepts |= 1 << node;
        }
        self.count(change, register, n);
    }

    fn tell(&mut self, change: &Change, node: usize, teller: usize) {
        let Some(voter_set) = self.voter_set(self.voters[node].epoch) else { return };
        let slots = self.voters[teller].slots;
        let forgotten = self.voters[node].memory == Memory::Forgotten;
        if forgotten && self.voters[node].told == 0 {
            // All attempts that it promised or accepted anything for before are over: nobody counts that any more.
            for attempt in self.attempts.iter_mut().flatten() {
                match attempt {
                    Attempt::Preparing { promises, .. } if *promises >> node & 1 == 1 => {
                        *attempt = Attempt::Over
                    }
                    Attempt::Issued { accepts, chosen: false, .. } => *accepts &= !(1 << node),
                    _ => {}
                }
            }
        }
        let voter = &mut self.voters[node];
        voter.told |= 1 << teller;
        for (read, slot) in voter.read.iter_mut().zip(slots) {
            *read = read.merge(slot);
        }
        // Whoever promised with it was a majority of both sets: a majority of either beside it meets that.
        let seats = Muster { coming: 0, ..voter_set }.enough(voter.told);
        let coming =
            voter_set.coming != 0 && Muster { seats: voter_set.coming, coming: 0 }.enough(voter.told);
        if !(seats || (forgotten && coming)) {
            return;
        }
        let read = std::mem::take(&mut voter.read);
        voter.told = 0;
        voter.memory = Memory::Whole;
        for (slot, read) in voter.slots.iter_mut().zip(read) {
            *slot = slot.merge(read);
        }
        let slots = voter.slots;
        for (register, slot) in slots.into_iter().enumerate() {
            // Below what is promised it is handed on, and does not count as accepted here.
            if slot.accepted == slot.promised || change.fault == Fault::ReadCounts {
                self.holds(change, node, register, slot.accepted);
            }
        }
    }
}

impl Model for Change {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let voter = Voter {
            epoch: 1,
            memory: Memory::Whole,
            slots: Default::default(),
            told: 0,
            read: Default::default(),
        };
        let attempts = std::array::from_fn(|_| std::array::from_fn(|_| Attempt::Unused));
        let line = vec![Muster { seats: SEATS, coming: 0 }];
        vec![State {
            voters: std::array::from_fn(|_| voter.clone()),
            attempts,
            line,
            wiped: None,
            broken: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        let newest = state.line.len() as u8;
        for register in [VALUE, MUSTER] {
            for n in 0..self.tries[register] {
                match &state.attempts[register][n] {
                    Attempt::Over => {}
                    Attempt::Unused | Attempt::Preparing { .. } => {
                        for node in 0..NODES {
                            let (epoch, promises) = match state.attempts[register][n] {
                                Attempt::Preparing { epoch, promises, .. } => (epoch, promises),
                                _ => (state.voters[node].epoch, 0),
                            };
                            let free = usize::from(state.voters[node].slots[register].promised) <= n;
                            if !free || !state.answers(self, node, epoch) {
                                continue;
                            }
                            let voter_set = state.voter_set(epoch);
                            if voter_set.is_some_and(|voter_set| voter_set.enough(promises | 1 << node)) {
                                let may = |wish: &&Wish| state.may(self, register, **wish, epoch);
                                let may = WISHES.iter().filter(may);
                                actions.extend(may.map(|&wish| Action::Promise(node, register, n, wish)));
                            } else {
                                actions.push(Action::Promise(node, register, n, Wish::Settle));
                            }
                        }
                    }
                    Attempt::Issued { epoch, value, .. } => {
                        let takes = |node: &usize| {
                            let slot = state.voters[*node].slots[register];
                            *value != 0
                                && state.answers(self, *node, *epoch)
                                && usize::from(slot.promised) <= n + 1
                                && usize::from(slot.accepted) != n + 1
                        };
                        actions
                            .extend((0..NODES).filter(takes).map(|node| Action::Accept(node, register, n)));
                    }
                }
            }
        }
        if let (0, Some(&Muster { seats, coming })) = (self.tries[MUSTER], state.line.last()) {
            let set = |seats| Action::Next(Muster { seats, coming: 0 });
            if coming == 0 && state.line.len() < 2 * self.changes {
                // The second one takes in again who went with the first, for another.
                let coming = if state.line.len() == 1 { COMING } else { AGAIN };
                let back = state.line.len() > 1 && seats == SEATS;
                actions.extend((!back).then_some(Action::Next(Muster { seats, coming })));
            }
            if state.may(self, MUSTER, Wish::Come, newest) {
                actions.push(set(coming));
            }
            if state.may(self, MUSTER, Wish::Back, newest) {
                actions.push(set(seats));
            }
        }
        for (node, voter) in state.voters.iter().enumerate() {
            actions.extend((voter.epoch + 1..=newest).map(|epoch| Action::Learn(node, epoch)));
            if self.wipes && state.wiped.is_none() {
                actions.push(Action::Wipe(node));
            }
            let votes = |n: usize| state.voter_set(voter.epoch).is_some_and(|m| m.votes(n));
            if voter.memory != Memory::Whole && votes(node) {
                let seats_only = voter.memory == Memory::Joining;
                let seats = state.voter_set(voter.epoch).map_or(0, |m| m.seats);
                let tells = |teller: &usize| {
                    *teller != node
                        && voter.told >> teller & 1 == 0
                        && state.voters[*teller].epoch == voter.epoch
                        && state.voters[*teller].memory == Memory::Whole
                        && votes(*teller)
                        && (!seats_only || seats >> teller & 1 == 1)
                };
                actions.extend((0..NODES).filter(tells).map(|teller| Action::Tell(node, teller)));
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        state.effect(self, action);
        Some(state.canonical())
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("chosen values form one line", |_, state: &State| !state.broken),
            Property::sometimes("the new set stands", |_, state: &State| state.line.len() == 3),
        ]
    }
}

const LINE: &str = "chosen values form one line";

/// What is gone through: attempts, changes, may a disk be lost.
type Instance = ([usize; 2], usize, bool);

/// All states of an instance; how many there are.
fn exhausted((tries, changes, wipes): Instance) -> usize {
    let change = Change { fault: Fault::None, tries, changes, wipes, back: true };
    let checked = change.checker().threads(THREADS).spawn_dfs().join();
    checked.assert_no_discovery(LINE);
    if changes > 0 {
        checked.assert_any_discovery("the new set stands");
    }
    checked.unique_state_count()
}

const THREADS: usize = 4;

#[test]
fn no_change_of_voters_and_no_lost_disk_breaks_the_line() {
    for instance in [([2, 0], 1, false), ([0, 3], 1, false), ([3, 0], 0, true)] {
        assert!(exhausted(instance) > 50_000);
    }
}

/// The same, larger: some minutes, and some GB of memory.
#[test]
#[ignore = "minutes: cargo test --release -p archlink-consensus --test registers -- --ignored --nocapture"]
fn the_same_with_more_attempts_and_both_at_once() {
    for instance in [
        ([2, 0], 2, false),
        ([0, 3], 1, true),
        ([2, 0], 1, true),
        ([0, 4], 1, false),
        ([4, 0], 0, true),
        ([3, 0], 1, false),
        ([2, 0], 2, true),
    ] {
        println!("{instance:?}: {} states", exhausted(instance));
    }
}

/// Steps to a broken line.
fn found(fault: Fault, (tries, changes, wipes): Instance) -> usize {
    let change = Change { fault, tries, changes, wipes, back: false };
    let checked = change.checker().threads(THREADS).spawn_bfs().join();
    checked.assert_any_discovery(LINE).into_actions().len()
}

#[test]
fn each_planted_fault_is_found() {
    for (fault, instance) in [
        (Fault::EarlyEnd, ([2, 0], 1, false)),
        (Fault::EmptiedCounts, ([2, 0], 0, true)),
        (Fault::ReadCounts, ([2, 0], 0, true)),
    ] {
        assert!(found(fault, instance) > 0);
    }
}

#[test]
#[ignore = "half a minute in a release build"]
fn each_planted_fault_that_takes_more_attempts_is_found() {
    for fault in [Fault::NewcomerCounts, Fault::NoEpochs] {
        assert!(found(fault, ([3, 0], 1, false)) > 0);
    }
}
