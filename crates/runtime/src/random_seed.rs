//! Seeds for pseudo-random number generators.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};

/// Returns a seed that differs between calls and between process starts.
///
/// It is derived from the standard library's hash map keys, which the operating system's random source seeds. That is
/// sufficient for spreading load, but not for secrets.
pub fn random_seed() -> u64 {
    RandomState::new().build_hasher().finish()
}
