//! Additions to the quota counters.

use serde::{Deserialize, Serialize};

/// One addition to a counter.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CounterAdd {
    /// The counter key.
    pub key: u64,
    /// What is added.
    pub amount: f32,
    /// Seconds that the counter lives from its first addition on.
    pub lifetime: f32,
}
