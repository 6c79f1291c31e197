//! Slow start: how many requests a host that is warming up gets from this data node.
//!
//! The bound, for each host that is warming up, in any one second over all data nodes:
//!
//! ```text
//! warm_up_rate * overrun + slack
//! ```
//!
//! It is split among the data nodes by rank for each host, without a message: where there are more data nodes than
//! requests, some have one each, others for another host (`docs/system.md`, "Warm-up").

use archlink_messages::{NodeId, NodeRank};
use std::collections::{HashMap, VecDeque};

/// Requests a second of the bound that nobody is given: data nodes may differ by one or two in whom they know of.
const UNASSIGNED_REQUESTS: f64 = 2.0;
/// Seconds over which requests are counted: the bound's second, and a margin for requests that arrive closer together
/// than they were sent.
const COUNTING_WINDOW: f64 = 1.05;
/// Seconds for which sent requests are remembered, longer than [`COUNTING_WINDOW`].
const HISTORY: f64 = 2.0;
/// Seconds by which the list of hosts, and the update that ends an evacuation, may lag behind.
const LIST_LAG: f64 = 1.5;

/// The figures of the bound on hosts that are warming up, from the operators' `TimingBounds`.
#[derive(Clone, Copy, Debug)]
pub struct WarmUpBound {
    /// Factor on the service's warm-up rate.
    pub overrun: f64,
    /// Requests on top of that.
    pub slack: f64,
}

/// What a service's configuration says about hosts that are warming up.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceLimits {
    /// Requests a second that a host bears while it is warming up; 0 is no bound.
    pub warm_up_rate: f64,
    /// Longest warm-up of a host in seconds.
    pub warm_up_period: f64,
}

/// This data node and all that may be running.
#[derive(Debug)]
pub(crate) struct DataNodes {
    pub(crate) local: NodeId,
    pub(crate) all: Vec<NodeId>,
}

/// The limits of all services and the bound that applies to each.
#[derive(Debug)]
pub(crate) struct SlowStart {
    pub(crate) bound: WarmUpBound,
    pub(crate) services: HashMap<String, ServiceLimits>,
}

impl SlowStart {
    fn limits(&self, service: &str) -> ServiceLimits {
        self.services.get(service).copied().unwrap_or_default()
    }

    /// Until when a host may be warming up unnoticed whose zone's evacuation ends now.
    pub(crate) fn longest_warm_up(&self, now: f64, service: &str) -> f64 {
        now + self.limits(service).warm_up_period + LIST_LAG
    }

    /// Whether a host that is warming up may get one more request from this data node now.
    pub(crate) fn has_room(
        &self,
        now: f64,
        service: &str,
        host_id: &str,
        warm_up: &WarmUp,
        nodes: &DataNodes,
    ) -> bool {
        let limits = self.limits(service);
        if limits.warm_up_rate <= 0.0 {
            return true;
        }
        let bound = limits.warm_up_rate * self.bound.overrun + self.bound.slack;
        let assigned = (bound - UNASSIGNED_REQUESTS).max(0.0) as usize;
        let portion = NodeRank::of(nodes.local, host_id, &nodes.all).portion(assigned);
        warm_up.sent_recently(now) < portion
    }
}

/// The warm-up of one host.
#[derive(Debug)]
pub(crate) struct WarmUp {
    until: f64,
    /// When requests were sent during the warm-up; those of the last [`HISTORY`] seconds.
    sent_at: VecDeque<f64>,
}

impl WarmUp {
    pub(crate) fn new(until: f64) -> WarmUp {
        WarmUp { until, sent_at: VecDeque::new() }
    }

    pub(crate) fn is_active(&self, now: f64) -> bool {
        now < self.until
    }

    /// The host warms up until `until` at least.
    pub(crate) fn extend(&mut self, until: f64) {
        self.until = self.until.max(until);
    }

    pub(crate) fn request_sent(&mut self, now: f64) {
        if self.is_active(now) {
            self.sent_at.retain(|at| *at + HISTORY > now);
            self.sent_at.push_back(now);
        }
    }

    fn sent_recently(&self, now: f64) -> usize {
        self.sent_at.iter().filter(|at| **at + COUNTING_WINDOW > now).count()
    }
}
