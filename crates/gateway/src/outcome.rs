//! Reports the results of attempts and probes to the admission module. Invariant: each attempt or probe is reported
//! exactly once, even if its task is dropped or panics, and an attempt is reported as not run only if that is proven.

use crate::dispatcher::Dispatcher;
use crate::driver::Attempt;
use crate::http::HostReply;
use crate::upstream::{ExchangeError, Progress};
use archlink_admission::interface::{AttemptResult, HostId, Load, Outcome};
use std::rc::Rc;

/// How an attempt ended.
#[derive(Debug)]
pub enum AttemptEnd {
    /// The host replied.
    Replied(HostReply),
    /// The exchange failed.
    Failed(ExchangeError),
    /// The attempt's deadline passed.
    TimedOut,
    /// The admission module cancelled the attempt, or its client already has an answer.
    Cancelled,
}

impl AttemptEnd {
    fn outcome(&self) -> Outcome {
        match self {
            AttemptEnd::Replied(reply) => match (reply.status, reply.declined) {
                (200, _) => Outcome::Answered,
                (503 | 504, true) => Outcome::Full,
                _ => Outcome::Error,
            },
            AttemptEnd::Failed(ExchangeError { progress: Progress::NotSent, .. }) => Outcome::ConnectFailed,
            AttemptEnd::Failed(ExchangeError { progress: Progress::Sent, .. }) => Outcome::Reset,
            AttemptEnd::TimedOut => Outcome::TimedOut,
            AttemptEnd::Cancelled => Outcome::Cancelled,
        }
    }
}

/// The pending report of an attempt. If dropped unreported, it reports a reset, since the request may have run.
pub struct AttemptReport {
    /// Dispatcher that receives the report.
    pub dispatcher: Rc<Dispatcher>,
    /// The attempt to report on.
    pub attempt: Attempt,
    reported: bool,
}

impl AttemptReport {
    /// Creates the report of an attempt that is about to start.
    pub fn new(dispatcher: Rc<Dispatcher>, attempt: Attempt) -> AttemptReport {
        AttemptReport { dispatcher, attempt, reported: false }
    }

    /// Reports how the attempt ended.
    pub fn report_end(mut self, end: AttemptEnd) {
        let outcome = end.outcome();
        if let AttemptEnd::Failed(error) = &end {
            log::debug!("attempt to host {}: {outcome:?}: {error}", self.attempt.host);
        }
        self.report(outcome, if let AttemptEnd::Replied(reply) = end { Some(reply) } else { None });
    }

    /// Reports that nothing was sent because the request had ended or its deadline had passed.
    pub fn report_never_sent(mut self) {
        self.report(Outcome::NeverSent, None);
    }

    fn report(&mut self, outcome: Outcome, reply: Option<HostReply>) {
        self.reported = true;
        let Attempt { request, number, host, started, .. } = self.attempt;
        let load = reply.as_ref().map_or(Load::default(), |reply| reply.load);
        let answer = reply.filter(|_| outcome == Outcome::Answered);
        let true_units = answer.as_ref().map_or(0.0, |reply| reply.units);
        self.dispatcher.call(|admission, now, driver| {
            driver.attempts.remove(&(request, number));
            if let Some(reply) = answer {
                driver.requests.answer_with_reply(request, reply);
            }
            let final_attempt = !driver.requests.is_open(request);
            let elapsed = now - started;
            let attempt = number;
            let result =
                AttemptResult { request, attempt, final_attempt, outcome, elapsed, true_units, host, load };
            admission.attempt_ended(now, driver, result);
        });
    }
}

impl Drop for AttemptReport {
    fn drop(&mut self) {
        if !self.reported {
            self.report(Outcome::Reset, None);
        }
    }
}

/// The pending report of a probe. If dropped unreported, it reports a failed probe.
pub struct ProbeReport {
    /// Dispatcher that receives the report.
    pub dispatcher: Rc<Dispatcher>,
    /// The probed host.
    pub host: HostId,
    reported: bool,
}

impl ProbeReport {
    /// Creates the report of a probe that is about to start.
    pub fn new(dispatcher: Rc<Dispatcher>, host: HostId) -> ProbeReport {
        ProbeReport { dispatcher, host, reported: false }
    }

    /// Reports the host's reply, or that there was none.
    pub fn report_reply(mut self, reply: Option<HostReply>) {
        let healthy = reply.as_ref().is_some_and(|reply| reply.status == 200);
        self.report(healthy, reply.map_or(Load::default(), |reply| reply.load));
    }

    fn report(&mut self, healthy: bool, load: Load) {
        self.reported = true;
        let host = self.host;
        self.dispatcher.call(|admission, now, driver| {
            admission.probe_finished(now, driver, host, healthy, load);
        });
    }
}

impl Drop for ProbeReport {
    fn drop(&mut self) {
        if !self.reported {
            self.report(false, Load::default());
        }
    }
}
