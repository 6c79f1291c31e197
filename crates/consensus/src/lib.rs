//! The cores of the control plane: registers, duties, roster. Each is handed time, messages and disk results and gives
//! back what to send, write and tell; none does I/O or reads a clock, so that any number of them can be played against
//! each other. `control.rs` shows the whole life of one control gateway.
#![forbid(unsafe_code)]

pub mod control;
pub mod duties;
pub mod helm;
pub mod journal;
pub mod membership;
pub mod news;
pub mod pace;
pub mod presence;
pub mod roster;
mod texts;
pub mod voter;

use archlink_messages::{Mark, Muster, Node, Post, Register, Slot, Word};

/// What a core wants done.
#[derive(Clone, Debug)]
pub enum Act {
    Send(Node, Word),
    /// Bring this to disk, synced, in the order of the acts; only then send the words.
    Store(Record, Vec<(Node, Word)>),
    /// A register's chosen value is newer than before.
    Learned(Register),
    /// What became of the operator's order with this token.
    Done(u64, Outcome),
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It holds: a majority of disks has it, or what makes it alter nothing.
    Chosen,
    /// It may or may not come to be: the same order sent again tells.
    Unclear,
    /// Another text stands under its number, and this is the one; nothing was altered.
    Stands(Mark),
    /// It was not begun, and never will be.
    Refused(Refusal),
}

/// Why an order about who votes is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Who votes isn't known here yet.
    Unknown,
    /// Another change is under way.
    UnderWay,
    /// The one that is to go has no seat.
    NoSeat,
    /// The one that is to come has a seat already.
    Seated,
    /// The one that is to come isn't heard of.
    Absent,
    /// Too many voters are not there, or not whole.
    NotWhole,
    /// The epoch that the order names is not the one that stands.
    Epoch,
}

/// An operator's order about who votes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reseat {
    /// `new` takes the seat of `old`, by agreement.
    Replace { old: Node, new: Node },
    /// This gateway founds anew with those seats, as a majority of the set of `epoch` is gone for good.
    Refound { epoch: u64, seats: Vec<Node> },
}

/// What a voter has changed of what it keeps.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Record {
    pub slots: Vec<(Register, Slot)>,
    /// Duties granted in a new term.
    pub posts: Vec<Post>,
    /// Who votes, where that changed.
    pub muster: Option<Muster>,
}
