//! The balancer: the hosts of all services, the selection of a host for each request, and the statistics that results
//! of attempts update.
//!
//! For each attempt, callers use [`Balancer::select`], [`Balancer::attempt_started`] when the request is sent (after a
//! wait, [`Balancer::is_available`] before that), and [`Balancer::attempt_ended`] exactly once for each start.

pub use crate::attempt::AttemptEnd;
pub use crate::load_shedding::ShedCandidate;
pub use crate::selection::{HostRequest, SelectedHost};
pub use crate::slow_start::{WarmUpBound, WarmUpLimits};

use crate::host::Host;
use crate::selection::{
    Locality, Pool, Selection, Selector, ServiceHosts, is_available, latency_target_or_default,
};
use crate::slow_start::{DataNodes, SlowStart};
use crate::subset::mark_subset;
use archlink_messages::{HostInstance, NodeId};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Limit of hosts taken from a list, which bounds memory and the time of a selection; those beyond it are ignored.
const MAX_HOSTS: usize = 8192;
/// Pools whose admitted fraction is below this get a log line.
const LOGGED_BELOW_FRACTION: f64 = 0.9;

/// The hosts of all services as one data node knows them.
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
    /// Creates a balancer without hosts for the data node `local` in `zone` and `region`. `region_by_zone` has the
    /// region of every zone; `seed` initializes the random numbers that selections draw.
    pub fn new(
        local: NodeId,
        zone: String,
        region: String,
        region_by_zone: HashMap<String, String>,
        warm_up: WarmUpBound,
        seed: u64,
    ) -> Balancer {
        Balancer {
            locality: Locality { zone, region },
            region_by_zone,
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

    /// Sets the data nodes that may be running, including this one.
    pub fn set_data_nodes(&mut self, data_nodes: &[NodeId]) {
        self.nodes.all = data_nodes.to_vec();
        self.update_subset();
    }

    /// Sets the warm-up limits of all services.
    pub fn set_services(&mut self, services: HashMap<String, WarmUpLimits>) {
        self.slow_start.services = services;
    }

    /// Sets the evacuated zones. The hosts of a zone that is no longer evacuated may have started to warm up shortly
    /// before, so they are assumed to be warming up for the longest warm-up period.
    pub fn set_evacuated(&mut self, now: f64, zones: BTreeSet<String>) {
        for zone in self.evacuated.difference(&zones) {
            for host in self.hosts.values_mut().filter(|host| host.instance.zone == *zone) {
                host.warm_up.extend(self.slow_start.latest_warm_up_end(now, &host.instance.service));
            }
        }
        self.evacuated = zones;
    }

    /// Applies the newest list of hosts and removes hosts that are not in it. Returns the keys of the hosts, removed or
    /// draining, to which no more requests will be sent.
    pub fn update_hosts(&mut self, now: f64, instances: &[HostInstance]) -> Vec<u64> {
        let listed: BTreeSet<u64> =
            instances.iter().take(MAX_HOSTS).map(|instance| self.upsert_host(now, instance)).collect();
        for (key, host) in &mut self.hosts {
            host.removed = !listed.contains(key);
        }
        let not_ready = self.hosts.iter().filter(|(_, host)| !host.is_ready()).map(|(key, _)| *key).collect();
        self.hosts.retain(|_, host| !host.removed || host.in_flight > 0.0);
        self.key_by_id.retain(|_, key| self.hosts.contains_key(key));
        self.index_services();
        self.update_subset();
        not_ready
    }

    /// One log line for each service and region whose requests are being shed.
    pub fn load_shedding_log_lines(&self, now: f64) -> Vec<String> {
        let mut lines = Vec::new();
        for (service, hosts) in &self.services {
            for (region, Pool { stats, load_shedder, .. }) in &hosts.pool_by_region {
                let (admitted_fraction, load, service_time) =
                    (load_shedder.admitted_fraction(now), stats.load(now), stats.service_time());
                if admitted_fraction < LOGGED_BELOW_FRACTION {
                    lines.push(format!(
                        "{service} in {region}: admitted fraction {admitted_fraction:.2}, load per slot {load:.2}, \
                         service time {:.0} ms",
                        service_time * 1e3
                    ));
                }
            }
        }
        lines
    }

    /// The number of known hosts, and the number of those that are listed and not draining.
    pub fn host_counts(&self) -> (usize, usize) {
        (self.hosts.len(), self.hosts.values().filter(|host| host.is_ready()).count())
    }

    /// Selects the host with the lowest cost, see [`crate::selection`], or one whose service time is to be measured again;
    /// `None` if none is expected to respond in time or the request is shed.
    pub fn select(&mut self, now: f64, request: &HostRequest) -> Option<SelectedHost> {
        let service = self.services.get_mut(request.service)?;
        let selector = Selector {
            locality: &self.locality,
            hosts: &self.hosts,
            service,
            evacuated: &self.evacuated,
            slow_start: &self.slow_start,
            nodes: &self.nodes,
        };
        let Selection { host: selected, is_probe } = selector.select(now, request, &mut self.rng)?;
        if let Some(host) = self.hosts.get_mut(&selected.key).filter(|_| is_probe) {
            host.probes.selected();
            if let Some(pool) = service.pool_by_region.get_mut(&host.region) {
                pool.probes.probed(now);
            }
        }
        Some(selected)
    }

    /// Records that a request with this latency target is sent to host `key` now.
    pub fn attempt_started(&mut self, now: f64, key: u64, latency_target: f64) {
        let Some(host) = self.hosts.get_mut(&key) else { return };
        if let Some(pool) = pool_of(&mut self.services, host) {
            pool.load_shedder.request_sent(latency_target_or_default(latency_target));
        }
        host.request_sent(now);
    }

    /// Whether a request may still be sent to host `key`; to be checked if the request had to wait after the selection.
    pub fn is_available(&self, key: u64) -> bool {
        self.hosts.get(&key).is_some_and(|host| is_available(host, &self.evacuated))
    }

    /// Records that an attempt at host `key` ended, `elapsed` seconds after it was sent.
    pub fn attempt_ended(&mut self, now: f64, key: u64, elapsed: f64, end: AttemptEnd) {
        let Some(host) = self.hosts.get_mut(&key) else { return };
        let mut pool = pool_of(&mut self.services, host);
        let (own_in_flight, sent_at, is_probe) = (host.in_flight, now - elapsed, host.probes.request_ended());
        host.in_flight = (host.in_flight - 1.0).max(0.0);
        if end.is_response() {
            host.outlier.response_received(now, host.in_flight);
        }
        if let Some(pool) = &mut pool {
            update_load_shedder(pool, now, elapsed, end);
        }
        if let Some(load) = end.load() {
            let load_per_slot = host.observe_load(now, load, own_in_flight);
            if let Some(pool) = &mut pool {
                pool.stats.observe_load(now, load_per_slot);
            }
        }
        match end {
            // The service time is not updated: how fast a host fails says nothing about it.
            AttemptEnd::Failed(_) => host.outlier.record_failure(now),
            AttemptEnd::Answered(_) => {
                host.outlier.record_success(now);
                let service_time = host.estimate_service_time(elapsed, own_in_flight);
                let condition = host.observe_service_time(service_time, sent_at, is_probe);
                // If requests of other data nodes are waiting too, it is unknown how long this one waited.
                match pool.filter(|_| end.load().is_none_or(|load| load.has_free_slot())) {
                    Some(pool) if is_probe => pool.stats.observe_probe(service_time, condition),
                    Some(pool) => pool.stats.observe_service_time(service_time, condition),
                    None => {}
                }
            }
            AttemptEnd::Full(_) => host.observe_full(),
            // Does not count against the host: whether it would have responded is unknown.
            AttemptEnd::CancelledBeforeSend => host.outlier.request_cancelled(host.in_flight),
            AttemptEnd::CancelledAfterSend => {
                host.outlier.request_cancelled(host.in_flight);
                let pool_service_time = pool.map_or(0.0, |pool| pool.stats.service_time());
                let min_service_time = host.estimate_service_time(elapsed, own_in_flight);
                host.observe_min_service_time(min_service_time, sent_at, pool_service_time);
            }
            AttemptEnd::Misdirected => host.misdirected = true,
            AttemptEnd::ConnectFailed | AttemptEnd::TimedOut => host.outlier.eject(now),
            AttemptEnd::Broken => host.outlier.record_broken_connection(now),
        }
    }

    /// Adds or updates a listed host; returns its key.
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

    /// Rebuilds the host keys of each service. Pools keep their statistics while the service has any host.
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

/// Adjusts the admitted fraction by the response time of an attempt.
fn update_load_shedder(pool: &mut Pool, now: f64, elapsed: f64, end: AttemptEnd) {
    match end {
        AttemptEnd::Answered(_) => pool.load_shedder.observe_response_time(now, elapsed),
        AttemptEnd::Full(_) => pool.load_shedder.observe_response_time(now, f64::INFINITY),
        AttemptEnd::CancelledAfterSend => pool.load_shedder.observe_min_response_time(now, elapsed),
        _ => {}
    }
}
