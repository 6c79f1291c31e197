//! Applies the steps of a scenario to the fleet.

use super::schedule::{Action, AfterShutdown};
use super::{MAX_SHUTDOWN_DURATION, MIN_SHUTDOWN_DURATION, OPERATION_TIMEOUT, ScenarioRun};
use crate::fleet::Fleet;
use crate::fleet::network::Net;
use crate::scenario::Step;
use archlink_consensus::MembershipChange;
use archlink_messages::NodeId;

impl ScenarioRun {
    /// Applies a step whose positions were resolved to machines.
    pub(super) fn apply(&mut self, step: &Step) {
        match *step {
            Step::SubmitConfiguration { node, version_offset, timeout } => {
                self.submit_version(node, version_offset, timeout);
            }
            Step::SubmitConflict { nodes, delay } => self.submit_conflict(nodes, delay),
            Step::SubmitEvacuation { node, zone, evacuated, timeout } => {
                self.submit_evacuation(node, zone, evacuated, timeout);
            }
            Step::ReplaceVoter { node, removed, added } => self.replace_voter(node, removed, added),
            Step::Read { node, interval, seconds } => self.read(node, interval, seconds),
            Step::PartitionLink { from, to, seconds } => self.partition_link(from, to, seconds),
            Step::Isolate { node, seconds } => self.isolate(node, seconds),
            Step::Partition { side_mask, seconds } => self.partition(side_mask, seconds),
            Step::FlapLink { from, to, period, times } => self.flap_link(from, to, period, times),
            Step::StallLink { from, to, seconds } => self.stall_links(from, to..=to, seconds),
            Step::StallOutgoing { node, seconds } => {
                let peers = self.fleet.nodes().filter(|&peer| peer != node);
                self.stall_links(node, peers, seconds);
            }
            Step::DegradeNetwork { lost, duplicated, delayed, max_delay, seconds } => {
                let net = Net { lost, duplicated, delayed, max_delay, ..self.fleet.net };
                self.degrade_network(net, seconds);
            }
            Step::Pause { node, seconds } => self.pause(node, seconds),
            Step::Crash { node, downtime } => self.stop(node, downtime, Fleet::kill),
            Step::PowerOff { node, downtime } => self.stop(node, downtime, Fleet::power_off),
            Step::LoseDisk { node, downtime } => self.lose_disk(node, downtime),
            Step::CrashAll { downtime } => self.stop_all(downtime, Fleet::kill),
            Step::PowerOffAll { downtime } => self.stop_all(downtime, Fleet::power_off),
            Step::RollingRestart { downtime } => self.rolling_restart(downtime),
            Step::SlowDisk { node, sync_duration, seconds } => self.slow_disk(node, sync_duration, seconds),
            Step::HangDisk { node, seconds } => self.hang_disk(node, seconds),
            Step::ReplaceMachine { node, gap, planned } => self.replace_machine(node, gap, planned),
            Step::LoseMachine { node, loss, seconds } => self.lose_machine(node, loss, seconds),
            Step::LoseOldest { loss, seconds } => self.lose_oldest(loss, seconds),
        }
    }

    fn submit_version(&mut self, node: NodeId, version_offset: i8, timeout: f64) {
        let version = self.max_version.saturating_add_signed(version_offset.into()).max(1);
        self.max_version = self.max_version.max(version);
        self.submit_configuration(node, version, timeout);
    }

    /// Submits two different configurations under one version.
    fn submit_conflict(&mut self, (first, second): (NodeId, NodeId), delay: f64) {
        self.max_version += 1;
        let version = self.max_version;
        self.submit_configuration(first, version, OPERATION_TIMEOUT);
        self.schedule(delay, Action::SubmitConflict { node: second, version });
    }

    fn submit_evacuation(&mut self, node: NodeId, zone: u8, evacuated: bool, timeout: f64) {
        let token = self.next_token();
        self.fleet.evacuate(node, token, &format!("zone{zone}"), evacuated);
        self.schedule(timeout, Action::Withdraw { node, token });
    }

    fn replace_voter(&mut self, node: NodeId, removed: NodeId, added: NodeId) {
        let token = self.next_token();
        self.fleet.change_membership(node, token, MembershipChange::Replace { old: removed, new: added });
    }

    fn read(&mut self, node: NodeId, interval: f64, seconds: f64) {
        let until = self.fleet.now + seconds;
        self.perform(Action::Read { node, interval, until });
    }

    fn partition_link(&mut self, from: NodeId, to: NodeId, seconds: f64) {
        self.fleet.cut_for(from, to, seconds);
        self.extend_fault_period(seconds);
    }

    pub(super) fn isolate(&mut self, node: NodeId, seconds: f64) {
        for peer in self.fleet.nodes() {
            self.fleet.cut_for(node, peer, seconds);
            self.fleet.cut_for(peer, node, seconds);
        }
        self.extend_fault_period(seconds);
    }

    /// Partitions the machines whose positions have their bit set in `side_mask` from the others.
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
        self.extend_fault_period(seconds);
    }

    fn flap_link(&mut self, from: NodeId, to: NodeId, period: f64, times: u8) {
        for cycle in 0..times {
            let failure = Action::PartitionLink { from, to, seconds: period };
            self.schedule(2.0 * period * f64::from(cycle), failure);
        }
        self.extend_fault_period(2.0 * period * f64::from(times));
    }

    /// Stalls the links from one node to the given peers.
    fn stall_links(&mut self, from: NodeId, peers: impl Iterator<Item = NodeId>, seconds: f64) {
        for peer in peers {
            self.fleet.stall_link(from, peer, seconds);
        }
        self.extend_fault_period(seconds);
    }

    fn degrade_network(&mut self, net: Net, seconds: f64) {
        self.fleet.net = net;
        self.schedule(seconds, Action::SetNetwork(Net::default()));
        self.extend_fault_period(seconds);
    }

    pub(super) fn pause(&mut self, node: NodeId, seconds: f64) {
        self.fleet.freeze(node, seconds);
        self.extend_fault_period(seconds);
    }

    /// Stops a node and restarts it `downtime` seconds later.
    pub(super) fn stop(&mut self, node: NodeId, downtime: f64, stop: impl Fn(&mut Fleet, NodeId, bool)) {
        stop(&mut self.fleet, node, false);
        self.schedule(downtime, Action::Start(node));
        self.extend_fault_period(downtime);
    }

    /// Stops all nodes at once and restarts them `downtime` seconds later.
    fn stop_all(&mut self, downtime: f64, stop: impl Fn(&mut Fleet, NodeId, bool)) {
        self.wait_for_departures();
        for node in self.positions.clone() {
            stop(&mut self.fleet, node, false);
            self.schedule(downtime, Action::Start(node));
            self.count_as_lost(node, downtime);
        }
        self.extend_fault_period(downtime);
    }

    /// Gracefully shuts down and restarts the processes one after the other.
    fn rolling_restart(&mut self, downtime: f64) {
        self.wait_until_none_lost();
        let per_node = downtime + MIN_SHUTDOWN_DURATION;
        for (index, node) in self.positions.clone().into_iter().enumerate() {
            let after = index as f64 * per_node;
            self.schedule(after, Action::ShutDown { node, then: AfterShutdown::Restart { downtime } });
            self.count_as_lost(node, after + MAX_SHUTDOWN_DURATION + downtime);
        }
        self.extend_fault_period(self.positions.len() as f64 * per_node + MAX_SHUTDOWN_DURATION);
    }

    fn slow_disk(&mut self, node: NodeId, sync_duration: f64, seconds: f64) {
        let before = self.fleet.disks.get(&node).map_or(0.0, |disk| disk.sync);
        self.fleet.set_sync(node, sync_duration);
        self.schedule(seconds, Action::SetSyncDuration { node, seconds: before });
        self.extend_fault_period(seconds);
    }

    pub(super) fn hang_disk(&mut self, node: NodeId, seconds: f64) {
        self.fleet.hang(node, seconds);
        self.extend_fault_period(seconds);
    }
}
