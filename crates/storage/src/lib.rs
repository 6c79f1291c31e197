//! Durable state of a control node: the voter set, the acceptor states and the lease grants that it may not forget
//! (`docs/control.md`, section 4).
//!
//! The data folder contains a snapshot and a write-ahead log of the changes after it:
//!
//! | file | contents |
//! | --- | --- |
//! | `snapshot` | the state up to and including the change of its number |
//! | `snapshot.new` | an unfinished snapshot; ignored |
//! | `log-N/wal-1` | the changes after the snapshot, one entry each, in a file of `okaywal`'s |
//! | `log/` | the log of versions without numbers, read once (`legacy_format`) |
//!
//! Invariants:
//!
//! - A change is reported as durable only after it is synced.
//! - What [`Storage::open`] returns is the state of one moment; what cannot be read completely is an error.
//!
//! Modules: `writer` has the handle and its thread, `store` the order of writes, `recovery` what a folder contains at the
//! start, `format` and `wal_segment` the bytes, `disk` and `file_system` the access to files.

mod data_folder;
mod disk;
mod error;
mod file_system;
mod format;
mod legacy_format;
mod recovery;
mod state;
mod store;
mod wal_segment;
mod writer;

pub use error::StorageError;
pub use state::{DurableState, StateChange};
pub use writer::Storage;

#[cfg(test)]
mod tests;
