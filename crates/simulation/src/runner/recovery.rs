//! After the last step all faults end, and the fleet has to recover: every node has the latest state, confirmed by a quorum,
//! all agree on the voters and on who holds which lease, and each commits an operation.

use super::schedule::Action;
use super::{OPERATION_TIMEOUT, POLL_INTERVAL, ScenarioRun, sync_duration};
use crate::invariants::{Operation, Violation};
use crate::scenario::Scenario;
use archlink_consensus::Outcome;
use archlink_control_node::node::ControlNodeState;
use archlink_messages::{NodeId, REGISTERS, Register, SINGLETON_ROLES, decode_evacuated_zones};
use std::collections::BTreeMap;

/// Seconds after the last fault in which the fleet has to recover.
const RECOVERY_DURATION: f64 = 10.0;
/// Seconds that a change of the voters that is under way by then may take beyond that.
const MEMBERSHIP_CHANGE_DURATION: f64 = 20.0;
/// Seconds after the end of that change until all nodes know of it.
const PROPAGATION_DURATION: f64 = 1.0;
/// Seconds between two checks meanwhile.
const RECHECK_INTERVAL: f64 = 0.5;
/// Seconds by which the last confirmation of a node's state by a quorum may lie back.
const MAX_CONFIRMATION_AGE: f64 = 1.5;

/// The last operation on a zone.
#[derive(Clone, Copy)]
struct LastEvacuation {
    /// When all operations on the zone up to this one had ended.
    ended: f64,
    /// Whether it was acknowledged and no earlier one was still open: of operations that overlap, or whose outcome is
    /// unknown, either may be the last one.
    is_certain: bool,
    evacuated: bool,
}

impl ScenarioRun {
    /// Ends all faults and checks that the fleet recovers.
    pub(super) fn check_recovery(&mut self, scenario: &Scenario) {
        self.finish_replacements();
        self.end_faults(scenario);
        self.run(RECOVERY_DURATION);
        self.check_convergence();
        for node in self.positions.clone() {
            self.check_commit(node);
        }
        self.check_convergence();
    }

    /// A machine that goes for good does so gracefully, and its successor comes.
    fn finish_replacements(&mut self) {
        let is_pending = |action: &Action| matches!(action, Action::Join(_)) || action.is_departure();
        while !self.is_violated() && self.schedule.actions().any(is_pending) {
            self.run(POLL_INTERVAL);
        }
    }

    /// Nodes that are on their way down go down, then all that are down start. Only callers still give up later.
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

    /// A node commits a configuration.
    fn check_commit(&mut self, node: NodeId) {
        self.max_version += 1;
        let token = self.submit_configuration(node, self.max_version, OPERATION_TIMEOUT);
        self.run(OPERATION_TIMEOUT);
        let outcome = self.fleet.done.get(&token).copied();
        if outcome != Some(Outcome::Chosen) {
            self.fleet.record(Err(Violation::OperationNotCommitted { token, node, outcome }));
        }
    }

    /// The fleet has converged, or does so once a change of the voters that is under way has ended.
    fn check_convergence(&mut self) {
        let deadline = self.fleet.now + MEMBERSHIP_CHANGE_DURATION;
        let mut propagated_by = self.fleet.now + PROPAGATION_DURATION;
        let is_changing = |control: &ControlNodeState| control.voter_set().is_joint();
        while !self.is_violated() {
            let checked = self.convergence();
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

    fn convergence(&self) -> Result<(), Violation> {
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

    /// A node has the latest value of each register, confirmed by a quorum.
    fn check_state(&self, node: NodeId, control: &ControlNodeState) -> Result<(), Violation> {
        let acknowledged = self.fleet.checks.acknowledged();
        let revision =
            control.proposer.committed(Register::Configuration).map_or(0, |chosen| chosen.revision);
        if revision < acknowledged {
            return Err(Violation::AcknowledgedConfigurationMissing { node, revision, acknowledged });
        }
        for register in REGISTERS {
            let value = control.proposer.committed(register).map(|chosen| &chosen.value);
            let latest = self.fleet.checks.lines.get(&register).and_then(|history| history.latest());
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

    /// No change of the voters is under way, all agree on them, and those that vote have recovered.
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

    /// The last operation on each zone is what is committed, where it is certain which one that is.
    fn check_evacuations(&self) -> Result<(), Violation> {
        let history = self.fleet.checks.lines.get(&Register::Evacuations);
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

    /// The last operation on each zone that has ended.
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
