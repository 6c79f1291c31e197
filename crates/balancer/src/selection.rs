//! Selects the host for a request: the one with the lowest cost, which is the expected response time plus penalties.
//!
//! The expected time of a host follows from the requests that this data node has in flight there, those of other data
//! nodes according to the host's load reports, and its service time. A host in another zone or region, outside the
//! subset, suspected or unhealthy costs more by a fraction of the request's latency target.
//!
//! A host that is passed over for its service time is probed from time to time (`probing`).
//!
//! Invariant: a host is never selected that is draining or removed, whose zone is evacuated, that lies outside the
//! request's home regions, or that is warming up and has received this data node's portion of the bound.

use crate::host::Host;
use crate::load_shedding::{LoadShedder, ShedCandidate};
use crate::pool_stats::PoolStats;
use crate::probing::{self, PoolProbes};
use crate::slow_start::{DataNodes, SlowStart};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddrV4;

/// Cost of a host in another zone of the region, as a fraction of the latency target: traffic between zones is charged.
const OTHER_ZONE_COST: f64 = 0.04;
/// Cost of a host in another region, likewise: traffic between regions is charged far more, and takes longer.
const OTHER_REGION_COST: f64 = 0.3;
/// Cost of a host outside the subset, likewise: less than the wait behind another request, so that free slots elsewhere
/// are used as soon as the subset is busy.
const OUTSIDE_SUBSET_COST: f64 = 0.1;
/// Cost of a host of which every recent request failed, likewise.
const FAILING_COST: f64 = 1.5;
/// Latency target in seconds for routes without one.
const DEFAULT_LATENCY_TARGET: f64 = 0.5;
/// Costs are multiplied by a random factor from 1 to 1 plus this: otherwise all data nodes would select the same one
/// among hosts of about the same cost.
const COST_JITTER: f64 = 0.1;
/// Fraction of a request's remaining time within which its response has to be expected; otherwise it is better rejected
/// now.
const USABLE_TIME_FRACTION: f64 = 0.9;

/// The requirements of a request on its host.
#[derive(Clone, Copy, Debug)]
pub struct HostRequest<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Regions that it may be sent to; empty means all.
    pub home_regions: &'a [String],
    /// Seconds within which a response is wanted; a value that is not finite means no target.
    pub latency_target: f64,
    /// Seconds until its client gives up.
    pub remaining: f64,
    /// Keys of hosts that it was sent to before.
    pub tried: &'a [u64],
    /// `None` for a request that was admitted before and is not to be shed.
    pub shed_candidate: Option<ShedCandidate>,
}

/// A selected host.
#[derive(Clone, Debug, PartialEq)]
pub struct SelectedHost {
    /// Identifies the host instance within this data node's process.
    pub key: u64,
    /// Id of the host instance.
    pub id: String,
    /// Address that it listens on.
    pub address: SocketAddrV4,
    /// Expected response time in seconds.
    pub expected_time: f64,
}

/// Zone and region of this data node.
#[derive(Debug)]
pub(crate) struct Locality {
    pub(crate) zone: String,
    pub(crate) region: String,
}

/// Statistics and load shedding for one service's hosts in one region.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    pub(crate) stats: PoolStats,
    pub(crate) load_shedder: LoadShedder,
    pub(crate) probes: PoolProbes,
}

/// A service's hosts.
#[derive(Debug, Default)]
pub(crate) struct ServiceHosts {
    /// In ascending order; a selection draws its random numbers in this order.
    pub(crate) host_keys: Vec<u64>,
    pub(crate) pool_by_region: HashMap<String, Pool>,
}

/// The expected response time of a request at a host, and its cost there; in seconds.
struct Estimate {
    expected_time: f64,
    cost: f64,
}

/// Latency target of a request in seconds, or the default if its route has none.
pub(crate) fn latency_target_or_default(latency_target: f64) -> f64 {
    if latency_target.is_finite() { latency_target } else { DEFAULT_LATENCY_TARGET }
}

/// The state that a selection depends on.
pub(crate) struct Selector<'a> {
    pub(crate) locality: &'a Locality,
    pub(crate) hosts: &'a BTreeMap<u64, Host>,
    pub(crate) service: &'a ServiceHosts,
    pub(crate) evacuated: &'a BTreeSet<String>,
    pub(crate) slow_start: &'a SlowStart,
    pub(crate) nodes: &'a DataNodes,
}

impl Selector<'_> {
    /// The host with the lowest cost among those that are expected to respond in time, or one that is due for a probe; `None`
    /// if there is neither. Draws one random number for each host that is expected to respond in time.
    pub(crate) fn select(
        &self,
        now: f64,
        request: &HostRequest,
        rng: &mut oorandom::Rand64,
    ) -> Option<Selection> {
        let shedding_regions = self.shedding_regions(now, request);
        let max_time = request.remaining * USABLE_TIME_FRACTION;
        let mut best: Option<(f64, Candidate)> = None;
        let mut slow: Vec<Candidate> = Vec::new();
        for &key in &self.service.host_keys {
            let (Some(host), false) = (self.hosts.get(&key), request.tried.contains(&key)) else { continue };
            let Some(pool) = self.service.pool_by_region.get(&host.region) else { continue };
            if shedding_regions.contains(&host.region.as_str()) || !self.is_eligible(host, request, now) {
                continue;
            }
            let Estimate { expected_time, cost } = self.estimate(host, request, &pool.stats, now);
            if expected_time > max_time {
                if host.expected_idle_time(now, &pool.stats) > max_time {
                    slow.push(Candidate { key, host, expected_time });
                }
                continue;
            }
            let jittered_cost = cost * (1.0 + COST_JITTER * rng.rand_float());
            if best.as_ref().is_none_or(|(lowest_cost, _)| jittered_cost < *lowest_cost) {
                best = Some((jittered_cost, Candidate { key, host, expected_time }));
            }
        }
        let best = best.map(|(_, candidate)| candidate);
        let probed = self.host_to_probe(now, request, slow, best.is_some());
        let is_probe = probed.is_some();
        probed.or(best).map(|candidate| Selection { host: candidate.into(), is_probe })
    }

    /// The host to probe among those that are too slow even when idle: the one with the lowest expected time.
    fn host_to_probe<'a>(
        &self,
        now: f64,
        request: &HostRequest,
        slow: Vec<Candidate<'a>>,
        has_alternative: bool,
    ) -> Option<Candidate<'a>> {
        if !probing::is_suitable(latency_target_or_default(request.latency_target), request.remaining) {
            return None;
        }
        let is_due = |candidate: &Candidate| {
            let host = candidate.host;
            let pool = self.service.pool_by_region.get(&host.region);
            host.in_flight <= 0.0
                && host.probes.is_due(now, has_alternative)
                && pool.is_some_and(|pool| pool.probes.is_due(now))
        };
        let due = slow.into_iter().filter(is_due);
        due.min_by(|a, b| a.expected_time.total_cmp(&b.expected_time))
    }

    /// Regions whose load shedder rejects the request.
    fn shedding_regions(&self, now: f64, request: &HostRequest) -> Vec<&str> {
        let Some(shed_candidate) = request.shed_candidate else { return Vec::new() };
        let pools = self.service.pool_by_region.iter();
        pools
            .filter(|(_, pool)| !shed_candidate.is_admitted(pool.load_shedder.admitted_fraction(now)))
            .map(|(region, _)| region.as_str())
            .collect()
    }

    fn is_eligible(&self, host: &Host, request: &HostRequest, now: f64) -> bool {
        let in_home_region = request.home_regions.is_empty() || request.home_regions.contains(&host.region);
        in_home_region
            && is_available(host, self.evacuated)
            && !host.outlier.is_ejected(now, host.in_flight)
            && (!host.warm_up.is_active(now) || self.slow_start_allows_request(host, now))
    }

    fn slow_start_allows_request(&self, host: &Host, now: f64) -> bool {
        let instance = &host.instance;
        self.slow_start.allows_request(now, &instance.service, &instance.id, &host.warm_up, self.nodes)
    }

    fn estimate(&self, host: &Host, request: &HostRequest, pool: &PoolStats, now: f64) -> Estimate {
        let expected_time = host.expected_time(now, pool);
        let target = latency_target_or_default(request.latency_target);
        let preference = match (host.instance.zone == self.locality.zone, host.region == self.locality.region)
        {
            (true, _) => 0.0,
            (_, true) => OTHER_ZONE_COST * target,
            _ => OTHER_REGION_COST * target,
        };
        let preference = if host.in_subset { preference } else { preference + OUTSIDE_SUBSET_COST * target };
        let suspicion = if host.outlier.is_suspected(now, host.service_time(pool)) { target } else { 0.0 };
        let failures = host.outlier.failure_rate(now) * FAILING_COST * target;
        Estimate { expected_time, cost: expected_time + preference + suspicion + failures }
    }
}

/// Whether a host is in the list, not draining, not known to be gone, and outside the evacuated zones.
pub(crate) fn is_available(host: &Host, evacuated: &BTreeSet<String>) -> bool {
    host.is_ready() && !host.misdirected && !evacuated.contains(&host.instance.zone)
}

/// The result of a selection.
pub(crate) struct Selection {
    pub(crate) host: SelectedHost,
    /// Whether the request measures the host's service time again.
    pub(crate) is_probe: bool,
}

/// A host that may be selected.
struct Candidate<'a> {
    key: u64,
    host: &'a Host,
    expected_time: f64,
}

impl From<Candidate<'_>> for SelectedHost {
    fn from(candidate: Candidate) -> SelectedHost {
        let instance = &candidate.host.instance;
        SelectedHost {
            key: candidate.key,
            id: instance.id.clone(),
            address: instance.address,
            expected_time: candidate.expected_time,
        }
    }
}
