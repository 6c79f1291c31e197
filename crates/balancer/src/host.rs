//! One host instance as this data node knows it: its entry in the list, its load and the time of its work.

use crate::attempt::HostLoad;
use crate::outlier::OutlierState;
use crate::pool_stats::PoolStats;
use crate::slow_start::WarmUp;
use archlink_messages::HostInstance;

/// Weight of one answer in the mean of a host's work: a few tens of answers show its speed beside work that varies by
/// itself.
const WORK_WEIGHT: f64 = 0.06;
/// Weight of one load report in what other data nodes have out at a host: a few reports show who else is there.
const FOREIGN_LOAD_WEIGHT: f64 = 0.5;
/// Seconds in which a load report loses its weight by the factor e; without it a host counts as a usual one of its pool.
const FOREIGN_LOAD_DECAY: f64 = 2.0;
/// Requests for each slot that others are taken to have at a host that rejects one as full.
const FULL_LOAD: f64 = 2.0;
/// Factor on the time of a host's work while it is warming up.
const WARM_UP_SLOWDOWN: f64 = 2.0;

/// What is known of one host instance.
pub(crate) struct Host {
    pub(crate) instance: HostInstance,
    pub(crate) region: String,
    /// Requests that this data node has out there.
    pub(crate) pending: f64,
    /// Requests that others have out there, as of `foreign_load_at`.
    foreign_load: f64,
    foreign_load_at: f64,
    /// Mean seconds of a request that runs alone; 0 until one was answered.
    work: f64,
    slots: f64,
    pub(crate) outlier: OutlierState,
    pub(crate) warm_up: WarmUp,
    /// One of the hosts that this data node prefers.
    pub(crate) in_subset: bool,
    /// Not in the last list: kept while requests are out.
    pub(crate) removed: bool,
    /// It answered that a request was not meant for it: gone before the list says so.
    pub(crate) misdirected: bool,
}

impl Host {
    pub(crate) fn new(now: f64, instance: HostInstance, region: String) -> Host {
        Host {
            region,
            pending: 0.0,
            foreign_load: 0.0,
            foreign_load_at: now,
            work: 0.0,
            slots: f64::from(instance.capacity.max(1)),
            outlier: OutlierState::new(now),
            warm_up: WarmUp::new(now + f64::from(instance.warm_up_seconds)),
            in_subset: true,
            removed: false,
            misdirected: false,
            instance,
        }
    }

    /// Takes a newer entry of the list for the same instance.
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

    /// Seconds of a request that runs alone, the pool's usual one where this host has answered none.
    pub(crate) fn work(&self, pool: &PoolStats) -> f64 {
        if self.work > 0.0 { self.work } else { pool.work() }
    }

    /// Seconds that a request sent now is expected to take, waiting included.
    pub(crate) fn expected_time(&self, now: f64, pool: &PoolStats) -> f64 {
        let work = self.work(pool);
        let freshness = (-(now - self.foreign_load_at) / FOREIGN_LOAD_DECAY).exp();
        let usual_load = (pool.load(now) * self.slots - self.pending).max(0.0);
        let foreign_load = freshness * self.foreign_load + (1.0 - freshness) * usual_load;
        let ahead = (self.pending + foreign_load + 1.0 - self.slots).max(0.0);
        let slowdown = if self.warm_up.is_active(now) { WARM_UP_SLOWDOWN } else { 1.0 };
        work * slowdown * (1.0 + ahead / self.slots)
    }

    pub(crate) fn request_sent(&mut self, now: f64) {
        self.pending += 1.0;
        self.outlier.request_sent(now);
        self.warm_up.request_sent(now);
    }

    /// Takes a load report. It was made before the reporting request ended: `own_pending` requests of this data node were
    /// part of it. Returns requests for each slot.
    pub(crate) fn observe_load(&mut self, now: f64, load: HostLoad, own_pending: f64) -> f64 {
        self.slots = if load.slots >= 1.0 { load.slots } else { self.slots };
        let foreign_load = (load.running + load.waiting - own_pending).max(0.0);
        self.foreign_load += FOREIGN_LOAD_WEIGHT * (foreign_load - self.foreign_load);
        self.foreign_load_at = now;
        (load.running + load.waiting) / self.slots
    }

    /// The host rejected a request as full.
    pub(crate) fn observe_full(&mut self) {
        self.foreign_load = self.foreign_load.max(self.slots * FULL_LOAD);
    }

    /// Seconds that a request would have taken alone, which took `elapsed` beside `own_pending` of this data node.
    pub(crate) fn time_alone(&self, elapsed: f64, own_pending: f64) -> f64 {
        elapsed / ((own_pending + self.foreign_load) / self.slots).max(1.0)
    }

    /// An answer took `time_alone` seconds by itself.
    pub(crate) fn observe_work(&mut self, time_alone: f64) {
        self.work =
            if self.work > 0.0 { self.work + WORK_WEIGHT * (time_alone - self.work) } else { time_alone };
    }

    /// An answer would have taken longer than `time_alone` seconds by itself; `pool_work` is the pool's usual time.
    pub(crate) fn observe_work_at_least(&mut self, time_alone: f64, pool_work: f64) {
        let known = if self.work > 0.0 { self.work } else { pool_work };
        if time_alone > known {
            self.work = known + WORK_WEIGHT * (time_alone - known);
        }
    }
}
