//! The events that change what a control node knows of other nodes and of hosts.

use archlink_messages::{ControlNode, DataNode, HostList, NodeId, SessionTable};

/// Something that a control node observed. [`crate::event_log::EventLog::append`] folds it into the views.
#[derive(Clone, Debug)]
pub enum Event {
    /// Another control node introduced itself, or a peer advertised it.
    ControlNodeDiscovered(ControlNode),
    /// A heartbeat of a data node whose session is with this control node.
    SessionRenewed(DataNode),
    /// The connection of a data node's session ended.
    SessionClosed(NodeId),
    /// The sessions of another control node, from itself or relayed by a peer.
    PeerSessions(SessionTable),
    /// A heartbeat of another control node, and the nodes whose sessions it receives.
    PeerHeartbeat(NodeId, Vec<NodeId>),
    /// A host list, from this node's host discovery or from a peer.
    HostListChanged(HostList),
    /// Time passed: sessions and peers may have timed out.
    TimePassed {
        /// Whether a quorum of the voters is heard.
        contact: bool,
    },
}

impl Event {
    /// One line for operators.
    pub fn describe(&self) -> String {
        let address = |node: &NodeId| std::net::Ipv4Addr::from(*node);
        match self {
            Event::ControlNodeDiscovered(control_node) => {
                format!("control gateway {} in {}", control_node.operator_address, control_node.zone)
            }
            Event::SessionRenewed(data_node) => format!(
                "data gateway {} in {}, ready {}",
                data_node.client_address, data_node.zone, data_node.ready
            ),
            Event::SessionClosed(node) => format!("session of {} ended", address(node)),
            Event::PeerSessions(sessions) => {
                format!("{} has {} sessions", address(&sessions.source), sessions.data_nodes.len())
            }
            Event::PeerHeartbeat(node, _) => format!("{} lives", address(node)),
            Event::HostListChanged(hosts) => {
                format!("list {}.{} of {} hosts", hosts.term, hosts.version, hosts.instances.len())
            }
            Event::TimePassed { .. } => "a session fell silent".to_string(),
        }
    }
}
