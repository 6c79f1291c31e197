//! The simulated world: messages take time and may be lost, delayed or duplicated; links are partitioned one way; nodes
//! pause, crash and restart; clocks drift apart; disks are slow, hang, and lose in a crash what was not synced.
//!
//! Invariant: nothing is done for a node that the program around it (`control-plane`) does not do as well.

pub mod disk;
mod event_queue;
mod execution;
mod lifecycle;
pub mod network;
pub mod operators;

use crate::invariants::{Invariants, Violation};
use archlink_consensus::Outcome;
use archlink_control_node::node::ControlNodeState;
use archlink_messages::NodeId;
use disk::Disk;
use event_queue::EventQueue;
use network::{Net, StalledLink};
use std::collections::{BTreeMap, BTreeSet};

/// Seconds of `CatchUp` with which no voter is replaced unasked: that would take 300 s of silence, longer than any run.
pub(crate) const CATCH_UP_DISABLED: f64 = 1000.0;
/// Simulated time at which a fleet begins, in seconds. Part of what a seed stands for.
const START_TIME: f64 = 10.0;

/// A machine's monotonic clock, which shows `offset + rate * now` seconds.
#[derive(Clone, Copy, Debug)]
struct MachineClock {
    rate: f64,
    offset: f64,
}

impl MachineClock {
    /// A clock that shows simulated time.
    const EXACT: MachineClock = MachineClock { rate: 1.0, offset: 0.0 };

    /// What the clock shows at a moment of simulated time.
    fn reading(self, now: f64) -> f64 {
        self.offset + self.rate * now
    }

    /// The moment of simulated time at which the clock shows `reading`.
    fn simulated_time(self, reading: f64) -> f64 {
        (reading - self.offset) / self.rate
    }
}

/// All control nodes, numbered from 1, and the network, disks and clocks between and beneath them.
pub struct Fleet {
    /// Simulated time in seconds; each node reads it through [`Fleet::clock`].
    pub now: f64,
    /// Nodes that are up.
    pub live: BTreeMap<NodeId, ControlNodeState>,
    /// The disk of each machine, also of those that are down.
    pub disks: BTreeMap<NodeId, Disk>,
    /// How messages travel.
    pub net: Net,
    /// Outcomes of operations by token; unknown for those of a node that crashed.
    pub done: BTreeMap<u64, Outcome>,
    /// The invariants and what was observed for them.
    pub checks: Invariants,
    /// The first violation of an invariant and when it was found. While `strict` is set, `run` panics with it.
    pub fault: Option<String>,
    /// Whether a violation panics.
    pub strict: bool,
    /// What happened, line by line, where that is asked for.
    pub trace: Option<Vec<String>>,
    /// Steps that nodes took so far.
    pub steps: u64,
    /// `CatchUp` in seconds; where it is not set, so long that no voter is replaced unasked.
    pub catch_up: f64,
    /// The epoch that each node was last traced with.
    traced_epochs: BTreeMap<NodeId, u64>,
    /// Machines that never come back.
    decommissioned: BTreeSet<NodeId>,
    max_node: NodeId,
    required_voters: usize,
    seeds: Vec<NodeId>,
    rng: oorandom::Rand64,
    incarnations: BTreeMap<NodeId, u64>,
    clocks: BTreeMap<NodeId, MachineClock>,
    paused_until: BTreeMap<NodeId, f64>,
    /// Until when nothing passes from the first to the second.
    partitioned_until: BTreeMap<(NodeId, NodeId), f64>,
    stalled_links: BTreeMap<(NodeId, NodeId), StalledLink>,
    /// Moments at which pauses and stalls end: events due then wait for just that.
    resume_times: Vec<f64>,
    events: EventQueue,
}

impl Fleet {
    /// Four nodes, the first three of which are the seeds; one disk may be lost at a time.
    pub fn new(seed: u64) -> Fleet {
        Fleet::of(seed, 3, 4)
    }

    /// `size` nodes at their first start, `needed` of which are to vote; the seeds are 1, 2 and 3.
    pub fn of(seed: u64, needed: usize, size: NodeId) -> Fleet {
        let mut fleet = Fleet::empty(seed, needed, size);
        (1..=size).for_each(|node| fleet.start(node, true));
        fleet
    }

    /// The same before any node is started.
    pub fn empty(seed: u64, needed: usize, size: NodeId) -> Fleet {
        Fleet {
            now: START_TIME,
            live: BTreeMap::new(),
            disks: (1..=size).map(|node| (node, Disk::default())).collect(),
            net: Net::default(),
            done: BTreeMap::new(),
            checks: Invariants::default(),
            fault: None,
            strict: true,
            trace: None,
            steps: 0,
            catch_up: CATCH_UP_DISABLED,
            traced_epochs: BTreeMap::new(),
            decommissioned: BTreeSet::new(),
            max_node: size,
            required_voters: needed,
            seeds: vec![1, 2, 3],
            rng: oorandom::Rand64::new(u128::from(seed)),
            incarnations: BTreeMap::new(),
            clocks: BTreeMap::new(),
            paused_until: BTreeMap::new(),
            partitioned_until: BTreeMap::new(),
            stalled_links: BTreeMap::new(),
            resume_times: Vec::new(),
            events: EventQueue::default(),
        }
    }

    /// All nodes that ever were, up or not.
    pub fn nodes(&self) -> std::ops::RangeInclusive<NodeId> {
        1..=self.max_node
    }

    /// What the clock of that node's machine shows, in seconds.
    pub fn clock(&self, node: NodeId) -> f64 {
        self.machine_clock(node).reading(self.now)
    }

    fn machine_clock(&self, node: NodeId) -> MachineClock {
        self.clocks.get(&node).copied().unwrap_or(MachineClock::EXACT)
    }

    /// From here on that machine's clock runs at `rate` and shows `reading` now. Only for a machine that is not up: a clock
    /// that is in use never jumps.
    pub fn set_clock(&mut self, node: NodeId, rate: f64, reading: f64) {
        self.clocks.insert(node, MachineClock { rate, offset: reading - rate * self.now });
    }

    pub(crate) fn trace(&mut self, line: impl FnOnce(&Fleet) -> String) {
        if self.trace.is_some() {
            let line = format!("{:9.3} {}", self.now, line(self));
            self.trace.iter_mut().for_each(|trace| trace.push(line.clone()));
        }
    }

    /// Records the first violation; a later one may only follow from it.
    pub(crate) fn record(&mut self, checked: Result<(), Violation>) {
        if let Err(violation) = checked {
            self.trace(|_| format!("VIOLATION {violation}"));
            self.fault.get_or_insert_with(|| format!("at {:.3}: {violation}", self.now));
        }
    }
}
