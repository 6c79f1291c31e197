//! A data node's view of the fleet, folded from heartbeats of control nodes and from state updates.
//!
//! Invariants:
//! - No version is ever replaced by an older one.
//! - A confirmation requires that a quorum confirmed the configuration version and no later evacuations than are present
//!   here, and it expires after the confirmation lifetime.
//! - The first configuration is in force only once it is confirmed. From then on newer ones are in force at once, and the
//!   last one stays in force without confirmation: public routes are still served, keyed requests are refused
//!   (`is_confirmed`).

mod updates;
mod view_change;

pub use view_change::{InvalidUpdate, ViewChange};

use archlink_config::Configuration;
use archlink_messages::{
    ControlNode, Heartbeat, LeaseGrant, NodeId, SingletonRole, StateUpdate, VersionVector,
};
use std::rc::Rc;

/// The maximum number of control nodes that are remembered as connection candidates. Those whose last listing is the
/// longest ago are forgotten first.
const MAX_KNOWN_CONTROL_NODES: usize = 64;

/// A message from the control node in session.
#[derive(Debug)]
pub enum Event {
    /// A heartbeat.
    Heartbeat {
        /// The heartbeat.
        heartbeat: Heartbeat,
        /// The time in seconds at which the session heartbeat was sent that this one answers; `None` if it answers
        /// none. Only an answer confirms anything, since only the age of an answer is known.
        requested_at: Option<f64>,
    },
    /// A part of the state that was missing or outdated here.
    Update(StateUpdate),
}

/// What a data node knows of the fleet. Times are seconds on its monotonic clock.
///
/// Invariant: an update keeps the confirmation of the version before it. That is safe because updates only lead to
/// newer versions. A quorum confirmed the earlier version as the newest one at some time; a newer version was chosen
/// after that time, so it was replaced, if at all, later still. It is therefore at most as outdated as the confirmed
/// version may be.
pub struct FleetView {
    /// Seconds for which a confirmation by a quorum is valid.
    confirmation_lifetime: f64,
    /// The newest configuration received, in force or not.
    configuration: Option<Rc<Configuration>>,
    /// Whether `configuration` is in force. Before the first confirmation it may have been replaced long ago, and other
    /// zones may be evacuated by now.
    in_force: bool,
    /// Text of `configuration`, the base of the patch to the next one.
    configuration_text: Vec<u8>,
    /// The encoded host list, the base of the patch to the next one.
    host_list: Vec<u8>,
    /// The time at which the confirmation expires.
    confirmed_until: f64,
    versions: VersionVector,
    leases: Vec<LeaseGrant>,
    control_nodes: Vec<ControlNode>,
    /// All control nodes that were ever listed, the most recently listed ones at the end.
    known_control_nodes: Vec<NodeId>,
    data_nodes: Vec<NodeId>,
    /// Cluster clock minus local clock, in seconds.
    clock_offset: f64,
}

impl FleetView {
    /// Creates an empty view. A quorum's confirmation of a configuration is valid for `confirmation_lifetime` seconds.
    pub fn new(confirmation_lifetime: f64) -> FleetView {
        FleetView {
            confirmation_lifetime,
            configuration: None,
            in_force: false,
            configuration_text: Vec::new(),
            host_list: Vec::new(),
            confirmed_until: f64::NEG_INFINITY,
            versions: VersionVector::default(),
            leases: Vec::new(),
            control_nodes: Vec::new(),
            known_control_nodes: Vec::new(),
            data_nodes: Vec::new(),
            clock_offset: 0.0,
        }
    }

    /// Applies an event and returns what it changed.
    pub fn apply(&mut self, now: f64, event: Event) -> Vec<ViewChange> {
        match event {
            Event::Heartbeat { heartbeat, requested_at } => {
                self.apply_heartbeat(now, &heartbeat, requested_at)
            }
            Event::Update(update) => self.apply_update(now, update).into_iter().collect(),
        }
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.clone().filter(|_| self.in_force)
    }

    /// Returns the seconds for which a quorum's confirmation is valid.
    pub fn confirmation_lifetime(&self) -> f64 {
        self.confirmation_lifetime
    }

    /// Returns whether an unexpired confirmation by a quorum covers the configuration present here. Keyed requests may
    /// be served only then.
    pub fn is_confirmed(&self, now: f64) -> bool {
        now < self.confirmed_until
    }

    /// Returns the versions present here, from which a control node determines what is missing.
    pub fn versions(&self) -> &VersionVector {
        &self.versions
    }

    /// Returns the newest known lease of each singleton role.
    pub fn leases(&self) -> &[LeaseGrant] {
        &self.leases
    }

    /// Returns the control nodes that the control node in session listed last.
    pub fn control_nodes(&self) -> &[ControlNode] {
        &self.control_nodes
    }

    /// Returns the control nodes that were ever listed, up to a limit. The list of a control node that has just started
    /// or is partitioned lacks other nodes, so the last list alone is not enough to find another control node.
    pub fn known_control_nodes(&self) -> &[NodeId] {
        &self.known_control_nodes
    }

    /// Returns all data nodes that are possibly active, including this one, in ascending order; empty if they are not
    /// known yet.
    pub fn data_nodes(&self) -> &[NodeId] {
        &self.data_nodes
    }

    /// Returns the holder of the quota counter's lease, and the term of that lease.
    pub fn counter_holder(&self) -> Option<(NodeId, u64)> {
        self.leases
            .iter()
            .find(|lease| lease.role == SingletonRole::QuotaCounter)
            .map(|lease| (lease.holder, lease.term))
    }

    /// Returns the cluster clock at the local time `now`, in seconds.
    pub fn cluster_clock(&self, now: f64) -> f64 {
        now + self.clock_offset
    }

    /// Advances the cluster clock to another node's reading of it, if that is ahead. The clock never goes back; a
    /// reading that is not finite is ignored.
    pub fn observe_clock(&mut self, now: f64, clock: f64) {
        if clock.is_finite() {
            self.clock_offset = self.clock_offset.max(clock - now);
        }
    }

    /// Returns the cluster clock minus the local clock, in seconds.
    pub fn clock_offset(&self) -> f64 {
        self.clock_offset
    }

    /// Returns whether `remote` has versions that are missing here.
    pub fn is_behind(&self, remote: &VersionVector) -> bool {
        let local = &self.versions;
        remote.configuration > local.configuration
            || remote.evacuations > local.evacuations
            || remote.hosts > local.hosts
            || remote.control_nodes != local.control_nodes
            || (remote.data_nodes != local.data_nodes && remote.data_nodes != 0)
    }

    fn apply_heartbeat(
        &mut self,
        now: f64,
        heartbeat: &Heartbeat,
        requested_at: Option<f64>,
    ) -> Vec<ViewChange> {
        self.observe_clock(now, heartbeat.cluster_clock);
        let mut changes = self.apply_leases(&heartbeat.leases);
        changes.extend(self.apply_confirmation(now, heartbeat, requested_at));
        if !self.in_force {
            changes.extend(self.configuration_change(now));
        }
        changes
    }

    /// Records the leases whose term is newer than that of the known lease of the role.
    fn apply_leases(&mut self, leases: &[LeaseGrant]) -> Vec<ViewChange> {
        let mut changes = Vec::new();
        for lease in leases {
            match self.leases.iter_mut().find(|known| known.role == lease.role) {
                Some(known) if known.term >= lease.term => continue,
                Some(known) => *known = *lease,
                None => self.leases.push(*lease),
            }
            changes.push(ViewChange::Leases);
        }
        changes
    }

    /// Extends the confirmation if the heartbeat confirms what is present here; a newer version has to be requested
    /// first. The lifetime counts from the time at which the quorum read began, which was no earlier than
    /// `requested_at` minus the age.
    fn apply_confirmation(
        &mut self,
        now: f64,
        heartbeat: &Heartbeat,
        requested_at: Option<f64>,
    ) -> Option<ViewChange> {
        let (remote, local) = (&heartbeat.versions, &self.versions);
        let is_present =
            remote.configuration == local.configuration && remote.evacuations <= local.evacuations;
        let age = heartbeat.confirmed_age.filter(|_| is_present)?;
        let was_confirmed = self.is_confirmed(now);
        self.confirmed_until =
            self.confirmed_until.max(requested_at? - age.max(0.0) + self.confirmation_lifetime);
        (was_confirmed != self.is_confirmed(now)).then_some(ViewChange::ConfirmationChanged)
    }

    /// Puts the present configuration in force if it is confirmed. Returns the change to it if it is in force now.
    fn configuration_change(&mut self, now: f64) -> Option<ViewChange> {
        let configuration = self.configuration.clone()?;
        self.in_force |= self.is_confirmed(now);
        self.in_force.then_some(ViewChange::Configuration(configuration))
    }
}
