//! What operators find in the log about quorum contact, voters and leases: one line for each change.
//!
//! Invariant: nothing acts on any of it.

mod event;

pub use event::TransitionEvent;

use super::contact_limits::{MAX_CONTACT_AGE, STARTUP_GRACE};
use archlink_messages::{SINGLETON_ROLES, SingletonRole, VoterSet};

/// What is observed at each tick.
pub struct Observation<'a> {
    /// Seconds since the newest question was asked to which a quorum has answered.
    pub contact_age: Option<f64>,
    /// The voter set that this node knows.
    pub voter_set: &'a VoterSet,
    /// The term in which this node holds each role's lease.
    pub held_terms: [(SingletonRole, Option<u64>); SINGLETON_ROLES.len()],
}

/// Contact with a quorum, and since when in seconds of this process.
#[derive(Clone, Copy)]
enum Contact {
    Established { since: f64 },
    Lost { since: f64 },
}

/// What was logged last.
#[derive(Default)]
pub struct TransitionLog {
    /// Not known before the first answer, or the end of the grace period at the start.
    contact: Option<Contact>,
    voter_set: VoterSet,
    held_terms: [Option<u64>; SINGLETON_ROLES.len()],
}

impl TransitionLog {
    /// The events since the last observation.
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
        // A joint epoch may have passed between two observations: then the voters tell how it ended.
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
