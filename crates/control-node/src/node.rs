//! The state machine of one control node, without I/O. [`ControlNodeState::tick`] advances time,
//! [`ControlNodeState::step`] handles received messages, and [`ControlNodeState::propose`] and
//! [`ControlNodeState::change_membership`] accept operators' changes. Each returns the effects that the
//! caller has to perform; the caller also reads the clock and owns the sockets and the disk.
//!
//! An acceptor's state is durable before its reply is sent: [`Effect::Store`] carries the messages to send
//! after the write. Committed values spread by heartbeats and update requests. The data nodes of the cluster
//! are those that have a session with some control node.
//!
//! Submodules: `messages` (dispatch of received messages), `voter_set` (epochs and membership changes),
//! `recovery` (state transfer after a lost disk, forced new generation), `gossip` (heartbeats and state
//! updates), `status` (the voter set as shown to operators).

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

/// A node whose registers no quorum has confirmed for this many seconds doesn't report data nodes: its list
/// may be incomplete.
const QUORUM_CONTACT_WINDOW: f64 = 2.0;

/// Seconds after its start by which a node has received all sessions: its own and those that peers report.
const DATA_NODES_KNOWN_AFTER: f64 = 4.0;

/// The state with which a control node starts.
pub struct InitialState {
    /// This node.
    pub identity: ControlNode,
    /// The voter set on the disk. At the first start of a cluster it consists of the seed nodes; if the disk
    /// is empty at a later start it is unknown.
    pub voter_set: VoterSet,
    /// The number of voters that is needed to survive the simultaneous losses that must be tolerated.
    pub required_voters: usize,
    /// The setting `CatchUp` in seconds: after the loss of a machine, the next loss may come this long after
    /// the machine is back or its replacement has started.
    pub catch_up: f64,
    /// The acceptor states on the disk; `None` if the disk is empty although this is not the first start.
    pub acceptors: Option<BTreeMap<Register, AcceptorState>>,
    /// The last lease of each role that this node granted, from the disk.
    pub grants: Vec<LeaseGrant>,
    /// Seed of the random number generator; it also identifies this incarnation of the node.
    pub seed: u64,
}

/// What membership changes on other nodes wait for, as this node last reported it in its heartbeats.
#[derive(Default, PartialEq)]
struct RepairState {
    /// Whether this node's acceptor is recovered.
    recovered: bool,
    /// Voters that this node suspects to have failed.
    suspected: Vec<NodeId>,
}

/// One control node: its acceptor, proposer, leases, membership and event log, and their interaction.
///
/// Every `now` is the local time in seconds, read from one monotonic clock; it must not decrease from call to
/// call.
pub struct ControlNodeState {
    id: NodeId,
    voter_set: VoterSet,
    membership: Membership,
    /// This node's acceptor of all registers.
    pub acceptor: Acceptor,
    /// This node's proposer, which also has the committed values.
    pub proposer: Proposer,
    /// Leases of the singleton roles, both granted and held.
    pub leases: Leases,
    /// The recent events, and the views folded from all events: the registry of nodes and the host list.
    pub event_log: EventLog,
    /// Cluster clock minus local clock, in seconds.
    clock_offset: f64,
    last_heartbeat_at: f64,
    reported_repair_state: RepairState,
    started_at: f64,
    rng: oorandom::Rand64,
}

impl ControlNodeState {
    /// Creates a node that starts at local time `now`.
    pub fn new(now: f64, initial: InitialState) -> ControlNodeState {
        let id = initial.identity.node;
        let seed = initial.seed;
        let timing = RepairTiming::within(initial.catch_up);
        // Recorded simulation runs rely on the order of the two draws: the node's generator, then the serial.
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
        // The effects can be dropped: the caller took the voter set from its disk or settings, and nothing is
        // pending yet.
        node.adopt_voter_set(now, &initial.voter_set);
        node
    }

    /// Advances all timers. The control plane calls this every 50 ms.
    pub fn tick(&mut self, now: f64) -> Vec<Effect> {
        let mut effects = self.acceptor.tick(now);
        let proposer_effects = self.proposer.tick(now);
        effects.extend(self.apply_effects(now, proposer_effects));
        effects.extend(self.tick_membership(now));
        if self.membership.is_established() {
            effects.extend(self.leases.tick(now));
        }
        let quorum_contact = self.voter_set.has_quorum(|node| self.event_log.registry.is_alive(now, node));
        let session_ended = self.event_log.append(now, Event::TimePassed { quorum_contact });
        let heartbeat_due = now >= self.last_heartbeat_at + HEARTBEAT;
        if session_ended || self.update_repair_state(now) || heartbeat_due {
            effects.extend(self.broadcast_heartbeat(now));
        }
        effects
    }

    /// Updates the reported repair state and returns whether it changed. The caller announces a change at
    /// once, since membership changes wait for it.
    fn update_repair_state(&mut self, now: f64) -> bool {
        let current = RepairState {
            recovered: self.acceptor.is_recovered(),
            suspected: self.membership.suspected(now),
        };
        let previous = std::mem::replace(&mut self.reported_repair_state, current);
        previous != self.reported_repair_state
    }

    /// Proposes a change of a register. The proposal ends with [`Effect::ProposalResolved`] and this `token`,
    /// which must be below [`archlink_consensus::membership::FIRST_INTERNAL_TOKEN`]. While the first start of
    /// a cluster still adds voters, nothing is proposed and the outcome is [`Outcome::Unknown`] at once.
    pub fn propose(&mut self, now: f64, change: Change, token: u64) -> Vec<Effect> {
        if !self.membership.is_established() {
            return vec![Effect::ProposalResolved(token, Outcome::Unknown)];
        }
        let effects = self.proposer.propose(now, change, token);
        self.apply_effects(now, effects)
    }

    /// Records an event. If it changed a view, the other control nodes are notified at once.
    pub fn record_event(&mut self, now: f64, event: Event) -> Vec<Effect> {
        if self.event_log.append(now, event) { self.broadcast_heartbeat(now) } else { Vec::new() }
    }

    /// Records a new host list from this node's host discovery.
    pub fn set_host_list(&mut self, now: f64, hosts: HostList) -> Vec<Effect> {
        self.record_event(now, Event::HostListChanged(hosts))
    }

    /// Returns the current host list.
    pub fn host_list(&self) -> &HostList {
        &self.event_log.host_list
    }

    /// Returns the voter set of the current epoch.
    pub fn voter_set(&self) -> &VoterSet {
        &self.voter_set
    }

    /// Returns the cluster clock in seconds. It follows the clock that is furthest ahead of all nodes'
    /// clocks, and lags behind it by the time that a message takes.
    pub fn cluster_clock(&self, now: f64) -> f64 {
        now + self.clock_offset
    }

    /// Advances the cluster clock to a peer's reading of it, if that is ahead. The cluster clock never goes
    /// back; a reading that is not finite is ignored.
    pub fn observe_clock(&mut self, now: f64, clock: f64) {
        if clock.is_finite() {
            self.clock_offset = self.clock_offset.max(clock - now);
        }
    }

    /// Returns the quota counter's lease if this node holds it.
    pub fn counter_lease(&self, now: f64) -> Option<Lease> {
        self.leases.held_lease(now, SingletonRole::QuotaCounter)
    }

    /// Returns the local time as of which a quorum has confirmed every register that data nodes receive.
    fn confirmed(&self) -> Option<f64> {
        let confirmed = |register| self.proposer.confirmed(register);
        Some(confirmed(Register::Configuration)?.min(confirmed(Register::Evacuations)?))
    }

    /// Returns whether this node knows all data nodes. It may not know them shortly after its start, while it
    /// is partitioned, and shortly after that. Too small a count would make the local shares too large.
    fn knows_data_nodes(&self, now: f64) -> bool {
        now > self.started_at + DATA_NODES_KNOWN_AFTER
            && self.event_log.registry.caught_up(now)
            && self.confirmed().is_some_and(|confirmed_at| now < confirmed_at + QUORUM_CONTACT_WINDOW)
    }

    /// Begins a graceful shutdown: releases the leases in favor of the nearest voter that stays, and requests
    /// that another node replace this one as a voter. The node keeps serving until
    /// [`ControlNodeState::may_shut_down`] returns true.
    pub fn begin_shutdown(&mut self, now: f64) -> Vec<Effect> {
        self.membership.leave();
        let successor = self.lease_successor(now);
        let mut effects = self.leases.leave(now, successor);
        effects.extend(self.broadcast_heartbeat(now));
        effects
    }

    /// Returns the reachable voter that is not leaving and has the lowest id, from this node's region if
    /// there is one.
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

    /// Returns whether this node may shut down without harm to the voter set.
    pub fn may_shut_down(&self, now: f64) -> bool {
        self.membership.may_shut_down(now)
    }
}
