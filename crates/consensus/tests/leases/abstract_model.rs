//! An abstract model of grants. Durations are in ticks that each clock counts down by itself, without
//! absolute times; messages arrive late or never; voters restart, one disk may be lost, and the voter set may
//! change through its joint epoch. The simulation checks the code itself for the same property.

use stateright::{Checker, Model, Property};

type NodeSet = u8;
const VOTERS: usize = 4;
const REQUESTERS: usize = 2;
/// The voter sets of epochs 1, 2 and 3; a majority of each set of an epoch is needed.
const VOTER_SETS: [&[NodeSet]; 3] = [&[0b0111], &[0b0111, 0b1011], &[0b1011]];
/// A grant's duration on a voter's clock, which may run one tick ahead in that time.
const GRANT_DURATION: u8 = 3;
/// A lease's duration on its holder's clock, which may run one tick behind in that time: a lease of 1 + 1
/// ticks lasts as long as a grant of 3 - 1.
const LEASE_DURATION: u8 = 1;
/// Ticks that the joint epoch lasts from the time at which a majority is in it.
const JOINT_EPOCH_WAIT: u8 = 2;
/// Ticks for which a voter that lost its disk grants nothing.
const LOST_DISK_SILENCE: u8 = 3;

const ONE_HOLDER: &str = "one holder";
const SOME_NODE_HOLDS: &str = "some node holds a lease";

/// Faults that the checker has to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlantedFault {
    None,
    /// The joint epoch ends at once.
    JointEpochWithoutWait,
    /// A grant that is not on disk before it is sent is lost by a restart.
    GrantNotPersisted,
    /// A voter that lost its disk grants at once.
    LostDiskGrants,
    /// A term that was given back is requested again.
    TermRequestedAgain,
    /// The holder counts the duration from when it won instead of from when it sent the request.
    CountedFromGrant,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Voter {
    epoch: u8,
    holder: usize,
    term: u8,
    remaining: u8,
    /// Whether this clock has already run ahead during this grant.
    ran_ahead: bool,
    silence: u8,
    /// Whether it has granted the request in progress, for each requester.
    granted: [bool; REQUESTERS],
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Requester {
    epoch: u8,
    term: u8,
    /// Ticks of its clock since the request.
    age: u8,
    /// Ticks of its clock for which it still holds a lease.
    remaining: u8,
    ran_behind: bool,
    requests: bool,
    /// The highest term that it gave back: the release may arrive at any voter at any time.
    released_term: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    voters: [Voter; VOTERS],
    requesters: [Requester; REQUESTERS],
    newest_epoch: u8,
    /// Ticks until the joint epoch may end; `None` until a majority is in it.
    joint_epoch_wait: Option<u8>,
    lost_disk: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// All clocks advance by one tick, except for at most one that advances by two and one that stands still.
    Tick {
        fast_voter: Option<usize>,
        slow_requester: Option<usize>,
    },
    Request {
        requester: usize,
        term: u8,
        epoch: u8,
    },
    Grant {
        voter: usize,
        requester: usize,
    },
    /// A requester gives up its lease or its request.
    Leave(usize),
    /// The release of a term reaches a voter.
    ReceiveRelease {
        voter: usize,
    },
    Restart(usize),
    LoseDisk(usize),
    LearnEpoch(usize),
    BeginNextEpoch,
    ConvergeInJointEpoch,
}

/// The instance to check, and the fault planted in it.
pub struct CheckedLeases {
    pub planted_fault: PlantedFault,
    pub changes_voter_set: bool,
    pub loses_disk: bool,
    pub terms: u8,
    /// All clocks run at the same rate, and no node restarts or leaves.
    pub uniform: bool,
}

fn has_quorum(epoch: u8, nodes: NodeSet) -> bool {
    VOTER_SETS[usize::from(epoch) - 1].iter().all(|set| 2 * (set & nodes).count_ones() > set.count_ones())
}

impl State {
    fn granted_by(&self, requester: usize) -> NodeSet {
        let granted = (0..VOTERS).filter(|&voter| self.voters[voter].granted[requester]);
        granted.fold(0, |set, voter| set | 1 << voter)
    }

    fn clear_grants(&mut self, requester: usize) {
        self.voters.iter_mut().for_each(|voter| voter.granted[requester] = false);
    }

    /// Returns the representative of all states that differ only in the order of the first `interchangeable` voters and
    /// of the requesters.
    fn canonical(mut self, interchangeable: usize) -> State {
        for index in 0..REQUESTERS {
            let requester = &mut self.requesters[index];
            if !requester.requests {
                requester.age = 0;
            }
            if requester.remaining == 0 && !requester.requests {
                requester.ran_behind = false;
                self.clear_grants(index);
            }
        }
        for voter in &mut self.voters {
            voter.ran_ahead &= voter.remaining > 0;
        }
        let mut other = self.clone();
        other.requesters.swap(0, 1);
        for voter in &mut other.voters {
            voter.granted.swap(0, 1);
            voter.holder = if voter.term > 0 { 1 - voter.holder } else { 0 };
        }
        self.voters[..interchangeable].sort_unstable();
        other.voters[..interchangeable].sort_unstable();
        if (other.requesters, other.voters) < (self.requesters, self.voters) { other } else { self }
    }

    fn grant(&mut self, fault: PlantedFault, voter_index: usize, index: usize) {
        let voter = &mut self.voters[voter_index];
        let term = self.requesters[index].term;
        *voter = Voter { holder: index, term, remaining: GRANT_DURATION, ran_ahead: false, ..*voter };
        voter.granted[index] = true;
        let granted_by = self.granted_by(index);
        let requester = &mut self.requesters[index];
        if has_quorum(requester.epoch, granted_by) {
            let age = if fault == PlantedFault::CountedFromGrant { 0 } else { requester.age };
            requester.remaining = requester.remaining.max(LEASE_DURATION - age);
        }
    }

    fn tick(&mut self, fault: PlantedFault, fast_voter: Option<usize>, slow_requester: Option<usize>) {
        for (index, voter) in self.voters.iter_mut().enumerate() {
            let is_fast = fast_voter == Some(index);
            voter.ran_ahead |= is_fast;
            voter.remaining = voter.remaining.saturating_sub(1 + u8::from(is_fast));
            voter.silence = voter.silence.saturating_sub(1);
        }
        for index in 0..REQUESTERS {
            let is_slow = slow_requester == Some(index);
            let requester = &mut self.requesters[index];
            requester.ran_behind |= is_slow;
            if !is_slow {
                requester.remaining = requester.remaining.saturating_sub(1);
                requester.age = (requester.age + 1).min(LEASE_DURATION);
            }
            // A request that can no longer win anything is over.
            let is_over = requester.age == LEASE_DURATION && requester.remaining == 0;
            if is_over && fault != PlantedFault::CountedFromGrant {
                requester.requests = false;
                self.clear_grants(index);
            }
        }
        self.joint_epoch_wait = self.joint_epoch_wait.map(|wait| wait.saturating_sub(1));
    }

    fn request(&mut self, index: usize, term: u8, epoch: u8) {
        let Requester { remaining, released_term, ran_behind, .. } = self.requesters[index];
        let ran_behind = ran_behind && remaining > 0;
        self.requesters[index] =
            Requester { epoch, term, age: 0, remaining, ran_behind, requests: true, released_term };
        self.clear_grants(index);
    }

    fn leave(&mut self, index: usize) {
        let requester = &mut self.requesters[index];
        (requester.remaining, requester.requests) = (0, false);
        requester.released_term = requester.term;
        self.clear_grants(index);
    }

    fn restart(&mut self, fault: PlantedFault, index: usize) {
        let voter = &mut self.voters[index];
        if fault == PlantedFault::GrantNotPersisted {
            let Voter { epoch, silence, granted, .. } = *voter;
            *voter = Voter { epoch, silence, granted, ..Voter::default() };
        } else {
            (voter.remaining, voter.ran_ahead) = (GRANT_DURATION, false);
        }
    }

    fn lose_disk(&mut self, fault: PlantedFault, index: usize) {
        self.lost_disk = true;
        let silence = if fault == PlantedFault::LostDiskGrants { 0 } else { LOST_DISK_SILENCE };
        let Voter { epoch, granted, .. } = self.voters[index];
        self.voters[index] = Voter { epoch, silence, granted, ..Voter::default() };
    }
}

impl CheckedLeases {
    fn may_grant(&self, voter: &Voter, index: usize, requester: &Requester) -> bool {
        let is_renewal = voter.holder == index && voter.term == requester.term;
        let is_free = requester.term > voter.term && (voter.holder == index || voter.remaining == 0);
        requester.requests && voter.epoch == requester.epoch && voter.silence == 0 && (is_renewal || is_free)
    }

    fn tick_actions(&self, state: &State, actions: &mut Vec<Action>) {
        let may_run_ahead = |&voter: &usize| {
            !self.uniform && !state.voters[voter].ran_ahead && state.voters[voter].remaining > 0
        };
        let may_run_behind = |&requester: &usize| {
            let Requester { ran_behind, remaining, .. } = state.requesters[requester];
            !self.uniform && !ran_behind && remaining > 0
        };
        let fast_voters: Vec<Option<usize>> =
            (0..VOTERS).filter(may_run_ahead).map(Some).chain([None]).collect();
        for slow_requester in (0..REQUESTERS).filter(may_run_behind).map(Some).chain([None]) {
            actions.extend(fast_voters.iter().map(|&fast_voter| Action::Tick { fast_voter, slow_requester }));
        }
    }

    fn requester_actions(
        &self,
        state: &State,
        index: usize,
        requester: &Requester,
        actions: &mut Vec<Action>,
    ) {
        for epoch in requester.epoch..=state.newest_epoch {
            let request = |term| Action::Request { requester: index, term, epoch };
            if requester.remaining > 0 {
                actions.push(request(requester.term));
                continue;
            }
            let requests_again = self.planted_fault == PlantedFault::TermRequestedAgain;
            let first = if requests_again { requester.term.max(1) } else { requester.term + 1 };
            actions.extend((first..=self.terms).map(request));
        }
        for (voter_index, voter) in state.voters.iter().enumerate() {
            let sets = VOTER_SETS[usize::from(voter.epoch) - 1];
            let is_voter = sets.iter().any(|set| set >> voter_index & 1 == 1);
            if is_voter && !voter.granted[index] && self.may_grant(voter, index, requester) {
                actions.push(Action::Grant { voter: voter_index, requester: index });
            }
            let is_released = voter.holder == index && voter.term <= requester.released_term;
            if is_released && voter.remaining > 0 {
                actions.push(Action::ReceiveRelease { voter: voter_index });
            }
        }
        // The requester releases its lease, or gives back what it did not win.
        if requester.requests && !self.uniform {
            actions.push(Action::Leave(index));
        }
    }

    fn voter_actions(&self, state: &State, index: usize, voter: &Voter, actions: &mut Vec<Action>) {
        if !self.uniform && voter.term > 0 && voter.remaining < GRANT_DURATION {
            actions.push(Action::Restart(index));
        }
        if self.loses_disk && !state.lost_disk {
            actions.push(Action::LoseDisk(index));
        }
        if voter.epoch < state.newest_epoch {
            actions.push(Action::LearnEpoch(index));
        }
    }

    fn epoch_actions(&self, state: &State, actions: &mut Vec<Action>) {
        let is_in_joint_epoch = |&voter: &usize| {
            let Voter { epoch, silence, .. } = state.voters[voter];
            epoch == 2 && silence == 0
        };
        let in_joint_epoch = (0..VOTERS).filter(is_in_joint_epoch).fold(0, |set, voter| set | 1 << voter);
        match state.newest_epoch {
            1 if self.changes_voter_set => actions.push(Action::BeginNextEpoch),
            2 if state.joint_epoch_wait.is_none() && has_quorum(2, in_joint_epoch) => {
                actions.push(Action::ConvergeInJointEpoch)
            }
            2 if state.joint_epoch_wait == Some(0) => actions.push(Action::BeginNextEpoch),
            _ => {}
        }
    }
}

impl Model for CheckedLeases {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            voters: [Voter { epoch: 1, ..Voter::default() }; VOTERS],
            requesters: [Requester { epoch: 1, ..Requester::default() }; REQUESTERS],
            newest_epoch: 1,
            joint_epoch_wait: None,
            lost_disk: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        self.tick_actions(state, actions);
        for (index, requester) in state.requesters.iter().enumerate() {
            self.requester_actions(state, index, requester, actions);
        }
        for (index, voter) in state.voters.iter().enumerate() {
            self.voter_actions(state, index, voter, actions);
        }
        self.epoch_actions(state, actions);
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        let fault = self.planted_fault;
        match action {
            Action::Tick { fast_voter, slow_requester } => state.tick(fault, fast_voter, slow_requester),
            Action::Request { requester, term, epoch } => state.request(requester, term, epoch),
            Action::Grant { voter, requester } => state.grant(fault, voter, requester),
            Action::Leave(requester) => state.leave(requester),
            Action::ReceiveRelease { voter } => state.voters[voter].remaining = 0,
            Action::Restart(voter) => state.restart(fault, voter),
            Action::LoseDisk(voter) => state.lose_disk(fault, voter),
            Action::LearnEpoch(voter) => state.voters[voter].epoch += 1,
            Action::BeginNextEpoch => state.newest_epoch += 1,
            Action::ConvergeInJointEpoch => {
                let wait = if fault == PlantedFault::JointEpochWithoutWait { 0 } else { JOINT_EPOCH_WAIT };
                state.joint_epoch_wait = Some(wait);
            }
        }
        // The change replaces the third of the four nodes by the fourth; the others are interchangeable.
        Some(state.canonical(if self.changes_voter_set { 2 } else { 3 }))
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(ONE_HOLDER, |_, state: &State| {
                state.requesters.iter().filter(|requester| requester.remaining > 0).count() < 2
            }),
            Property::sometimes(SOME_NODE_HOLDS, |_, state: &State| {
                state.requesters.iter().any(|requester| requester.remaining > 0)
            }),
        ]
    }
}

/// Checks all states. Returns how many there are, or `None` if two nodes held a lease at one time.
pub fn check_all_states(model: CheckedLeases) -> Option<usize> {
    let checked = model.checker().threads(4).spawn_dfs().join();
    checked.assert_any_discovery(SOME_NODE_HOLDS);
    checked.discovery(ONE_HOLDER).is_none().then(|| checked.unique_state_count())
}
