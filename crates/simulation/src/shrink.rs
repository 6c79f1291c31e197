//! Shrinks a scenario that violates an invariant by delta debugging (Zeller and Hildebrandt, 2002): removes steps and then
//! shortens delays, as long as a violation of the same kind remains.

use crate::runner::{RunReport, run_scenario};
use crate::scenario::Scenario;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Maximum number of runs to shrink one scenario; a run of a small scenario takes a few milliseconds.
const MAX_RUNS: u32 = 3000;
/// Factors by which a delay is shortened, tried in this order: the strongest reduction first.
const DELAY_FACTORS: [f64; 3] = [0.0, 0.1, 0.5];
/// Delays are rounded to milliseconds.
const ROUNDING_PER_SECOND: f64 = 1e3;
/// Number of letters and spaces of a violation's text that identify its kind.
const KIND_LENGTH: usize = 24;

/// Runs a scenario and reports a panic of a node's code as a violation.
pub fn run_catching_panics(scenario: &Scenario, trace: bool) -> RunReport {
    catch_unwind(AssertUnwindSafe(|| run_scenario(scenario, trace))).unwrap_or_else(|panic| {
        let message = panic.downcast_ref::<String>().cloned();
        let message = message.or(panic.downcast_ref::<&str>().map(|text| text.to_string()));
        let violation = Some(format!("panic: {}", message.unwrap_or_default()));
        RunReport { violation, seconds: 0.0, steps: 0, trace: Vec::new() }
    })
}

/// The kind of a violation: the beginning of its text without time and numbers. Shrinking never turns a violation into one
/// of another kind.
fn kind(violation: &str) -> String {
    let text = violation.split_once(": ").map_or(violation, |(_, text)| text);
    text.chars().filter(|letter| letter.is_alphabetic() || *letter == ' ').take(KIND_LENGTH).collect()
}

/// Returns the smallest scenario found that ends with a violation of the same kind, or the scenario itself where it violates
/// no invariant.
pub fn shrink(scenario: &Scenario) -> Scenario {
    let Some(violation) = run_catching_panics(scenario, false).violation else { return scenario.clone() };
    let mut shrinker = Shrinker { best: scenario.clone(), kind: kind(&violation), runs_left: MAX_RUNS };
    loop {
        let before = shrinker.best.clone();
        shrinker.remove_steps();
        shrinker.shorten_delays();
        shrinker.simplify_machines();
        if shrinker.best == before {
            return before;
        }
    }
}

struct Shrinker {
    best: Scenario,
    kind: String,
    runs_left: u32,
}

impl Shrinker {
    /// Accepts a candidate if it still ends with a violation of the same kind. Returns whether it was accepted.
    fn try_candidate(&mut self, candidate: Scenario) -> bool {
        if candidate == self.best {
            return false;
        }
        self.runs_left = self.runs_left.saturating_sub(1);
        let reproduces = self.runs_left > 0
            && run_catching_panics(&candidate, false)
                .violation
                .is_some_and(|violation| kind(&violation) == self.kind);
        if reproduces {
            self.best = candidate;
        }
        reproduces
    }

    /// Tries to remove all steps, then halves, quarters and so on down to single steps.
    fn remove_steps(&mut self) {
        let mut length = self.best.steps.len().max(1);
        while length > 0 {
            let mut start = 0;
            while start < self.best.steps.len() {
                let mut candidate = self.best.clone();
                candidate.steps.drain(start..(start + length).min(self.best.steps.len()));
                if !self.try_candidate(candidate) {
                    start += length;
                }
            }
            length /= 2;
        }
    }

    fn shorten_delays(&mut self) {
        for index in 0..self.best.steps.len() {
            for factor in DELAY_FACTORS {
                let mut candidate = self.best.clone();
                let delay = &mut candidate.steps[index].0;
                *delay = (*delay * factor * ROUNDING_PER_SECOND).round() / ROUNDING_PER_SECOND;
                if self.try_candidate(candidate) {
                    break;
                }
            }
        }
    }

    /// Tries exact clocks, then syncs that take no time.
    fn simplify_machines(&mut self) {
        let mut candidate = self.best.clone();
        candidate.clock_rates.fill(1.0);
        self.try_candidate(candidate);
        let mut candidate = self.best.clone();
        candidate.sync_durations.fill(0.0);
        self.try_candidate(candidate);
    }
}
