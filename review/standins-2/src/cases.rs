//! The cases.

mod counter;
mod hang;
mod memory;
mod quota;

use crate::Verdict;
use crate::record::Record;
use std::sync::Arc;

pub fn play(case: &str, record: Arc<Record>, trouble: bool) -> Verdict {
    match case {
        "counter" => counter::play(record, trouble),
        "hang" => hang::play(record, trouble),
        "memory" => memory::play(record, trouble),
        "quota" => quota::play(record, trouble),
        _ => Verdict::NotRun(format!("there is no case {case}")),
    }
}
