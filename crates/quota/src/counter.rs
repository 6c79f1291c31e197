//! The counter: names that live for a while, and their totals. One control gateway holds it for a term; nothing of it is
//! on disk or handed over. A new holder answers nothing until what its predecessor granted has left every tier's window.
//! Must never answer outside its term.

use archlink_messages::CounterAdd;
use std::collections::HashMap;

/// Most names at a time; an add to a further one gets no answer, which a gateway takes for a silent counter.
const MOST_NAMES: usize = 200_000;
/// Between two looks for names whose life is over.
const SWEEP_EVERY: f64 = 1.0;

/// How long a new holder is silent. Its book is empty, and a fresh window beside one that was used up grants a burst twice.
/// Data gateways that live on claim their own parts of the present windows again with their first adds; what is lost is the
/// part of those that died as well. The predecessor's grant, which is over by then, and this make up for that: an eager
/// tenant's burst comes back at its rate meanwhile.
pub const NEW_HOLDER_SILENCE: f64 = 0.4;

#[derive(Default)]
pub struct Counter {
    term: u64,
    names: HashMap<u64, (f64, f64)>,
    swept: f64,
}

impl Counter {
    /// Totals after these adds, in their order; none, and nothing added, where a name finds no room or the term is over. A
    /// later term begins with nothing.
    pub fn add(&mut self, now: f64, term: u64, adds: &[CounterAdd]) -> Option<Vec<f32>> {
        if term < self.term {
            return None;
        }
        if self.term != term {
            self.names.clear();
            self.term = term;
        }
        if now > self.swept + SWEEP_EVERY {
            self.swept = now;
            self.names.retain(|_, (_, until)| now < *until);
        }
        // "Not added" has to be true of all of them.
        if self.names.len() + adds.len() > MOST_NAMES {
            let fresh = adds.iter().filter(|add| !self.names.contains_key(&add.key)).count();
            if self.names.len() + fresh > MOST_NAMES {
                return None;
            }
        }
        Some(adds.iter().map(|add| self.one(now, add)).collect())
    }

    fn one(&mut self, now: f64, add: &CounterAdd) -> f32 {
        const MOST_KEEP: f64 = 60.0;
        let fresh = (0.0, now + f64::from(add.lifetime).clamp(0.0, MOST_KEEP));
        let entry = self.names.entry(add.key).or_insert(fresh);
        if now >= entry.1 {
            *entry = fresh;
        }
        if add.amount.is_finite() {
            entry.0 += f64::from(add.amount);
        }
        entry.0 as f32
    }

    pub fn key_count(&self) -> usize {
        self.names.len()
    }
}
