//! The quota counter role: adds to the counters while this node holds the lease.

use super::Node;
use archlink_messages::CounterAdd;
use archlink_quota::counter::NEW_HOLDER_WAIT;

impl Node {
    /// Adds to the counters and returns the totals. `None` if this node does not hold the lease in that term, or has not held
    /// it long enough for the previous holder to have stopped.
    pub fn count(&self, term: u64, adds: &[CounterAdd]) -> Option<Vec<f32>> {
        let now = self.clock.now();
        let lease = self.state.borrow().counter_lease(now).filter(|lease| lease.term == term)?;
        if now < lease.since + NEW_HOLDER_WAIT {
            return None;
        }
        self.counter.borrow_mut().add(now, term, adds)
    }

    /// Number of counter keys in memory.
    pub fn counter_key_count(&self) -> usize {
        self.counter.borrow().key_count()
    }
}
