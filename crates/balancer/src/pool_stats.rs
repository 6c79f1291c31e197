//! Statistics of a pool, which is all hosts of a service in one region: their load and their service time.
//!
//! Each response tells about one host. With many data nodes and hosts, one data node gets responses from any single
//! host too rarely to rely on, but often enough from the whole pool. A host's own recent statistics take precedence
//! over these.

/// Weight of one load report in the moving average, which spans about ten responses: a second or less at the smallest
/// data node.
const LOAD_WEIGHT: f64 = 0.12;
/// Weight of one response in the moving average of the service time, which varies more than the load.
const SERVICE_TIME_WEIGHT: f64 = 0.06;
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
    /// 0 until the first response.
    service_time: f64,
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
    pub fn observe_service_time(&mut self, service_time: f64) {
        self.service_time = if self.service_time > 0.0 {
            self.service_time + SERVICE_TIME_WEIGHT * (service_time - self.service_time)
        } else {
            service_time
        };
    }

    /// Requests, running and waiting, per slot of an average host.
    pub fn load(&self, now: f64) -> f64 {
        self.load * (-(now - self.load_updated_at).max(0.0) / LOAD_DECAY_TIME).exp()
    }

    /// Mean service time in seconds.
    pub fn service_time(&self) -> f64 {
        if self.service_time > 0.0 { self.service_time } else { INITIAL_SERVICE_TIME }
    }
}
