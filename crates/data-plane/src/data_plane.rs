//! The state that all requests of a data node share: settings, clock, fleet view, balancer, retry budget, pool, quotas.
//!
//! Single-threaded: `RefCell` borrows are short and never held across an await.

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

/// Seconds by which keyed requests stop before the configuration's revocation bound: an attempt that was started in time
/// may still be on its way to the host.
const REVOKE_MARGIN: f64 = 0.7;

/// The shared state of one data node.
pub struct DataPlane {
    /// The validated settings file, as it was at the start.
    pub settings: Settings,
    /// Seconds since the process started.
    pub clock: Clock,
    /// Pooled connections to hosts.
    pub pool: Rc<ConnectionPool<ClientCodec>>,
    /// Configuration, hosts and nodes as the control plane reports them.
    pub fleet_view: RefCell<FleetView>,
    /// Chooses hosts and keeps what is known of their load and health.
    pub balancer: RefCell<Balancer>,
    /// Bounds retries and hedged requests by the rate of first attempts.
    pub retry_budget: RefCell<RetryBudget>,
    /// What quota admission keeps between requests.
    pub quota: QuotaState,
    /// Counted for operators.
    pub metrics: Metrics,
    /// Graceful shutdown has begun: the node is not ready any more.
    pub draining: Cell<bool>,
    /// Notified when readiness or the holder of the quota counter may have changed.
    pub state_changed: Notify,
}

impl DataPlane {
    /// A node that has no configuration and knows no hosts yet.
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

    /// The configuration in force, if any.
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.fleet_view.borrow().configuration()
    }

    /// Seconds of the clock that the quota counter's holder and all data nodes share.
    pub fn cluster_clock(&self) -> f64 {
        self.fleet_view.borrow().cluster_clock(self.clock.now())
    }

    /// A message of the counter's holder carried its cluster clock.
    pub fn observe_clock(&self, clock: f64) {
        self.fleet_view.borrow_mut().observe_clock(self.clock.now(), clock);
    }

    /// Whether a quorum has confirmed the configuration recently enough for keys to be served by it. Asked anew before
    /// each attempt.
    pub fn is_confirmed(&self) -> bool {
        self.fleet_view.borrow().is_confirmed(self.clock.now())
    }

    /// Whether clients can be sent here. A node that has only just started has no local share yet and waits for the
    /// quota counter, for one quota window at most; one that loses the counter later stays ready.
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

    /// The holder of the quota counter's lease, and the term of that lease.
    pub fn counter_holder(&self) -> Option<(NodeId, u64)> {
        self.fleet_view.borrow().counter_holder()
    }

    /// Data nodes that may be serving; 0 is not known yet.
    pub fn data_node_count(&self) -> u32 {
        self.fleet_view.borrow().data_nodes().len() as u32
    }

    /// The bound on retries that the settings give.
    pub fn retry_bound(&self) -> RetryBound {
        RetryBound {
            ratio: self.settings.timing_bounds.retry_ratio,
            slack: self.settings.timing_bounds.retry_slack,
        }
    }
}
