//! What happened at a control gateway, in order, and the views folded from it: who is there, and which hosts. Owns the events
//! and the order in which views see them; a view changes in no other way. Must never grow without bound: what brought
//! nothing new is folded and not kept, and of the rest the last ones are.

use crate::roster::Roster;
use archlink_messages::{Hosts, Keeper, Node, Pilot, Sessions};
use std::collections::VecDeque;

/// Events kept, for operators to look at.
const MOST: usize = 256;

#[derive(Clone, Debug)]
pub enum Event {
    /// Another control gateway said who it is.
    Met(Keeper),
    /// A sign of life of a data gateway in session here.
    Hailed(Pilot),
    /// The connection of a data gateway's session ended.
    Lost(Node),
    /// Another control gateway told of its sessions.
    Told(Sessions),
    /// A sign of life of another control gateway, and whose sessions it hears of.
    Heard(Node, Vec<Node>),
    /// A list of hosts.
    Listed(Hosts),
    /// Time passed: what went without a sign of life for long is over. `contact`: is a majority of the voters heard?
    Passed { contact: bool },
}

impl Event {
    /// One line for people.
    pub fn line(&self) -> String {
        let address = |node: &Node| std::net::Ipv4Addr::from(*node);
        match self {
            Event::Met(keeper) => format!("control gateway {} in {}", keeper.control, keeper.zone),
            Event::Hailed(pilot) => {
                format!("data gateway {} in {}, ready {}", pilot.front, pilot.zone, pilot.ready)
            }
            Event::Lost(node) => format!("session of {} ended", address(node)),
            Event::Told(s) => format!("{} has {} sessions", address(&s.source), s.pilots.len()),
            Event::Heard(node, _) => format!("{} lives", address(node)),
            Event::Listed(hosts) => {
                format!("list {}.{} of {} hosts", hosts.term, hosts.version, hosts.lines.len())
            }
            Event::Passed { .. } => "a session fell silent".to_string(),
        }
    }
}

pub struct Journal {
    events: VecDeque<(f64, Event)>,
    pub roster: Roster,
    pub hosts: Hosts,
}

impl Journal {
    pub fn new(roster: Roster) -> Journal {
        Journal { events: VecDeque::new(), roster, hosts: Hosts::default() }
    }

    /// Folds an event into the views; true where it brought something new.
    pub fn append(&mut self, now: f64, event: Event) -> bool {
        let news = match &event {
            Event::Listed(hosts) => {
                let newer = (hosts.term, hosts.version) > (self.hosts.term, self.hosts.version);
                if newer {
                    self.hosts = hosts.clone();
                }
                newer
            }
            other => self.roster.fold(now, other),
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
