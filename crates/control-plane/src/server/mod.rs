//! The control node's drivers, which connect the core (`archlink_control_node`) to sockets, disk and clock.

pub mod contact_limits;
pub mod host_discovery;
pub mod node;
pub mod peer_identity;
pub mod peer_links;
pub mod seeds;
pub mod startup;
pub mod transition_log;
pub mod write_queue;
