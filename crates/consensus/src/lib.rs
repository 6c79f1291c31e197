//! The agreement core of the control plane: pure state machines, without I/O and without a clock.
//!
//! A few registers (configuration, evacuated zones, the voter set itself) each have one value under a
//! proposal number. There is no log and no leader: any control node may propose, and a majority of the voters
//! decides. The terms are those of the literature:
//!
//! - [`acceptor`] and [`proposer`]: single-value Paxos for each register, repeated with growing proposal
//!   numbers (L. Lamport, "Paxos Made Simple", 2001, section 2).
//! - [`membership`]: change of the voter set through a joint epoch in which both sets have to agree (D.
//!   Ongaro, "Consensus: Bridging Theory and Practice", 2014, section 4.3); [`failure_detector`] says which
//!   voters have failed, and [`repair_timing`] how long the repair may take.
//! - [`leases`]: singleton roles, each held by one control node at a time (C. Gray and D. Cheriton, "Leases",
//!   SOSP 1989, section 2).
//!
//! Time (seconds of a local monotonic clock), messages and the completion of writes go in; [`Effect`]s come
//! out, in order. Random numbers come from a seed, so that a run can be replayed.

mod effect;
mod errors;

pub mod acceptor;
pub mod failure_detector;
pub mod leases;
pub mod membership;
pub mod proposer;
pub mod repair_timing;

pub use effect::{DurableRecord, Effect};
pub use errors::{MembershipError, Outcome};

use archlink_messages::NodeId;

/// An operator's request to change the voter set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// `new` becomes a voter in place of `old`, by agreement of both voter sets.
    Replace {
        /// The voter that is removed.
        old: NodeId,
        /// The control node that takes its place.
        new: NodeId,
    },
    /// This node starts a new generation of the voter set without agreement, since a majority of the voters
    /// of `epoch` is lost for good (etcd: `--force-new-cluster`).
    ForceNewGeneration {
        /// The epoch whose voter set is given up.
        epoch: u64,
        /// The voters of the new generation, besides this node.
        voters: Vec<NodeId>,
    },
}
