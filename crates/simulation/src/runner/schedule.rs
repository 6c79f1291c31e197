//! Actions that earlier steps scheduled for later.

use crate::fleet::network::Net;
use archlink_messages::NodeId;

/// An action that the runner performs at a given simulated time.
#[derive(Clone, Debug)]
pub(super) enum Action {
    Start(NodeId),
    /// Begins the graceful shutdown of a process.
    ShutDown {
        node: NodeId,
        then: AfterShutdown,
    },
    /// Ends the process once its shutdown may finish, and at `deadline` (simulated time in seconds) in any case.
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
    /// Reads at an interval, until the given simulated time.
    Read {
        node: NodeId,
        interval: f64,
        until: f64,
    },
    /// The caller of an operation gives up waiting.
    Withdraw {
        node: NodeId,
        token: u64,
    },
    /// Submits the second of two configurations under one version.
    SubmitConflict {
        node: NodeId,
        version: u64,
    },
}

/// What happens to a machine after its process has shut down gracefully.
#[derive(Clone, Copy, Debug)]
pub(super) enum AfterShutdown {
    /// The process restarts after `downtime` seconds.
    Restart { downtime: f64 },
    /// The machine is removed permanently.
    Decommission,
}

impl Action {
    /// Whether the action is part of a graceful shutdown that ends with the machine's decommissioning.
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

/// Scheduled actions. Those due at the same time are performed in the order in which they were scheduled.
#[derive(Clone, Debug, Default)]
pub(super) struct Schedule(Vec<Scheduled>);

impl Schedule {
    pub(super) fn push(&mut self, at: f64, action: Action) {
        self.0.push(Scheduled { at, action });
    }

    /// Removes the next action due by `until` and returns it with its time.
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
