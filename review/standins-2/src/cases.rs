//! The cases.

mod cold;
mod counter;
mod hang;
mod large;
mod pace;
mod recover;
mod slow;

use crate::Verdict;
use crate::record::Record;
use std::sync::Arc;

pub fn play(case: &str, record: Arc<Record>, trouble: bool) -> Verdict {
    match case {
        "cold" => cold::play(record, trouble),
        "counter" => counter::play(record, trouble),
        "hang" => hang::play(record, trouble),
        "recover" => recover::play(record, trouble),
        "slow" => slow::play(record, trouble),
        "large" => large::play(record, trouble),
        "pace" => pace::play(record, trouble),
        _ => Verdict::NotRun(format!("there is no case {case}")),
    }
}
