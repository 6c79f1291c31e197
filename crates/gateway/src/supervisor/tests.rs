//! Tests of the restart after a panic.

use super::restart_on_panic;
use std::cell::Cell;
use std::rc::Rc;
use tokio::runtime::LocalOptions;

#[test]
fn task_that_panics_is_restarted() {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build_local(LocalOptions::default()).unwrap();
    let starts = Rc::new(Cell::new(0));
    let start_counter = starts.clone();
    let task = move || {
        start_counter.set(start_counter.get() + 1);
        let start_number = start_counter.get();
        async move { assert!(start_number == 3, "the first two starts panic on purpose") }
    };
    runtime.block_on(restart_on_panic("test", task));
    assert_eq!(starts.get(), 3);
}
