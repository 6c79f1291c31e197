//! Host selection for one request: its services by weight, its home regions, and the hosts that it was already sent to.

use crate::attempts::LocalOutcome;
use crate::data_plane::DataPlane;
use crate::deadline::Deadline;
use crate::local_reply::LocalReply;
use crate::routing::RoutedRequest;
use archlink_balancer::balancer::{HostRequest, SelectedHost, ShedCandidate};
use archlink_config::{Route, Tenant};
use std::rc::Rc;

/// Maximum expected response time of a host, as a fraction of the request's latency target: if every host is expected to
/// take longer, an immediate rejection serves the client better.
const MAX_EXPECTED_TIME_FRACTION: f64 = 0.9;

/// The requirements of a request on its host, and the hosts that it was already sent to.
pub struct HostSelection<'a> {
    data_plane: &'a Rc<DataPlane>,
    /// Regions that the request may be sent to; empty means all, `None` means none.
    home_regions: Option<Vec<String>>,
    /// Services of the route, starting with the one that was drawn by weight.
    services: Vec<&'a str>,
    latency_target: f64,
    /// Maximum expected response time in seconds.
    max_expected_time: f64,
    deadline: Deadline,
    /// Keys of the host instances that the request was sent to.
    tried: Vec<u64>,
    /// Input to the balancer's load shedding; `None` once the request is exempt from it.
    shed_candidate: Option<ShedCandidate>,
}

impl<'a> HostSelection<'a> {
    /// Creates the selection for a request that was sent to no host yet. Draws its service and the random number by which
    /// the balancer decides whether to shed it.
    pub fn new(data_plane: &'a Rc<DataPlane>, routed: &RoutedRequest<'a>, deadline: Deadline) -> Self {
        let route = routed.route;
        HostSelection {
            data_plane,
            home_regions: home_regions(route, routed.tenant),
            services: services_by_weight(route),
            latency_target: route.latency_target,
            max_expected_time: route.latency_target * MAX_EXPECTED_TIME_FRACTION,
            deadline,
            tried: Vec::new(),
            shed_candidate: Some(ShedCandidate {
                priority: routed.tenant.and_then(|tenant| tenant.priority).unwrap_or(route.priority),
                draw: random_unit(),
            }),
        }
    }

    /// The state that all requests share.
    pub fn data_plane(&self) -> &'a Rc<DataPlane> {
        self.data_plane
    }

    /// The deadline of the request.
    pub fn deadline(&self) -> Deadline {
        self.deadline
    }

    /// Exempts further selections from load shedding, because the request has been admitted.
    pub fn exempt_from_load_shedding(&mut self) {
        self.shed_candidate = None;
    }

    /// Selects a host of the first service that has one available; returns it with the name of the service.
    pub fn select(&self) -> Option<(SelectedHost, &'a str)> {
        let home_regions = self.home_regions.as_deref()?;
        let now = self.data_plane.clock.now();
        let mut balancer = self.data_plane.balancer.borrow_mut();
        self.services.iter().find_map(|service| {
            let host_request = HostRequest {
                service,
                home_regions,
                latency_target: self.latency_target,
                remaining: self.max_expected_time.min(self.deadline.remaining(now)),
                tried: &self.tried,
                shed_candidate: self.shed_candidate,
            };
            balancer.select(now, &host_request).map(|host| (host, *service))
        })
    }

    /// Records that an attempt at host `key` starts at `now`.
    pub fn attempt_started(&mut self, now: f64, key: u64) {
        self.tried.push(key);
        self.data_plane.balancer.borrow_mut().attempt_started(now, key, self.latency_target);
    }

    /// Counts a client's disconnect under the service that was drawn first, and returns the local reply for `outcome`.
    pub fn client_disconnected(&self, outcome: LocalOutcome) -> LocalReply {
        self.data_plane.metrics.client_disconnected(self.services[0]);
        LocalReply::NoHostResponse(outcome)
    }
}

/// The home regions that both the route and the tenant allow. Empty means all regions, `None` means that they have no
/// region in common.
fn home_regions(route: &Route, tenant: Option<&Tenant>) -> Option<Vec<String>> {
    let tenant_regions = tenant.map_or(&[][..], |tenant| &tenant.home_regions);
    match (route.home_regions.is_empty(), tenant_regions.is_empty()) {
        (_, true) => Some(route.home_regions.clone()),
        (true, _) => Some(tenant_regions.to_vec()),
        _ => {
            let common = route.home_regions.iter().filter(|region| tenant_regions.contains(region));
            let common: Vec<String> = common.cloned().collect();
            (!common.is_empty()).then_some(common)
        }
    }
}

/// The services of a route: first one drawn at random by weight, then the others whose weight is not 0.
fn services_by_weight(route: &Route) -> Vec<&str> {
    let distribution = &route.distribution;
    let total_weight: f64 = distribution.iter().map(|service| service.weight).sum();
    let mut remaining_weight = random_unit() * total_weight;
    let mut first = 0;
    for (index, service) in distribution.iter().enumerate().filter(|_| distribution.len() > 1) {
        first = index;
        remaining_weight -= service.weight;
        if remaining_weight < 0.0 {
            break;
        }
    }
    let others =
        distribution.iter().enumerate().filter(|(index, service)| *index != first && service.weight > 0.0);
    [distribution[first].service.as_str()]
        .into_iter()
        .chain(others.map(|(_, service)| service.service.as_str()))
        .collect()
}

/// A random number from 0 (included) to 1 (excluded), with the 53 bits of precision of an `f64`.
fn random_unit() -> f64 {
    (archlink_runtime::random_seed() >> 11) as f64 / (1_u64 << 53) as f64
}
