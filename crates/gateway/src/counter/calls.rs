//! Calls to the counter that have no reply yet.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Bounds of the time that a call gets for its reply, in seconds.
const MIN_TIMEOUT: f64 = 0.001;
const MAX_TIMEOUT: f64 = 60.0;

/// One add to a counter key.
pub(super) struct Call {
    /// The key, which the admission module numbers.
    pub key: u64,
    /// What is added.
    pub amount: f64,
    /// Seconds for which the key lives from its first add on.
    pub lifetime: f64,
    /// When the call has timed out.
    pub deadline: Instant,
    /// The module has its reply.
    pub reported: bool,
}

/// What is written to the counter.
pub(super) enum Command {
    Add(Call),
    /// Keeps an idle connection open, and shows whether it works.
    Ping,
}

impl Command {
    /// The call, if it is one that waits for its reply.
    pub fn unreported_mut(&mut self) -> Option<&mut Call> {
        match self {
            Command::Add(call) if !call.reported => Some(call),
            _ => None,
        }
    }

    /// Whether it is a call that waits for its reply.
    pub fn is_unreported(&self) -> bool {
        matches!(self, Command::Add(call) if !call.reported)
    }
}

#[derive(Default)]
pub(super) struct Calls {
    /// Not written yet.
    pub waiting: VecDeque<Call>,
    /// Written and unanswered, with the time of writing, in the order of the replies.
    pub written: VecDeque<(Command, Instant)>,
}

/// The queue of calls, which the driver fills and the client empties.
pub struct CallQueue {
    pub(super) calls: RefCell<Calls>,
    pub(super) added: Notify,
    /// Time that a call gets for its reply.
    pub(super) timeout: Duration,
}

impl CallQueue {
    /// An empty queue; `timeout` in seconds.
    pub fn new(timeout: f64) -> Rc<CallQueue> {
        let timeout = Duration::from_secs_f64(timeout.clamp(MIN_TIMEOUT, MAX_TIMEOUT));
        Rc::new(CallQueue { calls: RefCell::default(), added: Notify::new(), timeout })
    }

    /// Adds a call, to be written as soon as the client runs. `lifetime` in seconds.
    pub fn push(&self, key: u64, amount: f64, lifetime: f64) {
        let deadline = Instant::now() + self.timeout;
        let call = Call { key, amount, lifetime, deadline, reported: false };
        self.calls.borrow_mut().waiting.push_back(call);
        self.added.notify_one();
    }
}
