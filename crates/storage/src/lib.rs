//! Durable state of a control node: the voter set, the acceptor states and the lease grants, which have to survive a restart
//! (`docs/control.md`, section 4).
//!
//! Every change has a sequence number. The data folder contains a snapshot and a write-ahead log of the changes after it:
//!
//! | file | contents |
//! | --- | --- |
//! | `snapshot` | the state up to and including the change with the snapshot's sequence number |
//! | `snapshot.new` | an unfinished snapshot, which is ignored |
//! | `log-N/wal-1` | the changes after the snapshot, one entry each, in an `okaywal` segment file |
//! | `log/` | the log in the legacy format, which is read once (`legacy_format`) |
//!
//! Invariants:
//!
//! - A change is reported as durable only after it is synced.
//! - [`Storage::open`] returns a state that existed at one point in the sequence of changes, or an error if the folder
//!   cannot be read completely.
//!
//! Modules: `writer` has the handle and the writer thread, `store` the order of writes, `recovery` the reading of a
//! folder at startup, `format` and `wal_segment` the encoding, and `disk` and `file_system` the access to files.

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
