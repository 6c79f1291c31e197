//! The driver of this node's connection to the holder of the quota counter's lease: sends adds, receives totals, and
//! connects to the new holder when the lease moves.

use crate::control_session::MAX_QUEUED_MESSAGES;
use crate::data_plane::DataPlane;
use crate::session_connections::MessageStream;
use archlink_messages::{CounterAdd, Message, NodeId};
use archlink_quota::pending_calls::{CallResult, PendingCalls, ReplyMatch};
use archlink_runtime::{MessageSender, split_connection};
use futures_util::StreamExt;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until, timeout};

/// Delay before the next attempt to connect to a holder.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of empty calls that probe a holder that does not serve the counter yet.
const PROBE_INTERVAL: Duration = Duration::from_millis(60);

/// The holder of the counter's lease, in one term of the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CounterHolder {
    node: NodeId,
    term: u64,
}

/// Counts requests at the counter's holder for the lifetime of the process. Started again after a panic, it begins anew, like a
/// process that starts; requests that waited for the counter are decided without it.
pub async fn run(data_plane: Rc<DataPlane>) {
    data_plane.reset_quota_counting();
    tokio::join!(maintain_connection(&data_plane), data_plane.run_quota_timer());
}

/// Maintains a connection to the counter's holder.
async fn maintain_connection(data_plane: &DataPlane) {
    let mut calls = PendingCalls::default();
    loop {
        data_plane.set_counter_reachable(false);
        let Some(holder) = current_holder(data_plane) else {
            fail_adds(data_plane);
            wait_before_reconnect(data_plane).await;
            continue;
        };
        let address = archlink_runtime::node_address(holder.node, data_plane.settings.internal_port);
        match archlink_runtime::connect(address).await {
            Ok(framed) => {
                let (sender, messages) = split_connection(framed, MAX_QUEUED_MESSAGES);
                let mut connection = CounterConnection { data_plane, calls: &mut calls, sender, holder };
                connection.run(Box::pin(messages)).await;
                drop(connection);
                data_plane.finish_counter_calls(calls.disconnected());
            }
            Err(_) => fail_adds(data_plane),
        }
        wait_before_reconnect(data_plane).await;
    }
}

fn current_holder(data_plane: &DataPlane) -> Option<CounterHolder> {
    data_plane.counter_holder().map(|(node, term)| CounterHolder { node, term })
}

/// Reports the adds that are due as not added, because they can't be sent.
fn fail_adds(data_plane: &DataPlane) {
    data_plane.finish_counter_calls(vec![CallResult::NotAdded(data_plane.quota.take_adds())]);
}

/// Waits until the next attempt to connect. Adds that become due meanwhile fail at once, so that no request waits for them.
async fn wait_before_reconnect(data_plane: &DataPlane) {
    let until = Instant::now() + RECONNECT_INTERVAL;
    while timeout(until - Instant::now().min(until), data_plane.quota.adds_ready.notified()).await.is_ok() {
        fail_adds(data_plane);
        if Instant::now() >= until {
            return;
        }
    }
}

/// A connection to the counter's holder.
struct CounterConnection<'a> {
    data_plane: &'a DataPlane,
    calls: &'a mut PendingCalls,
    sender: MessageSender,
    holder: CounterHolder,
}

impl CounterConnection<'_> {
    /// Sends calls and receives replies until the connection ends, a call times out, or the lease has moved and no call is
    /// pending. Calls that are still pending then have an unknown result.
    async fn run(&mut self, mut messages: MessageStream) {
        let data_plane = self.data_plane;
        let mut probe_at = Some(Instant::now());
        while current_holder(data_plane) == Some(self.holder) || !self.calls.is_empty() {
            let times_out_at = self.calls.times_out_at().map(|at| data_plane.clock.instant_at(at));
            tokio::select! {
                message = messages.next() => {
                    let Some(Ok(Message::CounterTotals { serial, cluster_clock, totals })) = message else { return };
                    match self.receive(serial, cluster_clock, totals) {
                        ReplyMatch::Answer { serves_counter } => {
                            data_plane.set_counter_reachable(serves_counter);
                            probe_at = (!serves_counter).then(|| Instant::now() + PROBE_INTERVAL);
                        }
                        ReplyMatch::Unmatched => log::warn!(serial = serial; "quota counter reply unmatched"),
                        ReplyMatch::Malformed => {
                            log::warn!(serial = serial; "quota counter reply malformed");
                            return;
                        }
                    }
                }
                _ = data_plane.quota.adds_ready.notified() => {
                    let adds = data_plane.quota.take_adds();
                    if !adds.is_empty() && !self.call(adds) {
                        return;
                    }
                }
                _ = sleep_until(probe_at.unwrap_or_else(Instant::now)), if probe_at.is_some() => {
                    probe_at = None;
                    if !self.call(Vec::new()) {
                        return;
                    }
                }
                _ = sleep_until(times_out_at.unwrap_or_else(Instant::now)), if times_out_at.is_some() => return,
                _ = data_plane.state_changed.notified() => {}
            }
        }
    }

    /// Processes a reply, which resolves its call and all earlier ones.
    fn receive(&mut self, serial: u64, clock: f64, totals: Option<Vec<f32>>) -> ReplyMatch {
        self.data_plane.observe_clock(clock);
        let (reply, results) = self.calls.receive(self.data_plane.clock.now(), serial, totals);
        self.data_plane.finish_counter_calls(results);
        reply
    }

    /// Sends one call; returns false if the connection's queue is full or closed.
    fn call(&mut self, adds: Vec<CounterAdd>) -> bool {
        let data_plane = self.data_plane;
        match self.calls.send(data_plane.clock.now(), adds) {
            Ok((serial, adds)) => {
                let (term, clock, adds) = (self.holder.term, data_plane.cluster_clock(), adds.to_vec());
                self.sender
                    .try_send(Message::CounterAdds { serial, term, cluster_clock: clock, adds })
                    .is_ok()
            }
            Err(not_sent) => {
                data_plane.finish_counter_calls(vec![not_sent]);
                true
            }
        }
    }
}
