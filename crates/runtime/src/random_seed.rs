//! Seed of a process's random draws.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};

/// A number that differs from call to call and from start to start. Comes from the standard library's keys for hash
/// maps, which the operating system's randomness seeds; good for spreading load, not for secrets.
pub fn random_seed() -> u64 {
    RandomState::new().build_hasher().finish()
}
