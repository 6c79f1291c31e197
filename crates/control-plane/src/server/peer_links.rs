//! Connections between the system's own processes: `outgoing` to each other control node, `incoming` from control nodes,
//! data nodes and counter clients. Who may send what on an incoming one is decided by [`super::peer_identity`].

pub mod incoming;
pub mod outgoing;

/// Messages queued on one connection; a peer that lets more queue up does not read.
const MAX_QUEUED_MESSAGES: usize = 256;
