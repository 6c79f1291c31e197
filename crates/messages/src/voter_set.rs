//! Who votes, in which epoch, and what counts as enough of them. Agreed on like everything else: each next muster is chosen
//! by enough of the one before. Must never let two sets that don't overlap both be enough for one epoch or for neighbouring
//! ones.

use crate::{ConsensusMessage, Message, NodeId};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// The epochs of one founding: a person who founds anew goes beyond all of them.
const FOUNDING_BITS: u32 = 32;
/// Of these the changes take the lower half. The upper one is drawn: two survivors that are founded anew by mistake don't come
/// to two sets under one epoch.
const CHANGE_BITS: u32 = 16;
/// Rounds of ballots of one founding: so many attempts are never made.
pub(crate) const ROUND_BITS: u32 = 40;

/// The set of voters of an epoch; while it changes, the set that comes as well.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoterSet {
    /// 0: not known yet. 1: the seeds of the first start.
    pub epoch: u64,
    /// In the order of their numbers.
    pub voters: Vec<NodeId>,
    /// The set that is to be; empty where no change is under way. Until it is, a majority of each is needed.
    pub incoming: Vec<NodeId>,
}

fn sorted(mut nodes: Vec<NodeId>) -> Vec<NodeId> {
    nodes.sort_unstable();
    nodes.dedup();
    nodes
}

impl VoterSet {
    /// What all know at the very first start.
    pub fn initial(seeds: &[NodeId]) -> VoterSet {
        VoterSet { epoch: 1, voters: sorted(seeds.to_vec()), incoming: Vec::new() }
    }

    /// The next epoch, in which both sets vote.
    pub fn enter_joint(&self, coming: Vec<NodeId>) -> VoterSet {
        VoterSet { epoch: self.epoch + 1, voters: self.voters.clone(), incoming: sorted(coming) }
    }

    /// The epoch after that, in which one of the two sets votes alone.
    pub fn leave_joint(&self, seats: &[NodeId]) -> VoterSet {
        VoterSet { epoch: self.epoch + 1, voters: seats.to_vec(), incoming: Vec::new() }
    }

    /// A set that a person founds anew, beyond all epochs that those before may have come to; `lot` tells it from another one
    /// that is founded elsewhere.
    pub fn next_generation(&self, seats: Vec<NodeId>, lot: u16) -> VoterSet {
        let founding = (self.epoch >> FOUNDING_BITS) + 1;
        let epoch = (founding << FOUNDING_BITS) | (u64::from(lot) << CHANGE_BITS);
        VoterSet { epoch, voters: sorted(seats), incoming: Vec::new() }
    }

    /// Rounds of ballots of this founding are above this: whatever was held before it is older.
    pub fn first_round(&self) -> u64 {
        (self.epoch >> FOUNDING_BITS) << ROUND_BITS
    }

    pub fn is_known(&self) -> bool {
        self.epoch > 0
    }

    /// Is a change of the set under way?
    pub fn is_joint(&self) -> bool {
        !self.incoming.is_empty()
    }

    pub fn contains(&self, node: NodeId) -> bool {
        self.voters.contains(&node) || self.incoming.contains(&node)
    }

    /// All that vote, each once.
    pub fn all_voters(&self) -> Vec<NodeId> {
        sorted(self.voters.iter().chain(&self.incoming).copied().collect())
    }

    /// Are those for which `yes` holds more than half of each set?
    pub fn has_quorum(&self, yes: impl Fn(NodeId) -> bool) -> bool {
        let half = |set: &[NodeId]| 2 * set.iter().filter(|&&node| yes(node)).count() > set.len();
        self.is_known() && half(&self.voters) && (self.incoming.is_empty() || half(&self.incoming))
    }

    /// A word that counts in this epoch alone.
    pub fn message(&self, poll: ConsensusMessage) -> Message {
        Message::Consensus(self.epoch, poll)
    }

    /// As the value of its register.
    pub fn to_bytes(&self) -> Bytes {
        postcard::to_stdvec(self).unwrap_or_default().into()
    }

    /// None where the bytes are no muster.
    pub fn from_bytes(bytes: &[u8]) -> Option<VoterSet> {
        postcard::from_bytes(bytes)
            .ok()
            .filter(|voter_set: &VoterSet| voter_set.is_known() && !voter_set.voters.is_empty())
    }
}
