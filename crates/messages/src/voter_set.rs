//! The voter set of an epoch, its quorums, and the transition from one set to the next.
//!
//! The set changes by joint consensus (D. Ongaro, "Consensus: Bridging Theory and Practice", 2014, section 4.3;
//! `docs/control.md`, section 3): a joint epoch, in which both sets have to agree, lies between the old set and the new
//! one, and each next voter set is chosen by a quorum of the one before. Invariant: two quorums of one epoch, or of
//! neighbouring epochs, have a voter in common.

use crate::{NodeId, generation};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// The voters of an epoch, and in a joint epoch the incoming voters as well.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoterSet {
    /// The epoch: 0 while the set is unknown, 1 for the seed nodes of the first start.
    pub epoch: u64,
    /// The current voters, in ascending order.
    pub voters: Vec<NodeId>,
    /// The voters of the next set, in ascending order; empty outside a joint epoch.
    pub incoming: Vec<NodeId>,
}

fn sorted(mut nodes: Vec<NodeId>) -> Vec<NodeId> {
    nodes.sort_unstable();
    nodes.dedup();
    nodes
}

impl VoterSet {
    /// Returns the voter set of the first start, which all nodes know from their settings.
    pub fn initial(seeds: &[NodeId]) -> VoterSet {
        VoterSet { epoch: 1, voters: sorted(seeds.to_vec()), incoming: Vec::new() }
    }

    /// Returns the next epoch, a joint one in which both the current and the incoming voters vote.
    pub fn enter_joint(&self, incoming: Vec<NodeId>) -> VoterSet {
        VoterSet { epoch: self.epoch + 1, voters: self.voters.clone(), incoming: sorted(incoming) }
    }

    /// Returns the epoch after a joint one, in which `voters`, one of its two sets, vote alone.
    pub fn leave_joint(&self, voters: &[NodeId]) -> VoterSet {
        VoterSet { epoch: self.epoch + 1, voters: voters.to_vec(), incoming: Vec::new() }
    }

    /// Returns the voter set of a generation that an operator forces, beyond all epochs to which this one can lead;
    /// `nonce` distinguishes it from one that is forced elsewhere at the same time.
    pub fn next_generation(&self, voters: Vec<NodeId>, nonce: u16) -> VoterSet {
        VoterSet {
            epoch: generation::next_epoch(self.epoch, nonce),
            voters: sorted(voters),
            incoming: Vec::new(),
        }
    }

    /// Returns the first round of this generation: its proposal rounds are above it, and those of earlier generations
    /// below it.
    pub fn first_round(&self) -> u64 {
        generation::first_round(generation::of_epoch(self.epoch))
    }

    /// Returns whether any voter set is known.
    pub fn is_known(&self) -> bool {
        self.epoch > 0
    }

    /// Returns whether the epoch is a joint one.
    pub fn is_joint(&self) -> bool {
        !self.incoming.is_empty()
    }

    /// Returns whether `node` votes, as a current or an incoming voter.
    pub fn contains(&self, node: NodeId) -> bool {
        self.voters.contains(&node) || self.incoming.contains(&node)
    }

    /// Returns all nodes that vote, each once, in ascending order.
    pub fn all_voters(&self) -> Vec<NodeId> {
        sorted(self.voters.iter().chain(&self.incoming).copied().collect())
    }

    /// Returns whether the voters that satisfy `has_agreed` are a quorum: a majority of the voters and, in a joint
    /// epoch, of the incoming voters.
    pub fn has_quorum(&self, has_agreed: impl Fn(NodeId) -> bool) -> bool {
        let is_majority =
            |voters: &[NodeId]| 2 * voters.iter().filter(|&&node| has_agreed(node)).count() > voters.len();
        self.is_known()
            && is_majority(&self.voters)
            && (self.incoming.is_empty() || is_majority(&self.incoming))
    }

    /// Encodes this set as a value of [`Register::VoterSet`](crate::Register::VoterSet).
    pub fn to_bytes(&self) -> Bytes {
        // Cannot fail: the vector grows as needed, and postcard rejects only sequences of unknown length, of which the set
        // has none.
        postcard::to_stdvec(self).unwrap_or_default().into()
    }

    /// Decodes a value of [`Register::VoterSet`](crate::Register::VoterSet); `None` if the bytes are not a known,
    /// non-empty voter set.
    pub fn from_bytes(bytes: &[u8]) -> Option<VoterSet> {
        postcard::from_bytes(bytes)
            .ok()
            .filter(|voter_set: &VoterSet| voter_set.is_known() && !voter_set.voters.is_empty())
    }
}
