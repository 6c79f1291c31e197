//! What a data node knows of the fleet, folded from heartbeats of control nodes and from state updates.
//!
//! Invariants:
//! - No version goes back to an older one.
//! - A configuration is confirmed only where a quorum confirmed the very versions that are present here, and only for the
//!   length of a lease.
//! - The first configuration is in force only once it is confirmed. From then on newer ones are in force at once, and the
//!   last one stays so without confirmation: public routes go on, keyed requests are refused (`is_confirmed`).

mod updates;
mod view_change;

pub use view_change::{InvalidUpdate, ViewChange};

use archlink_config::Configuration;
use archlink_messages::{
    ControlNode, Heartbeat, LeaseGrant, NodeId, SingletonRole, StateUpdate, VersionVector,
};
use std::rc::Rc;

/// Most control nodes that are remembered as candidates for a call. The oldest ones are forgotten first.
const MAX_KNOWN_CONTROL_NODES: usize = 64;

/// What a control node sent.
#[derive(Debug)]
pub enum Event {
    /// A heartbeat of the control node in session.
    Heartbeat {
        /// The heartbeat.
        heartbeat: Heartbeat,
        /// When the session heartbeat was sent that this one answers, in seconds; `None` where it answers none. Only an
        /// answer confirms anything: its age is then known.
        requested_at: Option<f64>,
    },
    /// A part of the state that was missing or outdated here.
    Update(StateUpdate),
}

/// What a data node knows of the fleet. Times are seconds on its monotonic clock.
pub struct FleetView {
    /// How long a confirmation by a quorum is valid, in seconds.
    lease: f64,
    /// The newest configuration received, in force or not.
    configuration: Option<Rc<Configuration>>,
    /// Whether `configuration` is in force. Before a quorum confirms one within the lease, it may have been replaced long
    /// ago, and the evacuated zones may be others.
    in_force: bool,
    /// Text of `configuration`, which the next one may be a patch against.
    configuration_text: Vec<u8>,
    /// Bytes of the list of hosts, which the next one may be a patch against.
    host_list: Vec<u8>,
    /// Until when the configuration is confirmed.
    confirmed_until: f64,
    versions: VersionVector,
    leases: Vec<LeaseGrant>,
    control_nodes: Vec<ControlNode>,
    /// Control nodes that were ever listed, those listed last at the end.
    known_control_nodes: Vec<NodeId>,
    data_nodes: Vec<NodeId>,
    /// Cluster clock less the own one, in seconds.
    clock_offset: f64,
}

impl FleetView {
    /// An empty view. `lease` is how long a quorum's confirmation of a configuration is valid, in seconds.
    pub fn new(lease: f64) -> FleetView {
        FleetView {
            lease,
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
    pub fn append(&mut self, now: f64, event: Event) -> Vec<ViewChange> {
        match event {
            Event::Heartbeat { heartbeat, requested_at } => {
                self.apply_heartbeat(now, &heartbeat, requested_at)
            }
            Event::Update(update) => self.apply_update(now, update).into_iter().collect(),
        }
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.clone().filter(|_| self.in_force)
    }

    /// How long a quorum's confirmation is valid, in seconds.
    pub fn lease(&self) -> f64 {
        self.lease
    }

    /// Whether a quorum confirmed, within the lease, that the configuration present here is the newest. Keyed requests may
    /// be served only then.
    pub fn is_confirmed(&self, now: f64) -> bool {
        now < self.confirmed_until
    }

    /// The versions present here, by which a control node finds what is missing.
    pub fn versions(&self) -> &VersionVector {
        &self.versions
    }

    /// The newest known lease of each singleton role.
    pub fn leases(&self) -> &[LeaseGrant] {
        &self.leases
    }

    /// The control nodes, as the control node in session listed them last.
    pub fn control_nodes(&self) -> &[ControlNode] {
        &self.control_nodes
    }

    /// Control nodes that were ever listed and may still exist. The list of a control node that has just started, or is
    /// partitioned, lacks others.
    pub fn known_control_nodes(&self) -> &[NodeId] {
        &self.known_control_nodes
    }

    /// All data nodes that may be at work, this one included, in ascending order; empty where not known yet.
    pub fn data_nodes(&self) -> &[NodeId] {
        &self.data_nodes
    }

    /// Holder of the lease of the quota counter, and the lease's term.
    pub fn counter_holder(&self) -> Option<(NodeId, u64)> {
        self.leases
            .iter()
            .find(|lease| lease.role == SingletonRole::QuotaCounter)
            .map(|lease| (lease.holder, lease.term))
    }

    /// The cluster clock at the own time `now`, in seconds.
    pub fn cluster_clock(&self, now: f64) -> f64 {
        now + self.clock_offset
    }

    /// Takes up a reading of the cluster clock from elsewhere. The clock only goes forward; a reading that is not finite is
    /// ignored.
    pub fn observe_clock(&mut self, now: f64, clock: f64) {
        if clock.is_finite() {
            self.clock_offset = self.clock_offset.max(clock - now);
        }
    }

    /// How far the cluster clock is ahead of the own one, in seconds.
    pub fn clock_offset(&self) -> f64 {
        self.clock_offset
    }

    /// Whether `remote` has a version of anything that is missing here.
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

    /// Takes up the leases with a newer term than the known ones.
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

    /// Extends the confirmation where the heartbeat confirms just what is present here; anything newer has to be requested
    /// first. The lease counts from when the quorum was asked, which was no earlier than `requested_at` less the age.
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
        self.confirmed_until = self.confirmed_until.max(requested_at? - age.max(0.0) + self.lease);
        (was_confirmed != self.is_confirmed(now)).then_some(ViewChange::ConfirmationChanged)
    }

    /// The change to the configuration that is present, where it is in force or a confirmation puts it in force now.
    fn configuration_change(&mut self, now: f64) -> Option<ViewChange> {
        let configuration = self.configuration.clone()?;
        self.in_force |= self.is_confirmed(now);
        self.in_force.then_some(ViewChange::Configuration(configuration))
    }
}
