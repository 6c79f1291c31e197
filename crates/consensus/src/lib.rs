//! The agreement core of the control plane: pure state machines, without I/O and without a clock.
//!
//! The agreed state is a few registers (configuration, evacuated zones, the voter set itself), each with one
//! value under a proposal number. There is neither a log nor a leader: any control node may propose, and a
//! majority of the voters decides. The terms are those of the literature:
//!
//! - [`acceptor`] and [`proposer`]: single-value Paxos for each register, repeated with growing proposal
//!   numbers (L. Lamport, "Paxos Made Simple", 2001, section 2).
//! - [`membership`]: changes of the voter set through a joint epoch, in which both sets have to agree (D.
//!   Ongaro, "Consensus: Bridging Theory and Practice", 2014, section 4.3); [`failure_detector`] determines
//!   which voters have failed, and [`repair_timing`] how long a repair may take.
//! - [`leases`]: singleton roles, each held by one control node at a time (C. Gray and D. Cheriton, "Leases",
//!   SOSP 1989, section 2).
//!
//! A value is *chosen* once a quorum of the voters has accepted it under one proposal number. The *committed*
//! value of a register is the newest of its chosen values that a node knows.
//!
//! The input is time (seconds of a local monotonic clock), messages and the completion of writes; the output
//! is [`Effect`]s, in order. Random numbers come from a seed, so that a run can be replayed.

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
    /// Makes `new` a voter in place of `old`, by agreement of both voter sets.
    Replace {
        /// The voter to remove.
        old: NodeId,
        /// The control node to add.
        new: NodeId,
    },
    /// Starts a new generation of the voter set on this node without agreement, because a majority of the
    /// voters of `epoch` is lost for good (etcd: `--force-new-cluster`).
    ForceNewGeneration {
        /// The epoch whose voter set is abandoned.
        epoch: u64,
        /// The voters of the new generation besides this node.
        voters: Vec<NodeId>,
    },
}
