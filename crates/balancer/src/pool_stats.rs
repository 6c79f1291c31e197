//! What is known of a service's hosts in one region together: how busy they are and how long their work takes.
//!
//! Each answer tells of one host. Among many data nodes and hosts the same host is heard from too seldom to go by, all of
//! them together often enough. A host's own recent figures go before these.

/// Weight of one load report in the mean: some ten answers, a second or less at the smallest data node.
const LOAD_WEIGHT: f64 = 0.12;
/// Weight of one answer in the mean of the work, which varies more.
const WORK_WEIGHT: f64 = 0.06;
/// Seconds in which the load falls by the factor e without any report: nothing of this data node is there, and what others
/// have runs out.
const LOAD_DECAY: f64 = 3.0;
/// Seconds of work expected until a service's hosts have answered.
const INITIAL_WORK: f64 = 0.06;

/// The means over one pool.
#[derive(Clone, Debug, Default)]
pub struct PoolStats {
    load: f64,
    load_at: f64,
    work: f64,
    /// Load reports so far, up to where each has its final weight.
    reports: f64,
}

impl PoolStats {
    /// A host reported this many requests, running and waiting, for each of its slots.
    pub fn observe_load(&mut self, now: f64, load: f64) {
        let before = self.load(now);
        self.load = before + LOAD_WEIGHT.max(1.0 / (self.reports + 1.0)) * (load.max(0.0) - before);
        self.load_at = now;
        self.reports = (self.reports + 1.0).min(1.0 / LOAD_WEIGHT);
    }

    /// A request took `work` seconds by itself.
    pub fn observe_work(&mut self, work: f64) {
        self.work = if self.work > 0.0 { self.work + WORK_WEIGHT * (work - self.work) } else { work };
    }

    /// Requests running and waiting at a usual host, for each of its slots.
    pub fn load(&self, now: f64) -> f64 {
        self.load * (-(now - self.load_at).max(0.0) / LOAD_DECAY).exp()
    }

    /// Seconds that a usual host's work takes.
    pub fn work(&self) -> f64 {
        if self.work > 0.0 { self.work } else { INITIAL_WORK }
    }
}
