//! Memory for large bodies, bounded over all connections of a thread.

use std::cell::Cell;
use std::rc::Rc;

/// A reservation from the memory budget for large bodies, held from the first read of a body until its last byte has
/// been forwarded. Dropping it returns the bytes to the budget.
#[derive(Debug)]
pub struct ReservedBytes {
    available: Rc<Cell<usize>>,
    /// Number of bytes reserved.
    pub bytes: usize,
}

impl ReservedBytes {
    /// Reserves `bytes` of the `available` ones; `None` if there are fewer.
    pub fn reserve(available: &Rc<Cell<usize>>, bytes: usize) -> Option<ReservedBytes> {
        available.set(available.get().checked_sub(bytes)?);
        Some(ReservedBytes { available: available.clone(), bytes })
    }
}

impl Drop for ReservedBytes {
    fn drop(&mut self) {
        self.available.set(self.available.get() + self.bytes);
    }
}
