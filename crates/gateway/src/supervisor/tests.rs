//! Restarts after panics.

use super::restart_on_panic;
use std::cell::Cell;
use std::rc::Rc;
use tokio::runtime::LocalOptions;

#[test]
fn task_that_panics_is_restarted() {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build_local(LocalOptions::default()).unwrap();
    let starts = Rc::new(Cell::new(0));
    let counted = starts.clone();
    let task = move || {
        counted.set(counted.get() + 1);
        let start = counted.get();
        async move { assert!(start == 3, "a task fails on purpose") }
    };
    runtime.block_on(restart_on_panic("test", task));
    assert_eq!(starts.get(), 3);
}
