//! What happened at a control gateway, in order, and the views folded from it: who is there, and which hosts. Owns the events
//! and the order in which views see them; a view changes in no other way. Must never grow without bound: what brought
//! nothing new is folded and not kept, and of the rest the last ones are.

use crate::registry::Registry;
use archlink_messages::{ControlNode, DataNode, HostList, NodeId, SessionTable};
use std::collections::VecDeque;

/// Events kept, for operators to look at.
const MOST: usize = 256;

#[derive(Clone, Debug)]
pub enum Event {
    /// Another control gateway said who it is.
    ControlNodeDiscovered(ControlNode),
    /// A sign of life of a data gateway in session here.
    SessionRenewed(DataNode),
    /// The connection of a data gateway's session ended.
    SessionClosed(NodeId),
    /// Another control gateway told of its sessions.
    PeerSessions(SessionTable),
    /// A sign of life of another control gateway, and whose sessions it hears of.
    PeerHeartbeat(NodeId, Vec<NodeId>),
    /// A list of hosts.
    HostListChanged(HostList),
    /// Time passed: what went without a sign of life for long is over. `contact`: is a majority of the voters heard?
    TimePassed { contact: bool },
}

impl Event {
    /// One line for people.
    pub fn describe(&self) -> String {
        let address = |node: &NodeId| std::net::Ipv4Addr::from(*node);
        match self {
            Event::ControlNodeDiscovered(control_node) => {
                format!("control gateway {} in {}", control_node.operator_address, control_node.zone)
            }
            Event::SessionRenewed(data_node) => {
                format!(
                    "data gateway {} in {}, ready {}",
                    data_node.client_address, data_node.zone, data_node.ready
                )
            }
            Event::SessionClosed(node) => format!("session of {} ended", address(node)),
            Event::PeerSessions(s) => format!("{} has {} sessions", address(&s.source), s.data_nodes.len()),
            Event::PeerHeartbeat(node, _) => format!("{} lives", address(node)),
            Event::HostListChanged(hosts) => {
                format!("list {}.{} of {} hosts", hosts.term, hosts.version, hosts.instances.len())
            }
            Event::TimePassed { .. } => "a session fell silent".to_string(),
        }
    }
}

pub struct EventLog {
    events: VecDeque<(f64, Event)>,
    pub registry: Registry,
    pub host_list: HostList,
}

impl EventLog {
    pub fn new(registry: Registry) -> EventLog {
        EventLog { events: VecDeque::new(), registry, host_list: HostList::default() }
    }

    /// Folds an event into the views; true where it brought something new.
    pub fn append(&mut self, now: f64, event: Event) -> bool {
        let news = match &event {
            Event::HostListChanged(hosts) => {
                let newer = (hosts.term, hosts.version) > (self.host_list.term, self.host_list.version);
                if newer {
                    self.host_list = hosts.clone();
                }
                newer
            }
            other => self.registry.fold(now, other),
        };
        if news {
            self.events.push_back((now, event));
            if self.events.len() > MOST {
                self.events.pop_front();
            }
        }
        news
    }

    /// The last events that brought something new, oldest first.
    pub fn recent(&self) -> impl Iterator<Item = &(f64, Event)> {
        self.events.iter()
    }
}
