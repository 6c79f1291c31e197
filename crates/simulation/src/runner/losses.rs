//! Tracks which machines count as lost, and delays a further loss until the fleet tolerates it.

use super::schedule::{Action, AfterShutdown};
use super::{POLL_INTERVAL, ScenarioRun};
use crate::fleet::Fleet;
use crate::scenario::Loss;
use archlink_messages::NodeId;

/// Seconds without faults within which a node recovers from the loss of its disk.
const DISK_RECOVERY_DURATION: f64 = 8.0;
/// Seconds to wait beyond the end of a loss: a machine still counts as lost at that very moment.
const LOSS_EXPIRY_MARGIN: f64 = 1e-3;

impl ScenarioRun {
    /// Counts a machine as lost for `seconds` and for another `CatchUp` after that.
    pub(super) fn count_as_lost(&mut self, node: NodeId, seconds: f64) {
        let until = self.fleet.now + seconds + self.catch_up;
        let lost_until = self.lost_until.entry(node).or_insert(until);
        *lost_until = lost_until.max(until);
    }

    /// Waits until the loss of `node` is tolerated in addition to the present losses, and no longer.
    fn wait_until_loss_is_tolerated(&mut self, node: NodeId) {
        loop {
            let now = self.fleet.now;
            let other_losses =
                self.lost_until.iter().filter(|(lost, until)| **lost != node && **until >= now);
            let mut ends: Vec<f64> = other_losses.map(|(_, until)| *until).collect();
            let tolerated = self.size.tolerated_losses();
            if ends.len() < tolerated || self.is_violated() {
                return;
            }
            ends.sort_by(f64::total_cmp);
            let end = ends[ends.len() - tolerated];
            self.run(end - now + LOSS_EXPIRY_MARGIN);
        }
    }

    /// Waits until no machine counts as lost, because a rolling restart stops one machine after the other. Doesn't wait where
    /// automatic replacement of voters is disabled.
    pub(super) fn wait_until_none_lost(&mut self) {
        let until = self.lost_until.values().copied().fold(self.fleet.now, f64::max);
        if self.fleet.catch_up < crate::fleet::CATCH_UP_DISABLED {
            self.run(until - self.fleet.now);
        }
    }

    /// Waits while a departing machine hands over its voter role and another machine is lost. A fault that hits all machines
    /// at that moment would leave only one of three voters.
    pub(super) fn wait_for_departures(&mut self) {
        let is_any_lost = |run: &ScenarioRun| run.lost_until.values().any(|until| *until > run.fleet.now);
        while !self.is_violated() && self.schedule.actions().any(Action::is_departure) && is_any_lost(self) {
            self.run(POLL_INTERVAL);
        }
    }

    /// Assigns a new machine to the position of `old` and returns it.
    fn assign_new_machine(&mut self, old: NodeId) -> NodeId {
        self.last_machine += 1;
        let new = self.last_machine;
        self.positions.iter_mut().filter(|machine| **machine == old).for_each(|machine| *machine = new);
        self.disk_since.insert(new, self.fleet.now);
        new
    }

    pub(super) fn replace_machine(&mut self, old: NodeId, gap: f64, planned: bool) {
        if planned { self.replace_gracefully(old, gap) } else { self.replace_lost(old, gap) }
    }

    /// Adds the new machine first; the old one shuts down gracefully `gap` seconds later.
    fn replace_gracefully(&mut self, old: NodeId, gap: f64) {
        let new = self.assign_new_machine(old);
        self.wait_until_loss_is_tolerated(new);
        self.fleet.join(new);
        self.count_as_lost(new, 0.0);
        self.run(gap);
        // By now the new machine has had time to catch up, so the old one no longer counts as lost.
        self.wait_until_loss_is_tolerated(old);
        self.lost_until.remove(&old);
        self.perform(Action::ShutDown { node: old, then: AfterShutdown::Decommission });
    }

    /// Removes the old machine at once; the new one joins `gap` seconds later.
    fn replace_lost(&mut self, old: NodeId, gap: f64) {
        self.wait_until_loss_is_tolerated(old);
        self.fleet.decommission(old);
        self.lost_until.remove(&old);
        let new = self.assign_new_machine(old);
        self.schedule(gap, Action::Join(new));
        self.count_as_lost(new, gap);
    }

    pub(super) fn lose_machine(&mut self, node: NodeId, loss: Loss, seconds: f64) {
        self.wait_until_loss_is_tolerated(node);
        self.count_as_lost(node, seconds);
        match loss {
            Loss::Disk => {
                self.fleet.power_off(node, true);
                self.disk_since.insert(node, self.fleet.now);
                self.schedule(seconds, Action::Start(node));
            }
            Loss::PowerOff => self.stop(node, seconds, Fleet::power_off),
            Loss::Crash => self.stop(node, seconds, Fleet::kill),
            Loss::Pause => self.pause(node, seconds),
            Loss::Isolation => self.isolate(node, seconds),
            Loss::DiskHang => self.hang_disk(node, seconds),
        }
    }

    /// Loses the machine with the oldest disk; among equally old ones the first voter.
    pub(super) fn lose_oldest(&mut self, loss: Loss, seconds: f64) {
        let is_voter =
            |node: &NodeId| self.fleet.live.values().any(|control| control.voter_set().contains(*node));
        let since = |node: &NodeId| self.disk_since.get(node).copied().unwrap_or(f64::NEG_INFINITY);
        let by_age =
            |a: &&NodeId, b: &&NodeId| since(a).total_cmp(&since(b)).then(is_voter(b).cmp(&is_voter(a)));
        if let Some(&oldest) = self.positions.iter().min_by(by_age) {
            self.lose_machine(oldest, loss, seconds);
        }
    }

    /// Notes a fault that lasts for `seconds` from now. The time allowed for recovery from a lost disk starts over after it.
    pub(super) fn extend_fault_period(&mut self, seconds: f64) {
        self.faults_until = self.faults_until.max(self.fleet.now + seconds);
        let until = self.faults_until;
        self.recovering_since.values_mut().for_each(|since| *since = since.max(until));
    }

    /// Loses a disk, unless the voters already have as many lost disks as they tolerate.
    pub(super) fn lose_disk(&mut self, node: NodeId, downtime: f64) {
        if !self.tolerates_disk_loss(node) {
            return;
        }
        self.fleet.power_off(node, true);
        self.schedule(downtime, Action::Start(node));
        self.extend_fault_period(downtime);
        self.recovering_since.insert(node, self.faults_until);
    }

    fn tolerates_disk_loss(&mut self, node: NodeId) -> bool {
        let now = self.fleet.now;
        self.recovering_since.retain(|_, since| now < *since + DISK_RECOVERY_DURATION);
        // There are fewer voters than required before the first membership change, or after one was undone.
        let voters = self.fleet.live.values().map(|control| control.voter_set().voters.len());
        let fewest_voters = voters.filter(|&voters| voters > 0).min().unwrap_or(0).max(1);
        let tolerated = self.size.tolerated_losses().min((fewest_voters - 1) / 2);
        self.recovering_since.contains_key(&node) || self.recovering_since.len() < tolerated
    }
}
