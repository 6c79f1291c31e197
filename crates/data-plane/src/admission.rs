//! Admission against tenants' quotas: by the quota counter where it is reachable, and by this node's local share where
//! it is not or has nothing left.
//!
//! A request waits here for the counter's verdict. Its wait ends with the verdict or with its client: one whose client
//! disconnects is taken back, and the tenant is not charged.

use crate::data_plane::DataPlane;
use archlink_config::Tenant;
use archlink_messages::NodeRank;
use archlink_quota::counter_client::{Quota, Verdict};
use archlink_quota::local_share::{LocalShare, QuotaBound};
use archlink_quota::pending_calls::CallResult;
use tokio::sync::oneshot;

/// Seconds after which a client comes back that was rejected without the counter's verdict: by then there may be a
/// counter again.
const UNCOUNTED_RETRY_AFTER: f64 = 0.3;

/// A request is over its tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaExceeded {
    /// Seconds after which it may come back.
    pub retry_after: f64,
}

impl DataPlane {
    /// Admits one request against its tenant's quota: by the counter's verdict first, and by this node's local share
    /// where that is a refusal. `time_limit` is how many seconds the request has.
    pub async fn admit(&self, tenant: &Tenant, time_limit: f64) -> Result<(), QuotaExceeded> {
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
        let verdict = verdict.await;
        drop(waiting);
        match verdict {
            Ok(Verdict::Granted) => Ok(()),
            Ok(Verdict::Rejected(_)) if self.try_local_share(tenant) => Ok(()),
            Ok(Verdict::Rejected(wait)) => Err(QuotaExceeded { retry_after: wait }),
            Err(_) => Err(uncounted),
        }
    }

    fn try_local_share(&self, tenant: &Tenant) -> bool {
        let (bound, now) = (self.quota_bound(), self.clock.now());
        let mut shares = self.quota.shares.borrow_mut();
        // The process clock begins at 0 with this process.
        let share = shares.entry(tenant.name.clone()).or_insert_with(|| LocalShare::new(0.0));
        let fleet_view = self.fleet_view.borrow();
        let node = archlink_runtime::node_id(self.settings.ip);
        let rank = NodeRank::of(node, &tenant.name, fleet_view.data_nodes());
        share.try_admit(now, &bound, tenant.rate, tenant.burst, rank)
    }

    /// The part of each quota that the counter grants, which depends on how many data nodes have shares of the rest.
    pub fn apply_quotas(&self) {
        let (Some(configuration), bound, data_nodes) =
            (self.configuration(), self.quota_bound(), self.data_node_count())
        else {
            return;
        };
        let quota = |tenant: &Tenant| {
            let counted = bound.counted_fraction(tenant.rate, tenant.burst, data_nodes);
            Quota {
                tenant: tenant.name.clone(),
                rate: tenant.rate,
                burst: tenant.burst,
                counted_fraction: counted,
            }
        };
        let quotas: Vec<Quota> = configuration.tenants.iter().map(quota).collect();
        self.quota.counter_client.borrow_mut().set_quotas(&quotas);
    }

    fn quota_bound(&self) -> QuotaBound {
        let bounds = &self.settings.timing_bounds;
        QuotaBound { window: bounds.quota_window, overrun: bounds.quota_overrun, slack: bounds.quota_slack }
    }

    /// The counter's holder answers, or does not.
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

    /// The results of calls on the counter.
    pub fn finish_counter_calls(&self, results: Vec<CallResult>) {
        let now = self.cluster_clock();
        for result in results {
            self.quota.counter_client.borrow_mut().call_finished(now, result);
        }
        self.quota.flush();
    }

    /// The counter client's timer, for as long as the process lives: sleeps until its next wake-up, or until that
    /// becomes earlier.
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

/// A request that waits for the counter. Dropped before its verdict, as its client disconnected, it is taken back.
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
