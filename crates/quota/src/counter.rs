//! The quota counter: short-lived keys and their totals, in memory only.
//!
//! One control node serves it for the term of its lease; nothing is persisted or handed to the next holder. A new holder
//! answers nothing for [`NEW_HOLDER_WAIT`], until what its predecessor granted has left every burst tier's window.
//!
//! Invariant: an add of a term that is over is never answered.

use archlink_messages::CounterAdd;
use std::collections::HashMap;

/// Limit of the number of keys, which bounds memory at some 7 MB. Adds that would go beyond it get no answer,
/// which a data node treats as an unavailable counter.
const MAX_KEYS: usize = 200_000;
/// Seconds between two removals of expired keys; a removal visits every key.
const SWEEP_INTERVAL: f64 = 1.0;
/// Longest lifetime of a key in seconds, whatever the add asks for: two of the longest windows of a burst tier (25 s) and
/// a margin.
const MAX_LIFETIME: f64 = 60.0;

/// Seconds for which a new holder of the lease answers nothing.
///
/// Its counters are empty, and a new window beside one that was used up would grant a burst twice. Data nodes that live on
/// claim their own parts of the current windows again with their first adds; the parts of those that died as well are lost.
/// The predecessor's lease, which is over by then, and this wait make up for the loss: a busy tenant's burst refills at its
/// rate meanwhile.
pub const NEW_HOLDER_WAIT: f64 = 0.4;

/// The total of one key, which counts until `expires_at` (seconds, fleet clock).
#[derive(Clone, Copy)]
struct Entry {
    total: f64,
    expires_at: f64,
}

/// All counters of one term.
#[derive(Default)]
pub struct Counter {
    term: u64,
    entries: HashMap<u64, Entry>,
    last_sweep: f64,
}

impl Counter {
    /// The totals after `adds`, in their order. A later `term` starts with no keys.
    ///
    /// `None`, with nothing added, if `term` is over or there is no room for the new keys: "not added" has to hold for all
    /// adds of a call.
    pub fn add(&mut self, now: f64, term: u64, adds: &[CounterAdd]) -> Option<Vec<f32>> {
        if term < self.term {
            return None;
        }
        if self.term != term {
            self.entries.clear();
            self.term = term;
        }
        self.sweep(now);
        if !self.has_room_for(adds) {
            return None;
        }
        Some(adds.iter().map(|add| self.add_one(now, add)).collect())
    }

    /// Number of keys, expired ones that were not removed yet included.
    pub fn key_count(&self) -> usize {
        self.entries.len()
    }

    fn sweep(&mut self, now: f64) {
        if now > self.last_sweep + SWEEP_INTERVAL {
            self.last_sweep = now;
            self.entries.retain(|_, entry| now < entry.expires_at);
        }
    }

    fn has_room_for(&self, adds: &[CounterAdd]) -> bool {
        if self.entries.len() + adds.len() <= MAX_KEYS {
            return true;
        }
        let new_keys = adds.iter().filter(|add| !self.entries.contains_key(&add.key)).count();
        self.entries.len() + new_keys <= MAX_KEYS
    }

    fn add_one(&mut self, now: f64, add: &CounterAdd) -> f32 {
        let lifetime = f64::from(add.lifetime).clamp(0.0, MAX_LIFETIME);
        let new_entry = Entry { total: 0.0, expires_at: now + lifetime };
        let entry = self.entries.entry(add.key).or_insert(new_entry);
        if now >= entry.expires_at {
            *entry = new_entry;
        }
        if add.amount.is_finite() {
            entry.total += f64::from(add.amount);
        }
        entry.total as f32
    }
}
