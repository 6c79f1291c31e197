//! The state that all requests of a data node share.
//!
//! A data node is single-threaded: `RefCell` borrows are short and never held across an await.

use crate::metrics::Metrics;
use crate::quota_state::QuotaState;
use archlink_balancer::balancer::{Balancer, WarmUpBound};
use archlink_balancer::retry_budget::{RetryBound, RetryBudget};
use archlink_config::{Configuration, Settings};
use archlink_control_client::fleet_view::FleetView;
use archlink_http::codec::ClientCodec;
use archlink_http::connection_pool::ConnectionPool;
use archlink_messages::{DataNode, NodeId};
use archlink_runtime::Clock;
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use tokio::sync::Notify;

/// Seconds before the revocation bound at which an unconfirmed configuration stops serving keys: the last attempt that was
/// started may still be on its way to the host.
const REVOKE_MARGIN: f64 = 0.7;

/// The shared state of one data node.
pub struct DataPlane {
    /// The settings, as read and validated at the start.
    pub settings: Settings,
    /// The process clock: seconds since the process started.
    pub clock: Clock,
    /// Connections to hosts.
    pub pool: Rc<ConnectionPool<ClientCodec>>,
    /// Configuration, hosts and nodes as reported by the control plane.
    pub fleet_view: RefCell<FleetView>,
    /// Selects hosts and tracks their load and health.
    pub balancer: RefCell<Balancer>,
    /// Limits retries and hedged requests in proportion to first attempts.
    pub retry_budget: RefCell<RetryBudget>,
    /// The state of quota enforcement.
    pub quota: QuotaState,
    /// Metrics for operators.
    pub metrics: Metrics,
    /// Whether graceful shutdown has begun, so that the node is no longer ready.
    pub draining: Cell<bool>,
    /// Notified when readiness or the holder of the quota counter's lease may have changed.
    pub state_changed: Notify,
}

impl DataPlane {
    /// Creates the state of a node that has no configuration and knows no hosts yet.
    pub fn new(settings: Settings, clock: Clock, pool: Rc<ConnectionPool<ClientCodec>>) -> Rc<DataPlane> {
        let bounds = settings.timing_bounds;
        let warm_up = WarmUpBound { overrun: bounds.warm_up_overrun, slack: bounds.warm_up_slack };
        let node = archlink_runtime::node_id(settings.ip);
        let (zone, region, zones) = (settings.zone.clone(), settings.region.clone(), settings.zones.clone());
        let balancer = Balancer::new(node, zone, region, zones, warm_up, archlink_runtime::random_seed());
        Rc::new(DataPlane {
            clock,
            pool,
            fleet_view: RefCell::new(FleetView::new(bounds.revoke - REVOKE_MARGIN)),
            balancer: RefCell::new(balancer),
            retry_budget: RefCell::default(),
            metrics: Metrics::new(),
            quota: QuotaState::new(clock.now()),
            draining: Cell::new(false),
            state_changed: Notify::new(),
            settings,
        })
    }

    /// The configuration that is in force, if any.
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.fleet_view.borrow().configuration()
    }

    /// The time in seconds on the cluster clock, which the quota counter's holder and all data nodes share.
    pub fn cluster_clock(&self) -> f64 {
        self.fleet_view.borrow().cluster_clock(self.clock.now())
    }

    /// Records the cluster clock that a message from the counter's holder carried.
    pub fn observe_clock(&self, clock: f64) {
        self.fleet_view.borrow_mut().observe_clock(self.clock.now(), clock);
    }

    /// Whether a quorum has confirmed the configuration recently enough to serve keyed requests. To be checked before each
    /// attempt.
    pub fn is_confirmed(&self) -> bool {
        self.fleet_view.borrow().is_confirmed(self.clock.now())
    }

    /// Whether the node is ready for clients. A node that has just started has no local shares yet, so it waits for the
    /// quota counter, but at most for one quota window. A node that loses the counter later stays ready.
    pub fn is_ready(&self) -> bool {
        let quota_ready =
            self.quota.counter_was_reachable() || self.clock.now() > self.settings.timing_bounds.quota_window;
        quota_ready
            && !self.draining.get()
            && self.configuration().is_some()
            && self.is_confirmed()
            && self.balancer.borrow().host_counts().1 > 0
    }

    /// This node as it registers with the control plane.
    pub fn data_node(&self) -> DataNode {
        let client_address = match self.settings.client_address {
            Some(SocketAddr::V4(address)) => address,
            _ => SocketAddrV4::new(self.settings.ip, 0),
        };
        DataNode {
            node: archlink_runtime::node_id(self.settings.ip),
            zone: self.settings.zone.clone(),
            region: self.settings.region.clone(),
            client_address,
            ready: self.is_ready(),
        }
    }

    /// The holder and the term of the quota counter's lease, if known.
    pub fn counter_holder(&self) -> Option<(NodeId, u64)> {
        self.fleet_view.borrow().counter_holder()
    }

    /// Number of data nodes that may be running; 0 if not known yet.
    pub fn data_node_count(&self) -> u32 {
        self.fleet_view.borrow().data_nodes().len() as u32
    }

    /// The bound on retries from the settings.
    pub fn retry_bound(&self) -> RetryBound {
        RetryBound {
            ratio: self.settings.timing_bounds.retry_ratio,
            slack: self.settings.timing_bounds.retry_slack,
        }
    }
}
