//! What an order makes of a register's newest value, and what its caller is told once that is chosen. Owns the line of
//! numbers under which configurations were taken. Must never let a second text stand, or be acknowledged, under a number
//! of that line.

use crate::Outcome;
use archlink_messages::{
    AcceptedValue, ProposalNumber, Register, VersionDigest, VoterSet, decode_evacuated_zones,
    encode_evacuated_zones,
};
use bytes::Bytes;

/// Numbers that are kept in mind, with what was taken under each: more than operators send while one of them may still
/// come again, and 1.4 kB beside each configuration. An older number counts as one that was never seen: it is
/// acknowledged and alters nothing.
pub const MAX_RECENT_VERSIONS: usize = 64;

/// What is to become of a register.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The higher version stays. `digest` is of the text as the operator sent it: what makes another call the same one.
    Configuration {
        version: u64,
        digest: [u8; 16],
        text: Bytes,
    },
    Evacuation {
        zone: String,
        on: bool,
    },
    /// What a majority can't agree on is brought to one value.
    Commit(Register),
    /// The next epoch of the set of voters, if the epoch before it stands.
    VoterSet(VoterSet),
}

impl Change {
    pub fn register(&self) -> Register {
        match self {
            Change::Configuration { .. } => Register::Configuration,
            Change::Evacuation { .. } => Register::Evacuations,
            Change::Commit(register) => *register,
            Change::VoterSet(_) => Register::VoterSet,
        }
    }

    /// What the register is to hold under `ballot`, and what that means for the caller; none where there is nothing at all.
    pub(super) fn apply(
        &self,
        newest: Option<&AcceptedValue>,
        proposal: ProposalNumber,
    ) -> Option<(AcceptedValue, Outcome)> {
        let as_before = || newest.map(|held| AcceptedValue { proposal, ..held.clone() });
        let chosen = |held: Option<AcceptedValue>| Some((held?, Outcome::Chosen));
        match self {
            Change::Configuration { version, digest, text } => {
                let mark = VersionDigest { version: *version, digest: *digest };
                let marks = newest.map(|held| held.recent_versions.as_slice()).unwrap_or_default();
                if let Some(taken) = marks.iter().find(|taken| taken.version == *version) {
                    let outcome =
                        if *taken == mark { Outcome::Chosen } else { Outcome::VersionConflict(*taken) };
                    return Some((as_before()?, outcome));
                }
                if newest.is_some_and(|held| held.revision > *version) {
                    return chosen(as_before());
                }
                let last = &marks[marks.len().saturating_sub(MAX_RECENT_VERSIONS - 1)..];
                let marks = last.iter().copied().chain([mark]).collect();
                chosen(Some(AcceptedValue {
                    proposal,
                    revision: version + 1,
                    value: text.clone(),
                    recent_versions: marks,
                }))
            }
            Change::Evacuation { zone, on } => {
                let mut zones = newest.map(|held| decode_evacuated_zones(&held.value)).unwrap_or_default();
                if *on == zones.contains(zone) && newest.is_some() {
                    return chosen(as_before());
                }
                if *on {
                    zones.insert(zone.clone())
                } else {
                    zones.remove(zone)
                };
                let stamp = newest.map_or(0, |held| held.revision) + 1;
                chosen(Some(AcceptedValue {
                    proposal,
                    revision: stamp,
                    value: encode_evacuated_zones(zones),
                    recent_versions: Vec::new(),
                }))
            }
            // The first set is on no register: it stands until another is chosen.
            Change::VoterSet(next) if newest.map_or(1, |held| held.revision) + 1 == next.epoch => {
                let (stamp, value) = (next.epoch, next.to_bytes());
                chosen(Some(AcceptedValue { proposal, revision: stamp, value, recent_versions: Vec::new() }))
            }
            Change::Commit(_) | Change::VoterSet(_) => chosen(as_before()),
        }
    }
}
