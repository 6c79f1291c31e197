//! What is still to come of earlier steps.

use crate::fleet::network::Net;
use archlink_messages::NodeId;

/// Something that the runner does at a moment of simulated time.
#[derive(Clone, Debug)]
pub(super) enum Action {
    Start(NodeId),
    /// A process is told to shut down gracefully.
    ShutDown {
        node: NodeId,
        then: AfterShutdown,
    },
    /// It ends once it may, and at `deadline` (simulated time in seconds) in any case.
    FinishShutdown {
        node: NodeId,
        then: AfterShutdown,
        deadline: f64,
    },
    Join(NodeId),
    Crash {
        node: NodeId,
        downtime: f64,
    },
    PartitionLink {
        from: NodeId,
        to: NodeId,
        seconds: f64,
    },
    SetSyncDuration {
        node: NodeId,
        seconds: f64,
    },
    SetNetwork(Net),
    /// Reads at an interval until a moment of simulated time.
    Read {
        node: NodeId,
        interval: f64,
        until: f64,
    },
    /// The caller of an operation gives up.
    Withdraw {
        node: NodeId,
        token: u64,
    },
    /// The second of two configurations under one version.
    SubmitConflict {
        node: NodeId,
        version: u64,
    },
}

/// What becomes of a machine whose process has shut down gracefully.
#[derive(Clone, Copy, Debug)]
pub(super) enum AfterShutdown {
    /// It starts again after so many seconds.
    Restart {
        downtime: f64,
    },
    Decommission,
}

impl Action {
    /// Whether it is part of a graceful shutdown after which the machine goes for good.
    pub(super) fn is_departure(&self) -> bool {
        matches!(
            self,
            Action::ShutDown { then: AfterShutdown::Decommission, .. }
                | Action::FinishShutdown { then: AfterShutdown::Decommission, .. }
        )
    }
}

#[derive(Clone, Debug)]
struct Scheduled {
    at: f64,
    action: Action,
}

/// Actions by time; those of one moment in the order in which they were scheduled.
#[derive(Clone, Debug, Default)]
pub(super) struct Schedule(Vec<Scheduled>);

impl Schedule {
    pub(super) fn push(&mut self, at: f64, action: Action) {
        self.0.push(Scheduled { at, action });
    }

    /// The next action that is due by `until`, and when.
    pub(super) fn pop_due(&mut self, until: f64) -> Option<(f64, Action)> {
        let earliest = self.0.iter().enumerate().min_by(|(_, a), (_, b)| a.at.total_cmp(&b.at));
        let (index, _) = earliest.filter(|(_, scheduled)| scheduled.at <= until)?;
        let Scheduled { at, action } = self.0.remove(index);
        Some((at, action))
    }

    pub(super) fn actions(&self) -> impl Iterator<Item = &Action> {
        self.0.iter().map(|scheduled| &scheduled.action)
    }

    pub(super) fn retain(&mut self, keep: impl Fn(&Action) -> bool) {
        self.0.retain(|scheduled| keep(&scheduled.action));
    }
}
