//! The event log of a control node and the views folded from it: the registry of nodes and the host list.
//!
//! Invariants: the views change through [`EventLog::append`] alone, in the order of the events. The log is
//! bounded: an event that changes no view isn't recorded, and of the others the last 256 are.

pub use crate::event::Event;

use crate::registry::Registry;
use archlink_messages::HostList;
use std::collections::VecDeque;

/// Events that are kept for operators to look at; older ones are dropped.
const MAX_EVENTS: usize = 256;

/// The last events and the views that follow from all events.
pub struct EventLog {
    /// Oldest first, each with the local time at which it was appended.
    events: VecDeque<(f64, Event)>,
    /// The control and data nodes.
    pub registry: Registry,
    /// The newest host list, by term and version.
    pub host_list: HostList,
}

impl EventLog {
    /// An empty log above a registry.
    pub fn new(registry: Registry) -> EventLog {
        EventLog { events: VecDeque::new(), registry, host_list: HostList::default() }
    }

    /// Folds an event into the views at local time `now` (seconds). Returns whether a view changed; only then
    /// is the event recorded.
    pub fn append(&mut self, now: f64, event: Event) -> bool {
        let changed = match &event {
            Event::HostListChanged(hosts) => self.replace_host_list(hosts),
            other => self.registry.fold(now, other),
        };
        if changed {
            self.events.push_back((now, event));
            if self.events.len() > MAX_EVENTS {
                self.events.pop_front();
            }
        }
        changed
    }

    fn replace_host_list(&mut self, hosts: &HostList) -> bool {
        let newer = (hosts.term, hosts.version) > (self.host_list.term, self.host_list.version);
        if newer {
            self.host_list = hosts.clone();
        }
        newer
    }

    /// The recorded events with their local times in seconds, oldest first.
    pub fn recent(&self) -> impl Iterator<Item = &(f64, Event)> {
        self.events.iter()
    }
}
