//! Bytes on disk: the snapshot, the entries, and okaywal's files around the entries. Must never take for whole what is not,
//! nor guess at what a later version wrote.
//!
//! okaywal's own reader is not used: it writes to what it reads, refuses a file whose tail is torn, and follows a torn length
//! to fill gigabytes with zeros.

use crate::{DurableState, StateChange, StorageError, legacy_format};
use archlink_messages::{ProposalNumber, Register};
use error_stack::{Report, ResultExt, bail, ensure};
use serde::{Deserialize, Serialize};

/// Begins a snapshot. None of before the versions does: it would name 76 voters, the first of them 0.0.0.79.
const SNAPSHOT: &[u8; 7] = b"LOGBOOK";
/// Begins an entry.
const ENTRY: &[u8; 7] = b"LOGLINE";
/// Of both: what this program writes, and the highest that it reads.
const VERSION: u8 = 1;
/// Mark, version, number (eight bytes, the lowest first).
const HEAD: usize = 16;

/// One change as it is written. A slot whose value is the one that stands already is told by its promise alone: a promise
/// costs some tens of bytes, however large the value is.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Change {
    entered: StateChange,
    promised: Vec<(Register, ProposalNumber)>,
}

impl Change {
    pub fn of(state: &DurableState, mut entered: StateChange) -> Change {
        let mut promised = Vec::new();
        entered.acceptors.retain(|(register, slot)| {
            let stands = state.acceptors.get(register).is_some_and(|had| had.accepted == slot.accepted);
            if stands {
                promised.push((*register, slot.promised));
            }
            !stands
        });
        Change { entered, promised }
    }

    pub fn enter_into(self, state: &mut DurableState) {
        state.enter(self.entered);
        for (register, proposal) in self.promised {
            state.acceptors.entry(register).or_default().promised = proposal;
        }
    }
}

fn head(mark: &[u8; 7], number: u64) -> Vec<u8> {
    [mark.as_slice(), &[VERSION], &number.to_le_bytes()].concat()
}

/// Number and body, where the version is one that is known.
fn open<'a>(mark: &[u8; 7], bytes: &'a [u8]) -> Result<(u64, &'a [u8]), Report<StorageError>> {
    let Some((head, body)) = bytes.split_first_chunk::<HEAD>() else {
        bail!(Report::new(StorageError::Damaged).attach("shorter than its head"));
    };
    ensure!(head.starts_with(mark), Report::new(StorageError::Damaged).attach("does not begin as it must"));
    let version = head[mark.len()];
    ensure!(
        (1..=VERSION).contains(&version),
        Report::new(StorageError::UnsupportedVersion)
            .attach(format!("version {version}; known up to {VERSION}"))
    );
    let number = head.last_chunk::<8>().map_or(0, |bytes| u64::from_le_bytes(*bytes));
    Ok((number, body))
}

pub fn snapshot(number: u64, state: &DurableState) -> Result<Vec<u8>, postcard::Error> {
    let mut bytes = head(SNAPSHOT, number);
    let body = postcard::to_stdvec(state)?;
    bytes.extend(crc32c::crc32c_append(crc32c::crc32c(&bytes), &body).to_le_bytes());
    bytes.extend(body);
    Ok(bytes)
}

/// The state and the number of the last change in it; one of before the versions has the number 0.
pub fn read_snapshot(bytes: &[u8]) -> Result<(u64, DurableState), Report<StorageError>> {
    if !bytes.starts_with(SNAPSHOT) {
        return Ok((0, legacy_format::read_snapshot(bytes)?));
    }
    let (number, rest) = open(SNAPSHOT, bytes)?;
    let Some((sum, body)) = rest.split_first_chunk::<4>() else {
        bail!(Report::new(StorageError::Damaged).attach("shorter than its head"));
    };
    ensure!(
        crc32c::crc32c_append(crc32c::crc32c(&bytes[..HEAD]), body) == u32::from_le_bytes(*sum),
        Report::new(StorageError::Damaged).attach("its checksum is another")
    );
    Ok((number, postcard::from_bytes(body).change_context(StorageError::Damaged)?))
}

pub fn entry(number: u64, change: &Change) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_extend(change, head(ENTRY, number))
}

pub fn read_entry(bytes: &[u8]) -> Result<(u64, Change), Report<StorageError>> {
    let (number, body) = open(ENTRY, bytes)?;
    let change = postcard::from_bytes(body)
        .change_context(StorageError::Damaged)
        .attach_with(|| format!("entry {number}"))?;
    Ok((number, change))
}

/// The number of an entry that is whole somewhere in bytes that could not be read in order.
pub fn whole_entry_within(bytes: &[u8]) -> impl Iterator<Item = u64> {
    let marks = (5..bytes.len()).filter(|&at| bytes[at..].starts_with(ENTRY));
    marks.filter_map(|at| chunk(bytes, at - 5)).filter_map(|(body, _)| read_entry(body).ok()).map(|(n, _)| n)
}

const FILE: &[u8; 4] = b"okw\0";
const NEW_ENTRY: u8 = 1;
const CHUNK: u8 = 2;
const END_OF_ENTRY: u8 = 3;

/// A whole chunk of okaywal's at a place, and what comes behind it: mark, length, bytes, checksum.
fn chunk(bytes: &[u8], at: usize) -> Option<(&[u8], usize)> {
    let (head, rest) = bytes.get(at..)?.split_first_chunk::<5>()?;
    let length = u32::from_le_bytes(*head.last_chunk()?) as usize;
    let (body, rest) = rest.split_at_checked(length)?;
    let sum = u32::from_le_bytes(*rest.first_chunk()?);
    (head[0] == CHUNK && crc32c::crc32c(body) == sum).then_some((body, at + 5 + length + 4))
}

/// What a file of okaywal's holds.
pub struct Segment<'a> {
    /// Whole entries in their order; ours are of one chunk each.
    pub entries: Vec<&'a [u8]>,
    /// Where the last of them ends.
    pub end: usize,
    /// Whether a chunk that is not whole follows.
    pub torn: bool,
}

/// Reads as far as entries follow each other. The file of the id `first` has no entries of lower ids: those are from before
/// it was used again.
pub fn segment(bytes: &[u8], first: u64) -> Segment<'_> {
    let mut found = Segment { entries: Vec::new(), end: 0, torn: false };
    if !bytes.starts_with(FILE) || bytes.len() <= FILE.len() {
        return found;
    }
    let mut at = FILE.len() + 1 + usize::from(bytes[FILE.len()]);
    found.end = at;
    while let Some([NEW_ENTRY, id @ ..]) = bytes.get(at..).and_then(<[u8]>::first_chunk::<9>)
        && u64::from_le_bytes(*id) >= first
    {
        at += 9;
        let mut chunks = Vec::new();
        while bytes.get(at) == Some(&CHUNK) {
            let Some((body, behind)) = chunk(bytes, at) else {
                found.torn = true;
                return found;
            };
            chunks.push(body);
            at = behind;
        }
        if bytes.get(at) == Some(&END_OF_ENTRY) {
            at += 1;
            found.entries.extend(chunks);
            found.end = at;
        }
    }
    found
}
