//! Runs the nodes: handles events as they come due, applies the effects of each step, and then checks the invariants.

use super::Fleet;
use super::event_queue::Event;
use super::lifecycle::TICK_INTERVAL;
use crate::invariants::Violation;
use archlink_consensus::{Effect, Outcome};
use archlink_control_node::node::ControlNodeState;
use archlink_messages::{NodeId, Register, SINGLETON_ROLES, SingletonRole};
use std::collections::VecDeque;

impl Fleet {
    /// Advances simulated time by `seconds`.
    ///
    /// # Panics
    ///
    /// Panics with the first violation of an invariant if `strict` is set.
    pub fn run(&mut self, seconds: f64) {
        let until = self.now + seconds;
        while self.fault.is_none() {
            let Some((at, event)) = self.events.pop_due(until) else { break };
            self.now = self.now.max(at);
            self.handle(event);
        }
        if let Some(fault) = self.fault.as_ref().filter(|_| self.strict) {
            panic!("{fault}");
        }
        self.now = until;
    }

    fn handle(&mut self, event: Event) {
        let node = event.node();
        if let Some(&until) = self.paused_until.get(&node).filter(|until| **until > self.now) {
            return self.events.push(until, event);
        }
        match event {
            Event::Deliver { from, to, message } => {
                self.step(to, |control, now| control.step(now, from, message));
            }
            Event::Tick { node, incarnation } if self.is_running(node, incarnation) => {
                let rate = self.machine_clock(node).rate;
                self.events.push(self.now + TICK_INTERVAL / rate, event);
                self.step(node, |control, now| control.tick(now));
            }
            Event::SyncCompleted { node, incarnation } if self.is_running(node, incarnation) => {
                let until = self.disks[&node].hangs_until;
                if until > self.now { self.events.push(until, event) } else { self.complete_sync(node) }
            }
            Event::Start { node, first_start } => self.start(node, first_start),
            Event::Connect { from, to, incarnations }
                if self.is_running(from, incarnations.0) && self.is_running(to, incarnations.1) =>
            {
                self.connect(from, to);
            }
            Event::Tick { .. } | Event::SyncCompleted { .. } | Event::Connect { .. } => {}
        }
    }

    fn is_running(&self, node: NodeId, incarnation: u64) -> bool {
        self.live.contains_key(&node) && self.incarnations.get(&node) == Some(&incarnation)
    }

    /// Performs one step of a node and applies all its effects in the order in which the deployed program does. Does nothing
    /// if the node is down.
    pub fn step(&mut self, node: NodeId, step: impl FnOnce(&mut ControlNodeState, f64) -> Vec<Effect>) {
        let now = self.clock(node);
        let Some(control) = self.live.get_mut(&node) else { return };
        self.steps += 1;
        let mut effects = VecDeque::from(step(control, now));
        while let Some(effect) = effects.pop_front() {
            effects.extend(self.apply_effect(node, now, effect));
        }
        self.check_invariants(node);
    }

    /// Applies one effect of a step. Returns the further effects that it causes immediately.
    fn apply_effect(&mut self, node: NodeId, now: f64, effect: Effect) -> Vec<Effect> {
        match effect {
            Effect::Send(to, message) if to == node => {
                return self
                    .live
                    .get_mut(&node)
                    .map(|control| control.step(now, node, message))
                    .unwrap_or_default();
            }
            Effect::Send(to, message) => self.send(node, to, message),
            Effect::Store(record, then_send) => self.store(node, record, then_send),
            Effect::Learned(register) => {
                self.trace(|fleet| fleet.learned_value_line(node, register));
                return self
                    .live
                    .get_mut(&node)
                    .map(|control| control.broadcast_heartbeat(now))
                    .unwrap_or_default();
            }
            Effect::ProposalResolved(token, outcome) => {
                self.check_invariants(node);
                self.resolve(node, token, outcome);
            }
        }
        Vec::new()
    }

    fn learned_value_line(&self, node: NodeId, register: Register) -> String {
        let chosen = self.live.get(&node).and_then(|control| control.proposer.committed(register));
        format!("node {node} learns {register:?} {chosen:?}")
    }

    /// Records the outcome of an operation submitted through `node` and checks it.
    pub(crate) fn resolve(&mut self, node: NodeId, token: u64, outcome: Outcome) {
        self.trace(|_| format!("operation {token} at node {node}: {outcome:?}"));
        self.done.insert(token, outcome);
        let proposer = self.live.get(&node).map(|control| &control.proposer);
        let checked = self.checks.check_outcome(self.now, token, outcome, proposer);
        self.record(checked);
    }

    fn trace_voter_set(&mut self, node: NodeId) {
        let Some(voter_set) = self.live.get(&node).map(|control| control.voter_set().clone()) else { return };
        if self.trace.is_some() && self.traced_epochs.insert(node, voter_set.epoch) != Some(voter_set.epoch) {
            self.trace(|_| format!("node {node} adopts {voter_set:?}"));
        }
    }

    /// Checks all invariants after a step of `node`.
    fn check_invariants(&mut self, node: NodeId) {
        self.trace_voter_set(node);
        let Some(control) = self.live.get(&node) else { return };
        let clock = self.machine_clock(node);
        let incarnation = self.incarnations[&node];
        let observed = self
            .checks
            .check_node(self.now, node, incarnation, control, |reading| clock.simulated_time(reading));
        let checked = observed.and_then(|()| self.check_leases(node));
        self.record(checked);
    }

    /// Invariant: while a node holds a lease, no other node does.
    fn check_leases(&self, node: NodeId) -> Result<(), Violation> {
        for role in SINGLETON_ROLES {
            if !self.holds_lease(node, role) {
                continue;
            }
            let holders: Vec<NodeId> =
                self.live.keys().copied().filter(|node| self.holds_lease(*node, role)).collect();
            if holders.len() > 1 {
                return Err(Violation::LeaseHeldTwice { role, holders });
            }
        }
        Ok(())
    }

    pub(super) fn holds_lease(&self, node: NodeId, role: SingletonRole) -> bool {
        let now = self.clock(node);
        self.live.get(&node).is_some_and(|control| control.leases.held_lease(now, role).is_some())
    }
}
