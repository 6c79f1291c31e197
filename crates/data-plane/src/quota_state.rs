//! The state of quota enforcement: the counter client, the requests that wait for its verdicts, and this node's local
//! shares.

use archlink_messages::CounterAdd;
use archlink_quota::counter_client::{CounterClient, Verdict};
use archlink_quota::local_share::LocalShare;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use tokio::sync::{Notify, oneshot};

/// The state of quota enforcement that all requests share.
pub struct QuotaState {
    /// This node's local share of each tenant's quota, by the tenant's name.
    pub shares: RefCell<HashMap<String, LocalShare>>,
    /// Decides which adds are sent to the counter, and when; does no I/O.
    pub counter_client: RefCell<CounterClient>,
    /// Requests that wait for a verdict, by the counter client's request id.
    pub waiting: RefCell<HashMap<u32, oneshot::Sender<Verdict>>>,
    /// Whether the counter's holder replies; while it does not, no request waits for the counter.
    pub counter_reachable: Cell<bool>,
    /// Whether the counter has replied since this process started.
    pub counter_was_reachable: Cell<bool>,
    /// Notified when there are adds to send.
    pub adds_ready: Notify,
    /// Notified when the counter client schedules a wake-up before [`QuotaState::timer_at`].
    pub timer_changed: Notify,
    /// When the timer wakes up, on the cluster clock.
    pub timer_at: Cell<f64>,
}

impl QuotaState {
    /// The state without quotas and without a counter. `now` is the time on the process clock.
    pub fn new(now: f64) -> QuotaState {
        QuotaState {
            shares: RefCell::default(),
            counter_client: RefCell::new(CounterClient::new(now, archlink_runtime::random_seed())),
            waiting: RefCell::default(),
            counter_reachable: Cell::new(false),
            counter_was_reachable: Cell::new(false),
            adds_ready: Notify::new(),
            timer_changed: Notify::new(),
            timer_at: Cell::new(f64::INFINITY),
        }
    }

    /// Whether the counter has replied since this process started.
    pub fn counter_was_reachable(&self) -> bool {
        self.counter_was_reachable.get()
    }

    /// Takes the adds that are due for sending.
    pub fn take_adds(&self) -> Vec<CounterAdd> {
        self.counter_client.borrow_mut().take_adds()
    }

    /// Delivers the counter client's verdicts, log lines, adds and timer. To be called after each input to the client.
    pub fn flush(&self) {
        let mut counter_client = self.counter_client.borrow_mut();
        for (id, verdict) in counter_client.take_verdicts() {
            if let Some(waiting) = self.waiting.borrow_mut().remove(&id) {
                waiting.send(verdict).ok();
            }
        }
        for line in counter_client.take_log_lines() {
            log::info!(detail = line.as_str(); "quota counting changed");
        }
        if counter_client.has_adds() {
            self.adds_ready.notify_one();
        }
        let wake_at = counter_client.wake_at().unwrap_or(f64::INFINITY);
        if wake_at < self.timer_at.get() {
            self.timer_at.set(wake_at);
            self.timer_changed.notify_one();
        }
    }
}
