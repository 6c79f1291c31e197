//! Checks that the fleet recovers once all faults have ended after the last step: every node has the latest state, confirmed
//! by a quorum; all nodes agree on the voters and on the lease holders; and each node commits an operation.

use super::schedule::Action;
use super::{OPERATION_TIMEOUT, POLL_INTERVAL, ScenarioRun, sync_duration};
use crate::invariants::{Operation, Violation};
use crate::scenario::Scenario;
use archlink_consensus::Outcome;
use archlink_control_node::node::ControlNodeState;
use archlink_messages::{NodeId, REGISTERS, Register, SINGLETON_ROLES, decode_evacuated_zones};
use std::collections::BTreeMap;

/// Seconds after the end of all faults within which the fleet must recover.
const RECOVERY_DURATION: f64 = 10.0;
/// Additional seconds for a membership change that is in progress at that point.
const MEMBERSHIP_CHANGE_DURATION: f64 = 20.0;
/// Seconds after the end of a membership change within which all nodes must know its result.
const PROPAGATION_DURATION: f64 = 1.0;
/// Seconds between two checks while the fleet converges.
const RECHECK_INTERVAL: f64 = 0.5;
/// Maximum age, in seconds, of the last confirmation of a node's state by a quorum.
const MAX_CONFIRMATION_AGE: f64 = 1.5;

/// The last evacuation operation on a zone.
#[derive(Clone, Copy)]
struct LastEvacuation {
    /// Simulated time by which this operation and all earlier ones on the zone had ended.
    ended: f64,
    /// Whether the operation was acknowledged and no earlier one was still open when it was submitted. Of overlapping
    /// operations, or of those with an unknown outcome, either may have been applied last.
    is_certain: bool,
    evacuated: bool,
}

impl ScenarioRun {
    /// Ends all faults and checks that the fleet recovers.
    pub(super) fn check_recovery(&mut self, scenario: &Scenario) {
        self.finish_replacements();
        self.end_faults(scenario);
        self.run(RECOVERY_DURATION);
        self.wait_for_convergence();
        for node in self.positions.clone() {
            self.check_commit(node);
        }
        self.wait_for_convergence();
    }

    /// Lets machine replacements in progress finish: the departing machine shuts down gracefully and its successor joins.
    fn finish_replacements(&mut self) {
        let is_pending = |action: &Action| matches!(action, Action::Join(_)) || action.is_departure();
        while !self.is_violated() && self.schedule.actions().any(is_pending) {
            self.run(POLL_INTERVAL);
        }
    }

    /// Kills the nodes that are shutting down or about to crash, heals the network, and starts all nodes. Of the scheduled
    /// actions only the timeouts of callers remain.
    fn end_faults(&mut self, scenario: &Scenario) {
        for action in self.schedule.actions() {
            if let Action::Crash { node, .. }
            | Action::ShutDown { node, .. }
            | Action::FinishShutdown { node, .. } = *action
            {
                self.fleet.kill(node, false);
            }
        }
        self.schedule.retain(|action| matches!(action, Action::Withdraw { .. }));
        self.fleet.heal();
        for node in self.positions.clone() {
            self.fleet.set_sync(node, sync_duration(scenario, node));
            self.fleet.start(node, false);
        }
    }

    /// Checks that a node commits a configuration.
    fn check_commit(&mut self, node: NodeId) {
        self.max_version += 1;
        let token = self.submit_configuration(node, self.max_version, OPERATION_TIMEOUT);
        self.run(OPERATION_TIMEOUT);
        let outcome = self.fleet.done.get(&token).copied();
        if outcome != Some(Outcome::Chosen) {
            self.fleet.record(Err(Violation::OperationNotCommitted { token, node, outcome }));
        }
    }

    /// Checks that the fleet has converged, or does so soon after a membership change in progress has ended.
    fn wait_for_convergence(&mut self) {
        let deadline = self.fleet.now + MEMBERSHIP_CHANGE_DURATION;
        let mut propagated_by = self.fleet.now + PROPAGATION_DURATION;
        let is_changing = |control: &ControlNodeState| control.voter_set().is_joint();
        while !self.is_violated() {
            let checked = self.check_convergence();
            let now = self.fleet.now;
            if self.fleet.live.values().any(is_changing) {
                propagated_by = now + PROPAGATION_DURATION;
            }
            match checked {
                Ok(()) => return,
                Err(violation) if now >= deadline || now >= propagated_by => {
                    self.fleet.record(Err(violation));
                }
                Err(_) => self.run(RECHECK_INTERVAL),
            }
        }
    }

    /// Checks that all nodes agree on state, voters and lease holders, and that no acknowledged evacuation is lost.
    fn check_convergence(&self) -> Result<(), Violation> {
        for (node, control) in &self.fleet.live {
            self.check_state(*node, control)?;
            self.check_voter_set(*node, control)?;
        }
        for role in SINGLETON_ROLES {
            let (holder, agreed) = (self.fleet.holder(role), self.fleet.agreed(role));
            if agreed.is_none() || agreed != holder {
                return Err(Violation::LeaseNotAgreed { role, holder, agreed });
            }
        }
        self.check_evacuations()
    }

    /// Checks that a node has the latest value of each register and that a quorum has confirmed it lately.
    fn check_state(&self, node: NodeId, control: &ControlNodeState) -> Result<(), Violation> {
        let acknowledged = self.fleet.checks.acknowledged();
        let revision =
            control.proposer.committed(Register::Configuration).map_or(0, |chosen| chosen.revision);
        if revision < acknowledged {
            return Err(Violation::AcknowledgedConfigurationMissing { node, revision, acknowledged });
        }
        for register in REGISTERS {
            let value = control.proposer.committed(register).map(|chosen| &chosen.value);
            let latest = self.fleet.checks.histories.get(&register).and_then(|history| history.latest());
            if value != latest.map(|latest| &latest.value) {
                let (value, latest) = (value.cloned(), latest.cloned());
                return Err(Violation::NotLatest { node, register, value, latest });
            }
            let oldest = self.fleet.clock(node) - MAX_CONFIRMATION_AGE;
            if !control.proposer.confirmed(register).is_some_and(|at| at > oldest) {
                return Err(Violation::NotConfirmed { node, register });
            }
        }
        Ok(())
    }

    /// Checks that no membership change is in progress, all nodes agree on the voters, and each voter has recovered.
    fn check_voter_set(&self, node: NodeId, control: &ControlNodeState) -> Result<(), Violation> {
        let adopted = control.voter_set();
        let first = self.fleet.live.values().next().map(ControlNodeState::voter_set);
        if let Some(other) = first.filter(|first| *first != adopted || adopted.is_joint()) {
            let (adopted, other) = (Box::new(adopted.clone()), Box::new(other.clone()));
            return Err(Violation::VoterSetsDiffer { node, adopted, other });
        }
        if adopted.contains(node) && !control.acceptor.is_recovered() {
            return Err(Violation::VoterNotRecovered { node });
        }
        Ok(())
    }

    /// Checks that the committed state reflects the last operation on each zone, where it is certain which one was last.
    fn check_evacuations(&self) -> Result<(), Violation> {
        let history = self.fleet.checks.histories.get(&Register::Evacuations);
        let latest = history.and_then(|history| history.latest());
        let committed = latest.map(|latest| decode_evacuated_zones(&latest.value)).unwrap_or_default();
        for (zone, last) in self.last_evacuations() {
            if last.is_certain && committed.contains(zone) != last.evacuated {
                let (zone, evacuated) = (zone.to_string(), last.evacuated);
                return Err(Violation::EvacuationLost { zone, evacuated, committed });
            }
        }
        Ok(())
    }

    /// The last finished operation on each zone.
    fn last_evacuations(&self) -> BTreeMap<&str, LastEvacuation> {
        let mut last: BTreeMap<&str, LastEvacuation> = BTreeMap::new();
        for submitted in self.fleet.checks.operations.values() {
            let (Operation::Evacuation { zone, evacuated }, Some(resolution)) =
                (&submitted.operation, submitted.resolution)
            else {
                continue;
            };
            let before = last.get(zone.as_str()).map(|before| before.ended);
            let is_certain = resolution.outcome == Outcome::Chosen
                && before.is_none_or(|before_ended| before_ended < submitted.at);
            let ended = before.map_or(resolution.at, |before_ended| resolution.at.max(before_ended));
            last.insert(zone, LastEvacuation { ended, is_certain, evacuated: *evacuated });
        }
        last
    }
}
