//! Slow start: how many requests a host that is warming up gets from this data node.
//!
//! The bound on the requests that all data nodes together send to such a host in any one second:
//!
//! ```text
//! warm_up_rate * overrun + slack
//! ```
//!
//! It is divided among the data nodes without communication, by each node's rank for the host: where there are more
//! data nodes than requests, some get one request each, and other data nodes do for another host (`docs/system.md`,
//! "Warm-up").

use archlink_messages::{NodeId, NodeRank};
use std::collections::{HashMap, VecDeque};

/// Requests per second of the bound that no data node may send: the nodes' views of which data nodes there are may
/// differ by one or two.
const UNASSIGNED_REQUESTS: f64 = 2.0;
/// Seconds over which requests are counted: the bound's one second, and a margin for requests that arrive closer
/// together than they were sent.
const COUNTING_WINDOW: f64 = 1.05;
/// Seconds for which the times of sent requests are kept, longer than [`COUNTING_WINDOW`].
const HISTORY_LENGTH: f64 = 2.0;
/// Seconds by which the list of hosts, and the update that ends an evacuation, may be delayed.
const MAX_LIST_DELAY: f64 = 1.5;

/// The parameters of the bound on hosts that are warming up, from the operators' `TimingBounds`.
#[derive(Clone, Copy, Debug)]
pub struct WarmUpBound {
    /// Factor on the service's warm-up rate.
    pub overrun: f64,
    /// Requests allowed beyond that.
    pub slack: f64,
}

/// A service's configuration of hosts that are warming up.
#[derive(Clone, Copy, Debug, Default)]
pub struct WarmUpLimits {
    /// Requests per second that a host can take while it is warming up; 0 is unlimited.
    pub warm_up_rate: f64,
    /// Longest warm-up of a host in seconds.
    pub warm_up_period: f64,
}

/// This data node, and all data nodes that may be running.
#[derive(Debug)]
pub(crate) struct DataNodes {
    pub(crate) local: NodeId,
    pub(crate) all: Vec<NodeId>,
}

/// The warm-up limits of all services, and the bound that applies to each.
#[derive(Debug)]
pub(crate) struct SlowStart {
    pub(crate) bound: WarmUpBound,
    pub(crate) services: HashMap<String, WarmUpLimits>,
}

impl SlowStart {
    fn limits(&self, service: &str) -> WarmUpLimits {
        self.services.get(service).copied().unwrap_or_default()
    }

    /// The latest end of a warm-up that this data node may not know of, for a host in a zone whose evacuation ends now.
    pub(crate) fn latest_warm_up_end(&self, now: f64, service: &str) -> f64 {
        now + self.limits(service).warm_up_period + MAX_LIST_DELAY
    }

    /// Whether this data node may send another request now to a host that is warming up.
    pub(crate) fn allows_request(
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
        let assigned_requests = (bound - UNASSIGNED_REQUESTS).max(0.0) as usize;
        let portion = NodeRank::of(nodes.local, host_id, &nodes.all).portion(assigned_requests);
        warm_up.recent_requests(now) < portion
    }
}

/// The warm-up of one host.
#[derive(Debug)]
pub(crate) struct WarmUp {
    until: f64,
    /// When requests were sent during the warm-up, for the last [`HISTORY_LENGTH`] seconds.
    sent_at: VecDeque<f64>,
}

impl WarmUp {
    pub(crate) fn new(until: f64) -> WarmUp {
        WarmUp { until, sent_at: VecDeque::new() }
    }

    pub(crate) fn is_active(&self, now: f64) -> bool {
        now < self.until
    }

    /// Extends the warm-up to `until` if it would end earlier.
    pub(crate) fn extend(&mut self, until: f64) {
        self.until = self.until.max(until);
    }

    pub(crate) fn request_sent(&mut self, now: f64) {
        if self.is_active(now) {
            self.sent_at.retain(|sent_at| *sent_at + HISTORY_LENGTH > now);
            self.sent_at.push_back(now);
        }
    }

    /// Number of requests sent within the last [`COUNTING_WINDOW`] seconds.
    fn recent_requests(&self, now: f64) -> usize {
        self.sent_at.iter().filter(|sent_at| **sent_at + COUNTING_WINDOW > now).count()
    }
}
