//! Queue of events by simulated time. Events due at the same time are handled in the order in which they were scheduled.

use archlink_messages::{Message, NodeId};
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// An event at a simulated time. Events of an incarnation that has ended are dropped.
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
    /// The sync in progress on the node's disk has completed.
    SyncCompleted {
        node: NodeId,
        incarnation: u64,
    },
    Start {
        node: NodeId,
        first_start: bool,
    },
    /// The link between two incarnations is to be opened.
    Connect {
        from: NodeId,
        to: NodeId,
        incarnations: (u64, u64),
    },
}

impl Event {
    /// The node at which the event takes place. The event is postponed while that node is paused.
    pub(crate) fn node(&self) -> NodeId {
        match self {
            Event::Deliver { to, .. } => *to,
            Event::Connect { from, .. } => *from,
            Event::Tick { node, .. } | Event::SyncCompleted { node, .. } | Event::Start { node, .. } => *node,
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
    /// Orders the earliest event as the greatest, because the heap pops the greatest first.
    fn cmp(&self, other: &Scheduled) -> Ordering {
        other.at.total_cmp(&self.at).then(other.sequence.cmp(&self.sequence))
    }
}

/// Events ordered by time, then by the order in which they were scheduled.
#[derive(Default)]
pub(crate) struct EventQueue {
    heap: BinaryHeap<Scheduled>,
    last_sequence: u64,
}

impl EventQueue {
    /// Schedules an event at simulated time `at`, in seconds.
    pub(crate) fn push(&mut self, at: f64, event: Event) {
        self.last_sequence += 1;
        self.heap.push(Scheduled { at, sequence: self.last_sequence, event });
    }

    /// Removes the next event due by `until` and returns it with its time.
    pub(crate) fn pop_due(&mut self, until: f64) -> Option<(f64, Event)> {
        self.heap.peek().filter(|next| next.at <= until)?;
        self.heap.pop().map(|next| (next.at, next.event))
    }

    /// Moves events that only waited for the end of a pause, a stall or a disk hang to `now`: messages, ticks and connection
    /// attempts due at one of `resume_times`, and all completed syncs and starts.
    pub(crate) fn resume(&mut self, now: f64, resume_times: &[f64]) {
        let mut scheduled = std::mem::take(&mut self.heap).into_vec();
        for next in &mut scheduled {
            let is_postponed = match &next.event {
                Event::Deliver { .. } | Event::Tick { .. } | Event::Connect { .. } => {
                    resume_times.contains(&next.at)
                }
                Event::SyncCompleted { .. } | Event::Start { .. } => true,
            };
            next.at = if is_postponed { now.min(next.at) } else { next.at };
        }
        self.heap = scheduled.into();
    }
}
