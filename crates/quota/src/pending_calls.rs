//! Questions to the holder of the counts that have no answer yet, by number. Owns the numbers, and the rule which answer
//! belongs to which question. Must never give one question's totals to another, nor settle a question twice or never.
//!
//! Numbers grow for as long as the process lives, over all its connections, and an answer comes on the connection that its
//! question went out on; when that ends, all that is out on it is settled. So an answer that comes late, twice or to
//! another life of this process finds no question.

use archlink_messages::CounterAdd;
use std::collections::VecDeque;

/// Questions out at most: a holder that answers in time has a few. What finds no room is not sent.
const MOST: usize = 256;
/// Without any answer for so long while some are due, the connection is given up.
pub const REPLY_TIMEOUT: f64 = 0.4;

/// What became of the adds of one question, in the order in which they were asked.
#[derive(Clone, Debug, PartialEq)]
pub enum CallResult {
    /// One total for each add.
    Totals(Vec<CounterAdd>, Vec<f32>),
    /// Never sent, or the holder says that it does not count.
    NotAdded(Vec<CounterAdd>),
    /// No answer, or none that fits: it may have been counted.
    Unknown(Vec<CounterAdd>),
}

/// What an answer is to the questions that are out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyMatch {
    /// The answer to one of them; does the holder count?
    Answer { counts: bool },
    /// To none of them: overtaken by a later answer, told twice, or never asked.
    Unmatched,
    /// To one of them, with another number of totals: nothing that comes from there can be relied on.
    Malformed,
}

struct Frame {
    serial: u64,
    adds: Vec<CounterAdd>,
}

#[derive(Default)]
pub struct PendingCalls {
    out: VecDeque<Frame>,
    last: u64,
    /// When the oldest question out was asked, or the last answer came, whichever is later.
    since: f64,
}

impl PendingCalls {
    /// A question goes out: its number, and the adds to be sent with it. The adds come back where there is no room.
    pub fn send(&mut self, now: f64, adds: Vec<CounterAdd>) -> Result<(u64, &[CounterAdd]), CallResult> {
        if self.out.len() >= MOST {
            return Err(CallResult::NotAdded(adds));
        }
        if self.out.is_empty() {
            self.since = now;
        }
        self.last += 1;
        self.out.push_back(Frame { serial: self.last, adds });
        Ok((self.last, self.out.back().map_or(&[], |frame| &frame.adds)))
    }

    /// Totals came under that number; none is that the holder does not count. The holder answers in order: what an answer
    /// has passed over gets none any more, and is settled before it.
    pub fn receive(
        &mut self,
        now: f64,
        serial: u64,
        totals: Option<Vec<f32>>,
    ) -> (ReplyMatch, Vec<CallResult>) {
        let Ok(place) = self.out.binary_search_by_key(&serial, |frame| frame.serial) else {
            return (ReplyMatch::Unmatched, Vec::new());
        };
        self.since = now;
        let mut settled: Vec<CallResult> =
            self.out.drain(..place).map(|frame| CallResult::Unknown(frame.adds)).collect();
        let adds = self.out.pop_front().map(|frame| frame.adds).unwrap_or_default();
        let counts = totals.is_some();
        let (heard, last) = match totals {
            Some(totals) if totals.len() != adds.len() => (ReplyMatch::Malformed, CallResult::Unknown(adds)),
            Some(totals) => (ReplyMatch::Answer { counts }, CallResult::Totals(adds, totals)),
            None => (ReplyMatch::Answer { counts }, CallResult::NotAdded(adds)),
        };
        settled.push(last);
        (heard, settled)
    }

    /// The connection ended: what is out gets no answer.
    pub fn disconnected(&mut self) -> Vec<CallResult> {
        self.out.drain(..).map(|frame| CallResult::Unknown(frame.adds)).collect()
    }

    pub fn is_empty(&self) -> bool {
        self.out.is_empty()
    }

    /// When the connection is to be given up, if nothing comes before.
    pub fn times_out_at(&self) -> Option<f64> {
        (!self.out.is_empty()).then_some(self.since + REPLY_TIMEOUT)
    }
}
