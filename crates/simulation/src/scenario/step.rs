//! The steps of a scenario. Each `rename` keeps the name that the first version wrote to files.

use archlink_messages::NodeId;
use serde::{Deserialize, Serialize};

/// The fault of a machine that counts as lost, from the fault's start until `CatchUp` after the machine is back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Loss {
    /// The machine and its disk are lost; it comes back with an empty disk.
    #[serde(rename = "Wipe")]
    Disk,
    /// The machine is powered off.
    #[serde(rename = "Power")]
    PowerOff,
    /// The process crashes.
    #[serde(rename = "Kill")]
    Crash,
    /// The process is paused.
    #[serde(rename = "Freeze")]
    Pause,
    /// All links from and to the machine are partitioned.
    #[serde(rename = "Isolate")]
    Isolation,
    /// The machine's disk completes no write.
    #[serde(rename = "Hang")]
    DiskHang,
}

/// One step. Nodes are named by position; durations and intervals are in seconds, fractions from 0 to 1.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[expect(missing_docs, reason = "the fields are what the variant's comment names")]
pub enum Step {
    /// Submits a configuration whose version is `version_offset` above the highest one submitted before; the caller waits for
    /// `timeout`.
    #[serde(rename = "Chart")]
    SubmitConfiguration {
        node: NodeId,
        #[serde(rename = "above")]
        version_offset: i8,
        #[serde(rename = "patience")]
        timeout: f64,
    },
    /// Submits two configurations under one version through two nodes, the second after `delay`.
    #[serde(rename = "Race")]
    SubmitConflict {
        nodes: (NodeId, NodeId),
        #[serde(rename = "gap")]
        delay: f64,
    },
    /// Begins or ends the evacuation of a zone; the caller waits for `timeout`.
    #[serde(rename = "Zone")]
    SubmitEvacuation {
        node: NodeId,
        zone: u8,
        #[serde(rename = "on")]
        evacuated: bool,
        #[serde(rename = "patience")]
        timeout: f64,
    },
    /// Submits a membership change in which `added` replaces the voter `removed`.
    #[serde(rename = "Reseat")]
    ReplaceVoter {
        node: NodeId,
        #[serde(rename = "old")]
        removed: NodeId,
        #[serde(rename = "new")]
        added: NodeId,
    },
    /// Requests confirmed reads through a node at an interval.
    #[serde(rename = "Reads")]
    Read {
        node: NodeId,
        #[serde(rename = "every")]
        interval: f64,
        seconds: f64,
    },
    /// Partitions one direction of a link.
    #[serde(rename = "Cut")]
    PartitionLink { from: NodeId, to: NodeId, seconds: f64 },
    /// Partitions all links from and to one node.
    Isolate { node: NodeId, seconds: f64 },
    /// Partitions all links between the nodes whose bit is set and the others; bit 0 belongs to the first position.
    #[serde(rename = "Split")]
    Partition {
        #[serde(rename = "bits")]
        side_mask: u8,
        seconds: f64,
    },
    /// Partitions one direction of a link for a period and restores it for a period, `times` times.
    #[serde(rename = "Flap")]
    FlapLink { from: NodeId, to: NodeId, period: f64, times: u8 },
    /// Stalls one direction of a link: messages wait and then arrive all at once.
    #[serde(rename = "Stall")]
    StallLink { from: NodeId, to: NodeId, seconds: f64 },
    /// Stalls all links from one node.
    #[serde(rename = "Hold")]
    StallOutgoing { node: NodeId, seconds: f64 },
    /// Loses, duplicates and delays messages on all links.
    #[serde(rename = "Noise")]
    DegradeNetwork {
        #[serde(rename = "lossy")]
        lost: f64,
        #[serde(rename = "doubled")]
        duplicated: f64,
        #[serde(rename = "late")]
        delayed: f64,
        #[serde(rename = "late_by")]
        max_delay: f64,
        seconds: f64,
    },
    /// Pauses a process.
    #[serde(rename = "Freeze")]
    Pause { node: NodeId, seconds: f64 },
    /// Crashes a process and restarts it.
    #[serde(rename = "Kill")]
    Crash {
        node: NodeId,
        #[serde(rename = "down")]
        downtime: f64,
    },
    /// Powers a machine off and on again.
    #[serde(rename = "Power")]
    PowerOff {
        node: NodeId,
        #[serde(rename = "down")]
        downtime: f64,
    },
    /// Loses a machine with its disk; it comes back with an empty disk. Skipped if too many disks are lost already.
    #[serde(rename = "Wipe")]
    LoseDisk {
        node: NodeId,
        #[serde(rename = "down")]
        downtime: f64,
    },
    /// Crashes all processes and restarts them.
    #[serde(rename = "KillAll")]
    CrashAll {
        #[serde(rename = "down")]
        downtime: f64,
    },
    /// Powers all machines off and on again.
    #[serde(rename = "PowerAll")]
    PowerOffAll {
        #[serde(rename = "down")]
        downtime: f64,
    },
    /// Gracefully shuts down and restarts the processes one after the other.
    #[serde(rename = "Roll")]
    RollingRestart {
        #[serde(rename = "gap")]
        downtime: f64,
    },
    /// Slows one disk down: a sync takes `sync_duration`.
    #[serde(rename = "Slow")]
    SlowDisk {
        node: NodeId,
        #[serde(rename = "sync")]
        sync_duration: f64,
        seconds: f64,
    },
    /// Hangs one disk, which completes no write.
    #[serde(rename = "Hang")]
    HangDisk { node: NodeId, seconds: f64 },
    /// Permanently replaces the machine at a position by an empty one with another address, which joins `gap` later. A
    /// `planned` replacement joins first, and the old machine shuts down gracefully `gap` later. Waits until the tolerated
    /// losses allow it, and no longer.
    #[serde(rename = "Replace")]
    ReplaceMachine { node: NodeId, gap: f64, planned: bool },
    /// Loses the machine at a position, at the earliest time at which the tolerated losses allow it.
    #[serde(rename = "Lose")]
    LoseMachine { node: NodeId, loss: Loss, seconds: f64 },
    /// Loses the machine with the oldest disk, at the earliest time at which the tolerated losses allow it.
    LoseOldest { loss: Loss, seconds: f64 },
}

impl Step {
    /// The step with each position replaced by the machine at that position.
    pub fn resolve(&self, machine_at: impl Fn(NodeId) -> NodeId) -> Step {
        let mut step = self.clone();
        step.nodes_mut().into_iter().for_each(|node| *node = machine_at(*node));
        step
    }

    /// The positions that the step names.
    pub(super) fn nodes(&self) -> Vec<NodeId> {
        self.clone().nodes_mut().into_iter().map(|node| *node).collect()
    }

    fn nodes_mut(&mut self) -> Vec<&mut NodeId> {
        match self {
            Step::SubmitConflict { nodes: (first, second), .. } => vec![first, second],
            Step::PartitionLink { from, to, .. }
            | Step::FlapLink { from, to, .. }
            | Step::StallLink { from, to, .. } => vec![from, to],
            Step::ReplaceVoter { node, removed, added } => vec![node, removed, added],
            Step::SubmitConfiguration { node, .. }
            | Step::SubmitEvacuation { node, .. }
            | Step::Read { node, .. }
            | Step::Isolate { node, .. }
            | Step::StallOutgoing { node, .. }
            | Step::Pause { node, .. }
            | Step::Crash { node, .. }
            | Step::PowerOff { node, .. }
            | Step::LoseDisk { node, .. }
            | Step::SlowDisk { node, .. }
            | Step::HangDisk { node, .. }
            | Step::ReplaceMachine { node, .. }
            | Step::LoseMachine { node, .. } => vec![node],
            Step::Partition { .. }
            | Step::DegradeNetwork { .. }
            | Step::CrashAll { .. }
            | Step::PowerOffAll { .. }
            | Step::RollingRestart { .. }
            | Step::LoseOldest { .. } => Vec::new(),
        }
    }
}
