//! A data gateway's session with a control gateway: which one to call, when to hail it, what to pull, and when to leave it
//! for another. Must never ask for a thing twice while it is on its way, nor stay with a control gateway that is silent or
//! that no majority answers.

use crate::fleet_view::{Event, FleetView, ViewChange};
use archlink_messages::{DataNode, Message, NodeId};
use std::cmp::Ordering;
use std::collections::HashMap;

/// Between two signs of life.
const HAIL_EVERY: f64 = 0.4;
/// Three hails without an answer: the control gateway is left.
const SILENT: f64 = 1.3;
/// A control gateway that no majority has answered for so long is cut off itself: another may not be. Slow disks at a
/// majority make it wait for less.
const STALE: f64 = 2.5;
/// But so much of a lease must be left: the next one may not be reached, or be cut off as well and silent.
const LEFT: f64 = 1.8;
/// What was asked for and has not come is asked for again after this.
const PULL_AGAIN: f64 = 1.0;
/// After a configuration the next one may wait so long: to read one whole takes a small machine's time from its requests, and
/// of several in quick succession only the last one counts.
const CHART_REST: f64 = 0.4;
/// A control gateway that failed is called after all others for so long.
const SHUN: f64 = 5.0;
/// How long a session in another zone stands before a nearer control gateway is tried again.
const NEARER: f64 = 10.0;
/// Between the end of one session and the next call.
const AGAIN: f64 = 0.1;
/// News is passed on this soon: what comes at once goes in one hail.
const SOON: f64 = 0.02;

/// How far a control gateway is: the own zone, the own region, elsewhere, or only its address is known.
const UNPLACED: u8 = 3;

/// What the driver is to do.
#[derive(Clone, Debug)]
pub enum SessionAction {
    /// Open a connection to this control gateway and tell `called` what came of it.
    Connect(NodeId),
    Disconnect,
    Send(Message),
    /// A line for the log.
    Warn(String),
}

/// Where a data gateway stands, and the control gateways that it was told of at its start.
#[derive(Clone, Debug)]
pub struct LocalNode {
    pub node: NodeId,
    pub zone: String,
    pub region: String,
    pub seeds: Vec<NodeId>,
}

struct Standing {
    node: NodeId,
    far: u8,
    began: f64,
    heard: f64,
    /// When a majority was last known to answer it.
    fresh: f64,
    pulled: f64,
    /// Nothing is pulled before.
    rest_until: f64,
    /// Hails out, by number, with the time of each.
    sent: HashMap<u64, f64>,
    hail_at: f64,
}

enum Phase {
    Resting(f64),
    Calling(NodeId, u8),
    Standing(Box<Standing>),
}

pub struct Session {
    place: LocalNode,
    phase: Phase,
    failed: HashMap<NodeId, f64>,
    serial: u64,
}

impl Session {
    pub fn new(place: LocalNode) -> Session {
        Session { place, phase: Phase::Resting(f64::NEG_INFINITY), failed: HashMap::new(), serial: 0 }
    }

    /// Control gateways, those to call first at the front, with how far each is.
    fn order(&self, now: f64, views: &FleetView) -> Vec<(NodeId, u8)> {
        let far = |k: &archlink_messages::ControlNode| {
            if k.zone == self.place.zone { 0 } else { 1 + u8::from(k.region != self.place.region) }
        };
        let mut all: Vec<(NodeId, u8)> = views.control_nodes().iter().map(|k| (k.node, far(k))).collect();
        for &node in self.place.seeds.iter().chain(views.known_control_nodes()) {
            if !all.iter().any(|(known, _)| *known == node) {
                all.push((node, UNPLACED));
            }
        }
        // Of several that failed the one that did so first is tried again first: the nearest one would be called again and again,
        // and one that is cut off names no other control gateway, so that it is the nearest.
        let since = |node: &NodeId| self.failed.get(node).filter(|at| now < **at + SHUN).copied();
        // Among equals each data gateway has an order of its own, so that they don't all call the same one.
        let own = |node: &NodeId| (node ^ self.place.node).wrapping_mul(0x9e37_79b9);
        let first = |a: &NodeId, b: &NodeId| since(a).partial_cmp(&since(b)).unwrap_or(Ordering::Equal);
        all.sort_by_key(|(node, far)| (*far, own(node)));
        all.sort_by(|(a, _), (b, _)| first(a, b));
        all
    }

    /// When to call `tick`.
    pub fn wake_at(&self) -> f64 {
        match &self.phase {
            Phase::Resting(until) => *until,
            Phase::Calling(..) => f64::INFINITY,
            Phase::Standing(standing) => standing.hail_at,
        }
    }

    /// The control gateway in session with this gateway.
    pub fn peer(&self) -> Option<NodeId> {
        if let Phase::Standing(standing) = &self.phase { Some(standing.node) } else { None }
    }

    /// The control gateways that the settings file names now.
    pub fn set_seeds(&mut self, seeds: Vec<NodeId>) {
        self.place.seeds = seeds;
    }

    /// What a hail carries has changed.
    pub fn heartbeat_soon(&mut self, now: f64) {
        if let Phase::Standing(standing) = &mut self.phase {
            standing.hail_at = standing.hail_at.min(now + SOON);
        }
    }

    fn end(&mut self, now: f64, node: NodeId, why: &str) -> Vec<SessionAction> {
        self.failed.insert(node, now);
        self.phase = Phase::Resting(now + AGAIN);
        let name = std::net::Ipv4Addr::from(node);
        vec![SessionAction::Disconnect, SessionAction::Warn(format!("session with {name} ended: {why}"))]
    }

    /// What came of a call.
    pub fn connected(&mut self, now: f64, result: Result<(), String>) -> Vec<SessionAction> {
        let Phase::Calling(node, far) = self.phase else { return Vec::new() };
        if let Err(why) = result {
            return self.end(now, node, &why);
        }
        let (began, heard, fresh, hail_at) = (now, now, now, now);
        let (pulled, rest_until, sent) = (f64::NEG_INFINITY, f64::NEG_INFINITY, HashMap::new());
        let standing = Standing { node, far, began, heard, fresh, pulled, rest_until, sent, hail_at };
        self.phase = Phase::Standing(Box::new(standing));
        Vec::new()
    }

    /// The connection ended.
    pub fn connection_lost(&mut self, now: f64, why: &str) -> Vec<SessionAction> {
        match self.peer() {
            Some(node) => self.end(now, node, why),
            None => Vec::new(),
        }
    }

    /// A word of the control gateway; what it turned goes with the acts.
    pub fn step(
        &mut self,
        now: f64,
        word: Message,
        views: &mut FleetView,
    ) -> (Vec<SessionAction>, Vec<ViewChange>) {
        let Phase::Standing(standing) = &mut self.phase else { return Default::default() };
        match word {
            Message::Heartbeat(beat) => {
                let asked = standing.sent.remove(&beat.serial);
                if asked.is_some() {
                    standing.heard = now;
                    standing.sent.retain(|number, _| *number > beat.serial);
                }
                let fresh = beat.confirmed_age.map_or(f64::NEG_INFINITY, |age| now - age.max(0.0));
                standing.fresh = standing.fresh.max(fresh);
                let lacks = views.is_behind(&beat.versions);
                let turns = views.append(now, Event::Heartbeat { heartbeat: beat, requested_at: asked });
                // What is on its way is not asked for twice: a narrow link would carry it twice.
                if lacks && now > standing.pulled + PULL_AGAIN && now >= standing.rest_until {
                    standing.pulled = now;
                    return (
                        vec![SessionAction::Send(Message::UpdateRequest(views.versions().clone()))],
                        turns,
                    );
                }
                (Vec::new(), turns)
            }
            Message::StateUpdates(pieces) => {
                standing.pulled = f64::NEG_INFINITY;
                // What it vouched for may be held only now.
                standing.hail_at = now;
                let told = pieces.into_iter().flat_map(|piece| views.append(now, Event::Update(piece)));
                let turns: Vec<ViewChange> = told.collect();
                if turns.iter().any(|turn| matches!(turn, ViewChange::Configuration(_))) {
                    standing.rest_until = now + CHART_REST;
                }
                (Vec::new(), turns)
            }
            _ => Default::default(),
        }
    }

    /// `pilot` is what this gateway says of itself.
    pub fn tick(
        &mut self,
        now: f64,
        views: &FleetView,
        data_node: impl FnOnce() -> DataNode,
    ) -> Vec<SessionAction> {
        if now < self.wake_at() {
            return Vec::new();
        }
        if let Phase::Resting(_) = self.phase {
            let Some(&(node, far)) = self.order(now, views).first() else {
                self.phase = Phase::Resting(now + AGAIN);
                return Vec::new();
            };
            self.phase = Phase::Calling(node, far);
            return vec![SessionAction::Connect(node)];
        }
        let nearest = self.order(now, views).first().map(|(_, far)| *far);
        let Phase::Standing(standing) = &mut self.phase else { return Vec::new() };
        let node = standing.node;
        if now > standing.heard + SILENT {
            return self.end(now, node, "it is silent");
        }
        if now > standing.fresh + STALE.min(views.lease() - LEFT).max(HAIL_EVERY) {
            return self.end(now, node, "no majority answers it");
        }
        let nearer = nearest.is_some_and(|first| first < standing.far);
        if nearer && (now > standing.began + NEARER || standing.far == UNPLACED) {
            self.phase = Phase::Resting(now);
            return vec![SessionAction::Disconnect];
        }
        self.serial += 1;
        standing.sent.insert(self.serial, now);
        standing.hail_at = now + HAIL_EVERY;
        let (serial, clock, terms) = (self.serial, views.cluster_clock(now), views.leases().to_vec());
        vec![SessionAction::Send(Message::SessionHeartbeat {
            serial,
            data_node: data_node(),
            clock,
            leases: terms,
        })]
    }
}
