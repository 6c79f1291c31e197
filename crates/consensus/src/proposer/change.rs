//! How a change alters a register's newest value, and the outcome that its caller gets once the result is
//! chosen.
//!
//! Invariant: for each version that a configuration remembers ([`MAX_RECENT_VERSIONS`]), no second text is
//! chosen or acknowledged.

use crate::Outcome;
use archlink_messages::{
    AcceptedValue, ProposalNumber, Register, VersionDigest, VoterSet, decode_evacuated_zones,
    encode_evacuated_zones,
};
use bytes::Bytes;

/// The number of versions that a configuration remembers, each with the digest of its text: more than
/// operators send while one of them may still be repeated, and 1.4 kB beside each configuration. An older
/// version is treated like one that was never seen: it is acknowledged and alters nothing.
pub const MAX_RECENT_VERSIONS: usize = 64;

/// A change to be proposed on a register.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A new configuration. Of two versions the higher one is kept.
    Configuration {
        /// The operator's version number.
        version: u64,
        /// Digest of the text as the operator sent it; tells a repeated request from a conflicting one.
        digest: [u8; 16],
        /// The configuration as it is to be stored.
        text: Bytes,
    },
    /// Evacuates a zone, or takes it into service again.
    Evacuation {
        /// The zone's name.
        zone: String,
        /// Whether the zone is to be evacuated.
        on: bool,
    },
    /// Brings the voters of a register, which may hold different values, to one value, the newest, under the
    /// current epoch.
    Converge(Register),
    /// The voter set of the next epoch, provided that the epoch before it is the newest one.
    VoterSet(VoterSet),
}

impl Change {
    /// Returns the register that it changes.
    pub fn register(&self) -> Register {
        match self {
            Change::Configuration { .. } => Register::Configuration,
            Change::Evacuation { .. } => Register::Evacuations,
            Change::Converge(register) => *register,
            Change::VoterSet(_) => Register::VoterSet,
        }
    }

    /// Returns the value to be accepted under `proposal`, given the `newest` one, and the outcome once that
    /// value is chosen. `None` if the register has no value and gets none.
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
            // The initial voter set is not stored in the register: it is epoch 1 until another one is chosen.
            Change::VoterSet(next) if newest.map_or(1, |value| value.revision) + 1 == next.epoch => {
                let (revision, value) = (next.epoch, next.to_bytes());
                let value = AcceptedValue { proposal, revision, value, recent_versions: Vec::new() };
                Some((value, Outcome::Chosen))
            }
            Change::Converge(_) | Change::VoterSet(_) => Some((unchanged()?, Outcome::Chosen)),
        }
    }
}

/// Returns the new value, or the outcome if the newest value stays: the version was used before, or is below
/// the newest one.
fn apply_configuration(
    newest: Option<&AcceptedValue>,
    digest: VersionDigest,
    text: &Bytes,
    proposal: ProposalNumber,
) -> Result<AcceptedValue, Outcome> {
    let recent = newest.map(|value| value.recent_versions.as_slice()).unwrap_or_default();
    if let Some(known) = recent.iter().find(|known| known.version == digest.version) {
        return Err(if *known == digest { Outcome::Chosen } else { Outcome::VersionConflict(*known) });
    }
    if newest.is_some_and(|value| value.revision > digest.version) {
        return Err(Outcome::Chosen);
    }
    let retained = &recent[recent.len().saturating_sub(MAX_RECENT_VERSIONS - 1)..];
    Ok(AcceptedValue {
        proposal,
        revision: digest.version + 1,
        value: text.clone(),
        recent_versions: retained.iter().copied().chain([digest]).collect(),
    })
}

/// Returns the new value; `None` if the zone is already in the requested state.
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
