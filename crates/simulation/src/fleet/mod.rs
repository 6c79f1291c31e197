//! The simulated fleet and its environment: messages take time and may be lost, delayed or duplicated; links are partitioned
//! in one direction; nodes pause, crash and restart; clocks drift; disks are slow, hang, and lose unsynced writes in a crash.
//!
//! Invariant: the simulation does nothing for a node that the deployed program around it (`control-plane`) doesn't do as well.

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

/// `CatchUp` in seconds that disables automatic replacement of voters: it would take 300 s of silence, longer than any run.
pub(crate) const CATCH_UP_DISABLED: f64 = 1000.0;
/// Simulated time, in seconds, at which a fleet starts. Another value would change the schedule that a seed runs.
const START_TIME: f64 = 10.0;

/// A machine's monotonic clock, which reads `offset + rate * now` seconds.
#[derive(Clone, Copy, Debug)]
struct MachineClock {
    rate: f64,
    offset: f64,
}

impl MachineClock {
    /// A clock that reads simulated time.
    const EXACT: MachineClock = MachineClock { rate: 1.0, offset: 0.0 };

    /// The clock's reading at simulated time `now`.
    fn reading(self, now: f64) -> f64 {
        self.offset + self.rate * now
    }

    /// The simulated time at which the clock reads `reading`.
    fn simulated_time(self, reading: f64) -> f64 {
        (reading - self.offset) / self.rate
    }
}

/// All control nodes, numbered from 1, with their simulated network, disks and clocks.
pub struct Fleet {
    /// Simulated time in seconds; each node reads it through [`Fleet::clock`].
    pub now: f64,
    /// The nodes that are up.
    pub live: BTreeMap<NodeId, ControlNodeState>,
    /// The disk of each machine, including those that are down.
    pub disks: BTreeMap<NodeId, Disk>,
    /// Latency and faults of the network.
    pub net: Net,
    /// Outcomes of operations by token; [`Outcome::Unknown`] for the open operations of a node that crashed.
    pub done: BTreeMap<u64, Outcome>,
    /// The checks of the invariants, with their observations.
    pub checks: Invariants,
    /// The first violation of an invariant, with the time at which it was found. If `strict` is set, `run` panics with it.
    pub fault: Option<String>,
    /// Whether `run` panics on a violation.
    pub strict: bool,
    /// Trace of the run, one event per line; `None` if it is not requested.
    pub trace: Option<Vec<String>>,
    /// Number of steps that nodes have performed so far.
    pub steps: u64,
    /// `CatchUp` in seconds. The default is so long that no voter is replaced automatically.
    pub catch_up: f64,
    /// The epoch of the voter set last traced for each node.
    traced_epochs: BTreeMap<NodeId, u64>,
    /// Machines that were removed permanently.
    decommissioned: BTreeSet<NodeId>,
    max_node: NodeId,
    required_voters: usize,
    seeds: Vec<NodeId>,
    rng: oorandom::Rand64,
    incarnations: BTreeMap<NodeId, u64>,
    clocks: BTreeMap<NodeId, MachineClock>,
    paused_until: BTreeMap<NodeId, f64>,
    /// Simulated time until which no message passes from the first node to the second.
    partitioned_until: BTreeMap<(NodeId, NodeId), f64>,
    stalled_links: BTreeMap<(NodeId, NodeId), StalledLink>,
    /// Simulated times at which pauses and stalls end; events due exactly then were postponed by them.
    resume_times: Vec<f64>,
    events: EventQueue,
}

impl Fleet {
    /// Starts four nodes, the first three of which are the seeds; one disk may be lost at a time.
    pub fn new(seed: u64) -> Fleet {
        Fleet::with_size(seed, 3, 4)
    }

    /// Starts `node_count` nodes for the first time, `required_voters` of which are to vote. The seeds are nodes 1, 2 and 3.
    pub fn with_size(seed: u64, required_voters: usize, node_count: NodeId) -> Fleet {
        let mut fleet = Fleet::empty(seed, required_voters, node_count);
        (1..=node_count).for_each(|node| fleet.start(node, true));
        fleet
    }

    /// Creates the same fleet as [`Fleet::with_size`] without starting any node.
    pub fn empty(seed: u64, required_voters: usize, node_count: NodeId) -> Fleet {
        Fleet {
            now: START_TIME,
            live: BTreeMap::new(),
            disks: (1..=node_count).map(|node| (node, Disk::default())).collect(),
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
            max_node: node_count,
            required_voters,
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

    /// All nodes so far, including those that are down or decommissioned.
    pub fn nodes(&self) -> std::ops::RangeInclusive<NodeId> {
        1..=self.max_node
    }

    /// The reading of the clock of a node's machine, in seconds.
    pub fn clock(&self, node: NodeId) -> f64 {
        self.machine_clock(node).reading(self.now)
    }

    fn machine_clock(&self, node: NodeId) -> MachineClock {
        self.clocks.get(&node).copied().unwrap_or(MachineClock::EXACT)
    }

    /// Sets the clock of a node's machine to `reading` now and its rate from now on to `rate`. Only for a machine that is down:
    /// a monotonic clock in use never jumps.
    pub fn set_clock(&mut self, node: NodeId, rate: f64, reading: f64) {
        self.clocks.insert(node, MachineClock { rate, offset: reading - rate * self.now });
    }

    pub(crate) fn trace(&mut self, line: impl FnOnce(&Fleet) -> String) {
        if self.trace.is_some() {
            let line = format!("{:9.3} {}", self.now, line(self));
            self.trace.iter_mut().for_each(|trace| trace.push(line.clone()));
        }
    }

    /// Records the first violation; later ones may be mere consequences of it.
    pub(crate) fn record(&mut self, checked: Result<(), Violation>) {
        if let Err(violation) = checked {
            self.trace(|_| format!("VIOLATION {violation}"));
            self.fault.get_or_insert_with(|| format!("at {:.3}: {violation}", self.now));
        }
    }
}
