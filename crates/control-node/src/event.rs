//! The events that change what a control node knows of other nodes and of hosts.

use archlink_messages::{ControlNode, DataNode, HostList, NodeId, SessionTable};

/// An observation of a control node. [`crate::event_log::EventLog::append`] folds it into the views.
#[derive(Clone, Debug)]
pub enum Event {
    /// Another control node introduced itself, or a peer advertised it.
    ControlNodeDiscovered(ControlNode),
    /// A data node in session with this control node sent a heartbeat.
    SessionRenewed(DataNode),
    /// The connection of a data node's session was closed.
    SessionClosed(NodeId),
    /// The sessions of another control node were received, from itself or relayed by a peer.
    PeerSessions(SessionTable),
    /// A heartbeat came from another control node. The list has the nodes whose session tables are live
    /// there.
    PeerHeartbeat(NodeId, Vec<NodeId>),
    /// A host list came from this node's host discovery or from a peer.
    HostListChanged(HostList),
    /// Time passed: sessions and peers may have timed out.
    TimePassed {
        /// Whether this node receives heartbeats from a quorum of the voters.
        quorum_contact: bool,
    },
}

impl Event {
    /// Describes the event for operators, in one line.
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
