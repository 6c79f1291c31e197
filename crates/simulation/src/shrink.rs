//! Makes a plan that ends with a fault smaller: steps are left out, then lengths cut, as long as a fault remains. Must never
//! give back a plan that ends well.

use crate::runner::{Played, play};
use crate::scenario::Plan;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Plays spent on one plan; a small one costs some milliseconds.
const PLAYS: u32 = 3000;

/// Plays a plan; a panic of a core is a fault as well.
pub fn tried(plan: &Plan, story: bool) -> Played {
    catch_unwind(AssertUnwindSafe(|| play(plan, story))).unwrap_or_else(|panic| {
        let told = panic.downcast_ref::<String>().cloned();
        let told = told.or(panic.downcast_ref::<&str>().map(|text| text.to_string()));
        let fault = Some(format!("panic: {}", told.unwrap_or_default()));
        Played { fault, seconds: 0.0, steps: 0, story: Vec::new() }
    })
}

/// The kind of a fault: its text without numbers, so that a plan is not shrunk into another fault.
fn kind(fault: &str) -> String {
    let text = fault.split_once(": ").map_or(fault, |(_, text)| text);
    text.chars().filter(|c| c.is_alphabetic() || *c == ' ').take(24).collect()
}

/// The smallest plan found that ends with the same kind of fault.
pub fn shrunk(plan: &Plan) -> Plan {
    let Some(fault) = tried(plan, false).fault else { return plan.clone() };
    let wanted = kind(&fault);
    let mut left = PLAYS;
    let mut fails = |plan: &Plan| {
        left = left.saturating_sub(1);
        left > 0 && tried(plan, false).fault.is_some_and(|fault| kind(&fault) == wanted)
    };
    let mut best = plan.clone();
    loop {
        let before = best.clone();
        let mut part = best.steps.len().max(1);
        while part > 0 {
            let mut at = 0;
            while at < best.steps.len() {
                let mut next = best.clone();
                next.steps.drain(at..(at + part).min(best.steps.len()));
                if fails(&next) { best = next } else { at += part }
            }
            part /= 2;
        }
        for n in 0..best.steps.len() {
            for shorter in [0.0, 0.1, 0.5] {
                let mut next = best.clone();
                next.steps[n].0 = (next.steps[n].0 * shorter * 1e3).round() / 1e3;
                if next != best && fails(&next) {
                    best = next;
                    break;
                }
            }
        }
        for all in [1.0, 0.0] {
            let mut next = best.clone();
            let list = if all == 1.0 { &mut next.rates } else { &mut next.syncs };
            list.fill(all);
            if next != best && fails(&next) {
                best = next;
            }
        }
        if best == before {
            return best;
        }
    }
}
