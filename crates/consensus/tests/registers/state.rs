//! The transitions between states.

use crate::model::CheckedModel;
use crate::types::{
    Acceptor, Action, Attempt, Goal, INCOMING, NODES, NodeSet, PlantedFault, Recovery, RegisterState, State,
    VALUE, VOTER_SET, VOTERS, VoterSet,
};

fn nodes_of(set: NodeSet) -> impl Iterator<Item = usize> {
    (0..NODES).filter(move |node| set >> node & 1 == 1)
}

/// Returns whether the later value is built on the earlier one. The attempts of a value are octal digits, the
/// last attempt the lowest.
fn is_prefix(earlier: u16, mut later: u16) -> bool {
    while later > earlier {
        later /= 8;
    }
    earlier == later
}

impl State {
    pub fn newest_epoch(&self) -> u8 {
        self.voter_sets.len() as u8
    }

    pub fn voter_set(&self, epoch: u8) -> Option<VoterSet> {
        self.voter_sets.get(usize::from(epoch).checked_sub(1)?).copied()
    }

    fn value(&self, register: usize, attempt: u8) -> u16 {
        match attempt.checked_sub(1).map(|index| &self.attempts[register][usize::from(index)]) {
            Some(Attempt::Accepting { value, .. }) => *value,
            _ => 0,
        }
    }

    /// Returns the highest attempt that was chosen in an epoch.
    fn newest_chosen(&self, register: usize, in_epoch: u8) -> Option<u8> {
        let is_chosen = |attempt: &Attempt| matches!(attempt, Attempt::Accepting { epoch, chosen: true, .. } if *epoch == in_epoch);
        self.attempts[register].iter().rposition(is_chosen).map(|index| index as u8 + 1)
    }

    /// Returns whether a proposer of that epoch may have that goal.
    pub fn allows(&self, model: &CheckedModel, register: usize, goal: Goal, epoch: u8) -> bool {
        let Some(voter_set) = self.voter_set(epoch) else { return false };
        let is_joint = voter_set.incoming != 0;
        let ends_early = model.planted_fault == PlantedFault::JointEpochEndsEarly;
        let modelled = || [VALUE, VOTER_SET].into_iter().filter(|&register| model.attempts[register] > 0);
        let all_converged =
            || ends_early || modelled().all(|register| self.newest_chosen(register, epoch).is_some());
        let has_accepted = |node: usize, register: usize| {
            self.newest_chosen(register, epoch).is_none_or(|attempt| {
                self.value(register, attempt) == 0
                    || self.acceptors[node].registers[register].accepted >= attempt
            })
        };
        let has_accepted_all = |node| modelled().all(|register| has_accepted(node, register));
        match (register, goal) {
            (VALUE, Goal::Write) => true,
            (VALUE, Goal::Converge) | (VOTER_SET, Goal::Converge) => is_joint || model.loses_disk,
            (VOTER_SET, Goal::EnterJoint) => epoch == 1,
            (VOTER_SET, Goal::AdoptIncoming) => {
                is_joint
                    && all_converged()
                    && (ends_early
                        || nodes_of(voter_set.joining()).all(has_accepted_all)
                        || model.planted_fault == PlantedFault::JoiningNodeCounts)
            }
            (VOTER_SET, Goal::RollBack) => model.rolls_back && is_joint && all_converged(),
            _ => false,
        }
    }

    /// Returns the value of an attempt on top of the newest one that a majority reported.
    fn proposed_value(&self, register: usize, attempt: u8, goal: Goal, epoch: u8, newest: u8) -> u16 {
        let before = self.value(register, newest);
        let Some(voter_set) = self.voter_set(epoch) else { return before };
        match goal {
            Goal::Write => before * 8 + u16::from(attempt),
            Goal::Converge => before,
            // The voter set is a sequence as well: a joint epoch is entered, and then its incoming voters are
            // adopted or it is rolled back.
            Goal::EnterJoint if before == 0 => 1,
            Goal::AdoptIncoming if before == 1 && voter_set.incoming != 0 => 8 + 2,
            Goal::RollBack if before == 1 && voter_set.incoming != 0 => 8 + 3,
            _ => before,
        }
    }

    /// Records an attempt as chosen once a majority has accepted it.
    fn count_accepted(&mut self, model: &CheckedModel, register: usize, index: usize) {
        let Attempt::Accepting { epoch, value, accepted_by, chosen: false } = self.attempts[register][index]
        else {
            return;
        };
        let Some(voter_set) = self.voter_set(epoch) else { return };
        let counts_joining = model.planted_fault == PlantedFault::JoiningNodeCounts;
        let wrongly_counted = if counts_joining { voter_set.joining() } else { 0 };
        if value != 0 && !voter_set.has_quorum(accepted_by | wrongly_counted) {
            return;
        }
        if let Attempt::Accepting { chosen, .. } = &mut self.attempts[register][index] {
            *chosen = true;
        }
        self.check_one_sequence(register);
        if register == VOTER_SET {
            self.adopt_chosen_voter_set(value);
        }
    }

    fn check_one_sequence(&mut self, register: usize) {
        let chosen_values = self.attempts[register].iter().filter_map(|attempt| match attempt {
            Attempt::Accepting { value, chosen: true, .. } if *value != 0 => Some(*value),
            _ => None,
        });
        let chosen_values: Vec<u16> = chosen_values.collect();
        self.diverged |= !chosen_values.windows(2).all(|pair| is_prefix(pair[0], pair[1]));
    }

    fn adopt_chosen_voter_set(&mut self, value: u16) {
        let (epoch, voter_set) = match value {
            1 => (2, VoterSet { voters: VOTERS, incoming: INCOMING }),
            10 => (3, VoterSet { voters: INCOMING, incoming: 0 }),
            11 => (3, VoterSet { voters: VOTERS, incoming: 0 }),
            _ => return,
        };
        if self.voter_sets.len() + 1 == epoch {
            self.voter_sets.push(voter_set);
        }
    }

    /// Returns whether that acceptor may reply to a message of that epoch.
    pub fn may_reply(&self, model: &CheckedModel, node: usize, epoch: u8) -> bool {
        let acceptor = &self.acceptors[node];
        let ignores_epochs = model.planted_fault == PlantedFault::EpochsIgnored && acceptor.epoch != 0;
        (acceptor.epoch == epoch || ignores_epochs)
            && acceptor.recovery == Recovery::Recovered
            && self.voter_set(epoch).is_some_and(|voter_set| voter_set.contains(node))
    }

    /// Returns the representative of this state and the one with the first two nodes swapped, which are
    /// interchangeable.
    pub fn canonical(self) -> State {
        let mut other = self.clone();
        other.acceptors.swap(0, 1);
        let swap = |set: NodeSet| (set & !3) | (set & 1) << 1 | (set >> 1) & 1;
        for acceptor in &mut other.acceptors {
            acceptor.received = swap(acceptor.received);
        }
        other.lost_disk = other.lost_disk.map(|node| if node < 2 { 1 - node } else { node });
        for attempt in other.attempts.iter_mut().flatten() {
            match attempt {
                Attempt::Preparing { promises: set, .. } | Attempt::Accepting { accepted_by: set, .. } => {
                    *set = swap(*set)
                }
                Attempt::Unused | Attempt::Abandoned => {}
            }
        }
        if other < self { other } else { self }
    }

    pub fn apply(&mut self, model: &CheckedModel, action: Action) {
        match action {
            Action::Promise { node, register, attempt, goal } => {
                self.promise(model, node, register, attempt, goal)
            }
            Action::Accept { node, register, attempt } => {
                let number = attempt as u8 + 1;
                self.acceptors[node].registers[register] =
                    RegisterState { promised: number, accepted: number };
                self.record_accepted(model, node, register, number);
            }
            Action::LearnEpoch { node, epoch } => self.learn_epoch(node, epoch),
            Action::LoseDisk(node) => self.lose_disk(model, node),
            Action::TransferState { node, sender } => self.transfer_state(model, node, sender),
            Action::ChooseVoterSet(voter_set) => self.voter_sets.push(voter_set),
        }
    }

    fn promise(&mut self, model: &CheckedModel, node: usize, register: usize, index: usize, goal: Goal) {
        let number = index as u8 + 1;
        let acceptor = &mut self.acceptors[node];
        let (accepted, epoch) = (acceptor.registers[register].accepted, acceptor.epoch);
        acceptor.registers[register].promised = number;
        let (epoch, promises, newest) = match self.attempts[register][index] {
            Attempt::Preparing { epoch, promises, newest } => {
                (epoch, promises | 1 << node, newest.max(accepted))
            }
            _ => (epoch, 1 << node, accepted),
        };
        self.attempts[register][index] = Attempt::Preparing { epoch, promises, newest };
        if self.voter_set(epoch).is_some_and(|voter_set| voter_set.has_quorum(promises)) {
            let value = self.proposed_value(register, number, goal, epoch, newest);
            self.attempts[register][index] =
                Attempt::Accepting { epoch, value, accepted_by: 0, chosen: false };
            self.count_accepted(model, register, index);
        }
    }

    fn learn_epoch(&mut self, node: usize, epoch: u8) {
        let Some(voter_set) = self.voter_set(epoch) else { return };
        let acceptor = &mut self.acceptors[node];
        acceptor.epoch = epoch;
        acceptor.received = 0;
        acceptor.transferred = Default::default();
        acceptor.recovery = match acceptor.recovery {
            Recovery::LostDisk => Recovery::LostDisk,
            _ if voter_set.joining() >> node & 1 == 1 => Recovery::Joining,
            _ => Recovery::Recovered,
        };
    }

    fn lose_disk(&mut self, model: &CheckedModel, node: usize) {
        self.lost_disk = Some(node as u8);
        let votes_at_once = model.planted_fault == PlantedFault::LostDiskVotes;
        let (epoch, recovery) = match votes_at_once {
            true => (self.acceptors[node].epoch, Recovery::Recovered),
            false => (0, Recovery::LostDisk),
        };
        self.acceptors[node] = Acceptor {
            epoch,
            recovery,
            registers: Default::default(),
            received: 0,
            transferred: Default::default(),
        };
    }

    fn record_accepted(&mut self, model: &CheckedModel, node: usize, register: usize, attempt: u8) {
        let Some(index) = attempt.checked_sub(1).map(usize::from) else { return };
        if let Attempt::Accepting { accepted_by, .. } = &mut self.attempts[register][index] {
            *accepted_by |= 1 << node;
        }
        self.count_accepted(model, register, index);
    }

    fn transfer_state(&mut self, model: &CheckedModel, node: usize, sender: usize) {
        let Some(voter_set) = self.voter_set(self.acceptors[node].epoch) else { return };
        let sent = self.acceptors[sender].registers;
        let lost_disk = self.acceptors[node].recovery == Recovery::LostDisk;
        if lost_disk && self.acceptors[node].received == 0 {
            self.end_attempts_before_loss(node);
        }
        let acceptor = &mut self.acceptors[node];
        acceptor.received |= 1 << sender;
        for (transferred, sent) in acceptor.transferred.iter_mut().zip(sent) {
            *transferred = transferred.merge(sent);
        }
        // A majority of both sets promised together with this node; a majority of either set without this
        // node intersects it.
        let received = acceptor.received;
        let has_voters = VoterSet { incoming: 0, ..voter_set }.has_quorum(received);
        let has_incoming = voter_set.incoming != 0
            && VoterSet { voters: voter_set.incoming, incoming: 0 }.has_quorum(received);
        if has_voters || (lost_disk && has_incoming) {
            self.finish_transfer(model, node);
        }
    }

    /// By then all attempts to which the node replied before the loss have timed out, and its replies are not
    /// counted any more.
    fn end_attempts_before_loss(&mut self, node: usize) {
        for attempt in self.attempts.iter_mut().flatten() {
            match attempt {
                Attempt::Preparing { promises, .. } if *promises >> node & 1 == 1 => {
                    *attempt = Attempt::Abandoned
                }
                Attempt::Accepting { accepted_by, chosen: false, .. } => *accepted_by &= !(1 << node),
                _ => {}
            }
        }
    }

    fn finish_transfer(&mut self, model: &CheckedModel, node: usize) {
        let acceptor = &mut self.acceptors[node];
        let transferred = std::mem::take(&mut acceptor.transferred);
        acceptor.received = 0;
        acceptor.recovery = Recovery::Recovered;
        for (state, transferred) in acceptor.registers.iter_mut().zip(transferred) {
            *state = state.merge(transferred);
        }
        for (register, state) in acceptor.registers.into_iter().enumerate() {
            // A value below the promise is passed on, but doesn't count as accepted here.
            let counts_all = model.planted_fault == PlantedFault::TransferredValueCounts;
            if state.accepted == state.promised || counts_all {
                self.record_accepted(model, node, register, state.accepted);
            }
        }
    }
}
