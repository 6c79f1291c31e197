//! Memory for bodies that are larger than usual, bounded over all connections of a thread.

use std::cell::Cell;
use std::rc::Rc;

/// Part of the bytes set aside for large bodies, from the first read until the last byte was passed on; returned when
/// dropped.
#[derive(Debug)]
pub struct ReservedBytes {
    available: Rc<Cell<usize>>,
    /// How many bytes are reserved.
    pub bytes: usize,
}

impl ReservedBytes {
    /// Reserves `bytes` of those `available`; `None` where there are fewer.
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
