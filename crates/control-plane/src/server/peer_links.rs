//! Connections between the system's own processes: `outgoing` to the other control nodes, `incoming` from control nodes, data
//! nodes and counter clients. [`super::peer_identity`] decides who may send which message on an incoming connection.

pub mod incoming;
pub mod outgoing;

/// Maximum number of messages queued on one connection. A peer with a longer queue is not reading.
const MAX_QUEUED_MESSAGES: usize = 256;
