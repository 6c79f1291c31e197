//! Whether this node has contact with a quorum, and waiting for it.

use super::Node;
use crate::server::contact_limits::{MAX_CONTACT_AGE, STARTUP_GRACE};
use archlink_control_node::node::ControlNodeState;
use archlink_messages::{AcceptedValue, REGISTERS, Register};
use std::time::Duration;
use tokio::time::timeout;

/// Maximum wait of a call in seconds. A client fails over to another control node after one second without a response.
pub const CLIENT_TIMEOUT: f64 = 0.9;
/// Seconds that a request waits for a quorum whose last reply is too old. A quorum read without replies is retried after 0.1 s
/// and one tick; the rest leaves time for two round trips between the most distant regions and a slow sync.
const PROBE_TIMEOUT: f64 = 0.25;

impl Node {
    /// Seconds since the start of the latest quorum read that a quorum has confirmed.
    pub fn contact_age(&self) -> Option<f64> {
        self.with_state(|state, now| {
            // The maximum over all registers, because a register with a proposal in progress has no confirmed read meanwhile.
            let confirmed = REGISTERS.iter().filter_map(|&register| state.proposer.confirmed(register));
            confirmed.max_by(f64::total_cmp).map(|at| now - at)
        })
    }

    /// Whether a quorum has replied recently enough to count as contact.
    pub fn has_contact(&self) -> bool {
        self.contact_age().is_some_and(|age| age <= MAX_CONTACT_AGE)
    }

    /// Whether this process is still within [`STARTUP_GRACE`].
    pub fn recently_started(&self) -> bool {
        self.clock.now() < self.started_at + STARTUP_GRACE
    }

    /// Whether there is contact with a quorum. If its last reply is too old, the quorum is asked at once, so that the first
    /// request after a partition is accepted.
    pub async fn probe_quorum(&self) -> bool {
        if self.has_contact() {
            return true;
        }
        self.step(|state, now| state.proposer.request_confirmation(now));
        self.wait_for(PROBE_TIMEOUT, |_, _| self.has_contact().then_some(())).await.is_some()
    }

    /// Waits at most `limit` seconds until `find` returns a value. It is called after each step of the core.
    pub(super) async fn wait_for<T>(
        &self,
        limit: f64,
        find: impl Fn(&ControlNodeState, f64) -> Option<T>,
    ) -> Option<T> {
        let deadline = self.clock.now() + limit;
        loop {
            let progress = self.progress.notified();
            let found = self.with_state(&find);
            let remaining = deadline - self.clock.now();
            if found.is_some() || remaining <= 0.0 {
                return found;
            }
            timeout(Duration::from_secs_f64(remaining), progress).await.ok();
        }
    }

    /// Linearizable read: the committed value of a register, confirmed by a quorum after this call started. `None` if no
    /// quorum confirms it within `limit` seconds.
    pub async fn read(&self, register: Register, limit: f64) -> Option<Option<AcceptedValue>> {
        let started_at = self.clock.now();
        self.step(|state, now| state.proposer.request_confirmation(now));
        let confirmed =
            |state: &ControlNodeState| state.proposer.confirmed(register).is_some_and(|at| at >= started_at);
        self.wait_for(limit, |state, _| confirmed(state).then(|| state.proposer.committed(register).cloned()))
            .await
    }
}
