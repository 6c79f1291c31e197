//! Logs transitions of quorum contact, of the voter set and of this node's leases, one line for each.
//!
//! Invariant: this is for operators only; no other code depends on it.

mod event;

pub use event::TransitionEvent;

use super::contact_limits::{MAX_CONTACT_AGE, STARTUP_GRACE};
use archlink_messages::{SINGLETON_ROLES, SingletonRole, VoterSet};

/// The state that is observed at each tick.
pub struct Observation<'a> {
    /// Seconds since the start of the latest quorum read that a quorum has confirmed.
    pub contact_age: Option<f64>,
    /// The voter set that this node knows.
    pub voter_set: &'a VoterSet,
    /// For each role the term in which this node holds its lease.
    pub held_terms: [(SingletonRole, Option<u64>); SINGLETON_ROLES.len()],
}

/// State of the contact with a quorum, and since when, in seconds since the start of the process.
#[derive(Clone, Copy)]
enum Contact {
    Established { since: f64 },
    Lost { since: f64 },
}

/// The state that was logged last.
#[derive(Default)]
pub struct TransitionLog {
    /// `None` until a quorum first replies or the grace period after the start ends.
    contact: Option<Contact>,
    voter_set: VoterSet,
    held_terms: [Option<u64>; SINGLETON_ROLES.len()],
}

impl TransitionLog {
    /// Compares the state with the last observation and returns the transitions in between.
    pub fn observe(&mut self, now: f64, observation: &Observation) -> Vec<TransitionEvent> {
        let mut events = Vec::new();
        events.extend(self.observe_contact(now, observation.contact_age));
        if *observation.voter_set != self.voter_set {
            events.extend(self.observe_voter_set(observation.voter_set));
            self.voter_set = observation.voter_set.clone();
        }
        for (before, (role, after)) in self.held_terms.iter_mut().zip(observation.held_terms) {
            events.extend(lease_event(role, *before, after));
            *before = after;
        }
        events
    }

    fn observe_contact(&mut self, now: f64, contact_age: Option<f64>) -> Option<TransitionEvent> {
        let has_contact = contact_age.is_some_and(|age| age <= MAX_CONTACT_AGE);
        let (contact, event) = match self.contact {
            None if has_contact => {
                (Contact::Established { since: now }, TransitionEvent::ContactEstablished { after: now })
            }
            None if now > STARTUP_GRACE => (Contact::Lost { since: 0.0 }, TransitionEvent::NoContact),
            Some(Contact::Established { since }) if !has_contact => {
                let silence = contact_age.unwrap_or(now);
                let event = TransitionEvent::ContactLost { silence, after: now - since };
                (Contact::Lost { since: now - silence }, event)
            }
            Some(Contact::Lost { since }) if has_contact => {
                let event = TransitionEvent::ContactRegained { after: now - since };
                (Contact::Established { since: now }, event)
            }
            _ => return None,
        };
        self.contact = Some(contact);
        Some(event)
    }

    fn observe_voter_set(&self, after: &VoterSet) -> Vec<TransitionEvent> {
        let before = &self.voter_set;
        let (epoch, voters) = (after.epoch, after.voters.clone());
        let incoming = after.is_joint().then(|| after.incoming.clone());
        let mut events =
            vec![TransitionEvent::VoterSet { epoch, voters: voters.clone(), incoming: incoming.clone() }];
        // A joint epoch may have passed between two observations. Then the voters show whether it was committed.
        let is_committed =
            if before.is_joint() { before.incoming == after.voters } else { before.voters != after.voters };
        if !before.is_known() {
            return events;
        }
        events.push(if after.first_round() != before.first_round() {
            TransitionEvent::NewGeneration { epoch, voters }
        } else if let Some(incoming) = incoming {
            TransitionEvent::MembershipChangeStarted { epoch, voters, incoming }
        } else if is_committed {
            TransitionEvent::MembershipChangeCommitted { epoch, voters }
        } else {
            TransitionEvent::MembershipChangeRolledBack { epoch, voters }
        });
        events
    }
}

fn lease_event(role: SingletonRole, before: Option<u64>, after: Option<u64>) -> Option<TransitionEvent> {
    match (before, after) {
        (before, Some(term)) if before != Some(term) => Some(TransitionEvent::LeaseGranted { role, term }),
        (Some(term), None) => Some(TransitionEvent::LeaseLost { role, term }),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
