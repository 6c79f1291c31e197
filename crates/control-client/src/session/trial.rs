//! A trial: a connection to another control node beside the session in use. The session changes to it once its first
//! answer proves quorum contact; until then nothing that this control node sends is applied.

use super::candidates::Candidate;
use super::established::EstablishedSession;
use super::timing::TRIAL_TIMEOUT;
use archlink_messages::Heartbeat;

/// What the first answer on trial shows.
pub enum Verdict {
    /// The message is not the answer to the trial's heartbeat.
    NoAnswer,
    /// The control node has quorum contact: the session changes to it.
    Accepted,
    /// The control node has no quorum contact, or none that is more recent than the session's.
    Rejected,
}

/// A connection to a control node on trial. Times are seconds on the monotonic clock.
pub struct Trial {
    pub candidate: Candidate,
    /// The connection, once it is open.
    pub connection: Option<EstablishedSession>,
    times_out_at: f64,
}

impl Trial {
    /// Creates a trial whose connection attempt starts now.
    pub fn new(now: f64, candidate: Candidate) -> Trial {
        Trial { candidate, connection: None, times_out_at: now + TRIAL_TIMEOUT }
    }

    /// Records that the connection is open; the first heartbeat is due now.
    pub fn connected(&mut self, now: f64) {
        self.connection = Some(EstablishedSession::new(now, self.candidate));
    }

    /// Whether the first answer is overdue.
    pub fn has_timed_out(&self, now: f64) -> bool {
        now >= self.times_out_at
    }

    /// The connection, if its first heartbeat has not been sent yet.
    pub fn without_heartbeat(&mut self) -> Option<&mut EstablishedSession> {
        self.connection.as_mut().filter(|connection| !connection.awaits_answer())
    }

    /// The time at which something is due: the first heartbeat, or the end of the trial.
    pub fn wake_at(&self) -> f64 {
        match &self.connection {
            Some(connection) if !connection.awaits_answer() => connection.next_heartbeat_at,
            _ => self.times_out_at,
        }
    }

    /// Judges an answer. The control node's quorum contact has to be more recent than `quorum_contact_at`, the one that
    /// the session knows of, if the session is left for lack of it (`None` otherwise).
    pub fn judge(&self, now: f64, heartbeat: &Heartbeat, quorum_contact_at: Option<f64>) -> Verdict {
        let Some(connection) = self.connection.as_ref().filter(|open| open.is_answer(heartbeat)) else {
            return Verdict::NoAnswer;
        };
        let contact_at = EstablishedSession::quorum_contact(now, heartbeat);
        let is_recent = connection.is_recent_contact(now, contact_at);
        match quorum_contact_at.is_none_or(|known| contact_at > known) && is_recent {
            true => Verdict::Accepted,
            false => Verdict::Rejected,
        }
    }
}
