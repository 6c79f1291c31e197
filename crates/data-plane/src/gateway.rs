//! What a request meets at a data gateway, in one place: the views of configuration and fleet, hosts, shares and budgets,
//! and the way to the counter. Owns how news is handed to those that go by it. Must never block or wait: tasks look, step,
//! and go on.

use crate::metrics::Metrics;
use archlink_balancer::budget::{Budget, Rule};
use archlink_balancer::choice::{Berth, ColdRule, ServiceTerms};
use archlink_config::{Chart, Settings, Tenant};
use archlink_control_client::views::{Turn, Views};
use archlink_http::kept::Kept;
use archlink_http::plain::CallerSide;
use archlink_messages::{Add, Lot, Node, Pilot};
use archlink_quota::asker::{Asker, Quota, Verdict};
use archlink_quota::frames::Settled;
use archlink_quota::share::{Bound, Share};
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
    pub kept: Rc<Kept<CallerSide>>,
    pub views: RefCell<Views>,
    pub berth: RefCell<Berth>,
    pub budget: RefCell<Budget>,
    pub metrics: Metrics,
    shares: RefCell<HashMap<String, Share>>,
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
    pub fn new(settings: Settings, clock: Clock, kept: Rc<Kept<CallerSide>>) -> Rc<Gateway> {
        let bounds = settings.bounds;
        let cold = ColdRule { overrun: bounds.cold_overrun, slack: bounds.cold_slack };
        let me = archlink_runtime::node_of(settings.ip);
        let (zone, region, zones) = (settings.zone.clone(), settings.region.clone(), settings.zones.clone());
        let berth = Berth::new(me, zone, region, zones, cold, archlink_runtime::chance());
        Rc::new(Gateway {
            clock,
            kept,
            views: RefCell::new(Views::new(bounds.revoke - REVOKE_MARGIN)),
            berth: RefCell::new(berth),
            budget: RefCell::default(),
            metrics: Metrics::new(),
            shares: RefCell::default(),
            asker: RefCell::new(Asker::new(clock.now(), archlink_runtime::chance())),
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

    pub fn chart(&self) -> Option<Rc<Chart>> {
        self.views.borrow().chart()
    }

    pub fn fleet_clock(&self) -> f64 {
        self.views.borrow().clock(self.clock.now())
    }

    pub fn heard_clock(&self, clock: f64) {
        self.views.borrow_mut().heard_clock(self.clock.now(), clock);
    }

    /// May keys be served by the configuration that is held? Asked again before each hand-off.
    pub fn vouched(&self) -> bool {
        self.views.borrow().vouched(self.clock.now())
    }

    /// Can clients be sent here? A gateway that has only started has no share yet, and waits for the counter; one that has
    /// lost the counter later goes on.
    pub fn ready(&self) -> bool {
        let counts = self.has_counted.get() || self.clock.now() > self.settings.bounds.quota_window;
        counts
            && !self.leaving.get()
            && self.chart().is_some()
            && self.vouched()
            && self.berth.borrow().count().1 > 0
    }

    pub fn pilot(&self) -> Pilot {
        let unset = SocketAddrV4::new(self.settings.ip, 0);
        let front = match self.settings.front {
            Some(SocketAddr::V4(front)) => front,
            _ => unset,
        };
        Pilot {
            node: archlink_runtime::node_of(self.settings.ip),
            zone: self.settings.zone.clone(),
            region: self.settings.region.clone(),
            front,
            ready: self.ready(),
        }
    }

    /// Who holds the counts, and in which term.
    pub fn counter(&self) -> Option<(Node, u64)> {
        self.views.borrow().counter()
    }

    /// Data gateways that may be at work; 0 is not known yet.
    pub fn pilots(&self) -> u32 {
        self.views.borrow().pilots().len() as u32
    }

    /// Hands on what changed in the views to those that go by it.
    pub fn turn(&self, turns: Vec<Turn>) {
        if turns.is_empty() {
            return;
        }
        let now = self.clock.now();
        for turn in turns {
            if let Turn::Chart(_) | Turn::Evacuated(_) = turn {
                log::info!("{}", turn.line());
            }
            match turn {
                Turn::Chart(chart) => self.take_chart(&chart),
                Turn::Evacuated(zones) => {
                    self.berth.borrow_mut().set_evacuated(now, zones);
                }
                Turn::Hosts(hosts) => {
                    let left = self.berth.borrow_mut().list(now, &hosts.lines);
                    left.into_iter().for_each(|key| self.kept.forget(key));
                }
                Turn::Pilots => {
                    self.split_quotas();
                    self.berth.borrow_mut().set_gateways(self.views.borrow().pilots());
                }
                Turn::Unusable(why) => log::error!("{why}"),
                Turn::Keepers | Turn::Posts | Turn::Vouched => {}
            }
        }
        self.turned.notify_waiters();
    }

    fn take_chart(&self, chart: &Chart) {
        let services = chart.services.values().map(|service| {
            let terms = ServiceTerms { cold_rate: service.cold_rate, cold_period: service.cold_period };
            (service.name.clone(), terms)
        });
        self.berth.borrow_mut().set_services(services.collect());
        self.split_quotas();
    }

    /// The counter's part of each quota, which hangs on how many share the rest.
    fn split_quotas(&self) {
        let (Some(chart), bound, pilots) = (self.chart(), self.bound(), self.pilots()) else { return };
        let quota = |t: &Tenant| {
            let counted = bound.counted(t.rate, t.burst, pilots);
            Quota { tenant: t.name.clone(), rate: t.rate, burst: t.burst, counted }
        };
        let quotas: Vec<Quota> = chart.tenants.iter().map(quota).collect();
        self.asker.borrow_mut().quotas(&quotas);
    }

    fn bound(&self) -> Bound {
        let bounds = &self.settings.bounds;
        Bound { window: bounds.quota_window, overrun: bounds.quota_overrun, slack: bounds.quota_slack }
    }

    pub fn budget_rule(&self) -> Rule {
        Rule { ratio: self.settings.bounds.retry_ratio, slack: self.settings.bounds.retry_slack }
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
            let asked = asker.ask(self.fleet_clock(), &tenant.name, left);
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
        let share = shares.entry(tenant.name.clone()).or_insert_with(|| Share::new(0.0));
        let views = self.views.borrow();
        let lot = Lot::of(archlink_runtime::node_of(self.settings.ip), &tenant.name, views.pilots());
        share.take(now, &bound, tenant.rate, tenant.burst, lot)
    }

    /// Hands out what the asker has to say after each call on it.
    fn settle(&self) {
        let mut asker = self.asker.borrow_mut();
        for (id, verdict) in asker.verdicts() {
            if let Some(waiting) = self.verdicts.borrow_mut().remove(&id) {
                waiting.send(verdict).ok();
            }
        }
        asker.lines().into_iter().for_each(|line| log::info!("{line}"));
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
                self.asker.borrow_mut().back();
            }
            log::info!("{}", if counted { "the counter answers" } else { "no counter: shares alone" });
        }
    }

    pub fn adds(&self) -> Vec<Add> {
        self.asker.borrow_mut().adds()
    }

    /// What became of adds.
    pub fn settled(&self, settled: Vec<Settled>) {
        let now = self.fleet_clock();
        settled.into_iter().for_each(|one| self.asker.borrow_mut().settled(now, one));
        self.settle();
    }

    /// The module's timer: sleeps until the next wake-up, or until that becomes sooner.
    pub async fn keep_waking(&self) {
        loop {
            let at = self.asker.borrow().wake_at().unwrap_or(f64::INFINITY);
            self.woken_at.set(at);
            let until = self.clock.instant(at - self.views.borrow().ahead());
            tokio::select! {
                _ = tokio::time::sleep_until(until) => {
                    self.asker.borrow_mut().woken(self.fleet_clock());
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
            self.gateway.asker.borrow_mut().left(self.gateway.fleet_clock(), self.id);
        }
    }
}
