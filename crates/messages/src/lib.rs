//! Typed messages between the system's own processes, and their codec.
//!
//! Messages are plain values, encoded with postcard in length-delimited frames ([`MessageCodec`]). This package does no
//! I/O of its own, keeps no connections and makes no decisions.
//!
//! Two rules hold for every type here:
//!
//! - postcard writes fields and variants by their position. The order of fields and variants is therefore the format on
//!   the wire and on disk: new variants go at the end, and nothing is reordered. `tests/wire_fixtures` compares with
//!   recorded bytes.
//! - No message carries a time of day. Durations are in seconds; the cluster clock is a monotonic number of seconds
//!   with an arbitrary origin.

mod codec;
mod consensus;
mod counter;
mod evacuations;
mod generation;
mod hosts;
mod leases;
mod message;
mod node_rank;
mod nodes;
pub mod patch;
mod updates;
mod voter_set;

pub use codec::{CodecError, MessageCodec};
pub use consensus::{
    AcceptedValue, AcceptorState, ConsensusMessage, ProposalNumber, REGISTERS, Register, VersionDigest,
};
pub use counter::CounterAdd;
pub use evacuations::{decode_evacuated_zones, encode_evacuated_zones};
pub use hosts::{HostInstance, HostList};
pub use leases::{LeaseGrant, SINGLETON_ROLES, SingletonRole};
pub use message::{Heartbeat, Message};
pub use node_rank::NodeRank;
pub use nodes::{ControlNode, DataNode, NodeId, SessionTable, node_set_fingerprint};
pub use patch::PatchError;
pub use updates::{StateUpdate, VersionVector};
pub use voter_set::VoterSet;
