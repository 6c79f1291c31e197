//! Additions to the quota counters.

use serde::{Deserialize, Serialize};

/// One addition to a counter.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CounterAdd {
    /// The counter key.
    pub key: u64,
    /// The amount added.
    pub amount: f32,
    /// The lifetime of the counter in seconds, from its first addition on.
    pub lifetime: f32,
}
