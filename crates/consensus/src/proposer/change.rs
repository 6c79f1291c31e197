//! What a change makes of a register's newest value, and the outcome that its caller gets once the result is
//! chosen.
//!
//! Invariant: of the versions that a configuration remembers ([`MAX_RECENT_VERSIONS`]), no second text is
//! chosen or acknowledged under the same one.

use crate::Outcome;
use archlink_messages::{
    AcceptedValue, ProposalNumber, Register, VersionDigest, VoterSet, decode_evacuated_zones,
    encode_evacuated_zones,
};
use bytes::Bytes;

/// How many versions a configuration remembers, each with the digest of its text: more than operators send
/// while one of them may still be repeated, and 1.4 kB beside each configuration. An older version counts as
/// one that was never seen: it is acknowledged and alters nothing.
pub const MAX_RECENT_VERSIONS: usize = 64;

/// A change to be proposed on a register.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A configuration. Of two versions the higher one is kept.
    Configuration {
        /// The operator's version number.
        version: u64,
        /// Digest of the text as the operator sent it: it tells a repeated request from a conflicting one.
        digest: [u8; 16],
        /// The configuration as it is to be stored.
        text: Bytes,
    },
    /// A zone is evacuated, or taken into service again.
    Evacuation {
        /// The zone's name.
        zone: String,
        /// Is it to be evacuated?
        on: bool,
    },
    /// Brings a register on which voters may differ to one value, its newest, under the current epoch.
    Commit(Register),
    /// The next epoch of the voter set, provided that the epoch before it is the newest one.
    VoterSet(VoterSet),
}

impl Change {
    /// The register that it changes.
    pub fn register(&self) -> Register {
        match self {
            Change::Configuration { .. } => Register::Configuration,
            Change::Evacuation { .. } => Register::Evacuations,
            Change::Commit(register) => *register,
            Change::VoterSet(_) => Register::VoterSet,
        }
    }

    /// The value to be accepted under `proposal`, given the `newest` one, and the outcome once that is
    /// chosen. `None` where the register has no value and gets none.
    pub(super) fn apply(
        &self,
        newest: Option<&AcceptedValue>,
        proposal: ProposalNumber,
    ) -> Option<(AcceptedValue, Outcome)> {
        let unchanged = || newest.map(|value| AcceptedValue { proposal, ..value.clone() });
        match self {
            Change::Configuration { version, digest, text } => {
                let digest = VersionDigest { version: *version, digest: *digest };
                match apply_configuration(newest, digest, text, proposal) {
                    Ok(value) => Some((value, Outcome::Chosen)),
                    Err(outcome) => Some((unchanged()?, outcome)),
                }
            }
            Change::Evacuation { zone, on } => {
                let value = apply_evacuation(newest, zone, *on, proposal).or_else(unchanged)?;
                Some((value, Outcome::Chosen))
            }
            // The first voter set is in no register: it is epoch 1 until another one is chosen.
            Change::VoterSet(next) if newest.map_or(1, |value| value.revision) + 1 == next.epoch => {
                let (revision, value) = (next.epoch, next.to_bytes());
                let value = AcceptedValue { proposal, revision, value, recent_versions: Vec::new() };
                Some((value, Outcome::Chosen))
            }
            Change::Commit(_) | Change::VoterSet(_) => Some((unchanged()?, Outcome::Chosen)),
        }
    }
}

/// The new value, or the outcome where the newest value stays: the version was taken before, or is below the
/// newest one.
fn apply_configuration(
    newest: Option<&AcceptedValue>,
    digest: VersionDigest,
    text: &Bytes,
    proposal: ProposalNumber,
) -> Result<AcceptedValue, Outcome> {
    let recent = newest.map(|value| value.recent_versions.as_slice()).unwrap_or_default();
    if let Some(taken) = recent.iter().find(|taken| taken.version == digest.version) {
        return Err(if *taken == digest { Outcome::Chosen } else { Outcome::VersionConflict(*taken) });
    }
    if newest.is_some_and(|value| value.revision > digest.version) {
        return Err(Outcome::Chosen);
    }
    let remembered = &recent[recent.len().saturating_sub(MAX_RECENT_VERSIONS - 1)..];
    Ok(AcceptedValue {
        proposal,
        revision: digest.version + 1,
        value: text.clone(),
        recent_versions: remembered.iter().copied().chain([digest]).collect(),
    })
}

/// The new value; `None` where the zone already is as it is to be.
fn apply_evacuation(
    newest: Option<&AcceptedValue>,
    zone: &str,
    on: bool,
    proposal: ProposalNumber,
) -> Option<AcceptedValue> {
    let mut zones = newest.map(|value| decode_evacuated_zones(&value.value)).unwrap_or_default();
    if on == zones.contains(zone) && newest.is_some() {
        return None;
    }
    if on {
        zones.insert(zone.to_string());
    } else {
        zones.remove(zone);
    }
    Some(AcceptedValue {
        proposal,
        revision: newest.map_or(0, |value| value.revision) + 1,
        value: encode_evacuated_zones(zones),
        recent_versions: Vec::new(),
    })
}
