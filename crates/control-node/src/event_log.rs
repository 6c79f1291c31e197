//! The event log of a control node and the views folded from it: the registry of nodes and the host list.
//!
//! Invariants: the views change only through [`EventLog::append`], in the order of the events. The log is
//! bounded: it has the last 256 of the events that changed a view; other events are not recorded.

pub use crate::event::Event;

use crate::registry::Registry;
use archlink_messages::HostList;
use std::collections::VecDeque;

/// The number of events that are kept for operators; older ones are dropped.
const MAX_EVENTS: usize = 256;

/// The most recent events, and the views folded from all events.
pub struct EventLog {
    /// Oldest first, each with the local time in seconds at which it was appended.
    events: VecDeque<(f64, Event)>,
    /// The control and data nodes.
    pub registry: Registry,
    /// The newest host list, by term and version.
    pub host_list: HostList,
}

impl EventLog {
    /// Creates an empty log that folds events into a registry.
    pub fn new(registry: Registry) -> EventLog {
        EventLog { events: VecDeque::new(), registry, host_list: HostList::default() }
    }

    /// Folds an event into the views at local time `now`, in seconds. Returns whether a view changed; only
    /// then is the event recorded.
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

    /// Returns the recorded events with their local times in seconds, oldest first.
    pub fn recent(&self) -> impl Iterator<Item = &(f64, Event)> {
        self.events.iter()
    }
}
