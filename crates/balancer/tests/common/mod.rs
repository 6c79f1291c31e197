//! A balancer of data node 1 of nine, in zone `a` of region `x`, and requests to the service `s`, in simulated time.

use archlink_balancer::balancer::{Balancer, HostRequest, WarmUpBound, WarmUpLimits};
use archlink_messages::HostInstance;
use std::collections::HashMap;

/// A host of service `s` with two slots that is not warming up.
pub fn instance(id: &str, zone: &str) -> HostInstance {
    HostInstance {
        id: id.into(),
        service: "s".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: zone.into(),
        capacity: 2,
        draining: false,
        warm_up_seconds: 0.0,
    }
}

/// A balancer that knows the zones `a` and `b` in region `x` and zone `c` in region `y`, and no hosts.
pub fn balancer() -> Balancer {
    let regions =
        [("a", "x"), ("b", "x"), ("c", "y")].map(|(zone, region)| (zone.to_string(), region.to_string()));
    let warm_up = WarmUpBound { overrun: 1.5, slack: 5.0 };
    let mut balancer = Balancer::new(1, "a".into(), "x".into(), HashMap::from(regions), warm_up, 7);
    balancer.set_data_nodes(&[1, 2, 3, 4, 5, 6, 7, 8, 9]);
    balancer.set_services([("s".into(), WarmUpLimits { warm_up_rate: 10.0, warm_up_period: 3.0 })].into());
    balancer
}

/// A request to service `s` that may go to any region and is not subject to load shedding.
pub fn request() -> HostRequest<'static> {
    HostRequest {
        service: "s",
        home_regions: &[],
        latency_target: 0.3,
        remaining: 2.0,
        tried: &[],
        shed_candidate: None,
    }
}

/// The id of the host that is selected for a request.
#[allow(dead_code, reason = "not every test file needs it")]
pub fn selected_id(balancer: &mut Balancer, now: f64, request: &HostRequest) -> Option<String> {
    balancer.select(now, request).map(|selected| selected.id)
}
