//! Identity of a node and where it listens: a node's number is the IPv4 address of its machine.

use archlink_messages::NodeId;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

/// Number of the node on the machine with this address.
pub fn node_id(ip: Ipv4Addr) -> NodeId {
    u32::from(ip)
}

/// Where `node` listens for connections of the system's own processes.
pub fn node_address(node: NodeId, port: u16) -> SocketAddr {
    SocketAddrV4::new(Ipv4Addr::from(node), port).into()
}
