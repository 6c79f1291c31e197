//! Last stage: how a hand-off or probe ended is put into the module's words and told to it, exactly once each: also
//! where the task that owed it was dropped or panicked. Owns that translation. Must never drop an ending, tell one
//! twice, or claim that something never ran unless the way it ended proves it.

use crate::http::Reply;
use crate::relay;
use crate::route::Hall;
use crate::send::{Broken, Ending, Job, Reach};
use archlink_admission::interface::{AttemptResult, HostId, Load, Outcome};
use std::rc::Rc;

fn outcome(ending: &Ending) -> Outcome {
    match ending {
        Ending::Replied(reply) => match (reply.status, reply.declined) {
            (200, _) => Outcome::Answered,
            (503 | 504, true) => Outcome::Full,
            _ => Outcome::Error,
        },
        Ending::Broken(Broken { reach: Reach::Unwritten, .. }) => Outcome::ConnectFailed,
        Ending::Broken(Broken { reach: Reach::Written, .. }) => Outcome::Reset,
        Ending::TimeUp => Outcome::TimedOut,
        Ending::CalledOff => Outcome::Cancelled,
    }
}

/// The ending of a hand-off that the module waits for.
pub struct Owed {
    pub hall: Rc<Hall>,
    pub job: Job,
    told: bool,
}

impl Owed {
    pub fn new(hall: Rc<Hall>, job: Job) -> Owed {
        Owed { hall, job, told: false }
    }

    pub fn ended(mut self, ending: Ending) {
        let outcome = outcome(&ending);
        if let Ending::Broken(Broken { cause, .. }) = &ending {
            log::debug!("hand-off to host {}: {outcome:?}: {cause}", self.job.host);
        }
        self.tell(outcome, if let Ending::Replied(reply) = ending { Some(reply) } else { None });
    }

    /// Not begun, as nothing was left to send it for.
    pub fn never(mut self) {
        self.tell(Outcome::NeverSent, None);
    }

    fn tell(&mut self, outcome: Outcome, reply: Option<Reply>) {
        self.told = true;
        let Job { inquiry, nth, host, at, .. } = self.job;
        let load = reply.as_ref().map_or(Load::default(), |reply| reply.load);
        let true_units = reply.as_ref().filter(|_| outcome == Outcome::Answered).map_or(0.0, |r| r.units);
        self.hall.call(|module, now, hands| {
            hands.out.remove(&(inquiry, nth));
            if let Some(reply) = reply.filter(|_| outcome == Outcome::Answered) {
                relay::honour(hands, inquiry, reply);
            }
            let over = !hands.is_open(inquiry);
            let took = now - at;
            module.attempt_ended(
                now,
                hands,
                AttemptResult {
                    request: inquiry,
                    attempt: nth,
                    final_attempt: over,
                    outcome,
                    elapsed: took,
                    true_units,
                    host,
                    load,
                },
            );
        });
    }
}

impl Drop for Owed {
    fn drop(&mut self) {
        if !self.told {
            self.tell(Outcome::Reset, None);
        }
    }
}

/// The result of a probe that the module waits for.
pub struct OwedProbe {
    pub hall: Rc<Hall>,
    pub host: HostId,
    told: bool,
}

impl OwedProbe {
    pub fn new(hall: Rc<Hall>, host: HostId) -> OwedProbe {
        OwedProbe { hall, host, told: false }
    }

    pub fn ended(mut self, reply: Option<Reply>) {
        let well = reply.as_ref().is_some_and(|reply| reply.status == 200);
        self.tell(well, reply.map_or(Load::default(), |reply| reply.load));
    }

    fn tell(&mut self, well: bool, load: Load) {
        self.told = true;
        let host = self.host;
        self.hall.call(|module, now, hands| module.probe_finished(now, hands, host, well, load));
    }
}

impl Drop for OwedProbe {
    fn drop(&mut self) {
        if !self.told {
            self.tell(false, Load::default());
        }
    }
}
