//! Statistics of a pool, which is all hosts of a service in one region: their load and their service time.
//!
//! Each response tells about one host. With many data nodes and hosts, one data node gets responses from any single
//! host too rarely to rely on, but often enough from the whole pool. A host's own recent statistics take precedence
//! over these.

use crate::service_time::{Condition, ServiceTimeEstimate};

/// Weight of one load report in the moving average, which spans about ten responses: a second or less at the smallest
/// data node.
const LOAD_WEIGHT: f64 = 0.12;
/// Time constant in seconds by which the load decays while no report arrives: this data node has no requests in flight,
/// and those of other data nodes complete.
const LOAD_DECAY_TIME: f64 = 3.0;
/// Service time in seconds assumed until the first response of the pool.
const INITIAL_SERVICE_TIME: f64 = 0.06;

/// Moving averages over the hosts of one pool.
#[derive(Clone, Debug, Default)]
pub struct PoolStats {
    load: f64,
    load_updated_at: f64,
    service_time: ServiceTimeEstimate,
    /// Number of load reports, counted until each has its final weight.
    reports: f64,
}

impl PoolStats {
    /// Records that a host reported this many requests, running and waiting, per slot.
    pub fn observe_load(&mut self, now: f64, load: f64) {
        let before = self.load(now);
        self.load = before + LOAD_WEIGHT.max(1.0 / (self.reports + 1.0)) * (load.max(0.0) - before);
        self.load_updated_at = now;
        self.reports = (self.reports + 1.0).min(1.0 / LOAD_WEIGHT);
    }

    /// Records the service time of one request in seconds: its response time without waiting.
    pub fn observe_service_time(&mut self, service_time: f64, condition: Condition) {
        self.service_time.observe(service_time, condition);
    }

    /// Records the service time of a probe. If it is lower than the estimate, the estimate is out of date and is replaced.
    pub fn observe_probe(&mut self, service_time: f64, condition: Condition) {
        if service_time / condition.slowdown() < self.service_time() {
            self.service_time.replace(service_time, condition);
        } else {
            self.service_time.observe(service_time, condition);
        }
    }

    /// Requests, running and waiting, per slot of an average host.
    pub fn load(&self, now: f64) -> f64 {
        self.load * (-(now - self.load_updated_at).max(0.0) / LOAD_DECAY_TIME).exp()
    }

    /// Mean service time of warm hosts in seconds.
    pub fn service_time(&self) -> f64 {
        self.service_time.mean().unwrap_or(INITIAL_SERVICE_TIME)
    }
}
