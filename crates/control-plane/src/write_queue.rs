//! Between the core and the disk: records on their way, and what the disk's queue had no room for. Owns the order: a record
//! that was not taken goes with the next one, so that no word ever leaves ahead of what is on disk. Must never drop a record:
//! of each register, each duty and the set of voters the newest is kept, which is all that the disk keeps as well.

use archlink_storage::{StateChange, Storage};

/// Records that were given to the disk and are not told of as kept. More than the disk's own queue holds means that this
/// thread does not come to hear of them.
const MOST_OUT: usize = 1024;

/// Where records are kept for good.
pub trait Disk {
    /// Has something kept, and `kept` called once it is synced, in the order of the calls. False where too much waits.
    fn enter(&self, entered: StateChange, kept: Box<dyn FnOnce() + Send>) -> bool;
}

impl Disk for Storage {
    fn enter(&self, entered: StateChange, kept: Box<dyn FnOnce() + Send>) -> bool {
        Storage::enter(self, entered, kept)
    }
}

#[derive(Default)]
pub struct Backlog {
    out: usize,
    /// What the core takes for entered and no disk has: at most one slot a register, one post a duty and one muster.
    behind: Option<StateChange>,
}

fn joined(older: StateChange, newer: StateChange) -> StateChange {
    let StateChange { voter_set, acceptors: mut slots, mut grants } = older;
    for (register, slot) in newer.acceptors {
        slots.retain(|(known, _)| *known != register);
        slots.push((register, slot));
    }
    for grant in newer.grants {
        grants.retain(|known| known.role != grant.role);
        grants.push(grant);
    }
    StateChange { voter_set: newer.voter_set.or(voter_set), acceptors: slots, grants }
}

impl Backlog {
    /// Is there anything that no disk has been given?
    pub fn behind(&self) -> bool {
        self.behind.is_some()
    }

    /// Gives a record to the disk, with all that waits from before; false where it has to wait itself. The words that hang on
    /// it are then not said: whoever asked asks again.
    pub fn enter(
        &mut self,
        disk: &dyn Disk,
        entered: StateChange,
        told: impl FnOnce() + Send + 'static,
    ) -> bool {
        let entered = match self.behind.take() {
            Some(behind) => joined(behind, entered),
            None => entered,
        };
        if self.out < MOST_OUT && disk.enter(entered.clone(), Box::new(told)) {
            self.out += 1;
            return true;
        }
        self.behind = Some(entered);
        false
    }

    /// The disk has told of one record.
    pub fn told(&mut self) {
        self.out = self.out.saturating_sub(1);
    }
}
