//! Enforcement of tenants' quotas: by the quota counter, and by this node's local share if the counter is unreachable or
//! rejects the request.
//!
//! A request waits for the counter's verdict. If its client disconnects meanwhile, the request is withdrawn and its tenant
//! is not charged.

use crate::data_plane::DataPlane;
use archlink_config::Tenant;
use archlink_messages::NodeRank;
use archlink_quota::counter_client::{Quota, Verdict};
use archlink_quota::local_share::{LocalShare, QuotaBound};
use archlink_quota::pending_calls::CallResult;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// `Retry-After` in seconds of a request that is rejected without the counter's verdict: by then the counter may be
/// reachable again.
const UNCOUNTED_RETRY_AFTER: f64 = 0.3;

/// Longest wait in seconds for the counter's verdict. The counter client gives up a silent counter sooner; whatever becomes of
/// the counting, no request waits longer.
const MAX_VERDICT_WAIT: f64 = 0.5;

/// The request exceeds its tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaExceeded {
    /// Seconds after which the client may retry.
    pub retry_after: f64,
}

impl DataPlane {
    /// Charges one request to its tenant's quota: to the part that the counter grants, or to this node's local share if
    /// the counter rejects the request or is unreachable. `time_limit` is the request's time limit in seconds.
    ///
    /// # Errors
    ///
    /// Returns [`QuotaExceeded`] if neither admits the request.
    pub async fn acquire_quota(&self, tenant: &Tenant, time_limit: f64) -> Result<(), QuotaExceeded> {
        let uncounted = QuotaExceeded { retry_after: UNCOUNTED_RETRY_AFTER };
        if !self.quota.counter_reachable.get() {
            let limited = tenant.rate > 0.0;
            return if !limited || self.try_local_share(tenant) { Ok(()) } else { Err(uncounted) };
        }
        let (sender, verdict) = oneshot::channel();
        let counter_request = {
            let mut counter_client = self.quota.counter_client.borrow_mut();
            if !counter_client.has_room() {
                return Err(uncounted);
            }
            let id = counter_client.request(self.cluster_clock(), &tenant.name, time_limit);
            if let Some(id) = id {
                self.quota.waiting.borrow_mut().insert(id, sender);
            }
            id
        };
        let Some(id) = counter_request else { return Ok(()) };
        self.quota.flush();
        let waiting = WaitingRequest { data_plane: self, id };
        let limit = Duration::from_secs_f64(time_limit.clamp(0.0, MAX_VERDICT_WAIT));
        // Neither a verdict nor the end of the counting: the request is withdrawn.
        let verdict = timeout(limit, verdict).await.ok().and_then(Result::ok);
        drop(waiting);
        match verdict {
            Some(Verdict::Granted) => Ok(()),
            _ if self.try_local_share(tenant) => Ok(()),
            Some(Verdict::Rejected(wait)) => Err(QuotaExceeded { retry_after: wait }),
            None => Err(uncounted),
        }
    }

    /// Begins the counting anew, as after a restart of the process. Requests that wait for a verdict are decided by the local
    /// share.
    pub fn reset_quota_counting(&self) {
        self.set_counter_reachable(false);
        let seed = archlink_runtime::random_seed();
        self.quota.counter_client.borrow_mut().reset(self.cluster_clock(), seed);
        self.quota.timer_at.set(f64::INFINITY);
        self.apply_quotas();
        self.quota.waiting.borrow_mut().clear();
    }

    fn try_local_share(&self, tenant: &Tenant) -> bool {
        let (bound, now) = (self.quota_bound(), self.clock.now());
        let mut shares = self.quota.shares.borrow_mut();
        // The process clock is 0 at the start of the process.
        let share = shares.entry(tenant.name.clone()).or_insert_with(|| LocalShare::new(0.0));
        let fleet_view = self.fleet_view.borrow();
        let node = archlink_runtime::node_id(self.settings.ip);
        let rank = NodeRank::of(node, &tenant.name, fleet_view.data_nodes());
        share.try_admit(now, &bound, tenant.rate, tenant.burst, rank)
    }

    /// Passes the configured quotas to the counter client, each with the fraction that the counter grants, which depends on
    /// the number of data nodes that share the rest.
    pub fn apply_quotas(&self) {
        let (Some(configuration), bound, data_nodes) =
            (self.configuration(), self.quota_bound(), self.data_node_count())
        else {
            return;
        };
        let quota = |tenant: &Tenant| {
            let counted_fraction = bound.counted_fraction(tenant.rate, tenant.burst, data_nodes);
            Quota { tenant: tenant.name.clone(), rate: tenant.rate, burst: tenant.burst, counted_fraction }
        };
        let quotas: Vec<Quota> = configuration.tenants.iter().map(quota).collect();
        self.quota.counter_client.borrow_mut().set_quotas(&quotas);
    }

    fn quota_bound(&self) -> QuotaBound {
        let bounds = &self.settings.timing_bounds;
        QuotaBound { window: bounds.quota_window, overrun: bounds.quota_overrun, slack: bounds.quota_slack }
    }

    /// Records whether the node that holds the counter's lease serves the counter.
    pub fn set_counter_reachable(&self, reachable: bool) {
        if reachable && !self.quota.counter_was_reachable.replace(true) {
            self.state_changed.notify_waiters();
        }
        if self.quota.counter_reachable.replace(reachable) != reachable {
            if reachable {
                self.quota.counter_client.borrow_mut().counter_recovered();
                log::info!("quota counter reachable");
            } else {
                log::info!("quota counter unreachable: local shares only");
            }
        }
    }

    /// Processes the results of calls to the counter.
    pub fn finish_counter_calls(&self, results: Vec<CallResult>) {
        let now = self.cluster_clock();
        for result in results {
            self.quota.counter_client.borrow_mut().call_finished(now, result);
        }
        self.quota.flush();
    }

    /// Runs the counter client's timer for the lifetime of the process: sleeps until the next wake-up, and again if an
    /// earlier one is scheduled meanwhile.
    pub async fn run_quota_timer(&self) {
        loop {
            let wake_at = self.quota.counter_client.borrow().wake_at().unwrap_or(f64::INFINITY);
            self.quota.timer_at.set(wake_at);
            let until = self.clock.instant_at(wake_at - self.fleet_view.borrow().clock_offset());
            tokio::select! {
                _ = tokio::time::sleep_until(until) => {
                    self.quota.counter_client.borrow_mut().timer_fired(self.cluster_clock());
                    self.quota.flush();
                }
                _ = self.quota.timer_changed.notified() => {}
            }
        }
    }
}

/// A request that waits for the counter's verdict. If it is dropped before the verdict, because the client disconnected,
/// the request is withdrawn.
struct WaitingRequest<'a> {
    data_plane: &'a DataPlane,
    id: u32,
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        let quota = &self.data_plane.quota;
        if quota.waiting.borrow_mut().remove(&self.id).is_some() {
            quota.counter_client.borrow_mut().client_disconnected(self.data_plane.cluster_clock(), self.id);
        }
    }
}
