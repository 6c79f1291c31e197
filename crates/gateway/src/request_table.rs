//! Open requests: their numbers, their clients' identifiers, and the one final answer of each.

use crate::clock::Clock;
use crate::http::{Answer, ClientRequest, HostReply};
use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;
use tokio::sync::oneshot;

/// Seconds for which the identifier of a closed request stays taken: its client may not have read the answer yet.
const ID_RETENTION: f64 = 2.0;
/// Identifiers of closed requests that stay taken at most.
const MAX_CLOSED_IDS: usize = 2048;

/// A request whose final answer has not been given.
pub struct OpenRequest {
    /// What the client sent.
    pub message: Rc<ClientRequest>,
    /// When the client stops waiting, in seconds.
    pub deadline: f64,
    /// Attempts started so far.
    pub attempts: u16,
    answer: oneshot::Sender<Answer>,
}

/// Identifiers of open requests and, for a while, of those just closed: whoever else sends one of these is another
/// client. Bounded by time and by number.
#[derive(Default)]
struct RequestIds {
    taken: HashSet<Rc<str>>,
    closed: VecDeque<(f64, Rc<str>)>,
}

impl RequestIds {
    /// False where the identifier is taken already.
    fn take(&mut self, id: &Rc<str>) -> bool {
        self.taken.insert(id.clone())
    }

    fn close(&mut self, now: f64, id: Rc<str>) {
        self.closed.push_back((now, id));
        while self.closed.len() > MAX_CLOSED_IDS
            || self.closed.front().is_some_and(|(at, _)| at + ID_RETENTION < now)
        {
            let Some((_, id)) = self.closed.pop_front() else { return };
            self.taken.remove(&id);
        }
    }
}

/// The table of open requests. Invariant: a request gets one final answer at most, since that removes its entry.
pub struct RequestTable {
    clock: Clock,
    last_number: u32,
    open: HashMap<u32, OpenRequest>,
    ids: RequestIds,
}

impl RequestTable {
    /// An empty table.
    pub fn new(clock: Clock) -> RequestTable {
        RequestTable { clock, last_number: 0, open: HashMap::new(), ids: RequestIds::default() }
    }

    /// Adds a request and returns its number; `None` where its identifier is taken.
    pub fn insert(
        &mut self,
        message: ClientRequest,
        deadline: f64,
        answer: oneshot::Sender<Answer>,
    ) -> Option<u32> {
        if !self.ids.take(&message.id) {
            return None;
        }
        self.last_number = self.last_number.wrapping_add(1);
        let message = Rc::new(message);
        self.open.insert(self.last_number, OpenRequest { deadline, message, attempts: 0, answer });
        Some(self.last_number)
    }

    /// Removes a request; `None` where it has ended before.
    pub fn remove(&mut self, request: u32) -> Option<OpenRequest> {
        let open = self.open.remove(&request)?;
        self.ids.close(self.clock.now(), open.message.id.clone());
        Some(open)
    }

    /// An open request, to start an attempt for it.
    pub fn get_mut(&mut self, request: u32) -> Option<&mut OpenRequest> {
        self.open.get_mut(&request)
    }

    /// Whether the request still waits for its final answer.
    pub fn is_open(&self, request: u32) -> bool {
        self.open.contains_key(&request)
    }

    /// Gives the final answer; without effect where the request has ended before.
    pub fn answer(&mut self, request: u32, answer: Answer) {
        if let Some(open) = self.remove(request) {
            // The client may disconnect at this moment: then nobody waits any more.
            open.answer.send(answer).ok();
        }
    }

    /// Gives a host's reply as the final answer, unchanged.
    pub fn answer_with_reply(&mut self, request: u32, reply: HostReply) {
        let HostReply { forwarded, body, reserved, .. } = reply;
        self.answer(request, Answer::Answered { forwarded, body, reserved });
    }
}
