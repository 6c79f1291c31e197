//! The state of one host instance at this data node: its list entry, its load, its service time and its health.

use crate::attempt::HostLoad;
use crate::outlier::OutlierState;
use crate::pool_stats::PoolStats;
use crate::probing::HostProbes;
use crate::service_time::{Condition, ServiceTimeEstimate};
use crate::slow_start::WarmUp;
use archlink_messages::HostInstance;

/// Weight of one load report in the moving average of other data nodes' requests: a few reports show their load.
const OTHERS_IN_FLIGHT_WEIGHT: f64 = 0.5;
/// Time constant in seconds by which a load report loses its weight; the average load of the pool takes its place.
const LOAD_REPORT_DECAY_TIME: f64 = 2.0;
/// Requests per slot that other data nodes are assumed to have in flight at a host that rejects a request as full.
const FULL_LOAD: f64 = 2.0;

/// The state of one host instance.
pub(crate) struct Host {
    pub(crate) instance: HostInstance,
    pub(crate) region: String,
    /// Requests of this data node in flight at the host.
    pub(crate) in_flight: f64,
    /// Requests of other data nodes in flight at the host, as of `others_updated_at`.
    others_in_flight: f64,
    others_updated_at: f64,
    /// Service time without waiting.
    service_time: ServiceTimeEstimate,
    pub(crate) probes: HostProbes,
    /// Requests that the host runs concurrently.
    slots: f64,
    pub(crate) outlier: OutlierState,
    pub(crate) warm_up: WarmUp,
    /// Whether it is one of the hosts that this data node prefers.
    pub(crate) in_subset: bool,
    /// Whether it is missing from the last list; such a host is kept while requests are in flight.
    pub(crate) removed: bool,
    /// Whether it rejected a request as misdirected: the instance is gone although the list does not say so yet.
    pub(crate) misdirected: bool,
}

impl Host {
    pub(crate) fn new(now: f64, instance: HostInstance, region: String) -> Host {
        Host {
            region,
            in_flight: 0.0,
            others_in_flight: 0.0,
            others_updated_at: now,
            service_time: ServiceTimeEstimate::default(),
            probes: HostProbes::new(now),
            slots: f64::from(instance.capacity.max(1)),
            outlier: OutlierState::new(now),
            warm_up: WarmUp::new(now + f64::from(instance.warm_up_seconds)),
            in_subset: true,
            removed: false,
            misdirected: false,
            instance,
        }
    }

    /// Applies a newer list entry of the same instance.
    pub(crate) fn update(&mut self, now: f64, instance: &HostInstance) {
        if instance.warm_up_seconds > 0.0 {
            self.warm_up.extend(now + f64::from(instance.warm_up_seconds));
        }
        self.removed = false;
        self.instance = instance.clone();
    }

    /// Whether it is in the list and not draining.
    pub(crate) fn is_ready(&self) -> bool {
        !self.removed && !self.instance.draining
    }

    /// Service time in seconds once the host is warm; the pool's until the host's first response.
    pub(crate) fn service_time(&self, pool: &PoolStats) -> f64 {
        self.service_time.mean().unwrap_or_else(|| pool.service_time())
    }

    /// Expected response time in seconds of a request sent now if the host were idle.
    pub(crate) fn expected_idle_time(&self, now: f64, pool: &PoolStats) -> f64 {
        self.service_time(pool) * self.condition(now).slowdown()
    }

    /// Whether the host is warming up.
    fn condition(&self, now: f64) -> Condition {
        if self.warm_up.is_active(now) { Condition::WarmingUp } else { Condition::Warm }
    }

    /// Expected response time in seconds of a request sent now, waiting included.
    pub(crate) fn expected_time(&self, now: f64, pool: &PoolStats) -> f64 {
        let report_weight = (-(now - self.others_updated_at) / LOAD_REPORT_DECAY_TIME).exp();
        let pool_estimate = (pool.load(now) * self.slots - self.in_flight).max(0.0);
        let others_in_flight = report_weight * self.others_in_flight + (1.0 - report_weight) * pool_estimate;
        let waiting_ahead = (self.in_flight + others_in_flight + 1.0 - self.slots).max(0.0);
        self.expected_idle_time(now, pool) * (1.0 + waiting_ahead / self.slots)
    }

    pub(crate) fn request_sent(&mut self, now: f64) {
        self.in_flight += 1.0;
        self.outlier.request_sent(now);
        self.warm_up.request_sent(now);
        self.probes.request_sent(now);
    }

    /// Records a load report. The host made it before the reporting request ended, so it includes `own_in_flight`
    /// requests of this data node. Returns the reported requests per slot.
    pub(crate) fn observe_load(&mut self, now: f64, load: HostLoad, own_in_flight: f64) -> f64 {
        self.slots = if load.slots >= 1.0 { load.slots } else { self.slots };
        let others_in_flight = (load.running + load.waiting - own_in_flight).max(0.0);
        self.others_in_flight += OTHERS_IN_FLIGHT_WEIGHT * (others_in_flight - self.others_in_flight);
        self.others_updated_at = now;
        (load.running + load.waiting) / self.slots
    }

    /// Records that the host rejected a request as full.
    pub(crate) fn observe_full(&mut self) {
        self.others_in_flight = self.others_in_flight.max(self.slots * FULL_LOAD);
    }

    /// Estimates the service time of a request that took `elapsed` seconds while `own_in_flight` requests of this data
    /// node, itself included, were in flight.
    pub(crate) fn estimate_service_time(&self, elapsed: f64, own_in_flight: f64) -> f64 {
        elapsed / ((own_in_flight + self.others_in_flight) / self.slots).max(1.0)
    }

    /// Records the service time of a request that was sent at `sent_at`; of a probe, in place of the earlier ones. Returns the
    /// host's condition at that time.
    pub(crate) fn observe_service_time(
        &mut self,
        service_time: f64,
        sent_at: f64,
        is_probe: bool,
    ) -> Condition {
        let condition = self.condition(sent_at);
        if is_probe {
            self.service_time.replace(service_time, condition);
        } else {
            self.service_time.observe(service_time, condition);
        }
        condition
    }

    /// Records a lower bound of the service time of a request that was sent at `sent_at`. Until the host's first response it is
    /// compared with `pool_service_time`.
    pub(crate) fn observe_min_service_time(
        &mut self,
        min_service_time: f64,
        sent_at: f64,
        pool_service_time: f64,
    ) {
        self.service_time.observe_minimum(min_service_time, self.condition(sent_at), pool_service_time);
    }
}
