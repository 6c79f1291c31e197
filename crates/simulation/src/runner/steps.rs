//! What each step of a scenario does.

use super::schedule::{Action, AfterShutdown};
use super::{MAX_SHUTDOWN_DURATION, MIN_SHUTDOWN_DURATION, OPERATION_TIMEOUT, ScenarioRun};
use crate::fleet::Fleet;
use crate::fleet::network::Net;
use crate::scenario::Step;
use archlink_consensus::MembershipChange;
use archlink_messages::NodeId;

impl ScenarioRun {
    /// Applies a step, the nodes of which are machines.
    pub(super) fn apply(&mut self, step: &Step) {
        match *step {
            Step::SubmitConfiguration { .. }
            | Step::SubmitConflict { .. }
            | Step::SubmitEvacuation { .. }
            | Step::ReplaceVoter { .. }
            | Step::Read { .. } => self.apply_operation(step),
            Step::PartitionLink { .. }
            | Step::Isolate { .. }
            | Step::Partition { .. }
            | Step::FlapLink { .. }
            | Step::StallLink { .. }
            | Step::StallOutgoing { .. }
            | Step::DegradeNetwork { .. } => self.apply_network_fault(step),
            Step::Pause { .. }
            | Step::Crash { .. }
            | Step::PowerOff { .. }
            | Step::SlowDisk { .. }
            | Step::HangDisk { .. } => self.apply_machine_fault(step),
            Step::LoseDisk { node, downtime } => self.lose_disk(node, downtime),
            Step::CrashAll { downtime } => self.stop_all(downtime, Fleet::kill),
            Step::PowerOffAll { downtime } => self.stop_all(downtime, Fleet::power_off),
            Step::RollingRestart { downtime } => self.rolling_restart(downtime),
            Step::ReplaceMachine { node, gap, planned } => self.replace_machine(node, gap, planned),
            Step::LoseMachine { node, loss, seconds } => self.lose_machine(node, loss, seconds),
            Step::LoseOldest { loss, seconds } => self.lose_oldest(loss, seconds),
        }
    }

    fn apply_operation(&mut self, step: &Step) {
        match *step {
            Step::SubmitConfiguration { node, version_offset, timeout } => {
                let version = self.max_version.saturating_add_signed(version_offset.into()).max(1);
                self.max_version = self.max_version.max(version);
                self.submit_configuration(node, version, timeout);
            }
            Step::SubmitConflict { nodes: (first, second), delay } => {
                self.max_version += 1;
                let version = self.max_version;
                self.submit_configuration(first, version, OPERATION_TIMEOUT);
                self.schedule(delay, Action::SubmitConflict { node: second, version });
            }
            Step::SubmitEvacuation { node, zone, evacuated, timeout } => {
                let token = self.next_token();
                self.fleet.evacuate(node, token, &format!("zone{zone}"), evacuated);
                self.schedule(timeout, Action::Withdraw { node, token });
            }
            Step::ReplaceVoter { node, removed, added } => {
                let token = self.next_token();
                let change = MembershipChange::Replace { old: removed, new: added };
                self.fleet.reseat(node, token, change);
            }
            Step::Read { node, interval, seconds } => {
                let until = self.fleet.now + seconds;
                self.perform(Action::Read { node, interval, until });
            }
            _ => {}
        }
    }

    fn apply_network_fault(&mut self, step: &Step) {
        let duration = match *step {
            Step::PartitionLink { from, to, seconds } => {
                self.fleet.cut_for(from, to, seconds);
                seconds
            }
            Step::Isolate { node, seconds } => {
                for peer in self.fleet.nodes() {
                    self.fleet.cut_for(node, peer, seconds);
                    self.fleet.cut_for(peer, node, seconds);
                }
                seconds
            }
            Step::Partition { side_mask, seconds } => {
                self.partition(side_mask, seconds);
                seconds
            }
            Step::FlapLink { from, to, period, times } => {
                for cycle in 0..times {
                    let failure = Action::PartitionLink { from, to, seconds: period };
                    self.schedule(2.0 * period * f64::from(cycle), failure);
                }
                2.0 * period * f64::from(times)
            }
            Step::StallLink { from, to, seconds } => {
                self.fleet.stall_link(from, to, seconds);
                seconds
            }
            Step::StallOutgoing { node, seconds } => {
                for peer in self.fleet.nodes().filter(|&peer| peer != node) {
                    self.fleet.stall_link(node, peer, seconds);
                }
                seconds
            }
            Step::DegradeNetwork { lost, duplicated, delayed, max_delay, seconds } => {
                self.fleet.net = Net { lossy: lost, duplicated, delayed, max_delay, ..self.fleet.net };
                self.schedule(seconds, Action::SetNetwork(Net::default()));
                seconds
            }
            _ => return,
        };
        self.fault_for(duration);
    }

    /// Partitions the machines whose position's bit is set from the others.
    fn partition(&mut self, side_mask: u8, seconds: f64) {
        let side = |position: usize| side_mask >> position & 1;
        let machines: Vec<(usize, NodeId)> = self.positions.iter().copied().enumerate().collect();
        for &(from_position, from) in &machines {
            for &(to_position, to) in &machines {
                if side(from_position) != side(to_position) {
                    self.fleet.cut_for(from, to, seconds);
                }
            }
        }
    }

    fn apply_machine_fault(&mut self, step: &Step) {
        let duration = match *step {
            Step::Pause { node, seconds } => {
                self.fleet.freeze(node, seconds);
                seconds
            }
            Step::Crash { node, downtime } => {
                self.fleet.kill(node, false);
                self.schedule(downtime, Action::Start(node));
                downtime
            }
            Step::PowerOff { node, downtime } => {
                self.fleet.power_off(node, false);
                self.schedule(downtime, Action::Start(node));
                downtime
            }
            Step::SlowDisk { node, sync_duration, seconds } => {
                let before = self.fleet.disks.get(&node).map_or(0.0, |disk| disk.sync);
                self.fleet.set_sync(node, sync_duration);
                self.schedule(seconds, Action::SetSyncDuration { node, seconds: before });
                seconds
            }
            Step::HangDisk { node, seconds } => {
                self.fleet.hang(node, seconds);
                seconds
            }
            _ => return,
        };
        self.fault_for(duration);
    }

    /// Each process shuts down gracefully and restarts, one after the other.
    fn rolling_restart(&mut self, downtime: f64) {
        self.wait_until_none_lost();
        let per_node = downtime + MIN_SHUTDOWN_DURATION;
        for (index, node) in self.positions.clone().into_iter().enumerate() {
            let after = index as f64 * per_node;
            self.schedule(after, Action::ShutDown { node, then: AfterShutdown::Restart { downtime } });
            self.count_as_lost(node, after + MAX_SHUTDOWN_DURATION + downtime);
        }
        self.fault_for(self.positions.len() as f64 * per_node + MAX_SHUTDOWN_DURATION);
    }

    /// Stops all nodes at once; they start again `downtime` seconds later.
    fn stop_all(&mut self, downtime: f64, stop: impl Fn(&mut Fleet, NodeId, bool)) {
        self.wait_for_departures();
        for node in self.positions.clone() {
            stop(&mut self.fleet, node, false);
            self.schedule(downtime, Action::Start(node));
            self.count_as_lost(node, downtime);
        }
        self.fault_for(downtime);
    }
}
