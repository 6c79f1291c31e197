//! The parts of a state of the model, and the actions on it.

/// A set of nodes, one bit each.
pub type NodeSet = u8;
pub const NODES: usize = 4;
/// The first voter set, the incoming voters of the first change, and those of the second one.
pub const VOTERS: NodeSet = 0b0111;
pub const INCOMING: NodeSet = 0b1011;
pub const SECOND_INCOMING: NodeSet = 0b1101;

/// The registers: one with values, and the voter set.
pub const VALUE: usize = 0;
pub const VOTER_SET: usize = 1;
/// The largest number of attempts on each register. Attempts are numbered from 1; 0 stands for none.
pub const MAX_ATTEMPTS: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VoterSet {
    pub voters: NodeSet,
    pub incoming: NodeSet,
}

impl VoterSet {
    pub fn has_quorum(self, nodes: NodeSet) -> bool {
        let has_majority = |set: NodeSet| 2 * (set & nodes).count_ones() > set.count_ones();
        has_majority(self.voters) && (self.incoming == 0 || has_majority(self.incoming))
    }

    pub fn contains(self, node: usize) -> bool {
        (self.voters | self.incoming) >> node & 1 == 1
    }

    pub fn joining(self) -> NodeSet {
        self.incoming & !self.voters
    }
}

/// The state of a register on an acceptor's disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RegisterState {
    pub promised: u8,
    pub accepted: u8,
}

impl RegisterState {
    pub fn merge(self, other: RegisterState) -> RegisterState {
        RegisterState {
            promised: self.promised.max(other.promised),
            accepted: self.accepted.max(other.accepted),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Recovery {
    Recovered,
    Joining,
    LostDisk,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Acceptor {
    /// 0 if it is not known.
    pub epoch: u8,
    pub recovery: Recovery,
    pub registers: [RegisterState; 2],
    /// Nodes whose state was received in the state transfer, and the merged state.
    pub received: NodeSet,
    pub transferred: [RegisterState; 2],
}

/// The purpose of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Goal {
    Write,
    Converge,
    EnterJoint,
    AdoptIncoming,
    RollBack,
}

/// An attempt proceeds as soon as a majority has promised: a promise that is not counted only binds its
/// acceptor, and whatever may happen then may happen without it too. So the goal is decided at that moment,
/// and of the promises only the newest value has to be kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Attempt {
    Unused,
    Preparing {
        epoch: u8,
        promises: NodeSet,
        newest: u8,
    },
    Accepting {
        epoch: u8,
        value: u16,
        accepted_by: NodeSet,
        chosen: bool,
    },
    /// Its proposer has abandoned it.
    Abandoned,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct State {
    pub acceptors: [Acceptor; NODES],
    pub attempts: [[Attempt; MAX_ATTEMPTS]; 2],
    /// The chosen voter sets, of epoch 1, 2 and so on.
    pub voter_sets: Vec<VoterSet>,
    /// The node whose disk was lost.
    pub lost_disk: Option<u8>,
    /// Whether there are two chosen values neither of which is built on the other.
    pub diverged: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    Promise {
        node: usize,
        register: usize,
        attempt: usize,
        goal: Goal,
    },
    Accept {
        node: usize,
        register: usize,
        attempt: usize,
    },
    LearnEpoch {
        node: usize,
        epoch: u8,
    },
    LoseDisk(usize),
    TransferState {
        node: usize,
        sender: usize,
    },
    /// The next voter set is chosen at once, where its register is not modelled.
    ChooseVoterSet(VoterSet),
}

/// Faults that the checker has to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlantedFault {
    None,
    /// The joint epoch ends before any register has converged in it.
    JointEpochEndsEarly,
    /// Acceptors reply to messages of any epoch.
    EpochsIgnored,
    /// An acceptor that lost its disk votes at once.
    LostDiskVotes,
    /// A joining node counts as having accepted what it has not.
    JoiningNodeCounts,
    /// What an acceptor copied after the loss of its disk counts as accepted, even below what the senders
    /// have promised since.
    TransferredValueCounts,
}
