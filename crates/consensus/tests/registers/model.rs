//! The model checker's view: the actions that a state allows, and the properties that are checked.

use crate::types::{
    Acceptor, Action, Attempt, Goal, INCOMING, MAX_ATTEMPTS, NODES, NodeSet, PlantedFault, Recovery,
    RegisterState, SECOND_INCOMING, State, VALUE, VOTER_SET, VOTERS, VoterSet,
};
use stateright::{Model, Property};

/// Of any two chosen values one is built on the other.
pub const CHOSEN_VALUES_FORM_ONE_SEQUENCE: &str = "chosen values form one sequence";
/// A joint epoch was entered and left.
pub const CHANGE_IS_COMPLETE: &str = "a change of the voter set is complete";

const GOALS: [Goal; 5] = [Goal::Write, Goal::Converge, Goal::EnterJoint, Goal::AdoptIncoming, Goal::RollBack];

/// The instance to check, and the fault planted in it.
pub struct CheckedModel {
    pub planted_fault: PlantedFault,
    /// Attempts on each register. Without attempts on the second one, its values are simply chosen in one
    /// sequence; that they do form one sequence is checked separately, without attempts on the first one.
    pub attempts: [usize; 2],
    /// Changes of the voter set, one after another.
    pub changes: usize,
    /// Whether a disk may be lost.
    pub loses_disk: bool,
    /// Whether a change may be rolled back.
    pub rolls_back: bool,
}

impl CheckedModel {
    fn attempt_actions(&self, state: &State, register: usize, attempt: usize, actions: &mut Vec<Action>) {
        match &state.attempts[register][attempt] {
            Attempt::Abandoned => {}
            Attempt::Unused | Attempt::Preparing { .. } => {
                (0..NODES).for_each(|node| self.promise_actions(state, node, register, attempt, actions));
            }
            Attempt::Accepting { epoch, value, .. } => {
                let may_accept = |node: &usize| {
                    let register_state = state.acceptors[*node].registers[register];
                    *value != 0
                        && state.may_reply(self, *node, *epoch)
                        && usize::from(register_state.promised) <= attempt + 1
                        && usize::from(register_state.accepted) != attempt + 1
                };
                let nodes = (0..NODES).filter(may_accept);
                actions.extend(nodes.map(|node| Action::Accept { node, register, attempt }));
            }
        }
    }

    /// The attempt's goal is decided by the promise that completes a majority; before that it makes no
    /// difference.
    fn promise_actions(
        &self,
        state: &State,
        node: usize,
        register: usize,
        attempt: usize,
        actions: &mut Vec<Action>,
    ) {
        let (epoch, promises) = match state.attempts[register][attempt] {
            Attempt::Preparing { epoch, promises, .. } => (epoch, promises),
            _ => (state.acceptors[node].epoch, 0),
        };
        let may_promise = usize::from(state.acceptors[node].registers[register].promised) <= attempt;
        if !may_promise || !state.may_reply(self, node, epoch) {
            return;
        }
        let voter_set = state.voter_set(epoch);
        if voter_set.is_some_and(|voter_set| voter_set.has_quorum(promises | 1 << node)) {
            let is_allowed = |goal: &&Goal| state.allows(self, register, **goal, epoch);
            let allowed = GOALS.iter().filter(is_allowed);
            actions.extend(allowed.map(|&goal| Action::Promise { node, register, attempt, goal }));
        } else {
            actions.push(Action::Promise { node, register, attempt, goal: Goal::Converge });
        }
    }

    /// Changes of the voter set where its register is not modelled.
    fn voter_set_actions(&self, state: &State, actions: &mut Vec<Action>) {
        let (0, Some(&VoterSet { voters, incoming })) = (self.attempts[VOTER_SET], state.voter_sets.last())
        else {
            return;
        };
        let newest = state.newest_epoch();
        let leave_joint = |voters| Action::ChooseVoterSet(VoterSet { voters, incoming: 0 });
        if incoming == 0 && state.voter_sets.len() < 2 * self.changes {
            // The second change adds the node that the first one removed, in place of another one.
            let incoming = if state.voter_sets.len() == 1 { INCOMING } else { SECOND_INCOMING };
            let was_rolled_back = state.voter_sets.len() > 1 && voters == VOTERS;
            let enter_joint = Action::ChooseVoterSet(VoterSet { voters, incoming });
            actions.extend((!was_rolled_back).then_some(enter_joint));
        }
        if state.allows(self, VOTER_SET, Goal::AdoptIncoming, newest) {
            actions.push(leave_joint(incoming));
        }
        if state.allows(self, VOTER_SET, Goal::RollBack, newest) {
            actions.push(leave_joint(voters));
        }
    }

    fn node_actions(&self, state: &State, node: usize, acceptor: &Acceptor, actions: &mut Vec<Action>) {
        actions.extend(
            (acceptor.epoch + 1..=state.newest_epoch()).map(|epoch| Action::LearnEpoch { node, epoch }),
        );
        if self.loses_disk && state.lost_disk.is_none() {
            actions.push(Action::LoseDisk(node));
        }
        let voter_set = state.voter_set(acceptor.epoch);
        let is_voter = |node: usize| voter_set.is_some_and(|voter_set| voter_set.contains(node));
        if acceptor.recovery == Recovery::Recovered || !is_voter(node) {
            return;
        }
        let voters: NodeSet = voter_set.map_or(0, |voter_set| voter_set.voters);
        let may_send_state = |sender: &usize| {
            *sender != node
                && acceptor.received >> sender & 1 == 0
                && state.acceptors[*sender].epoch == acceptor.epoch
                && state.acceptors[*sender].recovery == Recovery::Recovered
                && is_voter(*sender)
                && (acceptor.recovery != Recovery::Joining || voters >> sender & 1 == 1)
        };
        let senders = (0..NODES).filter(may_send_state);
        actions.extend(senders.map(|sender| Action::TransferState { node, sender }));
    }
}

impl Model for CheckedModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let acceptor = Acceptor {
            epoch: 1,
            recovery: Recovery::Recovered,
            registers: [RegisterState::default(); 2],
            received: 0,
            transferred: [RegisterState::default(); 2],
        };
        let unused: [Attempt; MAX_ATTEMPTS] = std::array::from_fn(|_| Attempt::Unused);
        vec![State {
            acceptors: std::array::from_fn(|_| acceptor.clone()),
            attempts: [unused, unused],
            voter_sets: vec![VoterSet { voters: VOTERS, incoming: 0 }],
            lost_disk: None,
            diverged: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for register in [VALUE, VOTER_SET] {
            for attempt in 0..self.attempts[register] {
                self.attempt_actions(state, register, attempt, actions);
            }
        }
        self.voter_set_actions(state, actions);
        for (node, acceptor) in state.acceptors.iter().enumerate() {
            self.node_actions(state, node, acceptor, actions);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        state.apply(self, action);
        Some(state.canonical())
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(CHOSEN_VALUES_FORM_ONE_SEQUENCE, |_, state: &State| !state.diverged),
            Property::sometimes(CHANGE_IS_COMPLETE, |_, state: &State| state.voter_sets.len() == 3),
        ]
    }
}
