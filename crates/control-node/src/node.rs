//! The whole life of one control node, without I/O: [`ControlNodeState::tick`] and [`ControlNodeState::step`]
//! take the time and messages, [`ControlNodeState::propose`] and [`ControlNodeState::change_membership`] take
//! operators' changes, and all return effects for the caller to perform. The caller reads the clock and owns
//! sockets and disk.
//!
//! How the parts relate: an acceptor's state is durable before its reply leaves ([`Effect::Store`] carries
//! the messages to send afterwards); a chosen value spreads by heartbeats and update requests; data nodes in
//! session are the members.
//!
//! One file a concern: `messages` (dispatch of received messages), `voter_set` (epochs and membership
//! changes), `recovery` (state transfer after a lost disk, forced new generation), `gossip` (heartbeats and
//! state updates), `status` (for operators).

mod gossip;
mod messages;
mod recovery;
mod status;
mod voter_set;

pub use status::{MemberStatus, VoterSetStatus};

use crate::event_log::{Event, EventLog};
use crate::registry::Registry;
use archlink_consensus::acceptor::Acceptor;
use archlink_consensus::leases::{Lease, Leases};
use archlink_consensus::membership::Membership;
use archlink_consensus::proposer::{Change, Proposer};
use archlink_consensus::repair_timing::{HEARTBEAT, RepairTiming};
use archlink_consensus::{Effect, Outcome};
use archlink_messages::{
    AcceptorState, ControlNode, HostList, LeaseGrant, NodeId, Register, SingletonRole, VoterSet,
};
use std::collections::BTreeMap;

/// A node whose registers no quorum confirmed for this long (seconds) doesn't pass on what it knows of data
/// nodes.
const CONTACT_WINDOW: f64 = 2.0;

/// This long (seconds) after its start a node has received all sessions, its own and those that peers report.
const DATA_NODES_KNOWN_AFTER: f64 = 4.0;

/// What a control node starts from.
pub struct InitialState {
    /// This node.
    pub identity: ControlNode,
    /// The voter set on the disk; the seed nodes at the very first start; unknown where the disk is empty
    /// later.
    pub voter_set: VoterSet,
    /// Voters that are needed to survive the losses that may happen at once.
    pub required_voters: usize,
    /// The setting `CatchUp` in seconds: the next loss may come this long after a lost machine is back or its
    /// successor started.
    pub catch_up: f64,
    /// The acceptor states on the disk; `None` where the disk is empty although this is not the first start.
    pub acceptors: Option<BTreeMap<Register, AcceptorState>>,
    /// The last lease of each role that this node granted, from the disk.
    pub grants: Vec<LeaseGrant>,
    /// Seed of all random draws; it also identifies this incarnation of the node.
    pub seed: u64,
}

/// What a membership change waits for, as the last heartbeats reported it.
#[derive(Default, PartialEq)]
struct RepairState {
    /// Whether this node's acceptor is recovered.
    recovered: bool,
    /// Voters that this node suspects to have failed.
    suspected: Vec<NodeId>,
}

/// One control node: acceptor, proposer, leases, membership and event log, and how they interact.
///
/// Every `now` is local time in seconds of one monotonic clock; it must not decrease from call to call.
pub struct ControlNodeState {
    id: NodeId,
    voter_set: VoterSet,
    membership: Membership,
    /// This node's acceptor of all registers.
    pub acceptor: Acceptor,
    /// This node's proposer, and the chosen values that it learned.
    pub proposer: Proposer,
    /// Leases of the singleton roles, granted and held.
    pub leases: Leases,
    /// Events, and the views folded from them: the registry of nodes and the host list.
    pub event_log: EventLog,
    /// The cluster clock is the local clock plus this, in seconds.
    clock_offset: f64,
    last_heartbeat_at: f64,
    reported_repair_state: RepairState,
    started_at: f64,
    rng: oorandom::Rand64,
}

impl ControlNodeState {
    /// A node that starts at local time `now`.
    pub fn new(now: f64, initial: InitialState) -> ControlNodeState {
        let id = initial.identity.node;
        let seed = initial.seed;
        let timing = RepairTiming::within(initial.catch_up);
        // The draws are in a fixed order, on which recorded simulation runs rely: the node's generator, then
        // the serial.
        let mut seeds = oorandom::Rand64::new(u128::from(seed.rotate_left(7)));
        let rng = oorandom::Rand64::new(u128::from(seeds.rand_u64()));
        let mut node = ControlNodeState {
            id,
            voter_set: VoterSet::default(),
            membership: Membership::new(now, id, initial.required_voters, timing),
            acceptor: Acceptor::new(now, id, initial.acceptors),
            proposer: Proposer::new(id, seed),
            leases: Leases::new(now, id, !seed, &initial.grants),
            event_log: EventLog::new(Registry::new(initial.identity, seed)),
            clock_offset: 0.0,
            last_heartbeat_at: f64::NEG_INFINITY,
            reported_repair_state: RepairState::default(),
            started_at: now,
            rng,
        };
        node.acceptor.set_request_serial(seeds.rand_u64());
        // The effects are dropped: the caller has the voter set from its disk or settings, and nothing is
        // pending yet.
        node.adopt_voter_set(now, &initial.voter_set);
        node
    }

    /// Advances the timers of all parts. The control plane calls it every 50 ms.
    pub fn tick(&mut self, now: f64) -> Vec<Effect> {
        let mut effects = self.acceptor.tick(now);
        let proposer_effects = self.proposer.tick(now);
        effects.extend(self.apply_effects(now, proposer_effects));
        effects.extend(self.tick_membership(now));
        if self.membership.is_established() {
            effects.extend(self.leases.tick(now));
        }
        let contact = self.voter_set.has_quorum(|node| self.event_log.registry.is_alive(now, node));
        let session_ended = self.event_log.append(now, Event::TimePassed { contact });
        let heartbeat_due = now >= self.last_heartbeat_at + HEARTBEAT;
        if session_ended || self.repair_state_changed(now) || heartbeat_due {
            effects.extend(self.broadcast_heartbeat(now));
        }
        effects
    }

    /// Updates the reported repair state; a change is announced at once, since membership changes wait for
    /// it.
    fn repair_state_changed(&mut self, now: f64) -> bool {
        let current = RepairState {
            recovered: self.acceptor.is_recovered(),
            suspected: self.membership.suspected(now),
        };
        let previous = std::mem::replace(&mut self.reported_repair_state, current);
        previous != self.reported_repair_state
    }

    /// Proposes a change of a register. It resolves as [`Effect::ProposalResolved`] with this `token`, which
    /// must be below [`archlink_consensus::membership::FIRST_INTERNAL_TOKEN`]. While the first start of a
    /// cluster still adds voters it resolves as [`Outcome::Unknown`] at once, and nothing is proposed.
    pub fn propose(&mut self, now: f64, change: Change, token: u64) -> Vec<Effect> {
        if !self.membership.is_established() {
            return vec![Effect::ProposalResolved(token, Outcome::Unknown)];
        }
        let effects = self.proposer.propose(now, change, token);
        self.apply_effects(now, effects)
    }

    /// Records an event; where it changed a view, the other control nodes are notified at once.
    pub fn record_event(&mut self, now: f64, event: Event) -> Vec<Effect> {
        if self.event_log.append(now, event) { self.broadcast_heartbeat(now) } else { Vec::new() }
    }

    /// Takes a new host list from this node's host discovery.
    pub fn set_host_list(&mut self, now: f64, hosts: HostList) -> Vec<Effect> {
        self.record_event(now, Event::HostListChanged(hosts))
    }

    /// The current host list.
    pub fn host_list(&self) -> &HostList {
        &self.event_log.host_list
    }

    /// The voter set of the current epoch.
    pub fn voter_set(&self) -> &VoterSet {
        &self.voter_set
    }

    /// The cluster clock in seconds: the furthest of all nodes' clocks, less the time that a message takes.
    pub fn cluster_clock(&self, now: f64) -> f64 {
        now + self.clock_offset
    }

    /// Takes a peer's reading of the cluster clock. Invariant: the cluster clock never goes back.
    pub fn observe_clock(&mut self, now: f64, clock: f64) {
        if clock.is_finite() {
            self.clock_offset = self.clock_offset.max(clock - now);
        }
    }

    /// The quota counter's lease, where this node holds it.
    pub fn counter_lease(&self, now: f64) -> Option<Lease> {
        self.leases.held_lease(now, SingletonRole::QuotaCounter)
    }

    /// As of when (local time) a quorum confirmed every register that data nodes receive.
    fn confirmed(&self) -> Option<f64> {
        let confirmed = |register| self.proposer.confirmed(register);
        Some(confirmed(Register::Configuration)?.min(confirmed(Register::Evacuations)?))
    }

    /// Whether this node knows all data nodes. It may not shortly after its start, or while or shortly after
    /// it was partitioned; a count that is too small makes local shares too large.
    fn knows_data_nodes(&self, now: f64) -> bool {
        now > self.started_at + DATA_NODES_KNOWN_AFTER
            && self.event_log.registry.caught_up(now)
            && self.confirmed().is_some_and(|at| now < at + CONTACT_WINDOW)
    }

    /// Begins a graceful shutdown: releases the leases to the nearest voter that stays, and asks for this
    /// node's place in the voter set to be given to another node. The node keeps serving until
    /// [`ControlNodeState::may_shut_down`].
    pub fn begin_shutdown(&mut self, now: f64) -> Vec<Effect> {
        self.membership.leave();
        let successor = self.lease_successor(now);
        let mut effects = self.leases.leave(now, successor);
        effects.extend(self.broadcast_heartbeat(now));
        effects
    }

    /// The reachable voter that stays, of this node's region if there is one, with the lowest id.
    fn lease_successor(&self, now: f64) -> Option<NodeId> {
        let failure_detector = &self.membership.failure_detector;
        let registry = &self.event_log.registry;
        let stays = |node: NodeId| {
            self.voter_set.contains(node)
                && failure_detector.is_reachable(now, node)
                && !failure_detector.is_leaving(node)
        };
        let mut candidates = registry.control_nodes();
        candidates.retain(|candidate| candidate.node != self.id && stays(candidate.node));
        candidates.sort_by_key(|candidate| (candidate.region != registry.own.region, candidate.node));
        candidates.first().map(|candidate| candidate.node)
    }

    /// Whether a leaving node may end, as far as its vote is concerned.
    pub fn may_shut_down(&self, now: f64) -> bool {
        self.membership.may_shut_down(now)
    }
}
