//! The bytes of snapshots and log entries, version 1.
//!
//! Both begin with a head of 16 bytes: magic (seven bytes), version (one), number of the last change (eight, little-endian).
//! A snapshot goes on with a CRC-32C of head and body (four bytes, little-endian) and the [`DurableState`] in postcard; an
//! entry with a [`ChangeRecord`] in postcard, whose checksum is `okaywal`'s.
//!
//! Invariant: decoding gives a complete value or an error. A later version is an error, never guessed at.

use crate::{DurableState, StateChange, StorageError};
use archlink_messages::{ProposalNumber, Register};
use error_stack::{Report, ResultExt, bail, ensure};
use serde::{Deserialize, Serialize};

/// Begins a snapshot. No legacy snapshot begins with it: it would contain 76 voters, the first of them 0.0.0.79.
const SNAPSHOT_MAGIC: &[u8; 7] = b"LOGBOOK";

/// Begins an entry.
pub const ENTRY_MAGIC: &[u8; 7] = b"LOGLINE";

/// The version of both that is written, and the highest that is read.
const VERSION: u8 = 1;

/// Bytes of the head: magic, version, number.
const HEAD_BYTES: usize = 16;

/// Bytes of a snapshot's checksum.
const CHECKSUM_BYTES: usize = 4;

/// A change as it is written to the log. An acceptor state whose accepted value did not change is reduced to its promise: a
/// promise then costs some tens of bytes, however large the value is. The order of the fields is the format.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChangeRecord {
    change: StateChange,
    promises: Vec<(Register, ProposalNumber)>,
}

impl ChangeRecord {
    /// The record of a change on `state`.
    pub fn new(state: &DurableState, mut change: StateChange) -> ChangeRecord {
        let mut promises = Vec::new();
        change.acceptors.retain(|(register, acceptor)| {
            let is_promise =
                state.acceptors.get(register).is_some_and(|current| current.accepted == acceptor.accepted);
            if is_promise {
                promises.push((*register, acceptor.promised));
            }
            !is_promise
        });
        ChangeRecord { change, promises }
    }

    /// Applies the change to the state that it was made on.
    pub fn apply_to(self, state: &mut DurableState) {
        state.apply(self.change);
        for (register, proposal) in self.promises {
            state.acceptors.entry(register).or_default().promised = proposal;
        }
    }
}

/// Whether the bytes begin as a snapshot of a version with a head.
pub fn is_snapshot(bytes: &[u8]) -> bool {
    bytes.starts_with(SNAPSHOT_MAGIC)
}

/// The snapshot of the state after the change of this number.
pub fn encode_snapshot(number: u64, state: &DurableState) -> Result<Vec<u8>, postcard::Error> {
    let mut bytes = encode_head(SNAPSHOT_MAGIC, number);
    let body = postcard::to_stdvec(state)?;
    bytes.extend(snapshot_checksum(&bytes, &body).to_le_bytes());
    bytes.extend(body);
    Ok(bytes)
}

/// The number of the last change in a snapshot, and its state.
pub fn decode_snapshot(bytes: &[u8]) -> Result<(u64, DurableState), Report<StorageError>> {
    let (number, rest) = decode_head(SNAPSHOT_MAGIC, bytes)?;
    let Some((checksum, body)) = rest.split_first_chunk::<CHECKSUM_BYTES>() else {
        bail!(Report::new(StorageError::Damaged).attach("shorter than its head"));
    };
    ensure!(
        snapshot_checksum(&bytes[..HEAD_BYTES], body) == u32::from_le_bytes(*checksum),
        Report::new(StorageError::Damaged).attach("its checksum is another")
    );
    Ok((number, postcard::from_bytes(body).change_context(StorageError::Damaged)?))
}

/// The log entry of the change of this number.
pub fn encode_entry(number: u64, record: &ChangeRecord) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_extend(record, encode_head(ENTRY_MAGIC, number))
}

/// The number of the change in a log entry, and the change.
pub fn decode_entry(bytes: &[u8]) -> Result<(u64, ChangeRecord), Report<StorageError>> {
    let (number, body) = decode_head(ENTRY_MAGIC, bytes)?;
    let record = postcard::from_bytes(body)
        .change_context(StorageError::Damaged)
        .attach_with(|| format!("entry {number}"))?;
    Ok((number, record))
}

fn encode_head(magic: &[u8; 7], number: u64) -> Vec<u8> {
    [magic.as_slice(), &[VERSION], &number.to_le_bytes()].concat()
}

/// The number in the head, and the body, where the version is known.
fn decode_head<'a>(magic: &[u8; 7], bytes: &'a [u8]) -> Result<(u64, &'a [u8]), Report<StorageError>> {
    let Some((head, body)) = bytes.split_first_chunk::<HEAD_BYTES>() else {
        bail!(Report::new(StorageError::Damaged).attach("shorter than its head"));
    };
    ensure!(head.starts_with(magic), Report::new(StorageError::Damaged).attach("does not begin as it must"));
    let version = head[magic.len()];
    ensure!(
        (1..=VERSION).contains(&version),
        Report::new(StorageError::UnsupportedVersion)
            .attach(format!("version {version}; known up to {VERSION}"))
    );
    let number = head.last_chunk::<8>().map_or(0, |bytes| u64::from_le_bytes(*bytes));
    Ok((number, body))
}

fn snapshot_checksum(head: &[u8], body: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(head), body)
}
