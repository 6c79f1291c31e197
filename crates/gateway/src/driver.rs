//! Executes the actions of the admission module. Invariant: nothing here calls back into the module; the result of an
//! action is reported later, by the task that the action started.

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

/// Number of an attempt that was started for a request that had already ended.
const ENDED_REQUEST_ATTEMPT: u16 = u16::MAX;

/// One attempt: a request sent to one host.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Number of the request in the request table.
    pub request: u32,
    /// Number of the attempt within its request, from 0.
    pub number: u16,
    /// The host that the request is sent to.
    pub host: HostId,
    /// The host's address; `None` if the host is no longer listed.
    pub address: Option<SocketAddr>,
    /// When the attempt times out, in seconds on the gateway's clock.
    pub deadline: f64,
    /// When the attempt started, in seconds on the gateway's clock.
    pub started: f64,
}

/// Spawns the tasks that run attempts and probes. Each task reports its result to the admission module.
pub trait TaskSpawner {
    /// Sends a request to a host. Using or dropping the sender of `cancelled` cancels the attempt. `message` is
    /// `None` if the request has ended.
    fn spawn_attempt(
        self: Rc<Self>,
        attempt: Attempt,
        message: Option<Rc<ClientRequest>>,
        cancelled: oneshot::Receiver<()>,
    );
    /// Sends a health probe to a host; `address` is `None` if the host is no longer listed.
    fn spawn_probe(self: Rc<Self>, host: HostId, address: Option<SocketAddr>);
}

/// The channels through which the driver acts.
pub struct DriverOutputs {
    /// Queue of calls to the shared counter.
    pub counter_calls: Rc<CallQueue>,
    /// Socket to the other gateways, if the settings allow peer messages.
    pub peers: Option<Rc<Peers>>,
    /// Wakes the discovery client to open its next watch.
    pub subscribe: Rc<Notify>,
    /// The admission module's only timer.
    pub timer: Rc<Timer>,
}

/// Implements [`Driver`] on sockets.
pub struct GatewayDriver {
    tasks: Weak<dyn TaskSpawner>,
    clock: Clock,
    /// Open requests.
    pub requests: RequestTable,
    /// Attempts in flight by request and attempt number; dropping the sender cancels the attempt.
    pub attempts: HashMap<(u32, u16), oneshot::Sender<()>>,
    /// Addresses of the listed hosts.
    pub hosts: HashMap<HostId, SocketAddr>,
    outputs: DriverOutputs,
}

impl GatewayDriver {
    /// Creates a driver without requests or hosts.
    pub fn new(tasks: Weak<dyn TaskSpawner>, clock: Clock, outputs: DriverOutputs) -> GatewayDriver {
        let requests = RequestTable::new(clock);
        GatewayDriver { tasks, clock, requests, attempts: HashMap::new(), hosts: HashMap::new(), outputs }
    }
}

impl Driver for GatewayDriver {
    fn start_attempt(&mut self, request: u32, host: HostId, until: f64) {
        let Some(tasks) = self.tasks.upgrade() else { return };
        let now = self.clock.now();
        let (number, message, request_deadline) = match self.requests.get_mut(request) {
            Some(open_request) => {
                open_request.attempts += 1;
                (open_request.attempts - 1, Some(open_request.message.clone()), open_request.deadline)
            }
            // The request has ended. The result is still reported, under a number that no attempt in flight has.
            None => (ENDED_REQUEST_ATTEMPT, None, now),
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
