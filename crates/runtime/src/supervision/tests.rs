//! Tests of the restart after a panic.

use super::restart_on_panic;
use std::cell::Cell;
use std::rc::Rc;
use tokio::runtime::LocalOptions;

/// Guards against work that nobody does any more after the panic of a task (review/4).
#[test]
fn task_that_panics_is_restarted_and_counted_until_it_returns() {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().start_paused(true).build_local(LocalOptions::default()).unwrap();
    let (starts, panics) = (Rc::new(Cell::new(0)), Cell::new(0));
    let start_counter = starts.clone();
    let task = move || {
        start_counter.set(start_counter.get() + 1);
        let start_number = start_counter.get();
        async move { assert!(start_number == 3, "the first two starts panic on purpose") }
    };
    let count_panic = |name: &str| {
        assert_eq!(name, "test");
        panics.set(panics.get() + 1);
    };
    runtime.block_on(restart_on_panic("test", count_panic, task));
    assert_eq!((starts.get(), panics.get()), (3, 2));
}
