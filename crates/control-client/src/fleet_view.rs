//! What a data gateway knows, folded from a journal of what it heard: the configuration in force and how long it is vouched
//! for, the hosts, the control gateways, the other data gateways, who holds which duty, and the fleet's clock. Owns the
//! vector of versions by which it pulls what it lacks. Must never go back to an older version, nor vouch for a
//! configuration that it does not hold, nor begin by one that no majority vouched for within the lease.

use archlink_config::Configuration;
use archlink_messages::{
    ControlNode, Heartbeat, HostList, LeaseGrant, NodeId, Register, SingletonRole, StateUpdate,
    VersionVector, decode_evacuated_zones, node_set_fingerprint, patch,
};
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;

/// Events kept, for operators to look at.
const MOST: usize = 64;

/// Control gateways kept in mind to be called.
const MOST_NAMED: usize = 64;

/// What happened.
#[derive(Debug)]
pub enum Event {
    /// A control gateway's sign of life; `asked` is when the hail was sent that it answers.
    Heartbeat { heartbeat: Heartbeat, requested_at: Option<f64> },
    /// Something that was lacking here.
    Update(StateUpdate),
}

/// What an event changed.
#[derive(Clone, Debug)]
pub enum ViewChange {
    Configuration(Rc<Configuration>),
    EvacuatedZones(BTreeSet<String>),
    HostList(HostList),
    /// Who else carries traffic.
    DataNodes,
    ControlNodes,
    /// Who holds a duty.
    Leases,
    /// Whether keys may be served.
    ConfirmationChanged,
    /// What was told can't be used; the text says why.
    InvalidUpdate(String),
}

impl ViewChange {
    /// One line for people.
    pub fn describe(&self) -> String {
        match self {
            ViewChange::Configuration(configuration) => {
                format!("configuration {:08x} is in force", configuration.version)
            }
            ViewChange::EvacuatedZones(zones) => format!("evacuated zones: {zones:?}"),
            ViewChange::HostList(hosts) => {
                format!("list {}.{}: {} hosts", hosts.term, hosts.version, hosts.instances.len())
            }
            ViewChange::DataNodes => "other data gateways".to_string(),
            ViewChange::ControlNodes => "other control gateways".to_string(),
            ViewChange::Leases => "a duty moved".to_string(),
            ViewChange::ConfirmationChanged => "vouched for, or no more".to_string(),
            ViewChange::InvalidUpdate(why) => why.clone(),
        }
    }
}

/// `lease` is for how long a majority's word that a configuration is the newest holds, in seconds.
pub struct FleetView {
    lease: f64,
    events: VecDeque<(f64, String)>,
    configuration: Option<Rc<Configuration>>,
    /// Has a majority vouched, within the lease, for a configuration that was held here? Before that none is in force: it
    /// may have been replaced long ago, and the evacuated zones may be others.
    begun: bool,
    /// Its text, and the bytes of the list of hosts, on which the next ones come as patches.
    text: Vec<u8>,
    list: Vec<u8>,
    vouched: f64,
    vector: VersionVector,
    leases: Vec<LeaseGrant>,
    control_nodes: Vec<ControlNode>,
    /// All control gateways that were ever named here, the last ones last.
    named: Vec<NodeId>,
    data_nodes: Vec<NodeId>,
    /// The fleet's clock is the own steady one and this.
    ahead: f64,
}

impl FleetView {
    pub fn new(lease: f64) -> FleetView {
        FleetView {
            lease,
            events: VecDeque::new(),
            configuration: None,
            begun: false,
            text: Vec::new(),
            list: Vec::new(),
            vouched: f64::NEG_INFINITY,
            vector: VersionVector::default(),
            leases: Vec::new(),
            control_nodes: Vec::new(),
            named: Vec::new(),
            data_nodes: Vec::new(),
            ahead: 0.0,
        }
    }

    /// Appends what happened and folds it; gives back what it changed.
    pub fn append(&mut self, now: f64, event: Event) -> Vec<ViewChange> {
        let turns = match event {
            Event::Heartbeat { heartbeat: beat, requested_at: asked } => self.heard(now, &beat, asked),
            Event::Update(piece) => self.told(now, piece).into_iter().collect(),
        };
        for turn in &turns {
            if self.events.len() >= MOST {
                self.events.pop_front();
            }
            self.events.push_back((now, turn.describe()));
        }
        turns
    }

    /// The last events that changed something, oldest first.
    pub fn recent(&self) -> impl Iterator<Item = &(f64, String)> {
        self.events.iter()
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.clone().filter(|_| self.begun)
    }

    /// For how long a majority's word holds.
    pub fn lease(&self) -> f64 {
        self.lease
    }

    /// May keys be served by the configuration that is held?
    pub fn is_confirmed(&self, now: f64) -> bool {
        now < self.vouched
    }

    pub fn versions(&self) -> &VersionVector {
        &self.vector
    }

    pub fn leases(&self) -> &[LeaseGrant] {
        &self.leases
    }

    pub fn control_nodes(&self) -> &[ControlNode] {
        &self.control_nodes
    }

    /// Control gateways that were named once and may be there still: the list of one that only started, or is cut off,
    /// lacks them.
    pub fn known_control_nodes(&self) -> &[NodeId] {
        &self.named
    }

    /// All data gateways that may be at work, this one among them, in the order of their numbers; empty is not known yet.
    pub fn data_nodes(&self) -> &[NodeId] {
        &self.data_nodes
    }

    /// Who holds the counts, and in which term.
    pub fn counter_holder(&self) -> Option<(NodeId, u64)> {
        self.leases
            .iter()
            .find(|post| post.role == SingletonRole::QuotaCounter)
            .map(|post| (post.holder, post.term))
    }

    pub fn cluster_clock(&self, now: f64) -> f64 {
        now + self.ahead
    }

    /// The fleet's clock never goes back.
    pub fn observe_clock(&mut self, now: f64, clock: f64) {
        if clock.is_finite() {
            self.ahead = self.ahead.max(clock - now);
        }
    }

    /// How far the fleet's clock is ahead of the own one.
    pub fn clock_offset(&self) -> f64 {
        self.ahead
    }

    /// Does that vector name anything that is lacking here?
    pub fn is_behind(&self, theirs: &VersionVector) -> bool {
        let mine = &self.vector;
        theirs.configuration > mine.configuration
            || theirs.evacuations > mine.evacuations
            || theirs.hosts > mine.hosts
            || theirs.control_nodes != mine.control_nodes
            || (theirs.data_nodes != mine.data_nodes && theirs.data_nodes != 0)
    }

    fn heard(&mut self, now: f64, beat: &Heartbeat, asked: Option<f64>) -> Vec<ViewChange> {
        self.observe_clock(now, beat.cluster_clock);
        let mut turns = Vec::new();
        for post in &beat.leases {
            match self.leases.iter_mut().find(|known| known.role == post.role) {
                Some(known) if known.term >= post.term => continue,
                Some(known) => *known = *post,
                None => self.leases.push(*post),
            }
            turns.push(ViewChange::Leases);
        }
        // It vouches only for what is held here: what is newer has to be pulled first.
        let (theirs, mine) = (&beat.versions, &self.vector);
        let held = theirs.configuration == mine.configuration && theirs.evacuations <= mine.evacuations;
        let confirmed = beat.confirmed_age.filter(|_| held);
        if let (Some(asked), Some(age)) = (asked, confirmed) {
            let before = self.is_confirmed(now);
            self.vouched = self.vouched.max(asked - age.max(0.0) + self.lease);
            turns.extend((before != self.is_confirmed(now)).then_some(ViewChange::ConfirmationChanged));
        }
        if !self.begun {
            turns.extend(self.chart_turn(now));
        }
        turns
    }

    /// The configuration that is held, if it is in force, or comes to be by what was vouched for.
    fn chart_turn(&mut self, now: f64) -> Option<ViewChange> {
        let configuration = self.configuration.clone()?;
        self.begun |= self.is_confirmed(now);
        self.begun.then_some(ViewChange::Configuration(configuration))
    }

    fn told(&mut self, now: f64, piece: StateUpdate) -> Option<ViewChange> {
        match piece {
            StateUpdate::ConfigurationPatch { stamp, base, packed } if stamp > self.vector.configuration => {
                self.unpack(now, stamp, base, &packed)
            }
            StateUpdate::Chosen(Register::Evacuations, held)
                if held.ordering_key() > self.vector.evacuations =>
            {
                self.vector.evacuations = held.ordering_key();
                Some(ViewChange::EvacuatedZones(decode_evacuated_zones(&held.value)))
            }
            StateUpdate::HostList(hosts) if hosts.revision() > self.vector.hosts => {
                (self.list, self.vector.hosts) = (hosts.to_bytes(), hosts.revision());
                Some(ViewChange::HostList(hosts))
            }
            // A patch on another list than the one held was made for what was held before: asked for again.
            StateUpdate::HostListPatch { stamp, base, packed }
                if stamp > self.vector.hosts && base == self.vector.hosts =>
            {
                self.patch_hosts(stamp, &packed)
            }
            StateUpdate::ControlNodes(control_nodes) => {
                self.vector.control_nodes = node_set_fingerprint(control_nodes.iter().map(|k| k.node));
                self.named.retain(|node| control_nodes.iter().all(|k| k.node != *node));
                self.named.extend(control_nodes.iter().map(|k| k.node));
                self.named.drain(..self.named.len().saturating_sub(MOST_NAMED));
                self.control_nodes = control_nodes;
                Some(ViewChange::ControlNodes)
            }
            StateUpdate::DataNodes(data_nodes) => {
                self.vector.data_nodes = node_set_fingerprint(data_nodes.iter().copied());
                self.data_nodes = data_nodes;
                Some(ViewChange::DataNodes)
            }
            _ => None,
        }
    }

    fn patch_hosts(&mut self, stamp: (u64, u64), packed: &[u8]) -> Option<ViewChange> {
        let read =
            patch::decompress(packed, &self.list).and_then(|list| Ok((HostList::from_bytes(&list)?, list)));
        match read {
            Ok((hosts, list)) if hosts.revision() == stamp => {
                (self.list, self.vector.hosts) = (list, stamp);
                Some(ViewChange::HostList(hosts))
            }
            // Asked for as a whole: nothing is held.
            _ => {
                self.vector.hosts = (0, 0);
                Some(ViewChange::InvalidUpdate(
                    "a change of the list of hosts can't be read; the whole is asked for".into(),
                ))
            }
        }
    }

    fn unpack(&mut self, now: f64, stamp: u64, base: u64, packed: &[u8]) -> Option<ViewChange> {
        if base != 0 && base != self.vector.configuration {
            // Made for what was held when it was asked for: the next beat has it asked for again.
            return None;
        }
        let text = match patch::decompress(packed, if base == 0 { b"" } else { &self.text }) {
            Ok(text) => text,
            Err(e) => {
                return Some(ViewChange::InvalidUpdate(format!("a configuration can't be unpacked: {e}")));
            }
        };
        match Configuration::read(&text) {
            Ok(configuration) => {
                (self.text, self.vector.configuration, self.configuration) =
                    (text, stamp, Some(Rc::new(configuration)));
                self.chart_turn(now)
            }
            Err(e) => {
                Some(ViewChange::InvalidUpdate(format!("a configuration that was chosen can't be read: {e}")))
            }
        }
    }
}
