//! Which machines count as lost, and when one more may be.

use super::schedule::{Action, AfterShutdown};
use super::{POLL_INTERVAL, ScenarioRun};
use crate::fleet::Fleet;
use crate::scenario::Loss;
use archlink_messages::NodeId;

/// Seconds without faults after which a node has recovered from the loss of its disk.
const DISK_RECOVERY_DURATION: f64 = 8.0;
/// Seconds after the moment up to which a machine counts as lost.
const JUST_AFTER: f64 = 1e-3;

impl ScenarioRun {
    /// A machine counts as lost for so many seconds, and for `CatchUp` after them.
    pub(super) fn count_as_lost(&mut self, node: NodeId, seconds: f64) {
        let until = self.fleet.now + seconds + self.catch_up;
        let lost_until = self.lost_until.entry(node).or_insert(until);
        *lost_until = lost_until.max(until);
    }

    /// Waits until that machine may be lost on top of those that are, and no longer.
    fn wait_until_tolerated(&mut self, node: NodeId) {
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
            self.run(end - now + JUST_AFTER);
        }
    }

    /// Waits until no machine counts as lost: a rolling restart takes down one after the other.
    pub(super) fn wait_until_none_lost(&mut self) {
        let until = self.lost_until.values().copied().fold(self.fleet.now, f64::max);
        if self.fleet.catch_up < crate::fleet::CATCH_UP_DISABLED {
            self.run(until - self.fleet.now);
        }
    }

    /// While one machine hands over its place as a voter and another one is lost, no third fault hits all of them: two of
    /// three voters would be gone within a moment.
    pub(super) fn wait_for_departures(&mut self) {
        let is_any_lost = |run: &ScenarioRun| run.lost_until.values().any(|until| *until > run.fleet.now);
        while !self.is_violated() && self.schedule.actions().any(Action::is_departure) && is_any_lost(self) {
            self.run(POLL_INTERVAL);
        }
    }

    /// A machine that was not there before takes the position of another one.
    fn new_machine_for(&mut self, old: NodeId) -> NodeId {
        self.last_machine += 1;
        let new = self.last_machine;
        self.positions.iter_mut().filter(|machine| **machine == old).for_each(|machine| *machine = new);
        self.disk_since.insert(new, self.fleet.now);
        new
    }

    pub(super) fn replace_machine(&mut self, old: NodeId, gap: f64, planned: bool) {
        if planned { self.replace_gracefully(old, gap) } else { self.replace_lost(old, gap) }
    }

    /// The new machine comes first, then the old one shuts down gracefully.
    fn replace_gracefully(&mut self, old: NodeId, gap: f64) {
        let new = self.new_machine_for(old);
        self.wait_until_tolerated(new);
        self.fleet.join(new);
        self.count_as_lost(new, 0.0);
        self.run(gap);
        // The new machine has had its time to catch up; the old one counts as lost no more.
        self.wait_until_tolerated(old);
        self.lost_until.remove(&old);
        self.perform(Action::ShutDown { node: old, then: AfterShutdown::Decommission });
    }

    /// The old machine is lost, and the new one comes `gap` seconds later.
    fn replace_lost(&mut self, old: NodeId, gap: f64) {
        self.wait_until_tolerated(old);
        self.fleet.decommission(old);
        self.lost_until.remove(&old);
        let new = self.new_machine_for(old);
        self.schedule(gap, Action::Join(new));
        self.count_as_lost(new, gap);
    }

    pub(super) fn lose_machine(&mut self, node: NodeId, loss: Loss, seconds: f64) {
        self.wait_until_tolerated(node);
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

    /// Loses the machine whose disk has lasted longest; of several the first voter.
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

    /// A fault lasts for so many seconds from now; recovery from a lost disk begins anew after it.
    pub(super) fn fault_for(&mut self, seconds: f64) {
        self.faults_until = self.faults_until.max(self.fleet.now + seconds);
        let until = self.faults_until;
        self.recovering_since.values_mut().for_each(|since| *since = since.max(until));
    }

    /// Loses a disk, unless as many are lost already as the voters tolerate.
    pub(super) fn lose_disk(&mut self, node: NodeId, downtime: f64) {
        if !self.tolerates_disk_loss(node) {
            return;
        }
        self.fleet.power_off(node, true);
        self.schedule(downtime, Action::Start(node));
        self.fault_for(downtime);
        self.recovering_since.insert(node, self.faults_until);
    }

    fn tolerates_disk_loss(&mut self, node: NodeId) -> bool {
        let now = self.fleet.now;
        self.recovering_since.retain(|_, since| now < *since + DISK_RECOVERY_DURATION);
        // Before the first change of the voters, or after one that was undone, there are fewer voters than required.
        let voters = self.fleet.live.values().map(|control| control.voter_set().voters.len());
        let fewest_voters = voters.filter(|&voters| voters > 0).min().unwrap_or(0).max(1);
        let tolerated = self.size.tolerated_losses().min((fewest_voters - 1) / 2);
        self.recovering_since.contains_key(&node) || self.recovering_since.len() < tolerated
    }
}
