//! The messages between nodes.
//!
//! `cluster_clock` is a reading of the cluster clock: seconds, monotonic, with an arbitrary origin. A `serial`
//! identifies a request within its connection; it grows, and the reply carries it.

use crate::{
    ConsensusMessage, ControlNode, CounterAdd, DataNode, LeaseGrant, NodeId, StateUpdate, VersionVector,
    VoterSet,
};
use serde::{Deserialize, Serialize};

/// A control node's heartbeat: shows that the node is alive, and which versions of the state can be requested from it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The serial of the session heartbeat that it answers; 0 if it is unsolicited.
    pub serial: u64,
    /// The sender's reading of the cluster clock.
    pub cluster_clock: f64,
    /// Seconds since the sender began the latest quorum read that confirmed its configuration as the newest.
    pub confirmed_age: Option<f64>,
    /// The versions that the sender has.
    pub versions: VersionVector,
    /// The leases that the sender knows of.
    pub leases: Vec<LeaseGrant>,
    /// The voter set as the sender knows it.
    pub voter_set: VoterSet,
    /// Whether the sender's disk has everything that the sender ever promised.
    pub recovered: bool,
    /// The voters that the sender suspects to have failed, and the sender itself while it is shutting down.
    pub suspected: Vec<NodeId>,
}

/// Any message between two nodes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    /// The first message on each link between control nodes.
    PeerHello {
        /// The sender.
        control_node: ControlNode,
        /// The voter set as the sender knows it.
        voter_set: VoterSet,
    },
    /// A message to or from a voter, valid only in the epoch that it carries.
    Consensus(u64, ConsensusMessage),
    /// The current voter set, in reply to a consensus message of an earlier epoch.
    VoterSet(VoterSet),
    /// See [`Heartbeat`].
    Heartbeat(Heartbeat),
    /// Asks for everything that is newer than these versions.
    UpdateRequest(VersionVector),
    /// The reply to [`UpdateRequest`](Self::UpdateRequest).
    StateUpdates(Vec<StateUpdate>),
    /// A data node's heartbeat: its session lasts as long as these arrive.
    SessionHeartbeat {
        /// Answered by a [`Heartbeat`] with this serial.
        serial: u64,
        /// The sender.
        data_node: DataNode,
        /// The sender's reading of the cluster clock.
        cluster_clock: f64,
        /// The leases that the sender knows of.
        leases: Vec<LeaseGrant>,
    },
    /// Additions to quota counters.
    CounterAdds {
        /// Answered by [`CounterTotals`](Self::CounterTotals) with this serial.
        serial: u64,
        /// The term of the quota counter's lease as the sender knows it.
        term: u64,
        /// The sender's reading of the cluster clock.
        cluster_clock: f64,
        /// The additions.
        adds: Vec<CounterAdd>,
    },
    /// The reply to [`CounterAdds`](Self::CounterAdds).
    CounterTotals {
        /// The serial of the request.
        serial: u64,
        /// The sender's reading of the cluster clock.
        cluster_clock: f64,
        /// The totals after the additions, in their order; `None` if the sender does not hold the quota counter's
        /// lease.
        totals: Option<Vec<f32>>,
    },
}

impl VoterSet {
    /// Wraps a consensus message, which is valid only in this set's epoch.
    pub fn message(&self, message: ConsensusMessage) -> Message {
        Message::Consensus(self.epoch, message)
    }
}
