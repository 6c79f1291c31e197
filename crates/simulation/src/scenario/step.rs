//! The steps of a scenario. Each `rename` is the name in files of the first version.

use archlink_messages::NodeId;
use serde::{Deserialize, Serialize};

/// What befalls a machine that counts as lost: from the beginning until `CatchUp` after the machine is back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Loss {
    /// Machine and disk are lost, and it comes back with an empty disk.
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
    /// All links from and to it are partitioned.
    #[serde(rename = "Isolate")]
    Isolation,
    /// Its disk completes no write.
    #[serde(rename = "Hang")]
    DiskHang,
}

/// One step. Nodes are named by position; durations and intervals are in seconds, parts from 0 to 1.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[expect(missing_docs, reason = "the fields are what the variant's comment names")]
pub enum Step {
    /// A configuration is submitted, its version so far above the highest submitted before; its caller waits for `timeout`.
    #[serde(rename = "Chart")]
    SubmitConfiguration {
        node: NodeId,
        #[serde(rename = "above")]
        version_offset: i8,
        #[serde(rename = "patience")]
        timeout: f64,
    },
    /// Two configurations are submitted under one version through two nodes, the second after `delay`.
    #[serde(rename = "Race")]
    SubmitConflict {
        nodes: (NodeId, NodeId),
        #[serde(rename = "gap")]
        delay: f64,
    },
    /// The evacuation of a zone begins or ends; its caller waits for `timeout`.
    #[serde(rename = "Zone")]
    SubmitEvacuation {
        node: NodeId,
        zone: u8,
        #[serde(rename = "on")]
        evacuated: bool,
        #[serde(rename = "patience")]
        timeout: f64,
    },
    /// `new` takes the place of the voter `old`.
    #[serde(rename = "Reseat")]
    ReplaceVoter {
        node: NodeId,
        #[serde(rename = "old")]
        removed: NodeId,
        #[serde(rename = "new")]
        added: NodeId,
    },
    /// Confirmed reads through a node at an interval.
    #[serde(rename = "Reads")]
    Read {
        node: NodeId,
        #[serde(rename = "every")]
        interval: f64,
        seconds: f64,
    },
    /// One direction of a link is partitioned.
    #[serde(rename = "Cut")]
    PartitionLink { from: NodeId, to: NodeId, seconds: f64 },
    /// All links from and to one node are partitioned.
    Isolate { node: NodeId, seconds: f64 },
    /// All links between nodes with a bit set and those without are partitioned; bit 0 is the first position's.
    #[serde(rename = "Split")]
    Partition {
        #[serde(rename = "bits")]
        side_mask: u8,
        seconds: f64,
    },
    /// One direction of a link fails for a period and works for a period, so many times.
    #[serde(rename = "Flap")]
    FlapLink { from: NodeId, to: NodeId, period: f64, times: u8 },
    /// Messages in one direction of a link wait and then arrive all at once.
    #[serde(rename = "Stall")]
    StallLink { from: NodeId, to: NodeId, seconds: f64 },
    /// The same on all links from one node.
    #[serde(rename = "Hold")]
    StallOutgoing { node: NodeId, seconds: f64 },
    /// Messages on all links are lost, duplicated and delayed.
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
    /// A process is paused.
    #[serde(rename = "Freeze")]
    Pause { node: NodeId, seconds: f64 },
    /// A process crashes and restarts.
    #[serde(rename = "Kill")]
    Crash {
        node: NodeId,
        #[serde(rename = "down")]
        downtime: f64,
    },
    /// A machine is powered off and on again.
    #[serde(rename = "Power")]
    PowerOff {
        node: NodeId,
        #[serde(rename = "down")]
        downtime: f64,
    },
    /// Machine and disk are lost, and an empty one comes back; left out where too many are lost already.
    #[serde(rename = "Wipe")]
    LoseDisk {
        node: NodeId,
        #[serde(rename = "down")]
        downtime: f64,
    },
    /// All processes crash and restart.
    #[serde(rename = "KillAll")]
    CrashAll {
        #[serde(rename = "down")]
        downtime: f64,
    },
    /// All machines are powered off and on again.
    #[serde(rename = "PowerAll")]
    PowerOffAll {
        #[serde(rename = "down")]
        downtime: f64,
    },
    /// Each process shuts down gracefully and restarts, one after the other.
    #[serde(rename = "Roll")]
    RollingRestart {
        #[serde(rename = "gap")]
        downtime: f64,
    },
    /// Syncs on one disk take `sync_duration`.
    #[serde(rename = "Slow")]
    SlowDisk {
        node: NodeId,
        #[serde(rename = "sync")]
        sync_duration: f64,
        seconds: f64,
    },
    /// One disk completes no write.
    #[serde(rename = "Hang")]
    HangDisk { node: NodeId, seconds: f64 },
    /// The machine at that position goes for good and an empty one with another address comes after `gap`; where that is
    /// planned it comes first and the old one shuts down gracefully `gap` later. Waits until the tolerated losses allow it,
    /// and no longer.
    #[serde(rename = "Replace")]
    ReplaceMachine { node: NodeId, gap: f64, planned: bool },
    /// A loss of the machine at that position, at the first moment at which it is allowed.
    #[serde(rename = "Lose")]
    LoseMachine { node: NodeId, loss: Loss, seconds: f64 },
    /// The same of the machine whose disk has lasted longest.
    LoseOldest { loss: Loss, seconds: f64 },
}

impl Step {
    /// The step with each position that it names replaced by the machine at that position.
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
