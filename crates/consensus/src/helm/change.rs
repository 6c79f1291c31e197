//! What an order makes of a register's newest value, and what its caller is told once that is chosen. Owns the line of
//! numbers under which configurations were taken. Must never let a second text stand, or be acknowledged, under a number
//! of that line.

use crate::Outcome;
use archlink_messages::{Ballot, Held, Mark, Muster, Register, evacuated, evacuations};
use bytes::Bytes;

/// Numbers that are kept in mind, with what was taken under each: more than operators send while one of them may still
/// come again, and 1.4 kB beside each configuration. An older number counts as one that was never seen: it is
/// acknowledged and alters nothing.
pub const MARKS: usize = 64;

/// What is to become of a register.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The higher version stays. `digest` is of the text as the operator sent it: what makes another call the same one.
    Chart {
        version: u64,
        digest: [u8; 16],
        text: Bytes,
    },
    Evacuate {
        zone: String,
        on: bool,
    },
    /// What a majority can't agree on is brought to one value.
    Settle(Register),
    /// The next epoch of the set of voters, if the epoch before it stands.
    Muster(Muster),
}

impl Change {
    pub fn register(&self) -> Register {
        match self {
            Change::Chart { .. } => Register::Chart,
            Change::Evacuate { .. } => Register::Evacuations,
            Change::Settle(register) => *register,
            Change::Muster(_) => Register::Muster,
        }
    }

    /// What the register is to hold under `ballot`, and what that means for the caller; none where there is nothing at all.
    pub(super) fn apply(&self, newest: Option<&Held>, ballot: Ballot) -> Option<(Held, Outcome)> {
        let as_before = || newest.map(|held| Held { ballot, ..held.clone() });
        let chosen = |held: Option<Held>| Some((held?, Outcome::Chosen));
        match self {
            Change::Chart { version, digest, text } => {
                let mark = Mark { version: *version, digest: *digest };
                let marks = newest.map(|held| held.marks.as_slice()).unwrap_or_default();
                if let Some(taken) = marks.iter().find(|taken| taken.version == *version) {
                    let outcome = if *taken == mark { Outcome::Chosen } else { Outcome::Stands(*taken) };
                    return Some((as_before()?, outcome));
                }
                if newest.is_some_and(|held| held.stamp > *version) {
                    return chosen(as_before());
                }
                let last = &marks[marks.len().saturating_sub(MARKS - 1)..];
                let marks = last.iter().copied().chain([mark]).collect();
                chosen(Some(Held { ballot, stamp: version + 1, value: text.clone(), marks }))
            }
            Change::Evacuate { zone, on } => {
                let mut zones = newest.map(|held| evacuated(&held.value)).unwrap_or_default();
                if *on == zones.contains(zone) && newest.is_some() {
                    return chosen(as_before());
                }
                if *on {
                    zones.insert(zone.clone())
                } else {
                    zones.remove(zone)
                };
                let stamp = newest.map_or(0, |held| held.stamp) + 1;
                chosen(Some(Held { ballot, stamp, value: evacuations(zones), marks: Vec::new() }))
            }
            // The first set is on no register: it stands until another is chosen.
            Change::Muster(next) if newest.map_or(1, |held| held.stamp) + 1 == next.epoch => {
                let (stamp, value) = (next.epoch, next.to_bytes());
                chosen(Some(Held { ballot, stamp, value, marks: Vec::new() }))
            }
            Change::Settle(_) | Change::Muster(_) => chosen(as_before()),
        }
    }
}
