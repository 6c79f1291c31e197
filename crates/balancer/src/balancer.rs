//! The balancer: the hosts of all services, the selection among them, and what the results of attempts teach.
//!
//! The life of a request: [`Balancer::select`], [`Balancer::attempt_started`] when it is sent (after a wait
//! [`Balancer::is_listed`] first), and [`Balancer::attempt_ended`], once for each start.

pub use crate::admission_queue::QueueTicket;
pub use crate::attempt::AttemptEnd;
pub use crate::selection::{HostRequest, SelectedHost};
pub use crate::slow_start::{ServiceLimits, WarmUpBound};

use crate::host::Host;
use crate::selection::{Locality, Pool, Selector, ServiceHosts, is_available, latency_target_or_default};
use crate::slow_start::{DataNodes, SlowStart};
use crate::subset::mark_subset;
use archlink_messages::{HostInstance, NodeId};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Limit of hosts taken from a list, which bounds memory and the time of a selection; those beyond it are ignored.
const MAX_HOSTS: usize = 8192;
/// Pools that admit less than this fraction of their requests have a line in the log.
const LOGGED_BELOW: f64 = 0.9;

/// All that one data node knows of hosts.
pub struct Balancer {
    locality: Locality,
    region_by_zone: HashMap<String, String>,
    hosts: BTreeMap<u64, Host>,
    key_by_id: HashMap<String, u64>,
    services: HashMap<String, ServiceHosts>,
    slow_start: SlowStart,
    evacuated: BTreeSet<String>,
    nodes: DataNodes,
    rng: oorandom::Rand64,
    next_key: u64,
}

impl Balancer {
    /// A balancer without hosts, for the data node `local` in `zone` and `region`. `regions` has the region of each zone,
    /// `seed` is that of the random numbers that a selection draws.
    pub fn new(
        local: NodeId,
        zone: String,
        region: String,
        regions: HashMap<String, String>,
        warm_up: WarmUpBound,
        seed: u64,
    ) -> Balancer {
        Balancer {
            locality: Locality { zone, region },
            region_by_zone: regions,
            hosts: BTreeMap::new(),
            key_by_id: HashMap::new(),
            services: HashMap::new(),
            slow_start: SlowStart { bound: warm_up, services: HashMap::new() },
            evacuated: BTreeSet::new(),
            nodes: DataNodes { local, all: Vec::new() },
            rng: oorandom::Rand64::new(u128::from(seed)),
            next_key: 1,
        }
    }

    /// Sets the data nodes that may be running, this one among them.
    pub fn set_data_nodes(&mut self, gateways: &[NodeId]) {
        self.nodes.all = gateways.to_vec();
        self.update_subset();
    }

    /// Sets the limits of all services.
    pub fn set_services(&mut self, services: HashMap<String, ServiceLimits>) {
        self.slow_start.services = services;
    }

    /// Sets the evacuated zones. A zone that is no longer evacuated may have hosts that began to warm up shortly before:
    /// its hosts are taken to be warming up for the longest warm-up period.
    pub fn set_evacuated(&mut self, now: f64, zones: BTreeSet<String>) {
        for zone in self.evacuated.difference(&zones) {
            for host in self.hosts.values_mut().filter(|host| host.instance.zone == *zone) {
                host.warm_up.extend(self.slow_start.longest_warm_up(now, &host.instance.service));
            }
        }
        self.evacuated = zones;
    }

    /// Takes the newest list of hosts; what it leaves out is removed. Returns the keys of hosts to which nothing more will
    /// be sent.
    pub fn update_hosts(&mut self, now: f64, instances: &[HostInstance]) -> Vec<u64> {
        let listed: BTreeSet<u64> =
            instances.iter().take(MAX_HOSTS).map(|instance| self.upsert_host(now, instance)).collect();
        for (key, host) in &mut self.hosts {
            host.removed = !listed.contains(key);
        }
        let unusable = self.hosts.iter().filter(|(_, host)| !host.is_ready()).map(|(key, _)| *key).collect();
        self.hosts.retain(|_, host| !host.removed || host.pending > 0.0);
        self.key_by_id.retain(|_, key| self.hosts.contains_key(key));
        self.index_services();
        self.update_subset();
        unusable
    }

    /// A line for the log for each service and region that not all requests are admitted to.
    pub fn admission_log_lines(&self, now: f64) -> Vec<String> {
        let mut lines = Vec::new();
        for (service, hosts) in &self.services {
            for (region, Pool { stats, admission }) in &hosts.pool_by_region {
                let (open, load, work) = (admission.admitted_fraction(now), stats.load(now), stats.work());
                if open < LOGGED_BELOW {
                    lines.push(format!(
                        "{service} in {region}: {open:.2} let in, {load:.2} a slot, {:.0} ms of work",
                        work * 1e3
                    ));
                }
            }
        }
        lines
    }

    /// The number of hosts known, and of those that are listed and not draining.
    pub fn host_counts(&self) -> (usize, usize) {
        (self.hosts.len(), self.hosts.values().filter(|host| host.is_ready()).count())
    }

    /// The host where a request is expected to be answered first; `None` where none is expected to answer in time.
    pub fn select(&mut self, now: f64, request: &HostRequest) -> Option<SelectedHost> {
        let service = self.services.get(request.service)?;
        let selector = Selector {
            locality: &self.locality,
            hosts: &self.hosts,
            service,
            evacuated: &self.evacuated,
            slow_start: &self.slow_start,
            nodes: &self.nodes,
        };
        selector.select(now, request, &mut self.rng)
    }

    /// A request with this latency target is sent to host `key` now.
    pub fn attempt_started(&mut self, now: f64, key: u64, latency_target: f64) {
        let Some(host) = self.hosts.get_mut(&key) else { return };
        if let Some(pool) = pool_of(&mut self.services, host) {
            pool.admission.request_sent(latency_target_or_default(latency_target));
        }
        host.request_sent(now);
    }

    /// Whether a request for which host `key` was selected may still be sent to it: for one that had to wait since.
    pub fn is_listed(&self, key: u64) -> bool {
        self.hosts.get(&key).is_some_and(|host| is_available(host, &self.evacuated))
    }

    /// An attempt at host `key` ended, `elapsed` seconds after it was sent.
    pub fn attempt_ended(&mut self, now: f64, key: u64, elapsed: f64, end: AttemptEnd) {
        let Some(host) = self.hosts.get_mut(&key) else { return };
        let mut pool = pool_of(&mut self.services, host);
        let own_pending = host.pending;
        host.pending = (host.pending - 1.0).max(0.0);
        if end.is_answer() {
            host.outlier.answer_received(now, host.pending);
        }
        if let Some(pool) = &mut pool {
            steer_admission(pool, now, elapsed, end);
        }
        if let Some(load) = end.load() {
            let load_per_slot = host.observe_load(now, load, own_pending);
            if let Some(pool) = &mut pool {
                pool.stats.observe_load(now, load_per_slot);
            }
        }
        match end {
            // How quickly a host fails says nothing about its work.
            AttemptEnd::Failed(_) => host.outlier.record_failure(now),
            AttemptEnd::Answered(_) => {
                host.outlier.record_success(now);
                let time_alone = host.time_alone(elapsed, own_pending);
                host.observe_work(time_alone);
                // Where requests of others wait too it is unknown how long this one did.
                if let Some(pool) = pool.filter(|_| end.load().is_none_or(|load| load.has_free_slot())) {
                    pool.stats.observe_work(time_alone);
                }
            }
            AttemptEnd::Full(_) => host.observe_full(),
            // Whether the host would have answered is unknown: nothing is held against it.
            AttemptEnd::CancelledBeforeSend => host.outlier.request_withdrawn(host.pending),
            AttemptEnd::CancelledAfterSend => {
                host.outlier.request_withdrawn(host.pending);
                let pool_work = pool.map_or(0.0, |pool| pool.stats.work());
                host.observe_work_at_least(host.time_alone(elapsed, own_pending), pool_work);
            }
            AttemptEnd::Misdirected => host.misdirected = true,
            AttemptEnd::ConnectFailed | AttemptEnd::TimedOut => host.outlier.unreachable(now),
            AttemptEnd::Broken => host.outlier.connection_broken(now),
        }
    }

    /// Adds a host of the list or updates it; returns its key.
    fn upsert_host(&mut self, now: f64, instance: &HostInstance) -> u64 {
        let key = *self.key_by_id.entry(instance.id.clone()).or_insert(self.next_key);
        if let Some(host) = self.hosts.get_mut(&key) {
            host.update(now, instance);
        } else {
            self.next_key += 1;
            let region = self.region_by_zone.get(&instance.zone).cloned().unwrap_or_default();
            self.hosts.insert(key, Host::new(now, instance.clone(), region));
        }
        key
    }

    /// Brings the hosts of each service up to date. Pools keep their figures while the service has any host.
    fn index_services(&mut self) {
        self.services.values_mut().for_each(|service| service.host_keys.clear());
        for (key, host) in &self.hosts {
            let service = self.services.entry(host.instance.service.clone()).or_default();
            service.host_keys.push(*key);
            service.pool_by_region.entry(host.region.clone()).or_default();
        }
        self.services.retain(|_, service| !service.host_keys.is_empty());
    }

    fn update_subset(&mut self) {
        mark_subset(&mut self.hosts, &self.nodes, self.region_by_zone.len());
    }
}

fn pool_of<'a>(services: &'a mut HashMap<String, ServiceHosts>, host: &Host) -> Option<&'a mut Pool> {
    services.get_mut(&host.instance.service)?.pool_by_region.get_mut(&host.region)
}

/// Moves the admitted fraction by the time that an attempt took.
fn steer_admission(pool: &mut Pool, now: f64, elapsed: f64, end: AttemptEnd) {
    match end {
        AttemptEnd::Answered(_) => pool.admission.observe_time(now, elapsed),
        AttemptEnd::Full(_) => pool.admission.observe_time(now, f64::INFINITY),
        AttemptEnd::CancelledAfterSend => pool.admission.observe_time_at_least(now, elapsed),
        _ => {}
    }
}
