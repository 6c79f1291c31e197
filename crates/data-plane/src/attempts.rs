//! One request's way through hosts, as decisions alone: what the end of a hand-off says of whether it ran, whether it may go
//! to another host, when a second one is asked beside a silent first, and which answer the client gets in the end. Does no
//! I/O and reads no clock. Must never let what may have run be sent again or refused, unless it may be repeated; must never
//! hold back what is given up.

use std::cmp::Ordering;

/// What the route says of a request.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    pub repeatable: bool,
    /// Hosts that it may be sent to.
    pub attempts: u32,
    pub goal: f64,
}

/// How far one hand-off came, as its connection and its answer tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Came {
    /// No connection in time, refused, or what allowed it was over before its first byte.
    Nowhere,
    /// The connection, new or kept, broke before it took a byte.
    Untouched,
    /// It broke after it had taken some bytes and not all.
    Halfway,
    /// It had taken all, and broke, closed, or said nothing that is this request's own whole answer.
    Unanswered,
    /// The time was up, wherever it stood.
    TimeUp,
    /// The client left before its first byte.
    Withdrawn,
    /// It had taken some bytes or all, and was broken off as the client had left.
    Abandoned,
    /// A whole answer under the request's own id; `declined` is the host's own word that it did not run it.
    Answered { status: u16, declined: bool },
}

impl Came {
    /// What that says of the request. The protocol has two words for "it did not run": `Not-Executed` and 421. All else
    /// hangs on the bytes, of which a socket tells only what it took, not what arrived:
    ///
    /// | came | repeatable | not repeatable | why |
    /// | --- | --- | --- | --- |
    /// | nowhere, untouched | another host, 503 | another host, 503 | no byte left this machine |
    /// | halfway | another host, 502 | 502 | a host may begin at the head; only a whole request is sure to be run, but none that a byte left of is sure not to be |
    /// | unanswered | another host, 502 | 502 | all may have arrived; a kept connection that the host closed at that moment looks the same |
    /// | time up | 502 | 502 | as unanswered, and nobody waits any more |
    /// | withdrawn | 503 | 503 | no byte left this machine; no further host either, as nobody waits any more |
    /// | abandoned | 502 | let run | all may have arrived; what may not be repeated is never broken off |
    /// | declined, 421 | another host, 503 | another host, 503 | the host's word |
    /// | 408, 429, 503 | as they are, 503 after another host | 502 | to a client these say that it has not run; the host did not say that |
    /// | other 5xx | another host, as it is | as it is | it ran, and that is its answer |
    /// | all else | as it is | as it is | its answer |
    pub fn ended(self, repeatable: bool) -> Ended {
        match self {
            Came::Nowhere | Came::Untouched | Came::Withdrawn => Ended::Unsent,
            Came::Halfway | Came::Unanswered | Came::TimeUp | Came::Abandoned => Ended::Lost,
            Came::Answered { declined: true, .. } | Came::Answered { status: 421, .. } => Ended::Declined,
            Came::Answered { status: 408 | 429 | 503, .. } if !repeatable => Ended::Lost,
            Came::Answered { status: 500.., .. } => Ended::Failed,
            Came::Answered { .. } => Ended::Honoured,
        }
    }
}

/// How one hand-off ended, in the words that matter here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// A whole answer of the host's own that the client may have.
    Honoured,
    /// A whole answer, but a failure (5xx): it ran.
    Failed,
    /// It says that it did not run it: full, late, or another host.
    Declined,
    /// No byte of it was sent: it never ran, and the host never saw it.
    Unsent,
    /// Bytes were sent, and there is no answer that can be used: it may have run.
    Lost,
}

/// What to do now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Next {
    /// The answer that just came goes to the client.
    Relay,
    /// To another host, if the budget has a further try for it (`paid`) and a host has room.
    Again { paid: bool },
    /// Another hand-off is out: its end decides.
    Wait,
    /// It ends here.
    GiveUp(Final),
}

/// The answer of our own that a client gets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Final {
    /// 503 with the time to come back: it has not run and never will.
    ComeBack(f64),
    /// 502: it may have run.
    Unknown,
}

/// Hosts that can't be reached cost no arrival: so many may be passed over.
const MOST_UNSENT: u32 = 3;
/// A refused client that comes back in time is worth more than one that comes late: a small part of the goal time.
const COME_BACK: f64 = 0.1;
/// A silent host is doubted after this part of the goal time, or this many times what was expected, whichever is later.
const DOUBT_GOAL: f64 = 0.6;
const DOUBT_EXPECTED: f64 = 3.0;

pub struct Attempts {
    rules: Rules,
    sent: u32,
    unsent: u32,
    out: u32,
    may_have_run: bool,
}

impl Attempts {
    pub fn new(rules: Rules) -> Attempts {
        Attempts { rules, sent: 0, unsent: 0, out: 0, may_have_run: false }
    }

    /// Seconds after which a second host is asked beside a silent one; none where that may not be.
    pub fn doubt_after(&self, expected: f64) -> Option<f64> {
        let may = self.rules.repeatable && self.sent < self.rules.attempts && self.rules.goal.is_finite();
        may.then(|| (self.rules.goal * DOUBT_GOAL).max(expected * DOUBT_EXPECTED))
    }

    /// A hand-off begins.
    pub fn begins(&mut self) {
        self.sent += 1;
        self.out += 1;
    }

    /// A hand-off ended; `left` seconds remain, none where the client has left.
    pub fn ended(&mut self, how: Ended, left: f64) -> Next {
        const TOO_LATE: f64 = 0.01;
        self.out -= 1;
        match how {
            Ended::Honoured => return Next::Relay,
            Ended::Failed | Ended::Lost => self.may_have_run = true,
            Ended::Unsent => {
                self.sent -= 1;
                self.unsent += 1;
            }
            Ended::Declined => {}
        }
        let free = !self.may_have_run || self.rules.repeatable;
        let again = free
            && left > TOO_LATE
            && self.unsent <= MOST_UNSENT
            && self.sent.cmp(&self.rules.attempts) == Ordering::Less;
        match (again, self.out) {
            (_, 1..) => Next::Wait,
            (true, _) => Next::Again { paid: how != Ended::Unsent || self.sent > 0 },
            // A host's own failure is its answer: it goes to the client as it is.
            (false, _) if how == Ended::Failed => Next::Relay,
            (false, _) => Next::GiveUp(self.last()),
        }
    }

    /// No host, or no further try, is to be had.
    pub fn no_more(&self) -> Final {
        self.last()
    }

    /// Was there any hand-off before?
    pub fn has_begun(&self) -> bool {
        self.sent > 0 || self.unsent > 0
    }

    /// Is any hand-off out?
    pub fn waits(&self) -> bool {
        self.out > 0
    }

    fn last(&self) -> Final {
        let ran = self.may_have_run || self.out > 0;
        let goal = if self.rules.goal.is_finite() { self.rules.goal } else { 1.0 };
        if ran { Final::Unknown } else { Final::ComeBack(goal * COME_BACK) }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn attempts(repeatable: bool) -> Attempts {
        Attempts::new(Rules { repeatable, attempts: 2, goal: 0.4 })
    }

    /// Over all ends in all orders: what may have run and may not be repeated never goes again and is never refused, and
    /// nothing goes to more hosts than the route allows.
    #[test]
    fn what_may_have_run_is_neither_sent_again_nor_refused() {
        const ENDS: [Ended; 4] = [Ended::Failed, Ended::Declined, Ended::Unsent, Ended::Lost];
        for repeatable in [false, true] {
            for code in 0..4_usize.pow(6) {
                let (mut attempts, mut ran, mut arrived) = (attempts(repeatable), false, 0);
                for n in 0..6 {
                    let how = ENDS[code / 4_usize.pow(n) % 4];
                    attempts.begins();
                    assert!(!ran || repeatable);
                    arrived += u32::from(how != Ended::Unsent);
                    ran |= matches!(how, Ended::Failed | Ended::Lost);
                    match attempts.ended(how, 1.0) {
                        Next::Again { .. } => continue,
                        Next::GiveUp(last) => assert_eq!(last == Final::Unknown, ran),
                        Next::Relay => assert_eq!(how, Ended::Failed),
                        Next::Wait => panic!("nothing is out"),
                    }
                    break;
                }
                assert!(arrived <= 2, "{arrived}");
            }
        }
    }

    /// The table of `Came::ended`, each row by what the client gets where no other host is left, and whether one is asked.
    #[test]
    fn each_way_to_end_is_its_row() {
        let own = |status| Came::Answered { status, declined: false };
        let (again, relay) = (Next::Again { paid: true }, Next::Relay);
        let unknown = Next::GiveUp(Final::Unknown);
        for (came, repeated, once) in [
            (Came::Nowhere, Next::Again { paid: false }, Next::Again { paid: false }),
            (Came::Untouched, Next::Again { paid: false }, Next::Again { paid: false }),
            (Came::Halfway, again, unknown),
            (Came::Unanswered, again, unknown),
            (Came::TimeUp, again, unknown),
            (Came::Withdrawn, Next::Again { paid: false }, Next::Again { paid: false }),
            (Came::Abandoned, again, unknown),
            (Came::Answered { status: 503, declined: true }, again, again),
            (Came::Answered { status: 200, declined: true }, again, again),
            (own(421), again, again),
            (own(408), relay, unknown),
            (own(429), relay, unknown),
            (own(503), again, unknown),
            (own(500), again, relay),
            (own(200), relay, relay),
            (own(404), relay, relay),
        ] {
            for (repeatable, next) in [(true, repeated), (false, once)] {
                let mut attempts = attempts(repeatable);
                attempts.begins();
                assert_eq!(attempts.ended(came.ended(repeatable), 1.0), next, "{came:?}, {repeatable}");
                let never_ran =
                    came.ended(repeatable) == Ended::Declined || came.ended(repeatable) == Ended::Unsent;
                assert_eq!(
                    matches!(attempts.no_more(), Final::ComeBack(_)),
                    never_ran || next == relay && came != own(500)
                );
            }
        }
    }

    /// Without time, which is what a client that left leaves, no end leads to another host.
    #[test]
    fn no_end_leads_to_another_host_where_nobody_waits() {
        for repeatable in [false, true] {
            for how in [Ended::Honoured, Ended::Failed, Ended::Declined, Ended::Unsent, Ended::Lost] {
                let mut attempts = attempts(repeatable);
                attempts.begins();
                assert!(!matches!(attempts.ended(how, 0.0), Next::Again { .. } | Next::Wait), "{how:?}");
            }
        }
    }

    #[test]
    fn a_silent_host_is_doubted_only_where_the_request_may_be_repeated() {
        assert_eq!(attempts(false).doubt_after(0.1), None);
        let mut twice = attempts(true);
        assert_eq!(twice.doubt_after(0.1), Some(0.1 * DOUBT_EXPECTED));
        twice.begins();
        twice.begins();
        assert_eq!(twice.doubt_after(0.1), None);
        assert_eq!(twice.ended(Ended::Lost, 1.0), Next::Wait);
        assert_eq!(twice.ended(Ended::Lost, 1.0), Next::GiveUp(Final::Unknown));
    }
}
