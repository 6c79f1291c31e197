//! The value of the register of evacuations: names of zones, sorted, one a line.

use bytes::Bytes;
use std::collections::BTreeSet;

/// The zones in a value of [`Register::Evacuations`](crate::Register::Evacuations). Bytes that are not UTF-8 are replaced.
pub fn decode_evacuated_zones(value: &[u8]) -> BTreeSet<String> {
    String::from_utf8_lossy(value).lines().map(str::to_string).collect()
}

/// The value of [`Register::Evacuations`](crate::Register::Evacuations) for a set of zones.
pub fn encode_evacuated_zones(zones: BTreeSet<String>) -> Bytes {
    zones.into_iter().collect::<Vec<_>>().join("\n").into()
}
