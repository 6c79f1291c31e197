//! The quota counter: short-lived keys and their totals, in memory only.
//!
//! The control node that holds the counter's lease serves it. Nothing is persisted or handed over to the next holder: a new
//! holder starts with empty counters, and has to answer nothing for [`NEW_HOLDER_WAIT`].
//!
//! Invariant: an add for a term that has ended never gets a total.

use archlink_messages::CounterAdd;
use std::collections::HashMap;

/// Maximum number of keys, which bounds memory use to about 7 MB. Adds that would exceed it get no totals, which a data node
/// treats as an unavailable counter.
const MAX_KEYS: usize = 200_000;
/// Seconds between two sweeps that remove expired keys. A sweep visits every key.
const SWEEP_INTERVAL: f64 = 1.0;
/// Maximum lifetime of a key in seconds, whatever the add requests: twice the longest window of a burst tier (25 s), plus a
/// margin.
const MAX_LIFETIME: f64 = 60.0;

/// Seconds for which a new holder of the lease answers nothing.
///
/// Its counters are empty, so a tenant that had used up its windows on the previous holder could get its burst a second
/// time. Data nodes that are still alive claim their own usage of the current windows again with their first adds; the usage
/// of data nodes that failed together with the previous holder is lost. The expiry of the previous lease and this wait
/// compensate for the loss, because a busy tenant's burst refills at its rate meanwhile.
pub const NEW_HOLDER_WAIT: f64 = 0.4;

/// The total of one key, valid until `expires_at` (seconds on the clock of the holder's `now`).
#[derive(Clone, Copy)]
struct Entry {
    total: f64,
    expires_at: f64,
}

/// All counters of one term of the lease.
#[derive(Default)]
pub struct Counter {
    term: u64,
    entries: HashMap<u64, Entry>,
    last_sweep: f64,
}

impl Counter {
    /// Applies `adds` and returns the totals after them, in the same order. A later `term` starts with no keys.
    ///
    /// Returns `None` and adds nothing if `term` has ended or the new keys don't fit: "not added" has to hold for all adds
    /// of a call.
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

    /// Number of keys, including expired ones that have not been removed yet.
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
