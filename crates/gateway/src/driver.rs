//! Carries out what the admission module decides. Invariant: nothing here calls back into the module; what an action
//! leads to is reported later, by the task that it started.

use crate::clock::Clock;
use crate::counter::CallQueue;
use crate::http::{Answer, ClientRequest};
use crate::peers::Peers;
use crate::request_table::RequestTable;
use crate::timer::Timer;
use archlink_admission::interface::{Driver, HostId};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use tokio::sync::{Notify, oneshot};

/// Number of an attempt that was started for a request which had ended already.
const NO_ATTEMPT: u16 = u16::MAX;

/// One attempt: a request sent to one host.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Number of the request.
    pub request: u32,
    /// Number of the attempt among the request's, from 0 on.
    pub number: u16,
    /// The host.
    pub host: HostId,
    /// The host's address; `None` where it is not listed any more.
    pub address: Option<SocketAddr>,
    /// When the attempt has to end, in seconds.
    pub deadline: f64,
    /// When it started, in seconds.
    pub started: f64,
}

/// Starts the tasks that attempts and probes run in; each of them reports its result to the module.
pub trait TaskSpawner {
    /// Sends a request to a host. Using or dropping the sender of `cancelled` cancels it. `message` is `None` where the
    /// request has ended.
    fn spawn_attempt(
        self: Rc<Self>,
        attempt: Attempt,
        message: Option<Rc<ClientRequest>>,
        cancelled: oneshot::Receiver<()>,
    );
    /// Probes a host.
    fn spawn_probe(self: Rc<Self>, host: HostId, address: Option<SocketAddr>);
}

/// What the driver acts through.
pub struct Outputs {
    /// Calls to the shared counter.
    pub counter_calls: Rc<CallQueue>,
    /// Other gateways, where the settings allow messages to them.
    pub peers: Option<Rc<Peers>>,
    /// Wakes the subscription to host lists.
    pub subscribe: Rc<Notify>,
    /// The module's timer.
    pub timer: Rc<Timer>,
}

/// Implementation of [`Driver`] on sockets.
pub struct GatewayDriver {
    tasks: Weak<dyn TaskSpawner>,
    clock: Clock,
    /// Open requests.
    pub requests: RequestTable,
    /// Attempts in flight, by request and number; dropping the sender cancels one.
    pub attempts: HashMap<(u32, u16), oneshot::Sender<()>>,
    /// Addresses of the listed hosts.
    pub hosts: HashMap<HostId, SocketAddr>,
    outputs: Outputs,
}

impl GatewayDriver {
    /// A driver without requests or hosts.
    pub fn new(tasks: Weak<dyn TaskSpawner>, clock: Clock, outputs: Outputs) -> GatewayDriver {
        let requests = RequestTable::new(clock);
        GatewayDriver { tasks, clock, requests, attempts: HashMap::new(), hosts: HashMap::new(), outputs }
    }
}

impl Driver for GatewayDriver {
    fn start_attempt(&mut self, request: u32, host: HostId, until: f64) {
        let Some(tasks) = self.tasks.upgrade() else { return };
        let now = self.clock.now();
        let (number, message, request_deadline) = match self.requests.get_mut(request) {
            Some(open) => {
                open.attempts += 1;
                (open.attempts - 1, Some(open.message.clone()), open.deadline)
            }
            // Ended already: its result is reported like any other, and touches no attempt in flight.
            None => (NO_ATTEMPT, None, now),
        };
        let deadline = if until > 0.0 { until.min(request_deadline) } else { request_deadline };
        let (cancel, cancelled) = oneshot::channel();
        self.attempts.insert((request, number), cancel);
        let address = self.hosts.get(&host).copied();
        let attempt = Attempt { request, number, host, address, deadline, started: now };
        tasks.spawn_attempt(attempt, message, cancelled);
    }

    fn cancel_attempt(&mut self, request: u32, attempt: u16) {
        self.attempts.remove(&(request, attempt));
    }

    fn reject(&mut self, request: u32, retry_after: f64) {
        self.requests.answer(request, Answer::Rejected { retry_after });
    }

    fn abort(&mut self, request: u32) {
        self.requests.answer(request, Answer::Aborted);
    }

    fn probe(&mut self, host: HostId) {
        if let Some(tasks) = self.tasks.upgrade() {
            tasks.spawn_probe(host, self.hosts.get(&host).copied());
        }
    }

    fn add_to_counter(&mut self, key: u64, amount: f64, lifetime: f64) {
        self.outputs.counter_calls.push(key, amount, lifetime);
    }

    fn send_to_peers(&mut self, gateway: Option<u32>, payload: &[u8]) {
        if let Some(peers) = &self.outputs.peers {
            peers.send(gateway, payload);
        }
    }

    fn subscribe(&mut self) {
        self.outputs.subscribe.notify_one();
    }

    fn set_timer(&mut self, after: f64) {
        self.outputs.timer.set(after);
    }

    fn log(&mut self, line: &str) {
        log::info!("{line}");
    }
}
