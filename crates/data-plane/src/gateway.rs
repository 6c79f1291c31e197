//! What a request meets at a data gateway, in one place: the views of configuration and fleet, hosts, shares and budgets,
//! and the way to the counter. Owns how news is handed to those that go by it. Must never block or wait: tasks look, step,
//! and go on.

use crate::metrics::Metrics;
use archlink_balancer::balancer::{Balancer, ServiceLimits, WarmUpBound};
use archlink_balancer::retry_budget::{RetryBound, RetryBudget};
use archlink_config::{Configuration, Settings, Tenant};
use archlink_control_client::fleet_view::{FleetView, ViewChange};
use archlink_http::codec::ClientCodec;
use archlink_http::connection_pool::ConnectionPool;
use archlink_messages::{CounterAdd, DataNode, NodeId, NodeRank};
use archlink_quota::counter_client::{Asker, Quota, Verdict};
use archlink_quota::local_share::{LocalShare, QuotaBound};
use archlink_quota::pending_calls::CallResult;
use archlink_runtime::Clock;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use tokio::sync::{Notify, oneshot};

/// Keys are served this much shorter than the rule allows: what was let on may still be on its way.
const REVOKE_MARGIN: f64 = 0.7;
/// A client refused without a count is told to come back when there may be a counter again.
const UNCOUNTED_WAIT: f64 = 0.3;

pub struct Gateway {
    pub settings: Settings,
    pub clock: Clock,
    pub kept: Rc<ConnectionPool<ClientCodec>>,
    pub views: RefCell<FleetView>,
    pub balancer: RefCell<Balancer>,
    pub budget: RefCell<RetryBudget>,
    pub metrics: Metrics,
    shares: RefCell<HashMap<String, LocalShare>>,
    asker: RefCell<Asker>,
    verdicts: RefCell<HashMap<u32, oneshot::Sender<Verdict>>>,
    pub leaving: Cell<bool>,
    /// Does the holder of the counts answer? Where it doesn't, nobody waits for it.
    counted: Cell<bool>,
    has_counted: Cell<bool>,
    /// Rung when there are adds to send, or the module's wake-up is sooner than before.
    pub to_count: Notify,
    pub to_wake: Notify,
    woken_at: Cell<f64>,
    /// Rung when readiness or the holder of the counts may have changed.
    pub turned: Notify,
}

impl Gateway {
    pub fn new(settings: Settings, clock: Clock, kept: Rc<ConnectionPool<ClientCodec>>) -> Rc<Gateway> {
        let bounds = settings.timing_bounds;
        let cold = WarmUpBound { overrun: bounds.warm_up_overrun, slack: bounds.warm_up_slack };
        let me = archlink_runtime::node_id(settings.ip);
        let (zone, region, zones) = (settings.zone.clone(), settings.region.clone(), settings.zones.clone());
        let balancer = Balancer::new(me, zone, region, zones, cold, archlink_runtime::random_seed());
        Rc::new(Gateway {
            clock,
            kept,
            views: RefCell::new(FleetView::new(bounds.revoke - REVOKE_MARGIN)),
            balancer: RefCell::new(balancer),
            budget: RefCell::default(),
            metrics: Metrics::new(),
            shares: RefCell::default(),
            asker: RefCell::new(Asker::new(clock.now(), archlink_runtime::random_seed())),
            verdicts: RefCell::default(),
            leaving: Cell::new(false),
            counted: Cell::new(false),
            has_counted: Cell::new(false),
            to_count: Notify::new(),
            to_wake: Notify::new(),
            woken_at: Cell::new(f64::INFINITY),
            turned: Notify::new(),
            settings,
        })
    }

    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.views.borrow().configuration()
    }

    pub fn fleet_clock(&self) -> f64 {
        self.views.borrow().cluster_clock(self.clock.now())
    }

    pub fn heard_clock(&self, clock: f64) {
        self.views.borrow_mut().observe_clock(self.clock.now(), clock);
    }

    /// May keys be served by the configuration that is held? Asked again before each hand-off.
    pub fn vouched(&self) -> bool {
        self.views.borrow().is_confirmed(self.clock.now())
    }

    /// Can clients be sent here? A gateway that has only started has no share yet, and waits for the counter; one that has
    /// lost the counter later goes on.
    pub fn ready(&self) -> bool {
        let counts = self.has_counted.get() || self.clock.now() > self.settings.timing_bounds.quota_window;
        counts
            && !self.leaving.get()
            && self.configuration().is_some()
            && self.vouched()
            && self.balancer.borrow().host_counts().1 > 0
    }

    pub fn data_node(&self) -> DataNode {
        let unset = SocketAddrV4::new(self.settings.ip, 0);
        let front = match self.settings.client_address {
            Some(SocketAddr::V4(front)) => front,
            _ => unset,
        };
        DataNode {
            node: archlink_runtime::node_id(self.settings.ip),
            zone: self.settings.zone.clone(),
            region: self.settings.region.clone(),
            client_address: front,
            ready: self.ready(),
        }
    }

    /// Who holds the counts, and in which term.
    pub fn counter(&self) -> Option<(NodeId, u64)> {
        self.views.borrow().counter_holder()
    }

    /// Data gateways that may be at work; 0 is not known yet.
    pub fn data_nodes(&self) -> u32 {
        self.views.borrow().data_nodes().len() as u32
    }

    /// Hands on what changed in the views to those that go by it.
    pub fn turn(&self, turns: Vec<ViewChange>) {
        if turns.is_empty() {
            return;
        }
        let now = self.clock.now();
        for turn in turns {
            if let ViewChange::Configuration(_) | ViewChange::EvacuatedZones(_) = turn {
                log::info!("{}", turn.describe());
            }
            match turn {
                ViewChange::Configuration(configuration) => self.take_chart(&configuration),
                ViewChange::EvacuatedZones(zones) => {
                    self.balancer.borrow_mut().set_evacuated(now, zones);
                }
                ViewChange::HostList(hosts) => {
                    let left = self.balancer.borrow_mut().update_hosts(now, &hosts.instances);
                    left.into_iter().for_each(|key| self.kept.forget(key));
                }
                ViewChange::DataNodes => {
                    self.split_quotas();
                    self.balancer.borrow_mut().set_gateways(self.views.borrow().data_nodes());
                }
                ViewChange::InvalidUpdate(why) => log::error!("{why}"),
                ViewChange::ControlNodes | ViewChange::Leases | ViewChange::ConfirmationChanged => {}
            }
        }
        self.turned.notify_waiters();
    }

    fn take_chart(&self, configuration: &Configuration) {
        let services = configuration.services.values().map(|service| {
            let terms =
                ServiceLimits { warm_up_rate: service.warm_up_rate, warm_up_period: service.warm_up_period };
            (service.name.clone(), terms)
        });
        self.balancer.borrow_mut().set_services(services.collect());
        self.split_quotas();
    }

    /// The counter's part of each quota, which hangs on how many share the rest.
    fn split_quotas(&self) {
        let (Some(configuration), bound, data_nodes) =
            (self.configuration(), self.bound(), self.data_nodes())
        else {
            return;
        };
        let quota = |t: &Tenant| {
            let counted = bound.counted_fraction(t.rate, t.burst, data_nodes);
            Quota { tenant: t.name.clone(), rate: t.rate, burst: t.burst, counted }
        };
        let quotas: Vec<Quota> = configuration.tenants.iter().map(quota).collect();
        self.asker.borrow_mut().quotas(&quotas);
    }

    fn bound(&self) -> QuotaBound {
        let bounds = &self.settings.timing_bounds;
        QuotaBound { window: bounds.quota_window, overrun: bounds.quota_overrun, slack: bounds.quota_slack }
    }

    pub fn budget_rule(&self) -> RetryBound {
        RetryBound {
            ratio: self.settings.timing_bounds.retry_ratio,
            slack: self.settings.timing_bounds.retry_slack,
        }
    }

    /// One request against its tenant's quota: the design's question first, and this gateway's share where the answer is no.
    /// `Err` is when to come back.
    pub async fn admit(&self, tenant: &Tenant, left: f64) -> Result<(), f64> {
        if !self.counted.get() {
            let limited = tenant.rate > 0.0;
            return if !limited || self.share(tenant) { Ok(()) } else { Err(UNCOUNTED_WAIT) };
        }
        let (sender, verdict) = oneshot::channel();
        let asked = {
            let mut asker = self.asker.borrow_mut();
            if !asker.has_room() {
                return Err(UNCOUNTED_WAIT);
            }
            let asked = asker.request(self.fleet_clock(), &tenant.name, left);
            if let Some(id) = asked {
                self.verdicts.borrow_mut().insert(id, sender);
            }
            asked
        };
        let Some(id) = asked else { return Ok(()) };
        self.settle();
        let gone = Gone { gateway: self, id };
        let verdict = verdict.await;
        drop(gone);
        match verdict {
            Ok(Verdict::Granted) => Ok(()),
            Ok(Verdict::Refused(_)) if self.share(tenant) => Ok(()),
            Ok(Verdict::Refused(wait)) => Err(wait),
            Err(_) => Err(UNCOUNTED_WAIT),
        }
    }

    fn share(&self, tenant: &Tenant) -> bool {
        let (bound, now) = (self.bound(), self.clock.now());
        let mut shares = self.shares.borrow_mut();
        // The steady clock counts from this process's start.
        let share = shares.entry(tenant.name.clone()).or_insert_with(|| LocalShare::new(0.0));
        let views = self.views.borrow();
        let lot = NodeRank::of(archlink_runtime::node_id(self.settings.ip), &tenant.name, views.data_nodes());
        share.try_admit(now, &bound, tenant.rate, tenant.burst, lot)
    }

    /// Hands out what the asker has to say after each call on it.
    fn settle(&self) {
        let mut asker = self.asker.borrow_mut();
        for (id, verdict) in asker.take_verdicts() {
            if let Some(waiting) = self.verdicts.borrow_mut().remove(&id) {
                waiting.send(verdict).ok();
            }
        }
        asker.take_log_lines().into_iter().for_each(|line| log::info!("{line}"));
        if asker.has_adds() {
            self.to_count.notify_one();
        }
        let wake = asker.wake_at().unwrap_or(f64::INFINITY);
        if wake < self.woken_at.get() {
            self.woken_at.set(wake);
            self.to_wake.notify_one();
        }
    }

    /// The holder of the counts answers, or does not.
    pub fn set_counted(&self, counted: bool) {
        if counted && !self.has_counted.replace(true) {
            self.turned.notify_waiters();
        }
        if self.counted.replace(counted) != counted {
            if counted {
                self.asker.borrow_mut().counter_recovered();
            }
            log::info!("{}", if counted { "the counter answers" } else { "no counter: shares alone" });
        }
    }

    pub fn adds(&self) -> Vec<CounterAdd> {
        self.asker.borrow_mut().take_adds()
    }

    /// What became of adds.
    pub fn settled(&self, settled: Vec<CallResult>) {
        let now = self.fleet_clock();
        settled.into_iter().for_each(|one| self.asker.borrow_mut().call_finished(now, one));
        self.settle();
    }

    /// The module's timer: sleeps until the next wake-up, or until that becomes sooner.
    pub async fn keep_waking(&self) {
        loop {
            let at = self.asker.borrow().wake_at().unwrap_or(f64::INFINITY);
            self.woken_at.set(at);
            let until = self.clock.instant_at(at - self.views.borrow().clock_offset());
            tokio::select! {
                _ = tokio::time::sleep_until(until) => {
                    self.asker.borrow_mut().timer_fired(self.fleet_clock());
                    self.settle();
                }
                _ = self.to_wake.notified() => {}
            }
        }
    }
}

/// A client that leaves before the verdict gives its inquiry's place back.
struct Gone<'a> {
    gateway: &'a Gateway,
    id: u32,
}

impl Drop for Gone<'_> {
    fn drop(&mut self) {
        if self.gateway.verdicts.borrow_mut().remove(&self.id).is_some() {
            self.gateway.asker.borrow_mut().client_disconnected(self.gateway.fleet_clock(), self.id);
        }
    }
}
