//! What a gateway holds in mind of customers, inquiries and hosts: plain state, and what waits for an ending. Owns no
//! decision and no figure; the files that decide read and write it.

use crate::admission::Admission;
use crate::interface::{AttemptResult, Driver, HostEntry, HostId};
use std::collections::VecDeque;

pub(crate) type Step = Box<dyn FnOnce(&mut Admission, &mut dyn Driver)>;
pub(crate) type AfterCount = Box<dyn FnOnce(&mut Admission, &mut dyn Driver, Option<f64>)>;
/// The inquiry that waits for a call's answer, and what it does then.
pub(crate) type Asker = Option<(u32, AfterCount)>;
/// When a step comes due, in bits that sort alike, and its serial number: by it a step is struck off again.
pub(crate) type Due = (u64, u64);
pub(crate) type AfterHandOff = Box<dyn FnOnce(&mut Admission, &mut dyn Driver, &AttemptResult)>;

/// What this gateway holds of one name on the counter. `held` is what it wants to stand there as its own
/// part, `claimed` what its calls, answered or not, amount to, `confirmed` the answered part of these.
#[derive(Default)]
pub(crate) struct Tally {
    pub(crate) expires: f64,
    pub(crate) held: f64,
    pub(crate) claimed: f64,
    pub(crate) confirmed: f64,
    pub(crate) asked: VecDeque<(u64, f64, f64, bool)>,
}

/// One tier's slide as seen from here: the window (0: none yet) and total last heard, and the room left then.
#[derive(Clone, Copy, Default)]
pub(crate) struct Slide {
    pub(crate) index: u64,
    pub(crate) total: f64,
    pub(crate) room: f64,
    pub(crate) at: f64,
    /// Granted since without asking, others' part included.
    pub(crate) ahead: f64,
    pub(crate) closed: Option<(u64, f64)>,
    /// Until when, and from how many units on, no room is expected.
    pub(crate) full: (f64, f64),
}

#[derive(Default)]
pub(crate) struct Customer {
    pub(crate) seen: f64,
    /// Comes through too many gateways for any of them to see how it goes on.
    pub(crate) wide: bool,
    /// Share of the customer's use that comes through this gateway.
    pub(crate) share: f64,
    /// The share if its use were spread evenly.
    pub(crate) even: f64,
    pub(crate) slides: [Slide; 3],
    /// Tier known to be in force, and until when.
    pub(crate) entered: (usize, f64),
    pub(crate) taken_until: [f64; 3],
    pub(crate) ceiling: f64,
    pub(crate) ceiling_at: f64,
}

#[derive(Default)]
pub(crate) struct Open {
    pub(crate) lane: usize,
    pub(crate) plan: usize,
    pub(crate) customer: u64,
    pub(crate) units: f64,
    pub(crate) until: f64,
    /// Until when an answer is worth anything.
    pub(crate) of_use: f64,
    pub(crate) count_by: f64,
    pub(crate) sent: Vec<Sent>,
    /// The window that took its units, for settling, and how many it took.
    pub(crate) charged: Option<(u64, f64, f64)>,
}

impl Open {
    /// A host is at work on it, or may have been.
    pub(crate) fn may_have_run(&self) -> bool {
        self.sent.iter().any(|sent| sent.live || sent.may_have_run)
    }
}

pub(crate) struct Sent {
    pub(crate) host: HostId,
    pub(crate) zone: u8,
    pub(crate) cell: u16,
    pub(crate) at: f64,
    pub(crate) live: bool,
    pub(crate) may_have_run: bool,
}

/// One lane of a host: hand-offs out, when last answered, failures not yet made up for, rest after them.
#[derive(Clone, Default)]
pub(crate) struct InLane {
    pub(crate) out: f64,
    pub(crate) heard: f64,
    pub(crate) rests: u32,
    pub(crate) rest_until: f64,
}

#[derive(Default)]
pub(crate) struct Host {
    pub(crate) line: HostEntry,
    pub(crate) out: f64,
    pub(crate) limit: f64,
    /// How it stands in each lane: a host may fail one and serve the others as usual.
    pub(crate) lanes: Vec<InLane>,
    pub(crate) credit: f64,
    /// Place in this gateway's own order of hosts, and whether it is among those it turns to.
    pub(crate) place: u64,
    pub(crate) near: bool,
}
