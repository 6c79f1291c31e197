//! Selection of a host for a request: where it is expected to be answered first, with the cost of the way.
//!
//! Each host has an expected time, from what this data node has out there, what others have as far as the host's load
//! reports tell, and how long its work takes. A host in another zone or region, outside the subset, suspected or unhealthy
//! costs more by a part of the request's latency target.
//!
//! Invariant: no host is selected that is draining or removed, whose zone is evacuated, that lies outside the request's home
//! regions, or that is warming up and has had this data node's part of the bound.

use crate::admission_queue::{AdmissionQueue, QueueTicket};
use crate::host::Host;
use crate::pool_stats::PoolStats;
use crate::slow_start::{DataNodes, SlowStart};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddrV4;

/// Costs as parts of the latency target. Another zone of the region: bytes between zones are charged,
const OTHER_ZONE_COST: f64 = 0.04;
/// and another region: those between regions are charged far more, and take longer.
const OTHER_REGION_COST: f64 = 0.3;
/// A host outside the subset: less than the wait behind another request, so that room elsewhere is used as soon as the
/// subset is busy.
const OUTSIDE_SUBSET_COST: f64 = 0.1;
/// A host of which every recent request failed.
const FAILING_COST: f64 = 1.5;
/// Seconds, for routes without a latency target.
const DEFAULT_LATENCY_TARGET: f64 = 0.5;
/// Costs are multiplied by a random number from 1 to this much above: otherwise all data nodes would select the same one
/// of several hosts of about the same cost.
const COST_JITTER: f64 = 0.1;
/// Part of a request's remaining time in which its answer has to be expected; beyond, it is better rejected now.
const USABLE_TIME: f64 = 0.9;

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct HostRequest<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Regions it may be sent to; empty is all.
    pub home_regions: &'a [String],
    /// Seconds in which an answer is wanted; not finite is none.
    pub latency_target: f64,
    /// Seconds until its client gives up.
    pub remaining: f64,
    /// Keys of hosts that it was sent to before.
    pub tried: &'a [u64],
    /// `None` for a request that was admitted before.
    pub queue_ticket: Option<QueueTicket>,
}

/// A selected host.
#[derive(Clone, Debug, PartialEq)]
pub struct SelectedHost {
    /// Names this host instance within this data node's process.
    pub key: u64,
    /// Id of the host instance.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddrV4,
    /// Seconds that the answer is expected to take.
    pub expected: f64,
}

/// Where this data node is.
#[derive(Debug)]
pub(crate) struct Locality {
    pub(crate) zone: String,
    pub(crate) region: String,
}

/// One service's hosts in one region.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    pub(crate) stats: PoolStats,
    pub(crate) admission: AdmissionQueue,
}

/// A service's hosts.
#[derive(Debug, Default)]
pub(crate) struct ServiceHosts {
    /// In ascending order, in which random numbers are drawn.
    pub(crate) host_keys: Vec<u64>,
    pub(crate) pool_by_region: HashMap<String, Pool>,
}

/// The expected time of a request at a host, and its cost there; in seconds.
struct Estimate {
    expected: f64,
    cost: f64,
}

/// Latency target of a request in seconds, also where its route has none.
pub(crate) fn latency_target_or_default(latency_target: f64) -> f64 {
    if latency_target.is_finite() { latency_target } else { DEFAULT_LATENCY_TARGET }
}

/// All that a selection goes by.
pub(crate) struct Selector<'a> {
    pub(crate) locality: &'a Locality,
    pub(crate) hosts: &'a BTreeMap<u64, Host>,
    pub(crate) service: &'a ServiceHosts,
    pub(crate) evacuated: &'a BTreeSet<String>,
    pub(crate) slow_start: &'a SlowStart,
    pub(crate) nodes: &'a DataNodes,
}

impl Selector<'_> {
    /// The host of least cost; none where no eligible host is expected to answer in time. Draws one random number for each
    /// host that is.
    pub(crate) fn select(
        &self,
        now: f64,
        request: &HostRequest,
        rng: &mut oorandom::Rand64,
    ) -> Option<SelectedHost> {
        let closed_regions = self.closed_regions(now, request);
        let mut best: Option<(f64, SelectedCandidate)> = None;
        for &key in &self.service.host_keys {
            let (Some(host), false) = (self.hosts.get(&key), request.tried.contains(&key)) else { continue };
            let Some(pool) = self.service.pool_by_region.get(&host.region) else { continue };
            if closed_regions.contains(&host.region.as_str()) || !self.is_eligible(host, request, now) {
                continue;
            }
            let Estimate { expected, cost } = self.estimate(host, request, &pool.stats, now);
            if expected > request.remaining * USABLE_TIME {
                continue;
            }
            let drawn_cost = cost * (1.0 + COST_JITTER * rng.rand_float());
            if best.as_ref().is_none_or(|(least, _)| drawn_cost < *least) {
                best = Some((drawn_cost, SelectedCandidate { key, host, expected }));
            }
        }
        best.map(|(_, candidate)| candidate.into())
    }

    /// Regions whose admission queue rejects the request.
    fn closed_regions(&self, now: f64, request: &HostRequest) -> Vec<&str> {
        let Some(ticket) = request.queue_ticket else { return Vec::new() };
        let pools = self.service.pool_by_region.iter();
        pools
            .filter(|(_, pool)| !ticket.is_admitted(pool.admission.admitted_fraction(now)))
            .map(|(region, _)| region.as_str())
            .collect()
    }

    fn is_eligible(&self, host: &Host, request: &HostRequest, now: f64) -> bool {
        let in_home_region = request.home_regions.is_empty() || request.home_regions.contains(&host.region);
        in_home_region
            && is_available(host, self.evacuated)
            && !host.outlier.is_ejected(now, host.pending)
            && (!host.warm_up.is_active(now) || self.has_warm_up_room(host, now))
    }

    fn has_warm_up_room(&self, host: &Host, now: f64) -> bool {
        let instance = &host.instance;
        self.slow_start.has_room(now, &instance.service, &instance.id, &host.warm_up, self.nodes)
    }

    fn estimate(&self, host: &Host, request: &HostRequest, pool: &PoolStats, now: f64) -> Estimate {
        let expected = host.expected_time(now, pool);
        let target = latency_target_or_default(request.latency_target);
        let way = match (host.instance.zone == self.locality.zone, host.region == self.locality.region) {
            (true, _) => 0.0,
            (_, true) => OTHER_ZONE_COST * target,
            _ => OTHER_REGION_COST * target,
        };
        let way = if host.in_subset { way } else { way + OUTSIDE_SUBSET_COST * target };
        let suspicion = if host.outlier.is_suspected(now, host.work(pool)) { target } else { 0.0 };
        let failing = host.outlier.failure_rate(now) * FAILING_COST * target;
        Estimate { expected, cost: expected + way + suspicion + failing }
    }
}

/// Whether a host is in the list, not draining, not known to have moved, and outside the evacuated zones.
pub(crate) fn is_available(host: &Host, evacuated: &BTreeSet<String>) -> bool {
    host.is_ready() && !host.misdirected && !evacuated.contains(&host.instance.zone)
}

/// The best host so far.
struct SelectedCandidate<'a> {
    key: u64,
    host: &'a Host,
    expected: f64,
}

impl From<SelectedCandidate<'_>> for SelectedHost {
    fn from(candidate: SelectedCandidate) -> SelectedHost {
        let instance = &candidate.host.instance;
        SelectedHost {
            key: candidate.key,
            id: instance.id.clone(),
            address: instance.address,
            expected: candidate.expected,
        }
    }
}
