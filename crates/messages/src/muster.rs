//! Who votes, in which epoch, and what counts as enough of them. Agreed on like everything else: each next muster is chosen
//! by enough of the one before. Must never let two sets that don't overlap both be enough for one epoch or for neighbouring
//! ones.

use crate::{Node, Poll, Word};
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
pub struct Muster {
    /// 0: not known yet. 1: the seeds of the first start.
    pub epoch: u64,
    /// In the order of their numbers.
    pub seats: Vec<Node>,
    /// The set that is to be; empty where no change is under way. Until it is, a majority of each is needed.
    pub coming: Vec<Node>,
}

fn sorted(mut nodes: Vec<Node>) -> Vec<Node> {
    nodes.sort_unstable();
    nodes.dedup();
    nodes
}

impl Muster {
    /// What all know at the very first start.
    pub fn first(seeds: &[Node]) -> Muster {
        Muster { epoch: 1, seats: sorted(seeds.to_vec()), coming: Vec::new() }
    }

    /// The next epoch, in which both sets vote.
    pub fn begin(&self, coming: Vec<Node>) -> Muster {
        Muster { epoch: self.epoch + 1, seats: self.seats.clone(), coming: sorted(coming) }
    }

    /// The epoch after that, in which one of the two sets votes alone.
    pub fn end(&self, seats: &[Node]) -> Muster {
        Muster { epoch: self.epoch + 1, seats: seats.to_vec(), coming: Vec::new() }
    }

    /// A set that a person founds anew, beyond all epochs that those before may have come to; `lot` tells it from another one
    /// that is founded elsewhere.
    pub fn refound(&self, seats: Vec<Node>, lot: u16) -> Muster {
        let founding = (self.epoch >> FOUNDING_BITS) + 1;
        let epoch = (founding << FOUNDING_BITS) | (u64::from(lot) << CHANGE_BITS);
        Muster { epoch, seats: sorted(seats), coming: Vec::new() }
    }

    /// Rounds of ballots of this founding are above this: whatever was held before it is older.
    pub fn least_round(&self) -> u64 {
        (self.epoch >> FOUNDING_BITS) << ROUND_BITS
    }

    pub fn known(&self) -> bool {
        self.epoch > 0
    }

    /// Is a change of the set under way?
    pub fn changing(&self) -> bool {
        !self.coming.is_empty()
    }

    pub fn votes(&self, node: Node) -> bool {
        self.seats.contains(&node) || self.coming.contains(&node)
    }

    /// All that vote, each once.
    pub fn voters(&self) -> Vec<Node> {
        sorted(self.seats.iter().chain(&self.coming).copied().collect())
    }

    /// Are those for which `yes` holds more than half of each set?
    pub fn enough(&self, yes: impl Fn(Node) -> bool) -> bool {
        let half = |set: &[Node]| 2 * set.iter().filter(|&&node| yes(node)).count() > set.len();
        self.known() && half(&self.seats) && (self.coming.is_empty() || half(&self.coming))
    }

    /// A word that counts in this epoch alone.
    pub fn say(&self, poll: Poll) -> Word {
        Word::Poll(self.epoch, poll)
    }

    /// As the value of its register.
    pub fn to_bytes(&self) -> Bytes {
        postcard::to_stdvec(self).unwrap_or_default().into()
    }

    /// None where the bytes are no muster.
    pub fn from_bytes(bytes: &[u8]) -> Option<Muster> {
        postcard::from_bytes(bytes).ok().filter(|muster: &Muster| muster.known() && !muster.seats.is_empty())
    }
}
