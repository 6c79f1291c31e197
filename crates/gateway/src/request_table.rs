//! The table of open requests: their numbers, their clients' request identifiers and their final answers.

use crate::clock::Clock;
use crate::http::{Answer, ClientRequest, HostReply};
use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;
use tokio::sync::oneshot;

/// Seconds for which the identifier of a closed request stays in use, since its client may not have read the answer
/// yet.
const ID_RETENTION: f64 = 2.0;
/// Maximum number of closed requests whose identifiers stay in use.
const MAX_CLOSED_IDS: usize = 2048;

/// A request that has not received its final answer.
pub struct OpenRequest {
    /// The client's message.
    pub message: Rc<ClientRequest>,
    /// When the client stops waiting, in seconds on the gateway's clock.
    pub deadline: f64,
    /// Number of attempts started so far.
    pub attempts: u16,
    answer: oneshot::Sender<Answer>,
}

/// Identifiers of open requests and, for [`ID_RETENTION`], of closed ones: a second request with one of them comes from
/// another client. Closed identifiers are bounded by time and by number.
#[derive(Default)]
struct RequestIds {
    in_use: HashSet<Rc<str>>,
    /// Identifiers of closed requests with the time of closing, oldest first.
    closed: VecDeque<(f64, Rc<str>)>,
}

impl RequestIds {
    /// Marks the identifier as in use; returns false if it already was.
    fn claim(&mut self, id: &Rc<str>) -> bool {
        self.in_use.insert(id.clone())
    }

    /// Starts the retention of a closed request's identifier and releases the identifiers whose retention is over.
    fn close(&mut self, now: f64, id: Rc<str>) {
        self.closed.push_back((now, id));
        while self.closed.len() > MAX_CLOSED_IDS
            || self.closed.front().is_some_and(|(closed_at, _)| closed_at + ID_RETENTION < now)
        {
            let Some((_, id)) = self.closed.pop_front() else { return };
            self.in_use.remove(&id);
        }
    }
}

/// The table of open requests. Invariant: a request gets at most one final answer, because answering removes its entry.
pub struct RequestTable {
    clock: Clock,
    last_number: u32,
    open: HashMap<u32, OpenRequest>,
    ids: RequestIds,
}

impl RequestTable {
    /// Creates an empty table.
    pub fn new(clock: Clock) -> RequestTable {
        RequestTable { clock, last_number: 0, open: HashMap::new(), ids: RequestIds::default() }
    }

    /// Adds a request and returns its number, or `None` if its identifier is in use.
    pub fn insert(
        &mut self,
        message: ClientRequest,
        deadline: f64,
        answer: oneshot::Sender<Answer>,
    ) -> Option<u32> {
        if !self.ids.claim(&message.id) {
            return None;
        }
        self.last_number = self.last_number.wrapping_add(1);
        let message = Rc::new(message);
        self.open.insert(self.last_number, OpenRequest { deadline, message, attempts: 0, answer });
        Some(self.last_number)
    }

    /// Removes and returns a request, or returns `None` if it has already ended.
    pub fn remove(&mut self, request: u32) -> Option<OpenRequest> {
        let open_request = self.open.remove(&request)?;
        self.ids.close(self.clock.now(), open_request.message.id.clone());
        Some(open_request)
    }

    /// Returns an open request, to start an attempt for it.
    pub fn get_mut(&mut self, request: u32) -> Option<&mut OpenRequest> {
        self.open.get_mut(&request)
    }

    /// Returns whether the request still waits for its final answer.
    pub fn is_open(&self, request: u32) -> bool {
        self.open.contains_key(&request)
    }

    /// Sends the final answer to the client's connection; does nothing if the request has already ended.
    pub fn answer(&mut self, request: u32, answer: Answer) {
        if let Some(open_request) = self.remove(request) {
            // The send fails if the client has just disconnected; the answer is then dropped.
            open_request.answer.send(answer).ok();
        }
    }

    /// Sends a host's reply, unchanged, as the final answer.
    pub fn answer_with_reply(&mut self, request: u32, reply: HostReply) {
        let HostReply { forwarded, body, reserved, .. } = reply;
        self.answer(request, Answer::Answered { forwarded, body, reserved });
    }
}
