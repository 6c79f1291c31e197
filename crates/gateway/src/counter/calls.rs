//! Calls to the counter that have not been answered yet.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Bounds of a call's timeout, in seconds.
const MIN_TIMEOUT: f64 = 0.001;
const MAX_TIMEOUT: f64 = 60.0;

/// An addition to a counter key.
pub(super) struct Call {
    /// The key, a number chosen by the admission module.
    pub key: u64,
    /// The amount to add.
    pub amount: f64,
    /// Lifetime of the key in seconds, counted from the first addition to it.
    pub lifetime: f64,
    /// When the call times out.
    pub deadline: Instant,
    /// Whether a result was reported to the admission module.
    pub reported: bool,
}

/// A command to the counter.
pub(super) enum Command {
    /// Adds to a key.
    Add(Call),
    /// Keeps an idle connection open and checks whether it still works.
    Ping,
}

impl Command {
    /// Returns the call if no result was reported for it yet.
    pub fn unreported_mut(&mut self) -> Option<&mut Call> {
        match self {
            Command::Add(call) if !call.reported => Some(call),
            _ => None,
        }
    }

    /// Returns whether this is a call for which no result was reported yet.
    pub fn is_unreported(&self) -> bool {
        matches!(self, Command::Add(call) if !call.reported)
    }
}

/// The calls by how far they have come.
#[derive(Default)]
pub(super) struct Calls {
    /// Calls that are not written yet.
    pub waiting: VecDeque<Call>,
    /// Written, unanswered commands with their time of writing, in the order in which replies are due.
    pub written: VecDeque<(Command, Instant)>,
}

/// The queue of calls: filled by the driver, emptied by the client.
pub struct CallQueue {
    pub(super) calls: RefCell<Calls>,
    /// Wakes the client when a call was added.
    pub(super) added: Notify,
    /// Time in which a call has to be answered.
    pub(super) timeout: Duration,
}

impl CallQueue {
    /// Creates an empty queue; `timeout` is in seconds.
    pub fn new(timeout: f64) -> Rc<CallQueue> {
        let timeout = Duration::from_secs_f64(timeout.clamp(MIN_TIMEOUT, MAX_TIMEOUT));
        Rc::new(CallQueue { calls: RefCell::default(), added: Notify::new(), timeout })
    }

    /// Adds a call, which the client writes when it next runs. `lifetime` is in seconds.
    pub fn push(&self, key: u64, amount: f64, lifetime: f64) {
        let deadline = Instant::now() + self.timeout;
        let call = Call { key, amount, lifetime, deadline, reported: false };
        self.calls.borrow_mut().waiting.push_back(call);
        self.added.notify_one();
    }
}
