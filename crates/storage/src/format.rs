//! The encoding of snapshots and log entries, version 1.
//!
//! Both begin with a 16-byte header: a magic (7 bytes), the format version (1 byte) and the sequence number of the last
//! change (8 bytes, little-endian). In a snapshot, a CRC-32C of header and body (4 bytes, little-endian) and the
//! [`DurableState`] in postcard follow. In a log entry, a [`ChangeRecord`] in postcard follows; `okaywal` adds the
//! checksum.
//!
//! Invariant: decoding returns a complete value or an error. A later format version is an error, even where it would decode.

use crate::{DurableState, StateChange, StorageError};
use archlink_messages::{ProposalNumber, Register};
use error_stack::{Report, ResultExt, bail, ensure};
use serde::{Deserialize, Serialize};

/// Magic of a snapshot. It tells snapshots from legacy ones, which have no header: a legacy snapshot with these first bytes
/// would have 76 voters, the first of them 0.0.0.79.
const SNAPSHOT_MAGIC: &[u8; 7] = b"LOGBOOK";

/// Magic of a log entry.
pub const ENTRY_MAGIC: &[u8; 7] = b"LOGLINE";

/// The format version that is written, and the highest one that is read.
const VERSION: u8 = 1;

/// Length of the header: magic, version and sequence number.
const HEADER_BYTES: usize = 16;

/// Length of a snapshot's checksum.
const CHECKSUM_BYTES: usize = 4;

/// The form in which a [`StateChange`] is written to the log. An acceptor state whose accepted value did not change is
/// reduced to its promise, so that a promise takes some tens of bytes however large the value is. The order of the
/// fields is part of the format.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChangeRecord {
    change: StateChange,
    promises: Vec<(Register, ProposalNumber)>,
}

impl ChangeRecord {
    /// Creates the record of a change to `state`.
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

    /// Applies the change to `state`, which has to equal the state that the record was created from.
    pub fn apply_to(self, state: &mut DurableState) {
        state.apply(self.change);
        for (register, proposal) in self.promises {
            state.acceptors.entry(register).or_default().promised = proposal;
        }
    }
}

/// Whether the bytes begin with the magic of a snapshot; a legacy snapshot has none.
pub fn is_snapshot(bytes: &[u8]) -> bool {
    bytes.starts_with(SNAPSHOT_MAGIC)
}

/// Encodes a snapshot of the state after the change with this sequence number.
pub fn encode_snapshot(sequence_number: u64, state: &DurableState) -> Result<Vec<u8>, postcard::Error> {
    let mut bytes = encode_header(SNAPSHOT_MAGIC, sequence_number);
    let body = postcard::to_stdvec(state)?;
    bytes.extend(snapshot_checksum(&bytes, &body).to_le_bytes());
    bytes.extend(body);
    Ok(bytes)
}

/// Decodes a snapshot into the sequence number of its last change and the state.
pub fn decode_snapshot(bytes: &[u8]) -> Result<(u64, DurableState), Report<StorageError>> {
    let (sequence_number, rest) = decode_header(SNAPSHOT_MAGIC, bytes)?;
    let Some((checksum, body)) = rest.split_first_chunk::<CHECKSUM_BYTES>() else {
        bail!(Report::new(StorageError::Corrupted).attach("shorter than header and checksum"));
    };
    ensure!(
        snapshot_checksum(&bytes[..HEADER_BYTES], body) == u32::from_le_bytes(*checksum),
        Report::new(StorageError::Corrupted).attach("checksum mismatch")
    );
    Ok((sequence_number, postcard::from_bytes(body).change_context(StorageError::Corrupted)?))
}

/// Encodes the log entry of the change with this sequence number.
pub fn encode_entry(sequence_number: u64, record: &ChangeRecord) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_extend(record, encode_header(ENTRY_MAGIC, sequence_number))
}

/// Decodes a log entry into the sequence number of its change and the change.
pub fn decode_entry(bytes: &[u8]) -> Result<(u64, ChangeRecord), Report<StorageError>> {
    let (sequence_number, body) = decode_header(ENTRY_MAGIC, bytes)?;
    let record = postcard::from_bytes(body)
        .change_context(StorageError::Corrupted)
        .attach_with(|| format!("entry {sequence_number}"))?;
    Ok((sequence_number, record))
}

fn encode_header(magic: &[u8; 7], sequence_number: u64) -> Vec<u8> {
    [magic.as_slice(), &[VERSION], &sequence_number.to_le_bytes()].concat()
}

/// Splits off and checks the header, and returns the sequence number and the body.
fn decode_header<'a>(magic: &[u8; 7], bytes: &'a [u8]) -> Result<(u64, &'a [u8]), Report<StorageError>> {
    let Some((header, body)) = bytes.split_first_chunk::<HEADER_BYTES>() else {
        bail!(Report::new(StorageError::Corrupted).attach("shorter than the header"));
    };
    ensure!(header.starts_with(magic), Report::new(StorageError::Corrupted).attach("wrong magic"));
    let version = header[magic.len()];
    ensure!(
        (1..=VERSION).contains(&version),
        Report::new(StorageError::UnsupportedVersion)
            .attach(format!("format version {version}; the highest supported is {VERSION}"))
    );
    let sequence_number = header.last_chunk::<8>().map_or(0, |bytes| u64::from_le_bytes(*bytes));
    Ok((sequence_number, body))
}

fn snapshot_checksum(header: &[u8], body: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(header), body)
}
