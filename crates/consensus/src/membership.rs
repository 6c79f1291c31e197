//! Membership: when and how the voter set changes. The voter set is a register like the others: this module
//! proposes each next one, which is agreed on through [`Proposer`](crate::proposer::Proposer).
//!
//! A change from one set to another goes through a joint epoch, in which a majority of each set is needed
//! (Ongaro, section 4.3). A joint epoch ends only once three conditions hold (`joint`):
//!
//! - every register has converged in it: a value was chosen under its voter set,
//! - each joining node has reported that its disk has all of these values,
//! - no lease that was granted before it can still be valid.
//!
//! After that, nodes that missed the change can't form a majority with any other node. Submodules: `begin`
//! (when a change begins, and which node begins it), `joint` (when it ends), `plan` (which set is wanted),
//! `requests` (operators' requests).
//!
//! Invariants: a joint epoch is never ended on observations from another epoch, and no change begins while
//! one is in progress.

mod begin;
mod joint;
mod plan;
mod requests;

use crate::failure_detector::FailureDetector;
use crate::proposer::Change;
use crate::repair_timing::RepairTiming;
use crate::{Effect, Outcome};
use archlink_messages::{ControlNode, NodeId, Register, VoterSet};
use joint::JointProgress;
use requests::{GenerationRequest, NamedNodes, ReplaceRequest};
use std::collections::BTreeMap;

/// The lowest token of the membership's own proposals; callers' tokens are below it.
pub const FIRST_INTERNAL_TOKEN: u64 = 1 << 63;

/// A proposal of the membership itself.
#[derive(Clone, Copy, Debug, PartialEq)]
enum InternalProposal {
    /// Brings a register to one value in this epoch, without a change of its content.
    Converge(Register),
    /// The voter set of the next epoch.
    NextVoterSet,
}

/// How the last change of the voter set ended, as seen by this node.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeResult {
    /// The incoming voters are the voters now.
    Completed,
    /// The voters are the same as before: a joining node did not accept all registers in time.
    RolledBack,
}

/// The input of [`Membership::tick`] besides its own state.
pub struct MembershipContext<'a> {
    /// All known control nodes, with their zones.
    pub control_nodes: &'a [ControlNode],
    /// The time as of which a majority has confirmed the voter set
    /// ([`Proposer::confirmed`](crate::proposer::Proposer::confirmed)).
    pub confirmed: Option<f64>,
    /// The same for all registers: the earliest of these times.
    pub all_confirmed: Option<f64>,
    /// Registers whose committed value was chosen in an earlier generation.
    pub stale: Vec<Register>,
    /// Whether this node's acceptor has recovered.
    pub recovered: bool,
    /// Whether a lease is known to have ever been granted.
    pub leases_known: bool,
}

/// The membership of one control node.
pub struct Membership {
    id: NodeId,
    /// The desired number of voters.
    target_size: usize,
    voter_set: VoterSet,
    started_at: f64,
    /// When this node adopted the current epoch.
    epoch_started: f64,
    /// Which control nodes are reachable, and which voters have failed.
    pub failure_detector: FailureDetector,
    timing: RepairTiming,
    /// Proposals in progress, by token.
    proposals: BTreeMap<u64, InternalProposal>,
    last_token: u64,
    joint: JointProgress,
    /// Since when a change has been due.
    due_since: Option<f64>,
    replace_request: Option<ReplaceRequest>,
    generation_request: Option<GenerationRequest>,
    named_nodes: NamedNodes,
    last_change: Option<(f64, ChangeResult)>,
    /// Nodes that did not accept all registers in time, and when: others are preferred for a while.
    failed_joins: BTreeMap<NodeId, f64>,
}

impl Membership {
    /// Creates a membership that knows no voter set yet. `target_size` is the desired number of voters.
    pub fn new(now: f64, id: NodeId, target_size: usize, timing: RepairTiming) -> Membership {
        Membership {
            id,
            target_size,
            voter_set: VoterSet::default(),
            started_at: now,
            epoch_started: now,
            failure_detector: FailureDetector::new(now, id, timing),
            timing,
            proposals: BTreeMap::new(),
            last_token: FIRST_INTERNAL_TOKEN,
            joint: JointProgress::new(now),
            due_since: None,
            replace_request: None,
            generation_request: None,
            named_nodes: NamedNodes::none(now),
            last_change: None,
            failed_joins: BTreeMap::new(),
        }
    }

    /// Returns whether proposals may be made and leases be held. At a first start with fewer seed nodes than
    /// the desired number of voters, this is so only once the set has changed: nothing is ever chosen by
    /// those few. The result follows from the epoch alone, so that all nodes agree on it, also after a
    /// restart.
    pub fn is_established(&self) -> bool {
        self.voter_set.epoch > 2 || self.target_size <= self.voter_set.voters.len()
    }

    /// Adopts another epoch. Observations from the previous one don't count.
    pub fn epoch_adopted(&mut self, now: f64, voter_set: &VoterSet) -> Vec<Effect> {
        let previous = std::mem::replace(&mut self.voter_set, voter_set.clone());
        self.epoch_started = now;
        self.proposals.clear();
        self.joint = JointProgress::new(now);
        self.due_since = None;
        if previous.is_joint() && !voter_set.is_joint() {
            self.record_change_result(now, &previous);
        }
        self.named_nodes.remove_voters(voter_set);
        self.resolve_replace_request()
    }

    fn record_change_result(&mut self, now: f64, joint: &VoterSet) {
        let result = if joint.incoming == self.voter_set.voters {
            ChangeResult::Completed
        } else {
            let joining = joint.incoming.iter().filter(|node| !joint.voters.contains(node));
            self.failed_joins.extend(joining.map(|node| (*node, now)));
            ChangeResult::RolledBack
        };
        self.last_change = Some((now, result));
    }

    /// Returns when the last change ended, and how.
    pub fn last_change(&self) -> Option<&(f64, ChangeResult)> {
        self.last_change.as_ref()
    }

    /// Returns the voters that this node suspects to have failed.
    pub fn suspected(&self, now: f64) -> Vec<NodeId> {
        self.failure_detector.suspected(now, &self.voter_set)
    }

    /// Records that this node is shutting down: it is to be replaced as a voter, and doesn't become one.
    pub fn leave(&mut self) {
        self.failure_detector.leave();
    }

    /// Returns whether this node may shut down without harm to the voter set. A voter may if no node could
    /// replace it and all other voters are healthy. Any other node may once all reachable voters know the
    /// set: if this node alone could report the new set, the others would not learn it after the shutdown.
    pub fn may_shut_down(&self, now: f64) -> bool {
        let detector = &self.failure_detector;
        if self.voter_set.contains(self.id) {
            let is_healthy = |node: &NodeId| *node == self.id || detector.is_healthy(now, *node);
            return detector.spare_nodes(now, &self.voter_set).is_empty()
                && !self.voter_set.is_joint()
                && self.voter_set.voters.iter().all(is_healthy);
        }
        let mut reachable = self.voter_set.voters.iter().filter(|node| detector.is_reachable(now, **node));
        reachable.all(|node| detector.has_reached_epoch(*node, self.voter_set.epoch))
    }

    /// Advances the change in progress or begins one. Returns the requests that ended, and the changes to
    /// propose through [`Proposer::propose_internal`](crate::proposer::Proposer::propose_internal), each with
    /// its token. Call it at short intervals.
    pub fn tick(&mut self, now: f64, context: &MembershipContext) -> (Vec<Effect>, Vec<(u64, Change)>) {
        self.failure_detector.check(now, &self.voter_set, context.recovered);
        self.expire_failed_joins(now);
        let effects = self.end_requests(now, context);
        let changes = if !self.voter_set.is_known() {
            Vec::new()
        } else if self.voter_set.is_joint() {
            self.finish_change(now, context)
        } else if !self.is_established() {
            self.begin_initial_change(now, context)
        } else {
            self.maintain(now, context)
        };
        (effects, changes)
    }

    /// Returns a proposal under a new token; `None` while the same one is in progress.
    fn propose(&mut self, proposal: InternalProposal, change: Change) -> Option<(u64, Change)> {
        if self.proposals.values().any(|in_progress| *in_progress == proposal) {
            return None;
        }
        self.last_token += 1;
        self.proposals.insert(self.last_token, proposal);
        Some((self.last_token, change))
    }

    fn propose_convergence(&mut self, register: Register) -> Option<(u64, Change)> {
        self.propose(InternalProposal::Converge(register), Change::Converge(register))
    }

    fn propose_voter_set(&mut self, voter_set: VoterSet) -> Vec<(u64, Change)> {
        self.propose(InternalProposal::NextVoterSet, Change::VoterSet(voter_set)).into_iter().collect()
    }
}
