//! The value of the register of evacuations: the names of the evacuated zones, sorted, one per line.

use bytes::Bytes;
use std::collections::BTreeSet;

/// Decodes the zones in a value of [`Register::Evacuations`](crate::Register::Evacuations). Invalid UTF-8 is replaced.
pub fn decode_evacuated_zones(value: &[u8]) -> BTreeSet<String> {
    String::from_utf8_lossy(value).lines().map(str::to_string).collect()
}

/// Encodes a set of zones as a value of [`Register::Evacuations`](crate::Register::Evacuations).
pub fn encode_evacuated_zones(zones: BTreeSet<String>) -> Bytes {
    zones.into_iter().collect::<Vec<_>>().join("\n").into()
}
