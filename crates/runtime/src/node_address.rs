//! Node ids and the addresses that nodes listen on. The id of a node is the IPv4 address of its machine as a number.

use archlink_messages::NodeId;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

/// Returns the id of the node on the machine with this address.
pub fn node_id(ip: Ipv4Addr) -> NodeId {
    u32::from(ip)
}

/// Returns the address on which `node` accepts connections from the system's own processes, at `port`.
pub fn node_address(node: NodeId, port: u16) -> SocketAddr {
    SocketAddrV4::new(Ipv4Addr::from(node), port).into()
}
