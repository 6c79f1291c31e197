//! Runs a scenario: each step at its time, the scheduled end of each fault, and finally a period without faults in which the
//! fleet must recover.
//!
//! Invariant: no more disks are lost at once than the fleet is designed to tolerate.

mod losses;
mod recovery;
mod schedule;
mod steps;

use crate::fleet::Fleet;
use crate::scenario::{Scenario, Size};
use archlink_control_node::node::ControlNodeState;
use archlink_messages::NodeId;
use schedule::{Action, AfterShutdown, Schedule};
use std::collections::BTreeMap;

/// Seconds between the start of all nodes and the delay before the first step.
const WARM_UP: f64 = 1.0;
/// Minimum seconds of a graceful shutdown, as in `control-plane`.
const MIN_SHUTDOWN_DURATION: f64 = 0.5;
/// Maximum seconds of a graceful shutdown, during which another voter replaces the departing one, as in `control-plane`.
const MAX_SHUTDOWN_DURATION: f64 = 5.1;
/// Seconds between two checks of a condition that the runner waits for.
const POLL_INTERVAL: f64 = 0.05;
/// Seconds that the caller of an operation waits unless the step states a timeout. Without faults, an operation is
/// acknowledged within this time.
const OPERATION_TIMEOUT: f64 = 2.0;

/// How a scenario ended.
#[derive(Clone, Debug, PartialEq)]
pub struct RunReport {
    /// The first violation, and when it was found.
    pub violation: Option<String>,
    /// Simulated seconds.
    pub seconds: f64,
    /// Steps that nodes took.
    pub steps: u64,
    /// Trace of the run, one event per line; empty unless requested.
    pub trace: Vec<String>,
}

struct ScenarioRun {
    fleet: Fleet,
    schedule: Schedule,
    size: Size,
    /// `CatchUp` in seconds by which the runner counts losses, also where the scenario sets another one for the nodes.
    catch_up: f64,
    last_token: u64,
    max_version: u64,
    /// The machine at each position.
    positions: Vec<NodeId>,
    last_machine: NodeId,
    /// Simulated time at which each machine got its present disk; no entry means the start of the run.
    disk_since: BTreeMap<NodeId, f64>,
    /// Simulated time until which each machine counts as lost.
    lost_until: BTreeMap<NodeId, f64>,
    /// Nodes whose disk was lost by [`Step::LoseDisk`](crate::scenario::Step::LoseDisk), with the simulated time from which
    /// no fault delays their recovery.
    recovering_since: BTreeMap<NodeId, f64>,
    /// Simulated time at which the last fault so far ends.
    faults_until: f64,
}

/// Runs a scenario; with `trace` set, the report contains the trace of the run.
pub fn run_scenario(scenario: &Scenario, trace: bool) -> RunReport {
    let mut run = ScenarioRun::new(scenario, trace);
    run.run(WARM_UP);
    for (delay, step) in &scenario.steps {
        run.run(*delay);
        if run.is_violated() {
            break;
        }
        let step = step.resolve(|position| run.machine_at(position));
        run.apply(&step);
    }
    if !run.is_violated() {
        run.check_recovery(scenario);
    }
    let mut fleet = run.fleet;
    let trace = fleet.trace.take().unwrap_or_default();
    RunReport { violation: fleet.fault.take(), seconds: fleet.now, steps: fleet.steps, trace }
}

/// The initial reading of a machine's clock, different on each machine.
fn initial_clock_reading(node: NodeId) -> f64 {
    5.0 + 1000.0 * f64::from(node)
}

impl ScenarioRun {
    fn new(scenario: &Scenario, trace: bool) -> ScenarioRun {
        let size = scenario.size;
        let mut fleet = Fleet::empty(scenario.seed, size.required_voters(), size.nodes());
        fleet.strict = false;
        fleet.catch_up = scenario.catch_up;
        fleet.trace = trace.then(Vec::new);
        for node in fleet.nodes() {
            let rate = scenario.clock_rates.get(node as usize - 1).copied().unwrap_or(1.0);
            fleet.set_clock(node, rate, initial_clock_reading(node));
            fleet.set_sync(node, sync_duration(scenario, node));
        }
        for node in fleet.nodes() {
            fleet.start(node, true);
        }
        ScenarioRun {
            fleet,
            schedule: Schedule::default(),
            size,
            catch_up: size.catch_up(),
            last_token: 0,
            max_version: 0,
            positions: (1..=size.nodes()).collect(),
            last_machine: size.nodes(),
            disk_since: BTreeMap::new(),
            lost_until: BTreeMap::new(),
            recovering_since: BTreeMap::new(),
            faults_until: 0.0,
        }
    }

    fn is_violated(&self) -> bool {
        self.fleet.fault.is_some()
    }

    /// The machine at a position, counted from 1. Scenario files that name a position outside the fleet are rejected when
    /// they are read.
    fn machine_at(&self, position: NodeId) -> NodeId {
        let index = (position as usize).checked_sub(1);
        index.and_then(|index| self.positions.get(index)).copied().unwrap_or(position)
    }

    /// Advances simulated time by `seconds` and performs the actions that come due.
    fn run(&mut self, seconds: f64) {
        let until = self.fleet.now + seconds;
        while let Some((at, action)) = self.schedule.pop_due(until) {
            self.fleet.run((at - self.fleet.now).max(0.0));
            self.perform(action);
            if self.is_violated() {
                return;
            }
        }
        self.fleet.run((until - self.fleet.now).max(0.0));
    }

    fn schedule(&mut self, after: f64, action: Action) {
        self.schedule.push(self.fleet.now + after, action);
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Start(node) => self.fleet.start(node, false),
            Action::Join(node) => self.fleet.join(node),
            Action::ShutDown { node, then } => {
                self.fleet.step(node, |control, now| control.begin_shutdown(now));
                let deadline = self.fleet.now + MAX_SHUTDOWN_DURATION;
                self.schedule(MIN_SHUTDOWN_DURATION, Action::FinishShutdown { node, then, deadline });
            }
            Action::FinishShutdown { node, then, deadline } => self.finish_shutdown(node, then, deadline),
            Action::Crash { node, downtime } => {
                self.fleet.kill(node, false);
                self.schedule(downtime, Action::Start(node));
            }
            Action::PartitionLink { from, to, seconds } => self.fleet.cut_for(from, to, seconds),
            Action::SetSyncDuration { node, seconds } => self.fleet.set_sync(node, seconds),
            Action::SetNetwork(net) => self.fleet.net = net,
            Action::Read { node, interval, until } => {
                self.fleet.request_confirmation(node);
                if self.fleet.now + interval < until {
                    self.schedule(interval, Action::Read { node, interval, until });
                }
            }
            Action::Withdraw { node, token } => self.fleet.withdraw(node, token),
            Action::SubmitConflict { node, version } => {
                self.submit_configuration(node, version, OPERATION_TIMEOUT);
            }
        }
    }

    fn finish_shutdown(&mut self, node: NodeId, then: AfterShutdown, deadline: f64) {
        let may_shut_down = |control: &ControlNodeState| control.may_shut_down(self.fleet.clock(node));
        let must_wait = self.fleet.live.get(&node).is_some_and(|control| !may_shut_down(control));
        if self.fleet.now < deadline && must_wait {
            return self.schedule(POLL_INTERVAL, Action::FinishShutdown { node, then, deadline });
        }
        match then {
            AfterShutdown::Restart { downtime } => self.perform(Action::Crash { node, downtime }),
            AfterShutdown::Decommission => self.fleet.decommission(node),
        }
    }

    /// Submits a configuration whose caller gives up after `timeout` seconds. Returns the operation's token.
    fn submit_configuration(&mut self, node: NodeId, version: u64, timeout: f64) -> u64 {
        let token = self.next_token();
        self.fleet.replace(node, token, version);
        self.schedule(timeout, Action::Withdraw { node, token });
        token
    }

    fn next_token(&mut self) -> u64 {
        self.last_token += 1;
        self.last_token
    }
}

fn sync_duration(scenario: &Scenario, node: NodeId) -> f64 {
    scenario.sync_durations.get(node as usize - 1).copied().unwrap_or(0.0)
}
