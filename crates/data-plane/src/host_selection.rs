//! The selection of a host for one request: its services by weight, its home regions, the hosts it was sent to before.

use crate::attempts::LocalOutcome;
use crate::data_plane::DataPlane;
use crate::deadline::Deadline;
use crate::rejection::Rejection;
use crate::routing::RoutedRequest;
use archlink_balancer::balancer::{HostRequest, SelectedHost, ShedCandidate};
use archlink_config::{Route, Tenant};
use std::rc::Rc;

/// How long a response may be expected to take for a request to be admitted at all, as a part of its latency target:
/// where every host is as loaded as that, its client is better served by a rejection at once.
const MAX_EXPECTED_FRACTION: f64 = 0.9;

/// What a request needs of a host, and what it was sent to so far.
pub struct HostSelection<'a> {
    data_plane: &'a Rc<DataPlane>,
    /// Regions that it may be sent to; empty: all; `None`: no region is left.
    home_regions: Option<Vec<String>>,
    /// The route's services, the one that its weights drew first.
    services: Vec<&'a str>,
    latency_target: f64,
    /// Seconds that its response may be expected to take.
    max_expected: f64,
    deadline: Deadline,
    /// Keys of the host instances that it was sent to.
    tried: Vec<u64>,
    /// Its place at the admission queue; `None` once it is admitted.
    queue_ticket: Option<ShedCandidate>,
}

impl<'a> HostSelection<'a> {
    /// The selection for a request that was sent to no host yet. Draws its service and its queue ticket.
    pub fn new(data_plane: &'a Rc<DataPlane>, routed: &RoutedRequest<'a>, deadline: Deadline) -> Self {
        let route = routed.route;
        HostSelection {
            data_plane,
            home_regions: home_regions(route, routed.tenant),
            services: services_by_weight(route),
            latency_target: route.latency_target,
            max_expected: route.latency_target * MAX_EXPECTED_FRACTION,
            deadline,
            tried: Vec::new(),
            queue_ticket: Some(ShedCandidate {
                priority: routed.tenant.and_then(|tenant| tenant.priority).unwrap_or(route.priority),
                draw: random_unit(),
            }),
        }
    }

    /// The data plane's shared state.
    pub fn data_plane(&self) -> &'a Rc<DataPlane> {
        self.data_plane
    }

    /// When the request ends.
    pub fn deadline(&self) -> Deadline {
        self.deadline
    }

    /// The request has been admitted: its further selections are exempt from load shedding.
    pub fn exempt_from_load_shedding(&mut self) {
        self.queue_ticket = None;
    }

    /// A host with room, and its service: the first of the services that has one.
    pub fn select(&self) -> Option<(SelectedHost, &'a str)> {
        let home_regions = self.home_regions.as_deref()?;
        let now = self.data_plane.clock.now();
        let mut balancer = self.data_plane.balancer.borrow_mut();
        self.services.iter().find_map(|service| {
            let host_request = HostRequest {
                service,
                home_regions,
                latency_target: self.latency_target,
                remaining: self.max_expected.min(self.deadline.remaining(now)),
                tried: &self.tried,
                shed_candidate: self.queue_ticket,
            };
            balancer.select(now, &host_request).map(|host| (host, *service))
        })
    }

    /// An attempt on the host with that key starts at `now`.
    pub fn attempt_started(&mut self, now: f64, key: u64) {
        self.tried.push(key);
        self.data_plane.balancer.borrow_mut().attempt_started(now, key, self.latency_target);
    }

    /// The client disconnected, and its request ends by `outcome`; counted under the service that was drawn.
    pub fn client_disconnected(&self, outcome: LocalOutcome) -> Rejection {
        self.data_plane.metrics.client_disconnected(self.services[0]);
        Rejection::NoResponse(outcome)
    }
}

/// The home regions that bind a request: the route's and the tenant's both. Empty: all; `None`: no region is left.
fn home_regions(route: &Route, tenant: Option<&Tenant>) -> Option<Vec<String>> {
    let of_tenant = tenant.map_or(&[][..], |tenant| &tenant.home_regions);
    match (route.home_regions.is_empty(), of_tenant.is_empty()) {
        (_, true) => Some(route.home_regions.clone()),
        (true, _) => Some(of_tenant.to_vec()),
        _ => {
            let common = route.home_regions.iter().filter(|region| of_tenant.contains(region));
            let common: Vec<String> = common.cloned().collect();
            (!common.is_empty()).then_some(common)
        }
    }
}

/// A route's services: the one that the weights draw first, and after it the others that have a weight.
fn services_by_weight(route: &Route) -> Vec<&str> {
    let distribution = &route.distribution;
    let total: f64 = distribution.iter().map(|service| service.weight).sum();
    let mut left = random_unit() * total;
    let mut first = 0;
    for (n, service) in distribution.iter().enumerate().filter(|_| distribution.len() > 1) {
        first = n;
        left -= service.weight;
        if left < 0.0 {
            break;
        }
    }
    let others = distribution.iter().enumerate().filter(|(n, service)| *n != first && service.weight > 0.0);
    [distribution[first].service.as_str()]
        .into_iter()
        .chain(others.map(|(_, service)| service.service.as_str()))
        .collect()
}

/// A random number from 0 to 1, 1 excluded, with the 53 bits of a double's mantissa.
fn random_unit() -> f64 {
    (archlink_runtime::random_seed() >> 11) as f64 / (1_u64 << 53) as f64
}
