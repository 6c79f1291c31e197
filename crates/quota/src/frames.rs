//! Questions to the holder of the counts that have no answer yet, by number. Owns the numbers, and the rule which answer
//! belongs to which question. Must never give one question's totals to another, nor settle a question twice or never.
//!
//! Numbers grow for as long as the process lives, over all its connections, and an answer comes on the connection that its
//! question went out on; when that ends, all that is out on it is settled. So an answer that comes late, twice or to
//! another life of this process finds no question.

use archlink_messages::Add;
use std::collections::VecDeque;

/// Questions out at most: a holder that answers in time has a few. What finds no room is not sent.
const MOST: usize = 256;
/// Without any answer for so long while some are due, the connection is given up.
pub const SILENT: f64 = 0.4;

/// What became of the adds of one question, in the order in which they were asked.
#[derive(Clone, Debug, PartialEq)]
pub enum Settled {
    /// One total for each add.
    Totals(Vec<Add>, Vec<f32>),
    /// Never sent, or the holder says that it does not count.
    NotAdded(Vec<Add>),
    /// No answer, or none that fits: it may have been counted.
    MayBeAdded(Vec<Add>),
}

/// What an answer is to the questions that are out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// The answer to one of them; does the holder count?
    Answer { counts: bool },
    /// To none of them: overtaken by a later answer, told twice, or never asked.
    Nobodys,
    /// To one of them, with another number of totals: nothing that comes from there can be relied on.
    Unfit,
}

struct Frame {
    serial: u64,
    adds: Vec<Add>,
}

#[derive(Default)]
pub struct Frames {
    out: VecDeque<Frame>,
    last: u64,
    /// When the oldest question out was asked, or the last answer came, whichever is later.
    since: f64,
}

impl Frames {
    /// A question goes out: its number, and the adds to be sent with it. The adds come back where there is no room.
    pub fn ask(&mut self, now: f64, adds: Vec<Add>) -> Result<(u64, &[Add]), Settled> {
        if self.out.len() >= MOST {
            return Err(Settled::NotAdded(adds));
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
    pub fn hear(&mut self, now: f64, serial: u64, totals: Option<Vec<f32>>) -> (Heard, Vec<Settled>) {
        let Ok(place) = self.out.binary_search_by_key(&serial, |frame| frame.serial) else {
            return (Heard::Nobodys, Vec::new());
        };
        self.since = now;
        let mut settled: Vec<Settled> =
            self.out.drain(..place).map(|frame| Settled::MayBeAdded(frame.adds)).collect();
        let adds = self.out.pop_front().map(|frame| frame.adds).unwrap_or_default();
        let counts = totals.is_some();
        let (heard, last) = match totals {
            Some(totals) if totals.len() != adds.len() => (Heard::Unfit, Settled::MayBeAdded(adds)),
            Some(totals) => (Heard::Answer { counts }, Settled::Totals(adds, totals)),
            None => (Heard::Answer { counts }, Settled::NotAdded(adds)),
        };
        settled.push(last);
        (heard, settled)
    }

    /// The connection ended: what is out gets no answer.
    pub fn hang_up(&mut self) -> Vec<Settled> {
        self.out.drain(..).map(|frame| Settled::MayBeAdded(frame.adds)).collect()
    }

    pub fn is_empty(&self) -> bool {
        self.out.is_empty()
    }

    /// When the connection is to be given up, if nothing comes before.
    pub fn silent_at(&self) -> Option<f64> {
        (!self.out.is_empty()).then_some(self.since + SILENT)
    }
}
