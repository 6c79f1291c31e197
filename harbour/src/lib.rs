//! The cores of the control plane: registers, duties, roster. Each is handed time, messages and disk results and gives
//! back what to send, write and tell; none does I/O or reads a clock, so that any number of them can be played against
//! each other. `control.rs` shows the whole life of one control gateway.
#![forbid(unsafe_code)]

pub mod control;
pub mod duties;
pub mod founding;
pub mod helm;
pub mod journal;
pub mod news;
pub mod roster;
mod texts;
pub mod voter;

use signal::{Node, Post, Register, Slot, Word};

/// What a core wants done.
#[derive(Clone, Debug)]
pub enum Act {
    Send(Node, Word),
    /// Bring this to disk, synced, in the order of the acts; only then send the words.
    Store(Record, Vec<(Node, Word)>),
    /// A register's chosen value is newer than before.
    Learned(Register),
    /// The operator's change with this token is chosen, or may or may not be.
    Done(u64, bool),
}

/// What a voter has changed of what it keeps.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Record {
    pub slots: Vec<(Register, Slot)>,
    /// Duties granted in a new term.
    pub posts: Vec<Post>,
}

/// So many of `voters` are more than half.
pub fn majority(voters: usize) -> usize {
    voters / 2 + 1
}
