//! The driver of this node's connection to the holder of the quota counter: sends adds, receives totals, and moves when
//! the counter's lease does.

use crate::control_session::{MAX_QUEUED_MESSAGES, MessageStream};
use crate::data_plane::DataPlane;
use archlink_messages::{CounterAdd, Message, NodeId};
use archlink_quota::pending_calls::{CallResult, PendingCalls, ReplyMatch};
use archlink_runtime::{MessageSender, split_connection};
use futures_util::StreamExt;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until, timeout};

/// The wait between two connections to a holder that isn't reached.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(100);
/// The wait between two empty calls while the holder does not count yet.
const PROBE_INTERVAL: Duration = Duration::from_millis(60);

/// The holder of the counter's lease in one term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CounterHolder {
    node: NodeId,
    term: u64,
}

/// Keeps a connection to the counter's holder for as long as the process lives.
pub async fn run(data_plane: Rc<DataPlane>) {
    let mut calls = PendingCalls::default();
    loop {
        data_plane.set_counter_reachable(false);
        let Some(holder) = current_holder(&data_plane) else {
            fail_adds(&data_plane);
            pause(&data_plane).await;
            continue;
        };
        let address = archlink_runtime::node_address(holder.node, data_plane.settings.internal_port);
        match archlink_runtime::connect(address).await {
            Ok(framed) => {
                let (sender, messages) = split_connection(framed, MAX_QUEUED_MESSAGES);
                let mut connection =
                    CounterConnection { data_plane: &data_plane, calls: &mut calls, sender, holder };
                connection.run(Box::pin(messages)).await;
                drop(connection);
                data_plane.finish_counter_calls(calls.disconnected());
            }
            Err(_) => fail_adds(&data_plane),
        }
        pause(&data_plane).await;
    }
}

fn current_holder(data_plane: &DataPlane) -> Option<CounterHolder> {
    data_plane.counter_holder().map(|(node, term)| CounterHolder { node, term })
}

/// What can't be sent is not added.
fn fail_adds(data_plane: &DataPlane) {
    data_plane.finish_counter_calls(vec![CallResult::NotAdded(data_plane.quota.take_adds())]);
}

/// Waits for the next connection; adds that come meanwhile fail at once, so that no request waits for them.
async fn pause(data_plane: &DataPlane) {
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
    /// Calls and receives until the connection ends, the lease moves, or a call times out. Calls that are pending then
    /// have an unknown result.
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

    /// Takes in the totals of a call, and ends the calls that they answer.
    fn receive(&mut self, serial: u64, clock: f64, totals: Option<Vec<f32>>) -> ReplyMatch {
        self.data_plane.observe_clock(clock);
        let (reply, results) = self.calls.receive(self.data_plane.clock.now(), serial, totals);
        self.data_plane.finish_counter_calls(results);
        reply
    }

    /// Sends one call; false where the connection does not take it.
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
