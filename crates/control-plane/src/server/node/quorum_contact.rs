//! Does a quorum answer this node? And waiting until it does.

use super::Node;
use crate::server::contact_limits::{MAX_CONTACT_AGE, STARTUP_GRACE};
use archlink_control_node::node::ControlNodeState;
use archlink_messages::{AcceptedValue, REGISTERS, Register};
use std::time::Duration;
use tokio::time::timeout;

/// Seconds that a call may wait: a client moves on to another control node after a second of silence.
pub const CLIENT_TIMEOUT: f64 = 0.9;
/// Seconds that a request waits for a quorum where its last answer is old: an unanswered read is retried after 0.1 s and a
/// tick; two round trips between the most distant regions and a slow sync fit in besides.
const PROBE_TIMEOUT: f64 = 0.25;

impl Node {
    /// Seconds since the newest question was asked to which a quorum has answered.
    pub fn contact_age(&self) -> Option<f64> {
        self.with_state(|state, now| {
            // Any register will do: one with proposals under way has no confirmed read meanwhile.
            let confirmed = REGISTERS.iter().filter_map(|&register| state.proposer.confirmed(register));
            confirmed.max_by(f64::total_cmp).map(|at| now - at)
        })
    }

    /// Does a quorum answer, as far as is known?
    pub fn has_contact(&self) -> bool {
        self.contact_age().is_some_and(|age| age <= MAX_CONTACT_AGE)
    }

    /// Has this process started only recently?
    pub fn recently_started(&self) -> bool {
        self.clock.now() < self.started_at + STARTUP_GRACE
    }

    /// Does a quorum answer? Where its last answer is old it is asked at once, so that the first request after a partition
    /// is accepted.
    pub async fn probe_quorum(&self) -> bool {
        if self.has_contact() {
            return true;
        }
        self.step(|state, now| state.proposer.request_confirmation(now));
        self.wait_for(PROBE_TIMEOUT, |_, _| self.has_contact().then_some(())).await.is_some()
    }

    /// Waits at most `limit` seconds until `find` returns something; it is called after each step of the core.
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

    /// The committed value of a register, confirmed by a quorum after this call started (a linearizable read); none where
    /// no quorum confirms within `limit` seconds.
    pub async fn read(&self, register: Register, limit: f64) -> Option<Option<AcceptedValue>> {
        let started_at = self.clock.now();
        self.step(|state, now| state.proposer.request_confirmation(now));
        let confirmed =
            |state: &ControlNodeState| state.proposer.confirmed(register).is_some_and(|at| at >= started_at);
        self.wait_for(limit, |state, _| confirmed(state).then(|| state.proposer.committed(register).cloned()))
            .await
    }
}
