//! What is due at which moment of simulated time. Events of one moment happen in the order in which they were scheduled.

use archlink_messages::{Message, NodeId};
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Something that happens at a moment. An event of an incarnation that has ended is dropped.
pub(crate) enum Event {
    Deliver {
        from: NodeId,
        to: NodeId,
        message: Message,
    },
    Tick {
        node: NodeId,
        incarnation: u64,
    },
    /// What the disk was writing is durable.
    Synced {
        node: NodeId,
        incarnation: u64,
    },
    Start {
        node: NodeId,
        first_start: bool,
    },
    /// A link comes up between two incarnations.
    Connect {
        from: NodeId,
        to: NodeId,
        incarnations: (u64, u64),
    },
}

impl Event {
    /// The node at which it happens; while that node is paused, the event waits.
    pub(crate) fn node(&self) -> NodeId {
        match self {
            Event::Deliver { to, .. } => *to,
            Event::Connect { from, .. } => *from,
            Event::Tick { node, .. } | Event::Synced { node, .. } | Event::Start { node, .. } => *node,
        }
    }
}

struct Scheduled {
    at: f64,
    sequence: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    /// The earliest is the greatest, since the heap yields the greatest first.
    fn cmp(&self, other: &Scheduled) -> Ordering {
        other.at.total_cmp(&self.at).then(other.sequence.cmp(&self.sequence))
    }
}

/// Events by time, then by the order in which they were scheduled.
#[derive(Default)]
pub(crate) struct EventQueue {
    heap: BinaryHeap<Scheduled>,
    last_sequence: u64,
}

impl EventQueue {
    /// Schedules an event for a moment of simulated time, in seconds.
    pub(crate) fn push(&mut self, at: f64, event: Event) {
        self.last_sequence += 1;
        self.heap.push(Scheduled { at, sequence: self.last_sequence, event });
    }

    /// The next event that is due by `until`, and when.
    pub(crate) fn pop_due(&mut self, until: f64) -> Option<(f64, Event)> {
        self.heap.peek().filter(|next| next.at <= until)?;
        self.heap.pop().map(|next| (next.at, next.event))
    }

    /// Moves what only waited for a pause, a stall or a disk to `now`: messages, ticks and links that were due at one of
    /// `resume_times`, and all that waits for a disk.
    pub(crate) fn resume(&mut self, now: f64, resume_times: &[f64]) {
        let mut scheduled = std::mem::take(&mut self.heap).into_vec();
        for next in &mut scheduled {
            let waits = match &next.event {
                Event::Deliver { .. } | Event::Tick { .. } | Event::Connect { .. } => {
                    resume_times.contains(&next.at)
                }
                Event::Synced { .. } | Event::Start { .. } => true,
            };
            next.at = if waits { now.min(next.at) } else { next.at };
        }
        self.heap = scheduled.into();
    }
}
